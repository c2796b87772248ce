// Package budget bounds retries, so that they cannot multiply a load that is
// already too much.
//
// Each first try adds a fraction of a token and each retry takes a whole one.
// While few requests fail, every failure can be retried; when most fail, the
// retries stay at the stated ratio of the first tries.
//
// # Usage
//
//	retries := budget.New(0.1, 10)
//	retries.Deposit()
//	if retries.Withdraw() { ... try again ... }
package budget

import "sync"

// Budget is a store of retries. It may be used by many goroutines.
type Budget struct {
	mu        sync.Mutex
	ratio     float64
	maxTokens float64
	tokens    float64
}

// New returns a full budget: ratio retries for each first try, and at most
// burst retries saved up.
func New(ratio float64, burst int) *Budget {
	return &Budget{ratio: ratio, maxTokens: float64(burst), tokens: float64(burst)}
}

// SetRatio changes the number of retries for each first try.
func (retries *Budget) SetRatio(ratio float64) {
	retries.mu.Lock()
	defer retries.mu.Unlock()
	retries.ratio = ratio
}

// Deposit counts a first try.
func (retries *Budget) Deposit() {
	retries.mu.Lock()
	defer retries.mu.Unlock()
	retries.tokens = min(retries.maxTokens, retries.tokens+retries.ratio)
}

// Withdraw takes a retry and reports whether there was one.
func (retries *Budget) Withdraw() bool {
	retries.mu.Lock()
	defer retries.mu.Unlock()
	if retries.tokens < 1 {
		return false
	}
	retries.tokens--
	return true
}
