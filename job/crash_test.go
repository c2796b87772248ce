package job_test

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/job"
)

// TestRepeatedCrashesFailTask checks that a task fails that crashes one worker after another, and that others
// don't: not a task that was on crashed workers by chance and whose runs survive their start elsewhere,
// not because a crash is reported more than once, and not a task whose only worker crashes by itself.
func TestRepeatedCrashesFailTask(t *testing.T) {
	type end struct {
		attempt      int32
		reason       job.EndReason // EndCrashed where none is given
		survived     bool          // the run survived its start
		changesOwner bool          // another owner takes over the shard before the end
	}
	tests := map[string]struct {
		ends        []end
		longRunning bool
		oneMachine  bool // the runs are all on the same machine rather than on different ones
		crashes     int
		want        job.State
	}{
		"once":        {[]end{{attempt: 1}}, false, false, 1, job.State_STATE_RUNNING},
		"twice":       {[]end{{attempt: 1}, {attempt: 2}}, false, false, 2, job.State_STATE_RUNNING},
		"three times": {[]end{{attempt: 1}, {attempt: 2}, {attempt: 3}}, false, false, 3, job.State_STATE_FAILED},
		"lost in between without having survived the start": {
			[]end{{attempt: 1}, {attempt: 2}, {attempt: 3, reason: job.EndInterrupted}, {attempt: 4}}, false, false, 3, job.State_STATE_FAILED},
		"survived the start in between": {
			[]end{{attempt: 1}, {attempt: 2}, {attempt: 3, reason: job.EndInterrupted, survived: true}, {attempt: 4}}, false, false, 1, job.State_STATE_RUNNING},
		"reported twice": {[]end{{attempt: 1}, {attempt: 2}, {attempt: 2}, {attempt: 1}}, false, false, 2, job.State_STATE_RUNNING},
		"reported again after a later run survived its start": {
			[]end{{attempt: 1}, {attempt: 2}, {attempt: 3, reason: job.EndInterrupted, survived: true},
				{attempt: 1}, {attempt: 2}, {attempt: 4}, {attempt: 5}}, false, false, 2, job.State_STATE_RUNNING},
		"reported after later starts": {
			[]end{{attempt: 1, reason: job.EndInterrupted}, {attempt: 2, reason: job.EndInterrupted}, {attempt: 3}, {attempt: 1}, {attempt: 2}}, false, false, 3, job.State_STATE_FAILED},
		"other owner each time": {
			[]end{{attempt: 1, changesOwner: true}, {attempt: 2, changesOwner: true}, {attempt: 3, changesOwner: true}}, false, false, 3, job.State_STATE_FAILED},
		"survived with one owner, crashed with another": {
			[]end{{attempt: 1}, {attempt: 2}, {attempt: 3, reason: job.EndInterrupted, survived: true}, {attempt: 4, changesOwner: true}}, false, false, 1, job.State_STATE_RUNNING},
		"beside a suspect each time": {
			[]end{{attempt: 1, reason: job.EndCrashedBesideSuspect}, {attempt: 2, reason: job.EndCrashedBesideSuspect}, {attempt: 3, reason: job.EndCrashedBesideSuspect},
				{attempt: 4, reason: job.EndCrashedBesideSuspect}}, false, false, 0, job.State_STATE_RUNNING},
		"beside a suspect, beyond the limit": {
			[]end{{attempt: 1, reason: job.EndCrashedBesideSuspect}, {attempt: 2, reason: job.EndCrashedBesideSuspect}, {attempt: 3, reason: job.EndCrashedBesideSuspect},
				{attempt: 4, reason: job.EndCrashedBesideSuspect, changesOwner: true}, {attempt: 5}}, false, false, 1, job.State_STATE_FAILED},
		"beside a suspect, then alone": {
			[]end{{attempt: 1, reason: job.EndCrashedBesideSuspect}, {attempt: 2}, {attempt: 3}}, false, false, 2, job.State_STATE_RUNNING},
		"beside a suspect, survived the start later": {
			[]end{{attempt: 1, reason: job.EndCrashedBesideSuspect}, {attempt: 2, reason: job.EndInterrupted, survived: true},
				{attempt: 3}, {attempt: 4}}, false, false, 2, job.State_STATE_RUNNING},
		"long-running task": {[]end{{attempt: 1}, {attempt: 2}, {attempt: 3}}, true, false, 3, job.State_STATE_FAILED},
		"three times at one machine": {
			[]end{{attempt: 1}, {attempt: 2}, {attempt: 3}}, false, true, 3, job.State_STATE_RUNNING},
		"at one machine, other owner each time": {
			[]end{{attempt: 1, changesOwner: true}, {attempt: 2, changesOwner: true}, {attempt: 3, changesOwner: true}}, false, true, 3, job.State_STATE_RUNNING},
		"at one machine, beyond the limit for ambiguous crashes": {
			[]end{{attempt: 1}, {attempt: 2}, {attempt: 3, reason: job.EndCrashedBesideSuspect}, {attempt: 4, reason: job.EndCrashedBesideSuspect}, {attempt: 5}, {attempt: 6}},
			false, true, 4, job.State_STATE_RUNNING},
		"at one machine, long-running task": {[]end{{attempt: 1}, {attempt: 2}, {attempt: 3}}, true, true, 3, job.State_STATE_RUNNING},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			change := func(submission *job.Submission) { submission.Steps[0].Lasting = test.longRunning }
			j := newJob(change)
			for _, ended := range test.ends {
				task := j.Tasks()[0]
				if task.Attempt() < ended.attempt {
					place := testPlace
					if !test.oneMachine {
						place.AgentAddress = fmt.Sprintf("10.0.0.%d:7001", ended.attempt)
					}
					j.StartRun(task, place, testNow)
				}
				if ended.changesOwner {
					progress := proto.Clone(j.Progress()).(*job.Progress)
					j = newJob(change)
					j.Restore(progress, testNow)
					task = j.Tasks()[0]
				}
				if ended.survived {
					task.MarkSurvivedStart(ended.attempt)
				}
				j.EndRun(task, ended.attempt, cmp.Or(ended.reason, job.EndCrashed), "", testNow)
			}
			if got := j.Tasks()[0].Crashes(); got != test.crashes {
				t.Errorf("Crashes() = %d", got)
			}
			if j.State() != test.want {
				t.Errorf("job state %v", j.State())
			}
		})
	}
}

