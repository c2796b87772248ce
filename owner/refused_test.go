package owner

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// The fleet of the test: nearly all workers have slivers left, which others take and give
// back all the time, a few have room; what is heard of them is a while old.
const (
	fleetWorkers = 40
	fleetMilli   = 32_000
	wantedMilli  = 4600
	leastSliver  = 3500
	mostSliver   = 4700
	// viewsKept is how many rounds old what is heard is at most.
	viewsKept   = 3
	roundLength = 100 * time.Millisecond
	// waitMost is how long a lasting task may wait while there is room for it twice over.
	waitMost = 2 * time.Second
)

// fleet is the truth about the workers.
type fleet struct {
	draws *rand.Rand
	past  [][fleetWorkers]int64 // what is free, round by round
}

// turn has others take and give back slivers; the first worker keeps its room.
func (made *fleet) turn() {
	var free [fleetWorkers]int64
	for number := range free {
		free[number] = leastSliver + made.draws.Int64N(mostSliver-leastSliver)
	}
	free[0] = 2 * wantedMilli
	made.past = append(made.past, free)
}

// candidates are the workers as an owner hears of them: each as it was a while ago.
func (made *fleet) candidates() []*candidate {
	var workers []*candidate
	for number := range fleetWorkers {
		then := max(0, len(made.past)-2-made.draws.IntN(viewsKept))
		view := newView(fmt.Sprintf("10.0.1.%d:7001", number))
		view.heard.Apply(&wire.AgentMessage{Status: &wire.WorkerStatus{
			Worker: fmt.Sprint(number), Service: "verbale", Ready: true, MilliCpu: fleetMilli, MemoryMb: 1000, FreeMemoryMb: 1000,
			FreeMilliCpu: made.past[then][number], ServingImages: []string{"counter"},
		}})
		workers = append(workers, newCandidate(view))
	}
	return workers
}

// takes reports whether the worker of a candidate has room in truth.
func (made *fleet) takes(t *testing.T, chosen *candidate) bool {
	t.Helper()
	number, err := strconv.Atoi(chosen.view.status().GetWorker())
	if err != nil {
		t.Fatal(err)
	}
	return made.past[len(made.past)-1][number] >= wantedMilli
}

// TestRefusedTaskFindsRoom: a lasting task that was refused for room, because others had
// taken it since its owner heard of it, does not go on to lose the race for slivers while
// another worker has room twice over.
func TestRefusedTaskFindsRoom(t *testing.T) {
	tests := map[string]int64{"a serving task": 50, "any other": 0}
	for name, target := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				made := newBench(t)
				of := made.submitChanged(func(handed *job.Submission) {
					handed.Steps[0] = &job.StepSpec{Count: 1, MilliCpu: wantedMilli, MemoryMb: 1, Lasting: true, Image: "counter", TargetMs: target}
				})
				if waited := placedAfter(t, made, of.Tasks()[0], seed); waited > waitMost {
					t.Errorf("seed %d: waits for %v", seed, waited)
				}
			}
		})
	}
}

// placedAfter returns how long a task is refused for until a worker takes it.
func placedAfter(t *testing.T, made *bench, task *job.Task, seed uint64) time.Duration {
	t.Helper()
	truth := &fleet{draws: rand.New(rand.NewPCG(seed, 5))}
	for range viewsKept {
		truth.turn()
	}
	began := made.clock.Now()
	for {
		truth.turn()
		if chosen := made.owner.bestOf(task, truth.candidates(), made.clock.Now()); chosen != nil {
			if truth.takes(t, chosen) {
				return made.clock.Now().Sub(began)
			}
			task.AddRefusal()
		}
		made.clock.Advance(roundLength)
	}
}
