package owner

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/share"
	"ambertiller.example/ambertiller/wire"
)

// enableShares enables the feature.
func enableShares(h *harness) {
	h.t.Helper()
	h.enable("backlog", "shares")
	h.owner.shares = newQueueShares(h.owner.options)
}

// beginShortage has tasks of two queues wait for resources.
func beginShortage(h *harness) {
	for _, name := range []string{"a", "b"} {
		h.owner.shares.table.NoteUnplaced(share.Key{Service: "verbale", Queue: share.Queue{Name: name}}, h.clock.Now())
	}
}

// submitQueues submits two long-running jobs to one queue and two short ones to another, all for workers with a
// label.
func submitQueues(h *harness, label string) {
	for number, name := range []string{"long", "long", "short", "short"} {
		h.submitWith(func(submission *job.Submission) {
			submission.Id = jobIDInShard(h.shard.number, number)
			submission.Queue = name
			submission.Steps[0].Lasting = name == "long"
			submission.Steps[0].Label = label
		})
	}
}

// queueOrder returns the queues of the jobs in the order of placing.
func queueOrder(h *harness) string {
	var names []string
	for _, j := range h.owner.jobsByUrgency(h.clock.Now()) {
		names = append(names, j.Submission().GetQueue())
	}
	return strings.Join(names, " ")
}

// TestOrderByShares: queues take turns while both lack a worker, by what this owner and the recent reports of
// others say that they use, in which a shard counts once. Otherwise the order is that without shares.
func TestOrderByShares(t *testing.T) {
	const other = 100
	report := func(ageMs int64, shards ...int32) *wire.OwnerBacklog {
		return &wire.OwnerBacklog{AgeMs: ageMs, Shards: shards, Queues: []*wire.QueueBacklog{
			{Queue: "long", Service: "verbale", UsedMilliCpu: 1000, WantedMilliCpu: 1000},
			{Queue: "long", Service: "verbale", UsedMilliCpu: 4000, Need: wire.TaskNeed_NEED_LASTING},
		}}
	}
	own := int32(job.ShardOf(jobID, 8))
	const plain, inTurn, byUse = "long long short short", "long short long short", "short short long long"
	tests := map[string]struct {
		off, room bool
		label     string
		reports   []*wire.OwnerBacklog
		want      string
		used      int64
	}{
		"off":                     {off: true, want: plain},
		"there is room":           {room: true, want: plain},
		"no worker has the label": {label: "rare", want: plain},
		"told nothing":            {want: inTurn},
		"told in time":            {reports: []*wire.OwnerBacklog{report(2000, other)}, want: byUse, used: 5000},
		"told late":               {reports: []*wire.OwnerBacklog{report(3100, other)}, want: inTurn},
		"told twice": {
			reports: []*wire.OwnerBacklog{report(0, other), report(500, other)}, want: byUse, used: 5000,
		},
		"a shard has just moved here":       {reports: []*wire.OwnerBacklog{report(0, own)}, want: inTurn},
		"one of two shards has moved here":  {reports: []*wire.OwnerBacklog{report(0, own, other)}, want: byUse, used: 2500},
		"an older build, without any shard": {reports: []*wire.OwnerBacklog{report(0)}, want: inTurn},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			if !test.off {
				enableShares(h)
			}
			submitQueues(h, test.label)
			h.attach()
			status := idleWorkerStatus()
			if !test.room {
				status.FreeMilliCpu = 0
			}
			h.receive(&wire.AgentMessage{Status: status})
			h.owner.peerBacklogs = peerBacklogs{backlogs: test.reports, receivedAt: h.clock.Now()}
			h.tick()
			if got := queueOrder(h); got != test.want {
				t.Errorf("the order is %q, want %q", got, test.want)
			}
			if test.want == plain {
				return
			}
			if row := h.owner.shares.table.Rows()[0]; row.Key.Queue.Name != "long" || row.UsedMilliCPU != test.used {
				t.Errorf("got %+v, want the long-running queue with %d in use", row, test.used)
			}
		})
	}
}

// TestLackOfResources: only what queues compete for counts as lacking, not tolerance, and not what no worker has.
func TestLackOfResources(t *testing.T) {
	tests := map[string]struct {
		spec          *job.StepSpec
		freeMilliCPU  int64
		lacking, fits bool
	}{
		"it fits":                              {spec: &job.StepSpec{MilliCpu: 1000}, freeMilliCPU: 4000, fits: true},
		"processors in use":                    {spec: &job.StepSpec{MilliCpu: 1000}, freeMilliCPU: 500, lacking: true},
		"more processors than any worker has":  {spec: &job.StepSpec{MilliCpu: 4001}, freeMilliCPU: 500},
		"accelerators that no worker has":      {spec: &job.StepSpec{MilliCpu: 1000, Accelerators: 1}, freeMilliCPU: 4000},
		"a fill task without tolerance":        {spec: &job.StepSpec{MilliCpu: 1000, Fills: true}, freeMilliCPU: 4000},
		"a fill task without idle processors":  {spec: &job.StepSpec{MilliCpu: 1000, Fills: true}, lacking: true},
		"a fill task that asks for all memory": {spec: &job.StepSpec{MilliCpu: 1000, MemoryMb: 4001, Fills: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			enableShares(h)
			h.attach()
			status := idleWorkerStatus()
			status.FreeMilliCpu, status.Tolerances = test.freeMilliCPU, []*wire.Tolerance{{Image: "loud"}}
			h.receive(&wire.AgentMessage{Status: status})
			test.spec.Count, test.spec.Image = 1, "loud"
			h.submitWith(func(submission *job.Submission) { submission.Steps[0] = test.spec })
			h.tick()
			if placed := len(h.agent.runs) == 1; placed != test.fits {
				t.Fatalf("placed: %v", placed)
			}
			if lacking := h.owner.shares.table.Expire(h.clock.Now()); lacking != test.lacking {
				t.Errorf("lacking: %v", lacking)
			}
		})
	}
}

