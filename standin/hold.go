package standin

import (
	"context"
	"sync"
)

// holdSet holds requests at the backend servers until they are released, so that a test can act while they are
// in flight. It also counts runs by name.
type holdSet struct {
	mu    sync.Mutex
	holds map[string]*hold
	runs  map[string]int
}

// hold is the state of one name. waiting counts the requests that were held, and is not reduced by a release.
type hold struct {
	waiting  int
	released chan struct{}
}

// newHoldSet returns a set without holds and counts.
func newHoldSet() *holdSet { return &holdSet{holds: map[string]*hold{}, runs: map[string]int{}} }

// countRun counts a run under a name.
func (set *holdSet) countRun(name string) {
	set.mu.Lock()
	defer set.mu.Unlock()
	set.runs[name]++
}

// runCount returns the number of runs under a name.
func (set *holdSet) runCount(name string) int {
	set.mu.Lock()
	defer set.mu.Unlock()
	return set.runs[name]
}

// getOrCreate returns the hold of a name. The lock must be held.
func (set *holdSet) getOrCreate(name string) *hold {
	entry, exists := set.holds[name]
	if !exists {
		entry = &hold{released: make(chan struct{})}
		set.holds[name] = entry
	}
	return entry
}

// wait holds a request until its name is released or ctx ends.
func (set *holdSet) wait(ctx context.Context, name string) {
	set.mu.Lock()
	entry := set.getOrCreate(name)
	entry.waiting++
	set.mu.Unlock()
	select {
	case <-entry.released:
	case <-ctx.Done():
	}
}

// waitingCount returns how many requests have been held under a name so far, including released ones.
func (set *holdSet) waitingCount(name string) int {
	set.mu.Lock()
	defer set.mu.Unlock()
	return set.getOrCreate(name).waiting
}

// release releases the requests that are held under a name, and all later ones.
func (set *holdSet) release(name string) {
	set.mu.Lock()
	defer set.mu.Unlock()
	entry := set.getOrCreate(name)
	select {
	case <-entry.released:
	default:
		close(entry.released)
	}
}
