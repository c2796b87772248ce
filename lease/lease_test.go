package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"ambertiller.example/ambertiller/lease"
)

func TestCheck(t *testing.T) {
	const uptime = 100 * time.Second
	good := lease.Offer{Subject: "task-1", Token: 4, Incarnation: "i-1", Deadline: uptime + 10*time.Second}
	tests := map[string]struct {
		prepare func(holder *lease.Holder)
		change  func(offer *lease.Offer)
		want    error
	}{
		"taken up":                {nil, nil, nil},
		"another incarnation":     {nil, func(offer *lease.Offer) { offer.Incarnation = "i-0" }, lease.ErrOtherIncarnation},
		"ended":                   {nil, func(offer *lease.Offer) { offer.Deadline = uptime }, lease.ErrExpired},
		"ends too far ahead":      {nil, func(offer *lease.Offer) { offer.Deadline = uptime + time.Hour }, lease.ErrExpired},
		"barred":                  {func(holder *lease.Holder) { holder.Fence("task-1", 4, uptime) }, nil, lease.ErrFenced},
		"an earlier token barred": {func(holder *lease.Holder) { holder.Fence("task-1", 3, uptime) }, nil, nil},
		"another subject barred":  {func(holder *lease.Holder) { holder.Fence("task-2", 9, uptime) }, nil, nil},
		"a later uptime was told": {func(holder *lease.Holder) { holder.ReportUptime(uptime + time.Minute) }, nil, lease.ErrExpired},
		"barred, the barrier still stands": {func(holder *lease.Holder) {
			holder.Fence("task-1", 4, uptime-lease.MaxOfferTime)
			holder.Fence("x", 1, uptime)
		}, nil, lease.ErrFenced},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			holder, offer := lease.NewHolder("i-1"), good
			if test.prepare != nil {
				test.prepare(holder)
			}
			if test.change != nil {
				test.change(&offer)
			}
			if err := holder.Check(offer, uptime); !errors.Is(err, test.want) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// TestExpiryWaitCoversClockDrift: whatever clocks within the bound do, a lease
// that was taken up at the last moment has ended when it is counted out.
func TestExpiryWaitCoversClockDrift(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := time.Duration(rapid.Int64Range(0, int64(24*time.Hour)).Draw(t, "length"))
		offer := time.Duration(rapid.Int64Range(0, int64(lease.MaxOfferTime)).Draw(t, "offer"))
		giver := 1 + rapid.Float64Range(-lease.MaxClockDriftRate/2, lease.MaxClockDriftRate/2).Draw(t, "giver's rate")
		holder := 1 + rapid.Float64Range(-lease.MaxClockDriftRate/2, lease.MaxClockDriftRate/2).Draw(t, "holder's rate")
		waited := float64(lease.ExpiryWait(length, offer)) / giver
		runs := float64(length+offer) / holder
		if waited < runs {
			t.Fatalf("counted out after %v, runs %v", time.Duration(waited), time.Duration(runs))
		}
	})
}

func TestRemaining(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct{ age, want time.Duration }{
		"just sure":      {0, time.Minute},
		"sure a while":   {20 * time.Second, 40 * time.Second},
		"too long since": {2 * time.Minute, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := lease.Remaining(time.Minute, now.Add(-test.age), now); got != test.want {
				t.Errorf("got %s", got)
			}
		})
	}
}

func ExampleHolder() {
	holder := lease.NewHolder("i-1")
	offer := lease.Offer{Subject: "task-1", Token: 1, Incarnation: "i-1", Deadline: 10 * time.Second}
	fmt.Println(holder.Check(offer, 5*time.Second))
	holder.Fence("task-1", 1, 6*time.Second)
	fmt.Println(holder.Check(offer, 7*time.Second))
	// Output:
	// <nil>
	// the attempt was stopped before it came
}
