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
	// seatRenewInterval is how often an entry asks for its seat again.
	seatRenewInterval = time.Second
	// seatTimeout is after how long without a word the store deals an entry's seats to others. Shards pass on
	// much sooner, to those that stand; a process that comes back within this time has its seat at once.
	seatTimeout = 10 * time.Second
)

// membership is one period in which the entry offers itself as an owner: it is a member of the group of owners
// and connected to all agents.
type membership struct {
	// joinCtx ends the membership, joined is closed once it has ended.
	joinCtx    context.Context
	cancelJoin context.CancelFunc
	joinDone   chan struct{}
	// disconnectAgents ends the connections to agents.
	disconnectAgents context.CancelFunc
}

// runCandidacy has the entry offer itself as an owner while it is a candidate, until ctx ends.
func (owner *Owner) runCandidacy(ctx context.Context) {
	defer close(owner.candidacyDone)
	seat := candidacy.New(candidacy.Options{Self: entryOfMember(owner.MemberName()), Shards: owner.options.Shards})
	heard := int64(0)
	lost := time.Time{}
	for ctx.Err() == nil {
		asked := owner.options.Clock.Now()
		owner.refreshCandidacy(ctx, seat)
		generation, err := owner.renewSeat(ctx, seat, heard)
		// Whether it is among the first by rank is known before it connects to all agents.
		owner.refreshSeatHolders(ctx, seat)
		if err != nil {
			lost = owner.logStoreLost(ctx, lost, asked, err)
		} else {
			owner.logStoreRecovered(ctx, lost, asked)
			lost = time.Time{}
		}
		if !owner.updateMembership(ctx, seat) {
			return
		}
		// Naming a new generation at once hands over what is no longer held.
		named := generation == heard || !seat.WantsSeat()
		heard = generation
		if named {
			owner.sleep(ctx, seatRenewInterval)
		}
	}
}

// renewSeat asks for a seat or leaves it, as the candidacy says. It returns the generation that the store named last, 0
// once the entry has left.
func (owner *Owner) renewSeat(ctx context.Context, seat *candidacy.Candidacy, heard int64) (int64, error) {
	if seat.WantsSeat() {
		return owner.applyForSeat(ctx, seat, heard)
	}
	if heard == 0 {
		return 0, nil
	}
	if err := owner.leaveGroup(ctx, job.SeatsGroup, owner.MemberName()); err != nil {
		return heard, err
	}
	return 0, nil
}

// refreshCandidacy finds out what the candidacy needs to know.
func (owner *Owner) refreshCandidacy(ctx context.Context, seat *candidacy.Candidacy) {
	if seat.NeedsOwners(owner.options.Clock.Now()) {
		owner.queryHolders(ctx, job.OwnersGroup, seat.ObserveOwners)
	}
	if seat.NeedsAgentCount() {
		owner.countAgents(ctx, seat)
	}
	owner.refreshSeatHolders(ctx, seat)
}

func (owner *Owner) refreshSeatHolders(ctx context.Context, seat *candidacy.Candidacy) {
	if seat.NeedsSeatHolders(owner.options.Clock.Now()) {
		owner.queryHolders(ctx, job.SeatsGroup, seat.ObserveSeatHolders)
	}
}

// queryHolders has note take in which entries hold something of a group. What the store does not say is asked for again, and
// the entry goes on as it is until then.
func (owner *Owner) queryHolders(ctx context.Context, group string, note func(holders []candidacy.Entry, now time.Time)) {
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
	note(holders, owner.options.Clock.Now())
}

// entryOfMember returns the entry with a member's name. One of an earlier build does not say what its machine bears.
func entryOfMember(member string) candidacy.Entry {
	return candidacy.Entry{Name: member, Strong: !strings.HasPrefix(member, weakPrefix)}
}

