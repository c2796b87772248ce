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
	generation := int64(0)
	lostAt := time.Time{}
	for ctx.Err() == nil {
		sentAt, suspendedBefore := owner.options.Clock.Now(), owner.suspendedFor()
		if owner.leaveBeforeJoin.Load() {
			if err := owner.leaveGroup(ctx, job.OwnersGroup, owner.MemberName()); err != nil {
				lostAt = owner.logStoreLost(ctx, lostAt, sentAt, err)
				owner.sleep(ctx, joinInterval)
				continue
			}
			owner.leaveBeforeJoin.Store(false)
		}
		assignment, err := owner.join(ctx, generation)
		if err != nil {
			lostAt = owner.logStoreLost(ctx, lostAt, sentAt, err)
			owner.sleep(ctx, joinInterval)
			continue
		}
		owner.logStoreRecovered(ctx, lostAt, sentAt)
		lostAt = time.Time{}
		changed := assignment.Generation != generation
		generation = assignment.Generation
		if !owner.eventLoop.Ask(ctx, func(now time.Time) {
			owner.applyAssignment(assignment, sentAt.Add(min(suspendedBefore-owner.eventLoop.Suspended(), 0)), now)
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

func (owner *Owner) join(ctx context.Context, generation int64) (platform.Deal, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return owner.options.Store.Join(ctx, job.OwnersGroup, owner.MemberName(), []string{job.TopicJobs}, owner.options.MemberTimeout, generation)
}

func (owner *Owner) logStoreLost(ctx context.Context, lostAt, now time.Time, err error) time.Time {
	if !lostAt.IsZero() {
		return lostAt
	}
	owner.options.Events.Log(ctx, event.StoreLost, slog.Any("error", err))
	return now
}

func (owner *Owner) logStoreRecovered(ctx context.Context, lostAt, now time.Time) {
	if !lostAt.IsZero() {
		owner.options.Events.Log(ctx, event.StoreBack, slog.Duration("after", now.Sub(lostAt)))
	}
}

// applyAssignment takes up the shards that are dealt to this entry and gives up others.
func (owner *Owner) applyAssignment(assignment platform.Deal, sentAt, now time.Time) {
	owner.lastJoinAt = sentAt
	assigned := map[int]bool{}
	for _, number := range assignment.Parts {
		assigned[number] = true
	}
	for number, s := range owner.shards {
		if !assigned[number] {
			owner.releaseShard(s, "dealt to another entry", now)
		}
	}
	for number := range assigned {
		_, owned := owner.shards[number]
		if !owned && assignment.Generation > owner.fencedEpochs[number] {
			owner.acquireShard(number, assignment.Generation, now)
		}
	}
}
