package owner

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
)

// suspendedFor returns for how long the machine has been suspended.
func (owner *Owner) suspendedFor() time.Duration {
	if owner.options.Suspended == nil {
		return 0
	}
	return owner.options.Suspended()
}

// handleSuspension makes the last word from the store that this entry still owns its shards older
// by the time that the machine was suspended: others may have taken them meanwhile, and count
// on it that no more than storeOutageTolerance is granted since. What agents said stays as new as it
// is: runs of silent ones are taken for over later than need be.
func (owner *Owner) handleSuspension(slept time.Duration, _ time.Time) {
	owner.log(event.MachineWasSuspended, slog.Duration("slept", slept))
	owner.lastJoinAt = owner.lastJoinAt.Add(-slept)
	owner.evacuationState.Age(slept)
}
