package rpc

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tcpUserTimeout is the time without an acknowledgement after which a connection
	// is closed. A peer behind a network partition sends nothing at all, and a call to
	// it would hang until its own timeout. A loaded machine acknowledges in well below 2 s.
	tcpUserTimeout    = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// NewDialer returns a dialer of TCP connections that fail if their peer stops
// acknowledging, idle ones by keep-alive probes and others by TCP_USER_TIMEOUT.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long sent bytes may stay
// unacknowledged.
func setUserTimeout(_, _ string, rawConn syscall.RawConn) error {
	var optionErr error
	err := rawConn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
