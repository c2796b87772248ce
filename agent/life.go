package agent

import "time"

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
