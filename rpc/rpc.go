// Package rpc carries the calls between ambertiller's own processes over drpc.
//
// A drpc connection carries one call at a time, so a Pool keeps several connections
// per address and uses an idle one for each call. If TLS is configured, client and
// server verify each other's certificate.
//
// # Usage
//
//	server, err := rpc.Listen(ctx, "127.0.0.1:7103", nil, func(mux *drpcmux.Mux) error {
//		return wire.DRPCRegisterGuard(mux, guard)
//	})
//	go server.Serve(ctx)
//
//	pool := rpc.NewPool(nil)
//	reply, err := wire.NewDRPCGuardClient(pool.Conn("127.0.0.1:7103")).Start(ctx, request)
//
// # Unresponsive connections
//
// A connection can stop delivering data in one or both directions while the peer's
// kernel still acknowledges and new connections work. Only an answer on the connection
// itself proves that it works. So a call that exceeds its deadline closes its connection
// and all idle connections to the same address, which are as old, and the next call
// dials a new one. The call may have been carried out, so it is up to the caller whether
// to retry it. The holder of a long-lived stream monitors it by the messages that it
// expects on it.
//
// # Errors
//
// A [*DialError] proves that the call was not made, a [*MessageTooLargeError] that the message was not sent.
// After any other error the call may have been carried out.
package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

const (
	dialTimeout            = time.Second
	idleExpiration         = time.Minute
	retainedBufferBytes    = 64 << 10
	poolCapacity           = 4096
	poolCapacityPerAddress = 128
	softCancelGrace        = 100 * time.Millisecond
	writerBufferBytes      = 16 << 10
	splitFrameBytes        = 64 << 10
)

// DialError is returned if no connection could be established, so that the call was
// not made.
type DialError struct {
	address string
	cause   error
}

// Error implements error.
func (e *DialError) Error() string {
	return "connect to " + e.address + ": " + e.cause.Error()
}

// Unwrap returns the error of the dial function.
func (e *DialError) Unwrap() error { return e.cause }

// managerOptions returns the drpc options of client and server connections.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writerBufferBytes,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		Stream:           drpcstream.Options{SplitSize: splitFrameBytes, MaximumBufferSize: retainedBufferBytes},
		SoftCancel:       true,
		SoftCancelGrace:  softCancelGrace,
	}
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Pool keeps client connections by address. It is safe for concurrent use.
type Pool struct {
	conns    *drpcpool.Pool[string, drpcpool.Conn]
	dialFunc DialFunc
}

// NewPool returns an empty pool of TCP connections. They are encrypted unless the
// configuration is nil.
func NewPool(config *tls.Config) *Pool {
	dialer := NewDialer()
	return NewPoolWithDialFunc(func(ctx context.Context, address string) (net.Conn, error) {
		if config == nil {
			return dialer.DialContext(ctx, "tcp", address)
		}
		return (&tls.Dialer{NetDialer: dialer, Config: config}).DialContext(ctx, "tcp", address)
	})
}

// NewPoolWithDialFunc returns an empty pool that opens its connections with dial.
func NewPoolWithDialFunc(dial DialFunc) *Pool {
	return &Pool{
		conns: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleExpiration,
			Capacity:    poolCapacity,
			KeyCapacity: poolCapacityPerAddress,
		}),
		dialFunc: dial,
	}
}

// Conn returns a connection to the address that uses a pooled connection for each call.
func (pool *Pool) Conn(address string) drpc.Conn {
	return &pooledConn{Conn: pool.conns.Get(context.Background(), address, pool.dial), pool: pool, address: address}
}

// pooledConn makes each call on a connection borrowed from the pool.
type pooledConn struct {
	drpc.Conn // for streams
	pool      *Pool
	address   string
}

// Invoke implements drpc.Conn.
func (conn *pooledConn) Invoke(ctx context.Context, method string, encoding drpc.Encoding, in, out drpc.Message) error {
	borrowed, err := conn.pool.Borrow(ctx, conn.address)
	if err != nil {
		return err
	}
	if err := borrowed.Invoke(ctx, method, encoding, in, out); err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return borrowed.discard(err)
		}
		borrowed.Return()
		return err
	}
	borrowed.Return()
	return nil
}

// Borrow takes an idle connection to the address out of the pool, or opens a new one.
// The caller returns it once all its calls on the connection have ended.
//
// Performance: a stream on a borrowed connection costs a third of a stream on Conn.
// Conn starts a goroutine per stream that puts the connection back after the stream,
// which is too late for a caller that opens its next stream at once.
func (pool *Pool) Borrow(ctx context.Context, address string) (*BorrowedConn, error) {
	if idle, found := pool.conns.Take(address); found {
		return &BorrowedConn{Conn: idle, pool: pool, address: address}, nil
	}
	dialed, err := pool.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &BorrowedConn{Conn: dialed, pool: pool, address: address}, nil
}

// BorrowedConn is a connection taken out of a pool.
type BorrowedConn struct {
	drpcpool.Conn
	pool    *Pool
	address string
}

// Return puts the connection back into the pool. A broken connection is dropped. A
// connection whose last call is still being cancelled is not reused before that ends.
func (borrowed *BorrowedConn) Return() { borrowed.pool.conns.Put(borrowed.address, borrowed.Conn) }

// discard closes a connection on which a call exceeded its deadline, and all idle
// connections to the same address. It returns the call's error.
func (borrowed *BorrowedConn) discard(callErr error) error {
	// The call has already failed, so an error of Close adds nothing.
	_ = borrowed.Close()
	borrowed.pool.closeIdle(borrowed.address)
	return callErr
}

// closeIdle closes the idle connections to an address.
func (pool *Pool) closeIdle(address string) {
	for {
		idle, found := pool.conns.Take(address)
		if !found {
			return
		}
		// An idle connection has no call that an error of Close could affect.
		_ = idle.Close()
	}
}

// Close closes the idle connections.
func (pool *Pool) Close() error {
	return errors.Wrap(pool.conns.Close(), "close pooled connections")
}

func (pool *Pool) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	raw, err := pool.dialFunc(ctx, address)
	if err != nil {
		return nil, &DialError{address: address, cause: err}
	}
	return limitedConn{drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})}, nil
}

// DialUnpooled opens a connection that the caller owns, for a long-lived stream.
func DialUnpooled(ctx context.Context, address string) (drpc.Conn, error) {
	raw, err := NewDialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{address: address, cause: err}
	}
	return limitedConn{drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})}, nil
}

// Server accepts calls on one address.
type Server struct {
	listener net.Listener
	handler  *drpcserver.Server
}

// Listen listens on the address and registers services. Connections are encrypted
// unless the configuration is nil.
func Listen(ctx context.Context, address string, config *tls.Config, register func(mux *drpcmux.Mux) error) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for RPC calls")
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	return NewServer(listener, register)
}

// NewServer returns a server on an open listener and registers services.
func NewServer(listener net.Listener, register func(mux *drpcmux.Mux) error) (*Server, error) {
	mux := drpcmux.New()
	if err := register(mux); err != nil {
		return nil, errors.Wrap(err, "register RPC services")
	}
	return &Server{
		listener: listener,
		handler:  drpcserver.NewWithOptions(limitedHandler{mux}, drpcserver.Options{Manager: managerOptions()}),
	}, nil
}

// Address returns the address that the server listens on.
func (server *Server) Address() string { return server.listener.Addr().String() }

// Serve answers calls until ctx is done. Calls in flight are then aborted.
func (server *Server) Serve(ctx context.Context) error {
	return errors.Wrap(server.handler.Serve(ctx, server.listener), "serve RPC calls")
}
