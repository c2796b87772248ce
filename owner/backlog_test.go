package owner

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"storj.io/drpc/drpcerr"

	"ambertiller.example/ambertiller/backlog"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// newBacklogHarness returns a harness with the feature enabled, and the lines that its owner logs. The rate of its
// shard is known.
func newBacklogHarness(t *testing.T) (*harness, *bytes.Buffer) {
	h := newHarness(t)
	h.enable("backlog")
	h.clock.Advance(backlog.MinWindow)
	return h, h.captureLog()
}

// requestBacklog calls the RPC while the event loop runs.
func (h *harness) requestBacklog(merged bool) (*wire.OwnerBacklog, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer cancel()
		h.owner.eventLoop.RunNext(h.clock.Now())
	}()
	reply, err := h.owner.Backlog(context.Background(), &wire.BacklogRequest{Merged: merged})
	<-ctx.Done()
	return reply.GetBacklog(), err
}

// peerBacklog returns the backlog of another owner, which has all shards but the harness's.
func (h *harness) peerBacklog() *wire.OwnerBacklog {
	peer := &wire.OwnerBacklog{Owner: "edge-2", Queues: []*wire.QueueBacklog{
		{
			Queue: "r-1", Service: "verbale", Need: wire.TaskNeed_NEED_RESERVED, OpenJobs: 4, WaitingTasks: 4,
			WaitingCoreMs: 4000, EndedCoreMs: 5000, WindowMs: 5000,
		},
	}}
	for shard := range h.owner.options.Shards {
		if shard != h.shard.number {
			peer.Shards = append(peer.Shards, int32(shard))
		}
	}
	return peer
}

// newDoneMessage returns the message of an agent that the first attempt of the first task is done.
func newDoneMessage() *wire.AgentMessage {
	return &wire.AgentMessage{Ends: []*wire.RunEnd{{
		Task: firstTask, Attempt: 1, Worker: workerID, Reason: wire.EndReason_END_DONE, Number: 1,
	}}}
}

// TestBacklogRPC checks the backlog of an owner with one job whose task runs, and the sum with that of a peer.
func TestBacklogRPC(t *testing.T) {
	h, _ := newBacklogHarness(t)
	h.submit()
	h.attachAndStart()
	h.clock.Advance(backlogMaxAge)
	own, err := h.requestBacklog(false)
	if err != nil || own.GetOwner() != h.owner.MemberName() || len(own.GetShards()) != 1 || len(own.GetQueues()) != 1 {
		t.Fatalf("backlog %v, error %v", own, err)
	}
	row := own.GetQueues()[0]
	if row.GetQueue() != "r-1" || row.GetOpenJobs() != 1 || row.GetUsedMilliCpu() != 1000 ||
		row.GetRunningCoreMs() != 1000 || row.GetWaitingCoreMs() != 0 {
		t.Errorf("row %v", row)
	}
	h.owner.UpdatePeerBacklogs([]*wire.OwnerBacklog{h.peerBacklog()})
	h.owner.eventLoop.RunNext(h.clock.Now())
	h.clock.Advance(backlog.MaxAge)
	merged, err := h.requestBacklog(true)
	if err != nil || len(merged.GetShards()) != 8 || merged.GetQueues()[0].GetOpenJobs() != 5 ||
		merged.GetAgeMs() != backlog.MaxAge.Milliseconds() {
		t.Errorf("merged %v, error %v", merged, err)
	}
	h.clock.Advance(time.Millisecond + backlogMaxAge)
	if merged, err = h.requestBacklog(true); err != nil || len(merged.GetShards()) != 1 {
		t.Errorf("merged when the peer's report is too old: %v, error %v", merged, err)
	}
}

// TestBacklogOff checks that an owner without the feature answers as one of an earlier build, forecasts nothing and
// counts no ends.
func TestBacklogOff(t *testing.T) {
	h := newHarness(t)
	_, err := h.owner.Backlog(context.Background(), &wire.BacklogRequest{})
	if drpcerr.Code(err) != drpcerr.Unimplemented {
		t.Errorf("error %v", err)
	}
	h.submit()
	if h.owner.backlogs.own != nil {
		t.Error("a backlog was computed")
	}
	h.attachAndStart()
	h.receive(newDoneMessage())
	h.clock.Advance(time.Second)
	summary := backlog.NewSummary()
	if summary.AddEnded(h.shard.ended, h.clock.Now()); len(summary.Messages()) != 0 {
		t.Errorf("counted %v", summary.Messages())
	}
}

// TestNewShardHasNoRate checks that a shard is not reported before ends have been counted for MinWindow.
func TestNewShardHasNoRate(t *testing.T) {
	h, _ := newBacklogHarness(t)
	h.shard.ended = backlog.NewEndCounter(h.clock.Now())
	if own, err := h.requestBacklog(false); err != nil || len(own.GetShards()) != 0 {
		t.Errorf("backlog %v, error %v", own, err)
	}
}

