package soak

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
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

// TestPublicationsDetectViolations checks which probes of gateways show a violation.
func TestPublicationsDetectViolations(t *testing.T) {
	const version = 8
	first, second := gatewayProcess{"edge-0", 1}, gatewayProcess{"edge-0", 2}
	tests := map[string]struct {
		earlier *probe // a probe before, if any
		seen    probe
		calm    bool
		want    bool
	}{
		"in force":                       {seen: probe{process: first, version: version}, calm: true},
		"older in a calm time":           {seen: probe{process: first, version: version, answer: usesOlderVersion}, calm: true, want: true},
		"older while disturbed":          {seen: probe{process: first, version: version, answer: usesOlderVersion}},
		"not known in a calm time":       {seen: probe{process: first, version: version, answer: doesNotKnow}, calm: true, want: true},
		"not known while disturbed":      {earlier: &probe{process: first, version: version}, seen: probe{process: first, version: version, answer: doesNotKnow}},
		"back to an older one":           {earlier: &probe{process: first, version: version}, seen: probe{process: first, version: version, answer: usesOlderVersion}, want: true},
		"older in another process":       {earlier: &probe{process: first, version: version}, seen: probe{process: second, version: version, answer: usesOlderVersion}},
		"older than what was never used": {earlier: &probe{process: first, version: version}, seen: probe{process: first, version: version + 1, answer: usesOlderVersion}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPublications()
			if test.earlier != nil {
				p.check(*test.earlier, false)
			}
			if got := p.check(test.seen, test.calm); (got != "") != test.want {
				t.Errorf("got violation %q, want one: %v", got, test.want)
			}
		})
	}
}

// TestDisturbances checks until when a fault counts as a disturbance of a process.
func TestDisturbances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDisturbances()
		calmSince := func(name string) bool { return d.isCalmSince(name, time.Now().Add(-contactTime)) }
		end := d.begin("edge-0")
		time.Sleep(time.Hour)
		if calmSince("edge-0") || !calmSince("edge-1") {
			t.Error("a fault that lasts must disturb its process and no other")
		}
		end()
		time.Sleep(contactTime / 2)
		if calmSince("edge-0") {
			t.Error("a process is calm right after a fault")
		}
		time.Sleep(contactTime)
		if !calmSince("edge-0") {
			t.Error("a process is not calm long after a fault")
		}
		d.record(storeName)
		if calmSince("edge-1") {
			t.Error("a fault of the store must disturb all processes")
		}
	})
}
