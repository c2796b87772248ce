package report

import (
	"cmp"
	"slices"
	"time"
)

// What the time of a job went to, along the chain of runs that decided its end.
const (
	spentOwner    = "waiting for an owner"
	spentStore    = "waiting for the store"
	spentRefused  = "orders refused"
	spentRunning  = "running"
	spentLonger   = "running longer than estimated"
	spentSlowed   = "slowed for serving tasks"
	spentEvicted  = "evicted, until placed again"
	spentStopped  = "stopped, until placed again"
	spentLost     = "lost with a worker"
	spentFailed   = "runs that failed"
	waitingPrefix = "waiting for a place: "
)

// path returns where the time of an ended job went.
func (of *jobHistory) path() map[string]time.Duration {
	spent := map[string]time.Duration{}
	until := of.endedAt
	task := of.lastDone(until, -1)
	for task != nil {
		begun := task.spend(spent, until)
		before := of.lastDone(begun, task.step)
		if before == nil {
			until = begun
			break
		}
		// An owner that has read the end places what waits for it at once.
		end := before.last().endedAt
		spent[spentOwner] += begun.Sub(end)
		task, until = before, end
	}
	spent[spentOwner] += max(until.Sub(of.acceptedAt), 0)
	return spent
}

// lastDone returns the task that was done last of those done by then, and of steps
// before one, unless it is negative; nil if there is none.
func (of *jobHistory) lastDone(by time.Time, step int32) *taskHistory {
	var last *taskHistory
	for _, task := range of.tasks {
		final := task.last()
		if final.how != runDone || final.endedAt.After(by) || step >= 0 && task.step >= step {
			continue
		}
		if last == nil || final.endedAt.After(last.last().endedAt) {
			last = task
		}
	}
	return last
}

// spend adds up where the time of a task went, and returns when it was first ready.
func (task *taskHistory) spend(spent map[string]time.Duration, until time.Time) time.Time {
	for index, run := range task.runs {
		run.spend(spent, until, index == 0)
		if index == 0 {
			continue
		}
		before := task.runs[index-1]
		gap := max(run.placedAt.Sub(before.until(run.placedAt)), 0)
		waited := min(run.waited, gap)
		spent[before.untilPlacedAgain()] += gap - waited
		run.spendWait(spent, waited)
	}
	first := task.runs[0]
	first.spendWait(spent, first.waited)
	return first.placedAt.Add(-first.waited)
}

// spendWait counts a wait for a place by what was lacking.
func (run *runHistory) spendWait(spent map[string]time.Duration, waited time.Duration) {
	if waited > 0 {
		spent[waitingPrefix+run.obstacle] += waited
	}
}

// untilPlacedAgain names the time between the end of a run and the next.
func (run *runHistory) untilPlacedAgain() string {
	switch {
	case run.evicted:
		return spentEvicted
	case run.how == runLost:
		return spentLost
	case run.how == runRefused:
		return spentRefused
	case run.how == runFailed:
		return spentFailed
	}
	return spentStopped
}

// spend counts the time of one run. Only one that began at the beginning can be held
// against its estimate.
func (run *runHistory) spend(spent map[string]time.Duration, until time.Time, fromStart bool) {
	whole := run.until(until).Sub(run.placedAt)
	switch run.how {
	case runRefused:
		spent[spentRefused] += whole
		return
	case runLost:
		spent[spentLost] += whole
		return
	case runFailed:
		spent[spentFailed] += whole
		return
	}
	recorded := min(run.recorded, whole)
	slowed := min(run.slowed, whole-recorded)
	running := whole - recorded - slowed
	spent[spentStore] += recorded
	spent[spentSlowed] += slowed
	if fromStart && run.how == runDone && run.estimate > 0 && running > run.estimate {
		spent[spentLonger] += running - run.estimate
		running = run.estimate
	}
	spent[spentRunning] += running
}

// spans orders times, the longest first, and leaves out what took none.
func spans(spent map[string]time.Duration) []Span {
	var ordered []Span
	for what, took := range spent {
		if took > 0 {
			ordered = append(ordered, Span{What: what, Time: took})
		}
	}
	slices.SortFunc(ordered, func(a, b Span) int {
		return cmp.Or(cmp.Compare(b.Time, a.Time), cmp.Compare(a.What, b.What))
	})
	return ordered
}
