package ingress

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is the connection of a client session. It counts towards the session limit and tracks the
// framing of the requests on it as their bytes arrive.
type Conn struct {
	net.Conn
	framing
	server *Server
	closed atomic.Bool
	active atomic.Bool // a request is open, as net/http reports

	raw    syscall.RawConn // nil: the connection has no file descriptor
	readMu sync.Mutex      // held while reading
	held   []byte          // received after an open request, to be read next

	mu      sync.Mutex // held while the socket is inspected and the result is acted on
	closing bool       // received bytes are no longer read
}

const (
	// maxDiscarded is how many bytes are discarded from a session that the node closes.
	maxDiscarded = 4 << 20
	// lingerTime is how long data is still read from a session that the node closes. Bytes that
	// cross the close would otherwise cause a reset, and the client could lose a response that it
	// has not read yet (RFC 9112, section 9.6).
	lingerTime = 250 * time.Millisecond
)

// newConn returns a Conn for an accepted connection.
func newConn(c net.Conn, s *Server) *Conn {
	conn := &Conn{Conn: c, framing: framing{length: -1}, server: s}
	if descriptor, ok := c.(syscall.Conn); ok {
		conn.raw, _ = descriptor.SyscallConn()
	}
	return conn
}

// Close closes the client session and frees its slot, once. If the client may still send, Close
// first shuts down the sending side. Bytes received after that are neither answered nor forwarded.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	if c.closed.Swap(true) {
		return nil
	}
	if c.endReached() || !c.server.linger() {
		c.server.sessions.Add(-1)
		err := c.Conn.Close()
		c.readMu.Lock()
		defer c.readMu.Unlock()
		c.dropHeld()
		return err
	}
	go c.linger()
	return nil
}

// linger shuts down the sending side, discards received data for a while, and closes.
func (c *Conn) linger() {
	defer c.server.lingering.Add(-1)
	defer c.Conn.Close()
	c.CloseWrite()
	c.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes a reader
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.dropHeld()
	c.Conn.SetReadDeadline(time.Now().Add(c.server.lingerTime))
	io.Copy(io.Discard, io.LimitReader(c.Conn, maxDiscarded))
}

// closeIfIdle closes the session if it is between requests. It loses no received byte, because none
// is read between the check and the decision.
func (c *Conn) closeIfIdle() bool {
	c.mu.Lock()
	idle := !c.closing && c.idle()
	c.closing = c.closing || idle
	c.mu.Unlock()
	if idle {
		c.Close()
	}
	return idle
}

// SetReadDeadline sets the deadline for reading requests. It has no effect on a closing session,
// whose lingering has its own deadline. A deadline by which net/http sets one of the timeout markers
// is replaced by the present timeout of the server.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(c.server.resolveDeadline(t))
}

// CloseWrite shuts down the sending side. net/http calls it and waits a little before it closes, so
// that unread bytes do not reset the connection before the client has read the response.
func (c *Conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// Read implements net.Conn and tracks the framing. After a complete request net/http reads one byte
// ahead to detect that the client closes, and would detect nothing after such a byte. It goes on doing so
// when the client already has the whole response. So Read leaves bytes that arrive then to a later Read,
// and waits for the close.
func (c *Conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	closing := c.closing
	c.mu.Unlock()
	if closing { // otherwise it would wait until the lingering ends
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	}
	c.readMu.Lock()
	defer c.readMu.Unlock()
	switch {
	case len(b) == 1 && c.active.Load() && c.raw != nil: // net/http never reads a body by single bytes
		return 0, c.awaitClose()
	case len(c.held) > 0:
		return c.readHeld(b), nil
	}
	return c.readAndTrack(b)
}

// readAndTrack reads received bytes and tracks their framing in one critical section, so that a
// concurrent check whether the session is idle sees both or neither.
func (c *Conn) readAndTrack(b []byte) (n int, err error) {
	if c.raw == nil {
		n, err = c.Conn.Read(b)
		c.track(b[:n])
		return n, err
	}
	err = c.withSocket(func(fd int) (done bool, err error) {
		if len(b) == 0 {
			return true, nil
		}
		if n, err = readSocket(fd, b); err == syscall.EAGAIN {
			return false, nil
		}
		c.track(b[:n])
		return true, err
	})
	return n, err
}

// withSocket calls step when the socket has become readable, and again until it is done. c.mu is held
// meanwhile, and step is not called on a session that is closing.
func (c *Conn) withSocket(step func(fd int) (done bool, err error)) error {
	var err error
	rawErr := c.raw.Read(func(fd uintptr) (done bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closing {
			err = net.ErrClosed
			return true
		}
		done, err = step(int(fd))
		return done
	})
	if rawErr != nil {
		err = rawErr
	}
	if err != nil && err != io.EOF {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	}
	return err
}

// readSocket reads from a socket without waiting.
func readSocket(fd int, b []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, b)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return 0, err
		case err != nil:
			return 0, os.NewSyscallError("read", err)
		case n == 0:
			return 0, io.EOF
		}
		return n, nil
	}
}

// idle reports whether the session is between requests and no part of a request has arrived.
func (c *Conn) idle() bool {
	return !c.active.Load() && !c.partial.Load() && c.heads.Load() == c.handled.Load() && c.nothingReceived()
}

// nothingReceived reports whether no received bytes are waiting to be read.
func (c *Conn) nothingReceived() bool {
	_, err := c.peek()
	return err == syscall.EAGAIN
}

// ClientClosed reports whether the client has closed its connection, also if bytes that it sent before
// are still to be read. It inspects the socket, because the reading goroutine may not have run yet.
func (c *Conn) ClientClosed() bool {
	if c.raw == nil {
		return false
	}
	closed := false
	err := c.raw.Control(func(fd uintptr) { closed = peerClosed(int(fd)) })
	return closed || err != nil
}

// endReached reports whether the client has closed its connection and all its bytes have been read from
// the socket.
func (c *Conn) endReached() bool {
	n, err := c.peek()
	return n == 0 && err != syscall.EAGAIN && err != errNoDescriptor
}

// errNoDescriptor is the error of peek for a connection without a file descriptor.
var errNoDescriptor = errors.New("the connection has no file descriptor")

// peek returns how many of up to one byte wait to be read. 0 without an error means that the client
// has closed.
func (c *Conn) peek() (n int, err error) {
	if c.raw == nil {
		return 0, errNoDescriptor
	}
	var b [1]byte
	controlErr := c.raw.Control(func(fd uintptr) {
		for {
			if n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err != syscall.EINTR {
				return
			}
		}
	})
	if controlErr != nil {
		err = controlErr
	}
	return max(n, 0), err
}
