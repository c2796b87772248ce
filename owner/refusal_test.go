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
	fleetWorkers    = 40
	workerMilliCPU  = 32_000
	taskMilliCPU    = 4600
	minFreeMilliCPU = 3500
	maxFreeMilliCPU = 4700
	// maxStatusAge is how many rounds old what is heard is at most.
	maxStatusAge = 3
	roundLength  = 100 * time.Millisecond
	// maxWait is how long a lasting task may wait while there is room for it twice over.
	maxWait = 2 * time.Second
)

// fleet is the truth about the workers.
type fleet struct {
	rng     *rand.Rand
	history [][fleetWorkers]int64 // what is free, round by round
}

// advance has others take and give back slivers; the first worker keeps its room.
func (made *fleet) advance() {
	var free [fleetWorkers]int64
	for number := range free {
		free[number] = minFreeMilliCPU + made.rng.Int64N(maxFreeMilliCPU-minFreeMilliCPU)
	}
	free[0] = 2 * taskMilliCPU
	made.history = append(made.history, free)
}

// candidates are the workers as an owner hears of them: each as it was a while ago.
func (made *fleet) candidates() []*candidate {
	var workers []*candidate
	for number := range fleetWorkers {
		then := max(0, len(made.history)-2-made.rng.IntN(maxStatusAge))
		view := newAgentView(fmt.Sprintf("10.0.1.%d:7001", number))
		view.statusDecoder.Apply(&wire.AgentMessage{Status: &wire.WorkerStatus{
			Worker: fmt.Sprint(number), Service: "verbale", Ready: true, MilliCpu: workerMilliCPU, MemoryMb: 1000, FreeMemoryMb: 1000,
			FreeMilliCpu: made.history[then][number], ServingImages: []string{"counter"},
		}})
		workers = append(workers, newCandidate(view))
	}
	return workers
}

// hasRoom reports whether the worker of a candidate has room in truth.
func (made *fleet) hasRoom(t *testing.T, chosen *candidate) bool {
	t.Helper()
	number, err := strconv.Atoi(chosen.view.status().GetWorker())
	if err != nil {
		t.Fatal(err)
	}
	return made.history[len(made.history)-1][number] >= taskMilliCPU
}

// TestRefusedTaskFindsRoom: a lasting task that was refused for room, because others had
// taken it since its owner heard of it, does not go on to lose the race for slivers while
// another worker has room twice over.
func TestRefusedTaskFindsRoom(t *testing.T) {
	tests := map[string]int64{"a serving task": 50, "any other": 0}
	for name, target := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				made := newHarness(t)
				of := made.submitWith(func(handed *job.Submission) {
					handed.Steps[0] = &job.StepSpec{Count: 1, MilliCpu: taskMilliCPU, MemoryMb: 1, Lasting: true, Image: "counter", TargetMs: target}
				})
				if waited := timeUntilPlaced(t, made, of.Tasks()[0], seed); waited > maxWait {
					t.Errorf("seed %d: waits for %v", seed, waited)
				}
			}
		})
	}
}

// timeUntilPlaced returns how long a task is refused for until a worker takes it.
func timeUntilPlaced(t *testing.T, made *harness, task *job.Task, seed uint64) time.Duration {
	t.Helper()
	truth := &fleet{rng: rand.New(rand.NewPCG(seed, 5))}
	for range maxStatusAge {
		truth.advance()
	}
	began := made.clock.Now()
	for {
		truth.advance()
		if chosen := made.owner.bestWorker(task, truth.candidates(), made.clock.Now()); chosen != nil {
			if truth.hasRoom(t, chosen) {
				return made.clock.Now().Sub(began)
			}
			task.AddRefusal()
		}
		made.clock.Advance(roundLength)
	}
}
