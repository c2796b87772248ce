package agent

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestBenefitsFromMove: a run that is slowed is moved where it would end sooner elsewhere, by
// what it has left and by what it costs to get there again.
func TestBenefitsFromMove(t *testing.T) {
	saves := &wire.Demand{Saves: true, EstimateMs: 1000}
	savesNothing := &wire.Demand{EstimateMs: 1000}
	tests := map[string]struct {
		run     *runState
		pace    float64
		restore time.Duration
		want    bool
	}{
		"hardly works, much left":          {&runState{demand: saves, fromScratch: true, workDone: time.Second, progressPercent: 25}, 0.05, 600 * time.Millisecond, true},
		"at half its pace, much left":      {&runState{demand: saves, fromScratch: true, workDone: time.Second, progressPercent: 25}, 0.5, 600 * time.Millisecond, true},
		"at half its pace, a little left":  {&runState{demand: saves, fromScratch: true, workDone: time.Second, progressPercent: 60}, 0.5, 600 * time.Millisecond, false},
		"the same, restored at once":       {&runState{demand: saves, fromScratch: true, workDone: time.Second, progressPercent: 60}, 0.5, 0, true},
		"hardly works, about to end":       {&runState{demand: saves, fromScratch: true, workDone: time.Second, progressPercent: 97}, 0.05, 600 * time.Millisecond, false},
		"longer than its guess, much left": {&runState{demand: saves, fromScratch: true, workDone: 4 * time.Second, progressPercent: 60}, 0.5, 600 * time.Millisecond, true},
		"restarted, by its guess":          {&runState{demand: saves, progressPercent: 60}, 0.5, 600 * time.Millisecond, false},
		"saves nothing, has done much":     {&runState{demand: savesNothing, fromScratch: true, workDone: 3 * time.Second, progressPercent: 75}, 0.3, 0, false},
		"saves nothing, has done little":   {&runState{demand: savesNothing, fromScratch: true, workDone: 300 * time.Millisecond, progressPercent: 10}, 0.3, 0, true},
		"goes at full pace":                {&runState{demand: saves, fromScratch: true, workDone: time.Second, progressPercent: 10}, 1, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			agent := &Agent{options: Options{RestoreTime: test.restore, CheckpointInterval: 500 * time.Millisecond}}
			if got := agent.benefitsFromMove(test.run, test.pace); got != test.want {
				t.Errorf("got %v: %v left, a move costs %v", got, test.run.remainingWork(), agent.moveCost(test.run))
			}
		})
	}
}

// TestUpdateWork: what a run has worked is counted at its speed.
func TestUpdateWork(t *testing.T) {
	began := time.UnixMilli(1_800_000_000_000)
	tests := map[string]struct {
		run  *runState
		want time.Duration
	}{
		"does not fill":               {&runState{demand: &wire.Demand{}, pacePercent: 20}, 2 * time.Second},
		"fills at full pace":          {&runState{demand: &wire.Demand{Fills: true, MilliCpu: 1000}, pacePercent: 100}, 2 * time.Second},
		"fills at a tenth":            {&runState{demand: &wire.Demand{Fills: true, MilliCpu: 1000}, pacePercent: 10}, 200 * time.Millisecond},
		"is left half the processors": {&runState{demand: &wire.Demand{Fills: true, MilliCpu: 1000}, pacePercent: 100, reading: 500}, time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.run.workUpdatedAt = began
			test.run.updateWork(began.Add(2 * time.Second))
			if test.run.workDone != test.want {
				t.Errorf("worked %v", test.run.workDone)
			}
		})
	}
}
