package wirestore

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// maxAppendWait is the longest time that an append may wait for the earlier ones of its partition. An append
// that would wait longer is rejected.
const maxAppendWait = 2 * time.Second

// appendQueue makes the appends to each partition run one after the other. The zero value does not delay
// appends.
type appendQueue struct {
	clock      clockwork.Clock
	appendTime time.Duration
	// freeAt is when the last queued append of a partition ends.
	freeAt map[partitionKey]time.Time
}

// SetAppendTime makes every append to a partition take appendTime from now on, one after the other. An append
// whose caller gives up while it is queued is still carried out.
func (store *Store) SetAppendTime(clock clockwork.Clock, appendTime time.Duration) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.appendQueue = appendQueue{clock: clock, appendTime: appendTime, freeAt: map[partitionKey]time.Time{}}
}

// awaitAppend waits for the earlier appends to a partition and for the time that the append itself takes. It
// returns false immediately if the append is rejected.
func (store *Store) awaitAppend(key partitionKey) bool {
	store.mu.Lock()
	if store.appendQueue.appendTime == 0 {
		store.mu.Unlock()
		return true
	}
	clock := store.appendQueue.clock
	now := clock.Now()
	start := store.appendQueue.freeAt[key]
	if start.Before(now) {
		start = now
	}
	if start.Sub(now) > maxAppendWait {
		store.mu.Unlock()
		return false
	}
	end := start.Add(store.appendQueue.appendTime)
	store.appendQueue.freeAt[key] = end
	store.mu.Unlock()
	<-clock.After(end.Sub(now))
	return true
}
