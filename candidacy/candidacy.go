// Package candidacy decides which entries offer themselves as owners of shards.
//
// An entry that may own a shard keeps a connection to every agent, so that it can go on at once
// where another one has been lost. If all did, a fleet would have as many connections as entries times agents,
// although no more entries than shards own any. So entries apply for seats, of which there are twice as many as
// shards, and those with a seat are candidates: one owner for each shard, and one that
// takes its place. The store deals the seats and takes them from entries that are silent.
//
// Strong entries, whose machine bears the work of an owner, always apply. Weak ones do while the strong are too few to bear
// all shards, and leave when they are not needed. Where many are lost at once, those without a seat don't wait for
// one, the strong ones first.
//
// # Usage
//
//	seat := candidacy.New(candidacy.Options{Name: "edge-1", Strong: candidacy.Strong(0.8), Shards: 16})
//	if seat.LooksAtOwners(now) { seat.NoteOwners(owners, now) }
//	if seat.LooksAtHolders(now) { seat.NoteHolders(holders, now) }
//	if seat.Applies() { seat.NoteDealt(seats) }
//	candidate := seat.Stands(shards, now)
package candidacy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// strongCores is what a machine has at least that bears the work of several shards.
	strongCores = 0.4
	// strongShards is how many shards a strong entry bears; a weak one bears one.
	strongShards = 4
	// ownersEvery is how often an entry without a seat looks at which entries own shards.
	ownersEvery = 1500 * time.Millisecond
	// holdersEvery is how often a weak entry that has applied looks at who holds the seats.
	holdersEvery = 5 * time.Second
	// strongPatience and weakPatience are for how long owners are too few until an entry without a seat offers
	// itself. An owner that is lost is missed for 1.5 s, and when all start the first to
	// come owns all for a moment. Weak ones come one by one, within weakSpread.
	strongPatience = time.Second
	weakPatience   = 2500 * time.Millisecond
	weakSpread     = 2500 * time.Millisecond
	// settleFor is how long a candidate without a seat and without a shard stays one: seats may be dealt anew at
	// any moment, and an entry that has just connected to all agents is soon wanted again.
	settleFor = 10 * time.Second
	// relieveAfter and relieveSpread are how long a weak entry stays at least and at most once it is no longer
	// needed. They leave one by one, so that each sees whether it still is.
	relieveAfter  = 20 * time.Second
	relieveSpread = 20 * time.Second
)

// Strong reports whether a machine with so many cores bears the work of an owner. Zero stands for one that does not say.
func Strong(cores float64) bool { return cores == 0 || cores >= strongCores }

// Seats is how many seats there are for so many shards.
func Seats(shards int) int { return 2 * shards }

// Options sets up a Candidacy.
type Options struct {
	// Name tells the entry from others.
	Name string
	// Strong is set for an entry whose machine bears the work of an owner.
	Strong bool
	// Shards is how many shards there are.
	Shards int
}

// Holders says how many entries hold some of what the store deals: shards or seats.
type Holders struct {
	// Strong and Weak count the entries that hold something.
	Strong, Weak int
	// Self is set where this entry is one of them.
	Self bool
}

// bear reports whether the holders bear the work of so many shards.
func (holders Holders) bear(shards int) bool {
	return holders.Strong*strongShards+holders.Weak >= shards
}

// Candidacy is what one entry does about its seat. It decides by what it is told, and asks nobody.
type Candidacy struct {
	options Options
	applies bool
	// seats is how many the entry holds.
	seats int
	// ownersAt and holdersAt are when the owners and the holders of seats were last noted, zero if they never were.
	ownersAt  time.Time
	holdersAt time.Time
	// fewSince is since when owners have been too few, zero while they are enough.
	fewSince time.Time
	// wantedAt is when the entry last had a seat or a shard, or offered itself without.
	wantedAt time.Time
	// relieveAt is when a weak entry leaves, zero while it is needed.
	relieveAt time.Time
}

// New returns the candidacy of an entry that holds nothing yet.
func New(options Options) *Candidacy {
	return &Candidacy{options: options, applies: options.Strong}
}

// LooksAtOwners reports whether the entry needs to know which entries own shards.
func (seat *Candidacy) LooksAtOwners(now time.Time) bool {
	return seat.seats == 0 && (seat.ownersAt.IsZero() || now.Sub(seat.ownersAt) >= ownersEvery)
}

// NoteOwners takes in which entries own shards.
func (seat *Candidacy) NoteOwners(owners Holders, now time.Time) {
	seat.ownersAt = now
	if owners.bear(seat.options.Shards) {
		seat.fewSince = time.Time{}
		return
	}
	if seat.fewSince.IsZero() {
		seat.fewSince = now
	}
	if now.Sub(seat.fewSince) >= seat.patience() {
		seat.applies = true
		seat.wantedAt = now
	}
}

func (seat *Candidacy) patience() time.Duration {
	if seat.options.Strong {
		return strongPatience
	}
	return weakPatience + seat.part(weakSpread)
}

// part returns a part of a length that differs from entry to entry.
func (seat *Candidacy) part(length time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(seat.options.Name) % uint64(length))
}

// LooksAtHolders reports whether the entry needs to know who holds the seats. One that has just started does: it may have come
// back before it was missed.
func (seat *Candidacy) LooksAtHolders(now time.Time) bool {
	if seat.options.Strong {
		return false
	}
	return seat.holdersAt.IsZero() || seat.applies && now.Sub(seat.holdersAt) >= holdersEvery
}

// NoteHolders takes in which entries hold seats.
func (seat *Candidacy) NoteHolders(holders Holders, now time.Time) {
	first := seat.holdersAt.IsZero()
	seat.holdersAt = now
	if !seat.applies {
		seat.applies = first && holders.Self
		return
	}
	if seat.options.Strong || !seat.isSpare(holders) {
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
func (seat *Candidacy) isSpare(holders Holders) bool {
	if seat.seats == 0 {
		return holders.bear(seat.options.Shards)
	}
	allHeld := holders.Strong+holders.Weak >= Seats(seat.options.Shards)
	return Holders{Strong: holders.Strong}.bear(seat.options.Shards) || holders.Strong > 0 && allHeld
}

// Applies reports whether the entry is to ask the store for a seat.
func (seat *Candidacy) Applies() bool { return seat.applies }

// NoteDealt takes in how many seats the store has dealt the entry.
func (seat *Candidacy) NoteDealt(seats int) { seat.seats = seats }

// Stands reports whether an entry that owns so many shards is a candidate.
func (seat *Candidacy) Stands(shards int, now time.Time) bool {
	if !seat.applies {
		return false
	}
	if seat.seats > 0 || shards > 0 {
		seat.wantedAt = now
	}
	return !seat.wantedAt.IsZero() && now.Sub(seat.wantedAt) < settleFor
}
