package interference_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ambertiller.example/ambertiller/interference"
)

const (
	tick               = 50 * time.Millisecond
	readingTicks       = 8  // ticks from one reading to the next
	readingWindowTicks = 10 // ticks that a reading covers
	baseTailMs         = 10.0
	targetTailMs       = 45.0
	fillCores          = 2.0
	maxFills           = 5
	// The load oscillates around meanLoad by loadSwing in each direction.
	meanLoad   = 0.43
	loadSwing  = 0.21
	loadPeriod = 14 * time.Second
	// queueStep is the fraction by which a queue approaches its new utilization in a tick.
	queueStep = 0.2
	// maxPaceRaise is the most by which a pace is raised from one reading to the next.
	maxPaceRaise = 0.3
)

// queue simulates a serving task whose tail latency depends on its utilization like that of a queue.
type queue struct {
	image       string
	phase       float64 // of the load, in radians
	utilization float64
	tailsMs     []float64 // one for each tick
}

// advance simulates a tick in which load and fill tasks together demand a utilization.
func (queue *queue) advance(demanded float64) {
	// A queue takes a while to build up and to drain.
	queue.utilization += (min(demanded, 0.985) - queue.utilization) * queueStep
	queue.tailsMs = append(queue.tailsMs, baseTailMs/(1-queue.utilization))
}

// drawReading returns the tail latency that a reading shows, with an error of up to 3% and rounded to whole
// milliseconds.
func (queue *queue) drawReading(random *rand.Rand) float64 {
	window := queue.tailsMs[max(0, len(queue.tailsMs)-readingWindowTicks):]
	sum := 0.0
	for _, tail := range window {
		sum += tail
	}
	return math.Round(sum / float64(len(window)) * (0.97 + 0.06*random.Float64()))
}

// totals counts how often serving tasks missed their targets, and how fast fill tasks ran.
type totals struct {
	misses, readings   int
	paceSum, fillTicks float64 // the mean pace is paceSum/fillTicks
}

// simulation is a worker with serving tasks of two images and fill tasks of five images. Fill image "loud"
// interferes with serving image "counter", and "heavy" with "tank".
type simulation struct {
	random   *rand.Rand
	model    *interference.Model
	queues   []*queue
	servings []interference.ServingTask // in the latest reading
	fills    []interference.FillTask
	endTicks map[string]int // tick at which each fill task ends
	paces    map[string]float64
	started  int // fill tasks so far, including those that were not tolerated
	ticks    int
	totals   totals
}

// addedUtilization is how much each core of a fill image adds to the utilization of a queue. Other pairs add
// nothing.
var addedUtilization = map[interference.Pair]float64{
	{Serving: "counter", Fill: "loud"}: 0.15,
	{Serving: "tank", Fill: "heavy"}:   0.11,
}

// newSimulation returns a worker with three serving tasks and no fill tasks.
func newSimulation(seed uint64) *simulation {
	worker := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), model: interference.New(4 * time.Second),
		endTicks: map[string]int{}, paces: map[string]float64{},
	}
	for index, image := range []string{"counter", "counter", "tank"} {
		worker.queues = append(worker.queues, &queue{image: image, phase: float64(index/2) * 2})
	}
	return worker
}

// advance simulates one tick.
func (worker *simulation) advance() {
	worker.ticks++
	worker.endFills()
	worker.startFills()
	for _, queue := range worker.queues {
		queue.advance(worker.demandedUtilization(queue))
	}
	if worker.ticks%readingTicks == 0 {
		worker.observe()
		worker.applyPaces()
	}
}

// demandedUtilization returns the utilization of a queue that results from its load and from the fill tasks.
func (worker *simulation) demandedUtilization(queue *queue) float64 {
	seconds := (time.Duration(worker.ticks) * tick).Seconds()
	demanded := meanLoad + loadSwing*math.Sin(2*math.Pi*seconds/loadPeriod.Seconds()+queue.phase)
	for _, fill := range worker.fills {
		demanded += addedUtilization[interference.Pair{Serving: queue.image, Fill: fill.Image}] * fill.Cores * worker.paces[fill.Task]
	}
	return demanded
}

