package agent

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestLongestSlowed checks which slowed runs may be evicted: also those without checkpoints, which restart
// from the beginning, unless they are nearly done, but none that has been moved too often.
func TestLongestSlowed(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	tests := map[string]struct {
		slowed   time.Duration // 0 if not slowed
		percent  int32
		ran      time.Duration
		demand   *wire.Demand
		selected bool
	}{
		"not slowed":                  {0, 40, 5 * time.Second, &wire.Demand{Movable: true, Saves: true}, false},
		"slowed for a short time":     {time.Second, 40, 5 * time.Second, &wire.Demand{Movable: true, Saves: true}, false},
		"slowed for long":             {2 * time.Second, 90, 5 * time.Second, &wire.Demand{Movable: true, Saves: true}, true},
		"no checkpoints":              {2 * time.Second, 40, 5 * time.Second, &wire.Demand{Movable: true}, true},
		"no checkpoints, nearly done": {2 * time.Second, 80, 5 * time.Second, &wire.Demand{Movable: true}, false},
		"moved too often":             {2 * time.Second, 40, 5 * time.Second, &wire.Demand{Saves: true}, false},
		"just started":                {2 * time.Second, 0, 100 * time.Millisecond, &wire.Demand{Movable: true, Saves: true}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			run := &runState{task: "t", demand: test.demand, phase: phaseRunning, progressPercent: test.percent, confirmedAt: now.Add(-test.ran)}
			if test.slowed > 0 {
				run.slowedSince = now.Add(-test.slowed)
			}
			state := &workerState{runs: map[string]*runState{"t": run}}
			if got := state.longestSlowed(now, func(*runState) bool { return true }); (got == run) != test.selected {
				t.Errorf("longestSlowed = %v, want the run selected: %v", got, test.selected)
			}
		})
	}
}

// TestLosesLittleProgress checks that a run with checkpoints can be stopped at any time, and one without only
// while it has little progress to lose.
func TestLosesLittleProgress(t *testing.T) {
	tests := map[string]struct {
		saves   bool
		percent int32
		want    bool
	}{
		"checkpoints":                     {true, 90, true},
		"no checkpoints, little progress": {false, 20, true},
		"no checkpoints, half done":       {false, 50, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			run := &runState{demand: &wire.Demand{Saves: test.saves}, progressPercent: test.percent}
			if got := run.losesLittleProgress(maxRestartPercent); got != test.want {
				t.Errorf("losesLittleProgress = %v, want %v", got, test.want)
			}
		})
	}
}
