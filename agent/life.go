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

// newRunAge is how old a run is at most that has just begun. A task that brings workers down
// does so 10 ms after its start, which agents noticed within 70 ms of the order; the more runs
// count as just begun, the more chance victims are suspected. With 500 ms one of 63 suspects of a
// day was suspected twice in a row.
const newRunAge = 250 * time.Millisecond

// recordAnswer takes note of an answer of the worker to a call that was sent at a time: it
// lived then. Heartbeats don't count: one that was held up may arrive when its sender is gone.
func (state *workerState) recordAnswer(sentAt, now time.Time) {
	state.provenAliveAt = later(state.provenAliveAt, sentAt)
	state.lastSignAt = later(state.lastSignAt, now)
}

// recordCallError takes note of an error instead of an answer. A connection that the worker's side
// has ended is a sign that it lived until about then; silence is none.
func (state *workerState) recordCallError(err error, now time.Time) {
	if !errors.Is(err, context.DeadlineExceeded) {
		state.lastSignAt = later(state.lastSignAt, now)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// observedRunTime returns for how long a run was on the worker as far as there were signs of it, which
// may be too long by what this process was late to see the last one.
func (state *workerState) observedRunTime(run *runState) time.Duration {
	return max(state.lastSignAt.Sub(run.startSentAt), 0)
}

// survivedStart reports whether a run went on for certain after its start. Only this clears its
// task: the worker answered a call that was sent when the run had not just begun any more.
func (state *workerState) survivedStart(run *runState) bool {
	return state.provenAliveAt.Sub(run.startSentAt) >= newRunAge
}

// hasNewSuspect reports whether a suspect has just been started. Two of them apart from each
// other show which one it is, should the worker crash.
func (state *workerState) hasNewSuspect(now time.Time) bool {
	for _, run := range state.runs {
		if run.isSuspect && now.Sub(run.startSentAt) < newRunAge {
			return true
		}
	}
	return false
}

// crashSuspects returns the runs that may be why the worker has crashed, those that had just begun, and
// how each is told: beside one that was suspected before the others are most likely innocent, and
// are told apart. Those that were told as over while the worker did not answer are among them.
func (state *workerState) crashSuspects() map[*runState]wire.EndReason {
	begun := state.newRuns()
	known := slices.ContainsFunc(begun, func(run *runState) bool { return run.isSuspect })
	found := map[*runState]wire.EndReason{}
	for _, run := range begun {
		found[run] = wire.EndReason_END_CRASHED
		if known && !run.isSuspect {
			found[run] = wire.EndReason_END_CRASHED_BESIDE
		}
	}
	return found
}

// newRuns returns the runs that had just begun at the last sign of life of the worker. One
// that an agent found when it started was there before.
func (state *workerState) newRuns() []*runState {
	runs := slices.AppendSeq(slices.Clone(state.givenUpRuns), maps.Values(state.runs))
	return slices.DeleteFunc(runs, func(run *runState) bool { return run.adopted || state.observedRunTime(run) >= newRunAge })
}

// reportEndedRuns tells the owners what became of the runs of an incarnation that is over.
func (agent *Agent) reportEndedRuns(over *workerState, how endCause) {
	suspects := map[*runState]wire.EndReason{}
	if how == causeReplaced {
		suspects = over.crashSuspects()
	}
	for _, run := range over.runs {
		if reason, suspected := suspects[run]; suspected {
			agent.reportCrashedRun(over, run, reason)
			continue
		}
		agent.reportLostRun(over, run)
	}
	for _, run := range over.givenUpRuns {
		if reason, suspected := suspects[run]; suspected {
			agent.reportCrashedRun(over, run, reason)
		}
	}
}

// reportCrashedRun tells a run's owner that its worker crashed, and that the run may be why.
func (agent *Agent) reportCrashedRun(on *workerState, run *runState, reason wire.EndReason) {
	end := on.newLostEnd(run)
	end.Reason = reason
	agent.logLostRun(event.RunCrashed, on, run, slog.Bool("suspect", run.isSuspect), slog.Bool("beside", reason == wire.EndReason_END_CRASHED_BESIDE))
	agent.queueEnd(end, run.shard)
}

// reportLostRun tells the run's owner that it is over without an end.
func (agent *Agent) reportLostRun(on *workerState, run *runState) {
	agent.logLostRun(event.RunLost, on, run)
	agent.queueEnd(on.newLostEnd(run), run.shard)
}

func (agent *Agent) logLostRun(code event.Code, on *workerState, run *runState, attributes ...slog.Attr) {
	about := []slog.Attr{
		slog.String("worker", on.incarnation.WorkerID()), slog.Int64("born", on.incarnation.StartedMs()), slog.String("phase", run.phase.String()), slog.Duration("lived", on.observedRunTime(run)),
	}
	agent.logRun(code, run, append(about, attributes...)...)
}

// newLostEnd is the end of a run that its worker did not list.
func (state *workerState) newLostEnd(run *runState) *wire.RunEnd {
	return &wire.RunEnd{
		Worker: state.incarnation.WorkerID(), Born: state.incarnation.StartedMs(), Task: run.task, Attempt: run.attempt, Reason: wire.EndReason_END_LOST,
		Checkpoint: run.checkpoint, Proven: state.survivedStart(run),
	}
}

// String returns the phase as logs name it.
func (phase runPhase) String() string {
	names := map[runPhase]string{
		phaseStarting: "starting", phaseUnsettled: "unsettled", phaseRunning: "running", phaseStopping: "stopping",
	}
	return names[phase]
}
