package owner

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"strings"
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

const (
	// shortageWindow is how long the workers of a service count as too few after tasks of two queues have been
	// left without a worker. The queues may be left without one in different passes.
	shortageWindow = time.Second
	// shareCountInterval is the minimum time between two counts of what the queues use and want.
	shareCountInterval = 100 * time.Millisecond
	// sharesLogInterval is the minimum time between two log lines about shares.
	sharesLogInterval = time.Second
)

// competition identifies the queues that compete: those of one service with the same priority.
type competition struct {
	service  string
	priority int32
}

// serviceQueue identifies a queue of a service.
type serviceQueue struct {
	service string
	queue   share.Queue
}

// competition returns the competition that the queue takes part in.
func (key serviceQueue) competition() competition {
	return competition{service: key.service, priority: key.queue.Priority}
}

// compareServiceQueues orders queues by service, priority and name.
func compareServiceQueues(a, b serviceQueue) int {
	return cmp.Or(
		strings.Compare(a.service, b.service),
		cmp.Compare(a.queue.Priority, b.queue.Priority),
		strings.Compare(a.queue.Name, b.queue.Name),
	)
}

// queueOf returns the queue that a job belongs to.
func queueOf(j *job.Job) serviceQueue {
	submission := j.Submission()
	queue := share.Queue{Name: submission.GetQueue(), Priority: submission.GetPriority()}
	return serviceQueue{service: submission.GetService(), queue: queue}
}

// queueUse is what the owner knows of a queue.
type queueUse struct {
	// demand is that of all owners as of the last count, plus what this owner has started since.
	demand share.Demand
	// unplacedAt is when a task last was without a worker for lack of resources.
	unplacedAt time.Time
	// oldest is the job that has waited longest, if it is overdue; startsSinceOldest counts the starts since
	// such a job was started.
	oldest            *job.Job
	startsSinceOldest int
}

// roomShares keeps the shares of the queues of each service. Nothing of it is stored: a new owner counts anew
// in its first pass. A nil pointer means that the feature is off.
type roomShares struct {
	queues    map[serviceQueue]*queueUse
	divisions map[string]*share.Division // by service
	// shortUntil is how long the workers count as too few.
	shortUntil map[competition]time.Time
	// jobs holds what decides about the order of each job, as of countedAt.
	jobs      map[*job.Job]*share.Job
	countedAt time.Time
	// peers is the number of other owners' reports that counted, and peersAge the age of the oldest.
	peers    int
	peersAge time.Duration
	// changed is set if shares have changed since the last log line, at loggedAt.
	changed  bool
	loggedAt time.Time
	// gauged holds the queues whose gauges are not 0.
	gauged     map[serviceQueue]bool
	shareGauge metric.Int64Gauge
	useGauge   metric.Int64Gauge
}

// newRoomShares returns shares without queues, or nil if the feature is off.
func newRoomShares(options Options) *roomShares {
	if !options.Features.Has(feature.Shares) {
		return nil
	}
	meter := telemetry.Meter(options.Meters, "owner")
	shares := &roomShares{
		queues: map[serviceQueue]*queueUse{}, divisions: map[string]*share.Division{}, shortUntil: map[competition]time.Time{},
		jobs: map[*job.Job]*share.Job{}, gauged: map[serviceQueue]bool{},
	}
	shares.shareGauge, _ = meter.Int64Gauge("ambertiller.queue.share", metric.WithUnit("mCPU"),
		metric.WithDescription("Share of a queue in the processors of its service while they are too few, else 0."))
	shares.useGauge, _ = meter.Int64Gauge("ambertiller.queue.use", metric.WithUnit("mCPU"),
		metric.WithDescription("Processors that a queue uses while those of its service are too few, else 0."))
	return shares
}

// queue returns what is known of a queue. It adds the queue if it is new.
func (shares *roomShares) queue(key serviceQueue) *queueUse {
	use, known := shares.queues[key]
	if !known {
		use = &queueUse{demand: share.Demand{Queue: key.queue}}
		shares.queues[key] = use
	}
	return use
}

// noteUnplaced records that no worker could take a task, if that is for lack of resources. If another queue
// of the competition has had the same lately, the workers are too few.
func (shares *roomShares) noteUnplaced(task *job.Task, workers []*candidate, now time.Time) {
	if shares == nil {
		return
	}
	key := queueOf(task.Job())
	use := shares.queue(key)
	if use.unplacedAt.Equal(now) || !lacksResources(task, workers) {
		return
	}
	use.unplacedAt = now
	for other, otherUse := range shares.queues {
		if other != key && other.competition() == key.competition() && now.Sub(otherUse.unplacedAt) < shortageWindow {
			shares.shortUntil[key.competition()] = now.Add(shortageWindow)
		}
	}
}

// lacksResources reports whether a task is without a worker because resources are used by other tasks.
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
			obstacleIdleProcessors, obstacleInterference, obstacleShortReserve:
			lacking = true
		}
	}
	return lacking
}

