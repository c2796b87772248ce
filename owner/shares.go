package owner

import (
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/admission"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/share"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/wire"
)

// sharesLogInterval is the minimum time between two log lines about shares.
const sharesLogInterval = time.Second

// roomShares orders the owner's jobs by the shares of their queues. A nil pointer means that the feature is off.
type roomShares struct {
	table *share.Table
	// jobs holds what decides about the order of each job, as of the last count.
	jobs map[*job.Job]*share.Job
	// peers is the number of other owners' reports that counted, and peersAge the age of the oldest.
	peers    int
	peersAge time.Duration
	// changed is set if shares have changed since the last log line, at loggedAt.
	changed  bool
	loggedAt time.Time
	// gauged holds the queues whose gauges are not 0.
	gauged     map[share.Key]bool
	shareGauge metric.Int64Gauge
	useGauge   metric.Int64Gauge
}

// queueOf returns the queue that a job belongs to.
func queueOf(j *job.Job) share.Key {
	submission := j.Submission()
	queue := share.Queue{Name: submission.GetQueue(), Priority: submission.GetPriority()}
	return share.Key{Service: submission.GetService(), Queue: queue}
}

// newRoomShares returns shares without queues, or nil if the feature is off.
func newRoomShares(options Options) *roomShares {
	if !options.Features.Has(feature.Shares) {
		return nil
	}
	meter := telemetry.Meter(options.Meters, "owner")
	shares := &roomShares{table: share.NewTable(), jobs: map[*job.Job]*share.Job{}, gauged: map[share.Key]bool{}}
	shares.shareGauge, _ = meter.Int64Gauge("ambertiller.queue.share", metric.WithUnit("mCPU"),
		metric.WithDescription("Share of a queue in the processors of its service while they are too few, else 0."))
	shares.useGauge, _ = meter.Int64Gauge("ambertiller.queue.use", metric.WithUnit("mCPU"),
		metric.WithDescription("Processors that a queue uses while those of its service are too few, else 0."))
	return shares
}

// noteUnplaced records that no worker could take a task, if that is for lack of resources.
func (shares *roomShares) noteUnplaced(task *job.Task, workers []*candidate, now time.Time) {
	if shares == nil {
		return
	}
	key := queueOf(task.Job())
	if !shares.table.IsNoted(key, now) && lacksResources(task, workers) {
		shares.table.NoteUnplaced(key, now)
	}
}

// lacksResources reports whether a task is without a worker because other tasks use the resources that queues
// compete for. Tolerance is none of them: it depends on the serving tasks, and on some fleets always lacks.
func lacksResources(task *job.Task, workers []*candidate) bool {
	lacking := false
	for _, worker := range workers {
		switch worker.obstacleTo(task) {
		case obstacleNone:
			if !task.Spec().GetGang() {
				// The task fits, so it lacks a ticket for the worker.
				return false
			}
		case obstacle(admission.NoProcessor), obstacle(admission.NoMemory), obstacle(admission.NoAccelerator),
			obstacleIdleProcessors, obstacleShortReserve:
			lacking = lacking || worker.couldHold(task)
		}
	}
	return lacking
}

// couldHold reports whether the worker would have the resources that the task reserves if nothing ran there.
func (worker *candidate) couldHold(task *job.Task) bool {
	status := worker.view.status()
	whole := admission.NewResources(status.GetMilliCpu(), status.GetMemoryMb(), status.GetAccelerators())
	return whole.Shortage(admission.ReservedBy(task.Spec())) == ""
}

// orderByShares reorders the jobs of queues that compete for too few workers. All other jobs keep their
// positions. Queues are counted as soon as one lacks resources, since that decides whether they compete.
func (owner *Owner) orderByShares(jobs []*job.Job, now time.Time) {
	shares := owner.shares
	if shares == nil {
		return
	}
	if !shares.table.Expire(now) {
		clear(shares.jobs)
		owner.clearShareGauges(nil)
		return
	}
	if shares.table.IsCountDue(now) {
		owner.countQueues(jobs, now)
	}
	details := make([]*share.Job, len(jobs))
	for index, j := range jobs {
		details[index] = shares.jobDetails(j, now)
		details[index].Index = index
	}
	before := slices.Clone(jobs)
	for position, next := range shares.table.Order(details) {
		jobs[position] = before[next.Index]
	}
	owner.publishShares(now)
}

// jobDetails returns what decides about the order of a job. Jobs that have come since the last count are added.
func (shares *roomShares) jobDetails(j *job.Job, now time.Time) *share.Job {
	details, known := shares.jobs[j]
	if !known {
		details = describeJob(j, now)
		shares.jobs[j] = details
	}
	return details
}

