package session

import (
	"io"
	"net/http"
	"sync"
	"time"

	"pipitmux/internal/message"
)

// incoming is a req's body as it comes, at the pace that a client is held to.
type incoming struct {
	src     io.Reader
	control *http.ResponseController
	began   time.Time
	within  time.Duration
	broke   chan struct{} // closed where the body can't come whole any more
	budget  *message.Budget
	taken   int64 // of the budget

	mu      sync.Mutex
	read    sync.Cond // told when a Read ends
	reading bool
	got     int64
	over    bool // nothing more is read
	whole   bool
}

// first reads a body of a stated length, or of an unknown one, up to what is held, and
// tells whether there is more of it. It fails with errNoRoom where there is no room for
// that.
func (in *incoming) first(length int64) (body []byte, long bool, err error) {
	size := int64(message.Held)
	if length >= 0 {
		size = min(length, size)
	}
	if size == 0 {
		in.settle()
		return nil, false, nil
	}
	if length > message.Longest {
		return nil, false, &http.MaxBytesError{Limit: message.Longest}
	}
	if !in.budget.Take(size) {
		return nil, false, errNoRoom
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
	body = make([]byte, 0, 2<<10)
	for {
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			in.budget.Give(in.taken - int64(cap(body)))
			in.taken = int64(cap(body))
			return body, false, nil
		case err != nil:
			return nil, false, err
		case len(body) == message.Held:
			return body, true, nil
		case len(body) == cap(body):
			body = append(make([]byte, 0, min(4*cap(body), message.Held)), body...)
		}
	}
}

// settle notes that the body is whole.
func (in *incoming) settle() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.end()
}

// end is settle with in.mu held. A req that has come may wait long for its answer.
func (in *incoming) end() {
	in.whole, in.over = true, true
	in.control.SetReadDeadline(time.Time{})
}

// Read reads within the time that the client has for what came so far.
func (in *incoming) Read(b []byte) (int, error) {
	in.mu.Lock()
	if in.over {
		in.mu.Unlock()
		return 0, io.ErrClosedPipe
	}
	in.control.SetReadDeadline(in.began.Add(in.within + time.Duration(in.got)*perByte))
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

// stop ends the reading, also one that waits, and tells whether the body had come whole.
// It returns when nobody reads any more: net/http would lift the time bound of a Read that
// it finds under way, and then wait for what is left of the body without one.
func (in *incoming) stop() bool {
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

// close stops, and gives back what was taken of the budget.
func (in *incoming) close() {
	in.stop()
	in.budget.Give(in.taken)
	in.taken = 0
}
