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

// newGuard makes what is known of a guard.
func newGuard(name, domain string, used, slots int32, ready bool) *membership.Guard {
	return membership.NewView(time.Minute).AddReport(&wire.ReportRequest{
		Worker: name, Incarnation: "i-1", FailureDomain: domain, Service: "verbale", Address: name, Ready: ready,
		Load: &wire.Load{SlotsUsed: used, Slots: slots, LatencyNanos: int64(10 * time.Millisecond)},
	}, startTime)
}

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
		"the near one":              {[]*membership.Guard{newGuard("far", "bergamo", 0, 8, true), newGuard("near", "milano-a", 1, 8, true)}, nil, "near", nil},
		"far when near costs more":  {[]*membership.Guard{newGuard("far", "bergamo", 0, 8, true), newGuard("near", "milano-a", 3, 8, true)}, nil, "far", nil},
		"the least full":            {[]*membership.Guard{newGuard("a", "milano-a", 5, 8, true), newGuard("b", "milano-a", 2, 8, true)}, nil, "b", nil},
		"not one that was tried":    {[]*membership.Guard{newGuard("a", "milano-a", 0, 8, true), newGuard("b", "milano-a", 2, 8, true)}, []string{"a"}, "b", nil},
		"not one that is not ready": {[]*membership.Guard{newGuard("a", "milano-a", 0, 8, false), newGuard("b", "milano-a", 2, 8, true)}, nil, "b", nil},
		"all full":                  {[]*membership.Guard{newGuard("a", "milano-a", 8, 8, true)}, nil, "", route.ErrFull},
		"none known":                {nil, nil, "", route.ErrNoneReady},
		"all tried":                 {[]*membership.Guard{newGuard("a", "milano-a", 0, 8, true)}, []string{"a"}, "", route.ErrNoneReady},
		"a larger one is less full": {[]*membership.Guard{newGuard("a", "milano-a", 3, 8, true), newGuard("b", "milano-a", 4, 16, true)}, nil, "b", nil},
		"one without slots is full": {[]*membership.Guard{newGuard("a", "milano-a", 0, 0, true)}, nil, "", route.ErrFull},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			picked, err := newTable(test.guards...).Pick("verbale", test.tried, startTime)
			if !errors.Is(err, test.err) {
				t.Fatalf("got %v", err)
			}
			if err == nil && picked.Worker() != test.want {
				t.Errorf("got %s", picked.Worker())
			}
		})
	}
}

// TestOwnRequestsCountAsLoad: between two reports the entry counts what it sends.
func TestOwnRequestsCountAsLoad(t *testing.T) {
	table := newTable(newGuard("a", "milano-a", 0, 2, true), newGuard("b", "milano-a", 0, 2, true))
	counts := map[string]int{}
	for range 4 {
		picked, err := table.Pick("verbale", nil, startTime)
		if err != nil {
			t.Fatal(err)
		}
		counts[picked.Worker()]++
	}
	if counts["a"] != 2 || counts["b"] != 2 {
		t.Errorf("got %v", counts)
	}
	if _, err := table.Pick("verbale", nil, startTime); !errors.Is(err, route.ErrFull) {
		t.Errorf("got %v", err)
	}
}

// TestLoadOfOtherEntries: the load that came with an answer counts what
// other entries have sent.
func TestLoadOfOtherEntries(t *testing.T) {
	table := newTable(newGuard("a", "milano-a", 0, 8, true), newGuard("b", "milano-a", 1, 8, true))
	picked, err := table.Pick("verbale", nil, startTime)
	if err != nil || picked.Worker() != "a" {
		t.Fatalf("got %v, %v", picked, err)
	}
	table.Done(picked, route.Answered, &wire.Load{SlotsUsed: 6, Slots: 8}, time.Millisecond, startTime)
	if next, err := table.Pick("verbale", nil, startTime); err != nil || next.Worker() != "b" {
		t.Errorf("got %v, %v", next, err)
	}
}

func failRequest(t *testing.T, table *route.Table, name string, now time.Time) {
	t.Helper()
	others := []string{}
	for _, other := range []string{"a", "b", "c"} {
		if other != name {
			others = append(others, other)
		}
	}
	picked, err := table.Pick("verbale", others, now)
	if err != nil {
		t.Fatal(err)
	}
	table.Done(picked, route.Failed, nil, 0, now)
}

