package session

import (
	"bytes"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
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
	heads  atomic.Int64 // that came whole
	served atomic.Int64 // of these, net/http has handed out
}

// part is where a coded body stands between its lines and its bytes.
type part uint8

const (
	none    part = iota
	size         // a line that states a chunk's length comes next
	trailer      // lines after the last chunk come
)

func newCounted(c net.Conn, l *limited) *counted { return &counted{Conn: c, l: l, length: -1} }

// Close ends the client session and gives its place free, once.
func (c *counted) Close() error {
	err := c.Conn.Close()
	if !c.closed.Swap(true) {
		c.l.front.sessions.Add(-1)
	}
	return err
}

// CloseWrite ends the sending side: net/http waits a little then before it closes, so
// that bytes which it has not read don't reset the connection before the answer is read.
func (c *counted) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// Read reads, and follows what came.
func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for rest := b[:n]; len(rest) > 0 && c.doubt.Load() == 0; {
		rest = c.follow(rest)
	}
	c.midway.Store(c.begun || len(c.line) > 0 || c.left > 0 || c.chunks != none)
	return n, err
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
	return !c.midway.Load() && c.heads.Load() == c.served.Load() && c.quiet()
}

// quiet tells whether nothing has come that is not read yet.
func (c *counted) quiet() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}
