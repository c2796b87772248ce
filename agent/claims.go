package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// claim is the ownership of one shard, as far as the agent knows it.
type claim struct {
	epoch   int64
	session *session
	// grantedUntil is when the last grant of any owner of the shard ends. Runs may go on until then.
	grantedUntil time.Time
	// startsUntil is when the last grant of the present owner ends, and zero before its first one. Runs may be started
	// until then: a former owner's grant says nothing of how old an order of the present one is.
	startsUntil time.Time
}

// handleClaims updates the claims from a message that lists all shards of an owner. A claim with an epoch
// below the highest one known comes from an owner that has been replaced, and is ignored.
//
// An epoch belongs to one process. If two of its connections claim a shard with the same epoch, the newer
// connection gets it, in whatever order their messages are read, and the older one is closed: its owner has
// abandoned it, and decides by what it receives on the newer one. Orders that are still in transit on the
// older one must have no effect any more.
func (agent *Agent) handleClaims(s *session, message *wire.OwnerMessage) {
	for _, shard := range message.GetShards() {
		c, found := agent.claims[shard.GetShard()]
		if found && c.epoch > shard.GetEpoch() {
			continue
		}
		if found && c.epoch == shard.GetEpoch() && c.session != s {
			if c.session.connectionNumber > s.connectionNumber {
				agent.closeReplaced(s, c.session)
				return
			}
			agent.closeReplaced(c.session, s)
		}
		if !found {
			c = &claim{grantedUntil: agent.startedAt}
			agent.claims[shard.GetShard()] = c
		}
		if c.epoch != shard.GetEpoch() || c.session != s {
			agent.logSession(event.ShardClaimed, s,
				slog.Int("shard", int(shard.GetShard())), slog.Int64("epoch", shard.GetEpoch()))
			agent.resendEnds(s, shard.GetShard())
			if shard.GetShard() == job.InterferenceShard {
				// The owner lacks the estimates that an earlier owner has collected: send it all estimates.
				s.sentEstimates = nil
			}
		}
		if c.epoch != shard.GetEpoch() {
			c.startsUntil = time.Time{}
		}
		c.epoch = shard.GetEpoch()
		c.session = s
	}
	s.fullUpdateDue = true
}

// closeReplaced closes a connection whose owner has opened a newer one. Messages that still arrive on it have
// no effect.
func (agent *Agent) closeReplaced(older, newer *session) {
	if !agent.sessions[older] {
		return
	}
	agent.logSession(event.ConnectionReplaced, older, slog.Int64("by", newer.id))
	agent.closeSession(older)
}

// handleGrant extends the grants for the shards that the session holds, and never shortens them.
func (agent *Agent) handleGrant(s *session, message *wire.OwnerMessage) {
	if message.GetGrantUntilNanos() == 0 {
		return
	}
	until := agent.startedAt.Add(time.Duration(message.GetGrantUntilNanos()))
	for _, claim := range agent.claims {
		if claim.session == s {
			claim.grantedUntil = later(claim.grantedUntil, until)
			claim.startsUntil = later(claim.startsUntil, until)
		}
	}
}