// shortPriority returns the most urgent priority of which queues of a service compete for too few workers.
func (shares *roomShares) shortPriority(service string, now time.Time) (priority int32, isShort bool) {
	for short, until := range shares.shortUntil {
		if short.service == service && now.Before(until) && (!isShort || short.priority < priority) {
			priority, isShort = short.priority, true
		}
	}
	return priority, isShort
}

// isShort reports whether any queues of a service compete for too few workers.
func (shares *roomShares) isShort(service string, now time.Time) bool {
	_, isShort := shares.shortPriority(service, now)
	return isShort
}

// endShortages forgets the shortages that are over. It reports whether any is left.
func (shares *roomShares) endShortages(now time.Time) bool {
	for short, until := range shares.shortUntil {
		if !now.Before(until) {
			delete(shares.shortUntil, short)
		}
	}
	return len(shares.shortUntil) > 0
}

// reset drops what was counted. It is called while there is no shortage.
func (shares *roomShares) reset() {
	if len(shares.jobs)+len(shares.divisions) == 0 {
		return
	}
	clear(shares.jobs)
	clear(shares.divisions)
	shares.countedAt = time.Time{}
	for _, use := range shares.queues {
		use.oldest = nil
	}
}

// orderByShares reorders the jobs of queues that compete for too few workers. All other jobs keep their
// positions.
func (owner *Owner) orderByShares(jobs []*job.Job, now time.Time) {
	shares := owner.shares
	if shares == nil {
		return
	}
	if !shares.endShortages(now) {
		owner.clearShareGauges(func(serviceQueue) bool { return true })
		shares.reset()
		return
	}
	if now.Sub(shares.countedAt) >= shareCountInterval {
		owner.countQueues(jobs, now)
	}
	for short := range shares.shortUntil {
		shares.reorder(jobs, short, now)
	}
	owner.publishShares(now)
}

// reorder puts the jobs of one competition into the order of their shares, within the positions that they have
// among all jobs.
func (shares *roomShares) reorder(jobs []*job.Job, short competition, now time.Time) {
	var positions []int
	var members []*job.Job
	lines := map[serviceQueue]*share.Line{}
	for position, j := range jobs {
		key := queueOf(j)
		if key.competition() != short {
			continue
		}
		line, known := lines[key]
		if !known {
			line = shares.newLine(key)
			lines[key] = line
		}
		details := shares.jobDetails(j, now)
		details.Index = len(members)
		line.Jobs = append(line.Jobs, details)
		positions = append(positions, position)
		members = append(members, j)
	}
	var competing []*share.Line
	for key, line := range lines {
		shares.queue(key).oldest = nil
		if oldest := line.Oldest(); oldest != nil {
			shares.queue(key).oldest = members[oldest.Index]
		}
		competing = append(competing, line)
	}
	for place, next := range share.Sequence(competing) {
		jobs[positions[place]] = members[next.Index]
	}
}

// newLine returns the line of a queue, without its jobs.
func (shares *roomShares) newLine(key serviceQueue) *share.Line {
	use := shares.queue(key)
	line := &share.Line{Queue: key.queue, UsedMilliCPU: use.demand.UsedMilliCPU, StartsSinceOldest: use.startsSinceOldest}
	if division := shares.divisions[key.service]; division != nil {
		line.ShareMilliCPU = division.ShareMilliCPU(key.queue)
	}
	return line
}

// jobDetails returns what decides about the order of a job. Jobs that have come since the last count are added.
func (shares *roomShares) jobDetails(j *job.Job, now time.Time) *share.Job {
	details, known := shares.jobs[j]
	if !known {
		details, _ = describeJob(j, now)
		shares.jobs[j] = details
	}
	return details
}

// describeJob returns what decides about the order of a job, and the processors that its running tasks use.
func describeJob(j *job.Job, now time.Time) (details *share.Job, usedMilliCPU int64) {
	details = &share.Job{
		ID: j.ID(), LongRunning: j.IsLongRunning(), Late: j.SlackRatio(now) <= 0,
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
			usedMilliCPU += task.Spec().GetMilliCpu()
			details.Waited = 0
		}
		if len(ready) > 0 && task.Round() == ready[0].Round() {
			details.Work += workLeft(task, now)
		}
	}
	return details, usedMilliCPU
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

// countQueues counts what all queues use and want, and divides the workers of each service with a shortage.
func (owner *Owner) countQueues(jobs []*job.Job, now time.Time) {
	shares := owner.shares
	shares.countedAt = now
	clear(shares.jobs)
	for key, use := range shares.queues {
		use.demand = share.Demand{Queue: key.queue}
	}
	for _, j := range jobs {
		details, used := describeJob(j, now)
		shares.jobs[j] = details
		shares.queue(queueOf(j)).addJob(details, used)
	}
	owner.addPeerDemands(now)
	demands := map[string][]share.Demand{}
	for key, use := range shares.queues {
		if use.demand.MilliCPU() > 0 {
			demands[key.service] = append(demands[key.service], use.demand)
		} else if now.Sub(use.unplacedAt) >= shortageWindow {
			delete(shares.queues, key)
		}
	}
	for service := range shares.divisions {
		if !shares.isShort(service, now) {
			delete(shares.divisions, service)
		}
	}
	for service, ofService := range demands {
		if shares.isShort(service, now) {
			shares.divide(service, owner.roomOf(service), ofService, now)
		}
	}
}

