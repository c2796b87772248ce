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

// abortingBackend accepts a request and closes the connection without a response.
var abortingBackend = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })

// TestOutcomeStaysUnknownAfterRetry checks that the outcome of a request stays unknown once a backend server
// may have run it, even if a later try fails without running it.
func TestOutcomeStaysUnknownAfterRetry(t *testing.T) {
	tests := map[string]func(h *harness){
		"no server left for the second try": func(h *harness) { h.guards["worker-02"].guard.BeginShutdown(h.ctx) },
		"second try can't connect":          func(h *harness) { h.network.setDisconnected("worker-02:rpc", true) },
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			h := newSession(t)
			h.kill("worker-01")
			h.backends["worker-01"] = abortingBackend
			h.startGuard("worker-01", "milano-a")
			h.report("worker-01", "worker-02")
			prepare(h)
			response := h.doRequest("entry-1", http.MethodPost, "/v1/services/verbale/snippets", "x")
			var problem api.Problem
			if err := json.Unmarshal(response.Body.Bytes(), &problem); err != nil {
				t.Fatal(err)
			}
			if problem.Outcome != api.OutcomeUnknown {
				t.Errorf("got outcome %q: %s", problem.Outcome, problem.Detail)
			}
		})
	}
}

// TestRequestsQueueForFullBackend fills a backend server through one entry and then sends more requests
// through another entry, which doesn't know of the first ones. The requests that the full server refuses are
// queued and succeed later.
//
// The test advances the clock only while the server has a free slot for a queued request. A request tries for
// a slot only a few times, and tries made before the server goroutine gets CPU time would use them up.
func TestRequestsQueueForFullBackend(t *testing.T) {
	release := make(chan struct{})
	releaseAll := sync.OnceFunc(func() { close(release) })
	// This must run before the backend servers are closed, because closing waits for their requests.
	defer releaseAll()
	arrived := make(chan struct{}, 32)
	h := newHarness(t)
	h.backendOverride = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		_, _ = io.WriteString(writer, "whole")
	})
	h.startAll()
	h.guards["worker-02"].guard.BeginShutdown(h.ctx)
	const slots = 8
	responses := make(chan *httptest.ResponseRecorder, 2*slots)
	send := func(name string) {
		responses <- h.doRequest(name, http.MethodPost, "/v1/services/verbale/snippets", "x")
	}
	expectSuccess := func() {
		t.Helper()
		if response := <-responses; response.Code != http.StatusOK {
			t.Errorf("status %d: %s", response.Code, response.Body)
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
	queueLength := func() int { return h.entries["entry-2"].entry.QueueLength("verbale") }
	h.waitFor("the refused requests are queued", func() bool { return queueLength() == slots })
	releaseAll()
	for range slots {
		expectSuccess()
	}
	h.waitFor("the server has free slots", func() bool { return h.guards["worker-01"].guard.Gate().Usage().Slots == 0 })
	for remaining := slots - 1; remaining >= 0; remaining-- {
		h.waitFor("the first queued request is submitted", func() bool {
			if queueLength() <= remaining {
				return true
			}
			h.advanceClock(time.Millisecond)
			return false
		})
		<-arrived
		expectSuccess()
	}
}

// TestSubmissionLimits checks that a task that exceeds the limits of its kind is rejected at submission.
func TestSubmissionLimits(t *testing.T) {
	h := newSession(t)
	tooLong := h.doRequest("entry-1", http.MethodPost, "/v1/tasks", `{"team":"councils","kind":"transcription","run_time":"7h"}`)
	if tooLong.Code != http.StatusBadRequest {
		t.Errorf("run time above the limit of the kind: status %d: %s", tooLong.Code, tooLong.Body)
	}
	h.doRequest("entry-1", http.MethodPut, "/v1/documents/config",
		`{"based_on":1,"content":"kinds:\n  minutes: {class: batch, max_pending: 1}\nteams:\n  councils: {}\n"}`)
	h.catchUp()
	const minutes = `{"team":"councils","kind":"minutes"}`
	for index, want := range []int{http.StatusCreated, http.StatusServiceUnavailable} {
		if response := h.doRequest("entry-1", http.MethodPost, "/v1/tasks", minutes); response.Code != want {
			t.Errorf("submission %d: status %d: %s", index, response.Code, response.Body)
		}
	}
}
