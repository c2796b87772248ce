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

// simulatedWorker makes readings of a worker on which one image disturbs and one does not.
type simulatedWorker struct {
	random *rand.Rand
}

// trueWeights is the headroom that a core of each image takes.
var trueWeights = map[string]float64{"loud": 0.35, "calm": 0}

const (
	// baseHeadroom is what the serving task has by itself.
	baseHeadroom    = 2.5
	servingTargetMs = 18.0
)

// drawTailMs returns what a reading shows of the serving task beside filling ones.
func (made *simulatedWorker) drawTailMs(fills []interference.FillTask) float64 {
	headroom := baseHeadroom + 0.3*(made.random.Float64()-0.5)
	for _, fill := range fills {
		headroom -= trueWeights[fill.Image] * fill.UsedCores
	}
	return servingTargetMs / max(headroom, 0.05)
}

// newTrainedModel returns a model that has read the world 200 times.
func newTrainedModel(seed uint64) *interference.Model {
	made := &simulatedWorker{random: rand.New(rand.NewPCG(seed, 1))}
	model := interference.New(4 * time.Second)
	for reading := range 200 {
		var fills []interference.FillTask
		for _, image := range []string{"loud", "calm"} {
			if made.random.IntN(2) == 0 {
				fills = append(fills, interference.FillTask{Task: image, Image: image, Cores: 4, UsedCores: 4})
			}
		}
		serving := interference.ServingTask{Task: "s", Image: "s", TailMs: made.drawTailMs(fills), TargetMs: servingTargetMs}
		model.Observe([]interference.ServingTask{serving}, fills, startTime.Add(time.Duration(reading)*500*time.Millisecond))
	}
	return model
}

// TestWeightsConverge: how much each image disturbs is learned from noisy readings.
func TestWeightsConverge(t *testing.T) {
	for seed := range uint64(20) {
		estimates := newTrainedModel(seed).LocalEstimates()
		loud := estimates[interference.Pair{Serving: "s", Fill: "loud"}].Weight
		calm := estimates[interference.Pair{Serving: "s", Fill: "calm"}].Weight
		if math.Abs(loud-0.35) > 0.05 || calm > 0.06 {
			t.Errorf("seed %d: loud %.3f, calm %.3f", seed, loud, calm)
		}
	}
}

// TestTolerance: only what disturbs is bounded, and only where something serves.
func TestTolerance(t *testing.T) {
	model := newTrainedModel(1)
	servings := []interference.ServingTask{{Task: "s", Image: "s", TailMs: 8, TargetMs: 18}}
	loud := model.Tolerance(servings, nil, "loud")
	if loud > 6 {
		t.Errorf("%.1f cores of what disturbs are tolerated", loud)
	}
	if calm := model.Tolerance(servings, nil, "calm"); !math.IsInf(calm, 1) {
		t.Errorf("%.1f cores of what does not disturb are tolerated", calm)
	}
	if alone := model.Tolerance(nil, nil, "loud"); !math.IsInf(alone, 1) {
		t.Errorf("%.1f cores are tolerated where nothing serves", alone)
	}
}

// TestPaces: what disturbs goes only as fast as the serving
// task bears, also while its target is kept; what does not disturb is held back
// only once a target has been missed for nearly too long.
func TestPaces(t *testing.T) {
	steady := func(headroom float64, readings int) []float64 {
		return slices.Repeat([]float64{headroom}, readings)
	}
	tests := map[string]struct {
		image string
		// levels is the headroom of the serving task by itself, one for each
		// half second.
		levels      []float64
		least, most float64
	}{
		"disturbs, little load":          {"loud", steady(3.4, 8), 0.9, 1},
		"disturbs, much load":            {"loud", steady(1.8, 8), 0.05, 0.6},
		"disturbs, over its target":      {"loud", steady(0.9, 8), 0.05, 0.06},
		"does not disturb, over briefly": {"calm", append(steady(1.8, 4), 0.8, 0.8), 1, 1},
		"does not disturb, over long":    {"calm", append(steady(1.8, 2), steady(0.8, 8)...), 0, 0.06},
		"does not disturb, below again":  {"calm", append(steady(0.8, 8), 1.8, 1.8), 0.9, 1},
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
			if pace < test.least || pace > test.most {
				t.Errorf("pace %.2f", pace)
			}
		})
	}
}

