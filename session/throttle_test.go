package session_test

import (
	"net/http"
	"testing"
	"time"
)

// TestThrottle: a throttled task takes longer by its share, and only shares
// that make sense are taken.
func TestThrottle(t *testing.T) {
	tests := map[string]struct {
		body   string
		status int
		phase  string
	}{
		"a quarter":    {`{"share":0.25}`, http.StatusOK, "running"},
		"all of it":    {`{"share":1}`, http.StatusOK, "finished"},
		"nothing":      {`{"share":0}`, http.StatusBadRequest, "finished"},
		"more than it": {`{"share":1.5}`, http.StatusBadRequest, "finished"},
		"no number":    {`{"share":"half"}`, http.StatusBadRequest, "finished"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newSession(t)
			id := parseTaskID(t, made.doRequest("entry-1", http.MethodPost, "/v1/tasks", transcriptionBody).Body.Bytes())
			made.waitBackground()
			made.placePending(entryNames...)
			made.report(workerNames...)
			if answer := made.doRequest("entry-2", http.MethodPut, "/v1/tasks/"+id+"/throttle", test.body); answer.Code != test.status {
				t.Fatalf("status %d: %s", answer.Code, answer.Body)
			}
			made.advance(4 * time.Second)
			made.report(workerNames...)
			if task := made.task("entry-1", id); task.Phase != test.phase {
				t.Errorf("the task is %s", task.Phase)
			}
		})
	}
	made := newSession(t)
	if answer := made.doRequest("entry-1", http.MethodPut, "/v1/tasks/none/throttle", `{"share":1}`); answer.Code != http.StatusNotFound {
		t.Errorf("status %d", answer.Code)
	}
}
