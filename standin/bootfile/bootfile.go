// Package bootfile writes the settings file that the users' platform lays down for a process, for
// tests that run the programs.
//
// # Usage
//
//	file := bootfile.File{Name: "side-1", IP: "127.70.2.1", Worker: worker.Address(), Store: store.Address()}
//	err := file.Write(path)
package bootfile

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Ports at which the programs are reached, on the address of their own.
const (
	clientPort    = "8161"
	readinessPort = "8167"
	heartbeatPort = "8166"
	agentPort     = "7721" // the second of internal_ports
)

// File is what differs from process to process.
type File struct {
	// NodeName is the node's, IP the address that it has for itself.
	NodeName, IP string
	// WorkerAddress is the address of the worker beside an agent, empty for a gateway.
	WorkerAddress string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// MaxLease is the longest lease that workers take.
	MaxLease time.Duration
}

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

// Write writes the file.
func (file File) Write(path string) error {
	filled := fmt.Sprintf(settingsFormat, file.NodeName, file.IP, file.WorkerAddress, ClientAddress(file.IP), net.JoinHostPort(file.IP, readinessPort), HeartbeatAddress(file.IP),
		file.MaxLease.Milliseconds(), file.StoreAddress)
	return errors.Wrap(os.WriteFile(path, []byte(filled), 0o600), "write the settings file")
}

// ClientAddress is where clients reach a gateway.
func ClientAddress(ip string) string { return net.JoinHostPort(ip, clientPort) }

// HeartbeatAddress is where workers reach an agent.
func HeartbeatAddress(ip string) string { return net.JoinHostPort(ip, heartbeatPort) }

// AgentAddress is where owners reach an agent.
func AgentAddress(ip string) string { return net.JoinHostPort(ip, agentPort) }
