// Package relay passes TCP connections on and makes them misbehave on the way, for tests of
// what a process does when its network does.
//
// # Usage
//
//	between, err := relay.New(ctx, server.Address())
//	client := dial(between.Address())
//	between.Silence(true, true) // open connections carry nothing, new ones work
package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Relay passes connections on to a server. Those that are open can be silenced: they stay
// open and carry nothing, while new ones work.
type Relay struct {
	listener net.Listener
	server   string
	mu       sync.Mutex
	open     []*relayed
	accepted atomic.Int32
}

// relayed is one connection, which may be silent in each direction.
type relayed struct {
	toServer, toClient atomic.Bool
}

// New returns a relay to a server, on an address of loopback of its own. Connections are passed
// on until ctx ends.
func New(ctx context.Context, server string) (*Relay, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for connections to relay")
	}
	between := &Relay{listener: listener, server: server}
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
			_ = client.Close()
			return
		}
		between.accepted.Add(1)
		made := &relayed{}
		between.mu.Lock()
		between.open = append(between.open, made)
		between.mu.Unlock()
		go pass(client, server, &made.toServer)
		go pass(server, client, &made.toClient)
	}
}

// pass copies until the sender ends; what comes while silent is swallowed.
func pass(from io.ReadCloser, to io.WriteCloser, silent *atomic.Bool) {
	defer to.Close() //nolint:errcheck // the connection has ended.
	buffer := make([]byte, 4096)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		if silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// Silence makes the open connections carry nothing any more, in one direction or both.
func (between *Relay) Silence(toServer, toClient bool) {
	between.mu.Lock()
	defer between.mu.Unlock()
	for _, made := range between.open {
		made.toServer.Store(toServer)
		made.toClient.Store(toClient)
	}
}