// endFills adds the paces of the fill tasks to the totals and removes the tasks that have ended.
func (worker *simulation) endFills() {
	var remaining []interference.FillTask
	for _, fill := range worker.fills {
		worker.totals.paceSum += worker.paces[fill.Task]
		worker.totals.fillTicks++
		if worker.endTicks[fill.Task] > worker.ticks {
			remaining = append(remaining, fill)
		}
	}
	worker.fills = remaining
}

// startFills starts a fill task that never ends in the first tick, before the first reading. In random later
// ticks it draws a fill image and starts a task of it if the model tolerates it.
func (worker *simulation) startFills() {
	if worker.ticks == 1 {
		worker.fills = append(worker.fills, interference.FillTask{Task: "always", Image: "constant", Cores: fillCores})
		worker.endTicks["always"] = math.MaxInt
		worker.paces["always"] = 1
	}
	if len(worker.fills) >= maxFills || worker.random.IntN(6) > 0 {
		return
	}
	worker.started++
	task := fmt.Sprint(worker.started)
	image := []string{"loud", "heavy", "calm", "mild"}[worker.random.IntN(4)]
	if worker.model.Tolerance(worker.servings, worker.fills, image) < fillCores {
		return
	}
	worker.fills = append(worker.fills, interference.FillTask{Task: task, Image: image, Cores: fillCores, Movable: true})
	worker.endTicks[task] = worker.ticks + 40 + worker.random.IntN(60)
	worker.paces[task] = worker.model.Paces(worker.servings, worker.fills)[task]
}

// observe passes a reading to the model and counts misses.
func (worker *simulation) observe() {
	for index := range worker.fills {
		worker.fills[index].UsedCores = fillCores * worker.paces[worker.fills[index].Task]
	}
	worker.servings = nil
	for index, queue := range worker.queues {
		tailMs := queue.drawReading(worker.random)
		worker.servings = append(worker.servings, interference.ServingTask{Task: fmt.Sprint("s", index), Image: queue.image, TailMs: tailMs, TargetMs: targetTailMs})
		worker.totals.readings++
		if tailMs > targetTailMs {
			worker.totals.misses++
		}
	}
	worker.model.Observe(worker.servings, worker.fills, startTime.Add(time.Duration(worker.ticks)*tick))
}

// applyPaces applies the paces of the model, raising each by at most maxPaceRaise, and ends the fill task
// that the model would evict.
func (worker *simulation) applyPaces() {
	paces := worker.model.Paces(worker.servings, worker.fills)
	for task, pace := range paces {
		worker.paces[task] = min(pace, worker.paces[task]+maxPaceRaise)
	}
	if candidate, found := worker.model.EvictionCandidate(worker.servings, worker.fills, worker.model.Paces(worker.servings, worker.fills)); found {
		worker.endTicks[candidate] = worker.ticks
	}
}

// TestSimulatedWorkerKeepsTargets simulates two minutes, of which the first half minute is for learning.
// Serving tasks must hardly ever miss their targets, and fill tasks must run at almost full pace on average.
func TestSimulatedWorkerKeepsTargets(t *testing.T) {
	for seed := range uint64(10) {
		worker := newSimulation(seed)
		for range 600 {
			worker.advance()
		}
		worker.totals = totals{}
		for range 1800 {
			worker.advance()
		}
		missRatio := float64(worker.totals.misses) / float64(worker.totals.readings)
		meanPace := worker.totals.paceSum / worker.totals.fillTicks
		t.Logf("seed %d: targets missed in %.3f of the readings, mean pace of fill tasks %.3f", seed, missRatio, meanPace)
		if missRatio > 0.03 || meanPace < 0.85 {
			t.Errorf("seed %d: targets missed in %.3f of the readings, want at most 0.03; mean pace of fill tasks %.3f, want at least 0.85", seed, missRatio, meanPace)
		}
	}
}
