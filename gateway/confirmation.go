package gateway

import (
	"sync"
	"time"
)

// confirmation tracks when the gateway last knew that its configuration is the newest one. It may be used by
// many goroutines.
type confirmation struct {
	mu          sync.Mutex
	confirmedAt time.Time // zero until the first confirmation
	failedReads int       // in a row
	// isBehind is whether the store has had newer records of operators since the last confirmation.
	isBehind bool
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
	c.confirmedAt, c.failedReads, c.isBehind = asOf, 0, false
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
func (c *confirmation) recordBehind() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isBehind = true
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

// isOutdated reports whether the store has newer records that may have been there for longer than maxConfigurationAge,
// so that a newer configuration has to be in force.
func (c *confirmation) isOutdated(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isBehind && !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) > maxConfigurationAge
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
