package upstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout has the kernel end a connection on which what was sent is not acknowledged
// for so long.
func userTimeout(within time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) (err error) {
		asked := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(within.Milliseconds()))
		})
		if asked != nil {
			return asked
		}
		return err
	}
}
