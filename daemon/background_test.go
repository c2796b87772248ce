package daemon

import (
	"context"
	"testing"
)

// TestStopReturnsWhenContextEnds: a service that does not end keeps nobody waiting for longer than the
// planned stop may take. The case that forced it is a process that was still stopping when
// its platform's grace was over.
func TestStopReturnsWhenContextEnds(t *testing.T) {
	release := make(chan struct{})
	loop := &backgroundLoop{}
	loop.start(func(context.Context) { <-release })
	over, cancel := context.WithCancel(context.Background())
	cancel()
	if err := loop.stop(over); err == nil {
		t.Error("a service that goes on was called ended")
	}
	close(release)
	if err := loop.stop(context.Background()); err != nil {
		t.Errorf("a service that has ended: %v", err)
	}
}
