package owner

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"ambertiller.example/ambertiller/standin/wirestore"
)

// runOwner starts an owner whose clock only advances in advanceUntil.
func runOwner(t *testing.T, clock *clockwork.FakeClock, store *wirestore.Store) (*Owner, context.CancelFunc) {
	o := newOwner(t, clock, store)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go o.Run(ctx)
	return o, cancel
}

// advanceUntil advances the clock until a condition holds. It fails the test if that takes more than 30 s
// of the clock.
func advanceUntil(t *testing.T, clock *clockwork.FakeClock, condition func() bool) {
	t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		clock.Advance(10 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the condition did not become true within 30 s")
}

// ownedEpochs returns the epochs of the shards that an owner has loaded.
func ownedEpochs(o *Owner) map[int]int64 {
	epochs := map[int]int64{}
	o.eventLoop.Call(context.Background(), func(time.Time) {
		for number, s := range o.shards {
			if s.loaded {
				epochs[number] = s.epoch
			}
		}
	})
	return epochs
}

// TestRestartedOwnerGetsLaterEpoch: a process that restarts before its member timeout must not write under
// the epoch that it had before. Otherwise its appends are refused because of their sequence numbers, and
// the shards have no owner.
func TestRestartedOwnerGetsLaterEpoch(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := wirestore.New(8, clock.Now)
	first, stop := runOwner(t, clock, store)
	advanceUntil(t, clock, func() bool { return len(ownedEpochs(first)) == 8 })
	before := ownedEpochs(first)
	stop()
	second, _ := runOwner(t, clock, store)
	advanceUntil(t, clock, func() bool { return len(ownedEpochs(second)) == 8 })
	for number, epoch := range ownedEpochs(second) {
		if epoch <= before[number] {
			t.Errorf("shard %d: epoch %d after %d", number, epoch, before[number])
		}
	}
}

// TestNoJoinAfterLeave: an entry that shuts down must not join after it has left the group. Otherwise it
// gets its shards back, and nobody schedules their jobs.
func TestNoJoinAfterLeave(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := wirestore.New(8, clock.Now)
	o, _ := runOwner(t, clock, store)
	advanceUntil(t, clock, func() bool { return len(ownedEpochs(o)) == 8 })
	if err := o.Leave(context.Background()); err != nil {
		t.Fatal(err)
	}
	joins := store.Calls("/v1/log-join")
	for range 200 {
		clock.Advance(10 * time.Millisecond)
	}
	if got := store.Calls("/v1/log-join"); got != joins {
		t.Errorf("%d joins after the leave", got-joins)
	}
	if got := ownedEpochs(o); len(got) != 0 {
		t.Errorf("owned after the leave: %v", got)
	}
}

// TestShardsMoveFromSilentOwner: if one of two owners stops, the other one takes over its shards.
func TestShardsMoveFromSilentOwner(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := wirestore.New(8, clock.Now)
	first, stop := runOwner(t, clock, store)
	advanceUntil(t, clock, func() bool { return len(ownedEpochs(first)) == 8 })
	second := newOwner(t, clock, store)
	second.options.Name = "edge-2"
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go second.Run(ctx)
	advanceUntil(t, clock, func() bool { return len(ownedEpochs(first)) == 4 && len(ownedEpochs(second)) == 4 })
	stop()
	advanceUntil(t, clock, func() bool { return len(ownedEpochs(second)) == 8 })
}

// TestAppendsSurviveStoreFaults: owners acquire and load their shards although the store is busy, resets
// connections and loses answers. An append that was done but not answered is neither repeated nor lost.
func TestAppendsSurviveStoreFaults(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := wirestore.New(8, clock.Now)
	count := 0
	store.InjectFaults(func(call string) wirestore.Fault {
		if call != "/v1/log-append" {
			return wirestore.FaultNone
		}
		count++
		return []wirestore.Fault{wirestore.FaultLostResponse, wirestore.FaultReset, wirestore.FaultUnavailable, wirestore.FaultNone}[count%4]
	})
	o, _ := runOwner(t, clock, store)
	advanceUntil(t, clock, func() bool { return len(ownedEpochs(o)) == 8 })
}
