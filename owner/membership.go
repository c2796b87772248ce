package owner

import (
	"context"
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
)

const (
	// joinEvery renews the membership three times before it would run out.
	joinEvery = 350 * time.Millisecond
	// joinTimeout bounds a call to join or to leave.
	joinTimeout = 700 * time.Millisecond
)

// keepMembership joins the group, and again and again, until ctx ends.
func (owner *Owner) keepMembership(ctx context.Context) {
	heard := int64(0)
	lost := time.Time{}
	for ctx.Err() == nil {
		sent, sentAfter := owner.options.Clock.Now(), owner.suspendedFor()
		if owner.renew.Load() {
			if err := owner.leaveGroup(ctx, job.OwnersGroup, owner.Member()); err != nil {
				lost = owner.noteStoreLost(ctx, lost, sent, err)
				owner.sleep(ctx, joinEvery)
				continue
			}
			owner.renew.Store(false)
		}
		deal, err := owner.join(ctx, heard)
		if err != nil {
			lost = owner.noteStoreLost(ctx, lost, sent, err)
			owner.sleep(ctx, joinEvery)
			continue
		}
		owner.noteStoreBack(ctx, lost, sent)
		lost = time.Time{}
		changed := deal.Generation != heard
		heard = deal.Generation
		if !owner.decisions.Ask(ctx, func(now time.Time) {
			owner.noteDeal(deal, sent.Add(min(sentAfter-owner.decisions.Suspended(), 0)), now)
		}) {
			return
		}
		if changed {
			// Naming the new generation hands over what is no longer held.
			continue
		}
		owner.sleep(ctx, joinEvery)
	}
}

func (owner *Owner) join(ctx context.Context, heard int64) (platform.Deal, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return owner.options.Store.Join(ctx, job.OwnersGroup, owner.Member(), []string{job.TopicJobs}, owner.options.Silent, heard)
}

func (owner *Owner) noteStoreLost(ctx context.Context, lost, now time.Time, err error) time.Time {
	if !lost.IsZero() {
		return lost
	}
	owner.options.Events.Log(ctx, event.StoreLost, slog.Any("error", err))
	return now
}

func (owner *Owner) noteStoreBack(ctx context.Context, lost, now time.Time) {
	if !lost.IsZero() {
		owner.options.Events.Log(ctx, event.StoreBack, slog.Duration("after", now.Sub(lost)))
	}
}

// noteDeal takes up the shards that are dealt to this entry and gives up others.
func (owner *Owner) noteDeal(deal platform.Deal, sent, now time.Time) {
	owner.joinedAt = sent
	dealt := map[int]bool{}
	for _, number := range deal.Parts {
		dealt[number] = true
	}
	for number, held := range owner.shards {
		if !dealt[number] {
			owner.giveUp(held, "dealt to another entry", now)
		}
	}
	for number := range dealt {
		_, owned := owner.shards[number]
		if !owned && deal.Generation > owner.fenced[number] {
			owner.take(number, deal.Generation, now)
		}
	}
}
