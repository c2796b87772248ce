package session_test

import (
	"encoding/json"
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
