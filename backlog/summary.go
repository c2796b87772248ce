package backlog

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// rowKey identifies a row of a summary.
type rowKey struct {
	queue, service string
	priority       int32
	need           wire.TaskNeed
}

func newRowKey(submission *job.Submission, need wire.TaskNeed) rowKey {
	return rowKey{
		queue: submission.GetQueue(), service: submission.GetService(), priority: submission.GetPriority(), need: need,
	}
}

// Tasks is what an owner knows of tasks beyond the state of their jobs.
type Tasks interface {
	// ProgressPercent returns how much of its work a started task has done.
	ProgressPercent(task *job.Task) int32
	// LacksResources reports whether a waiting task would start if the workers had more free resources.
	LacksResources(task *job.Task) bool
}

// Summary is what the open jobs of queues wait for and use. It has a row for each queue and need.
type Summary struct {
	rows map[rowKey]*row
}

type row struct {
	message *wire.QueueBacklog
	// outcomeJobs is the number of jobs over which the outcome ratio is the mean.
	outcomeJobs int32
}

// NewSummary returns a summary without jobs.
func NewSummary() *Summary { return &Summary{rows: map[rowKey]*row{}} }

// rowFor returns the row with a key, and adds it if there is none.
func (summary *Summary) rowFor(key rowKey) *row {
	found := summary.rows[key]
	if found == nil {
		found = &row{message: &wire.QueueBacklog{
			Queue: key.queue, Service: key.service, Priority: key.priority, Need: key.need, WindowMs: Window.Milliseconds(),
		}}
		summary.rows[key] = found
	}
	return found
}

// AddJob adds a job, unless it has ended. The job counts in the row of its own need, its tasks in those of
// theirs.
func (summary *Summary) AddJob(j *job.Job, tasks Tasks, now time.Time) {
	if j.HasEnded() {
		return
	}
	own := summary.rowFor(newRowKey(j.Submission(), jobNeed(j.Submission()))).message
	own.OpenJobs++
	if j.State() == job.State_STATE_QUEUED {
		addWaitingJobs(own, 1, j.Objective().Sub(now).Milliseconds())
	}
	for _, task := range j.Tasks() {
		if task.IsDue(now) {
			summary.addTask(task, tasks)
		}
	}
}

// isUnplaced reports whether a task waits because the placement has found no worker for it.
func isUnplaced(task *job.Task) bool {
	return task.State() == job.TaskState_TASK_WAITING && task.IsUnplaced()
}

// isConstrained reports whether a task waits because of its own constraints, not because of a lack of resources.
func isConstrained(task *job.Task, tasks Tasks) bool {
	return isUnplaced(task) && !tasks.LacksResources(task)
}

// addWaitingJobs adds jobs of which no task has started. The objective is the earliest of them.
func addWaitingJobs(message *wire.QueueBacklog, count int32, objectiveMs int64) {
	if count == 0 {
		return
	}
	if message.GetWaitingJobs() == 0 || objectiveMs < message.GetEarliestObjectiveMs() {
		message.EarliestObjectiveMs = objectiveMs
	}
	message.WaitingJobs += count
}

func (summary *Summary) addTask(task *job.Task, tasks Tasks) {
	spec := task.Spec()
	message := summary.rowFor(newRowKey(task.Job().Submission(), taskNeed(spec))).message
	switch task.State() {
	case job.TaskState_TASK_STARTED:
		message.UsedMilliCpu += spec.GetMilliCpu()
		message.RunningCoreMs += stepCoreMs(spec) * int64(100-min(max(tasks.ProgressPercent(task), 0), 100)) / 100
	case job.TaskState_TASK_WAITING:
		if isConstrained(task, tasks) {
			// The task does not use resources that others wait for, so it is not ahead of any.
			return
		}
		message.WaitingCoreMs += stepCoreMs(spec)
		if task.IsUnplaced() {
			message.WaitingTasks++
			message.WantedMilliCpu += spec.GetMilliCpu()
		}
	}
}

// AddEnded adds the work and the jobs that ended lately. Work counted over less than Window is extrapolated to it.
func (summary *Summary) AddEnded(counter *EndCounter, now time.Time) {
	counter.prune(now)
	window := counter.window(now)
	if window <= 0 {
		return
	}
	coreMs := map[rowKey]int64{}
	for _, counted := range counter.ends {
		summary.rowFor(counted.key).message.EndedJobs += counted.jobs
		coreMs[counted.key] += counted.coreMs
	}
	for key, counted := range coreMs {
		summary.rowFor(key).message.EndedCoreMs += extrapolate(counted, window.Milliseconds())
	}
}

// extrapolate returns the work that ends within Window if coreMs ended within windowMs.
func extrapolate(coreMs, windowMs int64) int64 {
	if windowMs <= 0 {
		return 0
	}
	return int64(float64(coreMs) * float64(Window.Milliseconds()) / float64(windowMs))
}

// AddMessage adds the row of another summary.
func (summary *Summary) AddMessage(added *wire.QueueBacklog) {
	key := rowKey{
		queue: added.GetQueue(), service: added.GetService(), priority: added.GetPriority(), need: added.GetNeed(),
	}
	target := summary.rowFor(key)
	target.addOutcome(added)
	message := target.message
	addWaitingJobs(message, added.GetWaitingJobs(), added.GetEarliestObjectiveMs())
	message.OpenJobs += added.GetOpenJobs()
	message.WaitingTasks += added.GetWaitingTasks()
	message.WaitingCoreMs += added.GetWaitingCoreMs()
	message.RunningCoreMs += added.GetRunningCoreMs()
	message.EndedCoreMs += extrapolate(added.GetEndedCoreMs(), added.GetWindowMs())
	message.EndedJobs += added.GetEndedJobs()
	message.UsedMilliCpu += added.GetUsedMilliCpu()
	message.WantedMilliCpu += added.GetWantedMilliCpu()
}

// addOutcome adds the outcome ratio of another row to the mean, weighted by the number of jobs.
func (target *row) addOutcome(added *wire.QueueBacklog) {
	if added.GetOutcomeRatio() <= 0 {
		return
	}
	jobs := max(added.GetOpenJobs()+added.GetEndedJobs(), 1)
	target.outcomeJobs += jobs
	share := float64(jobs) / float64(target.outcomeJobs)
	target.message.OutcomeRatio += share * (added.GetOutcomeRatio() - target.message.GetOutcomeRatio())
	target.message.OutcomeDeviation += share * (added.GetOutcomeDeviation() - target.message.GetOutcomeDeviation())
}

// Messages returns copies of the rows, sorted.
func (summary *Summary) Messages() []*wire.QueueBacklog {
	messages := make([]*wire.QueueBacklog, 0, len(summary.rows))
	for _, found := range summary.rows {
		messages = append(messages, proto.CloneOf(found.message))
	}
	slices.SortFunc(messages, func(a, b *wire.QueueBacklog) int {
		return cmp.Or(cmp.Compare(a.GetQueue(), b.GetQueue()), cmp.Compare(a.GetNeed(), b.GetNeed()),
			cmp.Compare(a.GetService(), b.GetService()), cmp.Compare(a.GetPriority(), b.GetPriority()))
	})
	return messages
}
