package session_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"ambertiller.example/ambertiller/api"
)

// newSession returns a harness with two entries and two workers that run with Verbalia's configuration.
func newSession(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	h.startAll()
	return h
}

// startAll starts two entries and two workers, and publishes the example configuration.
func (h *harness) startAll() {
	h.t.Helper()
	h.transcript.addHeading("start")
	h.addEntry("entry-1", "milano-a")
	h.addEntry("entry-2", "milano-b")
	h.publishExampleConfig("entry-1")
	h.addWorker("worker-01", "milano-a")
	h.addWorker("worker-02", "milano-b")
	h.report("worker-01", "worker-02")
	h.syncPeers()
}

// assertGolden compares the transcript with a golden file.
func (h *harness) assertGolden(name string) {
	h.t.Helper()
	goldie.New(h.t, goldie.WithFixtureDir("testdata"), goldie.WithDiffEngine(goldie.ColoredDiff)).Assert(h.t, name, []byte(h.transcript.text()))
}

func parseTaskID(t *testing.T, body []byte) string {
	t.Helper()
	var task api.Task
	if err := json.Unmarshal(body, &task); err != nil {
		t.Fatalf("decode task: %v: %s", err, body)
	}
	return task.ID
}

const transcriptionBody = `{"team":"councils","kind":"transcription","processors":4,"memory":"8GiB","run_time":"2s","input":"seduta 12"}`

// TestCallerSession records the requests of a clerk and a caller: a snippet, a request that is not repeatable
// and is sent to both entries, invalid requests, and a transcription from submission to result.
func TestCallerSession(t *testing.T) {
	h := newSession(t)
	h.transcript.addHeading("a snippet is corrected")
	h.doRecorded("entry-1", http.MethodPost, "/v1/services/verbale/snippets", "la seduta", api.HeaderRequestID, "r-1")
	h.transcript.addHeading("a request that must not be repeated runs once, whichever entry it comes to")
	h.doRecorded("entry-1", http.MethodPost, "/v1/services/verbale/bill", "x", api.HeaderRepeatable, "false", api.HeaderIdempotencyKey, "bill-7", api.HeaderRequestID, "r-2")
	h.waitBackground()
	h.doRecorded("entry-2", http.MethodPost, "/v1/services/verbale/bill", "x", api.HeaderRepeatable, "false", api.HeaderIdempotencyKey, "bill-7", api.HeaderRequestID, "r-3")
	h.transcript.addHeading("mistakes get a clear answer")
	h.doRecorded("entry-1", http.MethodPost, "/v1/services/nowhere/snippets", "x", api.HeaderRequestID, "r-4")
	h.doRecorded("entry-1", http.MethodPost, "/v1/services/verbale/snippets", "x", api.HeaderTimeout, "-2s", api.HeaderRequestID, "r-5")
	h.doRecorded("entry-1", http.MethodPost, "/v1/services/verbale/snippets", "x", api.HeaderRepeatable, "perhaps", api.HeaderRequestID, "r-6")
	h.doRecorded("entry-1", http.MethodPost, "/v1/tasks", `{"team":"councils","kind":"transcription","colour":"red"}`)
	h.doRecorded("entry-1", http.MethodPost, "/v1/tasks", `{"team":"nobody","kind":"correction","processors":-1,"run_time":"-3s","memory":"much"}`)
	h.doRecorded("entry-1", http.MethodPost, "/v1/tasks", `{"team":"councils","kind":"transcription","processors":200}`)
	h.doRecorded("entry-1", http.MethodPost, "/v1/tasks", `{"team":"meetings","kind":"transcription","processors":40}`)
	h.doRecorded("entry-1", http.MethodPut, "/v1/tasks", `{}`)
	h.doRecorded("entry-1", http.MethodGet, "/v1/nothing", "")
	h.transcript.addHeading("a transcription is submitted twice with one key")
	first := h.doRecorded("entry-1", http.MethodPost, "/v1/tasks", transcriptionBody, api.HeaderIdempotencyKey, "council-12")
	id := parseTaskID(t, first.Body.Bytes())
	h.catchUp()
	h.doRecorded("entry-2", http.MethodPost, "/v1/tasks", transcriptionBody, api.HeaderIdempotencyKey, "council-12")
	h.doRecorded("entry-2", http.MethodGet, "/v1/tasks/"+id+"/result", "")
	h.transcript.addHeading("it is placed and runs")
	h.placePending("entry-1", "entry-2")
	h.report("worker-01", "worker-02")
	h.doRecorded("entry-2", http.MethodGet, "/v1/tasks/"+id, "")
	h.transcript.addHeading("it finishes")
	h.advance(3 * time.Second)
	h.report("worker-01", "worker-02")
	h.doRecorded("entry-2", http.MethodGet, "/v1/tasks/"+id+"/result", "")
	h.assertGolden("caller")
}

