package agent

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/wire"
)

// outlivesAfter is how long a run lives that has outlived its start. A task that brings
// workers down does so 10 ms after its start, and agents saw it within 70 ms of the order;
// the more runs count as just begun, the more chance victims are started apart.
const outlivesAfter = 500 * time.Millisecond

// noteAlive takes note of an answer of the worker. Heartbeats don't count: one that was
// held up may arrive when its sender is gone.
func (state *workerState) noteAlive(now time.Time) {
	if now.After(state.aliveAt) {
		state.aliveAt = now
	}
}

// lived returns for how long a run is known to have been on the worker without its end:
// from when its start was sent, or from when an agent that has just started found it, to the
// worker's last answer.
func (state *workerState) lived(run *runState) time.Duration {
	return max(state.aliveAt.Sub(run.sentAt), 0)
}

// outlived reports whether a run is known to have gone on after its start.
func (state *workerState) outlived(run *runState) bool {
	return run.found || state.lived(run) >= outlivesAfter
}

// hasNewSuspect reports whether a suspect has just been started. Two of them apart from each
// other show which one it is, should the worker crash.
func (state *workerState) hasNewSuspect(now time.Time) bool {
	for _, run := range state.runs {
		if run.suspect && now.Sub(run.sentAt) < outlivesAfter {
			return true
		}
	}
	return false
}

// suspects returns the runs that may be why the worker has crashed: those that had just begun,
// and of these the ones that were suspected before, if there are any. Those that were told as
// over while the worker did not answer are among them.
func (state *workerState) suspects() map[*runState]bool {
	begun := state.justBegun()
	known := slices.DeleteFunc(slices.Clone(begun), func(run *runState) bool { return !run.suspect })
	if len(known) > 0 {
		begun = known
	}
	found := map[*runState]bool{}
	for _, run := range begun {
		found[run] = true
	}
	return found
}

func (state *workerState) justBegun() []*runState {
	runs := slices.AppendSeq(slices.Clone(state.givenUp), maps.Values(state.runs))
	return slices.DeleteFunc(runs, state.outlived)
}

// tellEnded tells the owners what became of the runs of an incarnation that is over.
func (agent *Agent) tellEnded(over *workerState, how incarnationEnd) {
	suspects := map[*runState]bool{}
	if how == endReplaced {
		suspects = over.suspects()
	}
	alone := len(suspects) == 1
	for _, run := range over.runs {
		if suspects[run] {
			agent.tellCrashed(over, run, alone)
			continue
		}
		agent.tellLost(over, run)
	}
	for _, run := range over.givenUp {
		if suspects[run] {
			agent.tellCrashed(over, run, alone)
		}
	}
}

// tellCrashed tells a run's owner that its worker crashed, and that the run may be why.
func (agent *Agent) tellCrashed(on *workerState, run *runState, alone bool) {
	end := on.lostEnd(run)
	end.Reason, end.Alone = wire.EndReason_END_CRASHED, alone
	agent.logLost(event.RunCrashed, on, run, slog.Bool("alone", alone), slog.Bool("suspect", run.suspect))
	agent.sendEnd(end)
}

// tellLost tells the run's owner that it is over without an end.
func (agent *Agent) tellLost(on *workerState, run *runState) {
	agent.logLost(event.RunLost, on, run)
	agent.sendEnd(on.lostEnd(run))
}

func (agent *Agent) logLost(code event.Code, on *workerState, run *runState, attributes ...slog.Attr) {
	about := []slog.Attr{
		slog.String("worker", on.beat.Incarnation), slog.String("phase", run.phase.String()), slog.Duration("lived", on.lived(run)),
	}
	agent.logRun(code, run, append(about, attributes...)...)
}

// lostEnd is the end of a run that its worker did not list.
func (state *workerState) lostEnd(run *runState) *wire.RunEnd {
	return &wire.RunEnd{
		Worker: state.beat.Incarnation, Task: run.task, Attempt: run.attempt, Reason: wire.EndReason_END_LOST,
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

// incarnationEnd says how it became known that an incarnation of the worker is over. Its
// text stands in logs.
type incarnationEnd string

const (
	// endLeft is what the worker said itself.
	endLeft incarnationEnd = "left"
	// endReplaced was found out: another incarnation stands at the machine.
	endReplaced incarnationEnd = "replaced"
)
