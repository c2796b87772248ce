// Package candidacy decides which entries are candidates for owning shards.
//
// A candidate keeps a connection to every agent, so that it can schedule immediately when it takes over the
// shards of an owner that has failed. If every entry were a candidate, a fleet would have entries × agents
// connections, although there can't be more owners than shards. Owners also choose workers independently of
// each other, so the more owners there are, the more of them choose the same worker and the more starts are
// refused. Therefore there are only as many candidates as the work requires. If each shard requires an owner
// of its own, there is a second candidate for each shard.
//
// # Seats
//
// The candidates are chosen from the entries that hold seats. Seats are partitions that the store distributes
// evenly among the entries that request them, and that it takes from entries that have stopped renewing.
// Strong entries, whose machines have the processors for several shards, always request seats. Weak entries
// request them only while there are too few strong ones, and withdraw when they are redundant. Of the entries
// that hold seats, the first by rank are candidates; strong entries rank before weak ones.
//
// Seats are reassigned too slowly for a failure of many entries at once. If owners are too few for a while,
// further entries become candidates regardless of seat and rank, strong ones first.
//
// # Usage
//
//	c := candidacy.New(candidacy.Options{Self: candidacy.Entry{Name: "edge-1", Strong: true}, Shards: 16})
//	if c.NeedsOwners(now) { c.ObserveOwners(owners, now) }
//	if c.NeedsSeatHolders(now) { c.ObserveSeatHolders(holders, now) }
//	if c.NeedsAgentCount() { c.SetAgentCount(count) }
//	if c.WantsSeat() { c.SetHeldSeats(seats) }
//	isCandidate := c.Decide(ownedShards, now)
package candidacy

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minStrongCores is the least number of processor cores with which a machine counts as strong.
	minStrongCores = 0.4
	// coresPerAgent is the processor time that the owners of all shards need in total for each agent at peak
	// load.
	coresPerAgent = 0.008
	// minOwners is the least number of owners, so that one may fail.
	minOwners = 2
	// minStrongCandidates is the least number of strong candidates, if that many strong entries hold seats.
	minStrongCandidates = 3
	// strongOwnersInterval and weakOwnersInterval are how often an entry that is not a candidate checks which
	// entries own shards.
	strongOwnersInterval = time.Second
	weakOwnersInterval   = 1500 * time.Millisecond
	// seatHoldersInterval is how often an entry that requests a seat checks which entries hold seats.
	seatHoldersInterval = 5 * time.Second
	// strongTakeoverDelay and weakTakeoverDelay are how long there must have been too few owners before an
	// entry becomes a candidate regardless of its seats. The store takes 1.5 s to remove a failed owner, and
	// when all entries start together, the first one owns all shards for a moment. The delay of weak entries
	// is extended by up to weakTakeoverJitter, so that they take over one after another.
	strongTakeoverDelay = time.Second
	weakTakeoverDelay   = 2500 * time.Millisecond
	weakTakeoverJitter  = 2500 * time.Millisecond
	// noOwnerTakeoverDelay and noOwnerTakeoverJitter replace weakTakeoverDelay and weakTakeoverJitter while
	// no shard has an owner. They are shorter because no job makes progress then.
	noOwnerTakeoverDelay  = time.Second
	noOwnerTakeoverJitter = 1500 * time.Millisecond
	// candidateHoldTime is how long an entry remains a candidate after it was last needed. Seats may be
	// reassigned at any time, and an entry that has just connected to all agents is often needed again soon.
	candidateHoldTime = 10 * time.Second
	// withdrawDelay is how long a weak entry must have been redundant before it withdraws. The delay is
	// extended by up to withdrawJitter, so that weak entries withdraw one after another and each can check
	// whether it is still redundant.
	withdrawDelay  = 20 * time.Second
	withdrawJitter = 20 * time.Second
)

// IsStrong reports whether a machine with this number of processor cores can run the work of several shards.
// Zero means that the number is unknown, and counts as strong.
func IsStrong(cores float64) bool { return cores == 0 || cores >= minStrongCores }

// SeatCount returns the number of seats for a number of shards.
func SeatCount(shards int) int { return 2 * shards }

// Entry is an entry process that may own shards.
type Entry struct {
	// Name identifies the entry.
	Name string
	// Strong is set if the machine of the entry can run the work of several shards; see IsStrong.
	Strong bool
}

