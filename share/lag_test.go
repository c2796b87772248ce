package share_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"ambertiller.example/ambertiller/share"
)

// TestLagIsBounded: however a queue's use, demand and share vary, its lag is at most what its share yields in twice the
// shortest target duration, compensated within its own one. There is none without a target duration, and no positive one
// without waiting tasks.
func TestLagIsBounded(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		shortest := time.Second + time.Duration(rng.Int64N(int64(2*time.Second)))
		target := shortest + time.Duration(rng.Int64N(int64(5*time.Second)))
		lag := share.Lag(0)
		for step := range 200 {
			shareMilliCPU := rng.Int64N(20_000)
			demand := share.Demand{UsedMilliCPU: rng.Int64N(40_000), WantedMilliCPU: rng.Int64N(4) * 5000, Target: target}
			lag = lag.Add(shareMilliCPU, demand, shortest, time.Duration(rng.Int64N(int64(time.Second))))
			most := 2 * float64(shareMilliCPU) * shortest.Seconds() / target.Seconds()
			if extra := lag.MilliCPU(target); float64(max(extra, -extra)) > 1.01*most {
				t.Fatalf("seed %d, step %d: %d beyond a share of %d, want %g", seed, step, extra, shareMilliCPU, most)
			}
			if lag > 0 && demand.WantedMilliCPU == 0 {
				t.Fatalf("seed %d, step %d: a queue without waiting tasks has a lag of %d", seed, step, lag)
			}
			demand.Target = 0
			if lag.Add(shareMilliCPU, demand, shortest, time.Second) != 0 {
				t.Fatalf("seed %d, step %d: a queue without a target duration has a lag", seed, step)
			}
		}
	}
}

// TestLagStarvesNoQueue: a queue of short tasks whose load changes at random, so that it has a lag again and again,
// never takes more of the other queue's share in any period than the greatest lag and one long task.
func TestLagStarvesNoQueue(t *testing.T) {
	const most = loadCapacity/2*int64(2*shortTarget/loadTick) + 1000*longRuns
	for seed := range uint64(10) {
		rng, arriving, lacked := rand.New(rand.NewPCG(seed, 2)), 0, int64(0)
		played := &load{table: share.NewTable(), longArriving: func(int) int { return 1 }}
		played.shortArriving = func(int) int {
			if rng.IntN(10) == 0 {
				arriving = max(rng.IntN(60)-30, 0)
			}
			return arriving
		}
		for tick := range loadArrivals {
			played.arrive(tick)
			played.place(tick)
			lacked += loadCapacity / 2
			for _, queued := range played.tasks {
				if queued.queue == "long" && queued.started >= 0 && tick < queued.started+queued.runs {
					lacked -= queued.milliCPU
				}
			}
			if lacked = max(lacked, 0); tick < longRuns {
				lacked = 0
			}
			if lacked > most {
				t.Fatalf("seed %d: the other queue lacked %d, more than %d", seed, lacked, most)
			}
		}
	}
}

// TestLagOrder: a queue that has used less than its share goes first until that is compensated. The queue that
// compensated for it gets no lag by that, and does so no more once the other has stopped waiting. Processors that none
// could use cause no lag.
func TestLagOrder(t *testing.T) {
	type count struct{ used, wanted, usedByOther int64 }
	tests := map[string]struct {
		counts []count // one every half second, that of the order last
		first  string
	}{
		"it lags":            {[]count{{0, 50_000, 20_000}, {11_000, 50_000, 9000}}, "a"},
		"it has caught up":   {[]count{{0, 50_000, 20_000}, {20_000, 50_000, 0}, {10_000, 50_000, 11_000}}, "a"},
		"none could use it":  {[]count{{5000, 50_000, 5000}, {6000, 50_000, 5500}}, "b"},
		"it stopped waiting": {[]count{{0, 50_000, 20_000}, {10_000, 0, 10_000}, {10_000, 50_000, 9000}}, "b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := share.NewTable()
			var jobs []*share.Job
			for number, count := range test.counts {
				now := start.Add(time.Duration(number) * 500 * time.Millisecond)
				jobs = []*share.Job{
					{ID: "a", UsedMilliCPU: count.used, WantedMilliCPU: count.wanted, Target: time.Second},
					{ID: "b", UsedMilliCPU: count.usedByOther, WantedMilliCPU: 50_000, Target: 4 * time.Second},
				}
				table.BeginCount(now)
				for _, job := range jobs {
					job.Key = share.Key{Queue: share.Queue{Name: job.ID}}
					table.NoteUnplaced(job.Key, now)
					table.AddJob(job)
				}
				table.EndCount(func(string) int64 { return 20_000 }, now)
			}
			if first := table.Order(jobs)[0]; first.ID != test.first {
				t.Errorf("%s goes first", first.ID)
			}
		})
	}
}
