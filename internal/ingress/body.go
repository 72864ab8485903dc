package ingress

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// ErrBudgetExhausted tells that a body does not fit in the budget.
var ErrBudgetExhausted = errors.New("no room for the body")

// grownFrom is the first buffer, in bytes, of a body whose length is not stated.
const grownFrom = 2 << 10

// Budget is how many bytes the bodies of a process may take.
type Budget interface {
	TryAcquire(n int64) bool // takes bytes, or none and returns false where they don't fit
	Release(n int64)         // gives bytes back
}

// BodyLimits are what a body is held to.
type BodyLimits struct {
	Timeout        time.Duration // how long a client may take for it,
	TimeoutPerByte time.Duration // and so much more for each byte that has come
	MaxBuffered    int64         // the longest part that First reads, in bytes
	MaxBytes       int64         // the longest body, in bytes
	Budget         Budget        // what First takes counts here until Close
}

// Body is a request's body as it comes, at the pace that a client is held to.
type Body struct {
	src     io.Reader
	control *http.ResponseController
	began   time.Time
	limits  BodyLimits
	broke   chan struct{} // closed where the body can't come whole any more
	taken   int64         // of the budget

	mu      sync.Mutex
	read    sync.Cond // told when a Read ends
	reading bool
	got     int64
	over    bool // nothing more is read
	whole   bool
}

// NewBody returns the body of r, whose pace counts from now. It has to be closed.
func NewBody(w http.ResponseWriter, r *http.Request, limits BodyLimits) *Body {
	in := &Body{src: http.MaxBytesReader(unwrapped(w), r.Body, limits.MaxBytes), control: http.NewResponseController(w),
		began: time.Now(), limits: limits, broke: make(chan struct{})}
	in.read.L = &in.mu
	return in
}

// Failed is closed where the body can't come whole any more.
func (in *Body) Failed() <-chan struct{} { return in.broke }

// ReadPrefix reads a body of a stated length, or of an unknown one (below 0), up to what is held,
// and tells whether there is more of it. It fails with ErrNoRoom where there is no room for
// that, and with an *http.MaxBytesError where the stated length is over the longest.
func (in *Body) ReadPrefix(length int64) (body []byte, long bool, err error) {
	size := in.limits.MaxBuffered
	if length >= 0 {
		size = min(length, size)
	}
	if size == 0 {
		in.settle()
		return nil, false, nil
	}
	if length > in.limits.MaxBytes {
		return nil, false, &http.MaxBytesError{Limit: in.limits.MaxBytes}
	}
	if !in.limits.Budget.TryAcquire(size) {
		return nil, false, ErrBudgetExhausted
	}
	in.taken = size
	if length >= 0 {
		body = make([]byte, size)
		if _, err = io.ReadFull(in, body); err != nil {
			return nil, false, err
		}
		if length == size {
			in.settle()
		}
		return body, length > size, nil
	}
	body = make([]byte, 0, min(grownFrom, size))
	for {
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			in.limits.Budget.Release(in.taken - int64(cap(body)))
			in.taken = int64(cap(body))
			return body, false, nil
		case err != nil:
			return nil, false, err
		case int64(len(body)) == size:
			return body, true, nil
		case len(body) == cap(body):
			body = append(make([]byte, 0, min(4*cap(body), int(size))), body...)
		}
	}
}

// settle notes that the body is whole.
func (in *Body) settle() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.end()
}

// end is settle with in.mu held. A request that has come may wait long for its answer.
func (in *Body) end() {
	in.whole, in.over = true, true
	in.control.SetReadDeadline(time.Time{})
}

// Read reads within the time that the client has for what came so far.
func (in *Body) Read(b []byte) (int, error) {
	in.mu.Lock()
	if in.over {
		in.mu.Unlock()
		return 0, io.ErrClosedPipe
	}
	in.control.SetReadDeadline(in.began.Add(in.limits.Timeout + time.Duration(in.got)*in.limits.TimeoutPerByte))
	in.reading = true
	in.mu.Unlock()
	n, err := in.src.Read(b)
	in.mu.Lock()
	defer in.mu.Unlock()
	in.reading = false
	in.read.Broadcast()
	in.got += int64(n)
	switch {
	case in.over:
	case err == io.EOF:
		in.end()
	case err != nil:
		in.over = true
		close(in.broke)
	}
	return n, err
}

// Stop ends the reading, also one that waits, and tells whether the body had come whole.
// It returns when nobody reads any more: net/http would lift the time bound of a Read that
// it finds under way, and then wait for what is left of the body without one.
func (in *Body) Stop() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.over {
		in.over = true
		in.control.SetReadDeadline(time.Unix(1, 0))
	}
	for in.reading {
		in.read.Wait()
	}
	return in.whole
}

// Close stops, and gives back what was taken of the budget.
func (in *Body) Close() {
	in.Stop()
	in.limits.Budget.Release(in.taken)
	in.taken = 0
}