// TestForecastIsComparedWithOutcome checks that a job whose backlog is known when it is read is logged with its
// forecast when it ends, and that without that knowledge nothing is logged.
func TestForecastIsComparedWithOutcome(t *testing.T) {
	tests := map[string]struct {
		change     func(h *harness)
		logged     []string
		storeDelay time.Duration
	}{
		"store is slow": {func(*harness) {}, []string{`"ratio":1.2,`}, 2 * time.Second},
		"known": {func(*harness) {}, []string{
			`"msg":"job forecast"`, `"queue":"r-1"`, `"need":"NEED_RESERVED"`, `"ratio":1.2,`, `"waiting_core_ms":4000`,
		}, 0},
		"unknown": {func(h *harness) { h.owner.peerBacklogs = peerBacklogs{} }, nil, 0},
		"too old": {func(h *harness) {
			h.owner.peerBacklogs.receivedAt = h.clock.Now().Add(-backlog.MaxAge - 1)
		}, nil, 0},
		"moved": {func(h *harness) {
			h.owner.backlogs.computedAt = time.Time{}
			h.owner.peerBacklogs.backlogs[0].Shards[0] = int32(h.shard.number)
		}, nil, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, lines := newBacklogHarness(t)
			h.owner.peerBacklogs = peerBacklogs{backlogs: []*wire.OwnerBacklog{h.peerBacklog()}, receivedAt: h.clock.Now()}
			test.change(h)
			h.submit()
			h.attachAndStart()
			h.clock.Advance(6 * time.Second)
			h.receive(newDoneMessage())
			h.clock.Advance(test.storeDelay)
			h.tick()
			h.awaitWrites()
			h.tick()
			if state := h.shard.jobs[jobID].State(); state != job.State_STATE_COMPLETED {
				t.Fatalf("state %v", state)
			}
			for _, text := range test.logged {
				if !strings.Contains(lines.String(), text) {
					t.Errorf("%s is not in %s", text, lines)
				}
			}
			if logged := strings.Contains(lines.String(), "job forecast"); logged != (test.logged != nil) {
				t.Errorf("logged %v: %s", logged, lines)
			}
		})
	}
}

// TestLacksResources checks that a task that would wait with any amount of free resources is not ahead of others.
func TestLacksResources(t *testing.T) {
	tests := map[string]struct {
		change   func(submission *job.Submission)
		obstacle obstacle
		lacks    bool
	}{
		"busy workers":           {func(*job.Submission) {}, "cpu", true},
		"label":                  {func(*job.Submission) {}, obstacleLabel, false},
		"too large for a worker": {func(submission *job.Submission) { submission.Steps[0].MilliCpu = 5000 }, "cpu", false},
		"no workers":             {func(submission *job.Submission) { submission.Service = "sunt" }, obstacleNoWorkers, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.attach()
			task := h.submitWith(test.change).Tasks()[0]
			task.MarkUnplaced(string(test.obstacle), h.clock.Now())
			if lacks := h.owner.newTaskStates(h.clock.Now()).LacksResources(task); lacks != test.lacks {
				t.Errorf("lacks resources: %v", lacks)
			}
		})
	}
}

// TestConstrainedJobDoesNotCount checks that a job that waits for a label that no worker has leaves the ratio of its
// queue as it is, while one that waits for processors raises it when it is late.
func TestConstrainedJobDoesNotCount(t *testing.T) {
	tests := map[string]struct {
		obstacle obstacle
		counts   bool
	}{
		"label":        {obstacleLabel, false},
		"busy workers": {"cpu", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, _ := newBacklogHarness(t)
			h.owner.peerBacklogs = peerBacklogs{backlogs: []*wire.OwnerBacklog{h.peerBacklog()}, receivedAt: h.clock.Now()}
			task := h.submitWith(func(*job.Submission) {}).Tasks()[0]
			task.MarkUnplaced(string(test.obstacle), h.clock.Now())
			h.clock.Advance(time.Minute)
			own, err := h.requestBacklog(false)
			if err != nil || len(own.GetQueues()) != 1 {
				t.Fatalf("backlog %v, error %v", own, err)
			}
			if ratio := own.GetQueues()[0].GetOutcomeRatio(); (ratio > 1) != test.counts {
				t.Errorf("ratio %v", ratio)
			}
		})
	}
}

// TestWideJobDoesNotCount checks that a job that was expected to start at once, but has more tasks than the workers
// can run together, leaves the ratio of its queue as it is.
func TestWideJobDoesNotCount(t *testing.T) {
	h, _ := newBacklogHarness(t)
	peer := h.peerBacklog()
	peer.Queues = nil
	h.owner.peerBacklogs = peerBacklogs{backlogs: []*wire.OwnerBacklog{peer}, receivedAt: h.clock.Now()}
	j := h.submitWith(func(submission *job.Submission) { submission.Steps[0].Count = 100 })
	h.attachAndStart()
	h.receive(&wire.AgentMessage{Results: []*wire.StartResult{{
		Task: firstTask, Attempt: 1, Worker: workerID, Outcome: wire.StartOutcome_START_STARTED,
	}}})
	if j.State() != job.State_STATE_RUNNING || len(j.ReadyTasks(h.clock.Now())) == 0 {
		t.Fatalf("state %v, %d tasks are ready", j.State(), len(j.ReadyTasks(h.clock.Now())))
	}
	h.clock.Advance(time.Minute)
	own, err := h.requestBacklog(false)
	if err != nil || len(own.GetQueues()) != 1 || own.GetQueues()[0].GetWaitingTasks() == 0 {
		t.Fatalf("backlog %v, error %v", own, err)
	}
	if ratio := own.GetQueues()[0].GetOutcomeRatio(); ratio > 1 {
		t.Errorf("ratio %v", ratio)
	}
}
