package interference_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ambertiller.example/ambertiller/interference"
)

var now = time.UnixMilli(1_800_000_000_000)

// world makes readings of a worker on which one image disturbs and one does not.
type world struct {
	draws *rand.Rand
}

// truth is the headroom that a core of each image takes.
var truth = map[string]float64{"loud": 0.35, "calm": 0}

const (
	// quietHeadroom is what the serving task has by itself.
	quietHeadroom = 2.5
	servingTarget = 18.0
)

// tail returns what a reading shows of the serving task beside filling ones.
func (made *world) tail(fills []interference.Fill) float64 {
	headroom := quietHeadroom + 0.3*(made.draws.Float64()-0.5)
	for _, fill := range fills {
		headroom -= truth[fill.Image] * fill.Used
	}
	return servingTarget / max(headroom, 0.05)
}

// learned returns a model that has read the world 200 times.
func learned(seed uint64) *interference.Model {
	made := &world{draws: rand.New(rand.NewPCG(seed, 1))}
	model := interference.New(4 * time.Second)
	for reading := range 200 {
		var fills []interference.Fill
		for _, image := range []string{"loud", "calm"} {
			if made.draws.IntN(2) == 0 {
				fills = append(fills, interference.Fill{Task: image, Image: image, Cores: 4, Used: 4})
			}
		}
		serving := interference.Serving{Task: "s", Image: "s", Tail: made.tail(fills), Target: servingTarget}
		model.Observe([]interference.Serving{serving}, fills, now.Add(time.Duration(reading)*500*time.Millisecond))
	}
	return model
}

// TestLearnsWhatDisturbs: how much each image disturbs is learned from noisy readings.
func TestLearnsWhatDisturbs(t *testing.T) {
	for seed := range uint64(20) {
		estimates := learned(seed).Estimates()
		loud := estimates[interference.Pair{Serving: "s", Fill: "loud"}].Weight
		calm := estimates[interference.Pair{Serving: "s", Fill: "calm"}].Weight
		if math.Abs(loud-0.35) > 0.05 || calm > 0.06 {
			t.Errorf("seed %d: loud %.3f, calm %.3f", seed, loud, calm)
		}
	}
}

// TestTolerance: only what disturbs is bounded, and only where something serves.
func TestTolerance(t *testing.T) {
	model := learned(1)
	servings := []interference.Serving{{Task: "s", Image: "s", Tail: 8, Target: 18}}
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

// TestSlowedBeforeATargetIsMissed: what disturbs goes only as fast as the serving
// task bears, also while its target is kept; what does not disturb is held back
// only once a target has been missed for nearly too long.
func TestSlowedBeforeATargetIsMissed(t *testing.T) {
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
			model := learned(2)
			fills := []interference.Fill{{Task: "f", Image: test.image, Cores: 4}}
			pace := 1.0
			for index, level := range test.levels {
				fills[0].Used = 4 * pace
				headroom := max(level-truth[test.image]*fills[0].Used, 0.05)
				servings := []interference.Serving{{Task: "new", Image: "s", Tail: servingTarget / headroom, Target: servingTarget}}
				model.Observe(servings, fills, now.Add(time.Hour+time.Duration(index)*500*time.Millisecond))
				pace = model.Paces(servings, fills)["f"]
			}
			if pace < test.least || pace > test.most {
				t.Errorf("pace %.2f", pace)
			}
		})
	}
}

