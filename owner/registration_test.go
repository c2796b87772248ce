package owner_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"storj.io/drpc"

	"ambertiller.example/ambertiller/agent"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/owner"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/standin/wirestore"
)

const (
	// readers is how many entries follow the agents' records.
	readers = 3
	// registerStep is how much time passes at once while agents register, registerPause how long
	// the processes then have to get on with it.
	registerStep  = 5 * time.Millisecond
	registerPause = 3 * time.Millisecond
	// gatherLeast is what the reads of a partition that find records are apart at least.
	gatherLeast = 250 * time.Millisecond
)

// registering is a fleet whose agents all register at once, over a store whose partitions take their appends in turn.
type registering struct {
	clock *clockwork.FakeClock
	store *wirestore.Store
	names []string
}

func newRegistering(t *testing.T, agents int, takes time.Duration) *registering {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	clock := clockwork.NewFakeClock()
	made := &registering{clock: clock, store: wirestore.New(fleetShards, clock.Now)}
	made.store.TakeTurns(clock, takes)
	served := httptest.NewServer(made.store)
	t.Cleanup(func() {
		cancel()
		served.CloseClientConnections()
		clock.Advance(time.Hour) // What waits its turn in the store is let go.
		served.Close()
	})
	calls := func() *platform.Store {
		return platform.NewStore(strings.TrimPrefix(served.URL, "http://"), platform.Transport())
	}
	for number := range readers {
		scheduling := owner.New(owner.Options{
			Name: fmt.Sprintf("edge-%d", number), Strong: true, Address: fmt.Sprintf("10.0.1.%d:7000", number), Shards: fleetShards,
			Grant: 5 * time.Second, Silent: time.Hour, StatusKept: time.Minute, Store: calls(), Clock: clock, Events: event.Discard(),
			Dial: func(context.Context, string) (drpc.Conn, error) { return nil, errors.New("nobody is there") },
		})
		go scheduling.Run(ctx)
	}
	for number := range agents {
		name := fmt.Sprintf("side-%d", number)
		made.names = append(made.names, name)
		beside := agent.New(agent.Options{Name: name, Shards: fleetShards, Clock: clock, Events: event.Discard()})
		go beside.Run(ctx)
		go beside.Register(ctx, calls(), fmt.Sprintf("10.0.%d.%d:7001", 2+number/250, number%250))
	}
	return made
}

// pass lets time pass.
func (made *registering) pass(length time.Duration) {
	for range length / registerStep {
		made.clock.Advance(registerStep)
		time.Sleep(registerPause)
	}
}

// untilKnown returns how long it took until the store had the records of all agents, most if it had not by then.
func (made *registering) untilKnown(most time.Duration) time.Duration {
	took := time.Duration(0)
	for ; took < most && !made.allKnown(); took += 20 * registerStep {
		made.pass(20 * registerStep)
	}
	return took
}

func (made *registering) allKnown() bool {
	for _, name := range made.names {
		if _, found := made.store.Newest(job.TopicAgents, job.AgentPartition(name, fleetShards), name); !found {
			return false
		}
	}
	return true
}

// TestRegistrationsDoNotFeedThemselves has all agents of a fleet register at once. The case that forced it: a partition
// took an append each 4 ms, so that the last of 800 waited 3.2 s; each try was given up after 1.5 s, went on waiting in the
// store, and was followed by another one. The line never emptied, and each record woke all readers.
func TestRegistrationsDoNotFeedThemselves(t *testing.T) {
	tests := map[string]struct {
		agents int
		takes  time.Duration
		// tries is how many appends an agent may make on average: one, unless the store refuses.
		tries int
	}{
		"a fleet":               {150, 20 * time.Millisecond, 1},
		"one of twice the size": {300, 20 * time.Millisecond, 1},
		"one that is more than the line may hold": {300, 40 * time.Millisecond, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newRegistering(t, test.agents, test.takes)
			took := made.untilKnown(20 * time.Second)
			if !made.allKnown() {
				t.Fatalf("not all agents are known after %v", took)
			}
			made.pass(time.Second)
			appends := made.store.TopicCalls("/v1/log-append", job.TopicAgents)
			if appends > test.agents*test.tries {
				t.Errorf("%d appends of %d agents, want %d an agent at most", appends, test.agents, test.tries)
			}
			reads := made.store.TopicCalls("/v1/log-read", job.TopicAgents)
			// The reads of a partition that find records are spaced, and one that waits comes after them.
			most := readers * job.AgentPartitions(fleetShards) * (int((took+time.Second)/gatherLeast) + 2)
			if reads > most {
				t.Errorf("%d reads of %d entries for %d agents in %v, want %d at most", reads, readers, test.agents, took, most)
			}
			t.Logf("%d agents: known after %v, %d appends, %d reads of %d entries", test.agents, took, appends, reads, readers)
		})
	}
}
