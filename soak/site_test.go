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
	"ambertiller.example/ambertiller/standin/wirestore"
)

const (
	gatewayCount    = 3
	shardCount      = 8
	publishedConfig = `{"version":7,"routes":[{"name":"r-1","host":"q.example","path_prefix":"/q/","service":"verbale","attempts":3,"extension":1.5}]}`
	maxTaskAttempts = 3
)

// deployment is a deployment of real processes over stand-ins for the platform.
type deployment struct {
	dir, binary  string
	store        *wirestore.Store
	storeAddress string
	ledger       *ledger
	gateways     []*process
	agents       []*process
	workerHosts  []*workerHost
	// agentRelays are what gateways reach the agents by, in the order of the agents.
	agentRelays []*relay.Relay
	// relayed holds the address of the relay to each agent's own.
	relayAddressesMu sync.Mutex
	relayAddresses   map[string]string
}

// newDeployment starts a deployment on addresses of loopback that begin with network.
func newDeployment(ctx context.Context, t *testing.T, dir, binary, network string, agents int, dated func(number int) bool) *deployment {
	t.Helper()
	made := &deployment{dir: dir, binary: binary, store: wirestore.New(shardCount, time.Now), ledger: newLedger(), relayAddresses: map[string]string{}}
	made.store.Put(platform.OperatorTopic, 0, platform.ConfigurationKey, []byte(publishedConfig))
	made.store.RewriteAppends(job.TopicAgents, made.rewriteAgentAddress)
	server := httptest.NewServer(made.store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	made.storeAddress = strings.TrimPrefix(server.URL, "http://")
	for number := range gatewayCount {
		made.gateways = append(made.gateways, newProcess(ctx, t, made, "gateway", fmt.Sprintf("edge-%d", number), fmt.Sprintf("%s.1.%d", network, number+1), ""))
	}
	for number := range agents {
		made.addAgent(ctx, t, number, fmt.Sprintf("%s.2.%d", network, number+1), dated(number))
	}
	for _, begun := range slices.Concat(made.agents, made.gateways) {
		if err := begun.start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(begun.close)
	}
	return made
}

func (made *deployment) addAgent(ctx context.Context, t *testing.T, number int, ip string, dated bool) {
	t.Helper()
	beside := newWorkerHost(fmt.Sprintf("i-%d", number), dated, made.ledger)
	t.Cleanup(func() {
		beside.server.CloseClientConnections()
		beside.server.Close()
	})
	begun := newProcess(ctx, t, made, "agent", fmt.Sprintf("side-%d", number), ip, beside.address())
	path, err := relay.New(ctx, bootfile.AgentAddress(ip))
	if err != nil {
		t.Fatal(err)
	}
	made.addRelayAddress(bootfile.AgentAddress(ip), path.Address())
	made.agents = append(made.agents, begun)
	made.workerHosts = append(made.workerHosts, beside)
	made.agentRelays = append(made.agentRelays, path)
	go beside.run(ctx, bootfile.HeartbeatAddress(ip))
}

func (made *deployment) addRelayAddress(agent, relay string) {
	made.relayAddressesMu.Lock()
	defer made.relayAddressesMu.Unlock()
	made.relayAddresses[agent] = relay
}

// rewriteAgentAddress has owners reach an agent by its relay.
func (made *deployment) rewriteAgentAddress(value []byte) []byte {
	registered := &job.AgentRecord{}
	if err := proto.Unmarshal(value, registered); err != nil {
		return value
	}
	made.relayAddressesMu.Lock()
	defer made.relayAddressesMu.Unlock()
	if path, found := made.relayAddresses[registered.GetAddress()]; found {
		registered.Address = path
	}
	changed, err := proto.Marshal(registered)
	if err != nil {
		return value
	}
	return changed
}

// fromGateway tells the connections of one gateway.
func fromGateway(gateway *process) func(greeting []byte) bool {
	return func(greeting []byte) bool { return bytes.Contains(greeting, []byte(gateway.name+"|")) }
}

func fromAny([]byte) bool { return true }

// endFaults ends everything that goes on from outside.
func (made *deployment) endFaults() {
	made.store.InjectFaults(nil)
	for _, path := range made.agentRelays {
		path.Resume()
	}
	for _, begun := range slices.Concat(made.agents, made.gateways) {
		begun.storeRelay.Resume()
	}
	for _, machine := range made.workerHosts {
		if worker := machine.currentWorker(); worker != nil {
			worker.InjectFaults(nil)
			worker.ExecuteDelayedStarts()
		}
	}
}

// buildBinary builds the program.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "ambertiller")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/ambertiller").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// reserveNetwork returns the first two numbers of addresses of loopback that no other soak uses. It
// holds an address there until the test has ended: two soaks on one network would reach each other's
// processes.
func reserveNetwork(t *testing.T) string {
	t.Helper()
	for number := range 60 {
		network := fmt.Sprintf("127.%d", 120+(os.Getpid()+number)%60)
		listener, err := net.Listen("tcp", bootfile.ClientAddress(network+".0.1"))
		if err == nil {
			t.Cleanup(func() { _ = listener.Close() })
			return network
		}
	}
	t.Fatal("no network of loopback is free")
	return ""
}
