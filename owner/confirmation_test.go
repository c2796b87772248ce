package owner

import (
	"slices"
	"strings"
	"testing"
	"time"

	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

// newConfirmationHarness returns a harness with or without feature.Confirmation.
func newConfirmationHarness(t *testing.T, enabled bool) *harness {
	h := newHarness(t)
	if enabled {
		h.enable("confirmation")
	}
	return h
}

// loseStore lets the time pass after which the store may have assigned the shard to another entry.
func (h *harness) loseStore() {
	h.clock.Advance(h.owner.options.MemberTimeout + time.Millisecond)
}

// answerJoin has the store confirm the shards given, under the epoch that the harness has them.
func (h *harness) answerJoin(shards ...int) {
	h.owner.applyAssignment(platform.Assignment{Generation: h.shard.epoch, Partitions: shards}, h.clock.Now(), h.clock.Now())
}

// TestUnconfirmedOwnerPlacesNothing plays an owner that the store has not answered for longer than the timeout
// of its membership: it places a task only if it still owns the shard once the store answers.
func TestUnconfirmedOwnerPlacesNothing(t *testing.T) {
	tests := map[string]struct {
		enabled bool
		answer  func(h *harness)
		before  job.TaskState // while the store does not answer
		after   job.TaskState
	}{
		"still the owner":   {true, func(h *harness) { h.answerJoin(h.shard.number) }, job.TaskState_TASK_WAITING, job.TaskState_TASK_STARTED},
		"replaced":          {true, func(h *harness) { h.answerJoin() }, job.TaskState_TASK_WAITING, job.TaskState_TASK_WAITING},
		"no answer":         {true, func(*harness) {}, job.TaskState_TASK_WAITING, job.TaskState_TASK_WAITING},
		"an append is kept": {true, func(h *harness) { h.owner.handleAppended(h.shard, h.clock.Now(), h.clock.Now()) }, job.TaskState_TASK_WAITING, job.TaskState_TASK_STARTED},
		"not enabled":       {false, func(*harness) {}, job.TaskState_TASK_STARTED, job.TaskState_TASK_STARTED},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newConfirmationHarness(t, test.enabled)
			h.attach()
			h.loseStore()
			h.receive(&wire.AgentMessage{})
			task := h.submit().Tasks()[0]
			h.tick()
			if task.State() != test.before {
				t.Errorf("state %v while the store does not answer", task.State())
			}
			test.answer(h)
			h.tick()
			if task.State() != test.after {
				t.Errorf("state %v afterwards", task.State())
			}
		})
	}
}

// TestUnconfirmedOwnerKeepsRuns: an agent lists the runs of a shard only to its present owner. An owner that has
// been replaced without knowing it must not report them as lost, whether or not the store accepted an append
// after the last join: the shard may have been assigned to another entry since.
func TestUnconfirmedOwnerKeepsRuns(t *testing.T) {
	tests := map[string]struct {
		enabled, appended, owner bool // owner: whether the entry is still the owner once the store answers
		before, after            job.TaskState
	}{
		"replaced":                    {true, false, false, job.TaskState_TASK_STARTED, job.TaskState_TASK_STARTED},
		"replaced after an append":    {true, true, false, job.TaskState_TASK_STARTED, job.TaskState_TASK_STARTED},
		"still the owner":             {true, false, true, job.TaskState_TASK_STARTED, job.TaskState_TASK_WAITING},
		"not enabled":                 {false, false, false, job.TaskState_TASK_WAITING, job.TaskState_TASK_WAITING},
		"not enabled, with an append": {false, true, false, job.TaskState_TASK_WAITING, job.TaskState_TASK_WAITING},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newConfirmationHarness(t, test.enabled)
			task := h.adoptRun(workerID).Tasks()[0]
			h.attach()
			h.tick()
			h.takeSent()
			h.loseStore()
			if test.appended {
				h.shard.appendedAt = h.clock.Now()
			}
			h.receive(&wire.AgentMessage{Complete: true})
			if task.State() != test.before {
				t.Errorf("state %v while the store does not answer", task.State())
			}
			if test.owner {
				h.answerJoin(h.shard.number)
			} else {
				h.answerJoin()
			}
			h.receive(&wire.AgentMessage{Complete: true})
			if task.State() != test.after {
				t.Errorf("state %v afterwards", task.State())
			}
		})
	}
}

// TestUnconfirmedOwnerKeepsRunsOfSilentAgent: the next owner may have extended the runs of an agent that this
// owner no longer hears from.
func TestUnconfirmedOwnerKeepsRunsOfSilentAgent(t *testing.T) {
	tests := map[string]struct {
		enabled bool
		before  job.TaskState // while the store does not answer
	}{
		"enabled":     {true, job.TaskState_TASK_STARTED},
		"not enabled": {false, job.TaskState_TASK_WAITING},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newConfirmationHarness(t, test.enabled)
			task := h.adoptRun(workerID).Tasks()[0]
			h.clock.Advance(storeOutageTolerance + h.owner.maxRunAfterGrant() + time.Second)
			h.tick()
			if task.State() != test.before {
				t.Errorf("state %v while the store does not answer", task.State())
			}
			h.answerJoin(h.shard.number)
			h.tick()
			if task.State() != job.TaskState_TASK_WAITING {
				t.Errorf("state %v afterwards", task.State())
			}
		})
	}
}

