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

// justBegun is how old a run is at most that has just begun. A task that brings workers down
// does so 10 ms after its start, which agents noticed within 70 ms of the order; the more runs
// count as just begun, the more chance victims are suspected. With 500 ms one of 63 suspects of a
// day was suspected twice in a row.
const justBegun = 250 * time.Millisecond

// noteAnswer takes note of an answer of the worker to a call that was sent at a time: it
// lived then. Heartbeats don't count: one that was held up may arrive when its sender is gone.
func (state *workerState) noteAnswer(sentAt, now time.Time) {
	state.aliveAt = later(state.aliveAt, sentAt)
	state.signAt = later(state.signAt, now)
}

// noteBroken takes note of an error instead of an answer. A connection that the worker's side
// has ended is a sign that it lived until about then; silence is none.
func (state *workerState) noteBroken(err error, now time.Time) {
	if !errors.Is(err, context.DeadlineExceeded) {
		state.signAt = later(state.signAt, now)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lived returns for how long a run was on the worker as far as there were signs of it, which
// may be too long by what this process was late to see the last one.
func (state *workerState) lived(run *runState) time.Duration {
	return max(state.signAt.Sub(run.sentAt), 0)
}

// outlived reports whether a run went on for certain after its start. Only this clears its
// task: the worker answered a call that was sent when the run had not just begun any more.
func (state *workerState) outlived(run *runState) bool {
	return state.aliveAt.Sub(run.sentAt) >= justBegun
}

// hasNewSuspect reports whether a suspect has just been started. Two of them apart from each
// other show which one it is, should the worker crash.
func (state *workerState) hasNewSuspect(now time.Time) bool {
	for _, run := range state.runs {
		if run.suspect && now.Sub(run.sentAt) < justBegun {
			return true
		}
	}
	return false
}

// suspects returns the runs that may be why the worker has crashed, those that had just begun, and
// how each is told: beside one that was suspected before the others are most likely innocent, and
// are told apart. Those that were told as over while the worker did not answer are among them.
func (state *workerState) suspects() map[*runState]wire.EndReason {
	begun := state.newRuns()
	known := slices.ContainsFunc(begun, func(run *runState) bool { return run.suspect })
	found := map[*runState]wire.EndReason{}
	for _, run := range begun {
		found[run] = wire.EndReason_END_CRASHED
		if known && !run.suspect {
			found[run] = wire.EndReason_END_CRASHED_BESIDE
		}
	}
	return found
}

// newRuns returns the runs that had just begun at the last sign of life of the worker. One
// that an agent found when it started was there before.
func (state *workerState) newRuns() []*runState {
	runs := slices.AppendSeq(slices.Clone(state.givenUp), maps.Values(state.runs))
	return slices.DeleteFunc(runs, func(run *runState) bool { return run.found || state.lived(run) >= justBegun })
}

// tellEnded tells the owners what became of the runs of an incarnation that is over.
func (agent *Agent) tellEnded(over *workerState, how incarnationEnd) {
	suspects := map[*runState]wire.EndReason{}
	if how == endReplaced {
		suspects = over.suspects()
	}
	for _, run := range over.runs {
		if reason, suspected := suspects[run]; suspected {
			agent.tellCrashed(over, run, reason)
			continue
		}
		agent.tellLost(over, run)
	}
	for _, run := range over.givenUp {
		if reason, suspected := suspects[run]; suspected {
			agent.tellCrashed(over, run, reason)
		}
	}
}

// tellCrashed tells a run's owner that its worker crashed, and that the run may be why.
func (agent *Agent) tellCrashed(on *workerState, run *runState, reason wire.EndReason) {
	end := on.lostEnd(run)
	end.Reason = reason
	agent.logLost(event.RunCrashed, on, run, slog.Bool("suspect", run.suspect), slog.Bool("beside", reason == wire.EndReason_END_CRASHED_BESIDE))
	agent.sendEnd(end, run.shard)
}

// tellLost tells the run's owner that it is over without an end.
func (agent *Agent) tellLost(on *workerState, run *runState) {
	agent.logLost(event.RunLost, on, run)
	agent.sendEnd(on.lostEnd(run), run.shard)
}

func (agent *Agent) logLost(code event.Code, on *workerState, run *runState, attributes ...slog.Attr) {
	about := []slog.Attr{
		slog.String("worker", on.life.WorkerID()), slog.Int64("born", on.life.StartedMs()), slog.String("phase", run.phase.String()), slog.Duration("lived", on.lived(run)),
	}
	agent.logRun(code, run, append(about, attributes...)...)
}

// lostEnd is the end of a run that its worker did not list.
func (state *workerState) lostEnd(run *runState) *wire.RunEnd {
	return &wire.RunEnd{
		Worker: state.life.WorkerID(), Born: state.life.StartedMs(), Task: run.task, Attempt: run.attempt, Reason: wire.EndReason_END_LOST,
		Checkpoint: run.checkpoint, Proven: state.outlived(run),
	}
}

// String returns the phase as logs name it.
func (phase runPhase) String() string {
	names := map[runPhase]string{
		phaseStarting: "starting", phaseUnsettled: "unsettled", phaseRunning: "running", phaseStopping: "stopping",
	}
	return names[phase]
}
