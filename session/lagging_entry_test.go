package session_test

import (
	"net/http"
	"testing"
	"time"

	"ambertiller.example/ambertiller/api"
)

// TestLaggingEntryDeniesResult: an entry answers from what it has read of the log. One that lags must deny the result of a
// task that another one shows as finished, and return it once it has caught up.
func TestLaggingEntryDeniesResult(t *testing.T) {
	h := newSession(t)
	id := parseTaskID(t, h.doRequest("entry-1", http.MethodPost, "/v1/tasks", transcriptionBody, api.HeaderIdempotencyKey, "t-1").Body.Bytes())
	h.placePending("entry-1", "entry-2")
	h.report("worker-01", "worker-02")
	h.entries["entry-2"].log.set(nil)
	h.log.ExpireReads()
	h.advance(3 * time.Second)
	h.report("worker-01", "worker-02")
	path := "/v1/tasks/" + id + "/result"
	if got := h.doRequest("entry-1", http.MethodGet, path, "").Code; got != http.StatusOK {
		t.Fatalf("the entry that has read the end: status %d", got)
	}
	if got := h.doRequest("entry-2", http.MethodGet, path, "").Code; got != http.StatusConflict {
		t.Errorf("the entry that lags: status %d, want 409", got)
	}
	h.entries["entry-2"].log.set(h.log)
	h.advance(3 * time.Second)
	h.catchUp()
	if got := h.doRequest("entry-2", http.MethodGet, path, "").Code; got != http.StatusOK {
		t.Errorf("the entry that has caught up: status %d", got)
	}
}
