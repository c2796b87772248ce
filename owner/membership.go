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
	// joinInterval is how often the membership is renewed: three times before it would expire.
	joinInterval = 350 * time.Millisecond
	// joinTimeout bounds a call to join or leave a group.
	joinTimeout = 700 * time.Millisecond
)

// maintainMembership joins the group of owners and renews the membership until ctx ends.
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
		if !owner.eventLoop.Call(ctx, func(now time.Time) {
			owner.applyAssignment(assignment, sentAt.Add(min(suspendedBefore-owner.eventLoop.SuspendedFor(), 0)), now)
		}) {
			return
		}
		if changed {
			// Joining again at once, with the new generation, tells the store that the shards of the
			// old assignment have been released.
			continue
		}
		owner.sleep(ctx, joinInterval)
	}
}

// join joins the group of owners, or renews the membership. The generation is that of the last assignment
// that this entry received.
func (owner *Owner) join(ctx context.Context, generation int64) (platform.Assignment, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return owner.options.Store.Join(ctx, job.OwnersGroup, owner.MemberName(), []string{job.TopicJobs}, owner.options.MemberTimeout, generation)
}

// logStoreLost logs the first of several failed calls in a row. It returns when the failures began, given
// that time or zero.
func (owner *Owner) logStoreLost(ctx context.Context, lostAt, now time.Time, err error) time.Time {
	if !lostAt.IsZero() {
		return lostAt
	}
	owner.options.Events.Log(ctx, event.StoreLost, slog.Any("error", err))
	return now
}

// logStoreRecovered logs that a call has succeeded after failures that began at lostAt, if that is not zero.
func (owner *Owner) logStoreRecovered(ctx context.Context, lostAt, now time.Time) {
	if !lostAt.IsZero() {
		owner.options.Events.Log(ctx, event.StoreBack, slog.Duration("after", now.Sub(lostAt)))
	}
}

// applyAssignment acquires the shards that the store has assigned to this entry, and releases all others. The
// join with that answer was sent at sentAt.
func (owner *Owner) applyAssignment(assignment platform.Assignment, sentAt, now time.Time) {
	owner.lastJoinAt = sentAt
	assigned := map[int]bool{}
	for _, number := range assignment.Partitions {
		assigned[number] = true
	}
	for number, s := range owner.shards {
		if !assigned[number] {
			owner.releaseShard(s, "assigned to another entry", now)
		}
	}
	for number := range assigned {
		_, owned := owner.shards[number]
		if !owned && assignment.Generation > owner.fencedEpochs[number] {
			owner.acquireShard(number, assignment.Generation, now)
		}
	}
}
