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
	// strongCores is what a strong machine has of a core at least.
	strongCores = 0.4
	// agentCores is what the owners of all shards together take of a core for each agent, at the busiest.
	agentCores = 0.008
	// ownersLeast is how many owners there are at least, since one is lost now and then; strongLeast is
	// how many strong candidates there are where there are as many.
	ownersLeast = 2
	strongLeast = 3
	// strongLookEvery and weakLookEvery are how often an entry that is no candidate looks at who owns shards.
	strongLookEvery = time.Second
	weakLookEvery   = 1500 * time.Millisecond
	// holdersEvery is how often an entry that has applied looks at who holds the seats.
	holdersEvery = 5 * time.Second
	// strongPatience and weakPatience are for how long owners are too few until an entry offers
	// itself whatever its seat. An owner that is lost is missed for 1.5 s, and when all start the first to
	// come owns all for a moment. Weak ones come one by one, within weakSpread.
	strongPatience = time.Second
	weakPatience   = 2500 * time.Millisecond
	weakSpread     = 2500 * time.Millisecond
	// nobodyPatience and nobodySpread are the same for a weak entry while nobody owns a shard: jobs stand still.
	nobodyPatience = time.Second
	nobodySpread   = 1500 * time.Millisecond
	// settleFor is how long a candidate stays one that is not wanted any more: seats may be dealt anew at
	// any moment, and an entry that has just connected to all agents is soon wanted again.
	settleFor = 10 * time.Second
	// relieveAfter and relieveSpread are how long a weak entry stays at least and at most once it is no longer
	// needed. They leave one by one, so that each sees whether it still is.
	relieveAfter  = 20 * time.Second
	relieveSpread = 20 * time.Second
)

// Strong reports whether a machine with so many cores bears the work of several shards. Zero stands for one that does not say.
func Strong(cores float64) bool { return cores == 0 || cores >= strongCores }

// Seats is how many seats there are for so many shards.
func Seats(shards int) int { return 2 * shards }

// Entry is one that may own shards.
type Entry struct {
	// Name tells the entry from others.
	Name string
	// Strong is set for an entry whose machine bears the work of several shards.
	Strong bool
}

// rank orders entries: strong ones first, else in the same way everywhere.
func (entry Entry) rank(other Entry) int {
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
	options Options
	applies bool
	// seats is how many the entry holds.
	seats int
	// chosen is set unless enough others with a seat come before the entry.
	chosen bool
	// stands is what was last decided.
	stands bool
	// agents is how many there are, 0 while that is not known.
	agents int
	// ownersAt and holdersAt are when the owners and the holders of seats were last noted, zero if they never were.
	ownersAt  time.Time
	holdersAt time.Time
	// fewSince is since when owners have been too few, zero while they are enough.
	fewSince time.Time
	// wantedAt is when the entry was last wanted as a candidate.
	wantedAt time.Time
	// relieveAt is when a weak entry leaves, zero while it is needed.
	relieveAt time.Time
}

// New returns the candidacy of an entry that holds nothing yet.
func New(options Options) *Candidacy {
	return &Candidacy{options: options, applies: options.Self.Strong, chosen: true}
}

// borne is how many shards a strong entry bears: as many as it has shares of a core for, by how many agents there are.
func (seat *Candidacy) borne() int {
	if seat.agents == 0 {
		return 1
	}
	return max(int(strongCores*float64(seat.options.Shards)/(agentCores*float64(seat.agents))), 1)
}

// bear reports whether entries bear the work of all shards. A weak one bears one.
func (seat *Candidacy) bear(entries []Entry) bool {
	shards := 0
	for _, entry := range entries {
		if entry.Strong {
			shards += seat.borne()
			continue
		}
		shards++
	}
	return len(entries) >= ownersLeast && shards >= seat.options.Shards
}

// LooksAtOwners reports whether the entry needs to know which entries own shards.
func (seat *Candidacy) LooksAtOwners(now time.Time) bool {
	every := weakLookEvery
	if seat.options.Self.Strong {
		every = strongLookEvery
	}
	return !seat.stands && (seat.ownersAt.IsZero() || now.Sub(seat.ownersAt) >= every)
}

