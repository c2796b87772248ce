package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"ambertiller.example/ambertiller/standin/relay"
	"ambertiller.example/ambertiller/standin/wirestore"
	"ambertiller.example/ambertiller/standin/wireworker"
)

const (
	// faultEvery is the pause between two faults, on average, laterEvery the same of laterFaults.
	faultEvery = 700 * time.Millisecond
	laterEvery = 4 * time.Second
	// againEvery is the same of againFaults.
	againEvery = 2 * time.Second
	// storeEvery is the same of storeFaults, storeAwayMost how long the store is away as a whole at most.
	storeEvery    = 6 * time.Second
	storeAwayMost = 6 * time.Second
	// shortMost and longMost bound how long a fault lasts: runs on an agent that is silent are
	// taken for over after 5.8 s, and after a change of owner after 11.8 s.
	shortMost = 3 * time.Second
	longMost  = 13 * time.Second
)

// fault is something that befalls the site for a while. What it chooses it draws before it waits.
type fault struct {
	name   string
	strike func(ctx context.Context, made *site, draw *rand.Rand)
}

// faults are what befalls a site. Each is drawn as often as any other.
var faults = []fault{
	{"path of one owner held up", func(ctx context.Context, made *site, draw *rand.Rand) {
		path, whose := made.paths[draw.IntN(len(made.paths))], isOwner(made.gateways[draw.IntN(gatewayCount)])
		holdUp(ctx, draw, whose, path)
	}},
	{"paths to an agent held up", func(ctx context.Context, made *site, draw *rand.Rand) {
		holdUp(ctx, draw, everyone, made.paths[draw.IntN(len(made.paths))])
	}},
	{"paths of an owner held up", func(ctx context.Context, made *site, draw *rand.Rand) {
		holdUp(ctx, draw, isOwner(made.gateways[draw.IntN(gatewayCount)]), made.paths...)
	}},
	{"open connections to an agent silent", func(_ context.Context, made *site, draw *rand.Rand) {
		toServer, toClient := directions(draw)
		made.paths[draw.IntN(len(made.paths))].DiscardTraffic(toServer, toClient)
	}},
	{"connections to an agent reset", func(_ context.Context, made *site, draw *rand.Rand) {
		made.paths[draw.IntN(len(made.paths))].Reset()
	}},
	{"store of one process held up", func(ctx context.Context, made *site, draw *rand.Rand) {
		holdUp(ctx, draw, everyone, made.any(draw).store)
	}},
	{"store of one process reset", func(_ context.Context, made *site, draw *rand.Rand) {
		made.any(draw).store.Reset()
	}},
	{"process paused", func(ctx context.Context, made *site, draw *rand.Rand) {
		made.any(draw).pause(ctx, length(draw))
	}},
	{"process killed", func(_ context.Context, made *site, draw *rand.Rand) {
		made.any(draw).signal(syscall.SIGKILL)
	}},
	{"process stopped", func(_ context.Context, made *site, draw *rand.Rand) {
		made.any(draw).signal(syscall.SIGTERM)
	}},
	{"store busy or without answers", func(ctx context.Context, made *site, draw *rand.Rand) {
		kind := []wirestore.Fault{wirestore.FaultUnavailable, wirestore.FaultLostResponse, wirestore.FaultReset}[draw.IntN(3)]
		share := 0.2 + 0.8*draw.Float64()
		made.store.InjectFaults(func(string) wirestore.Fault {
			if rand.Float64() < share {
				return kind
			}
			return wirestore.FaultNone
		})
		sleep(ctx, length(draw))
		made.store.InjectFaults(nil)
	}},
	{"orders unanswered", func(ctx context.Context, made *site, draw *rand.Rand) {
		struck := made.machines[draw.IntN(len(made.machines))].current()
		lasts, share := length(draw), draw.Float64()
		if struck == nil {
			return
		}
		struck.InjectFaults(func(string) wireworker.Fault {
			if rand.Float64() >= share {
				return wireworker.FaultNone
			}
			return []wireworker.Fault{wireworker.FaultLostResponse, wireworker.FaultReset, wireworker.FaultDelayed}[rand.IntN(3)]
		})
		sleep(ctx, lasts)
		struck.InjectFaults(nil)
		struck.ExecuteDelayedStarts()
	}},
	{"worker crashes", func(_ context.Context, made *site, draw *rand.Rand) {
		made.machines[draw.IntN(len(made.machines))].crash(length(draw))
	}},
	{"worker hangs", func(ctx context.Context, made *site, draw *rand.Rand) {
		goOn := made.machines[draw.IntN(len(made.machines))].hang()
		sleep(ctx, length(draw))
		goOn()
	}},
}

// faultLists are the lists of faults, each drawn on its own: what a seed draws of one stays the same when another
// one is added at the end.
var faultLists = []struct {
	faults []fault
	every  time.Duration
}{{faults, faultEvery}, {laterFaults, laterEvery}, {againFaults, againEvery}, {storeFaults, storeEvery}}

