package agent

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestLongestSlowed: a run that has been slowed for long is moved, also one that begins
// again from the start, unless it is nearly done or has been moved too often.
func TestLongestSlowed(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	tests := map[string]struct {
		slowed  time.Duration // 0: not slowed
		percent int32
		ran     time.Duration
		demand  *wire.Demand
		moved   bool
	}{
		"not slowed":                  {0, 40, 5 * time.Second, &wire.Demand{Movable: true, Saves: true}, false},
		"slowed for a moment":         {time.Second, 40, 5 * time.Second, &wire.Demand{Movable: true, Saves: true}, false},
		"slowed for long":             {2 * time.Second, 90, 5 * time.Second, &wire.Demand{Movable: true, Saves: true}, true},
		"saves nothing":               {2 * time.Second, 40, 5 * time.Second, &wire.Demand{Movable: true}, true},
		"saves nothing, nearly done":  {2 * time.Second, 80, 5 * time.Second, &wire.Demand{Movable: true}, false},
		"moved too often":             {2 * time.Second, 40, 5 * time.Second, &wire.Demand{Saves: true}, false},
		"has just come, slowed by it": {2 * time.Second, 0, 100 * time.Millisecond, &wire.Demand{Movable: true, Saves: true}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			run := &runState{task: "t", demand: test.demand, phase: phaseRunning, progressPercent: test.percent, confirmedAt: now.Add(-test.ran)}
			if test.slowed > 0 {
				run.slowedSince = now.Add(-test.slowed)
			}
			state := &workerState{runs: map[string]*runState{"t": run}}
			if got := state.longestSlowed(now); (got == run) != test.moved {
				t.Errorf("chosen: %v", got)
			}
		})
	}
}

// TestLosesLittleProgress: what saves its progress loses little at any time, what does not only
// at its beginning.
func TestLosesLittleProgress(t *testing.T) {
	tests := map[string]struct {
		saves   bool
		percent int32
		little  bool
	}{
		"saves":                       {true, 90, true},
		"saves nothing, has begun":    {false, 20, true},
		"saves nothing, half is done": {false, 50, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			run := &runState{demand: &wire.Demand{Saves: test.saves}, progressPercent: test.percent}
			if got := run.losesLittleProgress(maxRestartPercent); got != test.little {
				t.Errorf("got %v", got)
			}
		})
	}
}
