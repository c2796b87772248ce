package owner

import (
	"math"
	"slices"
	"time"

	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/admission"
	"ambertiller.example/ambertiller/feature"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/share"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/wire"
)

// queueShares holds what the owner needs to order its jobs by the shares of their queues. A nil pointer means that the
// feature is off.
type queueShares struct {
	table *share.Table
	// jobs holds the properties that determine the order of each job, as of the last count.
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

// newQueueShares returns shares without queues, or nil if the feature is off.
func newQueueShares(options Options) *queueShares {
	if !options.Features.Has(feature.Shares) {
		return nil
	}
	meter := telemetry.Meter(options.Meters, "owner")
	shares := &queueShares{table: share.NewTable(), jobs: map[*job.Job]*share.Job{}, gauged: map[share.Key]bool{}}
	shares.shareGauge, _ = meter.Int64Gauge("ambertiller.queue.share", metric.WithUnit("mCPU"),
		metric.WithDescription("Share of a queue in the processors of its service while they are too few, else 0."))
	shares.useGauge, _ = meter.Int64Gauge("ambertiller.queue.use", metric.WithUnit("mCPU"),
		metric.WithDescription("Processors that a queue uses while those of its service are too few, else 0."))
	return shares
}

// noteUnplaced records that no worker could take a task, if that is for lack of resources.
func (shares *queueShares) noteUnplaced(task *job.Task, workers []*candidate, now time.Time) {
	if shares == nil {
		return
	}
	key := queueOf(task.Job())
	if !shares.table.IsNoted(key, now) && lacksResources(task, workers) {
		shares.table.NoteUnplaced(key, now)
	}
}

// lacksResources reports whether a task is without a worker because other tasks use the resources that queues
// compete for. Tolerance is not one of them: it depends on the serving tasks, and some fleets always lack it.
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

// jobDetails returns the properties that determine the order of a job. It adds jobs that are new since the last count.
func (shares *queueShares) jobDetails(j *job.Job, now time.Time) *share.Job {
	details, known := shares.jobs[j]
	if !known {
		details = describeJob(j, now)
		shares.jobs[j] = details
	}
	return details
}

// describeJob computes the properties that determine the order of a job.
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
	if shares.table.EndCount(owner.capacityOf, now) {
		shares.changed = true
	}
}

// capacityOf returns the processors of the workers of a service that tasks may be placed on.
func (owner *Owner) capacityOf(service string) int64 {
	milliCPU := int64(0)
	for view := range owner.agentViews() {
		status := view.status()
		if view.conn != nil && status.GetReady() && !status.GetDraining() && status.GetService() == service {
			milliCPU += status.GetMilliCpu()
		}
	}
	return milliCPU
}

// addPeerDemands adds the recent reports of the other owners about their queues. Without such reports, only the queues
// that this owner has jobs of have shares.
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

// addPeerRow adds a fraction of another owner's report about a queue.
func (shares *queueShares) addPeerRow(row *wire.QueueBacklog, fraction float64) {
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
