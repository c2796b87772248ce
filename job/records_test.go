package job_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/job"
)

// writtenRecord is a record of the progress of a job in a store that keeps the newest one of each key.
type writtenRecord struct {
	offset   int
	progress *job.Progress
}

// TestDividedProgressRestores has random runs of a wide job, whose progress is taken by one owner after the other, with
// and without dividing it. It guards against a task that an owner takes for one that has never been started.
func TestDividedProgressRestores(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // The schedule has to be repeatable.
			j := newWideJob(300, 2)
			store, offset, now := map[string]writtenRecord{}, 0, testNow
			for range 10 {
				divide := random.IntN(4) > 0
				for range random.IntN(30) {
					for range random.IntN(20) {
						now = now.Add(20 * time.Millisecond)
						changeRandomTask(j, random, now)
					}
					for key, progress := range j.TakeProgress(divide) {
						offset++
						store[key] = writtenRecord{offset, progress}
					}
				}
				restored := newWideJob(300, 2)
				for _, written := range inOrder(store) {
					restored.Restore(written.progress, now)
				}
				if offset > 0 && !proto.Equal(j.Progress(), restored.Progress()) {
					t.Fatalf("stored %v\nrestored %v", j.Progress(), restored.Progress())
				}
				j = restored
			}
			for key := range store {
				if job.ProgressJob(key) != j.ID() || !slices.Contains(j.ProgressKeys(), key) {
					t.Errorf("the key %s is not one of the job's, %v", key, j.ProgressKeys())
				}
			}
		})
	}
}

// newWideJob returns a job with two steps of a number of tasks each in each round.
func newWideJob(tasks, rounds int32) *job.Job {
	return newJob(func(submission *job.Submission) {
		submission.Rounds, submission.Attempts = rounds, 100
		submission.FirstDueMs, submission.IntervalMs = testNow.UnixMilli(), 1
		submission.Steps = []*job.StepSpec{{Count: tasks}, {Count: tasks}}
	})
}

// inOrder returns records in the order they were written.
func inOrder(store map[string]writtenRecord) []writtenRecord {
	var records []writtenRecord
	for _, written := range store {
		records = append(records, written)
	}
	slices.SortFunc(records, func(a, b writtenRecord) int { return cmp.Compare(a.offset, b.offset) })
	return records
}

// TestDividedProgressCostIsLinear: the records of a job with twice as many tasks that end one after the other take about
// twice the bytes. It guards against a record of all tasks for each end.
func TestDividedProgressCostIsLinear(t *testing.T) {
	written := func(tasks int32) int {
		j := newWideJob(tasks, 1)
		bytes := 0
		for _, task := range j.Tasks() {
			j.StartRun(task, testPlace, testNow)
			j.EndRun(task, task.Attempt(), job.EndDone, "", testNow)
			for _, progress := range j.TakeProgress(true) {
				bytes += proto.Size(progress)
			}
		}
		return bytes
	}
	if once, twice := written(600), written(1200); twice > 3*once {
		t.Errorf("a job of 1200 tasks writes %d bytes, one of 2400 tasks %d", once, twice)
	}
}

// TestFailuresOfLastingTaskNeverFillRecord guards against a record of a long-running task that grows with each failure, until
// the store refuses it for good.
func TestFailuresOfLastingTaskNeverFillRecord(t *testing.T) {
	j := newJob(func(submission *job.Submission) { submission.Steps = []*job.StepSpec{{Count: 1, Lasting: true}} })
	task, now := j.Tasks()[0], testNow
	fail := func(times int) int {
		for range times {
			now = now.Add(time.Second)
			j.StartRun(task, testPlace, now)
			if !j.EndRun(task, task.Attempt(), job.EndFailed, "", now) {
				t.Fatalf("the failure of attempt %d changed nothing", task.Attempt())
			}
			if j.EndRun(task, task.Attempt(), job.EndFailed, "", now) {
				t.Fatalf("the failure of attempt %d counted twice", task.Attempt())
			}
		}
		return proto.Size(j.Progress())
	}
	if few, many := fail(200), fail(2000); many > few+10 {
		t.Errorf("the progress takes %d bytes after 200 failures and %d after 2200", few, many)
	}
	if j.HasEnded() || task.State() != job.TaskState_TASK_WAITING {
		t.Errorf("the job is %v, its task %v", j.State(), task.State())
	}
}