// TestSuspensionMakesOwnerUnconfirmed checks that neither a join nor an append from before a suspension of the
// machine counts afterwards.
func TestSuspensionMakesOwnerUnconfirmed(t *testing.T) {
	h := newConfirmationHarness(t, true)
	h.attach()
	h.shard.appendedAt = h.clock.Now()
	h.owner.handleSuspension(h.owner.options.MemberTimeout+time.Millisecond, h.clock.Now())
	task := h.submit().Tasks()[0]
	h.tick()
	if task.State() != job.TaskState_TASK_WAITING || h.owner.unconfirmedSince.IsZero() {
		t.Errorf("state %v, unconfirmed since %v", task.State(), h.owner.unconfirmedSince)
	}
}

// TestAppendCountsFromItsBeginning checks that an append counts once it has succeeded, from when it was begun.
func TestAppendCountsFromItsBeginning(t *testing.T) {
	h := newConfirmationHarness(t, true)
	h.loseStore()
	beganAt := h.clock.Now()
	h.shard.dirty[jobID] = h.submit()
	h.owner.flushShard(h.shard, beganAt)
	if !h.shard.appendedAt.IsZero() {
		t.Error("counted before the store has answered")
	}
	h.clock.Advance(time.Second)
	h.awaitWrites()
	if !h.shard.appendedAt.Equal(beganAt) {
		t.Errorf("appended at %v, begun at %v", h.shard.appendedAt, beganAt)
	}
}

// TestUnconfirmedStateIsMarked checks that the state of a job is marked as possibly outdated, but not an end
// that is in the store.
func TestUnconfirmedStateIsMarked(t *testing.T) {
	tests := map[string]struct {
		lost, ended, want bool
	}{
		"confirmed":             {false, false, false},
		"unconfirmed":           {true, false, true},
		"unconfirmed but ended": {true, true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newConfirmationHarness(t, true)
			j := h.submit()
			if test.ended {
				j.Cancel(h.clock.Now())
				h.shard.endStoredAt[j.ID()] = h.clock.Now()
			}
			if test.lost {
				h.loseStore()
			}
			go h.owner.eventLoop.RunNext(h.clock.Now())
			reply, s, _ := h.owner.findJob(t.Context(), jobID)
			if s == nil || reply.GetUnconfirmed() != test.want {
				t.Errorf("shard %v, reply %v", s, reply)
			}
		})
	}
}

// TestUnconfirmedPeriodIsLoggedOnce checks that a period without confirmation begins and ends once, however many
// ticks and answers there are in it.
func TestUnconfirmedPeriodIsLoggedOnce(t *testing.T) {
	h := newConfirmationHarness(t, true)
	lines := h.captureLog()
	expectLogged := func(unconfirmed, confirmed int) {
		t.Helper()
		if got := strings.Count(lines.String(), "ownership unconfirmed"); got != unconfirmed {
			t.Errorf("event 1050 logged %d times", got)
		}
		if got := strings.Count(lines.String(), "ownership confirmed"); got != confirmed {
			t.Errorf("event 1051 logged %d times", got)
		}
	}
	h.tick()
	expectLogged(0, 0)
	if !h.owner.unconfirmedSince.IsZero() {
		t.Fatal("unconfirmed from the start")
	}
	h.loseStore()
	h.tick()
	since := h.owner.unconfirmedSince
	h.clock.Advance(time.Second)
	h.tick()
	expectLogged(1, 0)
	if since.IsZero() || h.owner.unconfirmedSince != since {
		t.Errorf("unconfirmed since %v, then since %v", since, h.owner.unconfirmedSince)
	}
	h.answerJoin(h.shard.number)
	h.tick()
	if !h.owner.unconfirmedSince.IsZero() {
		t.Error("still unconfirmed after the store has answered")
	}
	h.tick()
	expectLogged(1, 1)
}

// TestEntryWithoutShardsIsNotUnconfirmed: an entry that is no candidate for owning shards never joins.
func TestEntryWithoutShardsIsNotUnconfirmed(t *testing.T) {
	h := newConfirmationHarness(t, true)
	delete(h.owner.shards, h.shard.number)
	h.loseStore()
	h.tick()
	if !h.owner.unconfirmedSince.IsZero() {
		t.Errorf("unconfirmed since %v", h.owner.unconfirmedSince)
	}
}

// TestUnconfirmedGauge checks the value of the gauge, and that it is recorded only with the feature.
func TestUnconfirmedGauge(t *testing.T) {
	tests := map[string]struct {
		enabled, lost bool
		want          []int64
	}{
		"confirmed":   {true, false, []int64{0}},
		"unconfirmed": {true, true, []int64{1}},
		"not enabled": {false, true, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newConfirmationHarness(t, test.enabled)
			reader := sdkmetric.NewManualReader()
			h.owner.metrics = newMetrics(sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader)))
			if test.lost {
				h.loseStore()
			}
			h.tick()
			if got := collectGauge(t, reader, "ambertiller.shard.unconfirmed"); !slices.Equal(got, test.want) {
				t.Errorf("values %v", got)
			}
		})
	}
}

// collectGauge returns the values of a gauge.
func collectGauge(t *testing.T, reader sdkmetric.Reader, name string) []int64 {
	var collected metricdata.ResourceMetrics
	if err := reader.Collect(t.Context(), &collected); err != nil {
		t.Fatal(err)
	}
	var values []int64
	for _, scope := range collected.ScopeMetrics {
		for _, instrument := range scope.Metrics {
			gauge, isGauge := instrument.Data.(metricdata.Gauge[int64])
			if instrument.Name != name || !isGauge {
				continue
			}
			for _, point := range gauge.DataPoints {
				values = append(values, point.Value)
			}
		}
	}
	return values
}
