package share_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ambertiller.example/ambertiller/share"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// randomDemands returns demands of up to eight queues with three priorities, and a capacity that is often too
// small for them.
func randomDemands(rng *rand.Rand) (capacityMilliCPU int64, demands []share.Demand) {
	for number := range 1 + rng.IntN(8) {
		demands = append(demands, share.Demand{
			Queue:        share.Queue{Name: fmt.Sprint(number), Priority: rng.Int32N(3)},
			UsedMilliCPU: rng.Int64N(20_000), WantedMilliCPU: 1 + rng.Int64N(40_000),
		})
	}
	return 10_000 + rng.Int64N(100_000), demands
}

// TestDivideProperties: within each priority, shares sum exactly to the capacity that is left or to all demands;
// every queue gets its demand or an equal part; and a greater demand never gets less.
func TestDivideProperties(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		capacity, demands := randomDemands(rng)
		shares := share.Divide(capacity, demands)
		left := capacity
		for priority := range int32(3) {
			sum, wanted, used, queues := int64(0), int64(0), int64(0), int64(0)
			for index, demand := range demands {
				if demand.Queue.Priority == priority {
					sum, wanted, used, queues = sum+shares[index], wanted+demand.MilliCPU(), used+demand.UsedMilliCPU, queues+1
				}
			}
			if sum != min(left, wanted) {
				t.Fatalf("seed %d, priority %d: shares sum to %d of %d, %d wanted", seed, priority, sum, left, wanted)
			}
			for index, demand := range demands {
				if demand.Queue.Priority == priority && shares[index] < min(demand.MilliCPU(), left/queues) {
					t.Fatalf("seed %d: %v gets %d of %d", seed, demand, shares[index], left)
				}
			}
			left = max(left-used, 0)
		}
		index := rng.IntN(len(demands))
		demands[index].WantedMilliCPU += 1 + rng.Int64N(10_000)
		if more := share.Divide(capacity, demands)[index]; more < shares[index] {
			t.Fatalf("seed %d: a greater demand gets %d, not %d", seed, more, shares[index])
		}
	}
}

// TestSharesDoNotFlap: demands that vary by 10% change the shares once per return time at most, and never the
// order of two queues whose use relative to their shares differs clearly.
func TestSharesDoNotFlap(t *testing.T) {
	const target, seconds = 2 * time.Second, 60
	rng := rand.New(rand.NewPCG(7, 1))
	division, changes := &share.Division{}, 0
	a, b := share.Queue{Name: "a"}, share.Queue{Name: "b"}
	for tick := range seconds * 10 {
		vary := func(milliCPU int64) int64 { return milliCPU * (900 + rng.Int64N(201)) / 1000 }
		demands := []share.Demand{
			{Queue: a, WantedMilliCPU: vary(40_000), Target: target},
			{Queue: b, WantedMilliCPU: vary(80_000)},
			{Queue: share.Queue{Name: "c"}, WantedMilliCPU: vary(20_000)},
		}
		if division.Update(100_000, demands, start.Add(time.Duration(tick)*100*time.Millisecond)) {
			changes++
		}
		low := &share.PlacementQueue{Queue: b, ShareMilliCPU: division.ShareMilliCPU(b), UsedMilliCPU: 20_000}
		high := &share.PlacementQueue{Queue: a, ShareMilliCPU: division.ShareMilliCPU(a), UsedMilliCPU: 30_000}
		if low.Compare(high) >= 0 {
			t.Fatalf("tick %d: the queue further below its share is not first", tick)
		}
	}
	if most := seconds*2 + 1; changes > most {
		t.Errorf("the shares changed %d times in %d s, more than %d", changes, seconds, most)
	}
}

