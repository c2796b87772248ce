package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
)

const (
	// leaveStopTime is how long before a leaving worker's time is over its runs are
	// stopped: a stop takes up to half a second and its end has to reach the owner
	// before this process may be gone too.
	leaveStopTime = 1200 * time.Millisecond
	// leaveMargin is left of that time by a run that is expected to end by itself.
	leaveMargin = 300 * time.Millisecond
)

// updateLeaveTime takes in how long a draining worker stays at least; 0 says nothing.
func (state *workerState) updateLeaveTime(now time.Time) {
	if !state.heartbeat.Draining {
		// It stays after all; what a later notice says counts anew.
		state.leavesAt = time.Time{}
		return
	}
	if state.heartbeat.Remaining <= 0 {
		return
	}
	state.leavesAt = now.Add(state.heartbeat.Remaining)
}

// stopBeforeLeave stops the runs that would not end before their worker leaves. They go on
// elsewhere from where they were; with the worker they would be lost, and missed only
// once their lease is over.
func (agent *Agent) stopBeforeLeave(now time.Time) {
	state := agent.worker
	if !state.leavesSoon(now) {
		return
	}
	for _, run := range state.runs {
		if run.phase != phaseRunning || now.Sub(run.stopSentAt) < stopRetryInterval || run.isExpectedToEndBy(state.leavesAt.Add(-leaveMargin), now) {
			continue
		}
		agent.logRun(event.RunMovedAhead, run,
			slog.Duration("left", state.leavesAt.Sub(now)), slog.Int("percent", int(run.progressPercent)))
		agent.stopRun(state, run, now)
	}
}

// leavesSoon reports whether a draining worker may be gone before stops that are
// ordered later have ended.
func (state *workerState) leavesSoon(now time.Time) bool {
	return state.heartbeat.Draining && !state.leavesAt.IsZero() && !now.Before(state.leavesAt.Add(-leaveStopTime))
}

// isExpectedToEndBy reports whether a run is expected to have ended by then, at the rate at
// which it has got on so far.
func (run *runState) isExpectedToEndBy(then, now time.Time) bool {
	if run.demand.GetLasting() || run.progressPercent <= 0 {
		return false
	}
	ran := now.Sub(run.confirmedAt)
	left := time.Duration(float64(ran) * float64(fullPercent-run.progressPercent) / float64(run.progressPercent))
	return !now.Add(left).After(then)
}
