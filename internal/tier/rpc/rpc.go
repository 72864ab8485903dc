// Package rpc carries calls between the system's own processes. It serves
// net/rpc services over TCP, bounds the resources that a peer can consume, and
// returns errors that distinguish a call that was certainly not executed from
// one that may have been.
//
// A connection starts with a greeting from the server, so that a dial succeeds
// only if a process responds. A machine without power or a stopped process is
// detected before any call is written. After the greeting, both sides send
// frames: see frame.go.
package rpc

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// greeting is the first thing that a server sends on each connection. Its
// number changes with the frame format.
const greeting = "pmlink1\n"

// Time limits for a silent peer.
const (
	// userTimeout is how long written bytes may remain unacknowledged
	// (TCP_USER_TIMEOUT, RFC 5482).
	userTimeout = 1500 * time.Millisecond
	// probeInterval is the keepalive interval of an idle connection.
	probeInterval = 2 * time.Second
)

// keepAlive holds the keepalive settings of all connections. The probe count
// has no effect when TCP_USER_TIMEOUT is set (tcp(7)).
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval}

// Listen listens on host:port with the socket options that a Server's
// connections need. Accepted connections inherit them.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: setUserTimeout, KeepAliveConfig: keepAlive}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "rpc: listen")
	}
	return listener, nil
}

// Port returns the port at an offset in a port range, given by its first and
// last port, or 0 if the range does not contain it.
func Port(portRange [2]int, offset int) int {
	if offset < 0 || offset > portRange[1]-portRange[0] {
		return 0
	}
	return portRange[0] + offset
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP,
			unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}
