package agent

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

// TestSignsOfLife checks that suspecting a run and clearing its task are decided separately. A run is not
// suspected if any sign of life was noticed when it was no longer new, even a late answer or a closed
// connection. Its task is cleared only by an answer to a call that was sent when the run was no longer new.
func TestSignsOfLife(t *testing.T) {
	startedAt := time.UnixMilli(1_800_000_000_000)
	const (
		soon = 10 * time.Millisecond
		long = time.Second
	)
	tests := map[string]struct {
		update        func(state *workerState)
		adopted       bool
		new, survived bool
	}{
		"no sign of life":  {func(*workerState) {}, false, true, false},
		"answered at once": {func(state *workerState) { state.recordAnswer(startedAt, startedAt.Add(soon)) }, false, true, false},
		"answered late":    {func(state *workerState) { state.recordAnswer(startedAt, startedAt.Add(long)) }, false, false, false},
		"called and answered late": {
			func(state *workerState) { state.recordAnswer(startedAt.Add(long), startedAt.Add(2*long)) }, false, false, true},
		"closed connection at once": {func(state *workerState) { state.recordCallError(errors.New("reset"), startedAt.Add(soon)) }, false, true, false},
		"closed connection later":   {func(state *workerState) { state.recordCallError(errors.New("reset"), startedAt.Add(long)) }, false, false, false},
		"timeout": {
			func(state *workerState) {
				state.recordCallError(errors.Wrap(context.DeadlineExceeded, "call"), startedAt.Add(long))
			}, false, true, false},
		"adopted run": {func(*workerState) {}, true, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := newWorkerState(platform.Heartbeat{}, nil, predecessor{token: 1}, startedAt.Add(-long))
			run := &runState{task: "task", startSentAt: startedAt, adopted: test.adopted}
			state.runs[run.task] = run
			test.update(state)
			if got := len(state.newRuns()) == 1; got != test.new {
				t.Errorf("the run is new: %v", got)
			}
			if got := state.survivedStart(run); got != test.survived {
				t.Errorf("the run has survived its start: %v", got)
			}
		})
	}
}

// TestSuspects checks that the new runs are suspected, including one that was given up while the worker did
// not answer. If one of them was a suspect before, the others are reported with a reason of their own.
func TestSuspects(t *testing.T) {
	startedAt := time.UnixMilli(1_800_000_000_000)
	state := newWorkerState(platform.Heartbeat{}, nil, predecessor{token: 1}, startedAt)
	plain := &runState{task: "plain", startSentAt: startedAt}
	old := &runState{task: "old", startSentAt: startedAt.Add(-time.Second), isSuspect: true}
	state.runs[plain.task], state.runs[old.task] = plain, old
	if got := state.crashSuspects(); len(got) != 1 || got[plain] != wire.EndReason_END_CRASHED {
		t.Errorf("%d suspects without an earlier one", len(got))
	}
	again := &runState{task: "again", startSentAt: startedAt, isSuspect: true}
	state.givenUpRuns = []*runState{again}
	got := state.crashSuspects()
	if len(got) != 2 || got[again] != wire.EndReason_END_CRASHED || got[plain] != wire.EndReason_END_CRASHED_BESIDE {
		t.Errorf("beside an earlier suspect, the runs are reported as %v", got)
	}
}
