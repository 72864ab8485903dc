package ingress

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// bytesLeft is a budget.
type bytesLeft struct{ atomic.Int64 }

func (b *bytesLeft) TryAcquire(n int64) bool {
	if b.Add(-n) < 0 {
		b.Add(n)
		return false
	}
	return true
}

func (b *bytesLeft) Release(n int64) { b.Add(n) }

func limits(room int64) BodyLimits {
	b := &bytesLeft{}
	b.Store(room)
	return BodyLimits{Timeout: patience, TimeoutPerByte: time.Millisecond, MaxBuffered: 10, MaxBytes: 20, Budget: b}
}

// first is what First returned, and what came after it.
type first struct {
	body, rest string
	long       bool
	err        error
	room       int64 // after Close
}

// A body is read whole up to what is held, and told to be long beyond; the budget has all back
// after it.
func TestFirst(t *testing.T) {
	stated := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }
	chunked := func(n int) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", n, strings.Repeat("c", n))
	}
	for name, tt := range map[string]struct {
		text string
		room int64
		want first
	}{
		"none":                   {"\r\n", 0, first{}},
		"stated":                 {stated(3) + "abc", 100, first{body: "abc"}},
		"stated, as held":        {stated(10) + "0123456789", 100, first{body: "0123456789"}},
		"stated, longer":         {stated(12) + "0123456789ab", 100, first{body: "0123456789", rest: "ab", long: true}},
		"stated, too long":       {stated(21), 100, first{err: &http.MaxBytesError{}}},
		"stated, no room":        {stated(3), 2, first{err: ErrBudgetExhausted}},
		"chunked":                {chunked(3), 100, first{body: "ccc"}},
		"chunked, longer":        {chunked(12), 100, first{body: "cccccccccc", rest: "cc", long: true}},
		"chunked, not even held": {chunked(3), 9, first{err: ErrBudgetExhausted}},
		"chunked, too long":      {chunked(21), 100, first{body: "cccccccccc", rest: "cccccccccc", long: true, err: &http.MaxBytesError{}}},
	} {
		t.Run(name, func(t *testing.T) {
			results := make(chan first, 1)
			_, addr := serving(t, Options{}, func(w http.ResponseWriter, r *http.Request, _ *Conn) {
				held := limits(tt.room)
				in := NewBody(w, r, held)
				body, long, err := in.ReadPrefix(r.ContentLength)
				got := first{body: string(body), long: long, err: err}
				if long {
					rest, err := io.ReadAll(in)
					got.rest, got.err = string(rest), err
				}
				in.Close()
				got.room = held.Budget.(*bytesLeft).Load()
				w.Header().Set("Connection", "close")
				results <- got
			})
			c := call(t, addr)
			c.send("POST / HTTP/1.1\r\nHost: x\r\n" + tt.text)
			got := await(t, results, "the body")
			var large, wantLarge *http.MaxBytesError
			assert.Equal(t, errors.As(got.err, &large), errors.As(tt.want.err, &wantLarge), got.err)
			if wantLarge == nil {
				assert.ErrorIs(t, got.err, tt.want.err)
			}
			assert.Equal(t, got.body, tt.want.body)
			assert.Equal(t, got.rest, tt.want.rest)
			assert.Equal(t, got.long, tt.want.long)
			assert.Equal(t, got.room, tt.room, "the budget has all back")
		})
	}
}

// A body whose client leaves, or does not keep the pace, breaks.
func TestBroke(t *testing.T) {
	for name, within := range map[string]time.Duration{"its client leaves": patience, "too slow": time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			came, broke := make(chan bool), make(chan error, 1)
			_, addr := serving(t, Options{}, func(w http.ResponseWriter, r *http.Request, _ *Conn) {
				held := limits(100)
				held.Timeout = within
				in := NewBody(w, r, held)
				defer in.Close()
				came <- true
				_, _, err := in.ReadPrefix(r.ContentLength)
				<-in.Failed()
				broke <- err
			})
			c := call(t, addr)
			c.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\na")
			await(t, came, "the request")
			if within == patience {
				assert.NilError(t, c.CloseWrite())
			}
			assert.Assert(t, await(t, broke, "the break") != nil)
		})
	}
}