// TestCrashRequeuesTask checks that a crash ends its run, and that a late report of the same crash doesn't
// affect the next run.
func TestCrashRequeuesTask(t *testing.T) {
	j := newJob(nil)
	task := j.Tasks()[0]
	j.StartRun(task, testPlace, testNow)
	if !j.EndRun(task, 1, job.EndCrashed, "", testNow) || task.State() != job.TaskState_TASK_WAITING {
		t.Fatalf("task is %v after its worker crashed", task.State())
	}
	j.StartRun(task, testPlace, testNow)
	if j.EndRun(task, 1, job.EndCrashed, "", testNow) || task.State() != job.TaskState_TASK_STARTED {
		t.Errorf("task is %v after the crash was reported again", task.State())
	}
}

// TestCrashesWithoutMachinesFailTask checks that crashes in a record of an earlier build, which doesn't tell their
// machines, count as before.
func TestCrashesWithoutMachinesFailTask(t *testing.T) {
	j := newJob(nil)
	task := j.Tasks()[0]
	for attempt := int32(1); attempt < 3; attempt++ {
		j.StartRun(task, testPlace, testNow)
		j.EndRun(task, attempt, job.EndCrashed, "", testNow)
	}
	j.StartRun(task, testPlace, testNow)
	progress := j.Progress()
	progress.Tasks[0].CrashedAt = nil
	restored := newJob(nil)
	restored.Restore(progress, testNow)
	restored.EndRun(restored.Tasks()[0], 3, job.EndCrashed, "", testNow)
	if restored.State() != job.State_STATE_FAILED {
		t.Errorf("job state %v", restored.State())
	}
}

// TestCrashesAtOneMachineAreSpaced checks the delays between the starts of a task that may crash its only worker: each
// start may cost all that this worker runs.
func TestCrashesAtOneMachineAreSpaced(t *testing.T) {
	j := newJob(nil)
	task := j.Tasks()[0]
	for number, want := range []time.Duration{50 * time.Millisecond, 50 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		j.StartRun(task, testPlace, testNow)
		j.EndRun(task, task.Attempt(), job.EndCrashed, "", testNow)
		if j.IsReady(task, testNow.Add(want-time.Millisecond)) || !j.IsReady(task, testNow.Add(want)) {
			t.Errorf("after %d crashes, the task is not started again after %v", number+1, want)
		}
	}
}