// addJob adds what a job uses and wants to the demand of its queue. Only jobs that end have a target.
func (use *queueUse) addJob(details *share.Job, usedMilliCPU int64) {
	use.demand.UsedMilliCPU += usedMilliCPU
	use.demand.WantedMilliCPU += details.WantedMilliCPU
	if details.LongRunning || details.Target <= 0 {
		return
	}
	if use.demand.Target == 0 || details.Target < use.demand.Target {
		use.demand.Target = details.Target
	}
}

// divide divides the room of a service.
func (shares *roomShares) divide(service string, roomMilliCPU int64, demands []share.Demand, now time.Time) {
	division, known := shares.divisions[service]
	if !known {
		division = &share.Division{}
		shares.divisions[service] = division
	}
	if division.Update(roomMilliCPU, demands, now) {
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
	key := serviceQueue{service: row.GetService(), queue: queue}
	demand := &shares.queue(key).demand
	demand.UsedMilliCPU += int64(math.Round(fraction * float64(max(row.GetUsedMilliCpu(), 0))))
	demand.WantedMilliCPU += int64(math.Round(fraction * float64(max(row.GetWantedMilliCpu(), 0))))
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
	use := shares.queue(queueOf(task.Job()))
	milliCPU := task.Spec().GetMilliCpu()
	use.demand.UsedMilliCPU += milliCPU
	use.demand.WantedMilliCPU -= min(milliCPU, use.demand.WantedMilliCPU)
	use.startsSinceOldest++
	if use.oldest == task.Job() {
		use.startsSinceOldest = 0
	}
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
		if !demand.GetFills() && !demand.GetLasting() && share.IsShort(time.Duration(demand.GetEstimateMs())*time.Millisecond) {
			used[demand.GetPriority()] += demand.GetMilliCpu()
		}
	}
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
	priority, isShort := owner.shares.shortPriority(view.status().GetService(), now)
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
	// Room is that of the service.
	Room   int64 `json:"room_milli_cpu"`
	Share  int64 `json:"share_milli_cpu"`
	Used   int64 `json:"used_milli_cpu"`
	Demand int64 `json:"demand_milli_cpu"`
}

// publishShares logs the shares if they have changed, and records the gauges, once per sharesLogInterval.
func (owner *Owner) publishShares(now time.Time) {
	shares := owner.shares
	if now.Sub(shares.loggedAt) < sharesLogInterval {
		return
	}
	shares.loggedAt = now
	rows := shares.rows()
	current := map[serviceQueue]bool{}
	for _, row := range rows {
		key := serviceQueue{service: row.Service, queue: share.Queue{Name: row.Queue, Priority: row.Priority}}
		current[key] = true
		owner.recordShareGauges(key, row.Share, row.Used)
	}
	owner.clearShareGauges(func(key serviceQueue) bool { return !current[key] })
	if shares.changed {
		shares.changed = false
		owner.log(event.SharesChanged, slog.Any("queues", rows),
			slog.Int("peers", shares.peers), slog.Duration("peers_age", shares.peersAge))
	}
}

// rows returns the rows of all queues with a demand whose service's workers are divided.
func (shares *roomShares) rows() []queueRow {
	var keys []serviceQueue
	for key, use := range shares.queues {
		if shares.divisions[key.service] != nil && use.demand.MilliCPU() > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareServiceQueues)
	rows := make([]queueRow, 0, len(keys))
	for _, key := range keys {
		division, demand := shares.divisions[key.service], shares.queues[key].demand
		rows = append(rows, queueRow{
			Service: key.service, Queue: key.queue.Name, Priority: key.queue.Priority, Room: division.RoomMilliCPU(),
			Share: division.ShareMilliCPU(key.queue), Used: demand.UsedMilliCPU, Demand: demand.MilliCPU(),
		})
	}
	return rows
}

// recordShareGauges records the gauges of a queue.
func (owner *Owner) recordShareGauges(key serviceQueue, shareMilliCPU, usedMilliCPU int64) {
	attributes := metric.WithAttributes(
		attribute.String("service", key.service),
		attribute.String("queue", key.queue.Name),
		attribute.Int("priority", int(key.queue.Priority)),
	)
	owner.shares.shareGauge.Record(owner.ctx, shareMilliCPU, attributes)
	owner.shares.useGauge.Record(owner.ctx, usedMilliCPU, attributes)
	owner.shares.gauged[key] = true
}

// clearShareGauges sets the gauges of the queues for which isOver returns true to 0.
func (owner *Owner) clearShareGauges(isOver func(key serviceQueue) bool) {
	for key := range owner.shares.gauged {
		if isOver(key) {
			owner.recordShareGauges(key, 0, 0)
			delete(owner.shares.gauged, key)
		}
	}
}