// describeJob returns what decides about the order of a job.
func describeJob(j *job.Job, now time.Time) *share.Job {
	details := &share.Job{
		ID: j.ID(), Key: queueOf(j), LongRunning: j.IsLongRunning(), Late: j.SlackRatio(now) <= 0,
		Objective: j.Objective(), Target: j.TargetDuration(),
	}
	ready := j.ReadyTasks(now)
	for _, task := range ready {
		details.WantedMilliCPU += task.Spec().GetMilliCpu()
		waited, _ := task.UnplacedFor(now)
		details.Waited = max(details.Waited, waited)
	}
	for _, task := range j.Tasks() {
		if task.State() == job.TaskState_TASK_STARTED {
			details.UsedMilliCPU += task.Spec().GetMilliCpu()
			details.Waited = 0
		}
		if len(ready) > 0 && task.Round() == ready[0].Round() {
			details.Work += workLeft(task, now)
		}
	}
	return details
}

// workLeft returns the estimated work that a task has left, in milli-CPU times milliseconds.
func workLeft(task *job.Task, now time.Time) int64 {
	left := task.Spec().GetEstimateMs()
	switch task.State() {
	case job.TaskState_TASK_WAITING:
	case job.TaskState_TASK_STARTED:
		left = max(left-now.Sub(task.StartedAt()).Milliseconds(), 0)
	default:
		left = 0
	}
	return left * task.Spec().GetMilliCpu()
}

// countQueues counts what the queues of all owners use and want, and divides the workers of each service that has
// too few.
func (owner *Owner) countQueues(jobs []*job.Job, now time.Time) {
	shares := owner.shares
	clear(shares.jobs)
	shares.table.BeginCount(now)
	for _, j := range jobs {
		shares.table.AddJob(shares.jobDetails(j, now))
	}
	owner.addPeerDemands(now)
	if shares.table.EndCount(owner.roomOf, now) {
		shares.changed = true
	}
}

// roomOf returns the processors of the workers of a service that tasks may be placed on.
func (owner *Owner) roomOf(service string) int64 {
	milliCPU := int64(0)
	for view := range owner.agentViews() {
		status := view.status()
		if view.conn != nil && status.GetReady() && !status.GetDraining() && status.GetService() == service {
			milliCPU += status.GetMilliCpu()
		}
	}
	return milliCPU
}

// addPeerDemands adds what the other owners have reported of their queues lately. Without such reports, the
// shares are those of the queues that this owner has jobs of.
func (owner *Owner) addPeerDemands(now time.Time) {
	shares := owner.shares
	shares.peers, shares.peersAge = 0, 0
	sinceReceived := now.Sub(owner.peerBacklogs.receivedAt)
	reports := make([]share.Report, len(owner.peerBacklogs.backlogs))
	for index, backlog := range owner.peerBacklogs.backlogs {
		age := sinceReceived + time.Duration(backlog.GetAgeMs())*time.Millisecond
		reports[index] = share.Report{Shards: backlog.GetShards(), Age: age}
	}
	for index, fraction := range share.Fractions(reports, owner.hasLoaded) {
		if fraction == 0 {
			continue
		}
		shares.peers++
		shares.peersAge = max(shares.peersAge, reports[index].Age)
		for _, row := range owner.peerBacklogs.backlogs[index].GetQueues() {
			shares.addPeerRow(row, fraction)
		}
	}
}

// addPeerRow adds a fraction of what another owner has reported of a queue.
func (shares *roomShares) addPeerRow(row *wire.QueueBacklog, fraction float64) {
	queue := share.Queue{Name: row.GetQueue(), Priority: row.GetPriority()}
	used := math.Round(fraction * float64(row.GetUsedMilliCpu()))
	wanted := math.Round(fraction * float64(row.GetWantedMilliCpu()))
	shares.table.AddPeerDemand(share.Key{Service: row.GetService(), Queue: queue}, int64(used), int64(wanted))
}

// hasLoaded reports whether this owner schedules the jobs of a shard.
func (owner *Owner) hasLoaded(number int32) bool {
	s, owned := owner.shards[int(number)]
	return owned && s.loaded
}

// countStart records that a task has been placed on an agent's worker.
func (owner *Owner) countStart(task *job.Task, view *agentView, now time.Time) {
	shares := owner.shares
	if shares == nil {
		return
	}
	owner.observeShortTasks(view, now)
	milliCPU := task.Spec().GetMilliCpu()
	shares.table.RecordStart(queueOf(task.Job()), task.Job().ID(), milliCPU)
	if details, known := shares.jobs[task.Job()]; known {
		details.WantedMilliCPU -= min(milliCPU, details.WantedMilliCPU)
		details.Waited = 0
	}
}

