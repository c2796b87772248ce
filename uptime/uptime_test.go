package uptime

import (
	"testing"
	"time"
)

func TestSuspendedTime(t *testing.T) {
	tests := map[string]struct {
		before, bootTime, after time.Duration
		want                    time.Duration
		exact                   bool
	}{
		"never suspended":              {time.Second, time.Second, time.Second, 0, true},
		"suspended for five seconds":   {time.Second, 6 * time.Second, time.Second, 5 * time.Second, true},
		"delayed between the readings": {time.Second, 2 * time.Second, 2 * time.Second, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, exact := suspendedTime(test.before, test.bootTime, test.after)
			if exact != test.exact || exact && got != test.want {
				t.Errorf("got %v, exact: %t", got, exact)
			}
		})
	}
}

// TestSuspendedForNeverDecreases checks that the total never decreases, whatever happens
// between the readings of the clocks.
func TestSuspendedForNeverDecreases(t *testing.T) {
	clocks, err := New()
	if err != nil {
		t.Fatal(err)
	}
	before := clocks.SuspendedFor()
	for range 100 {
		if now := clocks.SuspendedFor(); now < before {
			t.Fatalf("suspended time decreased to %v from %v", now, before)
		}
	}
}
