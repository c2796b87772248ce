package session_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"ambertiller.example/ambertiller/api"
)

// newSession returns a bench with two entries and two workers that decide by
// Verbalia's configuration.
func newSession(t *testing.T) *harness {
	t.Helper()
	made := newHarness(t)
	made.startAll()
	return made
}

// startAll starts two entries and two workers.
func (made *harness) startAll() {
	made.t.Helper()
	made.transcript.addHeading("start")
	made.addEntry("entry-1", "milano-a")
	made.addEntry("entry-2", "milano-b")
	made.publishExampleConfig("entry-1")
	made.addWorker("worker-01", "milano-a")
	made.addWorker("worker-02", "milano-b")
	made.report("worker-01", "worker-02")
	made.syncPeers()
}

func (made *harness) assertGolden(name string) {
	made.t.Helper()
	goldie.New(made.t, goldie.WithFixtureDir("testdata"), goldie.WithDiffEngine(goldie.ColoredDiff)).Assert(made.t, name, []byte(made.transcript.text()))
}

func parseTaskID(t *testing.T, body []byte) string {
	t.Helper()
	var task api.Task
	if err := json.Unmarshal(body, &task); err != nil {
		t.Fatalf("%v in %s", err, body)
	}
	return task.ID
}

const transcriptionBody = `{"team":"councils","kind":"transcription","processors":4,"memory":"8GiB","run_time":"2s","input":"seduta 12"}`

// TestCallerSession is a clerk's and a caller's day: snippets, a request that
// must not be repeated, a transcription, and mistakes.
func TestCallerSession(t *testing.T) {
	made := newSession(t)
	made.transcript.addHeading("a snippet is corrected")
	made.doRecorded("entry-1", http.MethodPost, "/v1/services/verbale/snippets", "la seduta", api.HeaderRequestID, "r-1")
	made.transcript.addHeading("a request that must not be repeated runs once, whichever entry it comes to")
	made.doRecorded("entry-1", http.MethodPost, "/v1/services/verbale/bill", "x", api.HeaderRepeatable, "false", api.HeaderIdempotencyKey, "bill-7", api.HeaderRequestID, "r-2")
	made.waitBackground()
	made.doRecorded("entry-2", http.MethodPost, "/v1/services/verbale/bill", "x", api.HeaderRepeatable, "false", api.HeaderIdempotencyKey, "bill-7", api.HeaderRequestID, "r-3")
	made.transcript.addHeading("mistakes get a clear answer")
	made.doRecorded("entry-1", http.MethodPost, "/v1/services/nowhere/snippets", "x", api.HeaderRequestID, "r-4")
	made.doRecorded("entry-1", http.MethodPost, "/v1/services/verbale/snippets", "x", api.HeaderTimeout, "-2s", api.HeaderRequestID, "r-5")
	made.doRecorded("entry-1", http.MethodPost, "/v1/services/verbale/snippets", "x", api.HeaderRepeatable, "perhaps", api.HeaderRequestID, "r-6")
	made.doRecorded("entry-1", http.MethodPost, "/v1/tasks", `{"team":"councils","kind":"transcription","colour":"red"}`)
	made.doRecorded("entry-1", http.MethodPost, "/v1/tasks", `{"team":"nobody","kind":"correction","processors":-1,"run_time":"-3s","memory":"much"}`)
	made.doRecorded("entry-1", http.MethodPost, "/v1/tasks", `{"team":"councils","kind":"transcription","processors":200}`)
	made.doRecorded("entry-1", http.MethodPost, "/v1/tasks", `{"team":"meetings","kind":"transcription","processors":40}`)
	made.doRecorded("entry-1", http.MethodPut, "/v1/tasks", `{}`)
	made.doRecorded("entry-1", http.MethodGet, "/v1/nothing", "")
	made.transcript.addHeading("a transcription is submitted twice with one key")
	first := made.doRecorded("entry-1", http.MethodPost, "/v1/tasks", transcriptionBody, api.HeaderIdempotencyKey, "council-12")
	id := parseTaskID(t, first.Body.Bytes())
	made.catchUp()
	made.doRecorded("entry-2", http.MethodPost, "/v1/tasks", transcriptionBody, api.HeaderIdempotencyKey, "council-12")
	made.doRecorded("entry-2", http.MethodGet, "/v1/tasks/"+id+"/result", "")
	made.transcript.addHeading("it is placed and runs")
	made.placePending("entry-1", "entry-2")
	made.report("worker-01", "worker-02")
	made.doRecorded("entry-2", http.MethodGet, "/v1/tasks/"+id, "")
	made.transcript.addHeading("it finishes")
	made.advance(3 * time.Second)
	made.report("worker-01", "worker-02")
	made.doRecorded("entry-2", http.MethodGet, "/v1/tasks/"+id+"/result", "")
	made.assertGolden("caller")
}