// TestTurnsArePlaced: room for two tasks goes to one of each queue, and their starts count at once.
func TestTurnsArePlaced(t *testing.T) {
	h := newHarness(t)
	enableShares(h)
	submitQueues(h, "")
	h.attach()
	for _, free := range []int64{0, 2000} {
		status := idleWorkerStatus()
		status.FreeMilliCpu = free
		h.receive(&wire.AgentMessage{Status: status})
		h.tick()
	}
	for _, row := range h.owner.shares.table.Rows() {
		if row.UsedMilliCPU != 1000 || row.DemandMilliCPU != 2000 {
			t.Errorf("got %+v, want 1000 of 2000 in use", row)
		}
	}
	if len(h.agent.runs) != 2 {
		t.Errorf("%d tasks were placed", len(h.agent.runs))
	}
}

// TestLongestWaitingJobHasItsTurn: a late job that has waited for more than its target duration, 2 s, goes ahead of
// a new one after three starts of other jobs.
func TestLongestWaitingJobHasItsTurn(t *testing.T) {
	h := newHarness(t)
	enableShares(h)
	submitQueues(h, "")
	h.attach()
	full := idleWorkerStatus()
	full.FreeMilliCpu = 0
	for range 22 {
		h.owner.lastJoinAt = h.clock.Now()
		h.receive(&wire.AgentMessage{Status: full})
		h.tick()
		h.clock.Advance(100 * time.Millisecond)
	}
	fresh := jobIDInShard(h.shard.number, 4)
	h.submitWith(func(submission *job.Submission) {
		submission.Id, submission.Queue, submission.SubmittedMs = fresh, "short", h.clock.Now().UnixMilli()
	})
	h.owner.jobsByUrgency(h.clock.Now())
	for range 3 {
		h.owner.shares.table.RecordStart(queueOf(h.shard.jobs[fresh]), "another", 0)
	}
	for _, j := range h.owner.jobsByUrgency(h.clock.Now()) {
		if j.Submission().GetQueue() == "short" {
			if j.ID() == fresh {
				t.Error("the new job goes first")
			}
			return
		}
	}
}

// TestShortageEnds: the order is that without shares again, and nothing is kept of the jobs, one second after
// a task was last left without a worker.
func TestShortageEnds(t *testing.T) {
	h := newHarness(t)
	enableShares(h)
	submitQueues(h, "")
	h.attach()
	full := idleWorkerStatus()
	full.FreeMilliCpu = 0
	h.receive(&wire.AgentMessage{Status: full})
	h.tick()
	if queueOrder(h) != "long short long short" {
		t.Fatal("there is no shortage")
	}
	h.clock.Advance(time.Second)
	if got := queueOrder(h); got != "long long short short" {
		t.Errorf("the order is %q", got)
	}
	if len(h.owner.shares.jobs)+len(h.owner.shares.gauged) > 0 {
		t.Error("jobs or gauges are left")
	}
}

// TestReserveForShortTasks: after a short task was placed on a worker, a long-running one leaves it as much
// for a time, while the workers are too few and unless it is more urgent. It preempts nothing for that.
func TestReserveForShortTasks(t *testing.T) {
	tests := map[string]struct {
		sufficient bool
		priority   int32
		waited     time.Duration
		refused    bool
		want       obstacle
	}{
		"too few workers":   {want: obstacleShortReserve},
		"sufficient":        {sufficient: true, want: obstacleNone},
		"it is more urgent": {priority: -1, want: obstacleNone},
		"it was refused":    {refused: true, want: obstacleNone},
		"it has waited":     {waited: 1600 * time.Millisecond, want: obstacleNone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			enableShares(h)
			h.submit()
			h.attachAndStart()
			now := h.clock.Now()
			status := idleWorkerStatus()
			status.FreeMilliCpu = 700
			status.Reclaimable = []*wire.Reclaimable{{Priority: 9, MilliCpu: 4000}}
			h.receive(&wire.AgentMessage{Status: status})
			lasting := job.New(&job.Submission{
				Id: jobID, Service: "verbale", Priority: test.priority,
				Steps: []*job.StepSpec{{Count: 1, MilliCpu: 600, Lasting: true}},
			}, h.shard.number).Tasks()[0]
			lasting.MarkUnplaced("processors", now.Add(-test.waited))
			if test.refused {
				lasting.AddRefusal()
			}
			if !test.sufficient {
				beginShortage(h)
			}
			workers := h.owner.candidates(h.owner.agentViews(), now)
			if got := workers[0].obstacleTo(lasting); got != test.want {
				t.Errorf("obstacle %q, want %q", got, test.want)
			}
			if h.owner.preemptionTarget(lasting, workers, now) != nil {
				t.Error("a worker was chosen for preemption")
			}
		})
	}
}