// compare orders entries by rank: strong entries before weak ones, and otherwise by the hash of the name, so
// that all entries agree on the order. It returns -1 if the entry ranks before other, else 1.
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

// Options configures a Candidacy.
type Options struct {
	// Self is the entry whose candidacy is decided.
	Self Entry
	// Shards is the total number of shards.
	Shards int
}

// Candidacy decides whether one entry requests seats and whether it is a candidate. It makes no calls to
// other processes: the code that uses it supplies the observations that the Needs methods ask for. It is not
// safe for concurrent use.
type Candidacy struct {
	options   Options
	wantsSeat bool
	// heldSeats is the number of seats that the entry holds.
	heldSeats int
	// isSelected is set unless the seat holders that rank before the entry suffice; see ObserveSeatHolders.
	isSelected bool
	// isCandidate is the result of the last Decide.
	isCandidate bool
	// agentCount is the number of agents, 0 while unknown.
	agentCount int
	// ownersObservedAt and holdersObservedAt are the times of the last observations, zero before the first.
	ownersObservedAt  time.Time
	holdersObservedAt time.Time
	// shortageSince is the time since when there have been too few owners, zero while there are enough.
	shortageSince time.Time
	// lastNeededAt is when the entry was last needed as a candidate.
	lastNeededAt time.Time
	// withdrawAt is when a weak entry will withdraw, zero while it is not redundant.
	withdrawAt time.Time
}

// New returns the candidacy of an entry that holds no seats.
func New(options Options) *Candidacy {
	return &Candidacy{options: options, wantsSeat: options.Self.Strong, isSelected: true}
}

// shardsPerStrong returns how many shards a strong entry has the processors for, given the number of agents.
// It is at least 1, and 1 while the number of agents is unknown.
func (candidacy *Candidacy) shardsPerStrong() int {
	if candidacy.agentCount == 0 {
		return 1
	}
	return max(int(minStrongCores*float64(candidacy.options.Shards)/(coresPerAgent*float64(candidacy.agentCount))), 1)
}

// canRunAllShards reports whether the entries can run the work of all shards. A weak entry can run that of one
// shard.
func (candidacy *Candidacy) canRunAllShards(entries []Entry) bool {
	shards := 0
	for _, entry := range entries {
		if entry.Strong {
			shards += candidacy.shardsPerStrong()
			continue
		}
		shards++
	}
	return len(entries) >= minOwners && shards >= candidacy.options.Shards
}

// NeedsOwners reports whether ObserveOwners is due.
func (candidacy *Candidacy) NeedsOwners(now time.Time) bool {
	interval := weakOwnersInterval
	if candidacy.options.Self.Strong {
		interval = strongOwnersInterval
	}
	return !candidacy.isCandidate && (candidacy.ownersObservedAt.IsZero() || now.Sub(candidacy.ownersObservedAt) >= interval)
}

// ObserveOwners records which entries own shards at present. If there have been too few for long enough, the
// entry requests a seat and is needed as a candidate.
func (candidacy *Candidacy) ObserveOwners(owners []Entry, now time.Time) {
	candidacy.ownersObservedAt = now
	if candidacy.canRunAllShards(owners) {
		candidacy.shortageSince = time.Time{}
		return
	}
	if candidacy.shortageSince.IsZero() {
		candidacy.shortageSince = now
	}
	if now.Sub(candidacy.shortageSince) >= candidacy.takeoverDelay(owners) {
		candidacy.wantsSeat = true
		candidacy.lastNeededAt = now
	}
}

// takeoverDelay returns how long the entry leaves a shortage of owners to other entries.
func (candidacy *Candidacy) takeoverDelay(owners []Entry) time.Duration {
	switch {
	case candidacy.options.Self.Strong:
		return strongTakeoverDelay
	case len(owners) == 0:
		return noOwnerTakeoverDelay + candidacy.jitter(noOwnerTakeoverJitter)
	}
	return weakTakeoverDelay + candidacy.jitter(weakTakeoverJitter)
}

// jitter returns a duration below limit that depends only on the name of the entry.
func (candidacy *Candidacy) jitter(limit time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(candidacy.options.Self.Name) % uint64(limit))
}

