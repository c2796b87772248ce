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
	// baseFaultInterval is the pause between two faults, on average, reloadFaultInterval the same of reloadFaults.
	baseFaultInterval   = 700 * time.Millisecond
	reloadFaultInterval = 4 * time.Second
	// restartFaultInterval is the same of restartFaults.
	restartFaultInterval = 2 * time.Second
	// storeFaultInterval is the same of storeFaults, maxStoreOutage how long the store is away as a whole at most.
	storeFaultInterval = 6 * time.Second
	maxStoreOutage     = 6 * time.Second
	// maxShortFault and maxLongFault bound how long a fault lasts: runs on an agent that is silent are
	// taken for over after 5.8 s, and after a change of owner after 11.8 s.
	maxShortFault = 3 * time.Second
	maxLongFault  = 13 * time.Second
)

// fault is something that befalls the site for a while. What it chooses it draws before it waits.
type fault struct {
	name   string
	inject func(ctx context.Context, made *deployment, draw *rand.Rand)
}

// baseFaults are what befalls a site. Each is drawn as often as any other.
var baseFaults = []fault{
	{"path of one owner held up", func(ctx context.Context, made *deployment, draw *rand.Rand) {
		path, whose := made.agentRelays[draw.IntN(len(made.agentRelays))], fromGateway(made.gateways[draw.IntN(gatewayCount)])
		pauseRelays(ctx, draw, whose, path)
	}},
	{"paths to an agent held up", func(ctx context.Context, made *deployment, draw *rand.Rand) {
		pauseRelays(ctx, draw, fromAny, made.agentRelays[draw.IntN(len(made.agentRelays))])
	}},
	{"paths of an owner held up", func(ctx context.Context, made *deployment, draw *rand.Rand) {
		pauseRelays(ctx, draw, fromGateway(made.gateways[draw.IntN(gatewayCount)]), made.agentRelays...)
	}},
	{"open connections to an agent silent", func(_ context.Context, made *deployment, draw *rand.Rand) {
		toServer, toClient := drawDirections(draw)
		made.agentRelays[draw.IntN(len(made.agentRelays))].DiscardTraffic(toServer, toClient)
	}},
	{"connections to an agent reset", func(_ context.Context, made *deployment, draw *rand.Rand) {
		made.agentRelays[draw.IntN(len(made.agentRelays))].Reset()
	}},
	{"store of one process held up", func(ctx context.Context, made *deployment, draw *rand.Rand) {
		pauseRelays(ctx, draw, fromAny, made.drawProcess(draw).storeRelay)
	}},
	{"store of one process reset", func(_ context.Context, made *deployment, draw *rand.Rand) {
		made.drawProcess(draw).storeRelay.Reset()
	}},
	{"process paused", func(ctx context.Context, made *deployment, draw *rand.Rand) {
		made.drawProcess(draw).pause(ctx, drawDuration(draw))
	}},
	{"process killed", func(_ context.Context, made *deployment, draw *rand.Rand) {
		made.drawProcess(draw).signal(syscall.SIGKILL)
	}},
	{"process stopped", func(_ context.Context, made *deployment, draw *rand.Rand) {
		made.drawProcess(draw).signal(syscall.SIGTERM)
	}},
	{"store busy or without answers", func(ctx context.Context, made *deployment, draw *rand.Rand) {
		kind := []wirestore.Fault{wirestore.FaultUnavailable, wirestore.FaultLostResponse, wirestore.FaultReset}[draw.IntN(3)]
		share := 0.2 + 0.8*draw.Float64()
		made.store.InjectFaults(func(string) wirestore.Fault {
			if rand.Float64() < share {
				return kind
			}
			return wirestore.FaultNone
		})
		sleep(ctx, drawDuration(draw))
		made.store.InjectFaults(nil)
	}},
	{"orders unanswered", func(ctx context.Context, made *deployment, draw *rand.Rand) {
		struck := made.workerHosts[draw.IntN(len(made.workerHosts))].currentWorker()
		lasts, share := drawDuration(draw), draw.Float64()
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
	{"worker crashes", func(_ context.Context, made *deployment, draw *rand.Rand) {
		made.workerHosts[draw.IntN(len(made.workerHosts))].crash(drawDuration(draw))
	}},
	{"worker hangs", func(ctx context.Context, made *deployment, draw *rand.Rand) {
		goOn := made.workerHosts[draw.IntN(len(made.workerHosts))].hang()
		sleep(ctx, drawDuration(draw))
		goOn()
	}},
}

// faultLists are the lists of faults, each drawn on its own: what a seed draws of one stays the same when another
// one is added at the end.
var faultLists = []struct {
	faults []fault
	every  time.Duration
}{{baseFaults, baseFaultInterval}, {reloadFaults, reloadFaultInterval}, {restartFaults, restartFaultInterval}, {storeFaults, storeFaultInterval}}

// storeFaults are those of the store as a whole.
var storeFaults = []fault{
	{"store away", func(ctx context.Context, made *deployment, draw *rand.Rand) {
		kind := []wirestore.Fault{wirestore.FaultNoResponse, wirestore.FaultReset, wirestore.FaultUnavailable}[draw.IntN(3)]
		made.store.InjectFaults(func(string) wirestore.Fault { return kind })
		sleep(ctx, time.Duration(draw.Int64N(int64(maxStoreOutage))))
		made.store.InjectFaults(nil)
	}},
	{"store without its history", func(_ context.Context, made *deployment, _ *rand.Rand) {
		made.store.Compact()
	}},
}

// reloadFaults strike a process without taking anything from it.
var reloadFaults = []fault{
	{"settings read again", func(_ context.Context, made *deployment, draw *rand.Rand) {
		made.drawProcess(draw).signal(syscall.SIGHUP)
	}},
}

// restartFaults are those of workers that start again. What strikes the
// agent meanwhile has it miss the end of a life, or two of them.
var restartFaults = []fault{
	{"worker starts again", func(ctx context.Context, made *deployment, draw *rand.Rand) {
		restartWorker(ctx, made.workerHosts[draw.IntN(len(made.workerHosts))], draw)
	}},
	{"worker starts again, its agent paused", func(ctx context.Context, made *deployment, draw *rand.Rand) {
		number := draw.IntN(len(made.workerHosts))
		restartDuringFault(ctx, made, number, draw, func() { made.agents[number].pause(ctx, drawDuration(draw)) })
	}},
	{"worker starts again, its agent killed", func(ctx context.Context, made *deployment, draw *rand.Rand) {
		number := draw.IntN(len(made.workerHosts))
		restartDuringFault(ctx, made, number, draw, func() { made.agents[number].signal(syscall.SIGKILL) })
	}},
	{"worker starts again, its agent cut off", func(ctx context.Context, made *deployment, draw *rand.Rand) {
		number := draw.IntN(len(made.workerHosts))
		restartDuringFault(ctx, made, number, draw, func() { pauseRelays(ctx, draw, fromAny, made.agentRelays[number], made.agents[number].storeRelay) })
	}},
}

// restartDuringFault has a worker start again while something befalls its agent.
func restartDuringFault(ctx context.Context, made *deployment, number int, draw *rand.Rand, befalls func()) {
	own := rand.New(rand.NewPCG(draw.Uint64(), 0))
	var striking sync.WaitGroup
	striking.Go(befalls)
	sleep(ctx, time.Duration(own.Int64N(int64(maxDowntime))))
	restartWorker(ctx, made.workerHosts[number], own)
	striking.Wait()
}

// maxDowntime is how long a worker that starts again is away at most, which is less than its lease. Two of three
// times it starts again once, else twice in a row; now and then under an id of its own.
const maxDowntime = 1500 * time.Millisecond

// restartWorker has a worker be away once or twice.
func restartWorker(ctx context.Context, struck *workerHost, draw *rand.Rand) {
	for range 1 + draw.IntN(3)/2 {
		away := time.Duration(draw.Int64N(int64(maxDowntime)))
		if draw.IntN(4) == 0 {
			struck.crash(away)
		} else {
			struck.restart(away)
		}
		sleep(ctx, away+time.Duration(draw.Int64N(int64(maxDowntime))))
	}
}

// drawProcess draws a process.
func (made *deployment) drawProcess(draw *rand.Rand) *process {
	if draw.IntN(2) == 0 {
		return made.gateways[draw.IntN(len(made.gateways))]
	}
	return made.agents[draw.IntN(len(made.agents))]
}

// pauseRelays holds relays up for a while, in directions that it draws.
func pauseRelays(ctx context.Context, draw *rand.Rand, whose func(greeting []byte) bool, relays ...*relay.Relay) {
	toServer, toClient := drawDirections(draw)
	for _, between := range relays {
		between.Pause(whose, toServer, toClient)
	}
	sleep(ctx, drawDuration(draw))
	for _, between := range relays {
		between.Resume()
	}
}

// drawDirections draws one direction or both.
func drawDirections(draw *rand.Rand) (toServer, toClient bool) {
	chosen := draw.IntN(4)
	return chosen != 0, chosen != 1
}

// drawDuration draws how long a fault lasts: half of them are short.
func drawDuration(draw *rand.Rand) time.Duration {
	if draw.IntN(2) == 0 {
		return time.Duration(draw.Int64N(int64(maxShortFault)))
	}
	return time.Duration(draw.Int64N(int64(maxLongFault)))
}

// injectFaults strikes the site with faults that overlap until ctx ends, and waits for the last of them.
func (made *deployment) injectFaults(ctx context.Context, seed uint64, log func(format string, about ...any)) {
	var striking sync.WaitGroup
	for number, list := range faultLists[:faultListCount(seed)] {
		striking.Go(func() { made.injectFaultsOf(ctx, list.faults, list.every, seed, seed+uint64(number), log) })
	}
	striking.Wait()
	made.endFaults()
}

// injectFaultsOf draws faults of a list, with a pause between two of them, until ctx ends, and waits for them.
func (made *deployment) injectFaultsOf(ctx context.Context, of []fault, every time.Duration, seed, stream uint64, log func(format string, about ...any)) {
	draw := rand.New(rand.NewPCG(seed, stream))
	var striking sync.WaitGroup
	for ctx.Err() == nil {
		chosen := of[draw.IntN(len(of))]
		own := rand.New(rand.NewPCG(draw.Uint64(), seed))
		pause := time.Duration(draw.Int64N(int64(2 * every)))
		log("%.3f %s", time.Since(made.ledger.startedAt).Seconds(), chosen.name)
		striking.Go(func() { chosen.inject(ctx, made, own) })
		sleep(ctx, pause)
	}
	striking.Wait()
}
