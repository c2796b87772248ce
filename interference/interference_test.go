package interference_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ambertiller.example/ambertiller/interference"
)

var startTime = time.UnixMilli(1_800_000_000_000)

// simulatedWorker generates readings of a worker with one serving task. Fill image "loud" interferes with it,
// fill image "calm" doesn't.
type simulatedWorker struct {
	random *rand.Rand
}

// trueWeights is the headroom that each core of a fill image takes.
var trueWeights = map[string]float64{"loud": 0.35, "calm": 0}

const (
	// baseHeadroom is the mean headroom of the serving task without fill tasks.
	baseHeadroom    = 2.5
	servingTargetMs = 18.0
)

// drawTailMs returns a noisy reading of the tail latency beside fill tasks.
func (worker *simulatedWorker) drawTailMs(fills []interference.FillTask) float64 {
	headroom := baseHeadroom + 0.3*(worker.random.Float64()-0.5)
	for _, fill := range fills {
		headroom -= trueWeights[fill.Image] * fill.UsedCores
	}
	return servingTargetMs / max(headroom, 0.05)
}

// newTrainedModel returns a model that has observed 200 readings of a simulatedWorker.
func newTrainedModel(seed uint64) *interference.Model {
	worker := &simulatedWorker{random: rand.New(rand.NewPCG(seed, 1))}
	model := interference.New(4 * time.Second)
	for reading := range 200 {
		var fills []interference.FillTask
		for _, image := range []string{"loud", "calm"} {
			if worker.random.IntN(2) == 0 {
				fills = append(fills, interference.FillTask{Task: image, Image: image, Cores: 4, UsedCores: 4})
			}
		}
		serving := interference.ServingTask{Task: "s", Image: "s", TailMs: worker.drawTailMs(fills), TargetMs: servingTargetMs}
		model.Observe([]interference.ServingTask{serving}, fills, startTime.Add(time.Duration(reading)*500*time.Millisecond))
	}
	return model
}

// TestWeightsConverge checks that the weights are learned from noisy readings.
func TestWeightsConverge(t *testing.T) {
	for seed := range uint64(20) {
		estimates := newTrainedModel(seed).LocalEstimates()
		loud := estimates[interference.Pair{Serving: "s", Fill: "loud"}].Weight
		calm := estimates[interference.Pair{Serving: "s", Fill: "calm"}].Weight
		if math.Abs(loud-0.35) > 0.05 || calm > 0.06 {
			t.Errorf("seed %d: weight of loud %.3f, want 0.35; weight of calm %.3f, want 0", seed, loud, calm)
		}
	}
}

// TestTolerance checks that the tolerance is limited only for images that interfere, and only beside serving
// tasks.
func TestTolerance(t *testing.T) {
	model := newTrainedModel(1)
	servings := []interference.ServingTask{{Task: "s", Image: "s", TailMs: 8, TargetMs: 18}}
	loud := model.Tolerance(servings, nil, "loud")
	if loud > 6 {
		t.Errorf("%.1f cores of an image that interferes are tolerated, want at most 6", loud)
	}
	if calm := model.Tolerance(servings, nil, "calm"); !math.IsInf(calm, 1) {
		t.Errorf("only %.1f cores of an image that does not interfere are tolerated, want any number", calm)
	}
	if withoutServing := model.Tolerance(nil, nil, "loud"); !math.IsInf(withoutServing, 1) {
		t.Errorf("only %.1f cores are tolerated without serving tasks, want any number", withoutServing)
	}
}

// TestPaces checks that a fill task that interferes is throttled to what the serving task tolerates before
// the target is missed. A fill task that doesn't interfere is throttled only once a target has been missed
// for almost too long.
func TestPaces(t *testing.T) {
	steady := func(headroom float64, readings int) []float64 {
		return slices.Repeat([]float64{headroom}, readings)
	}
	tests := map[string]struct {
		image string
		// levels is the headroom of the serving task without fill tasks, for each half second.
		levels           []float64
		minPace, maxPace float64
	}{
		"interferes, low load":                       {"loud", steady(3.4, 8), 0.9, 1},
		"interferes, high load":                      {"loud", steady(1.8, 8), 0.05, 0.6},
		"interferes, target missed":                  {"loud", steady(0.9, 8), 0.05, 0.06},
		"does not interfere, target missed briefly":  {"calm", append(steady(1.8, 4), 0.8, 0.8), 1, 1},
		"does not interfere, target missed for long": {"calm", append(steady(1.8, 2), steady(0.8, 8)...), 0, 0.06},
		"does not interfere, target met again":       {"calm", append(steady(0.8, 8), 1.8, 1.8), 0.9, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			model := newTrainedModel(2)
			fills := []interference.FillTask{{Task: "f", Image: test.image, Cores: 4}}
			pace := 1.0
			for index, level := range test.levels {
				fills[0].UsedCores = 4 * pace
				headroom := max(level-trueWeights[test.image]*fills[0].UsedCores, 0.05)
				servings := []interference.ServingTask{{Task: "new", Image: "s", TailMs: servingTargetMs / headroom, TargetMs: servingTargetMs}}
				model.Observe(servings, fills, startTime.Add(time.Hour+time.Duration(index)*500*time.Millisecond))
				pace = model.Paces(servings, fills)["f"]
			}
			if pace < test.minPace || pace > test.maxPace {
				t.Errorf("unexpected pace %.2f", pace)
			}
		})
	}
}

