package backlog

import (
	"time"

	"ambertiller.example/ambertiller/job"
)

const (
	// Window is how long ended work counts towards the rate at which work ends. It holds the ends of several
	// tasks of a few seconds, and the rate follows a change within the time that callers allow such jobs.
	Window = 5 * time.Second
	// MinWindow is how long ends must have been counted before a rate is computed from them.
	MinWindow = 2 * time.Second
)

// Ended counts the work and the jobs that ended within Window.
type Ended struct {
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

// NewEnded returns a count that begins now.
func NewEnded(now time.Time) *Ended { return &Ended{since: now} }

// AddTask counts the work of a task that is done. The members of a gang are done together. A long-running task
// has no amount of work.
func (ended *Ended) AddTask(task *job.Task, now time.Time) {
	if task.Spec().GetLasting() {
		return
	}
	coreMs := stepCoreMs(task.Spec())
	if task.Spec().GetGang() {
		coreMs *= int64(len(task.Job().StepTasks(task)))
	}
	ended.add(end{at: now, key: newRowKey(task.Job().Submission(), taskNeed(task.Spec())), coreMs: coreMs}, now)
}

// AddJob counts a job that was completed.
func (ended *Ended) AddJob(j *job.Job, now time.Time) {
	ended.add(end{at: now, key: newRowKey(j.Submission(), jobNeed(j.Submission())), jobs: 1}, now)
}

func (ended *Ended) add(added end, now time.Time) {
	ended.prune(now)
	ended.ends = append(ended.ends, added)
}

// prune removes the ends that are older than Window.
func (ended *Ended) prune(now time.Time) {
	for len(ended.ends) > 0 && now.Sub(ended.ends[0].at) >= Window {
		ended.ends = ended.ends[1:]
	}
}

// window returns for how long ends have been counted, up to Window.
func (ended *Ended) window(now time.Time) time.Duration { return min(now.Sub(ended.since), Window) }

// IsReliable reports whether ends have been counted for long enough to compute a rate.
func (ended *Ended) IsReliable(now time.Time) bool { return ended.window(now) >= MinWindow }
