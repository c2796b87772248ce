package agent

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/platform"
)

// TestLived: only an answer proves that a run has outlived its start; whatever time passes
// without one doesn't.
func TestLived(t *testing.T) {
	began := time.UnixMilli(1_800_000_000_000)
	tests := map[string]struct {
		sent, answered time.Duration
		want           time.Duration
	}{
		"answered while it ran":          {sent: time.Second, answered: 3 * time.Second, want: 2 * time.Second},
		"not answered since it was sent": {sent: 3 * time.Second, answered: time.Second, want: 0},
		"answered as it was sent":        {sent: time.Second, answered: time.Second, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := newWorkerState(platform.Heartbeat{}, nil, 1, began)
			state.noteAlive(began.Add(test.answered))
			state.noteAlive(began)
			if got := state.lived(&runState{sentAt: began.Add(test.sent)}); got != test.want {
				t.Errorf("lived %v", got)
			}
		})
	}
}