// NeedsAgentCount reports whether SetAgentCount is due. The number of agents determines whether owners are
// too few and how many candidates are required.
func (candidacy *Candidacy) NeedsAgentCount() bool {
	return candidacy.agentCount == 0 || candidacy.isCandidate || !candidacy.shortageSince.IsZero()
}

// SetAgentCount records the number of agents.
func (candidacy *Candidacy) SetAgentCount(count int) { candidacy.agentCount = count }

// NeedsSeatHolders reports whether ObserveSeatHolders is due. A weak entry needs the observation right after
// its start: if it restarted before the store noticed its absence, it still holds its seats.
func (candidacy *Candidacy) NeedsSeatHolders(now time.Time) bool {
	if candidacy.holdersObservedAt.IsZero() {
		return !candidacy.options.Self.Strong || candidacy.heldSeats > 0
	}
	return candidacy.wantsSeat && now.Sub(candidacy.holdersObservedAt) >= seatHoldersInterval
}

// ObserveSeatHolders records which entries hold seats at present. It decides whether the entry is among the
// first by rank, and whether a weak entry reclaims the seats that it held before a restart or withdraws.
func (candidacy *Candidacy) ObserveSeatHolders(holders []Entry, now time.Time) {
	isFirst := candidacy.holdersObservedAt.IsZero()
	candidacy.holdersObservedAt = now
	before := slices.DeleteFunc(slices.Clone(holders), func(holder Entry) bool {
		return holder == candidacy.options.Self || holder.compare(candidacy.options.Self) > 0
	})
	// If a strong entry can run only one shard, all seat holders are candidates: an owner and a spare for
	// each shard.
	candidacy.isSelected = candidacy.shardsPerStrong() == 1 || !candidacy.canRunAllShards(before) || candidacy.options.Self.Strong && len(before) < minStrongCandidates
	switch {
	case candidacy.options.Self.Strong:
	case !candidacy.wantsSeat:
		candidacy.wantsSeat = isFirst && slices.Contains(holders, candidacy.options.Self)
	default:
		candidacy.updateWithdrawal(holders, now)
	}
}

// updateWithdrawal makes a weak entry withdraw from its seats once it has been redundant for long enough.
func (candidacy *Candidacy) updateWithdrawal(holders []Entry, now time.Time) {
	if !candidacy.isRedundant(holders) {
		candidacy.withdrawAt = time.Time{}
		return
	}
	if candidacy.withdrawAt.IsZero() {
		candidacy.withdrawAt = now.Add(withdrawDelay + candidacy.jitter(withdrawJitter))
	}
	if !now.Before(candidacy.withdrawAt) {
		candidacy.wantsSeat, candidacy.heldSeats, candidacy.withdrawAt = false, 0, time.Time{}
	}
}

// isRedundant reports whether the other entries suffice without this weak one. An entry without seats is
// redundant if the seat holders suffice. An entry with seats is redundant if the strong seat holders suffice,
// or if all seats are held and some of them by strong entries, since further strong entries may be waiting
// for a seat.
func (candidacy *Candidacy) isRedundant(holders []Entry) bool {
	if candidacy.heldSeats == 0 {
		return candidacy.canRunAllShards(holders)
	}
	strong := slices.DeleteFunc(slices.Clone(holders), func(holder Entry) bool { return !holder.Strong })
	return candidacy.canRunAllShards(strong) || len(strong) > 0 && len(holders) >= SeatCount(candidacy.options.Shards)
}

// WantsSeat reports whether the entry should request or keep seats at the store.
func (candidacy *Candidacy) WantsSeat() bool { return candidacy.wantsSeat }

// SetHeldSeats records how many seats the store has assigned to the entry.
func (candidacy *Candidacy) SetHeldSeats(seats int) { candidacy.heldSeats = seats }

// Decide reports whether the entry is a candidate from now on, given how many shards it owns. If a strong
// entry can run only one shard, an entry that owns shards remains a candidate even after losing its seats.
func (candidacy *Candidacy) Decide(ownedShards int, now time.Time) bool {
	if candidacy.heldSeats > 0 && candidacy.isSelected || ownedShards > 0 && candidacy.shardsPerStrong() == 1 {
		candidacy.lastNeededAt = now
	}
	candidacy.isCandidate = candidacy.wantsSeat && !candidacy.lastNeededAt.IsZero() && now.Sub(candidacy.lastNeededAt) < candidateHoldTime
	return candidacy.isCandidate
}