// countAgents counts the agents: those that the entry looks at, or those that the store has registered.
func (owner *Owner) countAgents(ctx context.Context, seat *candidacy.Candidacy) {
	count := 0
	if !owner.eventLoop.Ask(ctx, func(time.Time) { count = len(owner.agents) }) {
		return
	}
	if count > 0 {
		seat.SetAgentCount(count)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for part := range job.AgentPartitions(owner.options.Shards) {
		tail, err := owner.options.Store.Newest(ctx, job.TopicAgents, part)
		if err != nil {
			owner.log(event.OwnersUnknown, slog.Any("error", err))
			return
		}
		count += len(tail.Records)
	}
	seat.SetAgentCount(count)
}

// applyForSeat asks for a seat, or stays in it. It returns the generation that the store names.
func (owner *Owner) applyForSeat(ctx context.Context, seat *candidacy.Candidacy, heard int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	silent := max(seatTimeout, owner.options.MemberTimeout)
	deal, err := owner.options.Store.Join(ctx, job.SeatsGroup, owner.MemberName(), job.SeatTopics(), silent, heard)
	if err != nil {
		return heard, err
	}
	seat.SetHeldSeats(len(deal.Parts))
	return deal.Generation, nil
}

// updateMembership begins or ends to stand where the candidacy says so. It reports false once the owner has ended.
func (owner *Owner) updateMembership(ctx context.Context, seat *candidacy.Candidacy) bool {
	stands := false
	if !owner.eventLoop.Ask(ctx, func(now time.Time) { stands = seat.Decide(len(owner.shards), now) }) {
		return false
	}
	switch {
	case stands && owner.session == nil:
		owner.log(event.CandidacyBegun, slog.Bool("strong", owner.options.Strong))
		owner.session = owner.beginMembership(ctx)
	case !stands && owner.session != nil:
		owner.log(event.CandidacyEnded, slog.Bool("strong", owner.options.Strong))
		err := owner.endMembership(ctx, "not a candidate any more")
		if err != nil {
			// The store takes a silent member out by itself.
			owner.log(event.StoreLost, slog.Any("error", err))
		}
	}
	return true
}

func (owner *Owner) beginMembership(ctx context.Context) *membership {
	owner.eventLoop.Ask(ctx, func(time.Time) { owner.agentsDropped = false })
	begun := &membership{joinDone: make(chan struct{})}
	begun.joinCtx, begun.cancelJoin = context.WithCancel(owner.ctx)
	following, stopFollowing := context.WithCancel(owner.ctx)
	begun.disconnectAgents = stopFollowing
	owner.leaveBeforeJoin.Store(true)
	go func() {
		defer close(begun.joinDone)
		owner.maintainMembership(begun.joinCtx)
	}()
	owner.followAgentRecords(following)
	return begun
}

// endMembership gives all shards up, so that others take them at once, and leaves the agents.
func (owner *Owner) endMembership(ctx context.Context, reason string) error {
	ended := owner.session
	owner.session = nil
	// No join may reach the store after the leave: it would bring shards back
	// to an entry that no longer schedules them.
	ended.cancelJoin()
	<-ended.joinDone
	// Once the loop of decisions has ended there is nothing left to give up.
	owner.eventLoop.Ask(ctx, func(now time.Time) {
		for _, held := range owner.shards {
			owner.releaseShard(held, reason, now)
		}
	})
	err := owner.leaveGroup(ctx, job.OwnersGroup, owner.MemberName())
	ended.disconnectAgents()
	owner.eventLoop.Ask(ctx, func(time.Time) { owner.dropAgents() })
	return err
}

// Leave gives all shards up, so that others take them at once.
func (owner *Owner) Leave(ctx context.Context) error {
	owner.stopCandidacy()
	<-owner.candidacyDone
	var left error
	if owner.session != nil {
		left = owner.endMembership(ctx, "the process stops")
	}
	err := owner.leaveGroup(ctx, job.SeatsGroup, owner.MemberName())
	if left != nil {
		return left
	}
	return err
}

func (owner *Owner) leaveGroup(ctx context.Context, group, member string) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return errors.Wrapf(owner.options.Store.Leave(ctx, group, member), "leave the group %q", group)
}
