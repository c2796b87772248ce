package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
)

// handleSuspension makes older by the time that the machine was suspended what owners reckon
// with on this process's clock: they took runs for over meanwhile, at the end of the last
// grant that they gave. Where that is over by now, an order that was on its way is refused and
// what still runs is stopped.
//
// What is reckoned on the worker's clock stays: it has gone on, so its leases end earlier
// than they are taken to.
func (agent *Agent) handleSuspension(slept time.Duration, _ time.Time) {
	agent.log(event.MachineWasSuspended, slog.Duration("slept", slept))
	agent.startedAt = agent.startedAt.Add(-slept)
	for _, held := range agent.claims {
		held.grantedUntil = held.grantedUntil.Add(-slept)
	}
	agent.evacuationState.Age(slept)
}
