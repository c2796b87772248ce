package owner

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
)

// isConfirmed reports whether the store can't have assigned this owner's shards to another entry because joins are
// missing. The store does so once MemberTimeout has passed since the last join of this entry arrived.
//
// Decisions for a shard that the owner has lost have no effect on workers, because the store and the agents refuse
// them. But the logs, metrics and answers of the owner would be wrong.
func (owner *Owner) isConfirmed(now time.Time) bool {
	if !owner.options.Features.Has(feature.Confirmation) {
		return true
	}
	return owner.hasRecentJoin(now)
}

// hasRecentJoin reports whether the store has confirmed the ownership of the shards within MemberTimeout.
func (owner *Owner) hasRecentJoin(now time.Time) bool {
	return now.Sub(owner.lastJoinAt) < owner.options.MemberTimeout
}

// mayPlace reports whether tasks of a shard may be placed. If joins are not answered, a recent successful append
// allows it as well: no later owner had fenced this one when the store executed it. The shard may have been assigned
// to another entry since, but each start is appended before it is ordered, and the store rejects the appends of an
// owner that has been replaced. No such check protects a run from being considered lost, so that requires isConfirmed.
func (owner *Owner) mayPlace(s *shard, now time.Time) bool {
	return owner.isConfirmed(now) || now.Sub(s.appendedAt) <= owner.options.MemberTimeout
}

// handleAppended records that an append to a shard has succeeded, and requests a full placement pass if that
// allows placing again.
func (owner *Owner) handleAppended(s *shard, beganAt, now time.Time) {
	before := owner.mayPlace(s, now)
	s.appendedAt = beganAt
	if !before && owner.mayPlace(s, now) {
		owner.placementChanges.addAll()
	}
}

// updateConfirmation logs when the owner's shards are no longer confirmed, and when they are again.
func (owner *Owner) updateConfirmation(now time.Time) {
	unconfirmed := len(owner.shards) > 0 && !owner.isConfirmed(now)
	switch {
	case unconfirmed && owner.unconfirmedSince.IsZero():
		owner.unconfirmedSince = owner.lastJoinAt
		owner.log(event.OwnershipUnconfirmed, slog.Int("shards", len(owner.shards)),
			slog.Duration("since", now.Sub(owner.lastJoinAt)))
	case !unconfirmed && !owner.unconfirmedSince.IsZero():
		owner.log(event.OwnershipConfirmed, slog.Int("shards", len(owner.shards)),
			slog.Duration("after", now.Sub(owner.unconfirmedSince)))
		owner.unconfirmedSince = time.Time{}
		owner.placementChanges.addAll()
	}
}
