package route_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/membership"
	"ambertiller.example/ambertiller/route"
	"ambertiller.example/ambertiller/wire"
)

var startTime = time.Unix(1_000_000, 0)

// newGuard returns a guard that reported its load at startTime.
func newGuard(name, domain string, used, slots int32, ready bool) *membership.Guard {
	return membership.NewView(time.Minute).AddReport(&wire.ReportRequest{
		Worker: name, Incarnation: "i-1", FailureDomain: domain, Service: "verbale", Address: name, Ready: ready,
		Load: &wire.Load{SlotsUsed: used, Slots: slots, LatencyNanos: int64(10 * time.Millisecond)},
	}, startTime)
}

// newTable returns the table of an entry in milano-a with the given guards.
func newTable(guards ...*membership.Guard) *route.Table {
	table := route.NewTable("milano-a")
	for _, guard := range guards {
		table.Update(guard, false)
	}
	return table
}

func TestPick(t *testing.T) {
	tests := map[string]struct {
		guards []*membership.Guard
		tried  []string
		want   string
		err    error
	}{
		"the one in the same domain":                    {[]*membership.Guard{newGuard("far", "bergamo", 0, 8, true), newGuard("near", "milano-a", 1, 8, true)}, nil, "near", nil},
		"the other domain when the own is busier":       {[]*membership.Guard{newGuard("far", "bergamo", 0, 8, true), newGuard("near", "milano-a", 3, 8, true)}, nil, "far", nil},
		"the least utilised":                            {[]*membership.Guard{newGuard("a", "milano-a", 5, 8, true), newGuard("b", "milano-a", 2, 8, true)}, nil, "b", nil},
		"skips a tried one":                             {[]*membership.Guard{newGuard("a", "milano-a", 0, 8, true), newGuard("b", "milano-a", 2, 8, true)}, []string{"a"}, "b", nil},
		"skips one that is not ready":                   {[]*membership.Guard{newGuard("a", "milano-a", 0, 8, false), newGuard("b", "milano-a", 2, 8, true)}, nil, "b", nil},
		"all full":                                      {[]*membership.Guard{newGuard("a", "milano-a", 8, 8, true)}, nil, "", route.ErrFull},
		"none known":                                    {nil, nil, "", route.ErrNoneReady},
		"all tried":                                     {[]*membership.Guard{newGuard("a", "milano-a", 0, 8, true)}, []string{"a"}, "", route.ErrNoneReady},
		"the lower utilisation, not the fewer requests": {[]*membership.Guard{newGuard("a", "milano-a", 3, 8, true), newGuard("b", "milano-a", 4, 16, true)}, nil, "b", nil},
		"one without slots counts as full":              {[]*membership.Guard{newGuard("a", "milano-a", 0, 0, true)}, nil, "", route.ErrFull},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			result, err := newTable(test.guards...).Pick("verbale", test.tried, startTime)
			if !errors.Is(err, test.err) {
				t.Fatalf("unexpected error: %v", err)
			}
			if err == nil && result.Worker() != test.want {
				t.Errorf("picked the wrong worker %s", result.Worker())
			}
		})
	}
}

// TestOwnRequestsCountAsLoad tests that the requests which the entry has sent since a
// guard's last report count as load of its server.
func TestOwnRequestsCountAsLoad(t *testing.T) {
	table := newTable(newGuard("a", "milano-a", 0, 2, true), newGuard("b", "milano-a", 0, 2, true))
	counts := map[string]int{}
	for range 4 {
		result, err := table.Pick("verbale", nil, startTime)
		if err != nil {
			t.Fatal(err)
		}
		counts[result.Worker()]++
	}
	if counts["a"] != 2 || counts["b"] != 2 {
		t.Errorf("got requests per server %v, want 2 each", counts)
	}
	if _, err := table.Pick("verbale", nil, startTime); !errors.Is(err, route.ErrFull) {
		t.Errorf("got error %v, want ErrFull", err)
	}
}

// TestLoadOfOtherEntries tests that the load reported with an answer, which includes
// requests of other entries, is taken into account by the next pick.
func TestLoadOfOtherEntries(t *testing.T) {
	table := newTable(newGuard("a", "milano-a", 0, 8, true), newGuard("b", "milano-a", 1, 8, true))
	result, err := table.Pick("verbale", nil, startTime)
	if err != nil || result.Worker() != "a" {
		t.Fatalf("got %v, %v, want worker a", result, err)
	}
	table.Done(result, route.Answered, &wire.Load{SlotsUsed: 6, Slots: 8}, time.Millisecond, startTime)
	if next, err := table.Pick("verbale", nil, startTime); err != nil || next.Worker() != "b" {
		t.Errorf("got %v, %v, want worker b", next, err)
	}
}

// failRequest sends a request to the named server and lets it fail.
func failRequest(t *testing.T, table *route.Table, name string, now time.Time) {
	t.Helper()
	others := []string{}
	for _, other := range []string{"a", "b", "c"} {
		if other != name {
			others = append(others, other)
		}
	}
	result, err := table.Pick("verbale", others, now)
	if err != nil {
		t.Fatal(err)
	}
	table.Done(result, route.Failed, nil, 0, now)
}

