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

// The story. The store forgets jobs that ended long ago: one record holds what was handed in, another one, of
// another topic, what became of it. Both were dropped at once, the first of them tried once. Where the
// store took the second drop and not the first, the next owner of the shard read a job without any
// progress, took it for new and started all its tasks again.
//
// The evidence: with one refused append to the topic of jobs, what the store holds afterwards loads as
// a job that is queued and live.

// newEndedJobBench is a bench whose job has ended, and is known for as long as it has to be.
func newEndedJobBench(t *testing.T) *harness {
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
	h.step()
	h.awaitWrites()
	return h
}

// storedRecords reports what the store holds of the job.
func (h *harness) storedRecords() (handedIn, progress bool) {
	_, handedIn = h.store.Newest(job.TopicJobs, h.shard.number, job.SubmissionKey(jobID))
	_, progress = h.store.Newest(job.TopicRuns, h.shard.number, jobID)
	return handedIn, progress
}

func TestPrunedJobIsNotRestarted(t *testing.T) {
	tests := map[string]wirestore.Fault{
		"the store answers": wirestore.FaultNone,
		"the store is busy": wirestore.FaultBusy,
		"an answer is lost": wirestore.FaultLost,
		"a call is reset":   wirestore.FaultReset,
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			h := newEndedJobBench(t)
			failures := 1
			h.store.FailTopic(job.TopicJobs, func() wirestore.Fault {
				failures--
				if failures >= 0 {
					return fault
				}
				return wirestore.FaultNone
			})
			h.clock.Advance(3 * time.Minute)
			for try := 0; try < 200; try++ {
				h.step()
				h.awaitWrites()
				h.clock.Advance(100 * time.Millisecond)
				h.runPending()
				handedIn, progress := h.storedRecords()
				if handedIn && !progress {
					t.Fatal("the store holds what was handed in without what became of it: the next owner takes the job for new")
				}
				if !handedIn && !progress {
					return
				}
			}
			t.Error("the job was not dropped")
		})
	}
}

// runPending gives what is on its way a moment, and runs what has come back.
func (h *harness) runPending() {
	time.Sleep(2 * time.Millisecond)
	for h.owner.eventLoop.RunAny(h.clock.Now()) {
	}
}

// TestClockJumpPrunesNothing has an owner read a job that ended hours ago by the time of day, as it
// is after that has jumped ahead: clients may still ask for it, or hand it in again.
func TestClockJumpPrunesNothing(t *testing.T) {
	h := newHarness(t)
	ended := job.New(newSubmission(), h.shard.number)
	ended.Cancel(h.clock.Now().Add(-5 * time.Hour))
	h.shard.loaded = false
	h.owner.activateShard(h.shard,
		platform.Tail{Records: []platform.Record{newRecord(t, job.SubmissionKey(jobID), newSubmission())}},
		platform.Tail{Records: []platform.Record{newRecord(t, jobID, ended.Progress())}}, h.clock.Now())
	h.step()
	if h.shard.jobs[jobID] == nil || len(h.shard.tombstones) > 0 {
		t.Error("a job that was just read as ended is forgotten")
	}
}

// TestProgressWithoutJobIsDeleted has an owner read what became of a job that the one before it had
// begun to drop.
func TestProgressWithoutJobIsDeleted(t *testing.T) {
	h := newHarness(t)
	ended := job.New(newSubmission(), h.shard.number)
	ended.Cancel(h.clock.Now())
	progress := newRecord(t, jobID, ended.Progress())
	h.store.Put(job.TopicRuns, h.shard.number, jobID, progress.Value)
	h.shard.loaded = false
	h.owner.activateShard(h.shard, platform.Tail{}, platform.Tail{Records: []platform.Record{progress}}, h.clock.Now())
	h.step()
	h.awaitWrites()
	if _, progress := h.storedRecords(); progress {
		t.Error("what became of a job that is gone stays in the store")
	}
}
