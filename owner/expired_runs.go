package owner

import (
	"time"
)

// maxRunAfterGrant is how long a run may continue after the last grant for it was sent.
func (owner *Owner) maxRunAfterGrant() time.Duration {
	return time.Duration(float64(owner.options.GrantDuration)*(1+maxClockDrift)) + grantMargin
}

// releaseExpiredRuns releases the runs of an agent that has sent nothing until its last grant must have
// expired. While the shards are not confirmed it keeps them: their next owner may have extended them.
func (owner *Owner) releaseExpiredRuns(view *agentView, now time.Time) {
	for _, run := range view.runs {
		if !owner.isConfirmed(now) || view.conn != nil && now.Sub(view.lastMessageAt) < 2*grantInterval {
			continue
		}
		deadline := view.grantEnd.Add(grantMargin)
		if run.inherited {
			// The previous owner may have granted time until its ownership expired.
			deadline = run.shard.acquiredAt.Add(storeOutageTolerance + owner.maxRunAfterGrant())
		}
		if now.After(deadline) {
			owner.releaseRun(view, run, "its agent is silent", now)
		}
	}
}