// NoteOwners takes in which entries own shards.
func (seat *Candidacy) NoteOwners(owners []Entry, now time.Time) {
	seat.ownersAt = now
	if seat.bear(owners) {
		seat.fewSince = time.Time{}
		return
	}
	if seat.fewSince.IsZero() {
		seat.fewSince = now
	}
	if now.Sub(seat.fewSince) >= seat.patience(owners) {
		seat.applies = true
		seat.wantedAt = now
	}
}

// patience is for how long the entry leaves it to others where owners are too few.
func (seat *Candidacy) patience(owners []Entry) time.Duration {
	switch {
	case seat.options.Self.Strong:
		return strongPatience
	case len(owners) == 0:
		return nobodyPatience + seat.part(nobodySpread)
	}
	return weakPatience + seat.part(weakSpread)
}

// part returns a part of a length that differs from entry to entry.
func (seat *Candidacy) part(length time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(seat.options.Self.Name) % uint64(length))
}

// CountsAgents reports whether the entry needs to know how many agents there are: it hangs on that whether owners are too few, and
// how many candidates there are to be.
func (seat *Candidacy) CountsAgents() bool {
	return seat.agents == 0 || seat.stands || !seat.fewSince.IsZero()
}

// NoteAgents takes in how many agents there are.
func (seat *Candidacy) NoteAgents(count int) { seat.agents = count }

// LooksAtHolders reports whether the entry needs to know who holds the seats. A weak one that has just started does: it may have
// come back before it was missed.
func (seat *Candidacy) LooksAtHolders(now time.Time) bool {
	if seat.holdersAt.IsZero() {
		return !seat.options.Self.Strong || seat.seats > 0
	}
	return seat.applies && now.Sub(seat.holdersAt) >= holdersEvery
}

// NoteHolders takes in which entries hold seats.
func (seat *Candidacy) NoteHolders(holders []Entry, now time.Time) {
	first := seat.holdersAt.IsZero()
	seat.holdersAt = now
	before := slices.DeleteFunc(slices.Clone(holders), func(holder Entry) bool {
		return holder == seat.options.Self || holder.rank(seat.options.Self) > 0
	})
	// Where a strong entry bears no more than one shard, each shard has an owner and one that takes its place.
	seat.chosen = seat.borne() == 1 || !seat.bear(before) || seat.options.Self.Strong && len(before) < strongLeast
	switch {
	case seat.options.Self.Strong:
	case !seat.applies:
		seat.applies = first && slices.Contains(holders, seat.options.Self)
	default:
		seat.relieve(holders, now)
	}
}

// relieve has a weak entry leave that others do without.
func (seat *Candidacy) relieve(holders []Entry, now time.Time) {
	if !seat.isSpare(holders) {
		seat.relieveAt = time.Time{}
		return
	}
	if seat.relieveAt.IsZero() {
		seat.relieveAt = now.Add(relieveAfter + seat.part(relieveSpread))
	}
	if !now.Before(seat.relieveAt) {
		seat.applies, seat.seats, seat.relieveAt = false, 0, time.Time{}
	}
}

// isSpare reports whether others do without this weak entry: others have the seats, or strong ones are enough. Where all seats
// are held, strong ones may wait for the seat of this one.
func (seat *Candidacy) isSpare(holders []Entry) bool {
	if seat.seats == 0 {
		return seat.bear(holders)
	}
	strong := slices.DeleteFunc(slices.Clone(holders), func(holder Entry) bool { return !holder.Strong })
	return seat.bear(strong) || len(strong) > 0 && len(holders) >= Seats(seat.options.Shards)
}

// Applies reports whether the entry is to ask the store for a seat.
func (seat *Candidacy) Applies() bool { return seat.applies }

// NoteDealt takes in how many seats the store has dealt the entry.
func (seat *Candidacy) NoteDealt(seats int) { seat.seats = seats }

// Stands reports whether an entry that owns so many shards is a candidate. Where each shard has candidates of its own, one that
// owns a shard stays, whatever becomes of its seat.
func (seat *Candidacy) Stands(shards int, now time.Time) bool {
	if seat.seats > 0 && seat.chosen || shards > 0 && seat.borne() == 1 {
		seat.wantedAt = now
	}
	seat.stands = seat.applies && !seat.wantedAt.IsZero() && now.Sub(seat.wantedAt) < settleFor
	return seat.stands
}
