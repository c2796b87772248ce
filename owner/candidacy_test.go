package owner

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"ambertiller.example/ambertiller/candidacy"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/standin/wirestore"
)

const (
	// storeLatency is how long the fake store takes to answer a call, slowStoreLatency how long a slow one does.
	storeLatency     = 10 * time.Millisecond
	slowStoreLatency = 250 * time.Millisecond
)

// entryGroup is a group of entries over one fake store. The agents registered in the store accept no
// connections. The group lives in a synctest bubble: time passes only while all entries wait for it.
type entryGroup struct {
	owners []*Owner
	kills  []context.CancelFunc
	// dials counts the attempts of each entry to connect to an agent.
	dials []*atomic.Int64
}

// newEntryGroup starts entries on strong and weak machines. The strong ones come first.
func newEntryGroup(t *testing.T, strong, weak, agents int, latency time.Duration) *entryGroup {
	clock := clockwork.NewRealClock() // It reads the time of the bubble.
	store := wirestore.New(8, clock.Now)
	for number := range agents {
		name := fmt.Sprintf("side-%d", number)
		value, err := proto.Marshal(job.NewAgentRecord(name, fmt.Sprintf("10.0.2.%d:7001", number), nil))
		if err != nil {
			t.Fatal(err)
		}
		store.Put(job.TopicAgents, job.AgentPartition(name, 8), name, value)
	}
	g := &entryGroup{}
	for number := range strong + weak {
		dials := &atomic.Int64{}
		owner := New(Options{
			Name: fmt.Sprintf("edge-%d", number), Strong: number < strong, Address: fmt.Sprintf("10.0.1.%d:7000", number), Shards: 8,
			GrantDuration: 6 * time.Second, MemberTimeout: 1500 * time.Millisecond, Clock: clock, Events: event.Discard(),
			Store: platform.NewStore("store", directTransport{store, latency}),
			Dial: func(context.Context, string) (drpc.Conn, error) {
				dials.Add(1)
				return nil, errors.New("nobody answers")
			},
		})
		ctx, kill := context.WithCancel(context.Background())
		t.Cleanup(kill)
		go owner.Run(ctx)
		g.owners, g.kills, g.dials = append(g.owners, owner), append(g.kills, kill), append(g.dials, dials)
	}
	return g
}

// directTransport calls a handler without a network: a goroutine that waits for a network does not let the
// time of a bubble pass.
type directTransport struct {
	handler http.Handler
	latency time.Duration
}

// RoundTrip implements http.RoundTripper.
func (transport directTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	select {
	case <-time.After(transport.latency):
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
	recorder := httptest.NewRecorder()
	transport.handler.ServeHTTP(recorder, request)
	if err := request.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// counts returns the number of agents that the entries connect to and of shards that they own, summed
// over all entries.
func (g *entryGroup) counts() (views, shards int) {
	for _, owner := range g.owners {
		owner.eventLoop.Call(context.Background(), func(time.Time) { views += len(owner.agents) })
		shards += len(ownedEpochs(owner))
	}
	return views, shards
}

// TestOnlyCandidatesConnectToAgents: the number of connections to agents does not grow with the number of
// entries. It guards against each entry connecting to every agent: with 184 entries and 800 agents each
// entry had 800 connections, although at most 16 entries owned a shard.
func TestOnlyCandidatesConnectToAgents(t *testing.T) {
	tests := map[string]struct{ strong, weak int }{
		"a fleet":                         {20, 10},
		"a fleet of twice the size":       {40, 20},
		"fewer strong entries than seats": {9, 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkConnections(t, test.strong, test.weak) })
		})
	}
}

// checkConnections checks the connections of a group of entries while it starts, and its shards once the
// seats are assigned.
func checkConnections(t *testing.T, strong, weak int) {
	const (
		agents = 5
		// settled is the time after which entries that were candidates only for a moment have handed over
		// their shards.
		settled = 20 * time.Second
	)
	// An entry that owns a shard remains a candidate even if its seat has been assigned to another entry.
	limit := (candidacy.SeatCount(8) + 8) * agents
	g := newEntryGroup(t, strong, weak, agents, storeLatency)
	for begin := time.Now(); time.Since(begin) < 30*time.Second; time.Sleep(100 * time.Millisecond) {
		synctest.Wait()
		views, shards := g.counts()
		if views > limit {
			t.Fatalf("%d entries have %d connections to agents after %v, want %d at most", strong+weak, views, time.Since(begin), limit)
		}
		if time.Since(begin) < settled {
			continue
		}
		if views < 2*agents {
			t.Fatalf("%d entries have %d connections to agents after %v, want %d at least", strong+weak, views, time.Since(begin), 2*agents)
		}
		if shards != 8 {
			t.Fatalf("%d shards are owned after %v, want 8", shards, time.Since(begin))
		}
	}
	for number := strong; number < strong+weak; number++ {
		if dials := g.dials[number].Load(); dials > 0 {
			t.Errorf("edge-%d, whose machine is weak, has dialed agents %d times", number, dials)
		}
	}
}

// TestSlowStoreNeedsNoFurtherCandidates: the owners of a store that answers slowly keep their shards. It guards
// against entries that never learn the number of agents, take the owners for too few and become candidates.
func TestSlowStoreNeedsNoFurtherCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const strong, weak, agents = 20, 10, 5
		g := newEntryGroup(t, strong, weak, agents, slowStoreLatency)
		// By then entries that were candidates only for a moment have handed over their shards.
		time.Sleep(30 * time.Second)
		for begin := time.Now(); time.Since(begin) < 30*time.Second; time.Sleep(100 * time.Millisecond) {
			synctest.Wait()
			views, shards := g.counts()
			if limit := (candidacy.SeatCount(8) + 8) * agents; shards != 8 || views > limit {
				t.Fatalf("after %v %d shards are owned, want 8, with %d connections to agents, want %d at most", time.Since(begin), shards, views, limit)
			}
		}
	})
}

// TestWeakEntriesTakeOver: weak entries own the shards once all strong ones are gone.
func TestWeakEntriesTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newEntryGroup(t, 9, 5, 3, storeLatency)
		time.Sleep(5 * time.Second)
		for number := range 9 {
			g.kills[number]()
		}
		g.owners = g.owners[9:]
		for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if _, shards := g.counts(); shards == 8 {
				return
			}
		}
		t.Fatal("the weak entries have not taken over within 30 s")
	})
}
