package owner

import (
	"fmt"
	"testing"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// BenchmarkPlace is one look for places for so many jobs of 27 tasks that wait, on so many workers
// none of which has room, after the room of one has grown. Before, with all jobs looked at on all workers, it
// took 1.4 ms on 800 workers for 10 jobs and 11.5 ms for 100.
func BenchmarkPlace(b *testing.B) {
	for _, workers := range []int{80, 300, 800, 1600} {
		for _, jobs := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("workers=%d/jobs=%d", workers, jobs), func(b *testing.B) {
				made := newHarness(b)
				addFullWorkers(made, workers, jobs)
				b.ReportAllocs()
				for b.Loop() {
					made.owner.placementChanges.addWorker(made.owner.agents["10.0.1.7:7001"])
					made.owner.placeJobs(made.owner.placementChanges.take(made.clock.Now()), made.clock.Now())
				}
			})
		}
	}
}

// addFullWorkers has an owner look at workers without room, for jobs of 27 tasks that wait.
func addFullWorkers(made *harness, workers, jobs int) {
	for number := range jobs {
		made.submitWith(func(handed *job.Submission) {
			handed.Id = jobIDInShard(made.shard.number, number)
			handed.Steps[0] = &job.StepSpec{Count: 27, MilliCpu: 9000, MemoryMb: 1, Image: "counter"}
		})
	}
	for number := range workers {
		view := newAgentView(fmt.Sprintf("10.0.1.%d:7001", number))
		view.conn = &agentConn{}
		view.lastMessageAt = made.clock.Now()
		view.statusDecoder.Apply(&wire.AgentMessage{Status: &wire.WorkerStatus{
			Worker: fmt.Sprint(number), Service: "verbale", Ready: true, MilliCpu: 32_000, FreeMilliCpu: 8000, MemoryMb: 1000, FreeMemoryMb: 1000,
		}})
		made.owner.agents[view.address] = view
	}
}

// jobIDInShard returns the number-th ID of a job of a shard.
func jobIDInShard(shard, number int) string {
	for try := 0; ; try++ {
		id := fmt.Sprintf("%016x", try)
		if job.ShardOf(id, 8) != shard {
			continue
		}
		if number == 0 {
			return id
		}
		number--
	}
}
