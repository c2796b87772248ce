package owner

import (
	"context"
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

func TestStartIsStoredBeforeOrder(t *testing.T) {
	made := newHarness(t)
	made.submit()
	made.attach()
	made.tick()
	if got := startOrders(made.takeSent()); len(got) != 0 {
		t.Fatalf("ordered before the store had it: %v", got)
	}
	made.awaitWrites()
	if _, kept := made.store.Newest(job.TopicRuns, made.shard.number, jobID); !kept {
		t.Fatal("the start is not in the store")
	}
	made.tick()
	if got := startOrders(made.takeSent()); len(got) != 1 || got[0].GetTask() != firstTask || got[0].GetEpoch() != 3 {
		t.Errorf("ordered: %v", got)
	}
}

func TestEndIsStoredBeforeAcknowledged(t *testing.T) {
	made := newHarness(t)
	of := made.submit()
	made.attachAndStart()
	made.receive(&wire.AgentMessage{Ends: []*wire.RunEnd{{Worker: workerID, Number: 4, Task: firstTask, Attempt: 1, Reason: wire.EndReason_END_DONE}}})
	if of.State() != job.State_STATE_COMPLETED {
		t.Fatalf("state %v", of.State())
	}
	if shown := made.shard.visibleState(of); shown != job.State_STATE_RUNNING {
		t.Errorf("shown as %v before the store had it", shown)
	}
	made.tick()
	for _, message := range made.takeSent() {
		if len(message.GetSeen()) > 0 {
			t.Error("seen before the store had it")
		}
	}
	made.awaitWrites()
	made.tick()
	seen := 0
	for _, message := range made.takeSent() {
		seen += len(message.GetSeen())
	}
	if seen != 1 || made.shard.visibleState(of) != job.State_STATE_COMPLETED {
		t.Errorf("seen %d, shown %v", seen, made.shard.visibleState(of))
	}
}

// TestCancellationReadBeforeItsJob: the newest records come in the order of keys.
// The case that forced it: after the store had dropped its history a job ran on
// that had been cancelled.
func TestCancellationReadBeforeItsJob(t *testing.T) {
	made := newHarness(t)
	made.readRecords(
		newRecord(t, job.CancellationKey(jobID), &job.Cancellation{Id: jobID}),
		newRecord(t, job.SubmissionKey(jobID), newSubmission()),
	)
	if got := made.shard.jobs[jobID].State(); got != job.State_STATE_CANCELLED {
		t.Errorf("state %v", got)
	}
}

// TestEndedJobsArePruned: an ended job is known for as long as it must be, and
// then dropped from the store too.
func TestEndedJobsArePruned(t *testing.T) {
	made := newHarness(t)
	made.owner.options.JobRetention = 2 * time.Minute
	of := made.submit()
	made.owner.cancelJob(made.shard, of, made.clock.Now())
	made.tick()
	made.awaitWrites()
	made.clock.Advance(2*time.Minute + 30*time.Second)
	made.tick()
	if made.shard.jobs[jobID] == nil {
		t.Fatal("forgotten too early")
	}
	made.clock.Advance(time.Minute)
	made.tick()
	made.owner.eventLoop.RunNext(made.clock.Now()) // What was handed in is dropped.
	made.tick()
	made.awaitWrites()
	if made.shard.jobs[jobID] != nil {
		t.Error("not forgotten")
	}
	if _, kept := made.store.Newest(job.TopicRuns, made.shard.number, jobID); kept {
		t.Error("its progress is still in the store")
	}
}

// TestTakenJobIsAddedOnce: what a gateway tells and what the store's read brings is
// one job, and a cancellation that is told stops it.
func TestTakenJobIsAddedOnce(t *testing.T) {
	made := newHarness(t)
	tell := func(handed platform.Record) {
		request := &wire.TakenRequest{Shard: int32(made.shard.number), Key: handed.Key, Value: handed.Value}
		if _, err := made.owner.Taken(context.Background(), request); err != nil {
			t.Fatal(err)
		}
		made.owner.eventLoop.RunNext(made.clock.Now())
	}
	handed := newRecord(t, job.SubmissionKey(jobID), newSubmission())
	tell(handed)
	first := made.shard.jobs[jobID]
	if first == nil {
		t.Fatal("not taken up")
	}
	made.readRecords(handed)
	if made.shard.jobs[jobID] != first {
		t.Error("taken up twice")
	}
	tell(newRecord(t, job.CancellationKey(jobID), &job.Cancellation{Id: jobID}))
	if first.State() != job.State_STATE_CANCELLED {
		t.Errorf("state %v", first.State())
	}
}
