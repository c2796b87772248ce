package standin

import (
	"context"
	"sync"
)

// holdSet keeps requests in flight at the backend servers until they are let go,
// so that a test can act while they are there, and counts runs by name.
type holdSet struct {
	mu    sync.Mutex
	holds map[string]*hold
	runs  map[string]int
}

type hold struct {
	waiting  int
	released chan struct{}
}

func newHoldSet() *holdSet { return &holdSet{holds: map[string]*hold{}, runs: map[string]int{}} }

// countRun counts a run under a name.
func (kept *holdSet) countRun(name string) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	kept.runs[name]++
}

func (kept *holdSet) runCount(name string) int {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	return kept.runs[name]
}

func (kept *holdSet) getOrCreate(name string) *hold {
	found, known := kept.holds[name]
	if !known {
		found = &hold{released: make(chan struct{})}
		kept.holds[name] = found
	}
	return found
}

func (kept *holdSet) wait(ctx context.Context, name string) {
	kept.mu.Lock()
	held := kept.getOrCreate(name)
	held.waiting++
	kept.mu.Unlock()
	select {
	case <-held.released:
	case <-ctx.Done():
	}
}

// waitingCount returns how many requests have come to be held under the name.
func (kept *holdSet) waitingCount(name string) int {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	return kept.getOrCreate(name).waiting
}

func (kept *holdSet) release(name string) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	held := kept.getOrCreate(name)
	select {
	case <-held.released:
	default:
		close(held.released)
	}
}
