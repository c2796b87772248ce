package session_test

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"ambertiller.example/ambertiller/api"
)

// brokenBackend takes a request and breaks the connection off.
var brokenBackend = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })

// TestUnknownIsNeverCalledNotRun: a request that one backend server may have
// run stays unknown, however the tries after it end.
func TestUnknownIsNeverCalledNotRun(t *testing.T) {
	tests := map[string]func(made *bench){
		"the second try finds no server": func(made *bench) { made.guards["worker-02"].role.Leave(made.ctx) },
		"the second try can't connect":   func(made *bench) { made.links.setCut("worker-02:rpc", true) },
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			made := newSession(t)
			made.kill("worker-01")
			made.backends["worker-01"] = brokenBackend
			made.startGuard("worker-01", "milano-a")
			made.report("worker-01", "worker-02")
			prepare(made)
			answer := made.doQuiet("entry-1", http.MethodPost, "/v1/services/verbale/snippets", "x")
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

// TestFullServerIsWaitedFor: two entries that don't know of each other's
// requests send to a server with one slot left; the one that is refused waits
// its turn and is answered.
func TestFullServerIsWaitedFor(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{}, 32)
	made := newBench(t)
	made.backend = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		_, _ = io.WriteString(writer, "whole")
	})
	made.fill()
	made.guards["worker-02"].role.Leave(made.ctx)
	const slots = 8
	statuses := make(chan int, 2*slots)
	send := func(name string) {
		answer := made.doQuiet(name, http.MethodPost, "/v1/services/verbale/snippets", "x")
		statuses <- answer.Code
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
	made.await("the refused ones wait", func() bool { return made.entries["entry-2"].role.Queued("verbale") == slots })
	close(release)
	made.whileTimePasses(func() {
		for range 2 * slots {
			if status := <-statuses; status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		}
	})
}

// TestSubmissionBounds: what a kind does not allow is told at submission.
func TestSubmissionBounds(t *testing.T) {
	made := newSession(t)
	long := made.doQuiet("entry-1", http.MethodPost, "/v1/tasks", `{"team":"councils","kind":"transcription","run_time":"7h"}`)
	if long.Code != http.StatusBadRequest {
		t.Errorf("a task longer than its kind allows: status %d: %s", long.Code, long.Body)
	}
	made.doQuiet("entry-1", http.MethodPut, "/v1/documents/config",
		`{"based_on":1,"content":"kinds:\n  minutes: {class: batch, max_pending: 1}\nteams:\n  councils: {}\n"}`)
	made.catchUp()
	const minutes = `{"team":"councils","kind":"minutes"}`
	for index, want := range []int{http.StatusCreated, http.StatusServiceUnavailable} {
		if answer := made.doQuiet("entry-1", http.MethodPost, "/v1/tasks", minutes); answer.Code != want {
			t.Errorf("submission %d: status %d: %s", index, answer.Code, answer.Body)
		}
	}
}
