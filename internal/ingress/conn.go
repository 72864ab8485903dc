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

	raw       syscall.RawConn // nil: the connection has no file descriptor
	readMu    sync.Mutex      // held while reading
	readAhead []byte          // received after an open request, to be read next
	discarded int             // bytes received after it that were discarded

	mu      sync.Mutex // held while the socket is inspected and the result is acted on
	closing bool       // received bytes are no longer read
}

const (
	// maxReadAhead is how many bytes that follow an open request are kept. maxDiscarded is how many
	// more are discarded before reading stops: a client that keeps sending has not left, and its
	// close follows its bytes.
	maxReadAhead = 8 << 10
	maxDiscarded = 4 << 20
	// lingerTime is how long data is still read from a session that the node closes. Bytes that
	// cross the close would otherwise cause a reset, and the client could lose a response that it
	// has not read yet (RFC 9112, section 9.6).
	lingerTime = 250 * time.Millisecond
)

// errReadAheadOverflow ends a session of which bytes were discarded.
var errReadAheadOverflow = errors.New("too many bytes received after an open request")

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
	if c.ClientClosed() || !c.server.linger() {
		c.server.sessions.Add(-1)
		return c.Conn.Close()
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
// ahead to detect that the client closes, and would detect nothing after such a byte. So Read keeps
// bytes that arrive then, and goes on waiting for the close.
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
		return 0, c.watchForClose(b)
	case len(c.readAhead) > 0:
		n := copy(b, c.readAhead)
		if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
			c.readAhead = nil
		}
		return n, nil
	case c.discarded > 0:
		return 0, errReadAheadOverflow
	}
	return c.readAndTrack(b)
}

// watchForClose keeps received bytes until the client closes or the read is interrupted. Most
// clients send nothing then, so it uses the caller's buf and allocates a larger buffer only after
// the first byte.
func (c *Conn) watchForClose(buf []byte) error {
	for {
		n, err := c.readAndTrack(buf)
		if err != nil {
			return err
		}
		kept := min(n, maxReadAhead-len(c.readAhead))
		if c.discarded > 0 {
			kept = 0
		}
		c.readAhead = append(c.readAhead, buf[:kept]...)
		c.discarded += n - kept
		switch {
		case c.discarded > maxDiscarded:
			buf = nil // waits without reading more
		case len(buf) == 1:
			buf = make([]byte, 512)
		}
	}
}

// readAndTrack reads received bytes and tracks their framing in one critical section, so that a
// concurrent check whether the session is idle sees both or neither.
func (c *Conn) readAndTrack(b []byte) (n int, err error) {
	if c.raw == nil {
		n, err = c.Conn.Read(b)
		c.track(b[:n])
		return n, err
	}
	rawErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		switch n, err = 0, nil; {
		case c.closing:
			err = net.ErrClosed
			return true
		case len(b) == 0:
			return false
		}
		for {
			if n, err = syscall.Read(int(fd), b); err != syscall.EINTR {
				break
			}
		}
		switch n = max(n, 0); {
		case err == syscall.EAGAIN:
			return false
		case err != nil:
			err = os.NewSyscallError("read", err)
		case n == 0:
			err = io.EOF
		}
		c.track(b[:n])
		return true
	})
	if rawErr != nil {
		n, err = 0, rawErr
	}
	if err != nil && err != io.EOF {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	}
	return n, err
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

// ClientClosed reports whether the client has closed its connection and all its bytes have been
// read. It inspects the socket, because the reading goroutine may not have run yet.
func (c *Conn) ClientClosed() bool {
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
