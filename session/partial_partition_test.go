package session_test

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"ambertiller.example/ambertiller/membership"
)

// TestPartialPartition checks that a task keeps running on its worker when the guard reaches only the entry
// that is not responsible for that worker. The responsible entry suspects the worker, but must not move the
// task, because the other entry still receives its reports.
func TestPartialPartition(t *testing.T) {
	h := newSession(t)
	id := h.startTask("t-1")
	h.blockedReports["worker-01 to "+membership.Owner("worker-01", entryNames)] = true
	for range 2 * 60 * 4 {
		h.advance(15 * time.Second)
		h.report("worker-01", "worker-02")
		h.runMaintenance()
		h.placePending(entryNames...)
	}
	if task := h.task("entry-1", id); task.Phase != "running" || task.Worker != "worker-01" || task.Attempt != 1 {
		t.Errorf("got task %s on %q in attempt %d: %s", task.Phase, task.Worker, task.Attempt, task.Reason)
	}
	if result := h.checkOwnership(); result != porcupine.Ok {
		t.Errorf("%s: %+v", result, h.observations.all())
	}
}
