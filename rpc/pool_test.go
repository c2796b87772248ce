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

// pendingServer answers Pending calls.
type pendingServer struct {
	wire.DRPCPeerUnimplementedServer
	unanswered chan struct{} // receives a value for each call that is left unanswered
}

// unansweredQueue is the queue for which the server leaves calls unanswered.
const unansweredQueue = "unanswered"

func (server *pendingServer) Pending(ctx context.Context, request *wire.PendingRequest) (*wire.PendingReply, error) {
	if request.GetQueue() == unansweredQueue {
		server.unanswered <- struct{}{}
		<-ctx.Done()
	}
	return &wire.PendingReply{Pending: 7}, nil
}

// serveThroughRelay serves a pendingServer behind a relay until ctx is done.
func serveThroughRelay(ctx context.Context, t *testing.T) (*relay.Relay, *pendingServer) {
	t.Helper()
	service := &pendingServer{unanswered: make(chan struct{}, 1)}
	server, err := rpc.Listen(ctx, "127.0.0.1:0", nil, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterPeer(mux, service) })
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ctx) }()
	proxy, err := relay.New(ctx, server.Address())
	if err != nil {
		t.Fatal(err)
	}
	return proxy, service
}

// callTimeout is the deadline of a call on an unresponsive connection. It adds to the
// duration of each subtest, but does not affect its result.
const callTimeout = 200 * time.Millisecond

// TestUnresponsiveConnectionsAreDropped checks that one call without an answer is enough
// to close all idle connections that have become unresponsive at the same time, so that
// the calls after it succeed on a single new connection.
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
			proxy, _ := serveThroughRelay(ctx, t)
			defer proxy.Close() //nolint:errcheck // the test has ended.
			pool := rpc.NewPool(nil)
			defer pool.Close() //nolint:errcheck // no call is in flight.
			address := proxy.Address()
			addIdleConns(t, pool, address, 4)
			proxy.DiscardTraffic(test.toServer, test.toClient)
			client := wire.NewDRPCPeerClient(pool.Conn(address))
			timedCtx, release := context.WithTimeout(ctx, callTimeout)
			if _, err := client.Pending(timedCtx, &wire.PendingRequest{}); err == nil {
				t.Error("unresponsive connection answered")
			}
			release()
			before := proxy.Accepted()
			for range 3 {
				reply, err := client.Pending(ctx, &wire.PendingRequest{})
				if err != nil || reply.GetPending() != 7 {
					t.Fatalf("call on a new connection: got %v, error %v", reply, err)
				}
			}
			if dialed := proxy.Accepted() - before; dialed != 1 {
				t.Errorf("%d new connections for three consecutive calls, want 1", dialed)
			}
		})
	}
}

// TestCancelledCallKeepsConnections checks that a call cancelled by its caller closes no
// connection: unlike an exceeded deadline it says nothing about the peer.
func TestCancelledCallKeepsConnections(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	proxy, service := serveThroughRelay(ctx, t)
	defer proxy.Close() //nolint:errcheck // the test has ended.
	pool := rpc.NewPool(nil)
	defer pool.Close() //nolint:errcheck // no call is in flight.
	addIdleConns(t, pool, proxy.Address(), 3)
	client := wire.NewDRPCPeerClient(pool.Conn(proxy.Address()))
	callCtx, cancelCall := context.WithCancel(ctx)
	go func() {
		<-service.unanswered
		cancelCall()
	}()
	if _, err := client.Pending(callCtx, &wire.PendingRequest{Queue: unansweredQueue}); err == nil {
		t.Error("cancelled call returned no error")
	}
	if _, err := client.Pending(ctx, &wire.PendingRequest{}); err != nil {
		t.Error(err)
	}
	if accepted := proxy.Accepted(); accepted != 3 {
		t.Errorf("%d connections accepted, want only the 3 idle ones", accepted)
	}
}

// addIdleConns opens count connections to the address and leaves them idle in the pool.
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
