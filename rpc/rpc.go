// Package rpc carries the calls between ambertiller's own processes over drpc.
//
// A drpc connection carries one call at a time, so a Pool keeps several to each
// address and hands out an idle one for each call. The certificates of both
// sides are checked when TLS is configured.
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
// # Connections that have gone silent
//
// A connection may carry nothing any more, in one direction or both, while its peer's
// kernel acknowledges and new connections work. Only an answer on that very connection
// proves it sound. So a call that is not answered in its time takes its connection with it,
// and all idle ones to the same address, which are as old; the next call makes a new one.
// Whether the call may be made again is for its caller to know: it may have been carried
// out. Streams that last are watched by those who hold them, by what they have to hear.
//
// # Errors
//
// A [*DialError] proves that the call was not made. After any other error it
// may have been.
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
	maxMessageBytes        = 4 << 20
	retainedBufferBytes    = 64 << 10
	poolCapacity           = 4096
	poolCapacityPerAddress = 128
	softCancelGrace        = 100 * time.Millisecond
	writerBufferBytes      = 16 << 10
	splitFrameBytes        = 64 << 10
)

// DialError says that no connection could be made, so that the call was not.
type DialError struct {
	address string
	cause   error
}

// Error implements error.
func (dial *DialError) Error() string {
	return "connect to " + dial.address + ": " + dial.cause.Error()
}

// Unwrap returns the cause.
func (dial *DialError) Unwrap() error { return dial.cause }

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writerBufferBytes,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream:           drpcstream.Options{SplitSize: splitFrameBytes, MaximumBufferSize: retainedBufferBytes},
		SoftCancel:       true,
		SoftCancelGrace:  softCancelGrace,
	}
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Pool keeps client connections by address. It may be used by many goroutines.
type Pool struct {
	conns    *drpcpool.Pool[string, drpcpool.Conn]
	dialFunc DialFunc
}

// NewPool returns an empty pool of TCP connections. With a nil configuration
// they are plain.
func NewPool(client *tls.Config) *Pool {
	dialer := NewDialer()
	return NewPoolWithDialFunc(func(ctx context.Context, address string) (net.Conn, error) {
		if client == nil {
			return dialer.DialContext(ctx, "tcp", address)
		}
		return (&tls.Dialer{NetDialer: dialer, Config: client}).DialContext(ctx, "tcp", address)
	})
}

// NewPoolWithDialFunc returns an empty pool of connections that open makes.
func NewPoolWithDialFunc(open DialFunc) *Pool {
	return &Pool{
		conns: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleExpiration,
			Capacity:    poolCapacity,
			KeyCapacity: poolCapacityPerAddress,
		}),
		dialFunc: open,
	}
}

// Conn returns a connection to the address that takes one from the pool for
// each call.
func (pool *Pool) Conn(address string) drpc.Conn {
	return &pooledConn{Conn: pool.conns.Get(context.Background(), address, pool.dial), pool: pool, address: address}
}

// pooledConn makes each call on a connection of its own out of the pool.
type pooledConn struct {
	drpc.Conn // for streams
	pool      *Pool
	address   string
}

// Invoke implements drpc.Conn.
func (conn *pooledConn) Invoke(ctx context.Context, name string, encoding drpc.Encoding, in, out drpc.Message) error {
	borrowed, err := conn.pool.Borrow(ctx, conn.address)
	if err != nil {
		return err
	}
	if err := borrowed.Invoke(ctx, name, encoding, in, out); err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return borrowed.discard(err)
		}
		borrowed.Return()
		return err
	}
	borrowed.Return()
	return nil
}

// Borrow takes an idle connection to the address out of the pool, or makes one.
// The caller returns it once its calls on it have ended.
//
// Performance: a stream on a borrowed connection costs a third of one on Conn,
// which hands every stream to a goroutine of its own that waits to put the
// connection back, and so comes too late for a caller who goes on at once.
func (pool *Pool) Borrow(ctx context.Context, address string) (*BorrowedConn, error) {
	if idle, found := pool.conns.Take(address); found {
		return &BorrowedConn{Conn: idle, pool: pool, address: address}, nil
	}
	dialled, err := pool.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &BorrowedConn{Conn: dialled, pool: pool, address: address}, nil
}

// BorrowedConn is a connection out of the pool.
type BorrowedConn struct {
	drpcpool.Conn
	pool    *Pool
	address string
}

// Return puts the connection back. One that is broken is dropped, one whose
// last call is still being cancelled is not handed out until that is done.
func (borrowed *BorrowedConn) Return() { borrowed.pool.conns.Put(borrowed.address, borrowed.Conn) }

// discard closes a connection on which a call was not answered in its time, and all idle ones
// to its address. It returns the call's error.
func (borrowed *BorrowedConn) discard(unanswered error) error {
	// The call has failed already; that its connection does not close well adds nothing.
	_ = borrowed.Close()
	borrowed.pool.closeIdle(borrowed.address)
	return unanswered
}

// closeIdle closes the idle connections to an address.
func (pool *Pool) closeIdle(address string) {
	for {
		idle, found := pool.conns.Take(address)
		if !found {
			return
		}
		// Nothing is on its way on it.
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
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

// DialUnpooled opens a connection that belongs to its caller, for a stream that lasts.
func DialUnpooled(ctx context.Context, address string) (drpc.Conn, error) {
	raw, err := NewDialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{address: address, cause: err}
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

// Server accepts calls on one address.
type Server struct {
	listener net.Listener
	handler  *drpcserver.Server
}

// Listen opens the address and registers services. With a nil configuration
// connections are plain.
func Listen(ctx context.Context, address string, server *tls.Config, register func(mux *drpcmux.Mux) error) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for calls")
	}
	if server != nil {
		listener = tls.NewListener(listener, server)
	}
	return NewServer(listener, register)
}

// NewServer registers services on a listener that is open.
func NewServer(listener net.Listener, register func(mux *drpcmux.Mux) error) (*Server, error) {
	mux := drpcmux.New()
	if err := register(mux); err != nil {
		return nil, errors.Wrap(err, "register calls")
	}
	return &Server{
		listener: listener,
		handler:  drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()}),
	}, nil
}

// Address returns the address that was opened.
func (server *Server) Address() string { return server.listener.Addr().String() }

// Serve answers calls until ctx ends; calls in flight are then broken off.
func (server *Server) Serve(ctx context.Context) error {
	return errors.Wrap(server.handler.Serve(ctx, server.listener), "serve calls")
}
