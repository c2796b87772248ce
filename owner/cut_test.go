package owner_test

import (
	"fmt"
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
)

// The story. Users saw tasks start again after a run of them had ended as done: a vat was mixed
// twice. The path between an agent and the owner of some of its runs was lost for longer than 5.8 s,
// while owners of other shards still reached the agent or it stood alone with a worker that had
// nothing left to run. (1) A run ended as done; its agent knew, its owner did not. (2) The owner took
// the run for over when its last grant had to have ended, and started the task on another worker.
// (3) The worker's lease went on all the same, since it was bound by the grants of owners with runs
// there and this run had ended: so the end did not become void. (4) The path came back, the end was
// told, and the worker was let forget it as done.
//
// The evidence: logs of such a day. Agents had ends that waited from before their task's second
// start ("end waits") until after the path was back ("end kept"), and owners took the runs for over
// 5.80 s after they last heard the agent, in batches.

// TestPartitionedTaskCompletesOnce cuts an owner off from an agent while runs end there.
func TestPartitionedTaskCompletesOnce(t *testing.T) {
	const tasks = 8
	made := newFleet(t, 2)
	made.submit(fleetJobID, tasks)
	var cut *machine
	if !made.advanceUntil(20*time.Second, func() bool { cut = made.firstBusyMachine(); return cut != nil }) {
		t.Fatal("nothing was started")
	}
	everyone := func([]byte) bool { return true }
	cut.relay.Hold(everyone, true, true)
	completed := func() bool { return made.state(fleetJobID) == job.State_STATE_COMPLETED }
	if !made.advanceUntil(30*time.Second, completed) {
		t.Fatal("the tasks of the machine that is cut off were not done elsewhere")
	}
	cut.relay.LetGo()
	made.advanceUntil(10*time.Second, func() bool { return false })
	again := 0
	for index := range tasks {
		task := fmt.Sprintf("%s.0.0.%d", fleetJobID, index)
		if made.startCount(task) < 2 {
			continue
		}
		again++
		if cut.acknowledgedDone(task) {
			t.Errorf("%s was started again, and its first run is noted as done", task)
		}
	}
	if again == 0 {
		t.Fatal("no task was started again, so nothing was shown")
	}
}

const fleetJobID = "0123456789abcdef"

// firstBusyMachine returns the first machine on which something runs, or nil.
func (made *fleet) firstBusyMachine() *machine {
	for _, machine := range made.machines {
		machine.mu.Lock()
		atWork := len(machine.startedAt) > 0
		machine.mu.Unlock()
		if atWork {
			return machine
		}
	}
	return nil
}

func (machine *machine) acknowledgedDone(task string) bool {
	machine.acknowledgedMu.Lock()
	defer machine.acknowledgedMu.Unlock()
	return machine.acknowledged[task]
}
