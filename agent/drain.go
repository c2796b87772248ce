package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
)

const (
	// leaveStopTime is how long before a draining worker may leave its runs are stopped: a stop takes up to
	// half a second, and the end has to reach the owner before this process may be gone too.
	leaveStopTime = 1200 * time.Millisecond
	// leaveMargin is how long before its worker may leave a run must be expected to end, or else it is
	// stopped.
	leaveMargin = 300 * time.Millisecond
)

// updateLeaveTime updates the time from which a draining worker may leave. A heartbeat with a remaining time
// of 0 leaves a known time as it is.
func (state *workerState) updateLeaveTime(now time.Time) {
	if !state.heartbeat.Draining {
		// The worker does not drain, or no longer does. A later notice sets the time again.
		state.leavesAt = time.Time{}
		return
	}
	if state.heartbeat.Remaining <= 0 {
		return
	}
	state.leavesAt = now.Add(state.heartbeat.Remaining)
}

// stopBeforeLeave stops the runs that would not end before their worker leaves, so that they resume
// elsewhere. With the worker they would be lost, which would be noticed only once its lease has expired.
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

// leavesSoon reports whether a draining worker may leave before runs that are stopped later have ended.
func (state *workerState) leavesSoon(now time.Time) bool {
	return state.heartbeat.Draining && !state.leavesAt.IsZero() && !now.Before(state.leavesAt.Add(-leaveStopTime))
}

// isExpectedToEndBy reports whether the run is expected to have ended by then, if it goes on at its average
// rate so far.
func (run *runState) isExpectedToEndBy(then, now time.Time) bool {
	if run.demand.GetLasting() || run.progressPercent <= 0 {
		return false
	}
	elapsed := now.Sub(run.confirmedAt)
	remaining := time.Duration(float64(elapsed) * float64(fullPercent-run.progressPercent) / float64(run.progressPercent))
	return !now.Add(remaining).After(then)
}