// observeShortTasks records what short tasks use on a worker. The owner knows only those of its own shards;
// jobs are distributed over the shards by hash, so all owners together have more in proportion.
func (owner *Owner) observeShortTasks(view *agentView, now time.Time) {
	loaded := 0
	for _, s := range owner.shards {
		if s.loaded {
			loaded++
		}
	}
	used := map[int32]int64{}
	for _, run := range view.runs {
		demand := run.demand
		estimate := time.Duration(demand.GetEstimateMs()) * time.Millisecond
		if !demand.GetFills() && !demand.GetLasting() && share.IsShort(estimate) {
			used[demand.GetPriority()] += demand.GetMilliCpu()
		}
	}
	maps.DeleteFunc(view.shortPeaks, func(_ int32, peak *share.RecentPeak) bool { return peak.MilliCPU(now) == 0 })
	for priority, milliCPU := range used {
		if view.shortPeaks[priority] == nil {
			view.shortPeaks[priority] = &share.RecentPeak{}
		}
		view.shortPeaks[priority].Observe(milliCPU*int64(owner.options.Shards)/int64(max(loaded, 1)), now)
	}
}

// shortReserve is the part of a worker's processors that long-running tasks of a priority, and of less urgent
// ones, leave to short tasks. Those of more urgent priorities don't have to.
type shortReserve struct {
	milliCPU int64
	priority int32
}

// shortReserveOf returns the reserve on an agent's worker: nothing while the workers of its service suffice.
func (owner *Owner) shortReserveOf(view *agentView, now time.Time) shortReserve {
	if owner.shares == nil {
		return shortReserve{}
	}
	priority, isShort := owner.shares.table.ShortPriority(view.status().GetService(), now)
	if !isShort {
		return shortReserve{}
	}
	peak := int64(0)
	for of, recent := range view.shortPeaks {
		if of <= priority {
			peak += recent.MilliCPU(now)
		}
	}
	return shortReserve{milliCPU: share.ShortReserve(view.status().GetMilliCpu(), peak), priority: priority}
}

// isReserved reports whether a task that fits on the worker has to leave its processors to short tasks. A task
// that has been refused doesn't have to: its wait is counted anew, and it would wait the same time again.
func (worker *candidate) isReserved(task *job.Task) bool {
	spec, reserve := task.Spec(), worker.shortReserve
	isMoreUrgent := task.Job().Submission().GetPriority() < reserve.priority
	if reserve.milliCPU == 0 || isMoreUrgent || task.Refusals() > 0 || !spec.GetLasting() || spec.GetFills() {
		return false
	}
	waited, _ := task.UnplacedFor(worker.createdAt)
	return share.IsReserved(worker.free.MilliCPU, spec.GetMilliCpu(), reserve.milliCPU, waited)
}

// queueRow is what the log says of one queue.
type queueRow struct {
	Service  string `json:"service"`
	Queue    string `json:"queue"`
	Priority int32  `json:"priority"`
	Room     int64  `json:"room_milli_cpu"`
	Share    int64  `json:"share_milli_cpu"`
	Used     int64  `json:"used_milli_cpu"`
	Demand   int64  `json:"demand_milli_cpu"`
	Lag      int64  `json:"lag_milli_cpu_ms"`
}

// publishShares logs the shares if they have changed, and records the gauges, once per sharesLogInterval.
func (owner *Owner) publishShares(now time.Time) {
	shares := owner.shares
	if now.Sub(shares.loggedAt) < sharesLogInterval {
		return
	}
	shares.loggedAt = now
	var rows []queueRow
	current := map[share.Key]bool{}
	for _, row := range shares.table.Rows() {
		current[row.Key] = true
		owner.recordShareGauges(row.Key, row.ShareMilliCPU, row.UsedMilliCPU)
		rows = append(rows, queueRow{
			Service: row.Key.Service, Queue: row.Key.Queue.Name, Priority: row.Key.Queue.Priority,
			Room: row.RoomMilliCPU, Share: row.ShareMilliCPU, Used: row.UsedMilliCPU, Demand: row.DemandMilliCPU,
			Lag: int64(row.Lag),
		})
	}
	owner.clearShareGauges(current)
	if !shares.changed || len(rows) == 0 {
		return
	}
	shares.changed = false
	owner.log(event.SharesChanged, slog.Any("queues", rows),
		slog.Int("peers", shares.peers), slog.Duration("peers_age", shares.peersAge))
}

// recordShareGauges records the gauges of a queue.
func (owner *Owner) recordShareGauges(key share.Key, shareMilliCPU, usedMilliCPU int64) {
	attributes := metric.WithAttributes(
		attribute.String("service", key.Service),
		attribute.String("queue", key.Queue.Name),
		attribute.Int("priority", int(key.Queue.Priority)),
	)
	owner.shares.shareGauge.Record(owner.ctx, shareMilliCPU, attributes)
	owner.shares.useGauge.Record(owner.ctx, usedMilliCPU, attributes)
	owner.shares.gauged[key] = true
}

// clearShareGauges sets the gauges of all queues to 0 but for those given.
func (owner *Owner) clearShareGauges(current map[share.Key]bool) {
	for key := range owner.shares.gauged {
		if !current[key] {
			owner.recordShareGauges(key, 0, 0)
			delete(owner.shares.gauged, key)
		}
	}
}
