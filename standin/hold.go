package standin

import (
	"context"
	"sync"
)

// holds keeps requests in flight at the backend servers until they are let go,
// so that a test can act while they are there, and counts runs by name.
type holds struct {
	mu    sync.Mutex
	named map[string]*hold
	runs  map[string]int
}

type hold struct {
	waiting  int
	released chan struct{}
}

func newHolds() *holds { return &holds{named: map[string]*hold{}, runs: map[string]int{}} }

// run counts a run under a name.
func (kept *holds) run(name string) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	kept.runs[name]++
}

func (kept *holds) ran(name string) int {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	return kept.runs[name]
}

func (kept *holds) get(name string) *hold {
	found, known := kept.named[name]
	if !known {
		found = &hold{released: make(chan struct{})}
		kept.named[name] = found
	}
	return found
}

func (kept *holds) wait(ctx context.Context, name string) {
	kept.mu.Lock()
	held := kept.get(name)
	held.waiting++
	kept.mu.Unlock()
	select {
	case <-held.released:
	case <-ctx.Done():
	}
}

// count returns how many requests have come to be held under the name.
func (kept *holds) count(name string) int {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	return kept.get(name).waiting
}

func (kept *holds) release(name string) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	held := kept.get(name)
	select {
	case <-held.released:
	default:
		close(held.released)
	}
}
