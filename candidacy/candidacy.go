// Package candidacy decides which entries offer themselves as owners of shards.
//
// An entry that may own a shard keeps a connection to every agent, so that it can go on at once
// where another one has been lost. If all did, a fleet would have as many connections as entries times agents,
// although no more entries than shards own any. And owners that are many choose the same places without having
// spoken: the fewer there are, the fewer starts are refused. So there are as many candidates as bear the work, and where
// that is one for each shard, a second for each.
//
// Entries apply for seats, which the store deals, and takes from those that are silent. Strong entries, whose machine
// bears the work of several shards, always apply; weak ones do while the strong are too few, and leave when they
// are not needed. Of the entries with a seat the first by rank are candidates, strong ones before weak ones. Where many are
// lost at once the others don't wait for a seat or a rank, the strong ones first.
//
// # Usage
//
//	seat := candidacy.New(candidacy.Options{Self: candidacy.Entry{Name: "edge-1", Strong: true}, Shards: 16})
//	if seat.LooksAtOwners(now) { seat.NoteOwners(owners, now) }
//	if seat.LooksAtHolders(now) { seat.NoteHolders(holders, now) }
//	if seat.CountsAgents() { seat.NoteAgents(count) }
//	if seat.Applies() { seat.NoteDealt(seats) }
//	candidate := seat.Stands(shards, now)
package candidacy

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minStrongCores is what a strong machine has of a core at least.
	minStrongCores = 0.4
	// coresPerAgent is what the owners of all shards together take of a core for each agent, at the busiest.
	coresPerAgent = 0.008
	// minOwners is how many owners there are at least, since one is lost now and then; minStrongCandidates is
	// how many strong candidates there are where there are as many.
	minOwners           = 2
	minStrongCandidates = 3
	// strongOwnersInterval and weakOwnersInterval are how often an entry that is no candidate looks at who owns shards.
	strongOwnersInterval = time.Second
	weakOwnersInterval   = 1500 * time.Millisecond
	// seatHoldersInterval is how often an entry that has applied looks at who holds the seats.
	seatHoldersInterval = 5 * time.Second
	// strongTakeoverDelay and weakTakeoverDelay are for how long owners are too few until an entry offers
	// itself whatever its seat. An owner that is lost is missed for 1.5 s, and when all start the first to
	// come owns all for a moment. Weak ones come one by one, within weakTakeoverJitter.
	strongTakeoverDelay = time.Second
	weakTakeoverDelay   = 2500 * time.Millisecond
	weakTakeoverJitter  = 2500 * time.Millisecond
	// noOwnerTakeoverDelay and noOwnerTakeoverJitter are the same for a weak entry while nobody owns a shard: jobs stand still.
	noOwnerTakeoverDelay  = time.Second
	noOwnerTakeoverJitter = 1500 * time.Millisecond
	// candidateHoldTime is how long a candidate stays one that is not wanted any more: seats may be dealt anew at
	// any moment, and an entry that has just connected to all agents is soon wanted again.
	candidateHoldTime = 10 * time.Second
	// withdrawDelay and withdrawJitter are how long a weak entry stays at least and at most once it is no longer
	// needed. They leave one by one, so that each sees whether it still is.
	withdrawDelay  = 20 * time.Second
	withdrawJitter = 20 * time.Second
)

// IsStrong reports whether a machine with so many cores bears the work of several shards. Zero stands for one that does not say.
func IsStrong(cores float64) bool { return cores == 0 || cores >= minStrongCores }

// SeatCount is how many seats there are for so many shards.
func SeatCount(shards int) int { return 2 * shards }

// Entry is one that may own shards.
type Entry struct {
	// Name tells the entry from others.
	Name string
	// Strong is set for an entry whose machine bears the work of several shards.
	Strong bool
}

// compare orders entries: strong ones first, else in the same way everywhere.
func (entry Entry) compare(other Entry) int {
	if entry.Strong != other.Strong {
		if entry.Strong {
			return -1
		}
		return 1
	}
	first, second := xxhash.Sum64String(entry.Name), xxhash.Sum64String(other.Name)
	if first < second {
		return -1
	}
	return 1
}

// Options sets up a Candidacy.
type Options struct {
	// Self is the entry that decides.
	Self Entry
	// Shards is how many shards there are.
	Shards int
}

// Candidacy is what one entry does about its seat. It decides by what it is told, and asks nobody.
type Candidacy struct {
	options   Options
	wantsSeat bool
	// heldSeats is how many the entry holds.
	heldSeats int
	// isSelected is set unless enough others with a seat come before the entry.
	isSelected bool
	// isCandidate is what was last decided.
	isCandidate bool
	// agentCount is how many there are, 0 while that is not known.
	agentCount int
	// ownersObservedAt and holdersAt are when the owners and the holders of seats were last noted, zero if they never were.
	ownersObservedAt  time.Time
	holdersObservedAt time.Time
	// shortageSince is since when owners have been too few, zero while they are enough.
	shortageSince time.Time
	// lastNeededAt is when the entry was last wanted as a candidate.
	lastNeededAt time.Time
	// withdrawAt is when a weak entry leaves, zero while it is needed.
	withdrawAt time.Time
}

// New returns the candidacy of an entry that holds nothing yet.
func New(options Options) *Candidacy {
	return &Candidacy{options: options, wantsSeat: options.Self.Strong, isSelected: true}
}

// shardsPerStrong is how many shards a strong entry bears: as many as it has shares of a core for, by how many agents there are.
func (seat *Candidacy) shardsPerStrong() int {
	if seat.agentCount == 0 {
		return 1
	}
	return max(int(minStrongCores*float64(seat.options.Shards)/(coresPerAgent*float64(seat.agentCount))), 1)
}

