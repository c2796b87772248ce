package gateway

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"ambertiller.example/ambertiller/backlog"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// fakeOwners answers for the owners of 3 shards: the one in this process, if it has shards, and two peers.
type fakeOwners struct {
	clock   *clockwork.FakeClock
	poller  *backlogPoller
	own     *wire.OwnerBacklog
	answers map[string]*wire.OwnerBacklog // by member; a member without one does not answer
	asked   []string
	updates []*wire.OwnerBacklog // the last ones that the owner in this process was given
	lines   bytes.Buffer
}

func newFakeOwners(t *testing.T, own *wire.OwnerBacklog, answers map[string]*wire.OwnerBacklog) *fakeOwners {
	owners := &fakeOwners{clock: clockwork.NewFakeClock(), own: own, answers: answers}
	events, err := event.Open(&owners.lines, "json", "info")
	if err != nil {
		t.Fatal(err)
	}
	options := Options{Name: "edge-1", MemberName: "m-1", Shards: 3, Clock: owners.clock, Events: events}
	owners.poller = newBacklogPoller(options, newOwnerDirectory(options))
	owners.poller.members = func() []string { return []string{"m-2", "m-3"} }
	owners.poller.askOwn = func(context.Context) (*wire.OwnerBacklog, error) { return owners.own, nil }
	owners.poller.updateOwner = func(backlogs []*wire.OwnerBacklog) { owners.updates = backlogs }
	var mu sync.Mutex // members are asked in parallel
	owners.poller.askMember = func(_ context.Context, member string, _ bool) (*wire.OwnerBacklog, error) {
		mu.Lock()
		defer mu.Unlock()
		owners.asked = append(owners.asked, member)
		if answer := owners.answers[member]; answer != nil {
			return answer, nil
		}
		return nil, errors.New("no answer")
	}
	return owners
}

// update has the poller ask once, a second later.
func (owners *fakeOwners) update() {
	owners.clock.Advance(backlogInterval)
	owners.poller.update(context.Background())
}

func (owners *fakeOwners) forecast() (backlog.Forecast, bool) {
	submission := &job.Submission{
		Id: "1", Queue: "r-1", Service: "verbale",
		Steps: []*job.StepSpec{{Count: 1, MilliCpu: 1000, EstimateMs: 1000}},
	}
	return owners.poller.forecast(submission, owners.clock.Now())
}

func newBacklog(shards ...int32) *wire.OwnerBacklog {
	return &wire.OwnerBacklog{Shards: shards, Queues: []*wire.QueueBacklog{
		{
			Queue: "r-1", Service: "verbale", Need: wire.TaskNeed_NEED_RESERVED, WaitingTasks: 1, WaitingCoreMs: 1000,
			EndedCoreMs: 5000, WindowMs: 5000,
		},
	}}
}

// TestSilentOwner checks that an entry with shards forecasts by the last report of an owner that has become silent
// until that is too old, and that this is logged once.
func TestSilentOwner(t *testing.T) {
	owners := newFakeOwners(t, newBacklog(0), map[string]*wire.OwnerBacklog{"m-2": newBacklog(1), "m-3": newBacklog(2)})
	owners.update()
	if forecast, known := owners.forecast(); !known || forecast.Start() != time.Second || len(owners.updates) != 2 {
		t.Fatalf("known %v, start %v, updates %v", known, forecast.Start(), owners.updates)
	}
	delete(owners.answers, "m-3")
	for range 3 {
		owners.update()
		if forecast, known := owners.forecast(); !known || forecast.Age() > backlog.MaxAge {
			t.Errorf("known %v, age %v", known, forecast.Age())
		}
	}
	for range 3 {
		owners.update()
	}
	if _, known := owners.forecast(); known || len(owners.updates) != 1 {
		t.Errorf("known %v, updates %v", known, owners.updates)
	}
	text := owners.lines.String()
	if strings.Count(text, "backlog unknown") != 1 || !strings.Contains(text, `"missing":[2]`) {
		t.Errorf("logged %s", text)
	}
	owners.answers["m-3"] = newBacklog(2)
	owners.update()
	if _, known := owners.forecast(); !known || strings.Count(owners.lines.String(), "backlog known") != 2 {
		t.Errorf("known %v, logged %s", known, &owners.lines)
	}
}

// TestBacklogNeverKnown checks that a backlog that stays unknown from the start is logged once, and not at once.
func TestBacklogNeverKnown(t *testing.T) {
	owners := newFakeOwners(t, newBacklog(0), map[string]*wire.OwnerBacklog{"m-2": newBacklog(1)})
	owners.update()
	if text := owners.lines.String(); text != "" {
		t.Errorf("logged at the start: %s", text)
	}
	for range 20 {
		owners.update()
	}
	text := owners.lines.String()
	if strings.Count(text, "backlog unknown") != 1 || !strings.Contains(text, `"missing":[2]`) {
		t.Errorf("logged %s", text)
	}
}

// TestEntryWithoutShards checks that an entry without shards asks one owner, falls back to another one, and stops
// asking when no client has submitted a job for a while.
func TestEntryWithoutShards(t *testing.T) {
	tests := map[string]struct {
		answers map[string]*wire.OwnerBacklog
		known   bool
	}{
		"both answer": {
			map[string]*wire.OwnerBacklog{"m-2": newBacklog(0, 1, 2), "m-3": newBacklog(0, 1, 2)}, true,
		},
		"one is silent":       {map[string]*wire.OwnerBacklog{"m-2": newBacklog(0, 1, 2)}, true},
		"the other is silent": {map[string]*wire.OwnerBacklog{"m-3": newBacklog(0, 1, 2)}, true},
		"one doesn't know a shard": {
			map[string]*wire.OwnerBacklog{"m-2": newBacklog(0, 1), "m-3": newBacklog(0, 1, 2)}, true,
		},
		"neither knows all": {map[string]*wire.OwnerBacklog{"m-2": newBacklog(0, 1), "m-3": newBacklog(2)}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			owners := newFakeOwners(t, nil, test.answers)
			owners.update()
			if len(owners.asked) != 0 {
				t.Errorf("asked %v before a submission", owners.asked)
			}
			owners.poller.recordSubmission(owners.clock.Now())
			owners.update()
			if _, known := owners.forecast(); known != test.known || owners.updates != nil {
				t.Errorf("known %v after asking %v, updates %v", known, owners.asked, owners.updates)
			}
			owners.clock.Advance(backlogIdleAfter)
			owners.asked = nil
			owners.update()
			if _, known := owners.forecast(); known || len(owners.asked) != 0 {
				t.Errorf("known %v, asked %v while idle", known, owners.asked)
			}
		})
	}
}

// TestQueueThatLeftIsRecordedOnce checks that the metrics don't keep a queue that has left the backlog.
func TestQueueThatLeftIsRecordedOnce(t *testing.T) {
	all := newBacklog(0, 1, 2)
	owners := newFakeOwners(t, all, nil)
	owners.update()
	if recorded := owners.poller.metrics.recorded; !recorded["r-1"] {
		t.Errorf("recorded %v", recorded)
	}
	owners.own = &wire.OwnerBacklog{Shards: all.GetShards()}
	owners.update()
	if recorded := owners.poller.metrics.recorded; len(recorded) != 0 {
		t.Errorf("recorded %v after the queue has left", recorded)
	}
}
