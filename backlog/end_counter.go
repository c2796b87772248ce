package backlog

import (
	"time"

	"ambertiller.example/ambertiller/job"
)

const (
	// Window is how long ended work counts in the rate at which work ends. It is long enough for several tasks of a few
	// seconds to end, and short enough that the rate follows a change within the target duration of such jobs.
	Window = 5 * time.Second
	// MinWindow is how long ends must have been counted before a rate is computed from them.
	MinWindow = 2 * time.Second
)

// EndCounter counts the work and the jobs that ended within Window.
type EndCounter struct {
	since time.Time
	ends  []end // in the order of their times
}

// end is the end of a task, or of a job if jobs is 1.
type end struct {
	at     time.Time
	key    rowKey
	coreMs int64
	jobs   int32
}

// NewEndCounter returns an EndCounter that counts from now on.
func NewEndCounter(now time.Time) *EndCounter { return &EndCounter{since: now} }

// AddTask counts the work of a task that is done. For a gang, it counts the work of all members, since they are done
// together. A long-running task has no amount of work, so it doesn't count.
func (counter *EndCounter) AddTask(task *job.Task, now time.Time) {
	if task.Spec().GetLasting() {
		return
	}
	coreMs := stepCoreMs(task.Spec())
	if task.Spec().GetGang() {
		coreMs *= int64(len(task.Job().StepTasks(task)))
	}
	counter.add(end{at: now, key: newRowKey(task.Job().Submission(), taskNeed(task.Spec())), coreMs: coreMs}, now)
}

// AddJob counts a job that was completed.
func (counter *EndCounter) AddJob(j *job.Job, now time.Time) {
	counter.add(end{at: now, key: newRowKey(j.Submission(), jobNeed(j.Submission())), jobs: 1}, now)
}

func (counter *EndCounter) add(added end, now time.Time) {
	counter.prune(now)
	counter.ends = append(counter.ends, added)
}

// prune removes the ends that are older than Window.
func (counter *EndCounter) prune(now time.Time) {
	for len(counter.ends) > 0 && now.Sub(counter.ends[0].at) >= Window {
		counter.ends = counter.ends[1:]
	}
}

// window returns for how long ends have been counted, up to Window.
func (counter *EndCounter) window(now time.Time) time.Duration {
	return min(now.Sub(counter.since), Window)
}

// IsReliable reports whether ends have been counted for long enough to compute a rate.
func (counter *EndCounter) IsReliable(now time.Time) bool { return counter.window(now) >= MinWindow }
