// Package relay passes TCP connections on and makes them misbehave on the way, for tests of
// what a process does when its network does.
//
// # Usage
//
//	between, err := relay.New(ctx, server.Address())
//	client := dial(between.Address())
//	between.Silence(true, true) // open connections carry nothing, new ones work
//	between.Hold(isOwner, true, true) // connections carry nothing until they are let go on
//	between.LetGo()
package relay

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Relay passes connections on to a server.
//
// Those that are open can be silenced: they stay open and carry nothing, while new ones work.
// Or what they carry is held up, as by a network that is cut and sends again what was lost: it
// arrives once they are let go on, new connections included.
type Relay struct {
	listener net.Listener
	server   string
	accepted atomic.Int32

	mu          sync.Mutex
	connections map[*connection]bool
	pause       *pause // nil while nothing is held up
}

// pause is what holds connections up until it is let go.
type pause struct {
	matches            func(greeting []byte) bool
	toServer, toClient bool
	resumed            chan struct{}
}

// connection is one connection.
type connection struct {
	client, server net.Conn
	// discardToServer and silentToClient swallow what comes in a direction.
	discardToServer, discardToClient atomic.Bool
	// greeting is what the client sent first, up to maxGreetingBytes; it tells clients apart.
	greeting atomic.Pointer[[]byte]
}

// New returns a relay to a server, on an address of loopback of its own. Connections are passed
// on until ctx ends.
func New(ctx context.Context, server string) (*Relay, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for connections to relay")
	}
	between := &Relay{listener: listener, server: server, connections: map[*connection]bool{}}
	go between.acceptConnections(ctx)
	return between, nil
}

// Address returns where the relay listens.
func (between *Relay) Address() string { return between.listener.Addr().String() }

// Accepted counts the connections so far.
func (between *Relay) Accepted() int { return int(between.accepted.Load()) }

// Close ends the listener; connections that are open stay.
func (between *Relay) Close() error {
	return errors.Wrap(between.listener.Close(), "close the relay")
}

func (between *Relay) acceptConnections(ctx context.Context) {
	for {
		client, err := between.listener.Accept()
		if err != nil {
			return
		}
		server, err := (&net.Dialer{}).DialContext(ctx, "tcp", between.server)
		if err != nil {
			// The server is away: its clients are told so, and find it again later.
			_ = client.Close()
			continue
		}
		between.accepted.Add(1)
		made := &connection{client: client, server: server}
		between.mu.Lock()
		between.connections[made] = true
		between.mu.Unlock()
		go between.forward(made, made.client, made.server, true)
		go between.forward(made, made.server, made.client, false)
	}
}

// forward copies one direction of a connection until its sender ends.
func (between *Relay) forward(made *connection, from, to net.Conn, toServer bool) {
	defer between.closeConnection(made)
	silent := &made.discardToClient
	if toServer {
		silent = &made.discardToServer
	}
	buffer := make([]byte, 4096)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		if toServer {
			made.recordGreeting(buffer[:count])
		}
		between.waitWhilePaused(made, toServer)
		if silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// maxGreetingBytes bounds the bytes that tell clients apart.
const maxGreetingBytes = 512

// recordGreeting keeps what a client sends first. Only one goroutine calls it.
func (made *connection) recordGreeting(sent []byte) {
	var greeting []byte
	if before := made.greeting.Load(); before != nil {
		greeting = *before
	}
	if len(greeting) >= maxGreetingBytes {
		return
	}
	greeting = append(bytes.Clone(greeting), sent...)
	made.greeting.Store(&greeting)
}

// waitWhilePaused waits while the connection is held up in a direction.
func (between *Relay) waitWhilePaused(made *connection, toServer bool) {
	for {
		between.mu.Lock()
		held := between.pause
		between.mu.Unlock()
		if held == nil || !held.appliesTo(made, toServer) {
			return
		}
		<-held.resumed
	}
}

func (held *pause) appliesTo(made *connection, toServer bool) bool {
	if toServer && !held.toServer || !toServer && !held.toClient {
		return false
	}
	greeting := made.greeting.Load()
	return greeting != nil && held.matches(*greeting)
}

// closeConnection closes both sides of a connection.
func (between *Relay) closeConnection(made *connection) {
	// Either side may have closed it already.
	_ = made.client.Close()
	_ = made.server.Close()
	between.mu.Lock()
	defer between.mu.Unlock()
	delete(between.connections, made)
}

// DiscardTraffic makes the open connections carry nothing any more, in one direction or both. It stays so:
// a connection that has lost bytes never carries others.
func (between *Relay) DiscardTraffic(toServer, toClient bool) {
	between.mu.Lock()
	defer between.mu.Unlock()
	for made := range between.connections {
		made.discardToServer.Store(made.discardToServer.Load() || toServer)
		made.discardToClient.Store(made.discardToClient.Load() || toClient)
	}
}

// Pause holds up what connections carry, in one direction or both, until LetGo: those whose
// client's first bytes whose accepts, new ones too.
func (between *Relay) Pause(whose func(greeting []byte) bool, toServer, toClient bool) {
	between.Resume()
	between.mu.Lock()
	defer between.mu.Unlock()
	between.pause = &pause{matches: whose, toServer: toServer, toClient: toClient, resumed: make(chan struct{})}
}

// Resume has everything that was held up go on.
func (between *Relay) Resume() {
	between.mu.Lock()
	defer between.mu.Unlock()
	if between.pause != nil {
		close(between.pause.resumed)
		between.pause = nil
	}
}

// Reset breaks the open connections off.
func (between *Relay) Reset() {
	between.mu.Lock()
	defer between.mu.Unlock()
	for made := range between.connections {
		for _, side := range []net.Conn{made.client, made.server} {
			if tcp, isTCP := side.(*net.TCPConn); isTCP {
				// Without lingering a close is a reset.
				_ = tcp.SetLinger(0)
			}
			_ = side.Close()
		}
	}
}
