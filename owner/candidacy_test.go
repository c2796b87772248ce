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

// entryGroup is a fleet's entries over one store, and agents that are registered there but answer nobody.
type entryGroup struct {
	clock  *clockwork.FakeClock
	owners []*Owner
	kills  []context.CancelFunc
	// dials counts the entries that have tried to connect to an agent, by entry.
	dials []*atomic.Int64
}

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
	made := &entryGroup{clock: clock}
	for number := range strong + weak {
		dials := &atomic.Int64{}
		begun := New(Options{
			Name: fmt.Sprintf("edge-%d", number), Strong: number < strong, Address: fmt.Sprintf("10.0.1.%d:7000", number), Shards: 8,
			GrantDuration: 6 * time.Second, MemberTimeout: 1500 * time.Millisecond, Clock: clock, Events: event.Discard(),
			Store: platform.NewStore(strings.TrimPrefix(server.URL, "http://"), platform.Transport()),
			Dial: func(context.Context, string) (drpc.Conn, error) {
				dials.Add(1)
				return nil, errors.New("nobody answers")
			},
		})
		ctx, kill := context.WithCancel(context.Background())
		t.Cleanup(kill)
		go begun.Run(ctx)
		made.owners, made.kills, made.dials = append(made.owners, begun), append(made.kills, kill), append(made.dials, dials)
	}
	return made
}

// advance lets time pass.
func (made *entryGroup) advance(length time.Duration) {
	for range length / (10 * time.Millisecond) {
		made.clock.Advance(10 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
}

// counts counts the agents that all entries look at, and shards those that they own.
func (made *entryGroup) counts() (views, shards int) {
	for _, begun := range made.owners {
		begun.eventLoop.Ask(context.Background(), func(time.Time) { views += len(begun.agents) })
		shards += len(ownedEpochs(begun))
	}
	return views, shards
}

// TestOnlyCandidatesConnectToAgents counts the agents that the entries of a fleet look at, and of one with twice the entries. The
// case that forced it: each of 184 entries kept a connection to each of 800 agents, though at most 16 entries owned any shard.
func TestOnlyCandidatesConnectToAgents(t *testing.T) {
	const agents = 5
	tests := map[string]struct{ strong, weak int }{
		"a fleet":                      {20, 10},
		"one of twice the size":        {40, 20},
		"fewer strong ones than seats": {9, 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newEntryGroup(t, test.strong, test.weak, agents)
			// Seats settle, and those who had one for a moment leave.
			made.advance(14 * time.Second)
			views, shards := made.counts()
			// Who owns a shard stays where its seat has been dealt to another entry.
			if most := (candidacy.SeatCount(8) + 8) * agents; views > most || views < 2*agents {
				t.Errorf("%d entries look at %d agents, want %d at most", test.strong+test.weak, views, most)
			}
			if shards != 8 {
				t.Errorf("%d shards are owned", shards)
			}
			for number := test.strong; number < test.strong+test.weak; number++ {
				if dials := made.dials[number].Load(); dials > 0 {
					t.Errorf("edge-%d, whose machine is weak, has dialled %d times", number, dials)
				}
			}
		})
	}
}

// TestWeakEntriesTakeOver: where all strong entries are gone, weak ones own the shards.
func TestWeakEntriesTakeOver(t *testing.T) {
	made := newEntryGroup(t, 9, 5, 3)
	made.advance(5 * time.Second)
	for number := range 9 {
		made.kills[number]()
	}
	made.owners = made.owners[9:]
	advanceUntil(t, made.clock, func() bool {
		_, shards := made.counts()
		return shards == 8
	})
}
