package owner

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
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

// entryGroup is a group of entries over one fake store. The agents registered in the store accept no
// connections.
type entryGroup struct {
	clock  *clockwork.FakeClock
	owners []*Owner
	kills  []context.CancelFunc
	// dials counts the attempts of each entry to connect to an agent.
	dials []*atomic.Int64
}

// newEntryGroup starts entries on strong and weak machines. The strong ones come first.
func newEntryGroup(t *testing.T, strong, weak, agents int) *entryGroup {
	clock := clockwork.NewFakeClock()
	store := wirestore.New(8, clock.Now)
	for number := range agents {
		name := fmt.Sprintf("side-%d", number)
		value, err := proto.Marshal(job.NewAgentRecord(name, fmt.Sprintf("10.0.2.%d:7001", number), nil))
		if err != nil {
			t.Fatal(err)
		}
		store.Put(job.TopicAgents, job.AgentPartition(name, 8), name, value)
	}
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	g := &entryGroup{clock: clock}
	for number := range strong + weak {
		dials := &atomic.Int64{}
		owner := New(Options{
			Name: fmt.Sprintf("edge-%d", number), Strong: number < strong, Address: fmt.Sprintf("10.0.1.%d:7000", number), Shards: 8,
			GrantDuration: 6 * time.Second, MemberTimeout: 1500 * time.Millisecond, Clock: clock, Events: event.Discard(),
			Store: platform.NewStore(strings.TrimPrefix(server.URL, "http://"), platform.NewTransport()),
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

// advance advances the clock in steps of 10 ms, with 1 ms of real time for the entries after each.
func (g *entryGroup) advance(length time.Duration) {
	for range length / (10 * time.Millisecond) {
		g.clock.Advance(10 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
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
	const agents = 5
	tests := map[string]struct{ strong, weak int }{
		"a fleet":                         {20, 10},
		"a fleet of twice the size":       {40, 20},
		"fewer strong entries than seats": {9, 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newEntryGroup(t, test.strong, test.weak, agents)
			// By then the seats are assigned, and entries that were candidates only for a moment have
			// disconnected.
			g.advance(14 * time.Second)
			views, shards := g.counts()
			// An entry that owns a shard remains a candidate even if its seat has been assigned to
			// another entry.
			if limit := (candidacy.SeatCount(8) + 8) * agents; views > limit || views < 2*agents {
				t.Errorf("%d entries have %d connections to agents, want %d at most", test.strong+test.weak, views, limit)
			}
			if shards != 8 {
				t.Errorf("%d shards are owned, want 8", shards)
			}
			for number := test.strong; number < test.strong+test.weak; number++ {
				if dials := g.dials[number].Load(); dials > 0 {
					t.Errorf("edge-%d, whose machine is weak, has dialed agents %d times", number, dials)
				}
			}
		})
	}
}

// TestWeakEntriesTakeOver: weak entries own the shards once all strong ones are gone.
func TestWeakEntriesTakeOver(t *testing.T) {
	g := newEntryGroup(t, 9, 5, 3)
	g.advance(5 * time.Second)
	for number := range 9 {
		g.kills[number]()
	}
	g.owners = g.owners[9:]
	advanceUntil(t, g.clock, func() bool {
		_, shards := g.counts()
		return shards == 8
	})
}