// TestWorst: only what must be slowed much and goes on elsewhere is moved.
func TestWorst(t *testing.T) {
	servings := []interference.Serving{{Task: "s", Image: "s", Tail: 14, Target: servingTarget}}
	tests := map[string]struct {
		fills []interference.Fill
		want  string
	}{
		"disturbs and is movable": {[]interference.Fill{{Task: "calm", Image: "calm", Cores: 4, Movable: true}, {Task: "loud", Image: "loud", Cores: 4, Movable: true}}, "loud"},
		"does not disturb":        {[]interference.Fill{{Task: "calm", Image: "calm", Cores: 4, Movable: true}}, ""},
		"is not movable":          {[]interference.Fill{{Task: "loud", Image: "loud", Cores: 4}}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			model := learned(3)
			for reading := range 6 {
				model.Observe(servings, nil, now.Add(time.Hour+time.Duration(reading)*500*time.Millisecond))
			}
			if got, _ := model.Worst(servings, test.fills, model.Paces(servings, test.fills)); got != test.want {
				t.Errorf("got %q", got)
			}
		})
	}
}

// TestSharedKnowledge: what others have learned counts, and isn't told as one's own.
func TestSharedKnowledge(t *testing.T) {
	servings := []interference.Serving{{Task: "s", Image: "s", Tail: 10, Target: servingTarget}}
	model := interference.New(4 * time.Second)
	model.Share(interference.Pair{Serving: "s", Fill: "loud"}, interference.Estimate{Weight: 0.6, Readings: 50}, now)
	model.Share(interference.Pair{Serving: "s", Fill: "calm"}, interference.Estimate{Weight: 0.01, Readings: 50}, now)
	if loud := model.Tolerance(servings, nil, "loud"); loud > 2.5 {
		t.Errorf("%.1f cores of what disturbs others are tolerated", loud)
	}
	if calm := model.Tolerance(servings, nil, "calm"); !math.IsInf(calm, 1) {
		t.Errorf("%.1f cores of what does not disturb others are tolerated", calm)
	}
	for pair, known := range model.Estimates() {
		if known.Readings != 0 {
			t.Errorf("%v rests on %d readings of its own", pair, known.Readings)
		}
	}
}

// TestFirstReadingDoesNotUnsettle: what others have learned of a pair still counts
// once its serving image is read here. The case that forced it: the first reading was
// taken for one after ages, in which anything might have changed.
func TestFirstReadingDoesNotUnsettle(t *testing.T) {
	model := interference.New(4 * time.Second)
	for range 20 {
		model.Share(interference.Pair{Serving: "s", Fill: "loud"}, interference.Estimate{Weight: 0.6, Readings: 50}, now)
	}
	servings := []interference.Serving{{Task: "s", Image: "s", Tail: 10, Target: servingTarget}}
	for reading, used := range []float64{4, 1, 4, 1} {
		// The load takes the place of what the fill leaves.
		fills := []interference.Fill{{Task: "f", Image: "loud", Cores: 4, Used: used}}
		model.Observe(servings, fills, now.Add(time.Duration(reading)*500*time.Millisecond))
	}
	if tolerated := model.Tolerance(servings, nil, "loud"); tolerated > 3 {
		t.Errorf("four readings made %.1f cores tolerated of what disturbs others", tolerated)
	}
}

// TestForgetsWhatIsNotHeardOf: pairs that come no more are dropped, so that the model
// does not grow for ever; what is heard of stays.
func TestForgetsWhatIsNotHeardOf(t *testing.T) {
	model := interference.New(4 * time.Second)
	servings := []interference.Serving{{Task: "s", Image: "s", Tail: 10, Target: servingTarget}}
	read := func(at time.Duration, fills ...interference.Fill) { model.Observe(servings, fills, now.Add(at)) }
	read(0, interference.Fill{Task: "once", Image: "once", Cores: 2, Used: 2})
	for hour := range 4 {
		at := time.Duration(hour) * time.Hour
		read(at, interference.Fill{Task: "often", Image: "often", Cores: 2, Used: 2})
		model.Share(interference.Pair{Serving: "other", Fill: "told"}, interference.Estimate{Weight: 0.1, Readings: 5}, now.Add(at))
	}
	if got := model.Images(); !slices.Equal(got, []string{"often", "told"}) {
		t.Errorf("it knows %v", got)
	}
}
