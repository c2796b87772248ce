package owner

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
)

// isConfirmed reports whether the store cannot have assigned this owner's shards to another entry for lack of
// joins. It does so once MemberTimeout has passed since the last join of this entry arrived.
//
// What an owner decides for a shard that it has lost has no effect on workers, because the store and the agents
// refuse it. It would only make false what the owner logs, counts and answers.
func (owner *Owner) isConfirmed(now time.Time) bool {
	if !owner.options.Features.Has(feature.Confirmation) {
		return true
	}
	return now.Sub(owner.lastJoinAt) <= owner.options.MemberTimeout
}

// mayPlace reports whether tasks of a shard may be placed. If joins are not answered, an append that succeeded
// allows it as well: the next owner had not fenced this one yet when the store carried it out. The shard may
// have been assigned to another entry since, but each start is appended before it is ordered, and the store
// refuses that to an owner that has been replaced. Nothing of the kind prevents a run from being taken for lost.
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
		owner.log(event.OwnershipUnconfirmed, slog.Int("shards", len(owner.shards)), slog.Duration("since", now.Sub(owner.lastJoinAt)))
	case !unconfirmed && !owner.unconfirmedSince.IsZero():
		owner.log(event.OwnershipConfirmed, slog.Int("shards", len(owner.shards)), slog.Duration("after", now.Sub(owner.unconfirmedSince)))
		owner.unconfirmedSince = time.Time{}
		owner.placementChanges.addAll()
	}
}
