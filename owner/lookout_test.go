package owner

import (
	"fmt"
	"testing"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// looksAfter counts the workers that are looked at, for each job once, after something has changed.
func looksAfter(made *bench, change func()) int64 {
	change()
	before := made.owner.workersExamined
	made.owner.place(made.owner.placementChanges.take(made.clock.Now()), made.clock.Now())
	return made.owner.workersExamined - before
}

// TestALookFollowsWhatHasChanged counts the work of a look for places on a fleet whose workers are full, and on one of twice
// the size. The case that forced it: each change of any worker's room had all waiting jobs looked at on all workers.
func TestALookFollowsWhatHasChanged(t *testing.T) {
	const jobs = 10
	tests := map[string]struct {
		change func(made *bench)
		// looks is what a look may cost on so many workers.
		looks func(workers int64) int64
	}{
		"the room of one worker has grown": {
			func(made *bench) { made.owner.placementChanges.noteRoom(made.owner.agents["10.0.1.7:7001"]) },
			func(int64) int64 { return jobs },
		},
		"a job has come": {
			func(made *bench) { made.owner.placementChanges.noteJob(made.held.jobs[idInShard(made.held.number, 3)]) },
			func(workers int64) int64 { return workers },
		},
		"all has to be looked at": {
			func(made *bench) { made.owner.placementChanges.noteAll() },
			func(workers int64) int64 { return jobs * workers },
		},
		"nothing": {func(*bench) {}, func(int64) int64 { return 0 }},
	}
	for name, test := range tests {
		for _, workers := range []int{50, 100} {
			t.Run(fmt.Sprint(name, " of ", workers), func(t *testing.T) {
				made := newBench(t)
				delete(made.owner.agents, agentAt)
				placing(made, workers, jobs)
				looksAfter(made, made.owner.placementChanges.noteAll)
				got := looksAfter(made, func() { test.change(made) })
				if want := test.looks(int64(workers)); got != want {
					t.Errorf("%d looks, want %d", got, want)
				}
			})
		}
	}
}

// TestWhatHasGrownIsUsedAtOnce: a task that found no place is started with the agent's word that there is room, by a look that
// goes over no other worker.
func TestWhatHasGrownIsUsedAtOnce(t *testing.T) {
	made := newBench(t)
	placing(made, 20, 2)
	looksAfter(made, made.owner.placementChanges.noteAll)
	view := made.owner.agents["10.0.1.7:7001"]
	looksAfter(made, func() {
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
