package session

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// lineKept is how much of a head's line is looked at: names and lengths are shorter.
const lineKept = 64

// counted is a client session's connection. It counts towards the limit, and
// follows the reqs on it as their bytes come: net/http drops Content-Length
// where Transfer-Encoding is there too, and so hides that the two may frame
// different reqs, one in the body of another.
type counted struct {
	net.Conn
	l      *limited
	closed atomic.Bool

	line   []byte // of the head that is coming, its first bytes
	begun  bool   // the head has a line
	length int64  // that it states, -1: none
	coded  bool   // it states a Transfer-Encoding
	left   int64  // bytes of a body that are still to come
	chunks part   // where in a coded body it stands
	doubt  atomic.Int64

	// Read by whoever looks for a session to shed.
	midway atomic.Bool  // part of a req has come
	active atomic.Bool  // a req is open, as net/http tells
	heads  atomic.Int64 // that came whole
	served atomic.Int64 // of these, net/http has handed out

	raw    syscall.RawConn // nil: what it is has no descriptor
	rd     sync.Mutex      // held by who reads
	ahead  []byte          // came behind a req that is open, to be read next
	passed int             // bytes that came behind it and were dropped

	mu     sync.Mutex // held over each look at the socket with what follows from it
	ending bool       // nothing that comes is read any more
}

const (
	// aheadMost is how much is kept of what comes behind a req that is open, and passOver how
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
var errPassedOver = errors.New("more came behind a req than is kept")

// part is where a coded body stands between its lines and its bytes.
type part uint8

const (
	none    part = iota
	size         // a line that states a chunk's length comes next
	trailer      // lines after the last chunk come
)

func newCounted(c net.Conn, l *limited) *counted {
	k := &counted{Conn: c, l: l, length: -1}
	if s, ok := c.(syscall.Conn); ok {
		k.raw, _ = s.SyscallConn()
	}
	return k
}

// Close ends the client session and gives its place free, once. Where the client may still
// send, it is told of the end first, and what comes then is neither answered nor sent on.
func (c *counted) Close() error {
	c.mu.Lock()
	c.ending = true
	c.mu.Unlock()
	if c.closed.Swap(true) {
		return nil
	}
	if c.gone() || !c.l.front.linger() {
		c.l.front.sessions.Add(-1)
		return c.Conn.Close()
	}
	go c.linger()
	return nil
}

// linger ends the sending side, reads out the other for a while, and closes.
func (c *counted) linger() {
	defer c.l.front.lingering.Add(-1)
	defer c.Conn.Close()
	c.CloseWrite()
	c.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes who reads
	c.rd.Lock()
	defer c.rd.Unlock()
	c.Conn.SetReadDeadline(time.Now().Add(c.l.front.lingerFor))
	io.Copy(io.Discard, io.LimitReader(c.Conn, passOver))
}

// end closes the session if it stands between reqs. Nothing that has come is lost by that:
// no byte is read between the look and the decision.
func (c *counted) end() bool {
	c.mu.Lock()
	idle := !c.ending && c.between()
	c.ending = c.ending || idle
	c.mu.Unlock()
	if idle {
		c.Close()
	}
	return idle
}

// SetReadDeadline holds for who reads reqs: the read-out of an end has its own.
func (c *counted) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the sending side: net/http waits a little then before it closes, so
// that bytes which it has not read don't reset the connection before the answer is read.
func (c *counted) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// Read reads, and follows what came. Behind a whole req net/http reads one byte ahead to
// learn of the client's end, and would learn of none behind a byte; so what comes there is
// kept, and the Read waits for the end.
func (c *counted) Read(b []byte) (int, error) {
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
func (c *counted) watch(buf []byte) error {
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
// session stands between reqs sees both or neither.
func (c *counted) take(b []byte) (n int, err error) {
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

// came follows bytes that were read.
func (c *counted) came(b []byte) {
	for len(b) > 0 && c.doubt.Load() == 0 {
		b = c.follow(b)
	}
	c.midway.Store(c.begun || len(c.line) > 0 || c.left > 0 || c.chunks != none)
}

// follow takes a body's bytes or one line, and returns what is left.
func (c *counted) follow(b []byte) []byte {
	if c.left > 0 {
		n := min(c.left, int64(len(b)))
		c.left -= n
		return b[n:]
	}
	part, rest, whole := bytes.Cut(b, []byte{'\n'})
	c.line = append(c.line, part[:min(len(part), lineKept-len(c.line))]...)
	if !whole {
		return nil
	}
	line := bytes.TrimSuffix(c.line, []byte{'\r'})
	c.line = c.line[:0]
	switch {
	case c.chunks != none:
		c.chunk(line)
		return rest
	case len(line) > 0:
		c.field(line)
		return rest
	}
	heads := c.heads.Add(1)
	switch {
	case c.coded && c.length >= 0:
		c.doubt.Store(heads)
	case c.coded:
		c.chunks = size
	default:
		c.left = max(c.length, 0)
	}
	c.begun, c.length, c.coded = false, -1, false
	return rest
}

// chunk takes a line of a coded body. What can't be read puts what stands behind the req
// in doubt; net/http turns the req itself down.
func (c *counted) chunk(line []byte) {
	if c.chunks == trailer {
		if len(line) == 0 {
			c.chunks = none
		}
		return
	}
	digits, _, _ := bytes.Cut(line, []byte{';'})
	n, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 32)
	switch {
	case err != nil:
		c.doubt.Store(c.heads.Load() + 1)
	case n == 0:
		c.chunks = trailer
	default:
		c.left = int64(n) + int64(len("\r\n"))
	}
}

// field takes a line of a head. What net/http might read otherwise is in doubt.
func (c *counted) field(line []byte) {
	if !c.begun {
		c.begun = true // the request line
		return
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch {
	case line[0] == ' ' || line[0] == '\t': // the line before goes on
		c.doubt.Store(c.heads.Load() + 1)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		c.coded = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 62)
		if err != nil || c.length >= 0 && c.length != int64(n) {
			c.doubt.Store(c.heads.Load() + 1)
			return
		}
		c.length = int64(n)
	}
}

// doubtful tells, of each req that net/http hands out in turn, whether it may be
// framed otherwise than net/http took it, or stands behind one that may be.
func (c *counted) doubtful() bool {
	served, first := c.served.Add(1), c.doubt.Load()
	return first > 0 && served >= first
}

// between tells whether the session stands between reqs, with no part of one come.
func (c *counted) between() bool {
	return !c.active.Load() && !c.midway.Load() && c.heads.Load() == c.served.Load() && c.quiet()
}

// quiet tells whether nothing has come that is not read yet.
func (c *counted) quiet() bool {
	_, err := c.peek()
	return err == syscall.EAGAIN
}

// gone tells whether the client has closed its connection, as far as its bytes have been
// read. It asks the socket: who reads may not have had its turn yet.
func (c *counted) gone() bool {
	n, err := c.peek()
	return n == 0 && err != syscall.EAGAIN && err != errNoSocket
}

var errNoSocket = errors.New("no socket to ask")

// peek looks at what has come and is not read yet: 0 bytes without an error are the end.
func (c *counted) peek() (n int, err error) {
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