// TestEjection: a server that fails repeatedly is left out for a while, and
// never more than a third of a service.
func TestEjection(t *testing.T) {
	table := newTable(newGuard("a", "milano-a", 0, 8, true), newGuard("b", "milano-a", 4, 8, true), newGuard("c", "milano-a", 5, 8, true))
	for range 3 {
		failRequest(t, table, "a", startTime)
	}
	picked, err := table.Pick("verbale", nil, startTime)
	if err != nil || picked.Worker() != "b" || picked.EjectedCount() != 1 {
		t.Fatalf("got %v, %v", picked, err)
	}
	table.Done(picked, route.Answered, nil, time.Millisecond, startTime)
	for range 3 {
		failRequest(t, table, "b", startTime)
	}
	if picked, err = table.Pick("verbale", nil, startTime); err != nil || picked.EjectedCount() != 1 {
		t.Errorf("%d of 3 are left out, %v", picked.EjectedCount(), err)
	}
	if back, err := table.Pick("verbale", nil, startTime.Add(time.Minute)); err != nil || back.EjectedCount() != 0 {
		t.Errorf("%d are left out after a minute, %v", back.EjectedCount(), err)
	}
}

func TestPickOrWait(t *testing.T) {
	bounds := func(most int, deadline time.Duration) route.WaitOptions {
		return route.WaitOptions{MaxQueued: most, Deadline: startTime.Add(deadline), Now: func() time.Time { return startTime }, After: time.After}
	}
	t.Run("no queue: given up at once, with the time to come back", func(t *testing.T) {
		table := newTable(newGuard("a", "milano-a", 8, 8, true))
		_, err := table.PickOrWait(context.Background(), "verbale", nil, bounds(0, time.Hour))
		var shed *route.ShedError
		if !errors.As(err, &shed) || shed.RetryAfter() <= 0 {
			t.Errorf("got %v", err)
		}
	})
	t.Run("a wait that leaves no time is not begun", func(t *testing.T) {
		table := newTable(newGuard("a", "milano-a", 0, 1, true))
		picked, err := table.Pick("verbale", nil, startTime)
		if err != nil {
			t.Fatal(err)
		}
		table.Done(picked, route.Answered, &wire.Load{SlotsUsed: 1, Slots: 1}, time.Second, startTime)
		_, err = table.PickOrWait(context.Background(), "verbale", nil, bounds(10, 100*time.Millisecond))
		var shed *route.ShedError
		if !errors.As(err, &shed) {
			t.Errorf("got %v", err)
		}
	})
	t.Run("woken when a slot comes free", func(t *testing.T) {
		table := newTable(newGuard("a", "milano-a", 0, 1, true))
		first, err := table.Pick("verbale", nil, startTime)
		if err != nil {
			t.Fatal(err)
		}
		woken := make(chan error, 1)
		go func() {
			_, err := table.PickOrWait(context.Background(), "verbale", nil, bounds(10, time.Hour))
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
	t.Run("leaves the queue when its time is over", func(t *testing.T) {
		table := newTable(newGuard("a", "milano-a", 1, 1, true))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if _, err := table.PickOrWait(ctx, "verbale", nil, bounds(10, time.Hour)); err == nil || table.QueueLength("verbale") != 0 {
			t.Errorf("got %v with %d waiting", err, table.QueueLength("verbale"))
		}
	})
}

// BenchmarkPick is one routing decision among the servers of a service.
func BenchmarkPick(b *testing.B) {
	for _, size := range []int{11, 110, 550} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			table := route.NewTable("milano-a")
			for index := range size {
				table.Update(newGuard(fmt.Sprint("w", index), "milano-a", int32(index%8), 8, true), false)
			}
			b.ReportAllocs()
			for b.Loop() {
				picked, err := table.Pick("verbale", nil, startTime)
				if err != nil {
					b.Fatal(err)
				}
				table.Done(picked, route.Answered, nil, time.Millisecond, startTime)
			}
		})
	}
}

// TestPickResultKeepsAddress: a report that moves the server to another address
// while a request is on its way changes nothing about that request.
func TestPickResultKeepsAddress(t *testing.T) {
	table := newTable(newGuard("a", "milano-a", 0, 8, true))
	picked, err := table.Pick("verbale", nil, startTime)
	if err != nil {
		t.Fatal(err)
	}
	moved := membership.NewView(time.Minute).AddReport(&wire.ReportRequest{
		Worker: "a", Incarnation: "i-2", Service: "verbale", Address: "elsewhere", Ready: true, Load: &wire.Load{Slots: 8},
	}, startTime)
	table.Update(moved, false)
	if picked.Address() != "a" || picked.Worker() != "a" {
		t.Errorf("got %s at %s", picked.Worker(), picked.Address())
	}
}
