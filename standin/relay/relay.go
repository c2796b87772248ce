// Package relay implements a TCP proxy that injects network faults, for tests of how a process handles them.
//
// # Usage
//
//	proxy, err := relay.New(ctx, server.Address())
//	client := dial(proxy.Address())
//	proxy.DiscardTraffic(true, true) // open connections lose all data, new ones work
//	proxy.Pause(isOwner, true, true) // matching connections transfer no data until Resume
//	proxy.Resume()
package relay

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/standin/slowlink"
)

// Relay is a TCP proxy in front of a server.
//
// DiscardTraffic makes the open connections lose all data while they stay open; new connections work. Pause
// delays the data of open and new connections until Resume, like a network partition that ends and after which
// the lost packets are sent again. Reset resets the open connections. LimitToClient limits the rate at which
// clients receive data.
type Relay struct {
	listener net.Listener
	server   string
	accepted atomic.Int32

	mu          sync.Mutex
	connections map[*connection]bool
	pause       *pause // nil unless paused
	link        *slowlink.Link
}

// pause selects the connections and directions that are paused. resumed is closed when the pause ends.
type pause struct {
	matches            func(greeting []byte) bool
	toServer, toClient bool
	resumed            chan struct{}
}

// connection is a client's connection and the connection to the server that it is forwarded to.
type connection struct {
	client, server net.Conn
	// discardToServer and discardToClient discard the data of a direction.
	discardToServer, discardToClient atomic.Bool
	// greeting is the data that the client sent first, by which Pause tells clients apart. It is extended until
	// it has maxGreetingBytes.
	greeting atomic.Pointer[[]byte]
}

// New returns a relay to a server, listening on a free port of the loopback address. When ctx ends, open
// connections stay and new ones are closed without being forwarded. Close ends the listener.
func New(ctx context.Context, server string) (*Relay, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for connections to relay")
	}
	relay := &Relay{listener: listener, server: server, connections: map[*connection]bool{}}
	go relay.acceptConnections(ctx)
	return relay, nil
}

// Address returns the address on which the relay listens.
func (relay *Relay) Address() string { return relay.listener.Addr().String() }

// Accepted returns the number of connections that were forwarded to the server so far.
func (relay *Relay) Accepted() int { return int(relay.accepted.Load()) }

// Close closes the listener. Open connections stay open.
func (relay *Relay) Close() error {
	return errors.Wrap(relay.listener.Close(), "close the listener of the relay")
}

// acceptConnections forwards connections until the listener is closed.
func (relay *Relay) acceptConnections(ctx context.Context) {
	for {
		client, err := relay.listener.Accept()
		if err != nil {
			return
		}
		server, err := (&net.Dialer{}).DialContext(ctx, "tcp", relay.server)
		if err != nil {
			// The server is not reachable. The client sees its connection close and can connect again later.
			_ = client.Close()
			continue
		}
		relay.accepted.Add(1)
		conn := &connection{client: client, server: server}
		relay.mu.Lock()
		relay.connections[conn] = true
		relay.mu.Unlock()
		go relay.forward(ctx, conn, conn.client, conn.server, true)
		go relay.forward(ctx, conn, conn.server, conn.client, false)
	}
}

// forward copies one direction of a connection until its sender closes it or a write fails.
func (relay *Relay) forward(ctx context.Context, conn *connection, from, to net.Conn, toServer bool) {
	defer relay.closeConnection(conn)
	discard := &conn.discardToClient
	if toServer {
		discard = &conn.discardToServer
	}
	buffer := make([]byte, 4096)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		if toServer {
			conn.recordGreeting(buffer[:count])
		}
		relay.waitWhilePaused(conn, toServer)
		if !toServer {
			relay.waitForLink(ctx, count)
		}
		if discard.Load() {
			continue
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// LimitToClient makes data to clients arrive over a link, which all connections share.
func (relay *Relay) LimitToClient(link *slowlink.Link) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	relay.link = link
}

// waitForLink waits until the link to the clients has carried count bytes, if there is one.
func (relay *Relay) waitForLink(ctx context.Context, count int) {
	relay.mu.Lock()
	link := relay.link
	relay.mu.Unlock()
	if link != nil {
		// Once ctx has ended nobody waits for the data.
		_ = link.Wait(ctx, count)
	}
}

// maxGreetingBytes is the length at which a greeting is no longer extended. It may exceed this by one read.
const maxGreetingBytes = 512

// recordGreeting extends the greeting by data from the client. Only the goroutine that forwards to the server
// calls it.
func (conn *connection) recordGreeting(data []byte) {
	var greeting []byte
	if previous := conn.greeting.Load(); previous != nil {
		greeting = *previous
	}
	if len(greeting) >= maxGreetingBytes {
		return
	}
	greeting = append(bytes.Clone(greeting), data...)
	conn.greeting.Store(&greeting)
}

// waitWhilePaused waits while a direction of a connection is paused.
func (relay *Relay) waitWhilePaused(conn *connection, toServer bool) {
	for {
		relay.mu.Lock()
		pause := relay.pause
		relay.mu.Unlock()
		if pause == nil || !pause.appliesTo(conn, toServer) {
			return
		}
		<-pause.resumed
	}
}

// appliesTo reports whether a direction of a connection is paused. A connection on which the client has not
// sent anything is not.
func (pause *pause) appliesTo(conn *connection, toServer bool) bool {
	if toServer && !pause.toServer || !toServer && !pause.toClient {
		return false
	}
	greeting := conn.greeting.Load()
	return greeting != nil && pause.matches(*greeting)
}

// closeConnection closes both sides of a connection.
func (relay *Relay) closeConnection(conn *connection) {
	// Either side may be closed already, which makes Close return an error.
	_ = conn.client.Close()
	_ = conn.server.Close()
	relay.mu.Lock()
	defer relay.mu.Unlock()
	delete(relay.connections, conn)
}

// DiscardTraffic makes the open connections discard all data, in one direction or both. It cannot be undone: a
// connection that has lost bytes must not transfer later ones.
func (relay *Relay) DiscardTraffic(toServer, toClient bool) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	for conn := range relay.connections {
		conn.discardToServer.Store(conn.discardToServer.Load() || toServer)
		conn.discardToClient.Store(conn.discardToClient.Load() || toClient)
	}
}

// Pause stops the transfer of data, in one direction or both, until Resume. It applies to the open and new
// connections for whose greeting the function matches returns true. An earlier pause ends.
func (relay *Relay) Pause(matches func(greeting []byte) bool, toServer, toClient bool) {
	relay.Resume()
	relay.mu.Lock()
	defer relay.mu.Unlock()
	relay.pause = &pause{matches: matches, toServer: toServer, toClient: toClient, resumed: make(chan struct{})}
}

// Resume ends a pause. The delayed data is delivered.
func (relay *Relay) Resume() {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	if relay.pause != nil {
		close(relay.pause.resumed)
		relay.pause = nil
	}
}

// Reset resets the open connections on both sides.
func (relay *Relay) Reset() {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	for conn := range relay.connections {
		for _, side := range []net.Conn{conn.client, conn.server} {
			if tcp, isTCP := side.(*net.TCPConn); isTCP {
				// With a linger time of 0, Close sends a TCP reset.
				_ = tcp.SetLinger(0)
			}
			_ = side.Close()
		}
	}
}
