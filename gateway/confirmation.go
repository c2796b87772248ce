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
