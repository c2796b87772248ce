package session_test

import (
	"net/http"
	"testing"
	"time"
)

// TestThrottle checks that a throttled task runs at the requested share of its speed, and that a share
// outside (0, 1] is rejected.
func TestThrottle(t *testing.T) {
	tests := map[string]struct {
		body   string
		status int
		phase  string
	}{
		"one quarter":  {`{"share":0.25}`, http.StatusOK, "running"},
		"full speed":   {`{"share":1}`, http.StatusOK, "finished"},
		"zero":         {`{"share":0}`, http.StatusBadRequest, "finished"},
		"above one":    {`{"share":1.5}`, http.StatusBadRequest, "finished"},
		"not a number": {`{"share":"half"}`, http.StatusBadRequest, "finished"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newSession(t)
			id := parseTaskID(t, h.doRequest("entry-1", http.MethodPost, "/v1/tasks", transcriptionBody).Body.Bytes())
			h.waitBackground()
			h.placePending(entryNames...)
			h.report(workerNames...)
			if response := h.doRequest("entry-2", http.MethodPut, "/v1/tasks/"+id+"/throttle", test.body); response.Code != test.status {
				t.Fatalf("status %d: %s", response.Code, response.Body)
			}
			h.advance(4 * time.Second)
			h.report(workerNames...)
			if task := h.task("entry-1", id); task.Phase != test.phase {
				t.Errorf("got phase %s", task.Phase)
			}
		})
	}
	h := newSession(t)
	if response := h.doRequest("entry-1", http.MethodPut, "/v1/tasks/none/throttle", `{"share":1}`); response.Code != http.StatusNotFound {
		t.Errorf("unknown task: status %d", response.Code)
	}
}
