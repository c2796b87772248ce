package session_test

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// network connects addresses in memory. A cut address can't be dialled, and
// its connections are broken off.
type network struct {
	mu           sync.Mutex
	listeners    map[string]*pipeListener
	disconnected map[string]bool
}

func newNetwork() *network {
	return &network{listeners: map[string]*pipeListener{}, disconnected: map[string]bool{}}
}

func (links *network) dial(ctx context.Context, address string) (net.Conn, error) {
	links.mu.Lock()
	listener, found := links.listeners[address]
	cut := links.disconnected[address]
	links.mu.Unlock()
	if !found || cut {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	select {
	case listener.incoming <- far:
		listener.addConn(near)
		return near, nil
	case <-listener.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (links *network) listen(address string) *pipeListener {
	links.mu.Lock()
	defer links.mu.Unlock()
	listener := &pipeListener{incoming: make(chan net.Conn), closed: make(chan struct{}), address: address}
	links.listeners[address] = listener
	return listener
}

// setDisconnected cuts an address off, or joins it again.
func (links *network) setDisconnected(address string, cut bool) {
	links.mu.Lock()
	defer links.mu.Unlock()
	links.disconnected[address] = cut
	if listener := links.listeners[address]; cut && listener != nil {
		listener.closeConns()
	}
}

type pipeListener struct {
	incoming  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
	address   string

	mu    sync.Mutex
	conns []net.Conn
}

func (listener *pipeListener) addConn(conn net.Conn) {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.conns = append(listener.conns, conn)
}

func (listener *pipeListener) closeConns() {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	for _, conn := range listener.conns {
		_ = conn.Close()
	}
	listener.conns = nil
}

func (listener *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.incoming:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

func (listener *pipeListener) Close() error {
	listener.closeOnce.Do(func() { close(listener.closed) })
	return nil
}

func (listener *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: listener.address} }
