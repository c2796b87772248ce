package job_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
)

var (
	testNow   = time.UnixMilli(1_800_000_000_000)
	testPlace = job.Place{Incarnation: incarnation.New("i-1", 0), AgentAddress: "10.0.0.1:7001"}
)

// newJob returns a job with two steps: two tasks of 1 s each, and one of 0.5 s that depends on them. change
// may modify the submission.
func newJob(change func(submission *job.Submission)) *job.Job {
	submission := &job.Submission{
		Id: "0123456789abcdef", Attempts: 2, Extension: 2, TargetLatencyMs: 1000, SubmittedMs: testNow.UnixMilli(),
		Steps: []*job.StepSpec{{Count: 2, EstimateMs: 1000}, {Count: 1, EstimateMs: 500, After: []int32{0}}},
	}
	if change != nil {
		change(submission)
	}
	return job.New(submission, 0)
}

func taskNames(tasks []*job.Task) []string {
	var names []string
	for _, task := range tasks {
		names = append(names, task.Name())
	}
	return names
}

// runTask starts a task and ends its run immediately.
func runTask(j *job.Job, task *job.Task, reason job.EndReason, at time.Time) {
	j.StartRun(task, testPlace, at)
	j.EndRun(task, task.Attempt(), reason, "", at)
}

// TestStepsWaitForDependencies checks that a step starts once all tasks of the step that it depends on are
// done.
func TestStepsWaitForDependencies(t *testing.T) {
	j := newJob(nil)
	if got := taskNames(j.ReadyTasks(testNow)); len(got) != 2 {
		t.Fatalf("ready before any run: %v", got)
	}
	runTask(j, j.Tasks()[0], job.EndDone, testNow)
	if got := taskNames(j.ReadyTasks(testNow)); len(got) != 1 || got[0] != "0123456789abcdef.0.0.1" {
		t.Fatalf("ready with one of two tasks done: %v", got)
	}
	runTask(j, j.Tasks()[1], job.EndDone, testNow)
	if got := taskNames(j.ReadyTasks(testNow)); len(got) != 1 || got[0] != "0123456789abcdef.0.1.0" {
		t.Fatalf("ready after the first step: %v", got)
	}
	runTask(j, j.Tasks()[2], job.EndDone, testNow)
	if j.State() != job.State_STATE_COMPLETED {
		t.Errorf("job state %v, want STATE_COMPLETED", j.State())
	}
}

// TestRunEnds checks the states of the job and of its task after runs that ended for different reasons.
func TestRunEnds(t *testing.T) {
	type end struct {
		attempt int32
		reason  job.EndReason
	}
	tests := map[string]struct {
		longRunning bool
		starts      int
		ends        []end
		wantState   job.State
		wantTask    job.TaskState
	}{
		"failed once":                           {false, 1, []end{{1, job.EndFailed}}, job.State_STATE_RUNNING, job.TaskState_TASK_WAITING},
		"failed in all attempts":                {false, 2, []end{{1, job.EndFailed}, {2, job.EndFailed}}, job.State_STATE_FAILED, job.TaskState_TASK_FAILED},
		"interruptions don't count":             {false, 3, []end{{1, job.EndInterrupted}, {2, job.EndInterrupted}, {3, job.EndInterrupted}}, job.State_STATE_RUNNING, job.TaskState_TASK_WAITING},
		"long-running task restarts":            {true, 1, []end{{1, job.EndDone}}, job.State_STATE_RUNNING, job.TaskState_TASK_WAITING},
		"long-running task fails without limit": {true, 4, []end{{1, job.EndFailed}, {2, job.EndFailed}, {3, job.EndFailed}, {4, job.EndFailed}}, job.State_STATE_RUNNING, job.TaskState_TASK_WAITING},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			j := newJob(func(submission *job.Submission) {
				submission.Steps = []*job.StepSpec{{Count: 1, EstimateMs: 1000, Lasting: test.longRunning}}
			})
			task := j.Tasks()[0]
			for index := range test.starts {
				j.StartRun(task, testPlace, testNow)
				j.EndRun(task, test.ends[index].attempt, test.ends[index].reason, "", testNow)
			}
			if j.State() != test.wantState || task.State() != test.wantTask {
				t.Errorf("job %v, task %v", j.State(), task.State())
			}
		})
	}
}

