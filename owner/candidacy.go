package owner

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/candidacy"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
)

const (
	// seatRenewInterval is how often an entry applies for a seat or renews the one it has.
	seatRenewInterval = time.Second
	// seatTimeout is how long an entry may be silent before the store assigns its seats to other
	// entries. Shards are reassigned to other candidates much sooner; a process that restarts
	// within this time gets its seat back at once.
	seatTimeout = 10 * time.Second
)

// ownerSession is a period in which the entry is a candidate for owning shards: it is a member of the
// group of owners and connected to all agents.
type ownerSession struct {
	// joinCtx is cancelled to end the group membership, joinDone is closed once it has ended.
	joinCtx    context.Context
	cancelJoin context.CancelFunc
	joinDone   chan struct{}
	// disconnectAgents closes the connections to all agents.
	disconnectAgents context.CancelFunc
}

// runCandidacy keeps the entry's seat and starts and ends sessions as the candidacy decides, until ctx
// is done.
func (owner *Owner) runCandidacy(ctx context.Context) {
	defer close(owner.candidacyDone)
	seat := candidacy.New(candidacy.Options{Self: entryOfMember(owner.MemberName()), Shards: owner.options.Shards})
	generation := int64(0)
	lostAt := time.Time{}
	for ctx.Err() == nil {
		requestedAt := owner.options.Clock.Now()
		owner.refreshCandidacy(ctx, seat)
		latest, err := owner.renewSeat(ctx, seat, generation)
		// The holders are queried again here because the entry is a candidate only if it is among
		// the first holders by rank. It must know that before it connects to all agents.
		owner.refreshSeatHolders(ctx, seat)
		if err != nil {
			lostAt = owner.logStoreLost(ctx, lostAt, requestedAt, err)
		} else {
			owner.logStoreRecovered(ctx, lostAt, requestedAt)
			lostAt = time.Time{}
		}
		if !owner.updateSession(ctx, seat) {
			return
		}
		// A new generation is acknowledged at once, so that the store can reassign what this
		// entry no longer holds.
		acknowledged := latest == generation || !seat.WantsSeat()
		generation = latest
		if acknowledged {
			owner.sleep(ctx, seatRenewInterval)
		}
	}
}

// renewSeat applies for a seat, renews it or releases it, as the candidacy decides. It returns the
// latest generation of the group of seats that the store returned, or 0 once the entry has left it.
func (owner *Owner) renewSeat(ctx context.Context, seat *candidacy.Candidacy, generation int64) (int64, error) {
	if seat.WantsSeat() {
		return owner.applyForSeat(ctx, seat, generation)
	}
	if generation == 0 {
		return 0, nil
	}
	if err := owner.leaveGroup(ctx, job.SeatsGroup, owner.MemberName()); err != nil {
		return generation, err
	}
	return 0, nil
}

// refreshCandidacy queries what the candidacy needs to know: the owners, the number of agents and the
// holders of seats.
func (owner *Owner) refreshCandidacy(ctx context.Context, seat *candidacy.Candidacy) {
	if seat.NeedsOwners(owner.options.Clock.Now()) {
		owner.queryHolders(ctx, job.OwnersGroup, seat.ObserveOwners)
	}
	if seat.NeedsAgentCount() {
		owner.passAgentCount(ctx, seat)
	}
	owner.refreshSeatHolders(ctx, seat)
}

// refreshSeatHolders queries the holders of seats if the candidacy needs them.
func (owner *Owner) refreshSeatHolders(ctx context.Context, seat *candidacy.Candidacy) {
	if seat.NeedsSeatHolders(owner.options.Clock.Now()) {
		owner.queryHolders(ctx, job.SeatsGroup, seat.ObserveSeatHolders)
	}
}

// queryHolders queries the store for the entries that hold partitions of a group and passes them to
// observe. If the query fails, observe is not called, and the candidacy asks for it again.
func (owner *Owner) queryHolders(ctx context.Context, group string, observe func(holders []candidacy.Entry, now time.Time)) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	members, err := owner.options.Store.Holders(ctx, group)
	if err != nil {
		owner.log(event.OwnersUnknown, slog.Any("error", err))
		return
	}
	var holders []candidacy.Entry
	for _, member := range members {
		holders = append(holders, entryOfMember(member))
	}
	observe(holders, owner.options.Clock.Now())
}

// entryOfMember returns the entry with a member name. A name without a prefix is that of an earlier
// version, which does not say whether its machine is strong; the entry counts as strong.
func entryOfMember(member string) candidacy.Entry {
	return candidacy.Entry{Name: member, Strong: !strings.HasPrefix(member, weakPrefix)}
}

// agentCount is the result of counting the agents in the store. done is closed when the count has ended.
type agentCount struct {
	done  chan struct{}
	count int
	err   error
}

