package report

import (
	"cmp"
	"slices"
	"time"
)

// What the time of a job went to, along the chain of runs that decided its end.
const (
	timeAwaitingOwner   = "waiting for an owner"
	timeAwaitingStore   = "waiting for the store"
	timeRefused         = "orders refused"
	timeRunning         = "running"
	timeOverEstimate    = "running longer than estimated"
	timeSlowed          = "slowed for serving tasks"
	timeEvicted         = "evicted, until placed again"
	timeStopped         = "stopped, until placed again"
	timeLost            = "lost with a worker"
	timeFailed          = "runs that failed"
	placementWaitPrefix = "waiting for a place: "
)

// timeOnCriticalPath returns where the time of an ended job went.
func (of *jobHistory) timeOnCriticalPath() map[string]time.Duration {
	spent := map[string]time.Duration{}
	until := of.endedAt
	task := of.lastDoneTask(until, -1)
	for task != nil {
		begun := task.addTimes(spent, until)
		before := of.lastDoneTask(begun, task.step)
		if before == nil {
			until = begun
			break
		}
		// An owner that has read the end places what waits for it at once.
		end := before.lastRun().endedAt
		spent[timeAwaitingOwner] += begun.Sub(end)
		task, until = before, end
	}
	spent[timeAwaitingOwner] += max(until.Sub(of.acceptedAt), 0)
	return spent
}

// lastDoneTask returns the task that was done last of those done by then, and of steps
// before one, unless it is negative; nil if there is none.
func (of *jobHistory) lastDoneTask(by time.Time, step int32) *taskHistory {
	var last *taskHistory
	for _, task := range of.tasks {
		final := task.lastRun()
		if final.outcome != runDone || final.endedAt.After(by) || step >= 0 && task.step >= step {
			continue
		}
		if last == nil || final.endedAt.After(last.lastRun().endedAt) {
			last = task
		}
	}
	return last
}

// addTimes adds up where the time of a task went, and returns when it was first ready.
func (task *taskHistory) addTimes(spent map[string]time.Duration, until time.Time) time.Time {
	for index, run := range task.runs {
		run.addTimes(spent, until, index == 0)
		if index == 0 {
			continue
		}
		before := task.runs[index-1]
		gap := max(run.placedAt.Sub(before.endOr(run.placedAt)), 0)
		waited := min(run.waitTime, gap)
		spent[before.gapLabel()] += gap - waited
		run.addWait(spent, waited)
	}
	first := task.runs[0]
	first.addWait(spent, first.waitTime)
	return first.placedAt.Add(-first.waitTime)
}

// addWait counts a wait for a place by what was lacking.
func (run *runHistory) addWait(spent map[string]time.Duration, waited time.Duration) {
	if waited > 0 {
		spent[placementWaitPrefix+run.obstacle] += waited
	}
}

// gapLabel names the time between the end of a run and the next.
func (run *runHistory) gapLabel() string {
	switch {
	case run.evicted:
		return timeEvicted
	case run.outcome == runLost:
		return timeLost
	case run.outcome == runRefused:
		return timeRefused
	case run.outcome == runFailed:
		return timeFailed
	}
	return timeStopped
}

// addTimes counts the time of one run. Only one that began at the beginning can be held
// against its estimate.
func (run *runHistory) addTimes(spent map[string]time.Duration, until time.Time, fromStart bool) {
	whole := run.endOr(until).Sub(run.placedAt)
	switch run.outcome {
	case runRefused:
		spent[timeRefused] += whole
		return
	case runLost:
		spent[timeLost] += whole
		return
	case runFailed:
		spent[timeFailed] += whole
		return
	}
	recorded := min(run.storeTime, whole)
	slowed := min(run.slowedTime, whole-recorded)
	running := whole - recorded - slowed
	spent[timeAwaitingStore] += recorded
	spent[timeSlowed] += slowed
	if fromStart && run.outcome == runDone && run.estimate > 0 && running > run.estimate {
		spent[timeOverEstimate] += running - run.estimate
		running = run.estimate
	}
	spent[timeRunning] += running
}

// sortedDurations orders times, the longest first, and leaves out what took none.
func sortedDurations(spent map[string]time.Duration) []LabeledDuration {
	var ordered []LabeledDuration
	for what, took := range spent {
		if took > 0 {
			ordered = append(ordered, LabeledDuration{Label: what, Duration: took})
		}
	}
	slices.SortFunc(ordered, func(a, b LabeledDuration) int {
		return cmp.Or(cmp.Compare(b.Duration, a.Duration), cmp.Compare(a.Label, b.Label))
	})
	return ordered
}
