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
	// baseFaultInterval is the mean time between two of baseFaults, and reloadFaultInterval between two of
	// reloadFaults.
	baseFaultInterval   = 700 * time.Millisecond
	reloadFaultInterval = 4 * time.Second
	// restartFaultInterval is the mean time between two of restartFaults.
	restartFaultInterval = 2 * time.Second
	// storeFaultInterval is the mean time between two of storeFaults, and maxStoreOutage bounds how long the
	// whole store is unavailable.
	storeFaultInterval = 6 * time.Second
	maxStoreOutage     = 6 * time.Second
	// maxShortFault and maxLongFault bound the duration of a fault. Faults end before and after the time at
	// which an owner considers the runs on a silent agent over: 5.8 s, or 11.8 s after a change of owner.
	maxShortFault = 3 * time.Second
	maxLongFault  = 13 * time.Second
)

// fault is a fault of limited duration that is injected into a deployment. It draws its choices before it
// waits.
type fault struct {
	name   string
	inject func(ctx context.Context, d *deployment, rng *rand.Rand)
}

// baseFaults are the faults of networks, processes, store calls and workers, all equally likely.
var baseFaults = []fault{
	{"one owner's connections to an agent paused", func(ctx context.Context, d *deployment, rng *rand.Rand) {
		agentRelay, matches := d.agentRelays[rng.IntN(len(d.agentRelays))], fromGateway(d.gateways[rng.IntN(gatewayCount)])
		pauseRelays(ctx, rng, matches, agentRelay)
	}},
	{"all connections to an agent paused", func(ctx context.Context, d *deployment, rng *rand.Rand) {
		pauseRelays(ctx, rng, fromAny, d.agentRelays[rng.IntN(len(d.agentRelays))])
	}},
	{"one owner's connections to all agents paused", func(ctx context.Context, d *deployment, rng *rand.Rand) {
		pauseRelays(ctx, rng, fromGateway(d.gateways[rng.IntN(gatewayCount)]), d.agentRelays...)
	}},
	{"traffic on open connections to an agent discarded", func(_ context.Context, d *deployment, rng *rand.Rand) {
		toServer, toClient := drawDirections(rng)
		d.agentRelays[rng.IntN(len(d.agentRelays))].DiscardTraffic(toServer, toClient)
	}},
	{"connections to an agent reset", func(_ context.Context, d *deployment, rng *rand.Rand) {
		d.agentRelays[rng.IntN(len(d.agentRelays))].Reset()
	}},
	{"store connections of a process paused", func(ctx context.Context, d *deployment, rng *rand.Rand) {
		p := d.drawProcess(rng)
		defer d.disturbed.begin(p.name)()
		pauseRelays(ctx, rng, fromAny, p.storeRelay)
	}},
	{"store connections of a process reset", func(_ context.Context, d *deployment, rng *rand.Rand) {
		p := d.drawProcess(rng)
		d.disturbed.record(p.name)
		p.storeRelay.Reset()
	}},
	{"process paused", func(ctx context.Context, d *deployment, rng *rand.Rand) {
		d.drawProcess(rng).pause(ctx, drawDuration(rng))
	}},
	{"process killed", func(_ context.Context, d *deployment, rng *rand.Rand) {
		d.drawProcess(rng).signal(syscall.SIGKILL)
	}},
	{"process stopped", func(_ context.Context, d *deployment, rng *rand.Rand) {
		d.drawProcess(rng).signal(syscall.SIGTERM)
	}},
	{"some store calls failing", func(ctx context.Context, d *deployment, rng *rand.Rand) {
		kind := []wirestore.Fault{wirestore.FaultUnavailable, wirestore.FaultLostResponse, wirestore.FaultReset}[rng.IntN(3)]
		share := 0.2 + 0.8*rng.Float64()
		defer d.disturbed.begin(storeName)()
		d.store.InjectFaults(func(string) wirestore.Fault {
			if rand.Float64() < share {
				return kind
			}
			return wirestore.FaultNone
		})
		sleep(ctx, drawDuration(rng))
		d.store.InjectFaults(nil)
	}},
	{"some orders to a worker failing", func(ctx context.Context, d *deployment, rng *rand.Rand) {
		worker := d.workerHosts[rng.IntN(len(d.workerHosts))].currentWorker()
		duration, share := drawDuration(rng), rng.Float64()
		if worker == nil {
			return
		}
		worker.InjectFaults(func(string) wireworker.Fault {
			if rand.Float64() >= share {
				return wireworker.FaultNone
			}
			return []wireworker.Fault{wireworker.FaultLostResponse, wireworker.FaultReset, wireworker.FaultDelayed}[rand.IntN(3)]
		})
		sleep(ctx, duration)
		worker.InjectFaults(nil)
		worker.ExecuteDelayedStarts()
	}},
	{"worker crashes", func(_ context.Context, d *deployment, rng *rand.Rand) {
		d.workerHosts[rng.IntN(len(d.workerHosts))].crash(drawDuration(rng))
	}},
	{"worker hangs", func(ctx context.Context, d *deployment, rng *rand.Rand) {
		resume := d.workerHosts[rng.IntN(len(d.workerHosts))].hang()
		sleep(ctx, drawDuration(rng))
		resume()
	}},
}

