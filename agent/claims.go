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
	epoch int64
	owner *session
	// until is when the owner's last grant ends.
	until time.Time
}

// noteClaims takes note of the shards that an owner owns. A claim of an epoch
// below the highest one heard comes from an owner that has been replaced.
//
// An epoch belongs to one process. Where two of its connections claim a shard under it, the newer
// one holds it, in whatever order their messages are read, and the older one is ended: its owner has
// given it up, and decides by what it is told on the newer one. What was on its way there must
// have no effect any more.
func (agent *Agent) noteClaims(owner *session, message *wire.OwnerMessage) {
	for _, shard := range message.GetShards() {
		held, found := agent.claims[shard.GetShard()]
		if found && held.epoch > shard.GetEpoch() {
			continue
		}
		if found && held.epoch == shard.GetEpoch() && held.owner != owner {
			if held.owner.number > owner.number {
				agent.dropOlder(owner, held.owner)
				return
			}
			agent.dropOlder(held.owner, owner)
		}
		if !found {
			held = &claim{until: agent.started}
			agent.claims[shard.GetShard()] = held
		}
		if held.epoch != shard.GetEpoch() || held.owner != owner {
			agent.logOwner(event.ShardClaimed, owner,
				slog.Int("shard", int(shard.GetShard())), slog.Int64("epoch", shard.GetEpoch()))
			agent.resendEnds(owner, shard.GetShard())
			if shard.GetShard() == job.InterferenceShard {
				// What an earlier owner put together is not this one's.
				owner.toldLearned = nil
			}
		}
		held.epoch = shard.GetEpoch()
		held.owner = owner
	}
	owner.wholeDue = true
}

// dropOlder ends a connection whose owner has made a newer one. What comes on it has no effect.
func (agent *Agent) dropOlder(older, newer *session) {
	if !agent.owners[older] {
		return
	}
	agent.logOwner(event.ConnectionReplaced, older, slog.Int64("by", newer.connection))
	agent.drop(older)
}

func (agent *Agent) noteGrant(owner *session, message *wire.OwnerMessage) {
	if message.GetGrantUntilNanos() == 0 {
		return
	}
	until := agent.started.Add(time.Duration(message.GetGrantUntilNanos()))
	for _, held := range agent.claims {
		if held.owner == owner && until.After(held.until) {
			held.until = until
		}
	}
}
