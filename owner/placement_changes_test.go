package owner

import (
	"fmt"
	"testing"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// examinedAfter returns how many workers a placement pass examines after a change, summed over all jobs.
func examinedAfter(h *harness, change func()) int64 {
	change()
	before := h.owner.workersExamined
	h.owner.placeAll(h.clock.Now())
	return h.owner.workersExamined - before
}

// TestPlacementCostFollowsChanges: the cost of a placement pass depends on what has changed, not on the
// size of the fleet. It guards against examining all workers for all waiting jobs whenever the free
// resources of any worker change. All workers are full; the test runs with a fleet and one twice as
// large.
func TestPlacementCostFollowsChanges(t *testing.T) {
	const jobs = 10
	tests := map[string]struct {
		change func(h *harness)
		// examined returns how many workers are to be examined, of so many.
		examined func(workers int64) int64
	}{
		"one worker has more free resources": {
			func(h *harness) { h.owner.placementChanges.addWorker(h.owner.agents["10.0.1.7:7001"]) },
			func(int64) int64 { return jobs },
		},
		"a job has been submitted": {
			func(h *harness) {
				h.owner.placementChanges.addJob(h.shard.jobs[jobIDInShard(h.shard.number, 3)])
			},
			func(workers int64) int64 { return workers },
		},
		"a full pass is requested": {
			func(h *harness) { h.owner.placementChanges.addAll() },
			func(workers int64) int64 { return jobs * workers },
		},
		"nothing": {func(*harness) {}, func(int64) int64 { return 0 }},
	}
	for name, test := range tests {
		for _, workers := range []int{50, 100} {
			t.Run(fmt.Sprint(name, " of ", workers), func(t *testing.T) {
				h := newHarness(t)
				delete(h.owner.agents, agentAddress)
				addFullWorkers(h, workers, jobs)
				examinedAfter(h, h.owner.placementChanges.addAll)
				got := examinedAfter(h, func() { test.change(h) })
				if want := test.examined(int64(workers)); got != want {
					t.Errorf("%d workers examined, want %d", got, want)
				}
			})
		}
	}
}

// TestFreedResourcesAreUsedAtOnce: a task that could not be placed is placed when an agent reports enough free
// resources, by a pass that examines no other worker.
func TestFreedResourcesAreUsedAtOnce(t *testing.T) {
	h := newHarness(t)
	addFullWorkers(h, 20, 2)
	examinedAfter(h, h.owner.placementChanges.addAll)
	view := h.owner.agents["10.0.1.7:7001"]
	examinedAfter(h, func() {
		message := &wire.AgentMessage{Status: &wire.WorkerStatus{
			Worker: "7", Service: "verbale", Ready: true, MilliCpu: 32_000, FreeMilliCpu: 9000, MemoryMb: 1000, FreeMemoryMb: 1000,
		}}
		h.owner.handleAgentMessage(view, view.conn, message, h.clock.Now())
	})
	if len(view.runs) != 1 {
		t.Errorf("%d runs were placed on a worker with resources for one", len(view.runs))
	}
	for _, run := range view.runs {
		if run.task.State() != job.TaskState_TASK_STARTED {
			t.Errorf("the state of the task is %v", run.task.State())
		}
	}
}
