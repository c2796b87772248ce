package rpc_test

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/wire"
)

// relay passes connections on to a server, until those that are open are silenced: they
// stay open and carry nothing, while new ones work.
type relay struct {
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

func newRelay(t *testing.T, server string) *relay {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	between := &relay{listener: listener, server: server}
	t.Cleanup(func() { _ = listener.Close() })
	go between.accept()
	return between
}

func (between *relay) accept() {
	for {
		client, err := between.listener.Accept()
		if err != nil {
			return
		}
		server, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", between.server)
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

// silence makes the open connections carry nothing any more.
func (between *relay) silence(toServer, toClient bool) {
	between.mu.Lock()
	defer between.mu.Unlock()
	for _, made := range between.open {
		made.toServer.Store(toServer)
		made.toClient.Store(toClient)
	}
}

// pendingServer answers questions for waiting jobs.
type pendingServer struct {
	wire.DRPCPeerUnimplementedServer
	calls atomic.Int32
}

func (server *pendingServer) Pending(context.Context, *wire.PendingRequest) (*wire.PendingReply, error) {
	server.calls.Add(1)
	return &wire.PendingReply{Pending: 7}, nil
}

// unansweredFor is what a call waits in vain here: the test is longer by it for each
// connection that has gone silent, and its verdict does not depend on it.
const unansweredFor = 200 * time.Millisecond

// TestSilentConnectionsAreLeft: after one call without an answer the next ones are made on
// new connections, however many idle ones had gone silent.
func TestSilentConnectionsAreLeft(t *testing.T) {
	tests := map[string]struct{ toServer, toClient bool }{
		"towards the server": {true, false},
		"towards the client": {false, true},
		"both ways":          {true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			answering := &pendingServer{}
			server, err := rpc.Listen(ctx, "127.0.0.1:0", nil, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterPeer(mux, answering) })
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = server.Serve(ctx) }()
			between := newRelay(t, server.Address())
			pool := rpc.NewPool(nil)
			defer pool.Close() //nolint:errcheck // nothing is on its way.
			address := between.listener.Addr().String()
			openIdle(t, pool, address, 4)
			between.silence(test.toServer, test.toClient)
			client := wire.NewDRPCPeerClient(pool.Conn(address))
			silent, done := context.WithTimeout(ctx, unansweredFor)
			if _, err := client.Pending(silent, &wire.PendingRequest{}); err == nil {
				t.Error("a silent connection answered")
			}
			done()
			before := between.accepted.Load()
			for range 3 {
				reply, err := client.Pending(ctx, &wire.PendingRequest{})
				if err != nil || reply.GetPending() != 7 {
					t.Fatalf("got %v, %v", reply, err)
				}
			}
			if made := between.accepted.Load() - before; made != 1 {
				t.Errorf("%d new connections for three calls one after another", made)
			}
		})
	}
}

// openIdle leaves some idle connections in the pool.
func openIdle(t *testing.T, pool *rpc.Pool, address string, count int) {
	t.Helper()
	var borrowed []*rpc.Borrowed
	for range count {
		conn, err := pool.Borrow(context.Background(), address)
		if err != nil {
			t.Fatal(err)
		}
		borrowed = append(borrowed, conn)
		if _, err := wire.NewDRPCPeerClient(conn).Pending(context.Background(), &wire.PendingRequest{}); err != nil {
			t.Fatal(err)
		}
	}
	for _, conn := range borrowed {
		conn.Return()
	}
}
