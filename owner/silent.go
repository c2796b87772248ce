package owner

import (
	"time"
)

// exposure is how long a run may go on after the last grant that may have been
// given for it.
func (owner *Owner) exposure() time.Duration {
	return time.Duration(float64(owner.options.Grant)*(1+clockSlack)) + grantMargin
}

// giveUpSilent releases the runs of an agent that has been silent until its
// last grant must have ended.
func (owner *Owner) giveUpSilent(view *agentView, now time.Time) {
	for _, entry := range view.runs {
		if view.link != nil && now.Sub(view.heardAt) < 2*grantEvery {
			continue
		}
		until := view.grantEnd.Add(grantMargin)
		if entry.inherited {
			// The owner before may have granted until it gave up.
			until = entry.held.takenAt.Add(grantAlone + owner.exposure())
		}
		if now.After(until) {
			owner.release(view, entry, "its agent is silent", now)
		}
	}
}
