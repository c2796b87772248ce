// Package budget limits retries with a token bucket, so that retries do not
// multiply the load of a system that is already overloaded.
//
// Each first attempt adds a fraction of a token and each retry takes a whole one.
// While few requests fail, every failure can be retried. When most of them fail,
// the number of retries is limited to a fixed ratio of the first attempts.
//
// # Usage
//
//	retries := budget.New(0.1, 10)
//	retries.Deposit()
//	if retries.Withdraw() { ... try again ... }
package budget

import "sync"

// Budget holds the tokens for retries. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	ratio     float64
	maxTokens float64
	tokens    float64
}

// New returns a full budget. ratio is the number of retries allowed per first
// attempt, and burst the maximum number of tokens it holds.
func New(ratio float64, burst int) *Budget {
	return &Budget{ratio: ratio, maxTokens: float64(burst), tokens: float64(burst)}
}

// SetRatio changes the number of retries allowed per first attempt.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// Deposit adds the tokens of one first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.maxTokens, b.tokens+b.ratio)
}

// Withdraw takes the token of one retry and reports whether there was one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
