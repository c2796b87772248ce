package wirestore

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// waitMost is how long appends may wait in a partition before more are refused.
const waitMost = 2 * time.Second

// turns lets the appends of each partition through one after the other. The zero value lets
// all through at once.
type turns struct {
	clock clockwork.Clock
	takes time.Duration
	// freeAt is when the last append that waits will be done.
	freeAt map[topicPart]time.Time
}

// TakeTurns has each append of a partition take so long from here on, one after the other. One
// whose caller gives up while it waits is carried out all the same.
func (store *Store) TakeTurns(clock clockwork.Clock, takes time.Duration) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.turns = turns{clock: clock, takes: takes, freeAt: map[topicPart]time.Time{}}
}

// awaitTurn waits for an append's turn. It reports false, at once, where too many wait.
func (store *Store) awaitTurn(place topicPart) bool {
	store.mu.Lock()
	if store.turns.takes == 0 {
		store.mu.Unlock()
		return true
	}
	clock := store.turns.clock
	now := clock.Now()
	begins := store.turns.freeAt[place]
	if begins.Before(now) {
		begins = now
	}
	if begins.Sub(now) > waitMost {
		store.mu.Unlock()
		return false
	}
	done := begins.Add(store.turns.takes)
	store.turns.freeAt[place] = done
	store.mu.Unlock()
	<-clock.After(done.Sub(now))
	return true
}