// TestEjection tests that a server which fails repeatedly is ejected for some time,
// and that never more than a third of a service's servers are ejected.
func TestEjection(t *testing.T) {
	table := newTable(newGuard("a", "milano-a", 0, 8, true), newGuard("b", "milano-a", 4, 8, true), newGuard("c", "milano-a", 5, 8, true))
	for range 3 {
		failRequest(t, table, "a", startTime)
	}
	result, err := table.Pick("verbale", nil, startTime)
	if err != nil || result.Worker() != "b" || result.EjectedCount() != 1 {
		t.Fatalf("got %v, %v, want worker b with one server ejected", result, err)
	}
	table.Done(result, route.Answered, nil, time.Millisecond, startTime)
	for range 3 {
		failRequest(t, table, "b", startTime)
	}
	if result, err = table.Pick("verbale", nil, startTime); err != nil || result.EjectedCount() != 1 {
		t.Errorf("%d of 3 servers are ejected, want 1 (%v)", result.EjectedCount(), err)
	}
	if later, err := table.Pick("verbale", nil, startTime.Add(time.Minute)); err != nil || later.EjectedCount() != 0 {
		t.Errorf("%d servers are ejected after a minute, want 0 (%v)", later.EjectedCount(), err)
	}
}

func TestPickOrWait(t *testing.T) {
	options := func(maxQueued int, deadline time.Duration) route.WaitOptions {
		return route.WaitOptions{MaxQueued: maxQueued, Deadline: startTime.Add(deadline), Now: func() time.Time { return startTime }, After: time.After}
	}
	t.Run("shed at once with a retry delay when nothing may wait", func(t *testing.T) {
		table := newTable(newGuard("a", "milano-a", 8, 8, true))
		_, err := table.PickOrWait(context.Background(), "verbale", nil, options(0, time.Hour))
		var shed *route.ShedError
		if !errors.As(err, &shed) || shed.RetryAfter() <= 0 {
			t.Errorf("got error %v, want a ShedError with a retry delay", err)
		}
	})
	t.Run("shed at once when the expected wait exceeds the deadline", func(t *testing.T) {
		table := newTable(newGuard("a", "milano-a", 0, 1, true))
		result, err := table.Pick("verbale", nil, startTime)
		if err != nil {
			t.Fatal(err)
		}
		table.Done(result, route.Answered, &wire.Load{SlotsUsed: 1, Slots: 1}, time.Second, startTime)
		_, err = table.PickOrWait(context.Background(), "verbale", nil, options(10, 100*time.Millisecond))
		var shed *route.ShedError
		if !errors.As(err, &shed) {
			t.Errorf("got error %v, want a ShedError", err)
		}
	})
	t.Run("woken when a slot becomes free", func(t *testing.T) {
		table := newTable(newGuard("a", "milano-a", 0, 1, true))
		first, err := table.Pick("verbale", nil, startTime)
		if err != nil {
			t.Fatal(err)
		}
		woken := make(chan error, 1)
		go func() {
			_, err := table.PickOrWait(context.Background(), "verbale", nil, options(10, time.Hour))
			woken <- err
		}()
		for table.QueueLength("verbale") == 0 {
			time.Sleep(time.Microsecond)
		}
		table.Done(first, route.Answered, nil, time.Millisecond, startTime)
		if err := <-woken; err != nil {
			t.Error(err)
		}
	})
	t.Run("leaves the queue when its context ends", func(t *testing.T) {
		table := newTable(newGuard("a", "milano-a", 1, 1, true))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if _, err := table.PickOrWait(ctx, "verbale", nil, options(10, time.Hour)); err == nil || table.QueueLength("verbale") != 0 {
			t.Errorf("got error %v with %d waiting, want an error with none", err, table.QueueLength("verbale"))
		}
	})
}

// BenchmarkPick measures one pick among the given number of servers of a service.
func BenchmarkPick(b *testing.B) {
	for _, size := range []int{11, 110, 550} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			table := route.NewTable("milano-a")
			for index := range size {
				table.Update(newGuard(fmt.Sprint("w", index), "milano-a", int32(index%8), 8, true), false)
			}
			b.ReportAllocs()
			for b.Loop() {
				result, err := table.Pick("verbale", nil, startTime)
				if err != nil {
					b.Fatal(err)
				}
				table.Done(result, route.Answered, nil, time.Millisecond, startTime)
			}
		})
	}
}

// TestPickResultKeepsAddress tests that a report which changes the address of a server
// does not change the result of an earlier pick, whose request may be in flight.
func TestPickResultKeepsAddress(t *testing.T) {
	table := newTable(newGuard("a", "milano-a", 0, 8, true))
	result, err := table.Pick("verbale", nil, startTime)
	if err != nil {
		t.Fatal(err)
	}
	moved := membership.NewView(time.Minute).AddReport(&wire.ReportRequest{
		Worker: "a", Incarnation: "i-2", Service: "verbale", Address: "elsewhere", Ready: true, Load: &wire.Load{Slots: 8},
	}, startTime)
	table.Update(moved, false)
	if result.Address() != "a" || result.Worker() != "a" {
		t.Errorf("got worker %s at %s, want a at a", result.Worker(), result.Address())
	}
}