// TestDivisionFollowsDemand: a noticeable change counts at once, a small one after a quarter of the shortest
// target duration, and other queues use the share of one without demand.
func TestDivisionFollowsDemand(t *testing.T) {
	tests := map[string]struct {
		wanted  int64
		after   time.Duration
		changed bool
	}{
		"the queue returns":            {40_000, 10 * time.Millisecond, true},
		"a small change, soon":         {11_000, 400 * time.Millisecond, false},
		"a small change, after a time": {11_000, 500 * time.Millisecond, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			quiet := share.Demand{Queue: share.Queue{Name: "quiet"}, WantedMilliCPU: 10_000, Target: 2 * time.Second}
			busy := share.Demand{Queue: share.Queue{Name: "busy"}, WantedMilliCPU: 90_000}
			division := &share.Division{}
			division.Update(60_000, []share.Demand{quiet, busy}, start)
			if got := division.ShareMilliCPU(busy.Queue); got != 50_000 {
				t.Fatalf("the busy queue has %d", got)
			}
			quiet.WantedMilliCPU = test.wanted
			if changed := division.Update(60_000, []share.Demand{quiet, busy}, start.Add(test.after)); changed != test.changed {
				t.Errorf("changed: %v", changed)
			}
			if got := division.ShareMilliCPU(quiet.Queue); test.changed && got != min(test.wanted, 30_000) {
				t.Errorf("the quiet queue has %d", got)
			}
		})
	}
}

// TestJobOrder: jobs in time before late ones, then the least work, long-running ones last; the job that has
// waited longest gets one start in four.
func TestJobOrder(t *testing.T) {
	jobs := func() []*share.Job {
		return []*share.Job{
			{ID: "service", LongRunning: true, Target: time.Hour},
			{ID: "late", Late: true, Work: 1, Target: time.Second, Waited: time.Minute},
			{ID: "later", Late: true, Work: 2, Target: time.Second, Waited: 2 * time.Minute},
			{ID: "large", Work: 9, Target: time.Hour, Waited: time.Minute},
			{ID: "small", Work: 3, Target: time.Hour},
		}
	}
	tests := map[string]struct {
		starts int
		want   string
	}{
		"the oldest is due":      {3, "[later small large service late]"},
		"the oldest is due soon": {2, "[small later large service late]"},
		"it has just had a turn": {0, "[small large service later late]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var ids []string
			for _, job := range share.Sequence([]*share.PlacementQueue{{StartsSinceOldest: test.starts, Jobs: jobs()}}) {
				ids = append(ids, job.ID)
			}
			if fmt.Sprint(ids) != test.want {
				t.Errorf("got %v, want %s", ids, test.want)
			}
		})
	}
	overdue := &share.Job{LongRunning: true, Target: time.Hour, Waited: 2 * time.Second}
	if !overdue.IsOverdue() {
		t.Error("a long-running job may be passed over for longer than 1.5 s")
	}
	queue, other := &share.PlacementQueue{ShareMilliCPU: 5, Jobs: jobs()}, &share.PlacementQueue{ShareMilliCPU: 4}
	compare := func() { queue.Compare(other); queue.Jobs[0].Compare(queue.Jobs[1]) }
	if allocations := testing.AllocsPerRun(100, compare); allocations > 0 {
		t.Errorf("comparisons allocate %v times", allocations)
	}
}

// TestOverdueTurns: of many starts in one pass, each fourth is due to the overdue job that has waited longest, and one
// that can't be placed doesn't keep the next one from its turn when passes start one task each.
func TestOverdueTurns(t *testing.T) {
	key := share.Key{Queue: share.Queue{Name: "a"}}
	jobs := func(pass int) []*share.Job {
		jobs := []*share.Job{{ID: "stuck", Key: key, Late: true, Target: time.Second, Waited: time.Hour}}
		for number := range 8 {
			jobs = append(jobs,
				&share.Job{ID: fmt.Sprintf("fresh%d-%d", pass, number), Key: key, Target: time.Hour},
				&share.Job{ID: fmt.Sprintf("late%d", number), Key: key, Late: true, Target: time.Second, Waited: time.Minute})
		}
		return jobs
	}
	late := 0
	for _, job := range share.Sequence([]*share.PlacementQueue{{Jobs: jobs(0)}})[:8] {
		if job.Late {
			late++
		}
	}
	if late != 2 {
		t.Errorf("%d of the first 8 starts are those of overdue jobs", late)
	}
	table := share.NewTable()
	table.NoteUnplaced(key, start)
	table.NoteUnplaced(share.Key{Queue: share.Queue{Name: "b"}}, start)
	late = 0
	for pass := range 40 {
		ordered := table.Order(jobs(pass))
		started := ordered[0]
		if started.ID == "stuck" {
			started = ordered[1]
		}
		if started.Late {
			late++
		}
		table.RecordStart(key, started.ID, 0)
	}
	if late < 40/(2*4) { // the stuck job has each other turn
		t.Errorf("%d of 40 starts are those of overdue jobs", late)
	}
}

