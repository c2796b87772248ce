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
	// joinInterval renews the membership three times before it would run out.
	joinInterval = 350 * time.Millisecond
	// joinTimeout bounds a call to join or to leave.
	joinTimeout = 700 * time.Millisecond
)

// maintainMembership joins the group, and again and again, until ctx ends.
func (owner *Owner) maintainMembership(ctx context.Context) {
	heard := int64(0)
	lost := time.Time{}
	for ctx.Err() == nil {
		sent, sentAfter := owner.options.Clock.Now(), owner.suspendedFor()
		if owner.leaveBeforeJoin.Load() {
			if err := owner.leaveGroup(ctx, job.OwnersGroup, owner.MemberName()); err != nil {
				lost = owner.logStoreLost(ctx, lost, sent, err)
				owner.sleep(ctx, joinInterval)
				continue
			}
			owner.leaveBeforeJoin.Store(false)
		}
		deal, err := owner.join(ctx, heard)
		if err != nil {
			lost = owner.logStoreLost(ctx, lost, sent, err)
			owner.sleep(ctx, joinInterval)
			continue
		}
		owner.logStoreRecovered(ctx, lost, sent)
		lost = time.Time{}
		changed := deal.Generation != heard
		heard = deal.Generation
		if !owner.eventLoop.Call(ctx, func(now time.Time) {
			owner.applyAssignment(deal, sent.Add(min(sentAfter-owner.eventLoop.SuspendedFor(), 0)), now)
		}) {
			return
		}
		if changed {
			// Naming the new generation hands over what is no longer held.
			continue
		}
		owner.sleep(ctx, joinInterval)
	}
}

func (owner *Owner) join(ctx context.Context, heard int64) (platform.Assignment, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return owner.options.Store.Join(ctx, job.OwnersGroup, owner.MemberName(), []string{job.TopicJobs}, owner.options.MemberTimeout, heard)
}

func (owner *Owner) logStoreLost(ctx context.Context, lost, now time.Time, err error) time.Time {
	if !lost.IsZero() {
		return lost
	}
	owner.options.Events.Log(ctx, event.StoreLost, slog.Any("error", err))
	return now
}

func (owner *Owner) logStoreRecovered(ctx context.Context, lost, now time.Time) {
	if !lost.IsZero() {
		owner.options.Events.Log(ctx, event.StoreBack, slog.Duration("after", now.Sub(lost)))
	}
}

// applyAssignment takes up the shards that are dealt to this entry and gives up others.
func (owner *Owner) applyAssignment(deal platform.Assignment, sent, now time.Time) {
	owner.lastJoinAt = sent
	dealt := map[int]bool{}
	for _, number := range deal.Partitions {
		dealt[number] = true
	}
	for number, held := range owner.shards {
		if !dealt[number] {
			owner.releaseShard(held, "dealt to another entry", now)
		}
	}
	for number := range dealt {
		_, owned := owner.shards[number]
		if !owned && deal.Generation > owner.fencedEpochs[number] {
			owner.acquireShard(number, deal.Generation, now)
		}
	}
}
