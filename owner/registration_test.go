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
	// ownerCount is how many entries follow the agents' records.
	ownerCount = 3
	// registrationTick is how much time passes at once while agents register, registrationTickPause how long
	// the processes then have to get on with it.
	registrationTick      = 5 * time.Millisecond
	registrationTickPause = 3 * time.Millisecond
	// minReadInterval is what the reads of a partition that find records are apart at least.
	minReadInterval = 250 * time.Millisecond
)

// registrationFleet is a fleet whose agents all register at once, over a store whose partitions take their appends in turn.
type registrationFleet struct {
	clock      *clockwork.FakeClock
	store      *wirestore.Store
	agentNames []string
}

func newRegistrationFleet(t *testing.T, agents int, takes time.Duration) *registrationFleet {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	clock := clockwork.NewFakeClock()
	made := &registrationFleet{clock: clock, store: wirestore.New(fleetShards, clock.Now)}
	made.store.TakeTurns(clock, takes)
	served := httptest.NewServer(made.store)
	t.Cleanup(func() {
		cancel()
		served.CloseClientConnections()
		clock.Advance(time.Hour) // What waits its turn in the store is let go.
		served.Close()
	})
	calls := func() *platform.Store {
		return platform.NewStore(strings.TrimPrefix(served.URL, "http://"), platform.NewTransport())
	}
	for number := range ownerCount {
		scheduling := owner.New(owner.Options{
			Name: fmt.Sprintf("edge-%d", number), Strong: true, Address: fmt.Sprintf("10.0.1.%d:7000", number), Shards: fleetShards,
			GrantDuration: 5 * time.Second, MemberTimeout: time.Hour, JobRetention: time.Minute, Store: calls(), Clock: clock, Events: event.Discard(),
			Dial: func(context.Context, string) (drpc.Conn, error) { return nil, errors.New("nobody is there") },
		})
		go scheduling.Run(ctx)
	}
	for number := range agents {
		name := fmt.Sprintf("side-%d", number)
		made.agentNames = append(made.agentNames, name)
		beside := agent.New(agent.Options{Name: name, Shards: fleetShards, Clock: clock, Events: event.Discard()})
		go beside.Run(ctx)
		go beside.Register(ctx, calls(), fmt.Sprintf("10.0.%d.%d:7001", 2+number/250, number%250))
	}
	return made
}

// advance lets time pass.
func (made *registrationFleet) advance(length time.Duration) {
	for range length / registrationTick {
		made.clock.Advance(registrationTick)
		time.Sleep(registrationTickPause)
	}
}

// timeUntilRegistered returns how long it took until the store had the records of all agents, most if it had not by then.
func (made *registrationFleet) timeUntilRegistered(most time.Duration) time.Duration {
	took := time.Duration(0)
	for ; took < most && !made.allRegistered(); took += 20 * registrationTick {
		made.advance(20 * registrationTick)
	}
	return took
}

func (made *registrationFleet) allRegistered() bool {
	for _, name := range made.agentNames {
		if _, found := made.store.Newest(job.TopicAgents, job.AgentPartition(name, fleetShards), name); !found {
			return false
		}
	}
	return true
}

// TestRegistrationDoesNotOverloadStore has all agents of a fleet register at once. The case that forced it: a partition
// took an append each 4 ms, so that the last of 800 waited 3.2 s; each try was given up after 1.5 s, went on waiting in the
// store, and was followed by another one. The line never emptied, and each record woke all readers.
func TestRegistrationDoesNotOverloadStore(t *testing.T) {
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
			made := newRegistrationFleet(t, test.agents, test.takes)
			took := made.timeUntilRegistered(20 * time.Second)
			if !made.allRegistered() {
				t.Fatalf("not all agents are known after %v", took)
			}
			made.advance(time.Second)
			appends := made.store.TopicCalls("/v1/log-append", job.TopicAgents)
			if appends > test.agents*test.tries {
				t.Errorf("%d appends of %d agents, want %d an agent at most", appends, test.agents, test.tries)
			}
			reads := made.store.TopicCalls("/v1/log-read", job.TopicAgents)
			// The reads of a partition that find records are spaced, and one that waits comes after them.
			most := ownerCount * job.AgentPartitions(fleetShards) * (int((took+time.Second)/minReadInterval) + 2)
			if reads > most {
				t.Errorf("%d reads of %d entries for %d agents in %v, want %d at most", reads, ownerCount, test.agents, took, most)
			}
			t.Logf("%d agents: known after %v, %d appends, %d reads of %d entries", test.agents, took, appends, reads, ownerCount)
		})
	}
}
