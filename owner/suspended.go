package owner

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
)

// suspendedFor returns for how long in total the machine has been suspended.
func (owner *Owner) suspendedFor() time.Duration {
	if owner.options.Suspended == nil {
		return 0
	}
	return owner.options.Suspended()
}

// handleSuspension accounts for a time that the machine was suspended, which the clock does not count.
// It moves back the times of the last successful join and appends, because other entries may have taken this
// entry's shards since then, and they rely on it not granting for longer than storeOutageTolerance
// after its last join. The state of evacuations becomes older as well. The times of the agents' last
// messages are not changed: runs of silent agents are considered lost later than necessary, which is
// safe.
func (owner *Owner) handleSuspension(duration time.Duration, _ time.Time) {
	owner.log(event.MachineWasSuspended, slog.Duration("slept", duration))
	owner.lastJoinAt = owner.lastJoinAt.Add(-duration)
	for _, s := range owner.shards {
		s.appendedAt = s.appendedAt.Add(-duration)
	}
	owner.evacuationState.Backdate(duration)
}
