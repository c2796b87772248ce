package membership_test

import (
	"fmt"
	"testing"
	"time"

	"ambertiller.example/ambertiller/instances"
	"ambertiller.example/ambertiller/membership"
	"ambertiller.example/ambertiller/wire"
)

var startTime = time.Unix(1_000_000, 0)

const guardTimeout = 10 * time.Second

func newReport(incarnation string) *wire.ReportRequest {
	return &wire.ReportRequest{Worker: "worker-01", Incarnation: incarnation, Ready: true}
}

func TestIncarnations(t *testing.T) {
	tests := map[string]struct {
		first, then string
		after       time.Duration
		taken       bool
	}{
		"the same":                        {"i-1", "i-1", time.Second, true},
		"a later one replaces":            {"i-1", "i-2", time.Second, true},
		"an earlier one is passed over":   {"i-2", "i-1", time.Second, false},
		"unless the later one was silent": {"i-2", "i-1", time.Minute, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			view := membership.NewView(guardTimeout)
			view.AddReport(newReport(test.first), startTime)
			if taken := view.AddReport(newReport(test.then), startTime.Add(test.after)) != nil; taken != test.taken {
				t.Errorf("taken: %t", taken)
			}
		})
	}
}

func TestInstanceListAndTimeout(t *testing.T) {
	view := membership.NewView(guardTimeout)
	heard := view.AddReport(newReport("i-1"), startTime)
	if !heard.IsReady() || view.HasTimedOut(heard, startTime.Add(time.Second)) || !view.HasTimedOut(heard, startTime.Add(guardTimeout)) {
		t.Error("a guard that was heard is not there, or one that is silent is")
	}
	list := func(state instances.State) []instances.Instance {
		return []instances.Instance{{Name: "worker-01", Role: instances.Guard, State: state}, {Name: "entry-2", Role: instances.Entry, State: instances.Live}}
	}
	view.SetInstances(list(instances.Leaving))
	if guard := view.Guard("worker-01"); guard.IsReady() || !guard.IsListedLeaving() {
		t.Error("a guard that the list calls leaving still counts as ready")
	}
	if heard := view.AddReport(newReport("i-1"), startTime); heard.IsReady() {
		t.Error("a report made a leaving guard ready")
	}
	view.SetInstances(list(instances.Live))
	if !view.Guard("worker-01").IsReady() {
		t.Error("a guard that is live again is not ready")
	}
	view.SetInstances(nil)
	if view.Guard("worker-01") == nil {
		t.Error("a guard that the list leaves out was forgotten")
	}
}

func TestPeers(t *testing.T) {
	view := membership.NewView(guardTimeout)
	view.UpdatePeer(membership.Peer{Name: "entry-2", LastAnswerAt: startTime})
	view.UpdatePeer(membership.Peer{Name: "entry-3", LastAnswerAt: startTime.Add(-time.Minute)})
	if live := view.LivePeers(startTime); len(live) != 1 || live[0] != "entry-2" {
		t.Errorf("got %v", live)
	}
}

// TestOwnerIsStable: when one of the names goes, only its subjects move.
func TestOwnerIsStable(t *testing.T) {
	all, fewer := []string{"entry-1", "entry-2", "entry-3"}, []string{"entry-1", "entry-2"}
	counts := map[string]int{}
	for number := range 3000 {
		subject := fmt.Sprint("task-", number)
		before, after := membership.Owner(subject, all), membership.Owner(subject, fewer)
		counts[before]++
		if before != "entry-3" && before != after {
			t.Fatalf("%s moved from %s to %s", subject, before, after)
		}
	}
	for name, count := range counts {
		if count < 800 || count > 1200 {
			t.Errorf("%s has %d of 3000", name, count)
		}
	}
	if membership.Owner("x", nil) != "" {
		t.Error("nobody owns, and somebody did")
	}
}

func ExampleView() {
	view := membership.NewView(10 * time.Second)
	now := time.Unix(0, 0)
	guard := view.AddReport(&wire.ReportRequest{Worker: "worker-01", Incarnation: "i-1", Ready: true}, now)
	fmt.Println(guard.IsReady(), view.HasTimedOut(guard, now.Add(time.Minute)))
	// Output: true true
}
