package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"ambertiller.example/ambertiller/standin/wirestore"
)

const (
	// ownershipFaultInterval is the mean time between two of ownershipFaults.
	ownershipFaultInterval = 10 * time.Second
	// takeoverTime is how long after a gateway is cut off from the store its shards have other owners: the membership
	// of an owner ends 1.5 s after its last join.
	takeoverTime = 2 * time.Second
	// agentKills is how often some agents are killed while a gateway is cut off.
	agentKills = 5
	// minFirstTime and maxFirstTime bound how long only that gateway reaches agents that were killed. Within two seconds
	// an agent has restarted, its owners have connected, and its worker has sent a heartbeat.
	minFirstTime = 1500 * time.Millisecond
	maxFirstTime = 3 * time.Second
	// leaveNotice is how long before it leaves a worker announces that.
	leaveNotice = 2 * time.Second
	// machineAwayTime is how long a machine that was taken away stays away: longer than runs on it may go on.
	machineAwayTime = 15 * time.Second
	// groupsFirstTime is how long after an outage the store serves only the groups of owners, who join twice a second.
	groupsFirstTime = 1500 * time.Millisecond
	// joinCall is the path of the store's call to join a group.
	joinCall = "/v1/log-join"
)

// ownershipFaults have shards change hands while only their former owners, or agents that are gone, know what has become
// of their runs.
var ownershipFaults = []fault{
	{"agents killed and first reached by a gateway that is cut off from the store", func(ctx context.Context, d *deployment, rng *rand.Rand) {
		gateway := d.gateways[rng.IntN(gatewayCount)]
		defer d.disturbed.begin(gateway.name)()
		gateway.storeRelay.Pause(fromAny, true, true)
		defer gateway.storeRelay.Resume()
		sleep(ctx, takeoverTime)
		for range agentKills {
			for index, agent := range d.agents {
				if rng.IntN(2) == 0 {
					agent.signal(syscall.SIGKILL)
					d.agentRelays[index].Pause(func(greeting []byte) bool { return !fromGateway(gateway)(greeting) }, true, true)
				}
			}
			sleep(ctx, minFirstTime+time.Duration(rng.Int64N(int64(maxFirstTime-minFirstTime))))
			for _, agentRelay := range d.agentRelays {
				agentRelay.Resume()
			}
		}
	}},
	{"machine taken away while the store is unavailable", func(ctx context.Context, d *deployment, rng *rand.Rand) {
		d.takeMachineAway(ctx, rng.IntN(len(d.agents)), time.Duration(rng.Int64N(int64(leaveNotice))))
	}},
}

// takeMachineAway takes a worker away with its machine, announced by leaveNotice. The store becomes unavailable some time
// after the announcement. It serves the groups of owners first again, so that shards change hands before their former
// owners can write to them.
func (d *deployment) takeMachineAway(ctx context.Context, index int, outageDelay time.Duration) {
	go d.workerHosts[index].leave(ctx, leaveNotice, machineAwayTime)
	sleep(ctx, outageDelay)
	defer d.disturbed.begin(storeName)()
	defer d.store.InjectFaults(nil)
	d.store.InjectFaults(func(string) wirestore.Fault { return wirestore.FaultNoResponse })
	sleep(ctx, 2*leaveNotice-outageDelay)
	d.agents[index].takeAway(machineAwayTime - leaveNotice)
	sleep(ctx, leaveNotice/2)
	d.store.InjectFaults(func(call string) wirestore.Fault {
		if call == joinCall {
			return wirestore.FaultNone
		}
		return wirestore.FaultUnavailable
	})
	sleep(ctx, groupsFirstTime)
}
