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

// In the simulated fleet the free resources of almost all workers are about what a task needs, and
// change all the time because other owners start and end tasks there. One worker has twice as much. The
// owner sees statuses that are up to maxStatusAge rounds older than the latest.
const (
	fleetWorkers    = 40
	workerMilliCPU  = 32_000
	taskMilliCPU    = 4600
	minFreeMilliCPU = 3500
	maxFreeMilliCPU = 4700
	// maxStatusAge is the maximum age of a status, in rounds.
	maxStatusAge = 3
	roundLength  = 100 * time.Millisecond
	// maxWait is how long a long-running task may wait while a worker has twice the resources
	// that it needs.
	maxWait = 2 * time.Second
)

// fleet holds the actual state of the workers.
type fleet struct {
	rng     *rand.Rand
	history [][fleetWorkers]int64 // free processors of each worker, by round
}

// advance begins a round. The free processors of all workers but the first change.
func (f *fleet) advance() {
	var free [fleetWorkers]int64
	for number := range free {
		free[number] = minFreeMilliCPU + f.rng.Int64N(maxFreeMilliCPU-minFreeMilliCPU)
	}
	free[0] = 2 * taskMilliCPU
	f.history = append(f.history, free)
}

// candidates returns the workers as an owner sees them, with statuses of earlier rounds.
func (f *fleet) candidates() []*candidate {
	var workers []*candidate
	for number := range fleetWorkers {
		round := max(0, len(f.history)-2-f.rng.IntN(maxStatusAge))
		view := newAgentView(fmt.Sprintf("10.0.1.%d:7001", number))
		view.statusDecoder.Apply(&wire.AgentMessage{Status: &wire.WorkerStatus{
			Worker: fmt.Sprint(number), Service: "verbale", Ready: true, MilliCpu: workerMilliCPU, MemoryMb: 1000, FreeMemoryMb: 1000,
			FreeMilliCpu: f.history[round][number], ServingImages: []string{"counter"},
		}})
		workers = append(workers, newCandidate(view))
	}
	return workers
}

// hasResources reports whether a worker has the free processors for the task in the present round.
func (f *fleet) hasResources(t *testing.T, chosen *candidate) bool {
	t.Helper()
	number, err := strconv.Atoi(chosen.view.status().GetWorker())
	if err != nil {
		t.Fatal(err)
	}
	return f.history[len(f.history)-1][number] >= taskMilliCPU
}

// TestRefusedTaskIsPlacedElsewhere: a long-running task may be refused because other owners have taken the
// free resources since the worker's last status. It guards against repeating that on workers with barely
// enough resources while another worker has twice as much.
func TestRefusedTaskIsPlacedElsewhere(t *testing.T) {
	tests := map[string]int64{"a serving task": 50, "another task": 0}
	for name, target := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				h := newHarness(t)
				j := h.submitWith(func(submission *job.Submission) {
					submission.Steps[0] = &job.StepSpec{Count: 1, MilliCpu: taskMilliCPU, MemoryMb: 1, Lasting: true, Image: "counter", TargetMs: target}
				})
				if waited := timeUntilPlaced(t, h, j.Tasks()[0], seed); waited > maxWait {
					t.Errorf("seed %d: placed after %v", seed, waited)
				}
			}
		})
	}
}

// timeUntilPlaced returns how long it takes until a worker with the resources for the task is chosen.
func timeUntilPlaced(t *testing.T, h *harness, task *job.Task, seed uint64) time.Duration {
	t.Helper()
	workers := &fleet{rng: rand.New(rand.NewPCG(seed, 5))}
	for range maxStatusAge {
		workers.advance()
	}
	startedAt := h.clock.Now()
	for {
		workers.advance()
		if chosen := h.owner.bestWorker(task, workers.candidates(), h.clock.Now()); chosen != nil {
			if workers.hasResources(t, chosen) {
				return h.clock.Now().Sub(startedAt)
			}
			task.AddRefusal()
		}
		h.clock.Advance(roundLength)
	}
}
