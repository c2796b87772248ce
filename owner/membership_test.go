package owner

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"ambertiller.example/ambertiller/standin/wirestore"
)

// runOwner starts an owner whose clock stands still but for what until lets pass.
func runOwner(t *testing.T, clock *clockwork.FakeClock, store *wirestore.Store) (*Owner, context.CancelFunc) {
	started := newOwner(t, clock, store)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go started.Run(ctx)
	return started, cancel
}

func advanceUntil(t *testing.T, clock *clockwork.FakeClock, holds func() bool) {
	t.Helper()
	for range 3000 {
		if holds() {
			return
		}
		clock.Advance(10 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	t.Fatal("what was waited for did not happen")
}

func ownedEpochs(asked *Owner) map[int]int64 {
	found := map[int]int64{}
	asked.eventLoop.Call(context.Background(), func(time.Time) {
		for number, held := range asked.shards {
			if held.loaded {
				found[number] = held.epoch
			}
		}
	})
	return found
}

// TestRestartedOwnerGetsLaterEpoch: a process that comes back before it was
// missed must not write under the epoch of its earlier life. The case that forced
// it: its appends were refused by their sequence and the shards had no owner.
func TestRestartedOwnerGetsLaterEpoch(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := wirestore.New(8, clock.Now)
	first, kill := runOwner(t, clock, store)
	advanceUntil(t, clock, func() bool { return len(ownedEpochs(first)) == 8 })
	before := ownedEpochs(first)
	kill()
	second, _ := runOwner(t, clock, store)
	advanceUntil(t, clock, func() bool { return len(ownedEpochs(second)) == 8 })
	for number, epoch := range ownedEpochs(second) {
		if epoch <= before[number] {
			t.Errorf("shard %d: epoch %d after %d", number, epoch, before[number])
		}
	}
}

// TestNoJoinAfterLeave: the case that forced it brought a stopping entry its
// shards back, and nobody scheduled them.
func TestNoJoinAfterLeave(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := wirestore.New(8, clock.Now)
	only, _ := runOwner(t, clock, store)
	advanceUntil(t, clock, func() bool { return len(ownedEpochs(only)) == 8 })
	if err := only.Leave(context.Background()); err != nil {
		t.Fatal(err)
	}
	joins := store.Calls("/v1/log-join")
	for range 200 {
		clock.Advance(10 * time.Millisecond)
	}
	if got := store.Calls("/v1/log-join"); got != joins {
		t.Errorf("%d joins after the leave", got-joins)
	}
	if got := ownedEpochs(only); len(got) != 0 {
		t.Errorf("it still owns %v", got)
	}
}

// TestShardsMoveFromSilentOwner runs two owners and silences one.
func TestShardsMoveFromSilentOwner(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := wirestore.New(8, clock.Now)
	first, kill := runOwner(t, clock, store)
	advanceUntil(t, clock, func() bool { return len(ownedEpochs(first)) == 8 })
	second := newOwner(t, clock, store)
	second.options.Name = "edge-2"
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go second.Run(ctx)
	advanceUntil(t, clock, func() bool { return len(ownedEpochs(first)) == 4 && len(ownedEpochs(second)) == 4 })
	kill()
	advanceUntil(t, clock, func() bool { return len(ownedEpochs(second)) == 8 })
}

// TestAppendsSurviveStoreFaults: appends that were done and not answered are neither
// repeated nor lost.
func TestAppendsSurviveStoreFaults(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := wirestore.New(8, clock.Now)
	count := 0
	store.Fail(func(call string) wirestore.Fault {
		if call != "/v1/log-append" {
			return wirestore.FaultNone
		}
		count++
		return []wirestore.Fault{wirestore.FaultLost, wirestore.FaultReset, wirestore.FaultBusy, wirestore.FaultNone}[count%4]
	})
	only, _ := runOwner(t, clock, store)
	advanceUntil(t, clock, func() bool { return len(ownedEpochs(only)) == 8 })
}
