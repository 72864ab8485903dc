package upstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout returns a dialer control function that sets TCP_USER_TIMEOUT: the kernel closes a
// connection on which sent data stays unacknowledged for the given time.
func tcpUserTimeout(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) (err error) {
		controlErr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}
}
