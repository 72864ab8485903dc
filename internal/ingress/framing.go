package ingress

import (
	"bytes"
	"strconv"
	"sync/atomic"
)

// maxLineBytes is how many bytes of a head line are examined. Field names and lengths are shorter.
const maxLineBytes = 64

// framing tracks the requests of a connection as their bytes arrive. net/http drops Content-Length
// if there is a Transfer-Encoding, and thereby hides that the two may frame different requests, one
// inside the body of another (request smuggling).
type framing struct {
	line            []byte       // first bytes of the present line
	headBegun       bool         // the request line of the present head has arrived
	length          int64        // Content-Length of the present head, -1: none
	transferEncoded bool         // the present head has a Transfer-Encoding
	bodyLeft        int64        // bytes of the present body or chunk that have not arrived
	chunkState      chunkState   // position in a chunked body
	ambiguousFrom   atomic.Int64 // number of the first request whose framing is ambiguous, 0: none

	// The following are also read by goroutines that look for a session to shed.
	partial atomic.Bool  // a part of a request has arrived
	heads   atomic.Int64 // complete heads
	handled atomic.Int64 // heads that net/http has passed to the handler
}

// chunkState is the position in a chunked body.
type chunkState uint8

const (
	notChunked   chunkState = iota
	chunkSize               // a line with the size of a chunk is next
	chunkTrailer            // trailer lines after the last chunk are next
)

// track processes bytes that were read.
func (f *framing) track(b []byte) {
	for len(b) > 0 && f.ambiguousFrom.Load() == 0 {
		b = f.consume(b)
	}
	f.partial.Store(f.headBegun || len(f.line) > 0 || f.bodyLeft > 0 || f.chunkState != notChunked)
}

// consume processes bytes of a body or one line, and returns the remaining bytes.
func (f *framing) consume(b []byte) []byte {
	if f.bodyLeft > 0 {
		n := min(f.bodyLeft, int64(len(b)))
		f.bodyLeft -= n
		return b[n:]
	}
	part, rest, complete := bytes.Cut(b, []byte{'\n'})
	f.line = append(f.line, part[:min(len(part), maxLineBytes-len(f.line))]...)
	if !complete {
		return nil
	}
	line := bytes.TrimSuffix(f.line, []byte{'\r'})
	f.line = f.line[:0]
	switch {
	case f.chunkState != notChunked:
		f.chunkLine(line)
		return rest
	case len(line) > 0:
		f.headLine(line)
		return rest
	}
	heads := f.heads.Add(1)
	switch {
	case f.transferEncoded && f.length >= 0:
		f.ambiguousFrom.Store(heads)
	case f.transferEncoded:
		f.chunkState = chunkSize
	default:
		f.bodyLeft = max(f.length, 0)
	}
	f.headBegun, f.length, f.transferEncoded = false, -1, false
	return rest
}

// chunkLine processes a size or trailer line of a chunked body. An invalid line makes what follows
// the request ambiguous. net/http rejects the request itself.
func (f *framing) chunkLine(line []byte) {
	if f.chunkState == chunkTrailer {
		if len(line) == 0 {
			f.chunkState = notChunked
		}
		return
	}
	digits, _, _ := bytes.Cut(line, []byte{';'})
	n, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 32)
	switch {
	case err != nil:
		f.ambiguousFrom.Store(f.heads.Load() + 1)
	case n == 0:
		f.chunkState = chunkTrailer
	default:
		f.bodyLeft = int64(n) + int64(len("\r\n"))
	}
}

// headLine processes a line of a head. The request is ambiguous if net/http might interpret the
// line in another way.
func (f *framing) headLine(line []byte) {
	if !f.headBegun {
		f.headBegun = true // the request line
		return
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch {
	case line[0] == ' ' || line[0] == '\t': // continues the line before (obsolete line folding)
		f.ambiguousFrom.Store(f.heads.Load() + 1)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.transferEncoded = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 62)
		if err != nil || f.length >= 0 && f.length != int64(n) {
			f.ambiguousFrom.Store(f.heads.Load() + 1)
			return
		}
		f.length = int64(n)
	}
}

// ambiguous reports for the next request that net/http passes to the handler whether its framing may
// differ from what net/http took it for, or whether it follows such a request. It is called once
// for each request.
func (f *framing) ambiguous() bool {
	number, first := f.handled.Add(1), f.ambiguousFrom.Load()
	return first > 0 && number >= first
}
