package session_test

import (
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"ambertiller.example/ambertiller/standin"
)

// observationLog collects what the workers say of begins and ends, in order.
type observationLog struct {
	mu           sync.Mutex
	observations []standin.Observation
}

func (owned *observationLog) record(observation standin.Observation) {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	owned.observations = append(owned.observations, observation)
}

func (owned *observationLog) all() []standin.Observation {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	return append([]standin.Observation(nil), owned.observations...)
}

// ownershipState is the state of the ownership model: which worker runs the task, and
// how far it has come.
type ownershipState struct {
	worker   string
	progress time.Duration
}

// ownershipModel: a task is begun only while nobody runs it, and never from
// further on than the attempt before it had come. What was done since the last
// checkpoint is gone with a worker that is lost.
var ownershipModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byTask := map[string][]porcupine.Operation{}
		for _, operation := range history {
			task := operation.Input.(standin.Observation).Task
			byTask[task] = append(byTask[task], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byTask {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return ownershipState{} },
	Step: func(before, input, _ any) (bool, any) {
		held, seen := before.(ownershipState), input.(standin.Observation)
		if seen.Ended {
			return held.worker == seen.Worker, ownershipState{progress: seen.Progress}
		}
		return held.worker == "" && seen.Progress <= held.progress, ownershipState{worker: seen.Worker, progress: seen.Progress}
	},
}

// checkOwnership checks everything that the workers began and ended.
func (made *harness) checkOwnership() porcupine.CheckResult {
	var history []porcupine.Operation
	for index, seen := range made.observations.all() {
		at := int64(index)
		history = append(history, porcupine.Operation{Input: seen, Call: at, Return: at})
	}
	return porcupine.CheckOperationsTimeout(ownershipModel, history, time.Minute)
}

// partitionWorker cuts a worker's guard off from everything until its task must
// have been moved, and lets it come back.
func partitionWorker(made *harness) {
	made.startTask("t-1")
	made.network.setDisconnected("worker-01:rpc", true)
	made.blockedReports["worker-01"] = true
	for range 60 {
		made.advance(time.Minute)
		made.report("worker-02")
		made.runMaintenance()
		made.placePending("entry-1", "entry-2")
		made.report("worker-02")
	}
	made.network.setDisconnected("worker-01:rpc", false)
	made.blockedReports["worker-01"] = false
	made.report("worker-01", "worker-02")
}

// TestOwnershipDuringPartition: the task of a worker that is cut off goes
// on elsewhere once its lease must have ended, and never runs twice.
func TestOwnershipDuringPartition(t *testing.T) {
	made := newSession(t)
	partitionWorker(made)
	if result := made.checkOwnership(); result != porcupine.Ok {
		t.Fatalf("%s: %+v", result, made.observations.all())
	}
	if seen := made.observations.all(); len(seen) != 3 || seen[2].Worker != "worker-02" {
		t.Errorf("the task did not move: %+v", seen)
	}
}

// TestOwnershipCheckDetectsViolation breaks the workers on purpose: they run on
// after a lease has ended. The check must see it.
func TestOwnershipCheckDetectsViolation(t *testing.T) {
	made := newHarness(t)
	made.ignoreLeases = true
	made.startAll()
	partitionWorker(made)
	if result := made.checkOwnership(); result != porcupine.Illegal {
		t.Errorf("the check says %s of %+v", result, made.observations.all())
	}
}
