package session_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"ambertiller.example/ambertiller/api"
)

// TestWorkerFailingStartsIsAvoided: a worker that fails what it starts is left
// alone after three failures, however attractive the policy finds it.
func TestWorkerFailingStartsIsAvoided(t *testing.T) {
	made := newSession(t)
	made.kill("entry-2")
	made.advance(15 * time.Second)
	made.doRequest("entry-1", http.MethodPut, "/v1/documents/policy-placement", `{"based_on":0,"content":"worker.name == 'worker-01' ? 1 : 0"}`)
	made.catchUp()
	made.workers["worker-01"].FailStarts(true)
	made.report(workerNames...)
	for number, attempts := range []uint64{2, 2, 2, 1, 1} {
		id := parseTaskID(t, made.doRequest("entry-1", http.MethodPost, "/v1/tasks", transcriptionBody, api.HeaderIdempotencyKey, fmt.Sprint(number)).Body.Bytes())
		made.waitBackground()
		made.placePending("entry-1")
		made.placePending("entry-1")
		made.report(workerNames...)
		if task := made.task("entry-1", id); task.Worker != "worker-02" || task.Attempt != attempts {
			t.Errorf("task %d is %s on %q in attempt %d: %s", number, task.Phase, task.Worker, task.Attempt, task.Reason)
		}
	}
	// After a while it is tried again.
	made.workers["worker-01"].FailStarts(false)
	made.advance(time.Minute)
	made.report(workerNames...)
	id := parseTaskID(t, made.doRequest("entry-1", http.MethodPost, "/v1/tasks", transcriptionBody, api.HeaderIdempotencyKey, "later").Body.Bytes())
	made.placePending("entry-1")
	made.report(workerNames...)
	if task := made.task("entry-1", id); task.Worker != "worker-01" || task.Phase != "running" {
		t.Errorf("the task is %s on %q", task.Phase, task.Worker)
	}
}

// TestTaskFailsAfterMaxStartFailures: a task that five starts failed is failed, and does
// not go round for ever.
func TestTaskFailsAfterMaxStartFailures(t *testing.T) {
	made := newSession(t)
	for _, name := range workerNames {
		made.workers[name].FailStarts(true)
	}
	id := parseTaskID(t, made.doRequest("entry-1", http.MethodPost, "/v1/tasks", transcriptionBody, api.HeaderIdempotencyKey, "t-1").Body.Bytes())
	for range 20 {
		made.placePending(entryNames...)
		made.advance(20 * time.Second)
		made.report(workerNames...)
		made.runMaintenance()
	}
	if task := made.task("entry-1", id); task.Phase != "failed" || task.Attempt != 5 {
		t.Errorf("the task is %s after attempt %d: %s", task.Phase, task.Attempt, task.Reason)
	}
}
