package operator_test

import (
	"testing"
	"time"

	"ambertiller.example/ambertiller/operator"
)

func TestCheck(t *testing.T) {
	const oldest = 4 * time.Second
	began := time.Unix(1_700_000_000, 0)
	at := func(seconds int) time.Time { return began.Add(time.Duration(seconds) * time.Second) }
	type told struct {
		version int64
		asOf    time.Time
		domains []string
	}
	tests := map[string]struct {
		told []told
		now  time.Time
		want operator.Verdict
	}{
		"nobody has told":          {nil, at(0), operator.Outdated},
		"none, told now":           {[]told{{1, at(0), nil}}, at(0), operator.Permitted},
		"none, told long ago":      {[]told{{1, at(0), nil}}, at(5), operator.Outdated},
		"evacuated":                {[]told{{1, at(0), []string{"bergamo", "milano-a"}}}, at(1), operator.Evacuated},
		"evacuated long ago":       {[]told{{1, at(0), []string{"milano-a"}}}, at(60), operator.Evacuated},
		"another one":              {[]told{{1, at(0), []string{"bergamo"}}}, at(1), operator.Permitted},
		"given back":               {[]told{{1, at(0), []string{"milano-a"}}, {2, at(1), nil}}, at(1), operator.Permitted},
		"an older version late":    {[]told{{2, at(1), []string{"milano-a"}}, {1, at(2), nil}}, at(2), operator.Evacuated},
		"a read of no known end":   {[]told{{1, time.Time{}, nil}}, at(0), operator.Outdated},
		"an end after one of none": {[]told{{1, time.Time{}, nil}, {2, at(1), nil}}, at(2), operator.Permitted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var known operator.EvacuationState
			for _, one := range test.told {
				known.Update(operator.NewEvacuations(one.version, one.domains), one.asOf)
			}
			if got := known.Check("milano-a", test.now, oldest); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

// TestPeerUptime: a moment is never later on the peer's clock than it is told, whether that
// clock runs slow or fast and however long the peer's word was on its way.
func TestPeerUptime(t *testing.T) {
	began := time.Unix(1_700_000_000, 0)
	for _, rate := range []float64{0.98, 1, 1.02} {
		uptimeAt := func(now time.Time) time.Duration { return time.Duration(float64(now.Sub(began)) * rate) }
		for _, delay := range []time.Duration{0, 300 * time.Millisecond, 3 * time.Second} {
			heardAt := began.Add(20 * time.Second)
			uptime := uptimeAt(heardAt.Add(-delay))
			for _, ago := range []time.Duration{-5 * time.Second, 0, 700 * time.Millisecond, 10 * time.Second} {
				moment := heardAt.Add(-ago)
				if got := operator.PeerUptime(moment, heardAt, uptime); got > uptimeAt(moment) {
					t.Errorf("rate %v, delay %v, %v before: told %v, true %v", rate, delay, ago, got, uptimeAt(moment))
				}
			}
		}
	}
}
