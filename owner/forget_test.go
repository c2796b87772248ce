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

// newEndedJobHarness is a bench whose job has ended, and is known for as long as it has to be.
func newEndedJobHarness(t *testing.T) *harness {
	made := newHarness(t)
	made.owner.options.JobRetention = time.Minute
	value, err := proto.Marshal(newSubmission())
	if err != nil {
		t.Fatal(err)
	}
	made.store.Put(job.TopicJobs, made.shard.number, job.SubmissionKey(jobID), value)
	made.submit()
	made.attachAndStart()
	made.receive(&wire.AgentMessage{Ends: []*wire.RunEnd{{Worker: workerID, Number: 1, Task: firstTask, Attempt: 1, Reason: wire.EndReason_END_DONE}}})
	made.tick()
	made.awaitWrites()
	return made
}

// storedRecords reports what the store holds of the job.
func (made *harness) storedRecords() (handedIn, progress bool) {
	_, handedIn = made.store.Newest(job.TopicJobs, made.shard.number, job.SubmissionKey(jobID))
	_, progress = made.store.Newest(job.TopicRuns, made.shard.number, jobID)
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
			made := newEndedJobHarness(t)
			failures := 1
			made.store.FailTopic(job.TopicJobs, func() wirestore.Fault {
				failures--
				if failures >= 0 {
					return fault
				}
				return wirestore.FaultNone
			})
			made.clock.Advance(3 * time.Minute)
			for try := 0; try < 200; try++ {
				made.tick()
				made.awaitWrites()
				made.clock.Advance(100 * time.Millisecond)
				made.runPending()
				handedIn, progress := made.storedRecords()
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
func (made *harness) runPending() {
	time.Sleep(2 * time.Millisecond)
	for made.owner.eventLoop.TryRunNext(made.clock.Now()) {
	}
}

// TestClockJumpPrunesNothing has an owner read a job that ended hours ago by the time of day, as it
// is after that has jumped ahead: clients may still ask for it, or hand it in again.
func TestClockJumpPrunesNothing(t *testing.T) {
	made := newHarness(t)
	ended := job.New(newSubmission(), made.shard.number)
	ended.Cancel(made.clock.Now().Add(-5 * time.Hour))
	made.shard.loaded = false
	made.owner.activateShard(made.shard,
		platform.ReadResult{Records: []platform.Record{newRecord(t, job.SubmissionKey(jobID), newSubmission())}},
		platform.ReadResult{Records: []platform.Record{newRecord(t, jobID, ended.Progress())}}, made.clock.Now())
	made.tick()
	if made.shard.jobs[jobID] == nil || len(made.shard.tombstones) > 0 {
		t.Error("a job that was just read as ended is forgotten")
	}
}

// TestProgressWithoutJobIsDeleted has an owner read what became of a job that the one before it had
// begun to drop.
func TestProgressWithoutJobIsDeleted(t *testing.T) {
	made := newHarness(t)
	ended := job.New(newSubmission(), made.shard.number)
	ended.Cancel(made.clock.Now())
	kept := newRecord(t, jobID, ended.Progress())
	made.store.Put(job.TopicRuns, made.shard.number, jobID, kept.Value)
	made.shard.loaded = false
	made.owner.activateShard(made.shard, platform.ReadResult{}, platform.ReadResult{Records: []platform.Record{kept}}, made.clock.Now())
	made.tick()
	made.awaitWrites()
	if _, progress := made.storedRecords(); progress {
		t.Error("what became of a job that is gone stays in the store")
	}
}
