package ingress

import (
	"bytes"
	"strconv"
	"sync/atomic"
)

// lineKept is how much of a head's line is looked at: names and lengths are shorter.
const lineKept = 64

// framing follows the requests of a connection as their bytes come: net/http drops
// Content-Length where Transfer-Encoding is there too, and so hides that the two may frame
// different requests, one in the body of another.
type framing struct {
	line   []byte // of the head that is coming, its first bytes
	begun  bool   // the head has a line
	length int64  // that it states, -1: none
	coded  bool   // it states a Transfer-Encoding
	left   int64  // bytes of a body that are still to come
	chunks part   // where in a coded body it stands
	doubt  atomic.Int64

	// Read by whoever looks for a session to shed.
	midway atomic.Bool  // part of a request has come
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

// came follows bytes that were read.
func (f *framing) came(b []byte) {
	for len(b) > 0 && f.doubt.Load() == 0 {
		b = f.follow(b)
	}
	f.midway.Store(f.begun || len(f.line) > 0 || f.left > 0 || f.chunks != none)
}

// follow takes a body's bytes or one line, and returns what is left.
func (f *framing) follow(b []byte) []byte {
	if f.left > 0 {
		n := min(f.left, int64(len(b)))
		f.left -= n
		return b[n:]
	}
	part, rest, whole := bytes.Cut(b, []byte{'\n'})
	f.line = append(f.line, part[:min(len(part), lineKept-len(f.line))]...)
	if !whole {
		return nil
	}
	line := bytes.TrimSuffix(f.line, []byte{'\r'})
	f.line = f.line[:0]
	switch {
	case f.chunks != none:
		f.chunk(line)
		return rest
	case len(line) > 0:
		f.field(line)
		return rest
	}
	heads := f.heads.Add(1)
	switch {
	case f.coded && f.length >= 0:
		f.doubt.Store(heads)
	case f.coded:
		f.chunks = size
	default:
		f.left = max(f.length, 0)
	}
	f.begun, f.length, f.coded = false, -1, false
	return rest
}

// chunk takes a line of a coded body. What can't be read puts what stands behind the request
// in doubt; net/http turns the request itself down.
func (f *framing) chunk(line []byte) {
	if f.chunks == trailer {
		if len(line) == 0 {
			f.chunks = none
		}
		return
	}
	digits, _, _ := bytes.Cut(line, []byte{';'})
	n, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 32)
	switch {
	case err != nil:
		f.doubt.Store(f.heads.Load() + 1)
	case n == 0:
		f.chunks = trailer
	default:
		f.left = int64(n) + int64(len("\r\n"))
	}
}

// field takes a line of a head. What net/http might read otherwise is in doubt.
func (f *framing) field(line []byte) {
	if !f.begun {
		f.begun = true // the request line
		return
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch {
	case line[0] == ' ' || line[0] == '\t': // the line before goes on
		f.doubt.Store(f.heads.Load() + 1)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.coded = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 62)
		if err != nil || f.length >= 0 && f.length != int64(n) {
			f.doubt.Store(f.heads.Load() + 1)
			return
		}
		f.length = int64(n)
	}
}

// doubtful tells, of each request that net/http hands out in turn, whether it may be
// framed otherwise than net/http took it, or stands behind one that may be.
func (f *framing) doubtful() bool {
	served, first := f.served.Add(1), f.doubt.Load()
	return first > 0 && served >= first
}
