package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ambertiller.example/ambertiller/standin/wireworker"
)

// TestLedgerDetectsViolations breaks each promise once, and keeps each once where that is close.
func TestLedgerDetectsViolations(t *testing.T) {
	const (
		id     = "0123456789abcdef"
		task   = id + ".0.0.0"
		after  = id + ".0.1.0"
		first  = "i-1-life-1"
		second = "i-2-life-1"
	)
	start := func(book *ledger, life string, attempt int32) {
		book.recordChange(life, wireworker.Change{Kind: wireworker.Renewed, LeaseEnd: time.Now().Add(time.Hour)})
		book.recordChange(life, wireworker.Change{Kind: wireworker.Started, Task: task, Attempt: attempt})
	}
	end := func(book *ledger, life string, attempt int32, how string) {
		book.recordChange(life, wireworker.Change{Kind: wireworker.Ended, Task: task, Attempt: attempt, Reason: how})
	}
	noted := func(book *ledger, life string, attempt int32, how string) {
		book.recordChange(life, wireworker.Change{Kind: wireworker.Acknowledged, Task: task, Attempt: attempt, Reason: how})
	}
	tests := map[string]struct {
		play func(book *ledger)
		want string // the rule, empty for none
	}{
		"two runs at a time": {func(book *ledger) {
			start(book, first, 1)
			start(book, second, 2)
		}, "TWICE"},
		"the lease of the first has run out": {func(book *ledger) {
			start(book, first, 1)
			book.recordChange(first, wireworker.Change{Kind: wireworker.Renewed, LeaseEnd: time.Now().Add(-time.Second)})
			start(book, second, 2)
		}, ""},
		"its worker has crashed": {func(book *ledger) {
			start(book, first, 1)
			book.recordCrash(first)
			start(book, second, 2)
		}, ""},
		"started after it was noted as done": {func(book *ledger) {
			start(book, first, 1)
			end(book, first, 1, "done")
			noted(book, first, 1, "done")
			start(book, second, 2)
		}, "TWICE"},
		"noted as done after it was started again": {func(book *ledger) {
			start(book, first, 1)
			end(book, first, 1, "done")
			start(book, second, 2)
			noted(book, first, 1, "done")
		}, "TWICE"},
		"done and never noted": {func(book *ledger) {
			start(book, first, 1)
			end(book, first, 1, "done")
			start(book, second, 2)
			end(book, second, 2, "done")
			noted(book, second, 2, "done")
		}, ""},
		"beyond its failures": {func(book *ledger) {
			for attempt := int32(1); attempt <= maxTaskAttempts; attempt++ {
				start(book, first, attempt)
				end(book, first, attempt, "failed")
				noted(book, first, attempt, "failed")
			}
			start(book, second, maxTaskAttempts+1)
		}, "BUDGET"},
		"more than the worker has": {func(book *ledger) {
			book.addJob(id, &jobHistory{maxAttempts: maxTaskAttempts, steps: []int32{21}})
			for index := range workerMilliCPU/taskMilliCPU + 1 {
				book.recordChange(first, wireworker.Change{Kind: wireworker.Started, Task: fmt.Sprintf("%s.0.0.%d", id, index), Attempt: 1})
			}
		}, "LIMIT"},
		"all that the worker has": {func(book *ledger) {
			book.addJob(id, &jobHistory{maxAttempts: maxTaskAttempts, steps: []int32{21}})
			for index := range workerMilliCPU / taskMilliCPU {
				book.recordChange(first, wireworker.Change{Kind: wireworker.Started, Task: fmt.Sprintf("%s.0.0.%d", id, index), Attempt: 1})
			}
		}, ""},
		"a step before its turn": {func(book *ledger) {
			book.recordChange(first, wireworker.Change{Kind: wireworker.Started, Task: after, Attempt: 1})
		}, "ORDER"},
		"what nobody handed in": {func(book *ledger) {
			book.recordChange(first, wireworker.Change{Kind: wireworker.Started, Task: "fedcba9876543210.0.0.0", Attempt: 1})
		}, "UNASKED"},
		"refused at each try": {func(book *ledger) {
			start(book, first, 1)
			book.checkRefused()
		}, "REFUSED"},
		"refused once, unsure once": {func(book *ledger) {
			start(book, first, 1)
			book.updateJob(id, func(handed *jobHistory) { handed.outcomeUnknown = true })
			book.checkRefused()
		}, ""},
		"shown as completed too early": {func(book *ledger) { book.checkEnded(id, "completed") }, "MIXED"},
		"never ended":                  {func(book *ledger) { book.recordLost(id, "running") }, "LOST"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			book := newLedger()
			book.addJob(id, &jobHistory{maxAttempts: maxTaskAttempts, steps: []int32{1, 1}})
			test.play(book)
			broken, _ := book.results()
			if test.want == "" && len(broken) > 0 || test.want != "" && (len(broken) == 0 || !strings.Contains(broken[0], test.want)) {
				t.Errorf("broken %v, want %q", broken, test.want)
			}
		})
	}
}
