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
		first, second string
		after         time.Duration
		accepted      bool
	}{
		"same incarnation":    {"i-1", "i-1", time.Second, true},
		"later incarnation":   {"i-1", "i-2", time.Second, true},
		"earlier incarnation": {"i-2", "i-1", time.Second, false},
		"earlier incarnation after the later one timed out": {"i-2", "i-1", time.Minute, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			view := membership.NewView(guardTimeout)
			view.AddReport(newReport(test.first), startTime)
			if accepted := view.AddReport(newReport(test.second), startTime.Add(test.after)) != nil; accepted != test.accepted {
				t.Errorf("report accepted: %t", accepted)
			}
		})
	}
}

func TestInstanceListAndTimeout(t *testing.T) {
	view := membership.NewView(guardTimeout)
	guard := view.AddReport(newReport("i-1"), startTime)
	if !guard.IsReady() || view.HasTimedOut(guard, startTime.Add(time.Second)) || !view.HasTimedOut(guard, startTime.Add(guardTimeout)) {
		t.Error("guard must be ready after its report, responsive within the timeout, and unresponsive after it")
	}
	list := func(state instances.State) []instances.Instance {
		return []instances.Instance{{Name: "worker-01", Role: instances.Guard, State: state}, {Name: "entry-2", Role: instances.Entry, State: instances.Live}}
	}
	view.SetInstances(list(instances.Leaving))
	if guard := view.Guard("worker-01"); guard.IsReady() || !guard.IsListedLeaving() {
		t.Error("guard that is listed as leaving is ready, or not listed as leaving")
	}
	if guard := view.AddReport(newReport("i-1"), startTime); guard.IsReady() {
		t.Error("report made a guard that is listed as leaving ready")
	}
	view.SetInstances(list(instances.Live))
	if !view.Guard("worker-01").IsReady() {
		t.Error("guard that is listed as live again is not ready")
	}
	view.SetInstances(nil)
	if view.Guard("worker-01") == nil {
		t.Error("guard that is missing from the list was removed")
	}
}

func TestPeers(t *testing.T) {
	view := membership.NewView(guardTimeout)
	view.UpdatePeer(membership.Peer{Name: "entry-2", LastAnswerAt: startTime})
	view.UpdatePeer(membership.Peer{Name: "entry-3", LastAnswerAt: startTime.Add(-time.Minute)})
	if live := view.LivePeers(startTime); len(live) != 1 || live[0] != "entry-2" {
		t.Errorf("live peers %v, want only entry-2", live)
	}
}

// TestOwnerIsStable checks that the removal of a name moves only the subjects that it owned,
// and that subjects are spread evenly.
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
			t.Errorf("%s owns %d of 3000 subjects, want 800 to 1200", name, count)
		}
	}
	if membership.Owner("x", nil) != "" {
		t.Error("Owner returned a name although there are none")
	}
}

func ExampleView() {
	view := membership.NewView(10 * time.Second)
	now := time.Unix(0, 0)
	guard := view.AddReport(&wire.ReportRequest{Worker: "worker-01", Incarnation: "i-1", Ready: true}, now)
	fmt.Println(guard.IsReady(), view.HasTimedOut(guard, now.Add(time.Minute)))
	// Output: true true
}