// TestPeaksAreForgotten: the peak of a priority is removed at the next start once it has decreased to 0.
func TestPeaksAreForgotten(t *testing.T) {
	h := newHarness(t)
	enableShares(h)
	h.submit()
	h.attachAndStart()
	h.agent.shortPeaks[7] = &share.RecentPeak{}
	h.agent.shortPeaks[7].Observe(1000, h.clock.Now().Add(-time.Minute))
	h.owner.observeShortTasks(h.agent, h.clock.Now())
	if len(h.agent.shortPeaks) != 1 || h.agent.shortPeaks[7] != nil {
		t.Errorf("got %v, want the peak of the short task that runs", h.agent.shortPeaks)
	}
}

// TestReserveAvoidsRefusals: with the reserve, a long-running task is not ordered on workers with barely enough
// resources, where it is refused, while another worker has twice as much. It guards against the refusals
// of TestRefusedTaskIsPlacedElsewhere.
func TestReserveAvoidsRefusals(t *testing.T) {
	for seed := range uint64(60) {
		h := newHarness(t)
		j := h.submitWith(func(submission *job.Submission) {
			submission.Steps[0] = &job.StepSpec{
				Count: 1, MilliCpu: taskMilliCPU, MemoryMb: 1, Lasting: true, Image: "counter", TargetMs: 50,
			}
		})
		workers := &fleet{rng: rand.New(rand.NewPCG(seed, 5))}
		for range maxStatusAge + 1 {
			workers.advance()
		}
		candidates := workers.candidates()
		for _, worker := range candidates {
			worker.shortReserve.milliCPU = share.ShortReserve(workerMilliCPU, workerMilliCPU)
		}
		chosen := h.owner.bestWorker(j.Tasks()[0], candidates, h.clock.Now())
		if chosen == nil || !workers.hasResources(t, chosen) {
			t.Errorf("seed %d: the task waits or is refused", seed)
		}
	}
}

// TestSharesAreLogged: shares that change in each count are logged once a second, with what decided.
func TestSharesAreLogged(t *testing.T) {
	h := newHarness(t)
	enableShares(h)
	submitQueues(h, "")
	h.attach()
	status := idleWorkerStatus()
	status.MilliCpu, status.FreeMilliCpu = 40_000, 0
	h.receive(&wire.AgentMessage{Status: status})
	logged := h.captureLog()
	for count := range 21 {
		beginShortage(h)
		used := &wire.QueueBacklog{Queue: "long", Service: "verbale", UsedMilliCpu: int64(count) * 1000}
		report := &wire.OwnerBacklog{Shards: []int32{100}, AgeMs: 250, Queues: []*wire.QueueBacklog{used}}
		h.owner.peerBacklogs = peerBacklogs{receivedAt: h.clock.Now(), backlogs: []*wire.OwnerBacklog{report}}
		h.owner.jobsByUrgency(h.clock.Now())
		h.clock.Advance(100 * time.Millisecond)
	}
	lines := strings.Split(strings.TrimSpace(logged.String()), "\n")
	if len(lines) != 3 {
		t.Errorf("%d lines in 2 s", len(lines))
	}
	for _, want := range []string{
		fmt.Sprintf(`"event":%d`, event.SharesChanged), `"queue":"long"`, `"room_milli_cpu":40000`, `"used_milli_cpu":20000`,
		`"demand_milli_cpu":22000`, `"peers":1`, `"peers_age":250000000`,
	} {
		if !strings.Contains(lines[len(lines)-1], want) {
			t.Errorf("%s is not in %s", want, lines[len(lines)-1])
		}
	}
}

// BenchmarkOrderByShares measures the order of a pass with and without shares, and with a count of all queues
// in each pass in place of one in 100 ms.
func BenchmarkOrderByShares(b *testing.B) {
	for _, name := range []string{"off", "shares", "count"} {
		b.Run(name, func(b *testing.B) {
			h := newHarness(b)
			addFullWorkers(h, 0, 400)
			if name != "off" {
				enableShares(h)
				beginShortage(h)
			}
			b.ReportAllocs()
			for b.Loop() {
				if name == "count" {
					h.clock.Advance(100 * time.Millisecond)
					beginShortage(h)
				}
				h.owner.jobsByUrgency(h.clock.Now())
			}
		})
	}
}
