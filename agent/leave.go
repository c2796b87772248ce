package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
)

const (
	// leaveAhead is how long before a leaving worker's time is over its runs are
	// stopped: a stop takes up to half a second and its end has to reach the owner
	// before this process may be gone too.
	leaveAhead = 1200 * time.Millisecond
	// leaveMargin is left of that time by a run that is expected to end by itself.
	leaveMargin = 300 * time.Millisecond
)

// noteLeaving takes in how long a draining worker stays at least; 0 says nothing.
func (state *workerState) noteLeaving(now time.Time) {
	if !state.beat.Draining {
		// It stays after all; what a later notice says counts anew.
		state.leavesAt = time.Time{}
		return
	}
	if state.beat.Remaining <= 0 {
		return
	}
	state.leavesAt = now.Add(state.beat.Remaining)
}

// moveAhead stops the runs that would not end before their worker leaves. They go on
// elsewhere from where they were; with the worker they would be lost, and missed only
// once their lease is over.
func (agent *Agent) moveAhead(now time.Time) {
	state := agent.worker
	if !state.leavesSoon(now) {
		return
	}
	for _, run := range state.runs {
		if run.phase != phaseRunning || now.Sub(run.stopSentAt) < stopAgain || run.endsBy(state.leavesAt.Add(-leaveMargin), now) {
			continue
		}
		agent.logRun(event.RunMovedAhead, run,
			slog.Duration("left", state.leavesAt.Sub(now)), slog.Int("percent", int(run.percent)))
		agent.stopRun(state, run, now)
	}
}

// leavesSoon reports whether a draining worker may be gone before stops that are
// ordered later have ended.
func (state *workerState) leavesSoon(now time.Time) bool {
	return state.beat.Draining && !state.leavesAt.IsZero() && !now.Before(state.leavesAt.Add(-leaveAhead))
}

// endsBy reports whether a run is expected to have ended by then, at the rate at
// which it has got on so far.
func (run *runState) endsBy(then, now time.Time) bool {
	if run.demand.GetLasting() || run.percent <= 0 {
		return false
	}
	ran := now.Sub(run.confirmedAt)
	left := time.Duration(float64(ran) * float64(fullPercent-run.percent) / float64(run.percent))
	return !now.Add(left).After(then)
}