// TestOperatorSession is an operator's day: a race for the configuration, a
// policy, a task that waits and why, a drain.
func TestOperatorSession(t *testing.T) {
	made := newSession(t)
	made.transcript.addHeading("two operators publish from the same version; one loses cleanly")
	made.doRecorded("entry-1", http.MethodPut, "/v1/documents/policy-placement", `{"based_on":0,"author":"anna","content":"worker.name == 'worker-01' ? 1 : 0"}`)
	made.catchUp()
	made.doRecorded("entry-2", http.MethodPut, "/v1/documents/policy-placement", `{"based_on":0,"author":"bruno","content":"worker.free_memory"}`)
	made.transcript.addHeading("a policy with a mistake is not accepted")
	made.doRecorded("entry-1", http.MethodPost, "/v1/documents/policy-placement/check", `{"content":"worker.nam"}`)
	made.doRecorded("entry-1", http.MethodPut, "/v1/documents/policy-placement", `{"based_on":1,"content":"worker.nam"}`)
	made.transcript.addHeading("a configuration with faults names each with its place")
	made.doRecorded("entry-1", http.MethodPost, "/v1/documents/config/check", `{"content":"kinds:\n  fast:\n    class: quick\n    priority: 5000\nservices:\n  desk:\n    kind: slow\nteams:\n  a:\n    share: 1\n"}`)
	made.transcript.addHeading("a task is placed by the policy")
	id := parseTaskID(t, made.doRecorded("entry-1", http.MethodPost, "/v1/tasks", transcriptionBody, api.HeaderIdempotencyKey, "t-1").Body.Bytes())
	made.placePending("entry-1", "entry-2")
	made.report("worker-01", "worker-02")
	made.doRecorded("entry-1", http.MethodGet, "/v1/tasks/"+id+"/explain", "")
	made.transcript.addHeading("another one waits; explain says for what")
	waiting := parseTaskID(t, made.doRecorded("entry-1", http.MethodPost, "/v1/tasks", `{"team":"councils","kind":"transcription","processors":2,"accelerators":1,"failure_domain":"milano-a"}`, api.HeaderIdempotencyKey, "t-2").Body.Bytes())
	made.placePending("entry-1", "entry-2")
	second := parseTaskID(t, made.doRecorded("entry-1", http.MethodPost, "/v1/tasks", `{"team":"councils","kind":"transcription","processors":2,"accelerators":1,"failure_domain":"milano-a"}`, api.HeaderIdempotencyKey, "t-3").Body.Bytes())
	made.placePending("entry-1", "entry-2")
	made.doRecorded("entry-1", http.MethodGet, "/v1/tasks/"+second+"/explain", "")
	made.transcript.addHeading("the worker is drained; what it runs goes on elsewhere from its checkpoint")
	made.doRecorded("entry-2", http.MethodPut, "/v1/workers/worker-01/drain", `{"draining":true,"author":"anna"}`)
	made.catchUp()
	made.report("worker-01", "worker-02")
	made.advance(time.Second)
	made.advance(time.Second)
	made.report("worker-01", "worker-02")
	made.placePending("entry-1", "entry-2")
	made.report("worker-01", "worker-02")
	made.doRecorded("entry-1", http.MethodGet, "/v1/tasks/"+id, "")
	made.doRecorded("entry-1", http.MethodGet, "/v1/tasks/"+waiting+"/explain", "")
	made.doRecorded("entry-1", http.MethodGet, "/v1/workers", "")
	made.doRecorded("entry-1", http.MethodGet, "/v1/in-force", "")
	made.assertGolden("operator")
}

// TestFailureSession loses the log, a guard and an entry.
func TestFailureSession(t *testing.T) {
	made := newSession(t)
	id := parseTaskID(t, made.doRecorded("entry-1", http.MethodPost, "/v1/tasks", `{"team":"councils","kind":"transcription","processors":4,"run_time":"1h","input":"seduta 13"}`, api.HeaderIdempotencyKey, "t-1").Body.Bytes())
	made.placePending("entry-1", "entry-2")
	made.report("worker-01", "worker-02")
	made.transcript.addHeading("the log goes down: repeatable requests are served, others are not run, work goes on")
	made.log.SetDown(true)
	made.advance(10 * time.Second)
	made.doRecorded("entry-1", http.MethodPost, "/v1/services/verbale/snippets", "la seduta", api.HeaderRequestID, "r-1")
	made.doRecorded("entry-1", http.MethodPost, "/v1/services/verbale/bill", "x", api.HeaderRepeatable, "false", api.HeaderIdempotencyKey, "bill-7", api.HeaderRequestID, "r-2")
	made.doRecorded("entry-1", http.MethodPost, "/v1/tasks", transcriptionBody, api.HeaderIdempotencyKey, "t-2")
	made.doRecorded("entry-1", http.MethodPut, "/v1/documents/policy-placement", `{"based_on":0,"content":"1"}`)
	made.doRecorded("entry-1", http.MethodGet, "/readyz", "")
	made.log.SetDown(false)
	made.advance(3 * time.Second)
	made.doRecorded("entry-1", http.MethodGet, "/readyz", "")
	made.doRecorded("entry-1", http.MethodGet, "/v1/tasks/"+id, "")
	made.transcript.addHeading("the guard of its worker dies; a new one adopts what runs")
	holder := made.task("entry-1", id).Worker
	made.kill(holder)
	made.startGuard(holder, "milano-a")
	made.report("worker-01", "worker-02")
	made.doRecorded("entry-1", http.MethodGet, "/v1/tasks/"+id, "")
	made.transcript.addHeading("an entry dies; a new one with empty memory knows the task")
	made.kill("entry-1")
	made.startEntry("entry-1", "milano-a")
	made.report("worker-01", "worker-02")
	made.doRecorded("entry-1", http.MethodGet, "/v1/tasks/"+id, "")
	made.assertGolden("failure")
}
