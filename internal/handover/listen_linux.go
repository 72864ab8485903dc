package handover

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen opens the listener for clients with SO_REUSEPORT, next to those that other processes
// opened at the address in the same way.
func Listen(listen string) (*net.TCPListener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) { set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return errors.Join(err, set)
	}}
	l, err := lc.Listen(context.Background(), "tcp", listen)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}
