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
	// ownerCount is the number of entries that follow the records of agents.
	ownerCount = 3
	// registrationTick is how far the fake clock advances at a time. registrationTickPause is the real time
	// that the processes then get to react.
	registrationTick      = 5 * time.Millisecond
	registrationTickPause = 3 * time.Millisecond
	// minReadInterval is the shortest time between two reads of a partition that return records.
	minReadInterval = 250 * time.Millisecond
)

// registrationFleet is a fleet whose agents all register at the same time. The partitions of its store
// execute their appends one after another.
type registrationFleet struct {
	clock      *clockwork.FakeClock
	store      *wirestore.Store
	agentNames []string
}

func newRegistrationFleet(t *testing.T, agents int, appendTime time.Duration) *registrationFleet {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	clock := clockwork.NewFakeClock()
	f := &registrationFleet{clock: clock, store: wirestore.New(fleetShards, clock.Now)}
	f.store.SetAppendTime(clock, appendTime)
	server := httptest.NewServer(f.store)
	t.Cleanup(func() {
		cancel()
		server.CloseClientConnections()
		clock.Advance(time.Hour) // Release the appends that are queued in the store.
		server.Close()
	})
	newStore := func() *platform.Store {
		return platform.NewStore(strings.TrimPrefix(server.URL, "http://"), platform.NewTransport())
	}
	for number := range ownerCount {
		o := owner.New(owner.Options{
			Name: fmt.Sprintf("edge-%d", number), Strong: true, Address: fmt.Sprintf("10.0.1.%d:7000", number), Shards: fleetShards,
			GrantDuration: 5 * time.Second, MemberTimeout: time.Hour, JobRetention: time.Minute, Store: newStore(), Clock: clock, Events: event.Discard(),
			Dial: func(context.Context, string) (drpc.Conn, error) { return nil, errors.New("no agent at this address") },
		})
		go o.Run(ctx)
	}
	for number := range agents {
		name := fmt.Sprintf("side-%d", number)
		f.agentNames = append(f.agentNames, name)
		a := agent.New(agent.Options{Name: name, Shards: fleetShards, Clock: clock, Events: event.Discard()})
		go a.Run(ctx)
		go a.Register(ctx, newStore(), fmt.Sprintf("10.0.%d.%d:7001", 2+number/250, number%250))
	}
	return f
}

// advance advances the clock by a duration.
func (f *registrationFleet) advance(duration time.Duration) {
	for range duration / registrationTick {
		f.clock.Advance(registrationTick)
		time.Sleep(registrationTickPause)
	}
}

// timeUntilRegistered advances the clock until the store has the records of all agents, and returns how
// long that took. It stops after the timeout.
func (f *registrationFleet) timeUntilRegistered(timeout time.Duration) time.Duration {
	elapsed := time.Duration(0)
	for ; elapsed < timeout && !f.allRegistered(); elapsed += 20 * registrationTick {
		f.advance(20 * registrationTick)
	}
	return elapsed
}

// allRegistered reports whether the store has the records of all agents.
func (f *registrationFleet) allRegistered() bool {
	for _, name := range f.agentNames {
		if _, found := f.store.Newest(job.TopicAgents, job.AgentPartition(name, fleetShards), name); !found {
			return false
		}
	}
	return true
}

// TestRegistrationDoesNotOverloadStore: if all agents of a fleet register at the same time, their retries
// must not keep the store busy. With 4 ms for an append to a partition, the last of 800 agents waits 3.2 s.
// If each agent abandoned its append after 1.5 s and tried again while the first one was still queued in the
// store, the queue would never empty, and each record would wake all readers.
func TestRegistrationDoesNotOverloadStore(t *testing.T) {
	tests := map[string]struct {
		agents int
		takes  time.Duration // duration of an append
		// tries is how many appends an agent may make on average: one, unless the store refuses appends.
		tries int
	}{
		"150 agents":                   {150, 20 * time.Millisecond, 1},
		"300 agents":                   {300, 20 * time.Millisecond, 1},
		"more agents than queue slots": {300, 40 * time.Millisecond, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newRegistrationFleet(t, test.agents, test.takes)
			elapsed := f.timeUntilRegistered(20 * time.Second)
			if !f.allRegistered() {
				t.Fatalf("not all agents are registered after %v", elapsed)
			}
			f.advance(time.Second)
			appends := f.store.TopicCalls("/v1/log-append", job.TopicAgents)
			if appends > test.agents*test.tries {
				t.Errorf("%d appends by %d agents, want at most %d per agent", appends, test.agents, test.tries)
			}
			reads := f.store.TopicCalls("/v1/log-read", job.TopicAgents)
			// Reads that return records are at least minReadInterval apart. Allow for the first read of a
			// partition and for one that waits for records at the end.
			maxReads := ownerCount * job.AgentPartitions(fleetShards) * (int((elapsed+time.Second)/minReadInterval) + 2)
			if reads > maxReads {
				t.Errorf("%d reads by %d entries for %d agents in %v, want at most %d", reads, ownerCount, test.agents, elapsed, maxReads)
			}
			t.Logf("%d agents: registered after %v, %d appends, %d reads by %d entries", test.agents, elapsed, appends, reads, ownerCount)
		})
	}
}
