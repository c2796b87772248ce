package owner

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/standin/wirestore"
	"ambertiller.example/ambertiller/wire"
)

// newEndedJobHarness returns a harness whose job has ended and is retained for a minute.
func newEndedJobHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.owner.options.JobRetention = time.Minute
	value, err := proto.Marshal(newSubmission())
	if err != nil {
		t.Fatal(err)
	}
	h.store.Put(job.TopicJobs, h.shard.number, job.SubmissionKey(jobID), value)
	h.submit()
	h.attachAndStart()
	h.receive(&wire.AgentMessage{Ends: []*wire.RunEnd{{Worker: workerID, Number: 1, Task: firstTask, Attempt: 1, Reason: wire.EndReason_END_DONE}}})
	h.tick()
	h.awaitWrites()
	return h
}

// storedRecords reports which records of the job are in the store.
func (h *harness) storedRecords() (submitted, progress bool) {
	_, submitted = h.store.Newest(job.TopicJobs, h.shard.number, job.SubmissionKey(jobID))
	_, progress = h.store.Newest(job.TopicRuns, h.shard.number, jobID)
	return submitted, progress
}

// TestPrunedJobIsNotRestarted: the submission and the progress of a job are records of different topics. If
// the progress were deleted while the submission stays, because one append was refused, the next owner of
// the shard would read a job without progress and start all its tasks again. So the progress may only be
// deleted after the submission.
func TestPrunedJobIsNotRestarted(t *testing.T) {
	tests := map[string]wirestore.Fault{
		"store answers":    wirestore.FaultNone,
		"store is busy":    wirestore.FaultUnavailable,
		"answer is lost":   wirestore.FaultLostResponse,
		"connection reset": wirestore.FaultReset,
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			h := newEndedJobHarness(t)
			failures := 1
			h.store.InjectAppendFaults(job.TopicJobs, func() wirestore.Fault {
				failures--
				if failures >= 0 {
					return fault
				}
				return wirestore.FaultNone
			})
			h.clock.Advance(3 * time.Minute)
			for try := 0; try < 200; try++ {
				h.tick()
				h.awaitWrites()
				h.clock.Advance(100 * time.Millisecond)
				h.runPending()
				submitted, progress := h.storedRecords()
				if submitted && !progress {
					t.Fatal("the submission is in the store without the progress, so the next owner would start the job again")
				}
				if !submitted && !progress {
					return
				}
			}
			t.Error("the job was not deleted")
		})
	}
}

// runPending gives calls to the store time to return, and runs what they have posted to the event loop.
func (h *harness) runPending() {
	time.Sleep(2 * time.Millisecond)
	for h.owner.eventLoop.TryRunNext(h.clock.Now()) {
	}
}

// TestClockJumpPrunesNothing: a job that ended hours ago by the time of day is not pruned just after it was
// loaded. The time of day may have jumped ahead, and clients may still ask for the job or submit it again.
func TestClockJumpPrunesNothing(t *testing.T) {
	h := newHarness(t)
	ended := job.New(newSubmission(), h.shard.number)
	ended.Cancel(h.clock.Now().Add(-5 * time.Hour))
	h.shard.loaded = false
	h.owner.activateShard(h.shard,
		platform.ReadResult{Records: []platform.Record{newRecord(t, job.SubmissionKey(jobID), newSubmission())}},
		platform.ReadResult{Records: []platform.Record{newRecord(t, jobID, ended.Progress())}}, h.clock.Now())
	h.tick()
	if h.shard.jobs[jobID] == nil || len(h.shard.tombstones) > 0 {
		t.Error("a job that was just loaded as ended was pruned")
	}
}

// TestProgressWithoutJobIsDeleted: an owner deletes the progress of a job whose submission the previous
// owner has deleted.
func TestProgressWithoutJobIsDeleted(t *testing.T) {
	h := newHarness(t)
	ended := job.New(newSubmission(), h.shard.number)
	ended.Cancel(h.clock.Now())
	progress := newRecord(t, jobID, ended.Progress())
	h.store.Put(job.TopicRuns, h.shard.number, jobID, progress.Value)
	h.shard.loaded = false
	h.owner.activateShard(h.shard, platform.ReadResult{}, platform.ReadResult{Records: []platform.Record{progress}}, h.clock.Now())
	h.tick()
	h.awaitWrites()
	if _, progress := h.storedRecords(); progress {
		t.Error("the progress of a deleted job is still in the store")
	}
}
