package rpc

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// silentAfter ends a connection whose peer acknowledges nothing. A machine
	// behind a cut sends nothing at all, and a call would hang until its own
	// timeout; 2 s is well above what a loaded machine takes to acknowledge.
	silentAfter    = 2 * time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 2
)

// Dialer returns a dialer whose connections notice a silent peer.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveEvery, Interval: keepAliveEvery, Count: keepAliveCount},
		Control:         boundSilence,
	}
}

// boundSilence bounds how long sent bytes may stay unacknowledged.
func boundSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentAfter.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
