package session_test

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// network is an in-memory network. A disconnected address can't be dialled, and its open connections are
// closed.
type network struct {
	mu           sync.Mutex
	listeners    map[string]*pipeListener
	disconnected map[string]bool
}

func newNetwork() *network {
	return &network{listeners: map[string]*pipeListener{}, disconnected: map[string]bool{}}
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	listener, found := n.listeners[address]
	cut := n.disconnected[address]
	n.mu.Unlock()
	if !found || cut {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	select {
	case listener.incoming <- server:
		listener.addConn(client)
		return client, nil
	case <-listener.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *network) listen(address string) *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	listener := &pipeListener{incoming: make(chan net.Conn), closed: make(chan struct{}), address: address}
	n.listeners[address] = listener
	return listener
}

// setDisconnected disconnects or reconnects an address. Disconnecting closes its open connections.
func (n *network) setDisconnected(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected[address] = cut
	if listener := n.listeners[address]; cut && listener != nil {
		listener.closeConns()
	}
}

// pipeListener implements net.Listener for connections made with net.Pipe.
type pipeListener struct {
	incoming  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
	address   string

	mu    sync.Mutex
	conns []net.Conn
}

func (l *pipeListener) addConn(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
}

// closeConns closes all connections that were made to the listener.
func (l *pipeListener) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
	l.conns = nil
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: l.address} }
