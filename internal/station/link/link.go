// Package link carries calls between the system's own processes: net/rpc
// services over TCP, with bounds on what a peer can make a process hold, and
// with errors that tell a call that surely wasn't carried out from one that may
// have been.
//
// A connection starts with a greeting of the server's, so that a dial succeeds
// only where a process answers; a machine that is dark or a process that is
// stopped is found before any call is written. After it, each side sends
// frames: see frame.go.
package link

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// greeting is what a server sends first on each connection. Its number changes
// with the form of the frames.
const greeting = "pmlink1\n"

// Bounds on a peer that says nothing.
const (
	// userTimeout is how long written bytes may go without the peer's word that
	// they came (TCP_USER_TIMEOUT, RFC 5482).
	userTimeout = 1500 * time.Millisecond
	// probeInterval is how often a connection without traffic is probed.
	probeInterval = 2 * time.Second
)

// probes are the keepalive settings of all connections. The count has no
// effect where userTimeout is set (tcp(7)).
var probes = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval}

// Listen listens on host:port with the socket options that a Server's
// connections want; accepted connections take them over.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: setUserTimeout, KeepAliveConfig: probes}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "link: listen")
	}
	return listener, nil
}

// Port returns the port at an offset in a range whose first and last ports are
// given, or 0 where the range has no such port.
func Port(portRange [2]int, offset int) int {
	if offset < 0 || offset > portRange[1]-portRange[0] {
		return 0
	}
	return portRange[0] + offset
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket that isn't in use yet.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP,
			unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}
