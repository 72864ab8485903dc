package ingress

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// ErrBudgetExhausted is the error of a body that does not fit in the memory budget.
var ErrBudgetExhausted = errors.New("the body does not fit in the memory budget")

// initialBodyBuffer is the first buffer size, in bytes, for a body that does not state its length.
const initialBodyBuffer = 2 << 10

// Budget limits the memory that the bodies of a process may take, in bytes.
type Budget interface {
	TryAcquire(n int64) bool // acquires n bytes, or none and returns false if they are not available
	Release(n int64)         // returns n bytes
}

// BodyLimits are the limits of size and time of a body.
type BodyLimits struct {
	Timeout        time.Duration // how long a client may take for the body,
	TimeoutPerByte time.Duration // plus this for each byte received
	MaxBuffered    int64         // longest part that ReadPrefix buffers, in bytes
	MaxBytes       int64         // longest body, in bytes
	Budget         Budget        // charged for the buffer of ReadPrefix until Close
}

// Body is the body of a request as it arrives. It enforces the minimum pace of BodyLimits.
type Body struct {
	source     io.Reader
	controller *http.ResponseController
	start      time.Time
	limits     BodyLimits
	failed     chan struct{} // closed when the body can no longer be completed
	acquired   int64         // bytes of the budget

	mu       sync.Mutex
	readDone sync.Cond // signaled when a Read ends
	reading  bool
	received int64 // bytes
	stopped  bool  // nothing more is read
	complete bool
}

// NewBody returns the body of r. Its time starts now. The caller must close it.
func NewBody(w http.ResponseWriter, r *http.Request, limits BodyLimits) *Body {
	in := &Body{source: http.MaxBytesReader(unwrapWriter(w), r.Body, limits.MaxBytes), controller: http.NewResponseController(w),
		start: time.Now(), limits: limits, failed: make(chan struct{})}
	in.readDone.L = &in.mu
	return in
}

// Failed returns a channel that is closed when the body can no longer be completed.
func (in *Body) Failed() <-chan struct{} { return in.failed }

// ReadPrefix reads up to MaxBuffered bytes of a body with the stated length, which is below 0 if it
// is unknown, and reports whether there is more. It fails with ErrBudgetExhausted if the buffer does
// not fit in the budget, and with an *http.MaxBytesError if the stated length exceeds MaxBytes.
func (in *Body) ReadPrefix(length int64) (body []byte, more bool, err error) {
	size := in.limits.MaxBuffered
	if length >= 0 {
		size = min(length, size)
	}
	if size == 0 {
		in.markComplete()
		return nil, false, nil
	}
	if length > in.limits.MaxBytes {
		return nil, false, &http.MaxBytesError{Limit: in.limits.MaxBytes}
	}
	if !in.limits.Budget.TryAcquire(size) {
		return nil, false, ErrBudgetExhausted
	}
	in.acquired = size
	if length >= 0 {
		body = make([]byte, size)
		if _, err = io.ReadFull(in, body); err != nil {
			return nil, false, err
		}
		if length == size {
			in.markComplete()
		}
		return body, length > size, nil
	}
	body = make([]byte, 0, min(initialBodyBuffer, size))
	for {
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			in.limits.Budget.Release(in.acquired - int64(cap(body)))
			in.acquired = int64(cap(body))
			return body, false, nil
		case err != nil:
			return nil, false, err
		case int64(len(body)) == size && size == in.limits.MaxBytes:
			return in.endOfLongest(body)
		case int64(len(body)) == size:
			return body, true, nil
		case len(body) == cap(body):
			body = append(make([]byte, 0, min(4*cap(body), int(size))), body...)
		}
	}
}

// endOfLongest reads the end of a body of MaxBytes, which must follow: any more makes it too long.
func (in *Body) endOfLongest(body []byte) ([]byte, bool, error) {
	_, err := io.ReadFull(in, make([]byte, 1))
	if err == io.EOF {
		return body, false, nil
	}
	return nil, false, err
}

// markComplete records that the body is complete.
func (in *Body) markComplete() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.markCompleteLocked()
}

// markCompleteLocked is markComplete for a caller that holds in.mu. It removes the read deadline,
// because a complete request may wait long for its response.
func (in *Body) markCompleteLocked() {
	in.complete, in.stopped = true, true
	in.controller.SetReadDeadline(time.Time{})
}

// Read implements io.Reader. It fails if the client is slower than the limits allow for the bytes
// received so far.
func (in *Body) Read(b []byte) (int, error) {
	in.mu.Lock()
	if in.stopped {
		in.mu.Unlock()
		return 0, io.ErrClosedPipe
	}
	in.controller.SetReadDeadline(in.start.Add(in.limits.Timeout + time.Duration(in.received)*in.limits.TimeoutPerByte))
	in.reading = true
	in.mu.Unlock()
	n, err := in.source.Read(b)
	in.mu.Lock()
	defer in.mu.Unlock()
	in.reading = false
	in.readDone.Broadcast()
	in.received += int64(n)
	switch {
	case in.stopped:
	case err == io.EOF:
		in.markCompleteLocked()
	case err != nil:
		in.stopped = true
		close(in.failed)
	}
	return n, err
}

// Stop ends reading, also a Read that waits, and reports whether the body was complete. It returns
// when no Read is in progress any longer: net/http would remove the deadline of a Read in progress
// and then wait for the rest of the body without one.
func (in *Body) Stop() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.stopped {
		in.stopped = true
		in.controller.SetReadDeadline(time.Unix(1, 0))
	}
	for in.reading {
		in.readDone.Wait()
	}
	return in.complete
}

// Close stops reading and returns the buffer to the budget.
func (in *Body) Close() {
	in.Stop()
	in.limits.Budget.Release(in.acquired)
	in.acquired = 0
}