// TestEvictionCandidate checks that only a movable task that has to be throttled far is evicted.
func TestEvictionCandidate(t *testing.T) {
	servings := []interference.ServingTask{{Task: "s", Image: "s", TailMs: 14, TargetMs: servingTargetMs}}
	tests := map[string]struct {
		fills []interference.FillTask
		want  string
	}{
		"interferes and is movable": {[]interference.FillTask{{Task: "calm", Image: "calm", Cores: 4, Movable: true}, {Task: "loud", Image: "loud", Cores: 4, Movable: true}}, "loud"},
		"does not interfere":        {[]interference.FillTask{{Task: "calm", Image: "calm", Cores: 4, Movable: true}}, ""},
		"is not movable":            {[]interference.FillTask{{Task: "loud", Image: "loud", Cores: 4}}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			model := newTrainedModel(3)
			for reading := range 6 {
				model.Observe(servings, nil, startTime.Add(time.Hour+time.Duration(reading)*500*time.Millisecond))
			}
			if got, _ := model.EvictionCandidate(servings, test.fills, model.Paces(servings, test.fills)); got != test.want {
				t.Errorf("unexpected candidate %q", got)
			}
		})
	}
}

// TestRemoteEstimates checks that estimates of other workers affect decisions, but are not reported as local
// ones.
func TestRemoteEstimates(t *testing.T) {
	servings := []interference.ServingTask{{Task: "s", Image: "s", TailMs: 10, TargetMs: servingTargetMs}}
	model := interference.New(4 * time.Second)
	model.MergeRemoteEstimate(interference.Pair{Serving: "s", Fill: "loud"}, interference.Estimate{Weight: 0.6, Readings: 50}, startTime)
	model.MergeRemoteEstimate(interference.Pair{Serving: "s", Fill: "calm"}, interference.Estimate{Weight: 0.01, Readings: 50}, startTime)
	if loud := model.Tolerance(servings, nil, "loud"); loud > 2.5 {
		t.Errorf("%.1f cores of an image that interferes on other workers are tolerated, want at most 2.5", loud)
	}
	if calm := model.Tolerance(servings, nil, "calm"); !math.IsInf(calm, 1) {
		t.Errorf("only %.1f cores of an image that does not interfere on other workers are tolerated, want any number", calm)
	}
	for pair, estimate := range model.LocalEstimates() {
		if estimate.Readings != 0 {
			t.Errorf("%v: %d local readings, want 0", pair, estimate.Readings)
		}
	}
}

// TestFirstReadingKeepsRemoteEstimates checks that estimates of other workers still count after the first
// local readings of a serving image. It guards against the first reading being treated as if a long time had
// elapsed since the one before, which increased the variance of the weights so much that a few readings
// replaced them.
func TestFirstReadingKeepsRemoteEstimates(t *testing.T) {
	model := interference.New(4 * time.Second)
	for range 20 {
		model.MergeRemoteEstimate(interference.Pair{Serving: "s", Fill: "loud"}, interference.Estimate{Weight: 0.6, Readings: 50}, startTime)
	}
	servings := []interference.ServingTask{{Task: "s", Image: "s", TailMs: 10, TargetMs: servingTargetMs}}
	for reading, used := range []float64{4, 1, 4, 1} {
		// The headroom is constant, as if load increased whenever the fill task uses less.
		fills := []interference.FillTask{{Task: "f", Image: "loud", Cores: 4, UsedCores: used}}
		model.Observe(servings, fills, startTime.Add(time.Duration(reading)*500*time.Millisecond))
	}
	if tolerated := model.Tolerance(servings, nil, "loud"); tolerated > 3 {
		t.Errorf("after four readings, %.1f cores of an image that interferes on other workers are tolerated, want at most 3", tolerated)
	}
}

// TestForgetsStalePairs checks that pairs that no longer occur are removed, so that the model doesn't grow
// forever, and that pairs that occur in readings or in remote estimates remain.
func TestForgetsStalePairs(t *testing.T) {
	model := interference.New(4 * time.Second)
	servings := []interference.ServingTask{{Task: "s", Image: "s", TailMs: 10, TargetMs: servingTargetMs}}
	read := func(at time.Duration, fills ...interference.FillTask) {
		model.Observe(servings, fills, startTime.Add(at))
	}
	read(0, interference.FillTask{Task: "once", Image: "once", Cores: 2, UsedCores: 2})
	for hour := range 4 {
		at := time.Duration(hour) * time.Hour
		read(at, interference.FillTask{Task: "often", Image: "often", Cores: 2, UsedCores: 2})
		model.MergeRemoteEstimate(interference.Pair{Serving: "other", Fill: "remote"}, interference.Estimate{Weight: 0.1, Readings: 5}, startTime.Add(at))
	}
	if got := model.FillImages(); !slices.Equal(got, []string{"often", "remote"}) {
		t.Errorf("model knows the images %v, want [often remote]", got)
	}
}
