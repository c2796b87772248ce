package session_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"ambertiller.example/ambertiller/api"
)

// TestWorkerFailingStartsIsAvoided checks that no task is placed on a worker after three failed starts, even
// if the policy prefers that worker, and that the worker is tried again after a minute.
func TestWorkerFailingStartsIsAvoided(t *testing.T) {
	h := newSession(t)
	h.kill("entry-2")
	h.advance(15 * time.Second)
	h.doRequest("entry-1", http.MethodPut, "/v1/documents/policy-placement", `{"based_on":0,"content":"worker.name == 'worker-01' ? 1 : 0"}`)
	h.catchUp()
	h.workers["worker-01"].FailStarts(true)
	h.report(workerNames...)
	for number, attempts := range []uint64{2, 2, 2, 1, 1} {
		id := parseTaskID(t, h.doRequest("entry-1", http.MethodPost, "/v1/tasks", transcriptionBody, api.HeaderIdempotencyKey, fmt.Sprint(number)).Body.Bytes())
		h.waitBackground()
		h.placePending("entry-1")
		h.placePending("entry-1")
		h.report(workerNames...)
		if task := h.task("entry-1", id); task.Worker != "worker-02" || task.Attempt != attempts {
			t.Errorf("task %d: got %s on %q in attempt %d: %s", number, task.Phase, task.Worker, task.Attempt, task.Reason)
		}
	}
	// The worker is tried again after a minute.
	h.workers["worker-01"].FailStarts(false)
	h.advance(time.Minute)
	h.report(workerNames...)
	id := parseTaskID(t, h.doRequest("entry-1", http.MethodPost, "/v1/tasks", transcriptionBody, api.HeaderIdempotencyKey, "later").Body.Bytes())
	h.placePending("entry-1")
	h.report(workerNames...)
	if task := h.task("entry-1", id); task.Worker != "worker-01" || task.Phase != "running" {
		t.Errorf("got task %s on %q, want running on worker-01", task.Phase, task.Worker)
	}
}

// TestTaskFailsAfterMaxStartFailures checks that a task fails after five failed starts, instead of being
// reassigned for ever.
func TestTaskFailsAfterMaxStartFailures(t *testing.T) {
	h := newSession(t)
	for _, name := range workerNames {
		h.workers[name].FailStarts(true)
	}
	id := parseTaskID(t, h.doRequest("entry-1", http.MethodPost, "/v1/tasks", transcriptionBody, api.HeaderIdempotencyKey, "t-1").Body.Bytes())
	for range 20 {
		h.placePending(entryNames...)
		h.advance(20 * time.Second)
		h.report(workerNames...)
		h.runMaintenance()
	}
	if task := h.task("entry-1", id); task.Phase != "failed" || task.Attempt != 5 {
		t.Errorf("got task %s after attempt %d, want failed after attempt 5: %s", task.Phase, task.Attempt, task.Reason)
	}
}
