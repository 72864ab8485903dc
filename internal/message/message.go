// Package message defines the requests and replies that pass between the client side and the
// upstream side through package core, and the memory budget of their bodies. It must not depend on
// the packages that read or write them.
package message

import (
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// MaxBuffered is the longest body, in bytes, that is buffered completely and can be retried.
	MaxBuffered = 64 << 10
	// MaxBodyBytes is the longest body of a request or reply, in bytes.
	MaxBodyBytes = 32 << 20
	// UnknownLength is the length of a body that does not state it.
	UnknownLength = -1
)

// Call is a request as it was received from the client.
type Call struct {
	Method      string
	Target      string
	Host        string
	ID          string
	Key         string // idempotency key
	ContentType string
	Header      http.Header // further header fields to pass on; nil: none
	Body        []byte      // complete, or the first part if there is a Rest
	Length      int64       // of the complete body, or UnknownLength
	Rest        *Stream     // what follows Body; nil: nothing
	ClientGone  func() bool // reports whether the client has closed its connection; nil: unknown
}

// Reply is a server's response.
type Reply struct {
	Status      int         // 0 means 200
	Header      http.Header // as received, including framing and connection fields; nil: no header is passed on
	ContentType string
	Body        []byte        // complete, or the first part if there is a Rest
	Length      int64         // of the complete body, or UnknownLength
	Rest        io.ReadCloser // what follows Body; nil: nothing
	Release     func()        // returns the bytes of Body to the budget; nil: none are acquired
}

// Close releases the resources of the reply. Its receiver must call it exactly once. The Rest of a
// streamed reply may in addition be closed at any time and from any goroutine.
func (r *Reply) Close() error {
	if r.Release != nil {
		r.Release()
	}
	if r.Rest != nil {
		return r.Rest.Close()
	}
	return nil
}

// Stream is the part of a request body that has not arrived yet. Only one attempt may read it.
type Stream struct {
	source     io.Reader
	onComplete func() // called at the end of the body
	claimed    atomic.Bool
}

// NewStream returns a Stream that reads from source and calls onComplete at its end.
func NewStream(source io.Reader, onComplete func()) *Stream {
	return &Stream{source: source, onComplete: onComplete}
}

// Claim assigns the stream to the calling attempt. It returns false if another attempt has it.
func (s *Stream) Claim() bool { return s.claimed.CompareAndSwap(false, true) }

// Claimed reports whether an attempt has claimed the stream. No other attempt can send the body.
func (s *Stream) Claimed() bool { return s.claimed.Load() }

// Read reads from the client. The attempt that has claimed the stream must read up to the first
// error.
func (s *Stream) Read(b []byte) (int, error) {
	n, err := s.source.Read(b)
	if err == io.EOF {
		s.onComplete()
	}
	return n, err
}

// Budget limits the memory, in bytes, that the bodies in a process may take.
type Budget struct {
	available atomic.Int64
	limit     atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	b := &Budget{}
	b.SetLimit(limit)
	return b
}

// SetLimit changes the size of the budget. Bytes that are acquired stay acquired.
func (b *Budget) SetLimit(limit int64) { b.available.Add(limit - b.limit.Swap(limit)) }

// TryAcquire acquires n bytes and reports whether they were available. If not, it acquires none.
func (b *Budget) TryAcquire(n int64) bool {
	if b.available.Add(-n) < 0 {
		b.available.Add(n)
		return false
	}
	return true
}

// Release returns n bytes to the budget.
func (b *Budget) Release(n int64) { b.available.Add(n) }
