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
	made := newBench(t)
	made.submit()
	made.attach()
	made.step()
	if got := starts(made.sent()); len(got) != 0 {
		t.Fatalf("ordered before the store had it: %v", got)
	}
	made.settle()
	if _, kept := made.store.Newest(job.TopicRuns, made.held.number, jobID); !kept {
		t.Fatal("the start is not in the store")
	}
	made.step()
	if got := starts(made.sent()); len(got) != 1 || got[0].GetTask() != taskOne || got[0].GetEpoch() != 3 {
		t.Errorf("ordered: %v", got)
	}
}

func TestEndIsStoredBeforeAcknowledged(t *testing.T) {
	made := newBench(t)
	of := made.submit()
	made.attachAndStart()
	made.hear(&wire.AgentMessage{Ends: []*wire.RunEnd{{Worker: life, Number: 4, Task: taskOne, Attempt: 1, Reason: wire.EndReason_END_DONE}}})
	if of.State() != job.State_STATE_COMPLETED {
		t.Fatalf("state %v", of.State())
	}
	if shown := made.held.visibleState(of); shown != job.State_STATE_RUNNING {
		t.Errorf("shown as %v before the store had it", shown)
	}
	made.step()
	for _, message := range made.sent() {
		if len(message.GetSeen()) > 0 {
			t.Error("seen before the store had it")
		}
	}
	made.settle()
	made.step()
	seen := 0
	for _, message := range made.sent() {
		seen += len(message.GetSeen())
	}
	if seen != 1 || made.held.visibleState(of) != job.State_STATE_COMPLETED {
		t.Errorf("seen %d, shown %v", seen, made.held.visibleState(of))
	}
}

// TestCancellationReadBeforeItsJob: the newest records come in the order of keys.
// The case that forced it: after the store had dropped its history a job ran on
// that had been cancelled.
func TestCancellationReadBeforeItsJob(t *testing.T) {
	made := newBench(t)
	made.read(
		record(t, job.CancellationKey(jobID), &job.Cancellation{Id: jobID}),
		record(t, job.SubmissionKey(jobID), submission()),
	)
	if got := made.held.jobs[jobID].State(); got != job.State_STATE_CANCELLED {
		t.Errorf("state %v", got)
	}
}

// TestEndedJobsArePruned: an ended job is known for as long as it must be, and
// then dropped from the store too.
func TestEndedJobsArePruned(t *testing.T) {
	made := newBench(t)
	made.owner.options.JobRetention = 2 * time.Minute
	of := made.submit()
	made.owner.cancelJob(made.held, of, made.clock.Now())
	made.step()
	made.settle()
	made.clock.Advance(2*time.Minute + 30*time.Second)
	made.step()
	if made.held.jobs[jobID] == nil {
		t.Fatal("forgotten too early")
	}
	made.clock.Advance(time.Minute)
	made.step()
	made.owner.eventLoop.RunOne(made.clock.Now()) // What was handed in is dropped.
	made.step()
	made.settle()
	if made.held.jobs[jobID] != nil {
		t.Error("not forgotten")
	}
	if _, kept := made.store.Newest(job.TopicRuns, made.held.number, jobID); kept {
		t.Error("its progress is still in the store")
	}
}

// TestTakenJobIsAddedOnce: what a gateway tells and what the store's read brings is
// one job, and a cancellation that is told stops it.
func TestTakenJobIsAddedOnce(t *testing.T) {
	made := newBench(t)
	tell := func(handed platform.Record) {
		request := &wire.TakenRequest{Shard: int32(made.held.number), Key: handed.Key, Value: handed.Value}
		if _, err := made.owner.Taken(context.Background(), request); err != nil {
			t.Fatal(err)
		}
		made.owner.eventLoop.RunOne(made.clock.Now())
	}
	handed := record(t, job.SubmissionKey(jobID), submission())
	tell(handed)
	first := made.held.jobs[jobID]
	if first == nil {
		t.Fatal("not taken up")
	}
	made.read(handed)
	if made.held.jobs[jobID] != first {
		t.Error("taken up twice")
	}
	tell(record(t, job.CancellationKey(jobID), &job.Cancellation{Id: jobID}))
	if first.State() != job.State_STATE_CANCELLED {
		t.Errorf("state %v", first.State())
	}
}
