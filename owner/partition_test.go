package owner_test

import (
	"fmt"
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
)

// TestPartitionedTaskCompletesOnce partitions an owner from an agent while runs end there. It guards against
// tasks that are started again, and so done twice, after a run of them has been acknowledged as done:
//
//  1. The network between an agent and the owner of some of its runs fails for more than 5.8 s. Owners of
//     other shards still reach the agent, or its worker has no other runs.
//  2. A run ends as done. Its agent knows, its owner does not.
//  3. The owner releases the run 5.8 s after the agent's last message, when the last grant must have
//     expired, and starts the task on another worker.
//  4. The worker's lease is extended all the same: only the grants of owners with runs there limit it, and
//     this run has ended. So the end does not become void.
//  5. The network recovers. The agent reports the end, and the worker is ordered to forget the run as done.
func TestPartitionedTaskCompletesOnce(t *testing.T) {
	const tasks = 8
	f := newFleet(t, 2)
	f.submit(fleetJobID, tasks)
	var partitioned *machine
	if !f.advanceUntil(20*time.Second, func() bool { partitioned = f.firstBusyMachine(); return partitioned != nil }) {
		t.Fatal("no task was started")
	}
	allTraffic := func([]byte) bool { return true }
	partitioned.relay.Pause(allTraffic, true, true)
	completed := func() bool { return f.state(fleetJobID) == job.State_STATE_COMPLETED }
	if !f.advanceUntil(30*time.Second, completed) {
		t.Fatal("the tasks of the partitioned machine were not completed elsewhere")
	}
	partitioned.relay.Resume()
	f.advanceUntil(10*time.Second, func() bool { return false })
	restarted := 0
	for index := range tasks {
		task := fmt.Sprintf("%s.0.0.%d", fleetJobID, index)
		if f.startCount(task) < 2 {
			continue
		}
		restarted++
		if partitioned.acknowledgedDone(task) {
			t.Errorf("%s was started again, and its first run was acknowledged as done", task)
		}
	}
	if restarted == 0 {
		t.Fatal("no task was started again, so the test shows nothing")
	}
}

const fleetJobID = "0123456789abcdef"

// firstBusyMachine returns the first machine with a run, or nil.
func (f *fleet) firstBusyMachine() *machine {
	for _, machine := range f.machines {
		machine.mu.Lock()
		isBusy := len(machine.startedAt) > 0
		machine.mu.Unlock()
		if isBusy {
			return machine
		}
	}
	return nil
}

// acknowledgedDone reports whether the worker was ordered to forget a run of the task as done.
func (machine *machine) acknowledgedDone(task string) bool {
	machine.acknowledgedMu.Lock()
	defer machine.acknowledgedMu.Unlock()
	return machine.acknowledged[task]
}