// storeFaults are those of the store as a whole.
var storeFaults = []fault{
	{"store away", func(ctx context.Context, made *site, draw *rand.Rand) {
		kind := []wirestore.Fault{wirestore.FaultNoResponse, wirestore.FaultReset, wirestore.FaultUnavailable}[draw.IntN(3)]
		made.store.InjectFaults(func(string) wirestore.Fault { return kind })
		sleep(ctx, time.Duration(draw.Int64N(int64(storeAwayMost))))
		made.store.InjectFaults(nil)
	}},
	{"store without its history", func(_ context.Context, made *site, _ *rand.Rand) {
		made.store.Compact()
	}},
}

// laterFaults strike a process without taking anything from it.
var laterFaults = []fault{
	{"settings read again", func(_ context.Context, made *site, draw *rand.Rand) {
		made.any(draw).signal(syscall.SIGHUP)
	}},
}

// againFaults are those of workers that start again. What strikes the
// agent meanwhile has it miss the end of a life, or two of them.
var againFaults = []fault{
	{"worker starts again", func(ctx context.Context, made *site, draw *rand.Rand) {
		startOver(ctx, made.machines[draw.IntN(len(made.machines))], draw)
	}},
	{"worker starts again, its agent paused", func(ctx context.Context, made *site, draw *rand.Rand) {
		number := draw.IntN(len(made.machines))
		meanwhile(ctx, made, number, draw, func() { made.agents[number].pause(ctx, length(draw)) })
	}},
	{"worker starts again, its agent killed", func(ctx context.Context, made *site, draw *rand.Rand) {
		number := draw.IntN(len(made.machines))
		meanwhile(ctx, made, number, draw, func() { made.agents[number].signal(syscall.SIGKILL) })
	}},
	{"worker starts again, its agent cut off", func(ctx context.Context, made *site, draw *rand.Rand) {
		number := draw.IntN(len(made.machines))
		meanwhile(ctx, made, number, draw, func() { holdUp(ctx, draw, everyone, made.paths[number], made.agents[number].store) })
	}},
}

// meanwhile has a worker start again while something befalls its agent.
func meanwhile(ctx context.Context, made *site, number int, draw *rand.Rand, befalls func()) {
	own := rand.New(rand.NewPCG(draw.Uint64(), 0))
	var striking sync.WaitGroup
	striking.Go(befalls)
	sleep(ctx, time.Duration(own.Int64N(int64(awayMost))))
	startOver(ctx, made.machines[number], own)
	striking.Wait()
}

// awayMost is how long a worker that starts again is away at most, which is less than its lease. Two of three
// times it starts again once, else twice in a row; now and then under an id of its own.
const awayMost = 1500 * time.Millisecond

// startOver has a worker be away once or twice.
func startOver(ctx context.Context, struck *machine, draw *rand.Rand) {
	for range 1 + draw.IntN(3)/2 {
		away := time.Duration(draw.Int64N(int64(awayMost)))
		if draw.IntN(4) == 0 {
			struck.crash(away)
		} else {
			struck.startAgain(away)
		}
		sleep(ctx, away+time.Duration(draw.Int64N(int64(awayMost))))
	}
}

// any draws a process.
func (made *site) any(draw *rand.Rand) *process {
	if draw.IntN(2) == 0 {
		return made.gateways[draw.IntN(len(made.gateways))]
	}
	return made.agents[draw.IntN(len(made.agents))]
}

// holdUp holds relays up for a while, in directions that it draws.
func holdUp(ctx context.Context, draw *rand.Rand, whose func(greeting []byte) bool, relays ...*relay.Relay) {
	toServer, toClient := directions(draw)
	for _, between := range relays {
		between.Pause(whose, toServer, toClient)
	}
	sleep(ctx, length(draw))
	for _, between := range relays {
		between.Resume()
	}
}

// directions draws one direction or both.
func directions(draw *rand.Rand) (toServer, toClient bool) {
	chosen := draw.IntN(4)
	return chosen != 0, chosen != 1
}

// length draws how long a fault lasts: half of them are short.
func length(draw *rand.Rand) time.Duration {
	if draw.IntN(2) == 0 {
		return time.Duration(draw.Int64N(int64(shortMost)))
	}
	return time.Duration(draw.Int64N(int64(longMost)))
}

// suffer strikes the site with faults that overlap until ctx ends, and waits for the last of them.
func (made *site) suffer(ctx context.Context, seed uint64, log func(format string, about ...any)) {
	var striking sync.WaitGroup
	for number, list := range faultLists[:listsOf(seed)] {
		striking.Go(func() { made.strike(ctx, list.faults, list.every, seed, seed+uint64(number), log) })
	}
	striking.Wait()
	made.heal()
}

// strike draws faults of a list, with a pause between two of them, until ctx ends, and waits for them.
func (made *site) strike(ctx context.Context, of []fault, every time.Duration, seed, stream uint64, log func(format string, about ...any)) {
	draw := rand.New(rand.NewPCG(seed, stream))
	var striking sync.WaitGroup
	for ctx.Err() == nil {
		chosen := of[draw.IntN(len(of))]
		own := rand.New(rand.NewPCG(draw.Uint64(), seed))
		pause := time.Duration(draw.Int64N(int64(2 * every)))
		log("%.3f %s", time.Since(made.book.began).Seconds(), chosen.name)
		striking.Go(func() { chosen.strike(ctx, made, own) })
		sleep(ctx, pause)
	}
	striking.Wait()
}