// TestLargeJobCostsNoTurns: a job that wants more than the queue's share, and that no worker can take, doesn't leave
// the other jobs of its queue behind all those of a queue that uses more than its share.
func TestLargeJobCostsNoTurns(t *testing.T) {
	a := &share.PlacementQueue{ShareMilliCPU: 10_000, Jobs: []*share.Job{
		{ID: "a-stuck", Work: 1, WantedMilliCPU: 50_000, Target: time.Hour},
		{ID: "a", Work: 2, WantedMilliCPU: 1000, Target: time.Hour},
	}}
	b := &share.PlacementQueue{Queue: share.Queue{Name: "b"}, ShareMilliCPU: 10_000, UsedMilliCPU: 20_000}
	for number := range 9 {
		b.Jobs = append(b.Jobs, &share.Job{ID: fmt.Sprint("b", number), WantedMilliCPU: 1000, Target: time.Hour})
	}
	if second := share.Sequence([]*share.PlacementQueue{a, b})[1]; second.ID != "a" {
		t.Errorf("%s goes before the other job of the queue that uses nothing", second.ID)
	}
}

// TestShortReserve: the reserve is at most an eighth of the worker, decreases to nothing, and doesn't bind
// a task that has waited or that finds twice the processors that it needs.
func TestShortReserve(t *testing.T) {
	peak := &share.RecentPeak{}
	if peak.MilliCPU(start) != 0 {
		t.Error("there is a peak without any short task")
	}
	peak.Observe(1000, start)
	peak.Observe(200, start.Add(time.Second))
	for after, want := range map[time.Duration]int64{time.Second: 800, 3 * time.Second: 480, 6 * time.Second: 0} {
		if got := peak.MilliCPU(start.Add(after)); got != want {
			t.Errorf("after %v the peak is %d, not %d", after, got, want)
		}
	}
	if share.ShortReserve(32_000, 9000) != 4000 || share.ShortReserve(32_000, 500) != 500 {
		t.Error("the reserve is not the peak up to an eighth of the worker")
	}
	tests := map[string]struct {
		free, needed int64
		waited       time.Duration
		reserved     bool
	}{
		"part of the reserve is needed": {1200, 1000, 0, true},
		"beside the reserve":            {1500, 1000, 0, false},
		"it has waited":                 {1200, 1000, 2 * time.Second, false},
		"twice as many are free":        {400, 200, 0, false},
		"nearly twice as many are free": {390, 200, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := share.IsReserved(test.free, test.needed, 500, test.waited); got != test.reserved {
				t.Errorf("reserved: %v", got)
			}
		})
	}
}

// TestFractions: a shard counts once, and old reports and those without shards not at all.
func TestFractions(t *testing.T) {
	reports := []share.Report{
		{Shards: []int32{1, 2, 3, 4}, Age: 2 * time.Second},
		{Shards: []int32{4, 5}, Age: time.Second},
		{Shards: []int32{6}, Age: 4 * time.Second},
		{},
	}
	got := share.Fractions(reports, func(shard int32) bool { return shard == 1 })
	if fmt.Sprint(got) != "[0.5 1 0 0]" {
		t.Errorf("got %v", got)
	}
}

