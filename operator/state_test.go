package operator_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/operator"
)

func TestCheck(t *testing.T) {
	const maxAge = 4 * time.Second
	startTime := time.Unix(1_700_000_000, 0)
	at := func(seconds int) time.Time { return startTime.Add(time.Duration(seconds) * time.Second) }
	type update struct {
		version int64
		asOf    time.Time
		domains []string
	}
	tests := map[string]struct {
		updates []update
		now     time.Time
		want    operator.Verdict
	}{
		"no update":                               {nil, at(0), operator.Outdated},
		"none evacuated, recent":                  {[]update{{1, at(0), nil}}, at(0), operator.Permitted},
		"none evacuated, outdated":                {[]update{{1, at(0), nil}}, at(5), operator.Outdated},
		"evacuated, recent":                       {[]update{{1, at(0), []string{"bergamo", "milano-a"}}}, at(1), operator.Evacuated},
		"evacuated, outdated":                     {[]update{{1, at(0), []string{"milano-a"}}}, at(60), operator.Evacuated},
		"other domain evacuated":                  {[]update{{1, at(0), []string{"bergamo"}}}, at(1), operator.Permitted},
		"evacuation ended":                        {[]update{{1, at(0), []string{"milano-a"}}, {2, at(1), nil}}, at(1), operator.Permitted},
		"older version arrives late":              {[]update{{2, at(1), []string{"milano-a"}}, {1, at(2), nil}}, at(2), operator.Evacuated},
		"update without a time":                   {[]update{{1, time.Time{}, nil}}, at(0), operator.Outdated},
		"update with a time after one without it": {[]update{{1, time.Time{}, nil}, {2, at(1), nil}}, at(2), operator.Permitted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var state operator.EvacuationState
			for _, update := range test.updates {
				state.Update(operator.NewEvacuations(update.version, update.domains), update.asOf)
			}
			if got := state.Check("milano-a", test.now, maxAge); got != test.want {
				t.Errorf("got verdict %v", got)
			}
		})
	}
}

// TestPeerUptime checks that the converted time is never later than the true time on the peer's clock,
// whether that clock runs slow or fast, and however long the peer's message was delayed.
func TestPeerUptime(t *testing.T) {
	startTime := time.Unix(1_700_000_000, 0)
	for _, rate := range []float64{0.98, 1, 1.02} {
		uptimeAt := func(now time.Time) time.Duration { return time.Duration(float64(now.Sub(startTime)) * rate) }
		for _, delay := range []time.Duration{0, 300 * time.Millisecond, 3 * time.Second} {
			receivedAt := startTime.Add(20 * time.Second)
			uptime := uptimeAt(receivedAt.Add(-delay))
			for _, age := range []time.Duration{-5 * time.Second, 0, 700 * time.Millisecond, 10 * time.Second} {
				at := receivedAt.Add(-age)
				if got := operator.PeerUptime(at, receivedAt, uptime); got > uptimeAt(at) {
					t.Errorf("rate %v, delay %v, %v before the message: converted to %v, true uptime %v", rate, delay, age, got, uptimeAt(at))
				}
			}
		}
	}
}