// areSufficient reports whether entries bear the work of all shards. A weak one bears one.
func (seat *Candidacy) areSufficient(entries []Entry) bool {
	shards := 0
	for _, entry := range entries {
		if entry.Strong {
			shards += seat.shardsPerStrong()
			continue
		}
		shards++
	}
	return len(entries) >= minOwners && shards >= seat.options.Shards
}

// NeedsOwners reports whether the entry needs to know which entries own shards.
func (seat *Candidacy) NeedsOwners(now time.Time) bool {
	every := weakOwnersInterval
	if seat.options.Self.Strong {
		every = strongOwnersInterval
	}
	return !seat.isCandidate && (seat.ownersObservedAt.IsZero() || now.Sub(seat.ownersObservedAt) >= every)
}

// ObserveOwners takes in which entries own shards.
func (seat *Candidacy) ObserveOwners(owners []Entry, now time.Time) {
	seat.ownersObservedAt = now
	if seat.areSufficient(owners) {
		seat.shortageSince = time.Time{}
		return
	}
	if seat.shortageSince.IsZero() {
		seat.shortageSince = now
	}
	if now.Sub(seat.shortageSince) >= seat.takeoverDelay(owners) {
		seat.wantsSeat = true
		seat.lastNeededAt = now
	}
}

// takeoverDelay is for how long the entry leaves it to others where owners are too few.
func (seat *Candidacy) takeoverDelay(owners []Entry) time.Duration {
	switch {
	case seat.options.Self.Strong:
		return strongTakeoverDelay
	case len(owners) == 0:
		return noOwnerTakeoverDelay + seat.jitter(noOwnerTakeoverJitter)
	}
	return weakTakeoverDelay + seat.jitter(weakTakeoverJitter)
}

// jitter returns a part of a length that differs from entry to entry.
func (seat *Candidacy) jitter(length time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(seat.options.Self.Name) % uint64(length))
}

// NeedsAgentCount reports whether the entry needs to know how many agents there are: it hangs on that whether owners are too few, and
// how many candidates there are to be.
func (seat *Candidacy) NeedsAgentCount() bool {
	return seat.agentCount == 0 || seat.isCandidate || !seat.shortageSince.IsZero()
}

// SetAgentCount takes in how many agents there are.
func (seat *Candidacy) SetAgentCount(count int) { seat.agentCount = count }

// NeedsSeatHolders reports whether the entry needs to know who holds the seats. A weak one that has just started does: it may have
// come back before it was missed.
func (seat *Candidacy) NeedsSeatHolders(now time.Time) bool {
	if seat.holdersObservedAt.IsZero() {
		return !seat.options.Self.Strong || seat.heldSeats > 0
	}
	return seat.wantsSeat && now.Sub(seat.holdersObservedAt) >= seatHoldersInterval
}

// ObserveSeatHolders takes in which entries hold seats.
func (seat *Candidacy) ObserveSeatHolders(holders []Entry, now time.Time) {
	first := seat.holdersObservedAt.IsZero()
	seat.holdersObservedAt = now
	before := slices.DeleteFunc(slices.Clone(holders), func(holder Entry) bool {
		return holder == seat.options.Self || holder.compare(seat.options.Self) > 0
	})
	// Where a strong entry bears no more than one shard, each shard has an owner and one that takes its place.
	seat.isSelected = seat.shardsPerStrong() == 1 || !seat.areSufficient(before) || seat.options.Self.Strong && len(before) < minStrongCandidates
	switch {
	case seat.options.Self.Strong:
	case !seat.wantsSeat:
		seat.wantsSeat = first && slices.Contains(holders, seat.options.Self)
	default:
		seat.updateWithdrawal(holders, now)
	}
}

// updateWithdrawal has a weak entry leave that others do without.
func (seat *Candidacy) updateWithdrawal(holders []Entry, now time.Time) {
	if !seat.isRedundant(holders) {
		seat.withdrawAt = time.Time{}
		return
	}
	if seat.withdrawAt.IsZero() {
		seat.withdrawAt = now.Add(withdrawDelay + seat.jitter(withdrawJitter))
	}
	if !now.Before(seat.withdrawAt) {
		seat.wantsSeat, seat.heldSeats, seat.withdrawAt = false, 0, time.Time{}
	}
}

// isRedundant reports whether others do without this weak entry: others have the seats, or strong ones are enough. Where all seats
// are held, strong ones may wait for the seat of this one.
func (seat *Candidacy) isRedundant(holders []Entry) bool {
	if seat.heldSeats == 0 {
		return seat.areSufficient(holders)
	}
	strong := slices.DeleteFunc(slices.Clone(holders), func(holder Entry) bool { return !holder.Strong })
	return seat.areSufficient(strong) || len(strong) > 0 && len(holders) >= SeatCount(seat.options.Shards)
}

// WantsSeat reports whether the entry is to ask the store for a seat.
func (seat *Candidacy) WantsSeat() bool { return seat.wantsSeat }

// SetHeldSeats takes in how many seats the store has dealt the entry.
func (seat *Candidacy) SetHeldSeats(seats int) { seat.heldSeats = seats }

// Decide reports whether an entry that owns so many shards is a candidate. Where each shard has candidates of its own, one that
// owns a shard stays, whatever becomes of its seat.
func (seat *Candidacy) Decide(shards int, now time.Time) bool {
	if seat.heldSeats > 0 && seat.isSelected || shards > 0 && seat.shardsPerStrong() == 1 {
		seat.lastNeededAt = now
	}
	seat.isCandidate = seat.wantsSeat && !seat.lastNeededAt.IsZero() && now.Sub(seat.lastNeededAt) < candidateHoldTime
	return seat.isCandidate
}
