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

// Conn is a client session's connection. It counts towards the limit, and follows the
// requests on it as their bytes come.
type Conn struct {
	net.Conn
	framing
	server *Server
	closed atomic.Bool
	active atomic.Bool // a request is open, as net/http tells

	raw    syscall.RawConn // nil: what it is has no descriptor
	rd     sync.Mutex      // held by who reads
	ahead  []byte          // came behind a request that is open, to be read next
	passed int             // bytes that came behind it and were dropped

	mu     sync.Mutex // held over each look at the socket with what follows from it
	ending bool       // nothing that comes is read any more
}

const (
	// aheadMost is how much is kept of what comes behind a request that is open, and passOver how
	// much more is dropped before nothing is read any more: a client that sends on has not
	// left, and its close stands behind its bytes.
	aheadMost = 8 << 10
	passOver  = 4 << 20
	// lingerFor is how long a session that the node ends is read out: bytes that cross the
	// close would reset it, and take away an answer that the client has not read yet
	// (RFC 9112, section 9.6).
	lingerFor = 250 * time.Millisecond
)

// errPassedOver ends a session of whose bytes some were dropped.
var errPassedOver = errors.New("more came behind a request than is kept")

func newConn(c net.Conn, s *Server) *Conn {
	k := &Conn{Conn: c, framing: framing{length: -1}, server: s}
	if d, ok := c.(syscall.Conn); ok {
		k.raw, _ = d.SyscallConn()
	}
	return k
}

// Close ends the client session and gives its place free, once. Where the client may still
// send, it is told of the end first, and what comes then is neither answered nor sent on.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.ending = true
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

// linger ends the sending side, reads out the other for a while, and closes.
func (c *Conn) linger() {
	defer c.server.lingering.Add(-1)
	defer c.Conn.Close()
	c.CloseWrite()
	c.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes who reads
	c.rd.Lock()
	defer c.rd.Unlock()
	c.Conn.SetReadDeadline(time.Now().Add(c.server.lingerFor))
	io.Copy(io.Discard, io.LimitReader(c.Conn, passOver))
}

// end closes the session if it stands between requests. Nothing that has come is lost by that:
// no byte is read between the look and the decision.
func (c *Conn) end() bool {
	c.mu.Lock()
	idle := !c.ending && c.between()
	c.ending = c.ending || idle
	c.mu.Unlock()
	if idle {
		c.Close()
	}
	return idle
}

// SetReadDeadline holds for who reads requests: the read-out of an end has its own. What
// net/http sets by one of its marks is the server's time of now.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(c.server.unmark(t))
}

// CloseWrite ends the sending side: net/http waits a little then before it closes, so
// that bytes which it has not read don't reset the connection before the answer is read.
func (c *Conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// Read reads, and follows what came. Behind a whole request net/http reads one byte ahead to
// learn of the client's end, and would learn of none behind a byte; so what comes there is
// kept, and the Read waits for the end.
func (c *Conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	ending := c.ending
	c.mu.Unlock()
	if ending { // or it would wait for the read-out
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	}
	c.rd.Lock()
	defer c.rd.Unlock()
	switch {
	case len(b) == 1 && c.active.Load() && c.raw != nil: // a body is never read by single bytes
		return 0, c.watch(b)
	case len(c.ahead) > 0:
		n := copy(b, c.ahead)
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
		return n, nil
	case c.passed > 0:
		return 0, errPassedOver
	}
	return c.take(b)
}

// watch keeps what comes until the client ends or the watch is broken off. From most clients
// nothing does: buf is the caller's, and a larger one is made once something has.
func (c *Conn) watch(buf []byte) error {
	for {
		n, err := c.take(buf)
		if err != nil {
			return err
		}
		kept := min(n, aheadMost-len(c.ahead))
		if c.passed > 0 {
			kept = 0
		}
		c.ahead = append(c.ahead, buf[:kept]...)
		c.passed += n - kept
		switch {
		case c.passed > passOver:
			buf = nil // waits, and reads no more
		case len(buf) == 1:
			buf = make([]byte, 512)
		}
	}
}

// take reads what has come as one step with what follows from it: who decides whether the
// session stands between requests sees both or neither.
func (c *Conn) take(b []byte) (n int, err error) {
	if c.raw == nil {
		n, err = c.Conn.Read(b)
		c.came(b[:n])
		return n, err
	}
	waited := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		switch n, err = 0, nil; {
		case c.ending:
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
		c.came(b[:n])
		return true
	})
	if waited != nil {
		n, err = 0, waited
	}
	if err != nil && err != io.EOF {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	}
	return n, err
}

// between tells whether the session stands between requests, with no part of one come.
func (c *Conn) between() bool {
	return !c.active.Load() && !c.midway.Load() && c.heads.Load() == c.served.Load() && c.quiet()
}

// quiet tells whether nothing has come that is not read yet.
func (c *Conn) quiet() bool {
	_, err := c.peek()
	return err == syscall.EAGAIN
}

// ClientClosed tells whether the client has closed its connection, as far as its bytes have been
// read. It asks the socket: who reads may not have had its turn yet.
func (c *Conn) ClientClosed() bool {
	n, err := c.peek()
	return n == 0 && err != syscall.EAGAIN && err != errNoSocket
}

var errNoSocket = errors.New("no socket to ask")

// peek looks at what has come and is not read yet: 0 bytes without an error are the end.
func (c *Conn) peek() (n int, err error) {
	if c.raw == nil {
		return 0, errNoSocket
	}
	var b [1]byte
	asked := c.raw.Control(func(fd uintptr) {
		for {
			if n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err != syscall.EINTR {
				return
			}
		}
	})
	if asked != nil {
		err = asked
	}
	return max(n, 0), err
}
