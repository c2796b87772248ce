package gateway

import (
	"sync"
	"time"

	"ambertiller.example/ambertiller/operator"
)

// confirmation tracks when the gateway last knew that its configuration is the newest one. It may be used by
// many goroutines.
type confirmation struct {
	mu          sync.Mutex
	confirmedAt time.Time // zero until the first confirmation
	failedReads int       // in a row
	// behindSince is when the gateway learned that the store has newer records of operators than it has read, zero if
	// it knows of none.
	behindSince time.Time
	// storeAnsweredAt is when the store last accepted a record from this gateway.
	storeAnsweredAt time.Time
}

// recordConfirmed records that the configuration was the newest one at asOf. It returns how long the gateway had
// not known that, and how many reads had failed in a row.
func (c *confirmation) recordConfirmed(asOf time.Time) (unconfirmed time.Duration, failedReads int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.confirmedAt.IsZero() {
		unconfirmed = asOf.Sub(c.confirmedAt)
	}
	failedReads = c.failedReads
	c.confirmedAt, c.failedReads, c.behindSince = asOf, 0, time.Time{}
	return unconfirmed, failedReads
}

// recordFailure records that a read failed, and reports whether it is the first one since the last confirmation.
func (c *confirmation) recordFailure() (isFirst bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedReads++
	return c.failedReads == 1
}

// recordBehind records that the store has records that the gateway has not read yet.
func (c *confirmation) recordBehind(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.behindSince.IsZero() {
		c.behindSince = now
	}
}

// age returns the time since the last confirmation, or 0 if there was none.
func (c *confirmation) age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmedAt.IsZero() {
		return 0
	}
	return now.Sub(c.confirmedAt)
}

// recordStoreAnswer records that the store accepted a record from this gateway.
func (c *confirmation) recordStoreAnswer(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeAnsweredAt = now
}

// isOutdated reports whether the store has had newer records for longer than maxConfigurationAge, so that a newer
// configuration has to be in force. A read finds a record that is written while it waits at once. If reads fail, the
// record may have been there since the first of them.
func (c *confirmation) isOutdated(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.behindSince.IsZero() || c.confirmedAt.IsZero() {
		return false
	}
	writtenAt := c.confirmedAt.Add(operator.MaxReadWait)
	if c.behindSince.Before(writtenAt) {
		writtenAt = c.behindSince
	}
	return now.Sub(writtenAt) > maxConfigurationAge
}

// isOverdue reports whether a newer configuration may be in force elsewhere, although it is not known that there is one:
// the store has served this gateway after the configuration had been unconfirmed for longer than maxConfigurationAge.
// While the store can't be reached, a configuration is not overdue: nothing may be in force elsewhere either, and peers
// may still append.
func (c *confirmation) isOverdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmedAt.IsZero() && c.storeAnsweredAt.Sub(c.confirmedAt) > maxConfigurationAge
}
