package session_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"ambertiller.example/ambertiller/api"
)

// TestWorkerThatFailsEveryStart: a worker that fails what it starts is left
// alone after three failures, however attractive the policy finds it.
func TestWorkerThatFailsEveryStart(t *testing.T) {
	made := newSession(t)
	made.kill("entry-2")
	made.pass(15 * time.Second)
	made.doQuiet("entry-1", http.MethodPut, "/v1/documents/policy-placement", `{"based_on":0,"content":"worker.name == 'worker-01' ? 1 : 0"}`)
	made.catchUp()
	made.workers["worker-01"].FailStarts(true)
	made.report(bothWorkers...)
	for number, attempts := range []uint64{2, 2, 2, 1, 1} {
		id := idOf(t, made.doQuiet("entry-1", http.MethodPost, "/v1/tasks", transcriptionBody, api.HeaderIdempotencyKey, fmt.Sprint(number)).Body.Bytes())
		made.finish()
		made.place("entry-1")
		made.place("entry-1")
		made.report(bothWorkers...)
		if task := made.task("entry-1", id); task.Worker != "worker-02" || task.Attempt != attempts {
			t.Errorf("task %d is %s on %q in attempt %d: %s", number, task.Phase, task.Worker, task.Attempt, task.Reason)
		}
	}
	// After a while it is tried again.
	made.workers["worker-01"].FailStarts(false)
	made.pass(time.Minute)
	made.report(bothWorkers...)
	id := idOf(t, made.doQuiet("entry-1", http.MethodPost, "/v1/tasks", transcriptionBody, api.HeaderIdempotencyKey, "later").Body.Bytes())
	made.place("entry-1")
	made.report(bothWorkers...)
	if task := made.task("entry-1", id); task.Worker != "worker-01" || task.Phase != "running" {
		t.Errorf("the task is %s on %q", task.Phase, task.Worker)
	}
}

// TestTaskThatNobodyStarts: a task that five starts failed is failed, and does
// not go round for ever.
func TestTaskThatNobodyStarts(t *testing.T) {
	made := newSession(t)
	for _, name := range bothWorkers {
		made.workers[name].FailStarts(true)
	}
	id := idOf(t, made.doQuiet("entry-1", http.MethodPost, "/v1/tasks", transcriptionBody, api.HeaderIdempotencyKey, "t-1").Body.Bytes())
	for range 20 {
		made.place(bothEntries...)
		made.pass(20 * time.Second)
		made.report(bothWorkers...)
		made.clean()
	}
	if task := made.task("entry-1", id); task.Phase != "failed" || task.Attempt != 5 {
		t.Errorf("the task is %s after attempt %d: %s", task.Phase, task.Attempt, task.Reason)
	}
}
