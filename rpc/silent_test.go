package rpc_test

import (
	"context"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/standin/relay"
	"ambertiller.example/ambertiller/wire"
)

// pendingServer answers questions for waiting jobs.
type pendingServer struct {
	wire.DRPCPeerUnimplementedServer
	unanswered chan struct{} // gets one for each question that is not answered
}

// unansweredQueue is the queue for which the server leaves questions unanswered.
const unansweredQueue = "unanswered"

func (server *pendingServer) Pending(ctx context.Context, request *wire.PendingRequest) (*wire.PendingReply, error) {
	if request.GetQueue() == unansweredQueue {
		server.unanswered <- struct{}{}
		<-ctx.Done()
	}
	return &wire.PendingReply{Pending: 7}, nil
}

// serveThroughRelay serves a pendingServer until ctx ends, behind a relay.
func serveThroughRelay(ctx context.Context, t *testing.T) (*relay.Relay, *pendingServer) {
	t.Helper()
	answering := &pendingServer{unanswered: make(chan struct{}, 1)}
	server, err := rpc.Listen(ctx, "127.0.0.1:0", nil, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterPeer(mux, answering) })
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ctx) }()
	between, err := relay.New(ctx, server.Address())
	if err != nil {
		t.Fatal(err)
	}
	return between, answering
}

// callTimeout is what a call waits in vain here: the test is longer by it for each
// connection that has gone silent, and its verdict does not depend on it.
const callTimeout = 200 * time.Millisecond

// TestUnresponsiveConnectionsAreDropped: after one call without an answer the next ones are made on
// new connections, however many idle ones had gone silent.
func TestUnresponsiveConnectionsAreDropped(t *testing.T) {
	tests := map[string]struct{ toServer, toClient bool }{
		"towards the server": {true, false},
		"towards the client": {false, true},
		"both ways":          {true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			between, _ := serveThroughRelay(ctx, t)
			defer between.Close() //nolint:errcheck // the test is over.
			pool := rpc.NewPool(nil)
			defer pool.Close() //nolint:errcheck // nothing is on its way.
			address := between.Address()
			addIdleConns(t, pool, address, 4)
			between.DiscardTraffic(test.toServer, test.toClient)
			client := wire.NewDRPCPeerClient(pool.Conn(address))
			silent, done := context.WithTimeout(ctx, callTimeout)
			if _, err := client.Pending(silent, &wire.PendingRequest{}); err == nil {
				t.Error("a silent connection answered")
			}
			done()
			before := between.Accepted()
			for range 3 {
				reply, err := client.Pending(ctx, &wire.PendingRequest{})
				if err != nil || reply.GetPending() != 7 {
					t.Fatalf("got %v, %v", reply, err)
				}
			}
			if made := between.Accepted() - before; made != 1 {
				t.Errorf("%d new connections for three calls one after another", made)
			}
		})
	}
}

// TestCancelledCallKeepsConnections: a caller that leaves says nothing about the
// connections.
func TestCancelledCallKeepsConnections(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	between, answering := serveThroughRelay(ctx, t)
	defer between.Close() //nolint:errcheck // the test is over.
	pool := rpc.NewPool(nil)
	defer pool.Close() //nolint:errcheck // nothing is on its way.
	addIdleConns(t, pool, between.Address(), 3)
	client := wire.NewDRPCPeerClient(pool.Conn(between.Address()))
	left, leave := context.WithCancel(ctx)
	go func() {
		<-answering.unanswered
		leave()
	}()
	if _, err := client.Pending(left, &wire.PendingRequest{Queue: unansweredQueue}); err == nil {
		t.Error("a question that nobody answered was answered")
	}
	if _, err := client.Pending(ctx, &wire.PendingRequest{}); err != nil {
		t.Error(err)
	}
	if accepted := between.Accepted(); accepted != 3 {
		t.Errorf("%d connections, want the 3 from before", accepted)
	}
}

// addIdleConns leaves some idle connections in the pool.
func addIdleConns(t *testing.T, pool *rpc.Pool, address string, count int) {
	t.Helper()
	var borrowed []*rpc.BorrowedConn
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