// TestOperatorSession records the requests of an operator: two concurrent updates of a policy, invalid
// documents, a task placed by the policy, the explanation for a task that waits, and a drain of a worker.
func TestOperatorSession(t *testing.T) {
	h := newSession(t)
	h.transcript.addHeading("two operators publish from the same version; one loses cleanly")
	h.doRecorded("entry-1", http.MethodPut, "/v1/documents/policy-placement", `{"based_on":0,"author":"anna","content":"worker.name == 'worker-01' ? 1 : 0"}`)
	h.catchUp()
	h.doRecorded("entry-2", http.MethodPut, "/v1/documents/policy-placement", `{"based_on":0,"author":"bruno","content":"worker.free_memory"}`)
	h.transcript.addHeading("a policy with a mistake is not accepted")
	h.doRecorded("entry-1", http.MethodPost, "/v1/documents/policy-placement/check", `{"content":"worker.nam"}`)
	h.doRecorded("entry-1", http.MethodPut, "/v1/documents/policy-placement", `{"based_on":1,"content":"worker.nam"}`)
	h.transcript.addHeading("a configuration with faults names each with its place")
	h.doRecorded("entry-1", http.MethodPost, "/v1/documents/config/check", `{"content":"kinds:\n  fast:\n    class: quick\n    priority: 5000\nservices:\n  desk:\n    kind: slow\nteams:\n  a:\n    share: 1\n"}`)
	h.transcript.addHeading("a task is placed by the policy")
	id := parseTaskID(t, h.doRecorded("entry-1", http.MethodPost, "/v1/tasks", transcriptionBody, api.HeaderIdempotencyKey, "t-1").Body.Bytes())
	h.placePending("entry-1", "entry-2")
	h.report("worker-01", "worker-02")
	h.doRecorded("entry-1", http.MethodGet, "/v1/tasks/"+id+"/explain", "")
	h.transcript.addHeading("another one waits; explain says for what")
	waiting := parseTaskID(t, h.doRecorded("entry-1", http.MethodPost, "/v1/tasks", `{"team":"councils","kind":"transcription","processors":2,"accelerators":1,"failure_domain":"milano-a"}`, api.HeaderIdempotencyKey, "t-2").Body.Bytes())
	h.placePending("entry-1", "entry-2")
	second := parseTaskID(t, h.doRecorded("entry-1", http.MethodPost, "/v1/tasks", `{"team":"councils","kind":"transcription","processors":2,"accelerators":1,"failure_domain":"milano-a"}`, api.HeaderIdempotencyKey, "t-3").Body.Bytes())
	h.placePending("entry-1", "entry-2")
	h.doRecorded("entry-1", http.MethodGet, "/v1/tasks/"+second+"/explain", "")
	h.transcript.addHeading("the worker is drained; what it runs goes on elsewhere from its checkpoint")
	h.doRecorded("entry-2", http.MethodPut, "/v1/workers/worker-01/drain", `{"draining":true,"author":"anna"}`)
	h.catchUp()
	h.report("worker-01", "worker-02")
	h.advance(time.Second)
	h.advance(time.Second)
	h.report("worker-01", "worker-02")
	h.placePending("entry-1", "entry-2")
	h.report("worker-01", "worker-02")
	h.doRecorded("entry-1", http.MethodGet, "/v1/tasks/"+id, "")
	h.doRecorded("entry-1", http.MethodGet, "/v1/tasks/"+waiting+"/explain", "")
	h.doRecorded("entry-1", http.MethodGet, "/v1/workers", "")
	h.doRecorded("entry-1", http.MethodGet, "/v1/in-force", "")
	h.assertGolden("operator")
}

// TestFailureSession records an outage of the log, followed by the crash of a guard and of an entry.
func TestFailureSession(t *testing.T) {
	h := newSession(t)
	id := parseTaskID(t, h.doRecorded("entry-1", http.MethodPost, "/v1/tasks", `{"team":"councils","kind":"transcription","processors":4,"run_time":"1h","input":"seduta 13"}`, api.HeaderIdempotencyKey, "t-1").Body.Bytes())
	h.placePending("entry-1", "entry-2")
	h.report("worker-01", "worker-02")
	h.transcript.addHeading("the log goes down: repeatable requests are served, others are not run, work goes on")
	h.log.SetDown(true)
	h.advance(10 * time.Second)
	h.doRecorded("entry-1", http.MethodPost, "/v1/services/verbale/snippets", "la seduta", api.HeaderRequestID, "r-1")
	h.doRecorded("entry-1", http.MethodPost, "/v1/services/verbale/bill", "x", api.HeaderRepeatable, "false", api.HeaderIdempotencyKey, "bill-7", api.HeaderRequestID, "r-2")
	h.doRecorded("entry-1", http.MethodPost, "/v1/tasks", transcriptionBody, api.HeaderIdempotencyKey, "t-2")
	h.doRecorded("entry-1", http.MethodPut, "/v1/documents/policy-placement", `{"based_on":0,"content":"1"}`)
	h.doRecorded("entry-1", http.MethodGet, "/readyz", "")
	h.log.SetDown(false)
	h.advance(3 * time.Second)
	h.doRecorded("entry-1", http.MethodGet, "/readyz", "")
	h.doRecorded("entry-1", http.MethodGet, "/v1/tasks/"+id, "")
	h.transcript.addHeading("the guard of its worker dies; a new one adopts what runs")
	holder := h.task("entry-1", id).Worker
	h.kill(holder)
	h.startGuard(holder, "milano-a")
	h.report("worker-01", "worker-02")
	h.doRecorded("entry-1", http.MethodGet, "/v1/tasks/"+id, "")
	h.transcript.addHeading("an entry dies; a new one with empty memory knows the task")
	h.kill("entry-1")
	h.startEntry("entry-1", "milano-a")
	h.report("worker-01", "worker-02")
	h.doRecorded("entry-1", http.MethodGet, "/v1/tasks/"+id, "")
	h.assertGolden("failure")
}
