package job_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
)

// TestGangCostIsLinear: the life of a gang with twice as many members takes about twice the work, counted in bytes that are
// allocated. It guards against a list of all members for each member that starts, resumes or fails.
func TestGangCostIsLinear(t *testing.T) {
	allocated := func(members int32) uint64 {
		j := newJob(func(submission *job.Submission) {
			submission.Steps = []*job.StepSpec{{Count: members, EstimateMs: 1000, Gang: true, Checkpointing: true}}
		})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for _, reason := range []job.EndReason{job.EndFailed, job.EndDone} {
			for _, task := range j.Tasks() {
				j.ResumeCheckpoint(task)
				j.StartRun(task, testPlace, testNow)
			}
			for _, task := range j.Tasks() {
				j.EndRun(task, task.Attempt(), reason, "0001", testNow)
			}
		}
		runtime.ReadMemStats(&after)
		if j.State() != job.State_STATE_COMPLETED {
			t.Errorf("the state of the job is %v", j.State())
		}
		return after.TotalAlloc - before.TotalAlloc
	}
	allocated(500)
	if once, twice := allocated(1000), allocated(2000); twice > 3*once {
		t.Errorf("a gang of 1000 members allocates %d bytes, one of 2000 members %d", once, twice)
	}
}

// TestStepStateMatchesTasks compares what a job says of its steps with its tasks, over random starts and ends. It guards
// against a task that is never started, or started beyond a limit, because of a wrong count.
func TestStepStateMatchesTasks(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // The schedule has to be repeatable.
			j := newJob(func(submission *job.Submission) {
				submission.Rounds, submission.Attempts = 2, 100
				submission.FirstDueMs, submission.IntervalMs = testNow.UnixMilli(), 1000
				submission.Steps = []*job.StepSpec{{Count: 4}, {Count: 3, Gang: true}, {Count: 2, After: []int32{0}}}
			})
			now := testNow
			for range 200 {
				now = now.Add(20 * time.Millisecond)
				changeRandomTask(j, random, now)
				checkStepStates(t, j, now)
			}
			restored := job.New(j.Submission(), 0)
			restored.Restore(j.Progress(), now)
			checkStepStates(t, restored, now)
		})
	}
}

// changeRandomTask starts a random task that is ready, or ends the run of a started one.
func changeRandomTask(j *job.Job, random *rand.Rand, now time.Time) {
	task := j.Tasks()[random.IntN(len(j.Tasks()))]
	if slices.Contains(j.ReadyTasks(now), task) {
		agent := fmt.Sprintf("10.0.0.%d:7001", random.IntN(3))
		j.StartRun(task, job.Place{Incarnation: incarnation.New("i-1", 0), AgentAddress: agent}, now)
		return
	}
	reasons := []job.EndReason{job.EndDone, job.EndFailed, job.EndInterrupted, job.EndCrashedBesideSuspect}
	j.EndRun(task, task.Attempt(), reasons[random.IntN(len(reasons))], "", now)
}

// checkStepStates compares the answers of a job with those computed from all its tasks.
func checkStepStates(t *testing.T, j *job.Job, now time.Time) {
	t.Helper()
	if got, want := j.HasRunningTasks(), len(j.RunningTasks()) > 0; got != want {
		t.Fatalf("has running tasks: %v, want %v", got, want)
	}
	ready := j.ReadyTasks(now)
	for _, task := range j.Tasks() {
		members := slices.DeleteFunc(slices.Clone(j.Tasks()), func(other *job.Task) bool {
			return other.Round() != task.Round() || other.Step() != task.Step()
		})
		if !slices.Equal(j.StepTasks(task), members) {
			t.Fatalf("tasks of the step of %s: %v", task.Name(), taskNames(j.StepTasks(task)))
		}
		for _, agent := range []string{"10.0.0.0:7001", "10.0.0.1:7001", "10.0.0.2:7001"} {
			started := slices.DeleteFunc(slices.Clone(members), func(member *job.Task) bool { return !member.IsStartedAt(agent) })
			if got := j.StartedOn(task, agent); got != int32(len(started)) {
				t.Fatalf("%d tasks of the step of %s are started at %s, want %d", got, task.Name(), agent, len(started))
			}
		}
		if got := slices.Contains(ready, task); got != j.IsReady(task, now) {
			t.Fatalf("%s is ready: %v, listed: %v", task.Name(), !got, got)
		}
		if ref, err := job.ParseTaskRef(task.Name()); err != nil || j.Task(ref) != task {
			t.Fatalf("the name of %s denotes another task (%v)", task.Name(), err)
		}
	}
}
