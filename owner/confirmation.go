package owner

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
)

// isConfirmed reports whether the store cannot have assigned the shard to another entry yet, as far as this
// owner knows. The store does so once MemberTimeout has passed since the last join of this entry arrived. An
// append that succeeded confirms the ownership too: the next owner fences this one before it decides anything.
//
// What an owner decides for a shard that it has lost has no effect on workers, because the store and the agents
// refuse it. It would only make false what the owner logs, counts and answers.
func (owner *Owner) isConfirmed(s *shard, now time.Time) bool {
	if !owner.options.Features.Has(feature.Confirmation) {
		return true
	}
	return now.Sub(owner.confirmedAt(s)) <= owner.options.MemberTimeout
}

// confirmedAt returns when the call was sent by which the store last confirmed the ownership of a shard.
func (owner *Owner) confirmedAt(s *shard) time.Time {
	if s.appendedAt.After(owner.lastJoinAt) {
		return s.appendedAt
	}
	return owner.lastJoinAt
}

// updateConfirmation logs when the first of the owner's shards is no longer confirmed, and when all are again.
func (owner *Owner) updateConfirmation(now time.Time) {
	unconfirmed, since := 0, now
	for _, s := range owner.shards {
		if owner.isConfirmed(s, now) {
			continue
		}
		unconfirmed++
		if confirmedAt := owner.confirmedAt(s); confirmedAt.Before(since) {
			since = confirmedAt
		}
	}
	switch {
	case unconfirmed > 0 && owner.unconfirmedSince.IsZero():
		owner.unconfirmedSince = since
		owner.log(event.OwnershipUnconfirmed, slog.Int("shards", unconfirmed), slog.Int("owned", len(owner.shards)),
			slog.Duration("since", now.Sub(since)))
	case unconfirmed == 0 && !owner.unconfirmedSince.IsZero():
		owner.log(event.OwnershipConfirmed, slog.Int("shards", len(owner.shards)), slog.Duration("after", now.Sub(owner.unconfirmedSince)))
		owner.unconfirmedSince = time.Time{}
		owner.placementChanges.addAll()
	}
}
