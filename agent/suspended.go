package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
)

// handleSuspension adjusts what owners express on this process's clock, which was stopped while the machine
// was suspended: it moves the start of the clock, the grants and the date of the known evacuations back by
// that time. Meanwhile owners considered their runs over when the last grant ended. If that grant is over by
// now, a start order that was in transit is refused, and runs that still go on are stopped.
//
// Times on the worker's clock are not adjusted. That clock has gone on, so that the worker's lease ends
// earlier than assumed here.
func (agent *Agent) handleSuspension(suspended time.Duration, _ time.Time) {
	agent.log(event.MachineWasSuspended, slog.Duration("slept", suspended))
	agent.startedAt = agent.startedAt.Add(-suspended)
	for _, claim := range agent.claims {
		claim.grantedUntil = claim.grantedUntil.Add(-suspended)
		claim.startsUntil = claim.startsUntil.Add(-suspended)
	}
	agent.evacuationState.Backdate(suspended)
}
