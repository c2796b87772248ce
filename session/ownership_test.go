package session_test

import (
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"ambertiller.example/ambertiller/standin"
)

// observationLog collects, in order, the starts and ends of attempts that the workers report.
type observationLog struct {
	mu           sync.Mutex
	observations []standin.Observation
}

func (l *observationLog) record(observation standin.Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observations = append(l.observations, observation)
}

func (l *observationLog) all() []standin.Observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]standin.Observation(nil), l.observations...)
}

// ownershipState is the state of the ownership model for one task: the worker that runs it, or "" for none,
// and the progress of the task.
type ownershipState struct {
	worker   string
	progress time.Duration
}

// ownershipModel requires that an attempt starts only while no worker runs the task, that only the worker
// that runs the task ends the attempt, and that an attempt doesn't start with more progress than the attempt
// before it had made. It may start with less, because the progress since the last checkpoint is lost with a
// worker.
var ownershipModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byTask := map[string][]porcupine.Operation{}
		for _, operation := range history {
			task := operation.Input.(standin.Observation).Task
			byTask[task] = append(byTask[task], operation)
		}
		var partitions [][]porcupine.Operation
		for _, partition := range byTask {
			partitions = append(partitions, partition)
		}
		return partitions
	},
	Init: func() any { return ownershipState{} },
	Step: func(before, input, _ any) (bool, any) {
		state, observation := before.(ownershipState), input.(standin.Observation)
		if observation.Ended {
			return state.worker == observation.Worker, ownershipState{progress: observation.Progress}
		}
		return state.worker == "" && observation.Progress <= state.progress, ownershipState{worker: observation.Worker, progress: observation.Progress}
	},
}

// checkOwnership checks all recorded starts and ends of attempts against ownershipModel.
func (h *harness) checkOwnership() porcupine.CheckResult {
	var history []porcupine.Operation
	for index, observation := range h.observations.all() {
		at := int64(index)
		history = append(history, porcupine.Operation{Input: observation, Call: at, Return: at})
	}
	return porcupine.CheckOperationsTimeout(ownershipModel, history, time.Minute)
}

// partitionWorker starts a task on worker-01, partitions its guard from all entries for an hour, which is long
// enough for the task to be moved, and then reconnects the guard.
func partitionWorker(h *harness) {
	h.startTask("t-1")
	h.network.setDisconnected("worker-01:rpc", true)
	h.blockedReports["worker-01"] = true
	for range 60 {
		h.advance(time.Minute)
		h.report("worker-02")
		h.runMaintenance()
		h.placePending("entry-1", "entry-2")
		h.report("worker-02")
	}
	h.network.setDisconnected("worker-01:rpc", false)
	h.blockedReports["worker-01"] = false
	h.report("worker-01", "worker-02")
}

// TestOwnershipDuringPartition checks that the task of a partitioned worker continues on another worker once
// its lease must have expired, and that it never runs on both at the same time.
func TestOwnershipDuringPartition(t *testing.T) {
	h := newSession(t)
	partitionWorker(h)
	if result := h.checkOwnership(); result != porcupine.Ok {
		t.Fatalf("%s: %+v", result, h.observations.all())
	}
	if observations := h.observations.all(); len(observations) != 3 || observations[2].Worker != "worker-02" {
		t.Errorf("the task was not moved to worker-02: %+v", observations)
	}
}

// TestOwnershipCheckDetectsViolation checks that the ownership check fails for workers that keep running a
// task after its lease has expired.
func TestOwnershipCheckDetectsViolation(t *testing.T) {
	h := newHarness(t)
	h.ignoreLeases = true
	h.startAll()
	partitionWorker(h)
	if result := h.checkOwnership(); result != porcupine.Illegal {
		t.Errorf("the ownership check returned %s for %+v, want Illegal", result, h.observations.all())
	}
}
