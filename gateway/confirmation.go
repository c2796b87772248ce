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
	c.confirmedAt, c.failedReads = asOf, 0
	return unconfirmed, failedReads
}

// recordFailure records that a read failed, and reports whether it is the first one since the last confirmation.
func (c *confirmation) recordFailure() (isFirst bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedReads++
	return c.failedReads == 1
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

// isOverdue reports whether the store has served this gateway although the configuration had been unconfirmed for
// longer than maxConfigurationAge, so that a newer one must be assumed to be in force elsewhere. While the store can't
// be reached, a configuration is not overdue: nothing may be in force elsewhere either, and peers may still append.
func (c *confirmation) isOverdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmedAt.IsZero() && c.storeAnsweredAt.Sub(c.confirmedAt) > maxConfigurationAge
}
