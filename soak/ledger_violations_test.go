package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ambertiller.example/ambertiller/standin/wireworker"
)

// TestLedgerDetectsViolations checks that the ledger reports a violation of each guarantee, and none for
// similar sequences of events that are allowed.
func TestLedgerDetectsViolations(t *testing.T) {
	const (
		id             = "0123456789abcdef"
		task           = id + ".0.0.0"
		secondStepTask = id + ".0.1.0"
		firstWorker    = "i-1-life-1"
		secondWorker   = "i-2-life-1"
	)
	start := func(l *ledger, incarnation string, attempt int32) {
		l.recordChange(incarnation, wireworker.Change{Kind: wireworker.Renewed, LeaseEnd: time.Now().Add(time.Hour)})
		l.recordChange(incarnation, wireworker.Change{Kind: wireworker.Started, Task: task, Attempt: attempt})
	}
	end := func(l *ledger, incarnation string, attempt int32, reason string) {
		l.recordChange(incarnation, wireworker.Change{Kind: wireworker.Ended, Task: task, Attempt: attempt, Reason: reason})
	}
	acknowledge := func(l *ledger, incarnation string, attempt int32, reason string) {
		l.recordChange(incarnation, wireworker.Change{Kind: wireworker.Acknowledged, Task: task, Attempt: attempt, Reason: reason})
	}
	tests := map[string]struct {
		record func(l *ledger)
		want   string // the violated rule; empty if there is none
	}{
		"two runs at the same time": {func(l *ledger) {
			start(l, firstWorker, 1)
			start(l, secondWorker, 2)
		}, "TWICE"},
		"the lease of the first run has expired": {func(l *ledger) {
			start(l, firstWorker, 1)
			l.recordChange(firstWorker, wireworker.Change{Kind: wireworker.Renewed, LeaseEnd: time.Now().Add(-time.Second)})
			start(l, secondWorker, 2)
		}, ""},
		"the worker of the first run has crashed": {func(l *ledger) {
			start(l, firstWorker, 1)
			l.recordCrash(firstWorker)
			start(l, secondWorker, 2)
		}, ""},
		"started after an acknowledged completion": {func(l *ledger) {
			start(l, firstWorker, 1)
			end(l, firstWorker, 1, "done")
			acknowledge(l, firstWorker, 1, "done")
			start(l, secondWorker, 2)
		}, "TWICE"},
		"completion acknowledged after another start": {func(l *ledger) {
			start(l, firstWorker, 1)
			end(l, firstWorker, 1, "done")
			start(l, secondWorker, 2)
			acknowledge(l, firstWorker, 1, "done")
		}, "TWICE"},
		"completion never acknowledged": {func(l *ledger) {
			start(l, firstWorker, 1)
			end(l, firstWorker, 1, "done")
			start(l, secondWorker, 2)
			end(l, secondWorker, 2, "done")
			acknowledge(l, secondWorker, 2, "done")
		}, ""},
		"started after the last allowed failure": {func(l *ledger) {
			for attempt := int32(1); attempt <= maxTaskAttempts; attempt++ {
				start(l, firstWorker, attempt)
				end(l, firstWorker, attempt, "failed")
				acknowledge(l, firstWorker, attempt, "failed")
			}
			start(l, secondWorker, maxTaskAttempts+1)
		}, "BUDGET"},
		"more CPU than the worker has": {func(l *ledger) {
			l.addJob(id, &jobHistory{maxAttempts: maxTaskAttempts, steps: []int32{21}})
			for index := range workerMilliCPU/taskMilliCPU + 1 {
				l.recordChange(firstWorker, wireworker.Change{Kind: wireworker.Started, Task: fmt.Sprintf("%s.0.0.%d", id, index), Attempt: 1})
			}
		}, "LIMIT"},
		"all CPU of the worker": {func(l *ledger) {
			l.addJob(id, &jobHistory{maxAttempts: maxTaskAttempts, steps: []int32{21}})
			for index := range workerMilliCPU / taskMilliCPU {
				l.recordChange(firstWorker, wireworker.Change{Kind: wireworker.Started, Task: fmt.Sprintf("%s.0.0.%d", id, index), Attempt: 1})
			}
		}, ""},
		"step started before the previous one is done": {func(l *ledger) {
			l.recordChange(firstWorker, wireworker.Change{Kind: wireworker.Started, Task: secondStepTask, Attempt: 1})
		}, "ORDER"},
		"job never submitted": {func(l *ledger) {
			l.recordChange(firstWorker, wireworker.Change{Kind: wireworker.Started, Task: "fedcba9876543210.0.0.0", Attempt: 1})
		}, "UNASKED"},
		"refused at each submission": {func(l *ledger) {
			start(l, firstWorker, 1)
			l.checkRefused()
		}, "REFUSED"},
		"one submission without a definite answer": {func(l *ledger) {
			start(l, firstWorker, 1)
			l.updateJob(id, func(history *jobHistory) { history.outcomeUnknown = true })
			l.checkRefused()
		}, ""},
		"reported as completed before its tasks are done": {func(l *ledger) { l.checkEnded(id, "completed") }, "MIXED"},
		"never ended": {func(l *ledger) { l.recordLost(id, "running") }, "LOST"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLedger()
			l.addJob(id, &jobHistory{maxAttempts: maxTaskAttempts, steps: []int32{1, 1}})
			test.record(l)
			violations, _ := l.results()
			if test.want == "" && len(violations) > 0 || test.want != "" && (len(violations) == 0 || !strings.Contains(violations[0], test.want)) {
				t.Errorf("violations = %v, want rule %q", violations, test.want)
			}
		})
	}
}
