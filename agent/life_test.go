package agent

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

// TestSignsOfLife: what is suspected and what clears a task are two measures. A sign that was
// seen late, or a connection that ended, is enough to leave a run alone; only an answer to a call
// that was sent when the run was no longer new clears its task.
func TestSignsOfLife(t *testing.T) {
	began := time.UnixMilli(1_800_000_000_000)
	const (
		soon = 10 * time.Millisecond
		long = time.Second
	)
	tests := map[string]struct {
		note          func(state *workerState)
		found         bool
		new, outlived bool
	}{
		"no sign":          {func(*workerState) {}, false, true, false},
		"answered at once": {func(state *workerState) { state.recordAnswer(began, began.Add(soon)) }, false, true, false},
		"answered late":    {func(state *workerState) { state.recordAnswer(began, began.Add(long)) }, false, false, false},
		"asked and answered late": {
			func(state *workerState) { state.recordAnswer(began.Add(long), began.Add(2*long)) }, false, false, true},
		"ended its connections at once": {func(state *workerState) { state.recordCallError(errors.New("reset"), began.Add(soon)) }, false, true, false},
		"ended its connections later":   {func(state *workerState) { state.recordCallError(errors.New("reset"), began.Add(long)) }, false, false, false},
		"fell silent": {
			func(state *workerState) {
				state.recordCallError(errors.Wrap(context.DeadlineExceeded, "call"), began.Add(long))
			}, false, true, false},
		"found on the worker": {func(*workerState) {}, true, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := newWorkerState(platform.Heartbeat{}, nil, predecessor{token: 1}, began.Add(-long))
			run := &runState{task: "task", startSentAt: began, adopted: test.found}
			state.runs[run.task] = run
			test.note(state)
			if got := len(state.newRuns()) == 1; got != test.new {
				t.Errorf("has just begun: %v", got)
			}
			if got := state.survivedStart(run); got != test.outlived {
				t.Errorf("outlived its start: %v", got)
			}
		})
	}
}

// TestSuspects: the runs that have just begun are the suspects, among them one that was told as over
// while the worker was silent. Beside one that was suspected before the others are told apart.
func TestSuspects(t *testing.T) {
	began := time.UnixMilli(1_800_000_000_000)
	state := newWorkerState(platform.Heartbeat{}, nil, predecessor{token: 1}, began)
	plain := &runState{task: "plain", startSentAt: began}
	old := &runState{task: "old", startSentAt: began.Add(-time.Second), isSuspect: true}
	state.runs[plain.task], state.runs[old.task] = plain, old
	if got := state.crashSuspects(); len(got) != 1 || got[plain] != wire.EndReason_END_CRASHED {
		t.Errorf("%d suspects without one from before", len(got))
	}
	again := &runState{task: "again", startSentAt: began, isSuspect: true}
	state.givenUpRuns = []*runState{again}
	got := state.crashSuspects()
	if len(got) != 2 || got[again] != wire.EndReason_END_CRASHED || got[plain] != wire.EndReason_END_CRASHED_BESIDE {
		t.Errorf("with one from before the suspects are told as %v", got)
	}
}
