package report

import (
	"cmp"
	"slices"
	"time"
)

// Labels of the time spent along the critical path of a job.
const (
	timeAwaitingOwner   = "waiting for an owner"
	timeAwaitingStore   = "waiting for the store"
	timeRefused         = "orders refused"
	timeRunning         = "running"
	timeOverEstimate    = "running longer than estimated"
	timeSlowed          = "slowed for serving tasks"
	timeEvicted         = "evicted, until placed again"
	timeMoved           = "moved, until placed again"
	timeStopped         = "stopped, until placed again"
	timeLost            = "lost with a worker"
	timeFailed          = "runs that failed"
	placementWaitPrefix = "waiting for a place: "
)

// timeOnCriticalPath returns what the time of an ended job was spent on along its critical path, by label.
func (j *jobHistory) timeOnCriticalPath() map[string]time.Duration {
	times := map[string]time.Duration{}
	until := j.endedAt
	task := j.lastDoneTask(until, -1)
	for task != nil {
		readyAt := task.addTimes(times, until)
		previous := j.lastDoneTask(readyAt, task.step)
		if previous == nil {
			until = readyAt
			break
		}
		// Once the owner has read the end, it places the tasks that wait for it without delay. The time until
		// then was spent waiting for the owner.
		end := previous.lastRun().endedAt
		times[timeAwaitingOwner] += readyAt.Sub(end)
		task, until = previous, end
	}
	times[timeAwaitingOwner] += max(until.Sub(j.acceptedAt), 0)
	return times
}

// lastDoneTask returns the task that was done last, among the tasks that were done by then and belong to a
// step before the given one, or to any step if that is negative. It returns nil if there is none.
func (j *jobHistory) lastDoneTask(by time.Time, step int32) *taskHistory {
	var last *taskHistory
	for _, task := range j.tasks {
		run := task.lastRun()
		if run.outcome != runDone || run.endedAt.After(by) || step >= 0 && task.step >= step {
			continue
		}
		if last == nil || run.endedAt.After(last.lastRun().endedAt) {
			last = task
		}
	}
	return last
}

// addTimes adds what the time of the task was spent on, and returns when the task was first ready to be
// placed.
func (task *taskHistory) addTimes(times map[string]time.Duration, until time.Time) time.Time {
	for index, run := range task.runs {
		run.addTimes(times, until, index == 0)
		if index == 0 {
			continue
		}
		previous := task.runs[index-1]
		gap := max(run.placedAt.Sub(previous.endOr(run.placedAt)), 0)
		waited := min(run.waitTime, gap)
		times[previous.gapLabel()] += gap - waited
		run.addWait(times, waited)
	}
	first := task.runs[0]
	first.addWait(times, first.waitTime)
	return first.placedAt.Add(-first.waitTime)
}

// addWait adds the time for which the run waited to be placed, by the obstacle to its placement.
func (run *runHistory) addWait(times map[string]time.Duration, waited time.Duration) {
	if waited > 0 {
		times[placementWaitPrefix+run.obstacle] += waited
	}
}

// gapLabel returns the label of the time between the end of the run and the start of the next one.
func (run *runHistory) gapLabel() string {
	switch {
	case run.moved:
		return timeMoved
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

// addTimes adds what the time of the run was spent on. Only a run from the start can be compared with its
// estimate, since a later one may resume from a checkpoint.
func (run *runHistory) addTimes(times map[string]time.Duration, until time.Time, fromStart bool) {
	elapsed := run.endOr(until).Sub(run.placedAt)
	switch run.outcome {
	case runRefused:
		times[timeRefused] += elapsed
		return
	case runLost:
		times[timeLost] += elapsed
		return
	case runFailed:
		times[timeFailed] += elapsed
		return
	}
	storeTime := min(run.storeTime, elapsed)
	slowed := min(run.slowedTime, elapsed-storeTime)
	running := elapsed - storeTime - slowed
	times[timeAwaitingStore] += storeTime
	times[timeSlowed] += slowed
	if fromStart && run.outcome == runDone && run.estimate > 0 && running > run.estimate {
		times[timeOverEstimate] += running - run.estimate
		running = run.estimate
	}
	times[timeRunning] += running
}

// sortedDurations returns the durations above zero in descending order.
func sortedDurations(times map[string]time.Duration) []LabeledDuration {
	var sorted []LabeledDuration
	for label, duration := range times {
		if duration > 0 {
			sorted = append(sorted, LabeledDuration{Label: label, Duration: duration})
		}
	}
	slices.SortFunc(sorted, func(a, b LabeledDuration) int {
		return cmp.Or(cmp.Compare(b.Duration, a.Duration), cmp.Compare(a.Label, b.Label))
	})
	return sorted
}