// TestLateEndOfEarlierRun checks what the end of a run changes that is reported after the run was assumed
// lost.
func TestLateEndOfEarlierRun(t *testing.T) {
	tests := map[string]struct {
		restarted bool // before the end is reported
		reason    job.EndReason
		want      job.TaskState
	}{
		"done while waiting":      {false, job.EndDone, job.TaskState_TASK_DONE},
		"done after a restart":    {true, job.EndDone, job.TaskState_TASK_STARTED},
		"failed while waiting":    {false, job.EndFailed, job.TaskState_TASK_WAITING},
		"failed after a restart":  {true, job.EndFailed, job.TaskState_TASK_STARTED},
		"stopped after a restart": {true, job.EndInterrupted, job.TaskState_TASK_STARTED},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			j := newJob(nil)
			task := j.Tasks()[0]
			j.StartRun(task, testPlace, testNow)
			j.Requeue(task, testNow)
			if test.restarted {
				j.StartRun(task, testPlace, testNow)
			}
			j.EndRun(task, 1, test.reason, "", testNow)
			if task.State() != test.want {
				t.Errorf("got %v", task.State())
			}
		})
	}
}

// TestDuplicateFailureReport checks that a failure counts once, also after a change of owner. Agents report
// an end repeatedly until they know that it is stored. When the first failure was counted again by a new
// owner, a job that could still complete was reported as failed.
func TestDuplicateFailureReport(t *testing.T) {
	j := newJob(nil)
	task := j.Tasks()[0]
	runTask(j, task, job.EndFailed, testNow)
	j.StartRun(task, testPlace, testNow)
	j.EndRun(task, 1, job.EndFailed, "", testNow)
	if j.State() == job.State_STATE_FAILED {
		t.Fatal("one failure counted twice")
	}
	restored := newJob(nil)
	restored.Restore(j.Progress(), testNow)
	restored.EndRun(restored.Tasks()[0], 1, job.EndFailed, "", testNow)
	if restored.State() == job.State_STATE_FAILED {
		t.Error("one failure counted twice after a change of owner")
	}
}

// TestQueuedUntilFirstRunStarts checks that a job stays queued while all its starts are refused. Otherwise it
// is missing in the number of pending jobs of its queue.
func TestQueuedUntilFirstRunStarts(t *testing.T) {
	j := newJob(nil)
	j.StartRun(j.Tasks()[0], testPlace, testNow)
	j.Requeue(j.Tasks()[0], testNow)
	if j.State() != job.State_STATE_QUEUED {
		t.Fatalf("job state %v, want STATE_QUEUED", j.State())
	}
	j.StartRun(j.Tasks()[0], testPlace, testNow)
	if !j.MarkRunning(testNow) || j.State() != job.State_STATE_RUNNING {
		t.Errorf("job state %v, want STATE_RUNNING once a run has started", j.State())
	}
}

// TestGang checks that the members of a gang start together under one attempt number, only once all of them
// have stopped, and that the success of one member completes the gang.
func TestGang(t *testing.T) {
	gang := func(submission *job.Submission) {
		submission.Steps = []*job.StepSpec{{Count: 3, EstimateMs: 1000, Gang: true}}
	}
	j := newJob(gang)
	for _, task := range j.ReadyTasks(testNow) {
		j.StartRun(task, testPlace, testNow)
	}
	if got := j.ReadyTasks(testNow); len(got) != 0 {
		t.Fatalf("ready while the gang runs: %v", taskNames(got))
	}
	j.EndRun(j.Tasks()[0], 1, job.EndFailed, "", testNow)
	later := testNow.Add(time.Second)
	if got := j.ReadyTasks(later); len(got) != 0 {
		t.Fatalf("ready while some members run: %v", taskNames(got))
	}
	j.EndRun(j.Tasks()[1], 1, job.EndInterrupted, "", testNow)
	j.EndRun(j.Tasks()[2], 1, job.EndInterrupted, "", testNow)
	for _, task := range j.ReadyTasks(later) {
		j.StartRun(task, testPlace, later)
	}
	for _, task := range j.Tasks() {
		if task.Attempt() != 2 {
			t.Errorf("%s runs under attempt %d", task.Name(), task.Attempt())
		}
	}
	j.EndRun(j.Tasks()[0], 2, job.EndDone, "", later)
	if j.State() != job.State_STATE_COMPLETED {
		t.Errorf("state %v after one member succeeded", j.State())
	}
}

// TestRounds checks that the tasks of a round become ready when the round is due.
func TestRounds(t *testing.T) {
	j := newJob(func(submission *job.Submission) {
		submission.Rounds = 2
		submission.FirstDueMs = testNow.Add(time.Second).UnixMilli()
		submission.IntervalMs = 500
	})
	if got := j.ReadyTasks(testNow); len(got) != 0 {
		t.Fatalf("ready before the first round: %v", taskNames(got))
	}
	if got := j.ReadyTasks(testNow.Add(time.Second)); len(got) != 2 || got[0].Round() != 0 {
		t.Errorf("ready at the first round: %v", taskNames(got))
	}
	if got := j.ReadyTasks(testNow.Add(1500 * time.Millisecond)); len(got) != 4 {
		t.Errorf("ready at the second round: %v", taskNames(got))
	}
}

