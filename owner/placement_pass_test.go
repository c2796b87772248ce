package owner

import (
	"fmt"
	"runtime"
	"testing"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// submitWideJob adds workers with room for a job of many tasks, and submits it. One worker may hold a tenth of the tasks.
func submitWideJob(h *harness, tasks int) *job.Job {
	for number := range 10 {
		view := newAgentView(fmt.Sprintf("10.0.1.%d:7001", number))
		view.conn = &agentConn{outbox: make(chan *wire.OwnerMessage, outboxSize), cancel: func() {}}
		view.lastMessageAt = h.clock.Now()
		view.statusDecoder.Apply(&wire.AgentMessage{Status: &wire.WorkerStatus{
			Worker: fmt.Sprint(number), Service: "verbale", Ready: true, MilliCpu: 1 << 20, FreeMilliCpu: 1 << 20, MemoryMb: 1 << 20, FreeMemoryMb: 1 << 20,
		}})
		h.owner.agents[view.address] = view
	}
	return h.submitWith(func(submission *job.Submission) {
		submission.Steps[0] = &job.StepSpec{Count: int32(tasks), MilliCpu: 1, MemoryMb: 1, EstimateMs: 500, MostPerWorker: int32(tasks / 10)}
	})
}

// TestPlacementPassIsBounded: one turn of the event loop places a bounded number of tasks, and the turns that follow place
// the others. It guards against a job that keeps an owner from renewing its membership, so that all shards stop.
func TestPlacementPassIsBounded(t *testing.T) {
	for _, tasks := range []int{4000, 8000} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			h := newHarness(t)
			j := submitWideJob(h, tasks)
			const mostPerTurn = turnBudget/taskWork + 1
			for turns := 0; len(j.RunningTasks()) < tasks; turns++ {
				before := len(j.RunningTasks())
				h.tick()
				if placed := len(j.RunningTasks()) - before; placed == 0 || placed > mostPerTurn {
					t.Fatalf("turn %d placed %d tasks, want 1 to %d", turns, placed, mostPerTurn)
				}
			}
			for address, view := range h.owner.agents {
				if len(view.runs) != tasks/10 && address != agentAddress {
					t.Errorf("%s has %d runs, want %d", address, len(view.runs), tasks/10)
				}
			}
		})
	}
}

// TestPlacementCostIsLinear: placing twice as many tasks takes about twice the work, counted in bytes that are allocated.
// It guards against going over all tasks of a step for each task and worker.
func TestPlacementCostIsLinear(t *testing.T) {
	allocated := func(tasks int) uint64 {
		h := newHarness(t)
		j := submitWideJob(h, tasks)
		h.shard.writing = true // No write begins, so that only placement is counted.
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for len(j.RunningTasks()) < tasks {
			h.tick()
		}
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc
	}
	allocated(500)
	once, twice := allocated(1000), allocated(2000)
	if twice > 3*once {
		t.Errorf("placing 1000 tasks allocates %d bytes, 2000 tasks %d", once, twice)
	}
}

// TestPassWithoutRoomEnds: a pass over a job with more steps than fit a turn ends although no task of it can be placed. It
// guards against examining the first steps of the job again in each turn.
func TestPassWithoutRoomEnds(t *testing.T) {
	h := newHarness(t)
	addFullWorkers(h, 400, 0)
	h.submitWith(func(submission *job.Submission) {
		submission.Steps[0] = &job.StepSpec{Count: 2, MilliCpu: 9000}
		submission.Rounds = 200
	})
	h.owner.pass = h.owner.newPlacementPass(h.owner.placementChanges.take(h.clock.Now()), h.clock.Now())
	turns := 0
	for ; h.owner.pass != nil && turns < 200; turns++ {
		h.owner.continuePass(h.clock.Now())
	}
	if h.owner.pass != nil || turns < 2 {
		t.Errorf("the pass has not ended, or in less than two turns: %d turns", turns)
	}
}
