package owner

import (
	"fmt"
	"testing"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// examinedAfter counts the workers that are looked at, for each job once, after something has changed.
func examinedAfter(made *harness, change func()) int64 {
	change()
	before := made.owner.workersExamined
	made.owner.placeJobs(made.owner.placementChanges.take(made.clock.Now()), made.clock.Now())
	return made.owner.workersExamined - before
}

// TestPlacementCostFollowsChanges counts the work of a look for places on a fleet whose workers are full, and on one of twice
// the size. The case that forced it: each change of any worker's room had all waiting jobs looked at on all workers.
func TestPlacementCostFollowsChanges(t *testing.T) {
	const jobs = 10
	tests := map[string]struct {
		change func(made *harness)
		// looks is what a look may cost on so many workers.
		looks func(workers int64) int64
	}{
		"the room of one worker has grown": {
			func(made *harness) { made.owner.placementChanges.addWorker(made.owner.agents["10.0.1.7:7001"]) },
			func(int64) int64 { return jobs },
		},
		"a job has come": {
			func(made *harness) {
				made.owner.placementChanges.addJob(made.shard.jobs[jobIDInShard(made.shard.number, 3)])
			},
			func(workers int64) int64 { return workers },
		},
		"all has to be looked at": {
			func(made *harness) { made.owner.placementChanges.addAll() },
			func(workers int64) int64 { return jobs * workers },
		},
		"nothing": {func(*harness) {}, func(int64) int64 { return 0 }},
	}
	for name, test := range tests {
		for _, workers := range []int{50, 100} {
			t.Run(fmt.Sprint(name, " of ", workers), func(t *testing.T) {
				made := newHarness(t)
				delete(made.owner.agents, agentAddress)
				addFullWorkers(made, workers, jobs)
				examinedAfter(made, made.owner.placementChanges.addAll)
				got := examinedAfter(made, func() { test.change(made) })
				if want := test.looks(int64(workers)); got != want {
					t.Errorf("%d looks, want %d", got, want)
				}
			})
		}
	}
}

// TestFreedRoomIsUsedAtOnce: a task that found no place is started with the agent's word that there is room, by a look that
// goes over no other worker.
func TestFreedRoomIsUsedAtOnce(t *testing.T) {
	made := newHarness(t)
	addFullWorkers(made, 20, 2)
	examinedAfter(made, made.owner.placementChanges.addAll)
	view := made.owner.agents["10.0.1.7:7001"]
	examinedAfter(made, func() {
		grown := &wire.AgentMessage{Status: &wire.WorkerStatus{
			Worker: "7", Service: "verbale", Ready: true, MilliCpu: 32_000, FreeMilliCpu: 9000, MemoryMb: 1000, FreeMemoryMb: 1000,
		}}
		made.owner.handleAgentMessage(view, view.conn, grown, made.clock.Now())
	})
	if len(view.runs) != 1 {
		t.Errorf("%d runs were placed where there is room for one", len(view.runs))
	}
	for _, entry := range view.runs {
		if entry.task.State() != job.TaskState_TASK_STARTED {
			t.Errorf("its state is %v", entry.task.State())
		}
	}
}
