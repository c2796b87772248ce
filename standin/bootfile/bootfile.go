// Package bootfile writes the settings file that the platform gives to a process at its start, for tests that
// run the programs.
//
// # Usage
//
//	file := bootfile.File{NodeName: "side-1", IP: "127.70.2.1", WorkerAddress: worker.Address(), StoreAddress: store.Address()}
//	err := file.Write(path)
package bootfile

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Ports on which the programs listen. Each program has its own IP address.
const (
	clientPort    = "8161"
	readinessPort = "8167"
	heartbeatPort = "8166"
	agentPort     = "7721" // agents use the second port of internal_ports
)

// File holds the settings that differ between processes.
type File struct {
	// NodeName is the name of the node, and IP is the address on which the process listens.
	NodeName, IP string
	// WorkerAddress is the address of the worker on the node of an agent. It is empty for a gateway.
	WorkerAddress string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// MaxLease is the longest lease that workers accept.
	MaxLease time.Duration
}

// settingsFormat is the settings file as a format string.
const settingsFormat = `
node_name = "%s"
ip = "%s"
zone = "milano-a"
internal_ports = [7720, 7735]
app = "%s"
[listen_addrs]
frontend = "%s"
readiness = "%s"
control = "%s"
[bounds]
max_hold_ms = %d
grace_s = 6
status_s = 120
harm_ms = 4000
[platform]
address = "%s"
parts = 8
ttl_min_ms = 1000
`

// Write writes the settings file to path, readable by its owner only.
func (file File) Write(path string) error {
	content := fmt.Sprintf(settingsFormat, file.NodeName, file.IP, file.WorkerAddress, ClientAddress(file.IP),
		net.JoinHostPort(file.IP, readinessPort), HeartbeatAddress(file.IP),
		file.MaxLease.Milliseconds(), file.StoreAddress)
	return errors.Wrap(os.WriteFile(path, []byte(content), 0o600), "write the settings file")
}

// ClientAddress returns the address on which the gateway on an IP address serves clients.
func ClientAddress(ip string) string { return net.JoinHostPort(ip, clientPort) }

// HeartbeatAddress returns the address to which workers send heartbeats for the agent on an IP address.
func HeartbeatAddress(ip string) string { return net.JoinHostPort(ip, heartbeatPort) }

// AgentAddress returns the address on which the agent on an IP address serves owners.
func AgentAddress(ip string) string { return net.JoinHostPort(ip, agentPort) }