// TestEvictionCandidate: only what must be slowed much and goes on elsewhere is moved.
func TestEvictionCandidate(t *testing.T) {
	servings := []interference.ServingTask{{Task: "s", Image: "s", TailMs: 14, TargetMs: servingTargetMs}}
	tests := map[string]struct {
		fills []interference.FillTask
		want  string
	}{
		"disturbs and is movable": {[]interference.FillTask{{Task: "calm", Image: "calm", Cores: 4, Movable: true}, {Task: "loud", Image: "loud", Cores: 4, Movable: true}}, "loud"},
		"does not disturb":        {[]interference.FillTask{{Task: "calm", Image: "calm", Cores: 4, Movable: true}}, ""},
		"is not movable":          {[]interference.FillTask{{Task: "loud", Image: "loud", Cores: 4}}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			model := newTrainedModel(3)
			for reading := range 6 {
				model.Observe(servings, nil, startTime.Add(time.Hour+time.Duration(reading)*500*time.Millisecond))
			}
			if got, _ := model.EvictionCandidate(servings, test.fills, model.Paces(servings, test.fills)); got != test.want {
				t.Errorf("got %q", got)
			}
		})
	}
}

// TestRemoteEstimates: what others have learned counts, and isn't told as one's own.
func TestRemoteEstimates(t *testing.T) {
	servings := []interference.ServingTask{{Task: "s", Image: "s", TailMs: 10, TargetMs: servingTargetMs}}
	model := interference.New(4 * time.Second)
	model.MergeRemoteEstimate(interference.Pair{Serving: "s", Fill: "loud"}, interference.Estimate{Weight: 0.6, Readings: 50}, startTime)
	model.MergeRemoteEstimate(interference.Pair{Serving: "s", Fill: "calm"}, interference.Estimate{Weight: 0.01, Readings: 50}, startTime)
	if loud := model.Tolerance(servings, nil, "loud"); loud > 2.5 {
		t.Errorf("%.1f cores of what disturbs others are tolerated", loud)
	}
	if calm := model.Tolerance(servings, nil, "calm"); !math.IsInf(calm, 1) {
		t.Errorf("%.1f cores of what does not disturb others are tolerated", calm)
	}
	for pair, known := range model.LocalEstimates() {
		if known.Readings != 0 {
			t.Errorf("%v rests on %d readings of its own", pair, known.Readings)
		}
	}
}

// TestFirstReadingKeepsRemoteEstimates: what others have learned of a pair still counts
// once its serving image is read here. The case that forced it: the first reading was
// taken for one after ages, in which anything might have changed.
func TestFirstReadingKeepsRemoteEstimates(t *testing.T) {
	model := interference.New(4 * time.Second)
	for range 20 {
		model.MergeRemoteEstimate(interference.Pair{Serving: "s", Fill: "loud"}, interference.Estimate{Weight: 0.6, Readings: 50}, startTime)
	}
	servings := []interference.ServingTask{{Task: "s", Image: "s", TailMs: 10, TargetMs: servingTargetMs}}
	for reading, used := range []float64{4, 1, 4, 1} {
		// The load takes the place of what the fill leaves.
		fills := []interference.FillTask{{Task: "f", Image: "loud", Cores: 4, UsedCores: used}}
		model.Observe(servings, fills, startTime.Add(time.Duration(reading)*500*time.Millisecond))
	}
	if tolerated := model.Tolerance(servings, nil, "loud"); tolerated > 3 {
		t.Errorf("four readings made %.1f cores tolerated of what disturbs others", tolerated)
	}
}

// TestForgetsStalePairs: pairs that come no more are dropped, so that the model
// does not grow for ever; what is heard of stays.
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
		model.MergeRemoteEstimate(interference.Pair{Serving: "other", Fill: "told"}, interference.Estimate{Weight: 0.1, Readings: 5}, startTime.Add(at))
	}
	if got := model.FillImages(); !slices.Equal(got, []string{"often", "told"}) {
		t.Errorf("it knows %v", got)
	}
}
