package gateway

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestOutage: the store is known to be away once nothing was taken for a while, and one
// caller in a while finds out whether it is back.
func TestOutage(t *testing.T) {
	begin := time.UnixMilli(1_800_000_000_000)
	ms := func(count int) time.Time { return begin.Add(time.Duration(count) * time.Millisecond) }
	asked := func(seen *outage) {
		seen.failed(ms(0))
		seen.failed(ms(1000))
		seen.known(ms(1100))
	}
	tests := map[string]struct {
		before func(seen *outage)
		asked  time.Duration
		known  bool
	}{
		"nothing has failed":      {func(*outage) {}, 5 * time.Second, false},
		"has failed a moment ago": {func(seen *outage) { seen.failed(ms(0)) }, 100 * time.Millisecond, false},
		"is asked after a second": {func(seen *outage) { seen.failed(ms(0)) }, 1100 * time.Millisecond, false},
		"has just been asked":     {asked, 1200 * time.Millisecond, true},
		"was asked a while ago":   {asked, 1300 * time.Millisecond, false},
		"failed long ago":         {asked, 3100 * time.Millisecond, false},
		"is back": {func(seen *outage) {
			asked(seen)
			seen.over()
		}, 1200 * time.Millisecond, false},
		"fails again after it was back": {func(seen *outage) {
			asked(seen)
			seen.over()
			seen.failed(ms(1150))
		}, 1500 * time.Millisecond, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			seen := &outage{}
			test.before(seen)
			if got := seen.known(begin.Add(test.asked)); got != test.known {
				t.Errorf("known: %v", got)
			}
		})
	}
}

// TestKnownOutageIsNotTried: while the store is known to be away a record is refused
// without being sent, so it is not there; with no store set up, sending would panic.
func TestKnownOutageIsNotTried(t *testing.T) {
	clock := clockwork.NewFakeClock()
	front := &Gateway{options: Options{Clock: clock, Shards: 8}}
	front.outage.failed(clock.Now())
	clock.Advance(outageSure)
	front.outage.failed(clock.Now())
	front.outage.known(clock.Now()) // This one finds out.
	if got := front.append(t.Context(), "0123456789abcdef", "key", nil); got.kind != refused {
		t.Errorf("got %v: %s", got.kind, got.reason)
	}
}