// faultLists are the lists of faults. Each list has its own random number generator, so that a seed still
// draws the same faults from it when another list is appended.
var faultLists = []struct {
	faults   []fault
	interval time.Duration
}{
	{baseFaults, baseFaultInterval}, {reloadFaults, reloadFaultInterval}, {restartFaults, restartFaultInterval},
	{storeFaults, storeFaultInterval}, {configurationFaults, configurationFaultInterval},
	{ownershipFaults, ownershipFaultInterval},
}

// configurationList is the index of configurationFaults in faultLists.
const configurationList = 4

// storeFaults are faults that affect the whole store.
var storeFaults = []fault{
	{"store unavailable", func(ctx context.Context, d *deployment, rng *rand.Rand) {
		kind := []wirestore.Fault{wirestore.FaultNoResponse, wirestore.FaultReset, wirestore.FaultUnavailable}[rng.IntN(3)]
		defer d.disturbed.begin(storeName)()
		d.store.InjectFaults(func(string) wirestore.Fault { return kind })
		sleep(ctx, time.Duration(rng.Int64N(int64(maxStoreOutage))))
		d.store.InjectFaults(nil)
	}},
	{"store compacted", func(_ context.Context, d *deployment, _ *rand.Rand) {
		d.disturbed.record(storeName)
		d.store.Compact()
	}},
}

// reloadFaults have a process reload its settings, without interrupting it.
var reloadFaults = []fault{
	{"settings reloaded", func(_ context.Context, d *deployment, rng *rand.Rand) {
		d.drawProcess(rng).signal(syscall.SIGHUP)
	}},
}

// restartFaults have workers restart. A fault of the agent at the same time causes it to miss the end of an
// incarnation, or of two of them.
var restartFaults = []fault{
	{"worker restarts", func(ctx context.Context, d *deployment, rng *rand.Rand) {
		restartWorker(ctx, d.workerHosts[rng.IntN(len(d.workerHosts))], rng)
	}},
	{"worker restarts while its agent is paused", func(ctx context.Context, d *deployment, rng *rand.Rand) {
		index := rng.IntN(len(d.workerHosts))
		restartDuringFault(ctx, d, index, rng, func() { d.agents[index].pause(ctx, drawDuration(rng)) })
	}},
	{"worker restarts while its agent is killed", func(ctx context.Context, d *deployment, rng *rand.Rand) {
		index := rng.IntN(len(d.workerHosts))
		restartDuringFault(ctx, d, index, rng, func() { d.agents[index].signal(syscall.SIGKILL) })
	}},
	{"worker restarts while its agent is disconnected", func(ctx context.Context, d *deployment, rng *rand.Rand) {
		index := rng.IntN(len(d.workerHosts))
		restartDuringFault(ctx, d, index, rng, func() { pauseRelays(ctx, rng, fromAny, d.agentRelays[index], d.agents[index].storeRelay) })
	}},
}

