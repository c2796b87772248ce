package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// claim is what the agent knows of the owner of one shard.
type claim struct {
	epoch   int64
	session *session
	// grantedUntil is when the owner's last grant ends.
	grantedUntil time.Time
}

// handleClaims takes note of the shards that an owner owns. A claim of an epoch
// below the highest one heard comes from an owner that has been replaced.
//
// An epoch belongs to one process. Where two of its connections claim a shard under it, the newer
// one holds it, in whatever order their messages are read, and the older one is ended: its owner has
// given it up, and decides by what it is told on the newer one. What was on its way there must
// have no effect any more.
func (agent *Agent) handleClaims(owner *session, message *wire.OwnerMessage) {
	for _, shard := range message.GetShards() {
		held, found := agent.claims[shard.GetShard()]
		if found && held.epoch > shard.GetEpoch() {
			continue
		}
		if found && held.epoch == shard.GetEpoch() && held.session != owner {
			if held.session.connectionNumber > owner.connectionNumber {
				agent.closeReplaced(owner, held.session)
				return
			}
			agent.closeReplaced(held.session, owner)
		}
		if !found {
			held = &claim{grantedUntil: agent.startedAt}
			agent.claims[shard.GetShard()] = held
		}
		if held.epoch != shard.GetEpoch() || held.session != owner {
			agent.logSession(event.ShardClaimed, owner,
				slog.Int("shard", int(shard.GetShard())), slog.Int64("epoch", shard.GetEpoch()))
			agent.resendEnds(owner, shard.GetShard())
			if shard.GetShard() == job.InterferenceShard {
				// What an earlier owner put together is not this one's.
				owner.sentEstimates = nil
			}
		}
		held.epoch = shard.GetEpoch()
		held.session = owner
	}
	owner.fullUpdateDue = true
}

// closeReplaced ends a connection whose owner has made a newer one. What comes on it has no effect.
func (agent *Agent) closeReplaced(older, newer *session) {
	if !agent.sessions[older] {
		return
	}
	agent.logSession(event.ConnectionReplaced, older, slog.Int64("by", newer.id))
	agent.closeSession(older)
}

func (agent *Agent) handleGrant(owner *session, message *wire.OwnerMessage) {
	if message.GetGrantUntilNanos() == 0 {
		return
	}
	until := agent.startedAt.Add(time.Duration(message.GetGrantUntilNanos()))
	for _, held := range agent.claims {
		if held.session == owner && until.After(held.grantedUntil) {
			held.grantedUntil = until
		}
	}
}
