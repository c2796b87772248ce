package agent

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestBenefitsFromMove checks that a slowed run is moved only if it would end sooner elsewhere, by its
// remaining work and the cost of the move.
func TestBenefitsFromMove(t *testing.T) {
	checkpoints := &wire.Demand{Saves: true, EstimateMs: 1000}
	noCheckpoints := &wire.Demand{EstimateMs: 1000}
	tests := map[string]struct {
		run     *runState
		pace    float64
		restore time.Duration
		want    bool
	}{
		"hardly any pace, much left":              {&runState{demand: checkpoints, fromScratch: true, workDone: time.Second, progressPercent: 25}, 0.05, 600 * time.Millisecond, true},
		"half pace, much left":                    {&runState{demand: checkpoints, fromScratch: true, workDone: time.Second, progressPercent: 25}, 0.5, 600 * time.Millisecond, true},
		"half pace, little left":                  {&runState{demand: checkpoints, fromScratch: true, workDone: time.Second, progressPercent: 60}, 0.5, 600 * time.Millisecond, false},
		"half pace, little left, instant restore": {&runState{demand: checkpoints, fromScratch: true, workDone: time.Second, progressPercent: 60}, 0.5, 0, true},
		"hardly any pace, about to end":           {&runState{demand: checkpoints, fromScratch: true, workDone: time.Second, progressPercent: 97}, 0.05, 600 * time.Millisecond, false},
		"longer than estimated, much left":        {&runState{demand: checkpoints, fromScratch: true, workDone: 4 * time.Second, progressPercent: 60}, 0.5, 600 * time.Millisecond, true},
		"resumed, by its estimate":                {&runState{demand: checkpoints, progressPercent: 60}, 0.5, 600 * time.Millisecond, false},
		"no checkpoints, much work done":          {&runState{demand: noCheckpoints, fromScratch: true, workDone: 3 * time.Second, progressPercent: 75}, 0.3, 0, false},
		"no checkpoints, little work done":        {&runState{demand: noCheckpoints, fromScratch: true, workDone: 300 * time.Millisecond, progressPercent: 10}, 0.3, 0, true},
		"full pace":                               {&runState{demand: checkpoints, fromScratch: true, workDone: time.Second, progressPercent: 10}, 1, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			agent := &Agent{options: Options{RestoreTime: test.restore, CheckpointInterval: 500 * time.Millisecond}}
			if got := agent.benefitsFromMove(test.run, test.pace); got != test.want {
				t.Errorf("benefitsFromMove = %v with %v of work left and a move cost of %v, want %v", got, test.run.remainingWork(), agent.moveCost(test.run), test.want)
			}
		})
	}
}

// TestUpdateWork checks that the work of a run is counted at its speed.
func TestUpdateWork(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	tests := map[string]struct {
		run  *runState
		want time.Duration
	}{
		"not a fill run":                    {&runState{demand: &wire.Demand{}, pacePercent: 20}, 2 * time.Second},
		"fill run at full pace":             {&runState{demand: &wire.Demand{Fills: true, MilliCpu: 1000}, pacePercent: 100}, 2 * time.Second},
		"fill run at a tenth":               {&runState{demand: &wire.Demand{Fills: true, MilliCpu: 1000}, pacePercent: 10}, 200 * time.Millisecond},
		"fill run with half its processors": {&runState{demand: &wire.Demand{Fills: true, MilliCpu: 1000}, pacePercent: 100, reading: 500}, time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.run.workUpdatedAt = start
			test.run.updateWork(start.Add(2 * time.Second))
			if test.run.workDone != test.want {
				t.Errorf("workDone = %v, want %v", test.run.workDone, test.want)
			}
		})
	}
}