// restartDuringFault restarts a worker while a fault is injected into its agent. The restart has its own
// random number generator because both draw concurrently.
func restartDuringFault(ctx context.Context, d *deployment, index int, rng *rand.Rand, injectAgentFault func()) {
	restartRNG := rand.New(rand.NewPCG(rng.Uint64(), 0))
	var wg sync.WaitGroup
	wg.Go(injectAgentFault)
	sleep(ctx, time.Duration(restartRNG.Int64N(int64(maxDowntime))))
	restartWorker(ctx, d.workerHosts[index], restartRNG)
	wg.Wait()
}

// maxDowntime bounds how long a restarting worker is down. It is shorter than the worker's lease.
const maxDowntime = 1500 * time.Millisecond

// restartWorker restarts a worker: once in two of three cases, otherwise twice in a row. One restart in four
// gives the worker a new ID.
func restartWorker(ctx context.Context, host *workerHost, rng *rand.Rand) {
	for range 1 + rng.IntN(3)/2 {
		downtime := time.Duration(rng.Int64N(int64(maxDowntime)))
		if rng.IntN(4) == 0 {
			host.crash(downtime)
		} else {
			host.restart(downtime)
		}
		sleep(ctx, downtime+time.Duration(rng.Int64N(int64(maxDowntime))))
	}
}

// drawProcess draws a gateway or an agent. Both kinds are equally likely.
func (d *deployment) drawProcess(rng *rand.Rand) *process {
	if rng.IntN(2) == 0 {
		return d.gateways[rng.IntN(len(d.gateways))]
	}
	return d.agents[rng.IntN(len(d.agents))]
}

// pauseRelays pauses the connections of relays that match, for a duration and in directions that it draws.
func pauseRelays(ctx context.Context, rng *rand.Rand, matches func(greeting []byte) bool, relays ...*relay.Relay) {
	toServer, toClient := drawDirections(rng)
	for _, r := range relays {
		r.Pause(matches, toServer, toClient)
	}
	sleep(ctx, drawDuration(rng))
	for _, r := range relays {
		r.Resume()
	}
}

// drawDirections draws one direction or both: each direction alone in one case of four, both in two of four.
func drawDirections(rng *rand.Rand) (toServer, toClient bool) {
	choice := rng.IntN(4)
	return choice != 0, choice != 1
}

// drawDuration draws the duration of a fault: half of them up to maxShortFault, half up to maxLongFault.
func drawDuration(rng *rand.Rand) time.Duration {
	if rng.IntN(2) == 0 {
		return time.Duration(rng.Int64N(int64(maxShortFault)))
	}
	return time.Duration(rng.Int64N(int64(maxLongFault)))
}

// injectFaults injects overlapping faults until ctx is done, waits for them, and ends those that remain.
func (d *deployment) injectFaults(ctx context.Context, seed uint64, log func(format string, about ...any)) {
	var wg sync.WaitGroup
	for index, list := range faultLists[:faultListCount(seed)] {
		wg.Go(func() { d.injectFaultsOf(ctx, list.faults, list.interval, seed, seed+uint64(index), log) })
	}
	wg.Wait()
	d.endFaults()
}

// injectFaultsOf injects faults of a list, at random intervals, until ctx is done, and waits for the last of
// them.
func (d *deployment) injectFaultsOf(ctx context.Context, faults []fault, interval time.Duration, seed, stream uint64, log func(format string, about ...any)) {
	rng := rand.New(rand.NewPCG(seed, stream))
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		selected := faults[rng.IntN(len(faults))]
		faultRNG := rand.New(rand.NewPCG(rng.Uint64(), seed))
		pause := time.Duration(rng.Int64N(int64(2 * interval)))
		log("%.3f %s", time.Since(d.ledger.startedAt).Seconds(), selected.name)
		wg.Go(func() { selected.inject(ctx, d, faultRNG) })
		sleep(ctx, pause)
	}
	wg.Wait()
}
