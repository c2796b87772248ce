package agent

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/wire"
)

// TestGainsByMove: a run that is slowed is moved where it would end sooner elsewhere, by
// what it has left and by what it costs to get there again.
func TestGainsByMove(t *testing.T) {
	saves := &wire.Demand{Saves: true, EstimateMs: 1000}
	savesNothing := &wire.Demand{EstimateMs: 1000}
	tests := map[string]struct {
		run     *runState
		pace    float64
		restore time.Duration
		want    bool
	}{
		"hardly works, much left":          {&runState{demand: saves, whole: true, worked: time.Second, percent: 25}, 0.05, 600 * time.Millisecond, true},
		"at half its pace, much left":      {&runState{demand: saves, whole: true, worked: time.Second, percent: 25}, 0.5, 600 * time.Millisecond, true},
		"at half its pace, a little left":  {&runState{demand: saves, whole: true, worked: time.Second, percent: 60}, 0.5, 600 * time.Millisecond, false},
		"the same, restored at once":       {&runState{demand: saves, whole: true, worked: time.Second, percent: 60}, 0.5, 0, true},
		"hardly works, about to end":       {&runState{demand: saves, whole: true, worked: time.Second, percent: 97}, 0.05, 600 * time.Millisecond, false},
		"longer than its guess, much left": {&runState{demand: saves, whole: true, worked: 4 * time.Second, percent: 60}, 0.5, 600 * time.Millisecond, true},
		"restarted, by its guess":          {&runState{demand: saves, percent: 60}, 0.5, 600 * time.Millisecond, false},
		"saves nothing, has done much":     {&runState{demand: savesNothing, whole: true, worked: 3 * time.Second, percent: 75}, 0.3, 0, false},
		"saves nothing, has done little":   {&runState{demand: savesNothing, whole: true, worked: 300 * time.Millisecond, percent: 10}, 0.3, 0, true},
		"goes at full pace":                {&runState{demand: saves, whole: true, worked: time.Second, percent: 10}, 1, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			agent := &Agent{options: Options{RestoreTakes: test.restore, SaveEvery: 500 * time.Millisecond}}
			if got := agent.gainsByMove(test.run, test.pace); got != test.want {
				t.Errorf("got %v: %v left, a move costs %v", got, test.run.left(), agent.moveCosts(test.run))
			}
		})
	}
}

// TestWorked: what a run has worked is counted at its speed.
func TestWorked(t *testing.T) {
	began := time.UnixMilli(1_800_000_000_000)
	tests := map[string]struct {
		run  *runState
		want time.Duration
	}{
		"does not fill":               {&runState{demand: &wire.Demand{}, pace: 20}, 2 * time.Second},
		"fills at full pace":          {&runState{demand: &wire.Demand{Fills: true, MilliCpu: 1000}, pace: 100}, 2 * time.Second},
		"fills at a tenth":            {&runState{demand: &wire.Demand{Fills: true, MilliCpu: 1000}, pace: 10}, 200 * time.Millisecond},
		"is left half the processors": {&runState{demand: &wire.Demand{Fills: true, MilliCpu: 1000}, pace: 100, figure: 500}, time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.run.workedAt = began
			test.run.work(began.Add(2 * time.Second))
			if test.run.worked != test.want {
				t.Errorf("worked %v", test.run.worked)
			}
		})
	}
}