// TestRestoreProgress checks that a job restored from its progress has the same progress, and that its
// started tasks are not ready.
func TestRestoreProgress(t *testing.T) {
	j := newJob(nil)
	runTask(j, j.Tasks()[0], job.EndDone, testNow)
	j.StartRun(j.Tasks()[1], testPlace, testNow)
	j.SetCheckpoint(j.Tasks()[1], 1, "checkpoint")
	progress := j.Progress()
	restored := newJob(nil)
	restored.Restore(progress, testNow)
	if !proto.Equal(progress, restored.Progress()) {
		t.Errorf("stored %v\nrestored %v", progress, restored.Progress())
	}
	if got := restored.Tasks()[1]; got.Place() != testPlace || got.Checkpoint() != "checkpoint" || got.Attempt() != 1 {
		t.Errorf("restored %v %q %d", got.Place(), got.Checkpoint(), got.Attempt())
	}
	if got := restored.ReadyTasks(testNow); len(got) != 0 {
		t.Errorf("ready: %v", taskNames(got))
	}
}

// TestSlackRatio checks the ratio at different times after the submission.
func TestSlackRatio(t *testing.T) {
	j := newJob(nil) // a critical path of 1.5 s, an objective of 4 s
	tests := map[string]struct {
		after    time.Duration
		min, max float64
	}{
		"just submitted":         {0, 0.99, 1},
		"half of the slack used": {1250 * time.Millisecond, 0.45, 0.55},
		"no slack left":          {2500 * time.Millisecond, 0, 0.01},
		"past the objective":     {10 * time.Second, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := j.SlackRatio(testNow.Add(test.after)); got < test.min || got > test.max {
				t.Errorf("got %.2f", got)
			}
		})
	}
}

// TestSlackRatioOfScheduledRounds checks that the slack of a scheduled job is that of its first round that is
// not done, counted from when that round is due.
func TestSlackRatioOfScheduledRounds(t *testing.T) {
	j := newJob(func(submission *job.Submission) {
		submission.Rounds = 2
		submission.FirstDueMs = testNow.Add(10 * time.Second).UnixMilli()
		submission.IntervalMs = 20_000
	})
	if got := j.SlackRatio(testNow.Add(10 * time.Second)); got < 0.99 {
		t.Errorf("when the first round is due: %.2f", got)
	}
	if got := j.SlackRatio(testNow.Add(14 * time.Second)); got != 0 {
		t.Errorf("past the first round's objective: %.2f", got)
	}
	for _, task := range j.Tasks() {
		if task.Round() == 0 {
			runTask(j, task, job.EndDone, testNow.Add(14*time.Second))
		}
	}
	if got := j.SlackRatio(testNow.Add(30 * time.Second)); got < 0.99 {
		t.Errorf("when the second round is due: %.2f", got)
	}
}

// TestRebaseObjective checks that the age of a job, which comes from the clocks of two machines, is limited.
func TestRebaseObjective(t *testing.T) {
	tests := map[string]struct {
		submitted time.Duration // before now, by the clock of the other machine
		objective time.Duration // from now; the job is allowed 4 s
	}{
		"just submitted":        {100 * time.Millisecond, 3900 * time.Millisecond},
		"other clock is behind": {time.Minute, 2 * time.Second},
		"other clock is ahead":  {-time.Minute, 4 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			j := newJob(func(submission *job.Submission) { submission.SubmittedMs = testNow.Add(-test.submitted).UnixMilli() })
			j.RebaseObjective(testNow)
			if got := j.Objective().Sub(testNow); got != test.objective {
				t.Errorf("the objective is in %v", got)
			}
		})
	}
}

// TestParseTaskRef checks that task names are parsed and malformed ones are rejected.
func TestParseTaskRef(t *testing.T) {
	tests := map[string]struct {
		name    string
		want    job.TaskRef
		wantErr bool
	}{
		"valid":        {"0123456789abcdef.2.1.17", job.TaskRef{Job: "0123456789abcdef", Round: 2, Step: 1, Index: 17}, false},
		"missing part": {"0123456789abcdef.2.1", job.TaskRef{}, true},
		"not a number": {"0123456789abcdef.2.x.1", job.TaskRef{}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := job.ParseTaskRef(test.name)
			if got != test.want || (err != nil) != test.wantErr {
				t.Errorf("got %v, %v", got, err)
			}
		})
	}
}