// TestCompetition: jobs take turns only if two queues of their service and priority have lacked resources within
// a second. The jobs of all other queues keep their positions.
func TestCompetition(t *testing.T) {
	key := func(service, name string, priority int32) share.Key {
		return share.Key{Service: service, Queue: share.Queue{Name: name, Priority: priority}}
	}
	const plain, inTurn = "[a1 x a2 b1 y b2]", "[a1 x b1 a2 y b2]"
	tests := map[string]struct {
		first, second share.Key
		apart         time.Duration
		want          string
	}{
		"two queues":        {key("s", "a", 1), key("s", "b", 1), 900 * time.Millisecond, inTurn},
		"one queue":         {key("s", "a", 1), key("s", "a", 1), 0, plain},
		"two priorities":    {key("s", "a", 1), key("s", "b", 2), 0, plain},
		"two services":      {key("s", "a", 1), key("u", "b", 1), 0, plain},
		"not the same time": {key("s", "a", 1), key("s", "b", 1), time.Second, plain},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := share.NewTable()
			table.NoteUnplaced(test.first, start)
			table.NoteUnplaced(test.second, start.Add(test.apart))
			table.Expire(start.Add(test.apart))
			jobs := []*share.Job{
				{ID: "a1", Key: key("s", "a", 1), WantedMilliCPU: 1}, {ID: "x", Key: key("s", "b", 0)},
				{ID: "a2", Key: key("s", "a", 1), WantedMilliCPU: 1}, {ID: "b1", Key: key("s", "b", 1), WantedMilliCPU: 1},
				{ID: "y", Key: key("u", "b", 1)}, {ID: "b2", Key: key("s", "b", 1), WantedMilliCPU: 1},
			}
			var ids []string
			for _, job := range table.Order(jobs) {
				ids = append(ids, job.ID)
			}
			if fmt.Sprint(ids) != test.want {
				t.Errorf("got %v, want %s", ids, test.want)
			}
		})
	}
}

// TestShortageOfOneQueue: a queue that lacks resources while it uses less than its share has its turns, though
// the other one has all that it wants. One that is alone, or that has its share, keeps its order.
func TestShortageOfOneQueue(t *testing.T) {
	key := func(name string) share.Key { return share.Key{Queue: share.Queue{Name: name}} }
	tests := map[string]struct {
		used, usedByOther int64
		short             bool
	}{
		"the other has more than its share": {2000, 8000, true},
		"it has its share":                  {6000, 4000, false},
		"it is alone":                       {4000, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := share.NewTable()
			table.NoteUnplaced(key("a"), start)
			if !table.Expire(start) {
				t.Error("no queue lacks resources")
			}
			table.BeginCount(start)
			table.AddJob(&share.Job{Key: key("a"), UsedMilliCPU: test.used, WantedMilliCPU: 9000})
			table.AddJob(&share.Job{Key: key("b"), UsedMilliCPU: test.usedByOther})
			table.EndCount(func(string) int64 { return 10_000 }, start)
			if _, short := table.ContendedPriority("", start); short != test.short {
				t.Errorf("short: %v", short)
			}
		})
	}
}

// TestStartsBetweenCounts: starts count at once, and the job that has waited longest is first again after three
// starts of other jobs.
func TestStartsBetweenCounts(t *testing.T) {
	key := func(name string) share.Key { return share.Key{Queue: share.Queue{Name: name}} }
	table := share.NewTable()
	jobs := []*share.Job{
		{ID: "b", Key: key("b"), WantedMilliCPU: 1000, Target: time.Hour},
		{ID: "a1", Key: key("a"), WantedMilliCPU: 1000, Target: time.Hour},
		{ID: "a2", Key: key("a"), WantedMilliCPU: 1000, Late: true, Target: time.Second, Waited: time.Minute},
	}
	table.NoteUnplaced(key("a"), start)
	table.NoteUnplaced(key("b"), start)
	table.BeginCount(start)
	for _, job := range jobs {
		table.AddJob(job)
	}
	table.EndCount(func(string) int64 { return 2000 }, start)
	steps := []struct{ started, queue, want string }{
		{want: "[a1 b a2]"},
		{started: "a1", queue: "a", want: "[b a1 a2]"},
		{started: "b", queue: "b", want: "[a1 b a2]"},
		{started: "a1", queue: "a", want: "[b a1 a2]"},
		{started: "a1", queue: "a", want: "[b a2 a1]"},
		{started: "a2", queue: "a", want: "[b a1 a2]"},
	}
	for number, step := range steps {
		if step.started != "" {
			table.RecordStart(key(step.queue), step.started, 1000)
		}
		var ids []string
		for _, job := range table.Order(jobs) {
			ids = append(ids, job.ID)
		}
		if fmt.Sprint(ids) != step.want {
			t.Errorf("step %d: got %v, want %s", number, ids, step.want)
		}
	}
}
