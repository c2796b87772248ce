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
	valid := lease.Offer{Subject: "task-1", Token: 4, Incarnation: "i-1", Deadline: uptime + 10*time.Second}
	tests := map[string]struct {
		prepare func(holder *lease.Holder)
		change  func(offer *lease.Offer)
		want    error
	}{
		"accepted":                      {nil, nil, nil},
		"another incarnation":           {nil, func(offer *lease.Offer) { offer.Incarnation = "i-0" }, lease.ErrOtherIncarnation},
		"expired":                       {nil, func(offer *lease.Offer) { offer.Deadline = uptime }, lease.ErrExpired},
		"expires too far in the future": {nil, func(offer *lease.Offer) { offer.Deadline = uptime + time.Hour }, lease.ErrExpired},
		"fenced":                        {func(holder *lease.Holder) { holder.Fence("task-1", 4, uptime) }, nil, lease.ErrFenced},
		"an earlier token is fenced":    {func(holder *lease.Holder) { holder.Fence("task-1", 3, uptime) }, nil, nil},
		"another subject is fenced":     {func(holder *lease.Holder) { holder.Fence("task-2", 9, uptime) }, nil, nil},
		"a later uptime was reported":   {func(holder *lease.Holder) { holder.ReportUptime(uptime + time.Minute) }, nil, lease.ErrExpired},
		"fenced, and the fence has not expired": {func(holder *lease.Holder) {
			holder.Fence("task-1", 4, uptime-lease.MaxOfferTime)
			holder.Fence("x", 1, uptime)
		}, nil, lease.ErrFenced},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			holder, offer := lease.NewHolder("i-1"), valid
			if test.prepare != nil {
				test.prepare(holder)
			}
			if test.change != nil {
				test.change(&offer)
			}
			if err := holder.Check(offer, uptime); !errors.Is(err, test.want) {
				t.Errorf("Check returned the wrong result: %v", err)
			}
		})
	}
}

// TestExpiryWaitCoversClockDrift tests that a lease which was accepted at the last
// moment has expired after ExpiryWait, for any two clocks within the drift bound.
func TestExpiryWaitCoversClockDrift(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := time.Duration(rapid.Int64Range(0, int64(24*time.Hour)).Draw(t, "duration"))
		offerTime := time.Duration(rapid.Int64Range(0, int64(lease.MaxOfferTime)).Draw(t, "offer time"))
		grantorRate := 1 + rapid.Float64Range(-lease.MaxClockDriftRate/2, lease.MaxClockDriftRate/2).Draw(t, "grantor's clock rate")
		holderRate := 1 + rapid.Float64Range(-lease.MaxClockDriftRate/2, lease.MaxClockDriftRate/2).Draw(t, "holder's clock rate")
		waited := float64(lease.ExpiryWait(duration, offerTime)) / grantorRate
		lasted := float64(duration+offerTime) / holderRate
		if waited < lasted {
			t.Fatalf("waited for %v, but the lease lasts %v", time.Duration(waited), time.Duration(lasted))
		}
	})
}

func TestRemaining(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct{ age, want time.Duration }{
		"confirmed now":          {0, time.Minute},
		"confirmed a while ago":  {20 * time.Second, 40 * time.Second},
		"confirmed too long ago": {2 * time.Minute, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := lease.Remaining(time.Minute, now.Add(-test.age), now); got != test.want {
				t.Errorf("Remaining returned the wrong time: %s", got)
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
