package agent

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/wire"
)

// newRunAge is the age up to which a run counts as new, and is suspected if the worker crashes. A task that
// crashes workers does so 10 ms after its start, and agents notice it within 70 ms of the order. With a
// longer time, more runs are suspected that are new by chance: with 500 ms, one of 63 suspects within a
// day was suspected twice in a row.
const newRunAge = 250 * time.Millisecond

// recordAnswer records that the worker answered a call that was sent at sentAt, and thus was alive at that
// time. Heartbeats are no such proof: a delayed one may arrive when its sender is gone.
func (state *workerState) recordAnswer(sentAt, now time.Time) {
	state.provenAliveAt = later(state.provenAliveAt, sentAt)
	state.lastSignAt = later(state.lastSignAt, now)
}

// recordCallError records that a call failed. If the worker's side closed the connection, the worker was
// alive until about now. A timeout is no sign of life.
func (state *workerState) recordCallError(err error, now time.Time) {
	if !errors.Is(err, context.DeadlineExceeded) {
		state.lastSignAt = later(state.lastSignAt, now)
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// observedRunTime returns how long the run was on the worker up to the last sign of life. It may be too long
// by the delay with which this process noticed that sign.
func (state *workerState) observedRunTime(run *runState) time.Duration {
	return max(state.lastSignAt.Sub(run.startSentAt), 0)
}

// survivedStart reports whether the run certainly went on after its start: the worker answered a call that
// was sent when the run was no longer new. Only this clears its task of suspicion.
func (state *workerState) survivedStart(run *runState) bool {
	return state.provenAliveAt.Sub(run.startSentAt) >= newRunAge
}

// hasNewSuspect reports whether one of the new runs is a suspect. No other suspect is started until it is no
// longer new: if the worker crashes, it is then clear which of the two was the cause.
func (state *workerState) hasNewSuspect(now time.Time) bool {
	for _, run := range state.runs {
		if run.isSuspect && now.Sub(run.startSentAt) < newRunAge {
			return true
		}
	}
	return false
}

// crashSuspects returns the runs that may have caused a crash of the worker, which are the new ones, with the
// reason that is reported to the owner of each. If one of them was a suspect before, the others are most
// likely not the cause and get a reason of their own. Runs that were given up while the worker did not answer
// are included.
func (state *workerState) crashSuspects() map[*runState]wire.EndReason {
	runs := state.newRuns()
	hasKnownSuspect := slices.ContainsFunc(runs, func(run *runState) bool { return run.isSuspect })
	reasons := map[*runState]wire.EndReason{}
	for _, run := range runs {
		reasons[run] = wire.EndReason_END_CRASHED
		if hasKnownSuspect && !run.isSuspect {
			reasons[run] = wire.EndReason_END_CRASHED_BESIDE
		}
	}
	return reasons
}

// newRuns returns the runs that were new at the last sign of life of the worker. Adopted runs are not new:
// they were there before the agent started.
func (state *workerState) newRuns() []*runState {
	runs := slices.AppendSeq(slices.Clone(state.givenUpRuns), maps.Values(state.runs))
	return slices.DeleteFunc(runs, func(run *runState) bool { return run.adopted || state.observedRunTime(run) >= newRunAge })
}

// reportEndedRuns reports the runs of an incarnation that is over to their owners, as crashed or as lost.
func (agent *Agent) reportEndedRuns(state *workerState, cause endCause) {
	suspects := map[*runState]wire.EndReason{}
	if cause == causeReplaced {
		suspects = state.crashSuspects()
	}
	for _, run := range state.runs {
		if reason, suspected := suspects[run]; suspected {
			agent.reportCrashedRun(state, run, reason)
			continue
		}
		agent.reportLostRun(state, run)
	}
	for _, run := range state.givenUpRuns {
		if reason, suspected := suspects[run]; suspected {
			agent.reportCrashedRun(state, run, reason)
		}
	}
}

// reportCrashedRun reports to the run's owner that the worker crashed, and that the run may have caused it.
func (agent *Agent) reportCrashedRun(state *workerState, run *runState, reason wire.EndReason) {
	end := state.newLostEnd(run)
	end.Reason = reason
	agent.logLostRun(event.RunCrashed, state, run, slog.Bool("suspect", run.isSuspect), slog.Bool("beside", reason == wire.EndReason_END_CRASHED_BESIDE))
	agent.queueEnd(end, run.shard)
}

// reportLostRun reports to the run's owner that the run is over without an end listed by the worker.
func (agent *Agent) reportLostRun(state *workerState, run *runState) {
	agent.logLostRun(event.RunLost, state, run)
	agent.queueEnd(state.newLostEnd(run), run.shard)
}

// logLostRun logs an event about a run that is over without an end listed by the worker.
func (agent *Agent) logLostRun(code event.Code, state *workerState, run *runState, attributes ...slog.Attr) {
	common := []slog.Attr{
		slog.String("worker", state.incarnation.WorkerID()), slog.Int64("born", state.incarnation.StartedMs()), slog.String("phase", run.phase.String()), slog.Duration("lived", state.observedRunTime(run)),
	}
	agent.logRun(code, run, append(common, attributes...)...)
}

// newLostEnd returns the end of a run for which the worker listed none.
func (state *workerState) newLostEnd(run *runState) *wire.RunEnd {
	return &wire.RunEnd{
		Worker: state.incarnation.WorkerID(), Born: state.incarnation.StartedMs(), Task: run.task, Attempt: run.attempt, Reason: wire.EndReason_END_LOST,
		Checkpoint: run.checkpoint, Proven: state.survivedStart(run), Unanswered: !run.begun,
	}
}

// String returns the name of the phase for logs.
func (phase runPhase) String() string {
	names := map[runPhase]string{
		phaseStarting: "starting", phaseUnsettled: "unsettled", phaseRunning: "running", phaseStopping: "stopping",
	}
	return names[phase]
}
