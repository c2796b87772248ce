package wirestore

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// maxAppendWait is how long appends may wait in a partition before more are refused.
const maxAppendWait = 2 * time.Second

// appendQueue lets the appends of each partition through one after the other. The zero value lets
// all through at once.
type appendQueue struct {
	clock      clockwork.Clock
	appendTime time.Duration
	// freeAt is when the last append that waits will be done.
	freeAt map[partitionKey]time.Time
}

// SetAppendTime has each append of a partition take so long from here on, one after the other. One
// whose caller gives up while it waits is carried out all the same.
func (store *Store) SetAppendTime(clock clockwork.Clock, takes time.Duration) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.appendQueue = appendQueue{clock: clock, appendTime: takes, freeAt: map[partitionKey]time.Time{}}
}

// awaitAppend waits for an append's turn. It reports false, at once, where too many wait.
func (store *Store) awaitAppend(place partitionKey) bool {
	store.mu.Lock()
	if store.appendQueue.appendTime == 0 {
		store.mu.Unlock()
		return true
	}
	clock := store.appendQueue.clock
	now := clock.Now()
	begins := store.appendQueue.freeAt[place]
	if begins.Before(now) {
		begins = now
	}
	if begins.Sub(now) > maxAppendWait {
		store.mu.Unlock()
		return false
	}
	done := begins.Add(store.appendQueue.appendTime)
	store.appendQueue.freeAt[place] = done
	store.mu.Unlock()
	<-clock.After(done.Sub(now))
	return true
}
