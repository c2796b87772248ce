package owner

import (
	"time"
)

// maxRunAfterGrant is how long a run may go on after the last grant that may have been
// given for it.
func (owner *Owner) maxRunAfterGrant() time.Duration {
	return time.Duration(float64(owner.options.GrantDuration)*(1+maxClockDrift)) + grantMargin
}

// releaseExpiredRuns releases the runs of an agent that has been silent until its
// last grant must have ended.
func (owner *Owner) releaseExpiredRuns(view *agentView, now time.Time) {
	for _, entry := range view.runs {
		if view.conn != nil && now.Sub(view.lastMessageAt) < 2*grantInterval {
			continue
		}
		until := view.grantEnd.Add(grantMargin)
		if entry.inherited {
			// The owner before may have granted until it gave up.
			until = entry.shard.acquiredAt.Add(storeOutageTolerance + owner.maxRunAfterGrant())
		}
		if now.After(until) {
			owner.releaseRun(view, entry, "its agent is silent", now)
		}
	}
}
