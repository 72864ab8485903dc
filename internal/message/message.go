// Package message holds the forms of a req and of a reply as front and backends hand
// them to each other through the core, and the budget of bytes that their bodies take.
// It must not know who reads or writes them.
package message

import (
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// MaxBuffered is the longest body that is held whole, and so may be sent again.
	MaxBuffered = 64 << 10
	// MaxBodyBytes is the longest body, either way.
	MaxBodyBytes = 32 << 20
	// UnknownLength is a length that is not stated.
	UnknownLength = -1
)

// Call is a req in the bytes that came from the client.
type Call struct {
	Method, Target, Host string
	ID, Key, ContentType string
	Header               http.Header // further header to hand on, nil: none
	Body                 []byte      // whole, or where there is a Rest its first part
	Length               int64       // of the whole body, or Unknown
	Rest                 *Stream     // what follows Body, nil: nothing
	ClientGone           func() bool // tells whether the client has left by now, nil: not known
}

// Reply is a server's answer.
type Reply struct {
	Status      int         // 0: 200
	Header      http.Header // as the server gave it, framing and connection included; nil: nothing is handed on
	ContentType string
	Body        []byte        // whole, or where there is a Rest its first part
	Length      int64         // of the whole body, or Unknown
	Rest        io.ReadCloser // what follows Body, nil: nothing
	Release     func()        // gives back what Body takes of the budget, nil: nothing
}

// Close ends the reply. Who gets one closes it once. The Rest of a streamed answer may be
// closed besides, at any time and from any goroutine.
func (r *Reply) Close() error {
	if r.Release != nil {
		r.Release()
	}
	if r.Rest != nil {
		return r.Rest.Close()
	}
	return nil
}

// Stream is the part of a req's body that has not come yet. One attempt may read it.
type Stream struct {
	src   io.Reader
	whole func() // called with the last byte
	used  atomic.Bool
}

// NewStream returns a Stream of what a reader brings. It calls whole with the end.
func NewStream(src io.Reader, whole func()) *Stream { return &Stream{src: src, whole: whole} }

// Claim gives the stream to an attempt, unless another has it.
func (s *Stream) Claim() bool { return s.used.CompareAndSwap(false, true) }

// Claimed tells whether an attempt has it: no other can send the body.
func (s *Stream) Claimed() bool { return s.used.Load() }

// Read reads what the client sends. Who has claimed the stream reads it to its first error.
func (s *Stream) Read(b []byte) (int, error) {
	n, err := s.src.Read(b)
	if err == io.EOF {
		s.whole()
	}
	return n, err
}

// Budget is how many bytes bodies may take in a process.
type Budget struct{ left, most atomic.Int64 }

// NewBudget returns a budget of so many bytes.
func NewBudget(most int64) *Budget {
	b := &Budget{}
	b.SetLimit(most)
	return b
}

// SetLimit changes the budget. What is taken stays taken.
func (b *Budget) SetLimit(most int64) { b.left.Add(most - b.most.Swap(most)) }

// TryAcquire takes bytes, or none and returns false where they don't fit.
func (b *Budget) TryAcquire(n int64) bool {
	if b.left.Add(-n) < 0 {
		b.left.Add(n)
		return false
	}
	return true
}

// Release gives bytes back.
func (b *Budget) Release(n int64) { b.left.Add(n) }
