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

	mu   sync.Mutex
	open map[*relayed]bool
	held *hold // nil while nothing is held up
}

// hold is what holds connections up until it is let go.
type hold struct {
	whose              func(greeting []byte) bool
	toServer, toClient bool
	gone               chan struct{}
}

// relayed is one connection.
type relayed struct {
	client, server net.Conn
	// silentToServer and silentToClient swallow what comes in a direction.
	silentToServer, silentToClient atomic.Bool
	// greeting is what the client sent first, up to greetingMost; it tells clients apart.
	greeting atomic.Pointer[[]byte]
}

// New returns a relay to a server, on an address of loopback of its own. Connections are passed
// on until ctx ends.
func New(ctx context.Context, server string) (*Relay, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for connections to relay")
	}
	between := &Relay{listener: listener, server: server, open: map[*relayed]bool{}}
	go between.accept(ctx)
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

func (between *Relay) accept(ctx context.Context) {
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
		made := &relayed{client: client, server: server}
		between.mu.Lock()
		between.open[made] = true
		between.mu.Unlock()
		go between.pass(made, made.client, made.server, true)
		go between.pass(made, made.server, made.client, false)
	}
}

// pass copies one direction of a connection until its sender ends.
func (between *Relay) pass(made *relayed, from, to net.Conn, toServer bool) {
	defer between.end(made)
	silent := &made.silentToClient
	if toServer {
		silent = &made.silentToServer
	}
	buffer := make([]byte, 4096)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		if toServer {
			made.noteGreeting(buffer[:count])
		}
		between.await(made, toServer)
		if silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// greetingMost bounds the bytes that tell clients apart.
const greetingMost = 512

// noteGreeting keeps what a client sends first. Only one goroutine calls it.
func (made *relayed) noteGreeting(sent []byte) {
	var greeting []byte
	if before := made.greeting.Load(); before != nil {
		greeting = *before
	}
	if len(greeting) >= greetingMost {
		return
	}
	greeting = append(bytes.Clone(greeting), sent...)
	made.greeting.Store(&greeting)
}

// await waits while the connection is held up in a direction.
func (between *Relay) await(made *relayed, toServer bool) {
	for {
		between.mu.Lock()
		held := between.held
		between.mu.Unlock()
		if held == nil || !held.holds(made, toServer) {
			return
		}
		<-held.gone
	}
}

func (held *hold) holds(made *relayed, toServer bool) bool {
	if toServer && !held.toServer || !toServer && !held.toClient {
		return false
	}
	greeting := made.greeting.Load()
	return greeting != nil && held.whose(*greeting)
}

// end closes both sides of a connection.
func (between *Relay) end(made *relayed) {
	// Either side may have closed it already.
	_ = made.client.Close()
	_ = made.server.Close()
	between.mu.Lock()
	defer between.mu.Unlock()
	delete(between.open, made)
}

// Silence makes the open connections carry nothing any more, in one direction or both. It stays so:
// a connection that has lost bytes never carries others.
func (between *Relay) Silence(toServer, toClient bool) {
	between.mu.Lock()
	defer between.mu.Unlock()
	for made := range between.open {
		made.silentToServer.Store(made.silentToServer.Load() || toServer)
		made.silentToClient.Store(made.silentToClient.Load() || toClient)
	}
}

// Hold holds up what connections carry, in one direction or both, until LetGo: those whose
// client's first bytes whose accepts, new ones too.
func (between *Relay) Hold(whose func(greeting []byte) bool, toServer, toClient bool) {
	between.LetGo()
	between.mu.Lock()
	defer between.mu.Unlock()
	between.held = &hold{whose: whose, toServer: toServer, toClient: toClient, gone: make(chan struct{})}
}

// LetGo has everything that was held up go on.
func (between *Relay) LetGo() {
	between.mu.Lock()
	defer between.mu.Unlock()
	if between.held != nil {
		close(between.held.gone)
		between.held = nil
	}
}

// Reset breaks the open connections off.
func (between *Relay) Reset() {
	between.mu.Lock()
	defer between.mu.Unlock()
	for made := range between.open {
		for _, side := range []net.Conn{made.client, made.server} {
			if tcp, isTCP := side.(*net.TCPConn); isTCP {
				// Without lingering a close is a reset.
				_ = tcp.SetLinger(0)
			}
			_ = side.Close()
		}
	}
}
