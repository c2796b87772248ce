package owner

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

func TestStartIsStoredBeforeOrder(t *testing.T) {
	h := newHarness(t)
	h.submit()
	h.attach()
	h.tick()
	if got := startOrders(h.takeSent()); len(got) != 0 {
		t.Fatalf("ordered before the start was in the store: %v", got)
	}
	h.awaitWrites()
	if _, stored := h.store.Newest(job.TopicRuns, h.shard.number, jobID); !stored {
		t.Fatal("the start is not in the store")
	}
	h.tick()
	if got := startOrders(h.takeSent()); len(got) != 1 || got[0].GetTask() != firstTask || got[0].GetEpoch() != 3 {
		t.Errorf("start orders %v, want one for the first task under epoch 3", got)
	}
}

func TestEndIsStoredBeforeAcknowledged(t *testing.T) {
	h := newHarness(t)
	j := h.submit()
	h.attachAndStart()
	h.receive(&wire.AgentMessage{Ends: []*wire.RunEnd{{Worker: workerID, Number: 4, Task: firstTask, Attempt: 1, Reason: wire.EndReason_END_DONE}}})
	if j.State() != job.State_STATE_COMPLETED {
		t.Fatalf("job state %v, want STATE_COMPLETED", j.State())
	}
	if visible := h.shard.visibleState(j); visible != job.State_STATE_RUNNING {
		t.Errorf("shown as %v before the end was in the store", visible)
	}
	h.tick()
	for _, message := range h.takeSent() {
		if len(message.GetSeen()) > 0 {
			t.Error("acknowledged before the end was in the store")
		}
	}
	h.awaitWrites()
	h.tick()
	acknowledged := 0
	for _, message := range h.takeSent() {
		acknowledged += len(message.GetSeen())
	}
	if acknowledged != 1 || h.shard.visibleState(j) != job.State_STATE_COMPLETED {
		t.Errorf("%d acknowledgments, shown as %v; want 1 and STATE_COMPLETED", acknowledged, h.shard.visibleState(j))
	}
}

// TestCancellationReadBeforeItsJob: after the store has compacted its log, the newest records are read in
// the order of their keys, so a cancellation may come before its job. The job must be cancelled all the
// same.
func TestCancellationReadBeforeItsJob(t *testing.T) {
	h := newHarness(t)
	h.readRecords(
		newRecord(t, job.CancellationKey(jobID), &job.Cancellation{Id: jobID}),
		newRecord(t, job.SubmissionKey(jobID), newSubmission()),
	)
	if got := h.shard.jobs[jobID].State(); got != job.State_STATE_CANCELLED {
		t.Errorf("job state %v, want STATE_CANCELLED", got)
	}
}

// TestEndedJobsArePruned: an ended job is kept for the retention time and then also deleted from the store.
func TestEndedJobsArePruned(t *testing.T) {
	h := newHarness(t)
	h.owner.options.JobRetention = 2 * time.Minute
	j := h.submit()
	h.owner.cancelJob(h.shard, j, h.clock.Now())
	h.tick()
	h.awaitWrites()
	h.clock.Advance(2*time.Minute + 30*time.Second)
	h.tick()
	if h.shard.jobs[jobID] == nil {
		t.Fatal("the job was pruned too early")
	}
	h.clock.Advance(time.Minute)
	h.tick()
	h.owner.eventLoop.RunNext(h.clock.Now()) // The submission has been deleted.
	h.tick()
	h.awaitWrites()
	if h.shard.jobs[jobID] != nil {
		t.Error("the job was not pruned")
	}
	if _, stored := h.store.Newest(job.TopicRuns, h.shard.number, jobID); stored {
		t.Error("the progress of the pruned job is still in the store")
	}
}

// TestTakenJobIsAddedOnce: a job that another entry announces and that is then read from the store is added
// once. A cancellation that is announced takes effect.
func TestTakenJobIsAddedOnce(t *testing.T) {
	h := newHarness(t)
	notify := func(record platform.Record) {
		request := &wire.TakenRequest{Shard: int32(h.shard.number), Key: record.Key, Value: record.Value}
		if _, err := h.owner.Taken(context.Background(), request); err != nil {
			t.Fatal(err)
		}
		h.owner.eventLoop.RunNext(h.clock.Now())
	}
	record := newRecord(t, job.SubmissionKey(jobID), newSubmission())
	notify(record)
	first := h.shard.jobs[jobID]
	if first == nil {
		t.Fatal("the announced job was not added")
	}
	h.readRecords(record)
	if h.shard.jobs[jobID] != first {
		t.Error("the job was added twice")
	}
	notify(newRecord(t, job.CancellationKey(jobID), &job.Cancellation{Id: jobID}))
	if first.State() != job.State_STATE_CANCELLED {
		t.Errorf("job state %v, want STATE_CANCELLED", first.State())
	}
}

// TestProgressLargerThanAnAppendNeverStored guards against a shard that is given up because the store refuses all its
// changes as too large for one append.
func TestProgressLargerThanAnAppendNeverStored(t *testing.T) {
	const records, keyBytes = 20_000, 250
	h := newHarness(t)
	h.submit()
	h.attach()
	for number := range records {
		h.shard.deleteProgress(fmt.Sprintf("%0*d", keyBytes, number))
	}
	done := false
	h.shard.afterFlush = append(h.shard.afterFlush, func(time.Time) { done = true })
	h.tick()
	for h.shard.writing {
		h.owner.eventLoop.RunNext(h.clock.Now())
		if h.owner.shards[h.shard.number] != h.shard {
			t.Fatal("the shard was given up")
		}
	}
	if !done {
		t.Error("what waits for the write was not called")
	}
	if _, stored := h.store.Newest(job.TopicRuns, h.shard.number, jobID); !stored {
		t.Error("the job's progress is not in the store")
	}
}

func TestSplitRecords(t *testing.T) {
	const maxBytes = 100
	tests := map[string]struct {
		sizes []int // of the values
		want  []int // numbers of records in the batches
	}{
		"none":                      {nil, []int{0}},
		"one":                       {[]int{10}, []int{1}},
		"one that is too large":     {[]int{200}, []int{1}},
		"all fit":                   {[]int{20, 20, 20}, []int{3}},
		"split":                     {[]int{40, 40, 40, 40, 40}, []int{2, 2, 1}},
		"a large one between small": {[]int{10, 200, 10}, []int{1, 1, 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var records []platform.Record
			for _, size := range test.sizes {
				records = append(records, platform.Record{Key: "k", Value: make([]byte, size)})
			}
			var got []int
			for _, batch := range splitRecords(records, maxBytes) {
				got = append(got, len(batch))
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got batches of %v, want %v", got, test.want)
			}
		})
	}
}
