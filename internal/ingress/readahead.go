package ingress

import (
	"io"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// maxUnread is how many bytes behind an open request are left in the socket. The receive buffer has
	// room for more, so the end of the connection still arrives behind them.
	maxUnread = 16 << 10
	// maxReadAhead is how many bytes behind an open request are taken into memory at most, for one
	// connection and for all connections of a server. Beyond that the sender is held back: a client that
	// keeps sending has not left.
	maxReadAhead      = 4 << 20
	maxTotalReadAhead = 16 << 20
)

// readHeld moves bytes that were taken into memory into b.
func (c *Conn) readHeld(b []byte) int {
	n := copy(b, c.held)
	c.server.heldBytes.Add(-int64(n))
	if c.held = c.held[n:]; len(c.held) == 0 {
		c.held = nil
	}
	return n
}

// dropHeld drops what was taken into memory, on a connection from which nothing more is read.
func (c *Conn) dropHeld() {
	c.server.heldBytes.Add(-int64(len(c.held)))
	c.held = nil
}

// reserve returns how many of a number of bytes may be taken into memory, which count as held from then on.
func (c *Conn) reserve(wanted int) int {
	for {
		total := c.server.heldBytes.Load()
		granted := min(wanted, maxReadAhead-len(c.held), maxTotalReadAhead-int(total))
		if granted <= 0 {
			return 0
		}
		if c.server.heldBytes.CompareAndSwap(total, total+int64(granted)) {
			return granted
		}
	}
}

// awaitClose waits until the client closes or the read is interrupted. What arrives meanwhile is part of
// the next request, and stays in the socket. Only where so many bytes wait that the end of the connection
// might find no room behind them, they are taken into memory.
func (c *Conn) awaitClose() error {
	return c.withSocket(func(fd int) (done bool, err error) {
		for {
			if peerClosed(fd) {
				return true, io.EOF
			}
			unread, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
			if err != nil {
				return true, err
			}
			if unread < maxUnread {
				return false, nil
			}
			granted := c.reserve(unread)
			if granted == 0 {
				return false, nil
			}
			if err := c.takeAhead(fd, granted); err != nil {
				return err != syscall.EAGAIN, err
			}
		}
	})
}

// takeAhead reads from the socket into memory, up to a number of bytes that are reserved.
func (c *Conn) takeAhead(fd, reserved int) error {
	buffer := make([]byte, reserved)
	n, err := readSocket(fd, buffer)
	c.track(buffer[:n])
	c.held = append(c.held, buffer[:n]...)
	c.server.heldBytes.Add(int64(n - reserved))
	return err
}

// peerClosed reports whether the other side of a socket has closed or reset the connection. Bytes that it
// sent before may still be waiting.
func peerClosed(fd int) bool {
	const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(state, 0)
		if err != unix.EINTR {
			return err == nil && state[0].Revents&ended != 0
		}
	}
}
