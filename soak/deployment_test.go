package soak

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/standin/bootfile"
	"ambertiller.example/ambertiller/standin/relay"
	"ambertiller.example/ambertiller/standin/slowlink"
	"ambertiller.example/ambertiller/standin/wirestore"
)

const (
	gatewayCount    = 3
	shardCount      = 8
	publishedConfig = `{"version":7,"routes":[{"name":"r-1","host":"q.example","path_prefix":"/q/","service":"verbale","attempts":3,"extension":1.5}]}`
	maxTaskAttempts = 3 // as in the routes of wirestore.Configuration
)

// deployment runs real gateway and agent processes over stand-ins for the platform and its workers.
type deployment struct {
	dir, binary  string
	store        *wirestore.Store
	storeAddress string
	ledger       *ledger
	gateways     []*process
	agents       []*process
	workerHosts  []*workerHost
	// agentRelays are the relays through which gateways connect to the agents, in the order of agents.
	agentRelays []*relay.Relay
	// relayAddresses maps the address of each agent to that of its relay.
	relayAddressesMu sync.Mutex
	relayAddresses   map[string]string

	disturbed    *disturbances
	publications *publications
	publishMu    sync.Mutex
	version      int // of the last configuration published
}

// newDeployment starts the deployment of a seed on loopback addresses that begin with network.
func newDeployment(ctx context.Context, t *testing.T, dir, binary, network string, agentCount int, seed uint64) *deployment {
	t.Helper()
	d := &deployment{
		dir: dir, binary: binary, store: wirestore.New(shardCount, time.Now), ledger: newLedger(), relayAddresses: map[string]string{},
		disturbed: newDisturbances(), publications: newPublications(), version: firstVersion,
	}
	d.store.Put(platform.OperatorTopic, 0, platform.ConfigurationKey, []byte(publishedConfig))
	d.store.RewriteAppends(job.TopicAgents, d.rewriteAgentAddress)
	server := httptest.NewServer(d.store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	d.storeAddress = strings.TrimPrefix(server.URL, "http://")
	for index := range gatewayCount {
		d.gateways = append(d.gateways, newProcess(ctx, t, d, "gateway", fmt.Sprintf("edge-%d", index), fmt.Sprintf("%s.1.%d", network, index+1), ""))
	}
	if hasConfigurationFaults(seed) {
		d.gateways[0].storeRelay.LimitToClient(slowlink.New(weakLinkBytesPerSecond))
	}
	if hasLimitedStore(seed) {
		storeLink := slowlink.New(storeBytesPerSecond)
		for _, gateway := range d.gateways[1:] {
			gateway.storeRelay.LimitToClient(storeLink)
		}
	}
	reportsStartTime := startTimeReporters(seed)
	for index := range agentCount {
		d.addAgent(ctx, t, index, fmt.Sprintf("%s.2.%d", network, index+1), reportsStartTime(index))
	}
	for _, p := range slices.Concat(d.agents, d.gateways) {
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.close)
	}
	return d
}

// addAgent prepares an agent with its relay, and starts the host of the agent's worker.
func (d *deployment) addAgent(ctx context.Context, t *testing.T, index int, ip string, reportsStartTime bool) {
	t.Helper()
	host := newWorkerHost(fmt.Sprintf("i-%d", index), bootfile.HeartbeatAddress(ip), reportsStartTime, d.ledger)
	t.Cleanup(func() {
		host.server.CloseClientConnections()
		host.server.Close()
	})
	agent := newProcess(ctx, t, d, "agent", fmt.Sprintf("side-%d", index), ip, host.address())
	agentRelay, err := relay.New(ctx, bootfile.AgentAddress(ip))
	if err != nil {
		t.Fatal(err)
	}
	d.addRelayAddress(bootfile.AgentAddress(ip), agentRelay.Address())
	d.agents = append(d.agents, agent)
	d.workerHosts = append(d.workerHosts, host)
	d.agentRelays = append(d.agentRelays, agentRelay)
	go host.run(ctx)
}

func (d *deployment) addRelayAddress(agentAddress, relayAddress string) {
	d.relayAddressesMu.Lock()
	defer d.relayAddressesMu.Unlock()
	d.relayAddresses[agentAddress] = relayAddress
}

// rewriteAgentAddress replaces the address in an agent's record by that of its relay, so that owners connect
// through the relay.
func (d *deployment) rewriteAgentAddress(value []byte) []byte {
	record := &job.AgentRecord{}
	if err := proto.Unmarshal(value, record); err != nil {
		return value
	}
	d.relayAddressesMu.Lock()
	defer d.relayAddressesMu.Unlock()
	if relayAddress, found := d.relayAddresses[record.GetAddress()]; found {
		record.Address = relayAddress
	}
	rewritten, err := proto.Marshal(record)
	if err != nil {
		return value
	}
	return rewritten
}

// fromGateway returns a function that reports whether a connection comes from the gateway, by its greeting.
func fromGateway(gateway *process) func(greeting []byte) bool {
	return func(greeting []byte) bool { return bytes.Contains(greeting, []byte(gateway.name+"|")) }
}

func fromAny([]byte) bool { return true }

// endFaults ends the faults of the store and the workers, has the workers carry out their delayed starts, and
// resumes all relays.
func (d *deployment) endFaults() {
	d.store.InjectFaults(nil)
	d.store.SetLatency(0)
	for _, agentRelay := range d.agentRelays {
		agentRelay.Resume()
	}
	for _, p := range slices.Concat(d.agents, d.gateways) {
		p.storeRelay.Resume()
	}
	for _, host := range d.workerHosts {
		if worker := host.currentWorker(); worker != nil {
			worker.InjectFaults(nil)
			worker.ExecuteDelayedStarts()
		}
	}
}

// buildBinary builds the program and returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "ambertiller")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/ambertiller").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// reserveNetwork returns the first two octets of loopback addresses that no other soak uses. To reserve them,
// it listens on one of these addresses until the test ends: two soaks on the same network would connect to
// each other's processes.
func reserveNetwork(t *testing.T) string {
	t.Helper()
	for offset := range 60 {
		network := fmt.Sprintf("127.%d", 120+(os.Getpid()+offset)%60)
		listener, err := net.Listen("tcp", bootfile.ClientAddress(network+".0.1"))
		if err == nil {
			t.Cleanup(func() { _ = listener.Close() })
			return network
		}
	}
	t.Fatal("no loopback network is free")
	return ""
}
