package owner

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/job"
)

// TestProgressLargerThanARecordNeverStored guards against a job with so many tasks that the store refuses the record of
// its progress for good, so that its shard is given up by one owner after the other.
func TestProgressLargerThanARecordNeverStored(t *testing.T) {
	const tasks = 30_000
	h := newHarness(t)
	h.enable("divided-progress")
	submission := newSubmission()
	submission.Steps[0].Count = tasks
	value, err := proto.Marshal(submission)
	if err != nil {
		t.Fatal(err)
	}
	h.store.Put(job.TopicJobs, h.shard.number, job.SubmissionKey(jobID), value)
	j := h.submitWith(func(submission *job.Submission) { submission.Steps[0].Count = tasks })
	for _, task := range j.Tasks() {
		j.StartRun(task, job.Place{}, h.clock.Now())
		j.EndRun(task, 1, job.EndDone, "", h.clock.Now())
	}
	h.owner.markDirty(h.shard, j)
	h.tick()
	h.awaitWrites()
	if h.owner.shards[h.shard.number] != h.shard {
		t.Fatal("the shard was given up")
	}

	next := h.becomeNextOwner().shard
	jobs, jobsRead := h.owner.readNewest(next, job.TopicJobs)
	runs, runsRead := h.owner.readNewest(next, job.TopicRuns)
	if !jobsRead || !runsRead {
		t.Fatal("the shard could not be read")
	}
	h.owner.activateShard(next, jobs, runs, h.clock.Now())
	if restored := next.jobs[jobID]; !proto.Equal(restored.Progress(), j.Progress()) {
		t.Errorf("the next owner has the job in state %v with %d tasks to start", restored.State(), len(restored.ReadyTasks(h.clock.Now())))
	}

	h.owner.removePruned(next, []string{jobID})
	h.shard = next
	h.tick()
	h.awaitWrites()
	for _, key := range j.ProgressKeys() {
		if _, stored := h.store.Newest(job.TopicRuns, next.number, key); stored {
			t.Errorf("the record %s of a deleted job is still in the store", key)
		}
	}
}
