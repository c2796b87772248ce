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
	// applyEvery is how often an entry asks for its seat again.
	applyEvery = time.Second
	// seatSilent is after how long without a word the store deals an entry's seats to others. Shards pass on
	// much sooner, to those that stand; a process that comes back within this time has its seat at once.
	seatSilent = 10 * time.Second
)

// standing is one period in which the entry offers itself as an owner: it is a member of the group of owners
// and connected to all agents.
type standing struct {
	// joining ends the membership, joined is closed once it has ended.
	joining     context.Context
	stopJoining context.CancelFunc
	joined      chan struct{}
	// stopFollowing ends the connections to agents.
	stopFollowing context.CancelFunc
}

// keepCandidacy has the entry offer itself as an owner while it is a candidate, until ctx ends.
func (owner *Owner) keepCandidacy(ctx context.Context) {
	defer close(owner.applied)
	seat := candidacy.New(candidacy.Options{Self: entryOf(owner.Member()), Shards: owner.options.Shards})
	heard := int64(0)
	lost := time.Time{}
	for ctx.Err() == nil {
		asked := owner.options.Clock.Now()
		owner.look(ctx, seat)
		generation, err := owner.keepSeat(ctx, seat, heard)
		// Whether it is among the first by rank is known before it connects to all agents.
		owner.lookAtHolders(ctx, seat)
		if err != nil {
			lost = owner.noteStoreLost(ctx, lost, asked, err)
		} else {
			owner.noteStoreBack(ctx, lost, asked)
			lost = time.Time{}
		}
		if !owner.stand(ctx, seat) {
			return
		}
		// Naming a new generation at once hands over what is no longer held.
		named := generation == heard || !seat.WantsSeat()
		heard = generation
		if named {
			owner.sleep(ctx, applyEvery)
		}
	}
}

// keepSeat asks for a seat or leaves it, as the candidacy says. It returns the generation that the store named last, 0
// once the entry has left.
func (owner *Owner) keepSeat(ctx context.Context, seat *candidacy.Candidacy, heard int64) (int64, error) {
	if seat.WantsSeat() {
		return owner.applyForSeat(ctx, seat, heard)
	}
	if heard == 0 {
		return 0, nil
	}
	if err := owner.leaveGroup(ctx, job.SeatsGroup, owner.Member()); err != nil {
		return heard, err
	}
	return 0, nil
}

// look finds out what the candidacy needs to know.
func (owner *Owner) look(ctx context.Context, seat *candidacy.Candidacy) {
	if seat.NeedsOwners(owner.options.Clock.Now()) {
		owner.lookAt(ctx, job.OwnersGroup, seat.ObserveOwners)
	}
	if seat.NeedsAgentCount() {
		owner.countAgents(ctx, seat)
	}
	owner.lookAtHolders(ctx, seat)
}

func (owner *Owner) lookAtHolders(ctx context.Context, seat *candidacy.Candidacy) {
	if seat.NeedsSeatHolders(owner.options.Clock.Now()) {
		owner.lookAt(ctx, job.SeatsGroup, seat.ObserveSeatHolders)
	}
}

// lookAt has note take in which entries hold something of a group. What the store does not say is asked for again, and
// the entry goes on as it is until then.
func (owner *Owner) lookAt(ctx context.Context, group string, note func(holders []candidacy.Entry, now time.Time)) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	members, err := owner.options.Store.Holders(ctx, group)
	if err != nil {
		owner.log(event.OwnersUnknown, slog.Any("error", err))
		return
	}
	var holders []candidacy.Entry
	for _, member := range members {
		holders = append(holders, entryOf(member))
	}
	note(holders, owner.options.Clock.Now())
}

// entryOf returns the entry with a member's name. One of an earlier build does not say what its machine bears.
func entryOf(member string) candidacy.Entry {
	return candidacy.Entry{Name: member, Strong: !strings.HasPrefix(member, weakMark)}
}

// countAgents counts the agents: those that the entry looks at, or those that the store has registered.
func (owner *Owner) countAgents(ctx context.Context, seat *candidacy.Candidacy) {
	count := 0
	if !owner.decisions.Ask(ctx, func(time.Time) { count = len(owner.agents) }) {
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
	silent := max(seatSilent, owner.options.Silent)
	deal, err := owner.options.Store.Join(ctx, job.SeatsGroup, owner.Member(), job.SeatTopics(), silent, heard)
	if err != nil {
		return heard, err
	}
	seat.SetHeldSeats(len(deal.Parts))
	return deal.Generation, nil
}

// stand begins or ends to stand where the candidacy says so. It reports false once the owner has ended.
func (owner *Owner) stand(ctx context.Context, seat *candidacy.Candidacy) bool {
	stands := false
	if !owner.decisions.Ask(ctx, func(now time.Time) { stands = seat.Decide(len(owner.shards), now) }) {
		return false
	}
	switch {
	case stands && owner.present == nil:
		owner.log(event.CandidacyBegun, slog.Bool("strong", owner.options.Strong))
		owner.present = owner.beginStanding(ctx)
	case !stands && owner.present != nil:
		owner.log(event.CandidacyEnded, slog.Bool("strong", owner.options.Strong))
		err := owner.endStanding(ctx, "not a candidate any more")
		if err != nil {
			// The store takes a silent member out by itself.
			owner.log(event.StoreLost, slog.Any("error", err))
		}
	}
	return true
}

func (owner *Owner) beginStanding(ctx context.Context) *standing {
	owner.decisions.Ask(ctx, func(time.Time) { owner.withdrawn = false })
	begun := &standing{joined: make(chan struct{})}
	begun.joining, begun.stopJoining = context.WithCancel(owner.ctx)
	following, stopFollowing := context.WithCancel(owner.ctx)
	begun.stopFollowing = stopFollowing
	owner.renew.Store(true)
	go func() {
		defer close(begun.joined)
		owner.keepMembership(begun.joining)
	}()
	owner.followAgents(following)
	return begun
}

// endStanding gives all shards up, so that others take them at once, and leaves the agents.
func (owner *Owner) endStanding(ctx context.Context, reason string) error {
	ended := owner.present
	owner.present = nil
	// No join may reach the store after the leave: it would bring shards back
	// to an entry that no longer schedules them.
	ended.stopJoining()
	<-ended.joined
	// Once the loop of decisions has ended there is nothing left to give up.
	owner.decisions.Ask(ctx, func(now time.Time) {
		for _, held := range owner.shards {
			owner.giveUp(held, reason, now)
		}
	})
	err := owner.leaveGroup(ctx, job.OwnersGroup, owner.Member())
	ended.stopFollowing()
	owner.decisions.Ask(ctx, func(time.Time) { owner.withdraw() })
	return err
}

// Leave gives all shards up, so that others take them at once.
func (owner *Owner) Leave(ctx context.Context) error {
	owner.stopApplying()
	<-owner.applied
	var left error
	if owner.present != nil {
		left = owner.endStanding(ctx, "the process stops")
	}
	err := owner.leaveGroup(ctx, job.SeatsGroup, owner.Member())
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
