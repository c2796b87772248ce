package session_test

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"ambertiller.example/ambertiller/membership"
)

// TestPartialPartition: a guard reaches only the entry that does not act for its
// worker. The other one suspects it; because somebody hears it, its task runs
// on where it is.
func TestPartialPartition(t *testing.T) {
	made := newSession(t)
	id := made.startTask("t-1")
	made.blockedReports["worker-01 to "+membership.Owner("worker-01", entryNames)] = true
	for range 2 * 60 * 4 {
		made.advance(15 * time.Second)
		made.report("worker-01", "worker-02")
		made.runMaintenance()
		made.placePending(entryNames...)
	}
	if task := made.task("entry-1", id); task.Phase != "running" || task.Worker != "worker-01" || task.Attempt != 1 {
		t.Errorf("the task is %s on %q in attempt %d: %s", task.Phase, task.Worker, task.Attempt, task.Reason)
	}
	if result := made.checkOwnership(); result != porcupine.Ok {
		t.Errorf("%s: %+v", result, made.observations.all())
	}
}
