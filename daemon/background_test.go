package daemon

import (
	"context"
	"testing"
)

// TestStopReturnsWhenContextEnds checks that stop doesn't wait for a function that ignores its context.
// Otherwise the process is still stopping when the platform's grace period is over.
func TestStopReturnsWhenContextEnds(t *testing.T) {
	release := make(chan struct{})
	loop := &backgroundLoop{}
	loop.start(func(context.Context) { <-release })
	endedCtx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := loop.stop(endedCtx); err == nil {
		t.Error("stop returned no error for a function that is still running")
	}
	close(release)
	if err := loop.stop(context.Background()); err != nil {
		t.Errorf("stop of a function that has returned: %v", err)
	}
}
