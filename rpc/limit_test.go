package rpc_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/wire"
)

// TestTooLargeMessageIsNotSent checks that a message above the limit fails at its sender, with its size, and leaves the
// connection usable. Otherwise the receiver closes the connection, and neither side is told why.
func TestTooLargeMessageIsNotSent(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	proxy, _ := serveThroughRelay(ctx, t)
	defer proxy.Close() //nolint:errcheck // the test has ended.
	pool := rpc.NewPool(nil)
	defer pool.Close() //nolint:errcheck // no call is in flight.
	client := wire.NewDRPCPeerClient(pool.Conn(proxy.Address()))
	_, err := client.Pending(ctx, &wire.PendingRequest{Queue: strings.Repeat("q", rpc.MaxMessageBytes)})
	var tooLarge *rpc.MessageTooLargeError
	if !errors.As(err, &tooLarge) || tooLarge.Size() <= rpc.MaxMessageBytes {
		t.Fatalf("call with a message above the limit: %v", err)
	}
	if reply, err := client.Pending(ctx, &wire.PendingRequest{}); err != nil || reply.GetPending() != 7 {
		t.Errorf("call after it: got %v, error %v", reply, err)
	}
}
