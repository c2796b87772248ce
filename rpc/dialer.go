package rpc

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tcpUserTimeout ends a connection whose peer acknowledges nothing. A machine
	// behind a cut sends nothing at all, and a call would hang until its own
	// timeout; 2 s is well above what a loaded machine takes to acknowledge.
	tcpUserTimeout    = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// NewDialer returns a dialer whose connections notice a silent peer.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
