package session_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"ambertiller.example/ambertiller/api"
)

// abortingBackend takes a request and breaks the connection off.
var abortingBackend = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })

// TestOutcomeStaysUnknownAfterRetry: a request that one backend server may have
// run stays unknown, however the tries after it end.
func TestOutcomeStaysUnknownAfterRetry(t *testing.T) {
	tests := map[string]func(made *harness){
		"the second try finds no server": func(made *harness) { made.guards["worker-02"].guard.BeginShutdown(made.ctx) },
		"the second try can't connect":   func(made *harness) { made.network.setDisconnected("worker-02:rpc", true) },
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			made := newSession(t)
			made.kill("worker-01")
			made.backends["worker-01"] = abortingBackend
			made.startGuard("worker-01", "milano-a")
			made.report("worker-01", "worker-02")
			prepare(made)
			answer := made.doRequest("entry-1", http.MethodPost, "/v1/services/verbale/snippets", "x")
			var problem api.Problem
			if err := json.Unmarshal(answer.Body.Bytes(), &problem); err != nil {
				t.Fatal(err)
			}
			if problem.Outcome != api.OutcomeUnknown {
				t.Errorf("the outcome is %q: %s", problem.Outcome, problem.Detail)
			}
		})
	}
}

// TestRequestsQueueForFullBackend: two entries that don't know of each other's requests send
// to the same server; those that are refused wait their turn and are answered. Time passes only for a request that can be handed in: a request
// looks for room a few times at most, and looks that the server has no processor to
// answer in between would use them up.
func TestRequestsQueueForFullBackend(t *testing.T) {
	release := make(chan struct{})
	free := sync.OnceFunc(func() { close(release) })
	// Before the backend servers close, which wait for their requests.
	defer free()
	arrived := make(chan struct{}, 32)
	made := newHarness(t)
	made.backendOverride = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		_, _ = io.WriteString(writer, "whole")
	})
	made.startAll()
	made.guards["worker-02"].guard.BeginShutdown(made.ctx)
	const slots = 8
	answers := make(chan *httptest.ResponseRecorder, 2*slots)
	send := func(name string) {
		answers <- made.doRequest(name, http.MethodPost, "/v1/services/verbale/snippets", "x")
	}
	expectAnswer := func() {
		t.Helper()
		if answer := <-answers; answer.Code != http.StatusOK {
			t.Errorf("status %d: %s", answer.Code, answer.Body)
		}
	}
	for range slots {
		go send("entry-1")
	}
	for range slots {
		<-arrived
	}
	for range slots {
		go send("entry-2")
	}
	waiting := func() int { return made.entries["entry-2"].entry.QueueLength("verbale") }
	made.waitFor("the refused ones wait", func() bool { return waiting() == slots })
	free()
	for range slots {
		expectAnswer()
	}
	made.waitFor("the server has room", func() bool { return made.guards["worker-01"].guard.Gate().Usage().Slots == 0 })
	for left := slots - 1; left >= 0; left-- {
		made.waitFor("the first of those who wait is handed in", func() bool {
			if waiting() <= left {
				return true
			}
			made.advanceClock(time.Millisecond)
			return false
		})
		<-arrived
		expectAnswer()
	}
}

// TestSubmissionLimits: what a kind does not allow is told at submission.
func TestSubmissionLimits(t *testing.T) {
	made := newSession(t)
	long := made.doRequest("entry-1", http.MethodPost, "/v1/tasks", `{"team":"councils","kind":"transcription","run_time":"7h"}`)
	if long.Code != http.StatusBadRequest {
		t.Errorf("a task longer than its kind allows: status %d: %s", long.Code, long.Body)
	}
	made.doRequest("entry-1", http.MethodPut, "/v1/documents/config",
		`{"based_on":1,"content":"kinds:\n  minutes: {class: batch, max_pending: 1}\nteams:\n  councils: {}\n"}`)
	made.catchUp()
	const minutes = `{"team":"councils","kind":"minutes"}`
	for index, want := range []int{http.StatusCreated, http.StatusServiceUnavailable} {
		if answer := made.doRequest("entry-1", http.MethodPost, "/v1/tasks", minutes); answer.Code != want {
			t.Errorf("submission %d: status %d: %s", index, answer.Code, answer.Body)
		}
	}
}
