package backlog

import (
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// millisPerCore is the number of milli-CPUs of one core.
const millisPerCore = 1000

// Work is what a job asks of the workers.
type Work struct {
	key          rowKey
	coreMs       int64
	criticalPath time.Duration
	scheduled    bool
}

// NewWork returns the work of a job.
func NewWork(j *job.Job) Work {
	submission := j.Submission()
	work := Work{key: newRowKey(submission, jobNeed(submission)), scheduled: j.IsScheduled()}
	if !j.IsLongRunning() {
		work.coreMs = j.CoreMs()
		work.criticalPath = time.Duration(j.CriticalPathMs()) * time.Millisecond
	}
	return work
}

// Need returns how most of the job's work uses a worker.
func (work Work) Need() wire.TaskNeed { return work.key.need }

// CoreMs returns the estimated work, in milliseconds of one core. It is 0 for a long-running job.
func (work Work) CoreMs() int64 { return work.coreMs }

// taskNeed returns how the tasks of a step use a worker.
func taskNeed(step *job.StepSpec) wire.TaskNeed {
	switch {
	case step.GetLasting():
		return wire.TaskNeed_NEED_LASTING
	case step.GetFills():
		return wire.TaskNeed_NEED_FILL
	}
	return wire.TaskNeed_NEED_RESERVED
}

// jobNeed returns the need of the steps with the most work. A job with a long-running step is long-running.
func jobNeed(submission *job.Submission) wire.TaskNeed {
	fills, reserves := int64(0), int64(0)
	for _, step := range submission.GetSteps() {
		work := int64(step.GetCount()) * stepCoreMs(step)
		switch taskNeed(step) {
		case wire.TaskNeed_NEED_LASTING:
			return wire.TaskNeed_NEED_LASTING
		case wire.TaskNeed_NEED_FILL:
			fills += work
		default:
			reserves += work
		}
	}
	if fills > reserves {
		return wire.TaskNeed_NEED_FILL
	}
	return wire.TaskNeed_NEED_RESERVED
}

// stepCoreMs returns the estimated work of one task of a step, in milliseconds of one core.
func stepCoreMs(step *job.StepSpec) int64 {
	return step.GetMilliCpu() * step.GetEstimateMs() / millisPerCore
}