// passAgentCount passes the number of agents to the candidacy: those that the entry knows, or, if it knows none,
// those that are registered in the store. It waits no longer than joinTimeout for them, since the seat has to be
// renewed in time; a count that takes longer goes on for the next call.
func (owner *Owner) passAgentCount(ctx context.Context, seat *candidacy.Candidacy) {
	known := 0
	if !owner.eventLoop.Call(ctx, func(time.Time) { known = len(owner.agents) }) {
		return
	}
	if known > 0 {
		seat.SetAgentCount(known)
		return
	}
	if owner.counting == nil {
		owner.counting = &agentCount{done: make(chan struct{})}
		go owner.countAgents(ctx, owner.counting)
	}
	select {
	case <-owner.counting.done:
	case <-owner.options.Clock.After(joinTimeout):
		return
	case <-ctx.Done():
		return
	}
	counted := owner.counting
	owner.counting = nil
	if counted.err != nil {
		owner.log(event.OwnersUnknown, slog.Any("error", counted.err))
		return
	}
	seat.SetAgentCount(counted.count)
}

// countAgents counts the agents that are registered in the store.
func (owner *Owner) countAgents(ctx context.Context, counting *agentCount) {
	defer close(counting.done)
	for partition := range job.AgentPartitions(owner.options.Shards) {
		tail, err := owner.options.Store.Newest(ctx, job.TopicAgents, partition, joinTimeout)
		if err != nil {
			counting.err = err
			return
		}
		counting.count += len(tail.Records)
	}
}

// applyForSeat joins the group of seats, or renews the membership in it, and passes the number of
// assigned seats to the candidacy. It returns the generation of the group.
func (owner *Owner) applyForSeat(ctx context.Context, seat *candidacy.Candidacy, generation int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	timeout := max(seatTimeout, owner.options.MemberTimeout)
	assignment, err := owner.options.Store.Join(ctx, job.SeatsGroup, owner.MemberName(), job.SeatTopics(), timeout, generation)
	if err != nil {
		return generation, err
	}
	seat.SetHeldSeats(len(assignment.Partitions))
	return assignment.Generation, nil
}

// updateSession starts or ends a session as the candidacy decides. It returns false once the event loop
// has ended.
func (owner *Owner) updateSession(ctx context.Context, seat *candidacy.Candidacy) bool {
	isCandidate := false
	if !owner.eventLoop.Call(ctx, func(now time.Time) { isCandidate = seat.Decide(len(owner.shards), now) }) {
		return false
	}
	switch {
	case isCandidate && owner.session == nil:
		owner.log(event.CandidacyBegun, slog.Bool("strong", owner.options.Strong))
		owner.session = owner.startSession(ctx)
	case !isCandidate && owner.session != nil:
		owner.log(event.CandidacyEnded, slog.Bool("strong", owner.options.Strong))
		err := owner.endSession(ctx, "no longer a candidate")
		if err != nil {
			// The store removes a silent member by itself.
			owner.log(event.StoreLost, slog.Any("error", err))
		}
	}
	return true
}

// startSession joins the group of owners and connects to all agents.
func (owner *Owner) startSession(ctx context.Context) *ownerSession {
	owner.eventLoop.Call(ctx, func(time.Time) { owner.agentsDropped = false })
	session := &ownerSession{joinDone: make(chan struct{})}
	session.joinCtx, session.cancelJoin = context.WithCancel(owner.ctx)
	agentsCtx, disconnectAgents := context.WithCancel(owner.ctx)
	session.disconnectAgents = disconnectAgents
	owner.leaveBeforeJoin.Store(true)
	go func() {
		defer close(session.joinDone)
		owner.maintainMembership(session.joinCtx)
	}()
	owner.followAgentRecords(agentsCtx)
	return session
}

// endSession releases all shards, so that other entries can take them at once, and closes the
// connections to all agents.
func (owner *Owner) endSession(ctx context.Context, reason string) error {
	session := owner.session
	owner.session = nil
	// No join may reach the store after the leave. It would assign shards to an entry that no
	// longer schedules them.
	session.cancelJoin()
	<-session.joinDone
	// Once the event loop has ended there is nothing left to release.
	owner.eventLoop.Call(ctx, func(now time.Time) {
		for _, s := range owner.shards {
			owner.releaseShard(s, reason, now)
		}
	})
	err := owner.leaveGroup(ctx, job.OwnersGroup, owner.MemberName())
	session.disconnectAgents()
	owner.eventLoop.Call(ctx, func(time.Time) { owner.dropAgents() })
	return err
}

// Leave ends the candidacy and releases all shards, so that other entries can take them at once.
func (owner *Owner) Leave(ctx context.Context) error {
	owner.stopCandidacy()
	<-owner.candidacyDone
	var membershipErr error
	if owner.session != nil {
		membershipErr = owner.endSession(ctx, "process is stopping")
	}
	err := owner.leaveGroup(ctx, job.SeatsGroup, owner.MemberName())
	if membershipErr != nil {
		return membershipErr
	}
	return err
}

// leaveGroup takes a member out of a group of the store.
func (owner *Owner) leaveGroup(ctx context.Context, group, member string) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return errors.Wrapf(owner.options.Store.Leave(ctx, group, member), "leave the group %q", group)
}
