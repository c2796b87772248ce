package job_test

import (
	"cmp"
	"testing"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/job"
)

// TestRepeatedCrashesFailTask: a task is given up that brings down worker after worker, and no other one: not
// a chance victim, whose runs go on elsewhere, nor for what is told twice.
func TestRepeatedCrashesFailTask(t *testing.T) {
	type end struct {
		attempt  int32
		reason   job.EndReason // EndCrashed where none is given
		outlived bool
		rereads  bool // another owner takes the shard over before
	}
	tests := map[string]struct {
		ends    []end
		lasting bool
		crashes int
		want    job.State
	}{
		"once":        {[]end{{attempt: 1}}, false, 1, job.State_STATE_RUNNING},
		"twice":       {[]end{{attempt: 1}, {attempt: 2}}, false, 2, job.State_STATE_RUNNING},
		"three times": {[]end{{attempt: 1}, {attempt: 2}, {attempt: 3}}, false, 3, job.State_STATE_FAILED},
		"lost in between, without having outlived the start": {
			[]end{{attempt: 1}, {attempt: 2}, {attempt: 3, reason: job.EndInterrupted}, {attempt: 4}}, false, 3, job.State_STATE_FAILED},
		"outlived the start in between": {
			[]end{{attempt: 1}, {attempt: 2}, {attempt: 3, reason: job.EndInterrupted, outlived: true}, {attempt: 4}}, false, 1, job.State_STATE_RUNNING},
		"told twice": {[]end{{attempt: 1}, {attempt: 2}, {attempt: 2}, {attempt: 1}}, false, 2, job.State_STATE_RUNNING},
		"told again after it outlived a later start": {
			[]end{{attempt: 1}, {attempt: 2}, {attempt: 3, reason: job.EndInterrupted, outlived: true},
				{attempt: 1}, {attempt: 2}, {attempt: 4}, {attempt: 5}}, false, 2, job.State_STATE_RUNNING},
		"told after other starts": {
			[]end{{attempt: 1, reason: job.EndInterrupted}, {attempt: 2, reason: job.EndInterrupted}, {attempt: 3}, {attempt: 1}, {attempt: 2}}, false, 3, job.State_STATE_FAILED},
		"with another owner each time": {
			[]end{{attempt: 1, rereads: true}, {attempt: 2, rereads: true}, {attempt: 3, rereads: true}}, false, 3, job.State_STATE_FAILED},
		"outlived with one owner, crashed with another": {
			[]end{{attempt: 1}, {attempt: 2}, {attempt: 3, reason: job.EndInterrupted, outlived: true}, {attempt: 4, rereads: true}}, false, 1, job.State_STATE_RUNNING},
		"beside a suspect each time": {
			[]end{{attempt: 1, reason: job.EndCrashedBesideSuspect}, {attempt: 2, reason: job.EndCrashedBesideSuspect}, {attempt: 3, reason: job.EndCrashedBesideSuspect},
				{attempt: 4, reason: job.EndCrashedBesideSuspect}}, false, 0, job.State_STATE_RUNNING},
		"beside a suspect once too often": {
			[]end{{attempt: 1, reason: job.EndCrashedBesideSuspect}, {attempt: 2, reason: job.EndCrashedBesideSuspect}, {attempt: 3, reason: job.EndCrashedBesideSuspect},
				{attempt: 4, reason: job.EndCrashedBesideSuspect, rereads: true}, {attempt: 5}}, false, 1, job.State_STATE_FAILED},
		"beside a suspect, then alone": {
			[]end{{attempt: 1, reason: job.EndCrashedBesideSuspect}, {attempt: 2}, {attempt: 3}}, false, 2, job.State_STATE_RUNNING},
		"beside a suspect, outlived the start later": {
			[]end{{attempt: 1, reason: job.EndCrashedBesideSuspect}, {attempt: 2, reason: job.EndInterrupted, outlived: true},
				{attempt: 3}, {attempt: 4}}, false, 2, job.State_STATE_RUNNING},
		"a task that lasts": {[]end{{attempt: 1}, {attempt: 2}, {attempt: 3}}, true, 3, job.State_STATE_FAILED},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			change := func(submission *job.Submission) { submission.Steps[0].Lasting = test.lasting }
			of := newJob(change)
			for _, ended := range test.ends {
				task := of.Tasks()[0]
				if task.Attempt() < ended.attempt {
					of.StartRun(task, testPlace, testNow)
				}
				if ended.rereads {
					kept := proto.Clone(of.Progress()).(*job.Progress)
					of = newJob(change)
					of.Restore(kept, testNow)
					task = of.Tasks()[0]
				}
				if ended.outlived {
					task.MarkSurvivedStart(ended.attempt)
				}
				of.EndRun(task, ended.attempt, cmp.Or(ended.reason, job.EndCrashed), "", testNow)
			}
			if got := of.Tasks()[0].Crashes(); got != test.crashes {
				t.Errorf("%d crashes count", got)
			}
			if of.State() != test.want {
				t.Errorf("state %v", of.State())
			}
		})
	}
}

// TestCrashRequeuesTask: a crash is also the end of its run, once, and the late word of an
// earlier one leaves the present run alone.
func TestCrashRequeuesTask(t *testing.T) {
	of := newJob(nil)
	task := of.Tasks()[0]
	of.StartRun(task, testPlace, testNow)
	if !of.EndRun(task, 1, job.EndCrashed, "", testNow) || task.State() != job.TaskState_TASK_WAITING {
		t.Fatalf("after its worker crashed the task is %v", task.State())
	}
	of.StartRun(task, testPlace, testNow)
	if of.EndRun(task, 1, job.EndCrashed, "", testNow) || task.State() != job.TaskState_TASK_STARTED {
		t.Errorf("told again, the task is %v", task.State())
	}
}
