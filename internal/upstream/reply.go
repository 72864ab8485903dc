package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"pipitmux/internal/message"
)

const (
	// holdFor is how long the first bytes of an answer of unknown length are held, so that
	// a short one that breaks can still be sent for again.
	holdFor = 50 * time.Millisecond
	// framing is what chunks may add to each byte of a long body: one of a byte is six.
	framing = 8
	// pieceSize is what an answer of unknown length is read by.
	pieceSize = 16 << 10
)

// reply reads an answer: whole, up to what is held of one. Of a longer one it returns
// what has come, and passedOn: its connection then goes with the reply.
func (p *Pool) reply(ctx context.Context, c *conn, res *http.Response, unhook func() bool, again bool) (r *message.Reply, passedOn bool, err error) {
	n := res.ContentLength
	if n > message.MaxBodyBytes {
		return nil, false, errTooMuch
	}
	r = &message.Reply{Length: n}
	if n >= 0 && n <= message.MaxBuffered && p.opt.Budget.TryAcquire(n) {
		r.Release = func() { p.opt.Budget.Release(n) }
		r.Body = make([]byte, n)
		if _, err := io.ReadFull(res.Body, r.Body); err != nil {
			r.Close()
			return nil, false, err
		}
		return r, false, nil
	}
	c.left = maxHead + framing*message.MaxBodyBytes
	if n >= 0 {
		if !unhook() {
			return nil, false, context.Cause(ctx)
		}
		r.Rest = &rest{p: p, c: c, body: res.Body, again: again}
		return r, true, nil
	}
	return p.unstated(ctx, c, res, unhook, again)
}

// unstated reads an answer that does not state its length. It is passed on once more
// has come than is held, or has come for a while.
func (p *Pool) unstated(ctx context.Context, c *conn, res *http.Response, unhook func() bool, again bool) (*message.Reply, bool, error) {
	held := int64(message.MaxBuffered)
	if !p.opt.Budget.TryAcquire(held) {
		held = 0
	}
	r := &message.Reply{Length: message.UnknownLength, Release: func() { p.opt.Budget.Release(held) }}
	in := newPump(res.Body)
	var patience <-chan time.Time
	for {
		late := false
		select {
		case got := <-in.pieces:
			r.Body = append(r.Body, got.b...)
			if got.err == io.EOF {
				r.Length = int64(len(r.Body))
				return r, false, nil
			}
			if got.err != nil {
				r.Close()
				return nil, false, got.err
			}
			if patience == nil {
				t := time.NewTimer(holdFor)
				defer t.Stop()
				patience = t.C
			}
		case <-patience:
			late = true
		}
		if late || int64(len(r.Body)) > held {
			if !unhook() {
				close(in.quit)
				r.Close()
				return nil, false, context.Cause(ctx)
			}
			c.SetReadDeadline(time.Time{}) // a pump reads already
			r.Rest = &rest{p: p, c: c, body: in, pump: in, again: again}
			return r, true, nil
		}
	}
}

// rest is what follows of a long answer. Its connection is used again only where it was
// read to its end.
type rest struct {
	p     *Pool
	c     *conn
	body  io.Reader
	pump  *pump
	again bool
	whole bool
	came  int64
}

func (r *rest) Read(b []byte) (int, error) {
	r.c.SetReadDeadline(time.Now().Add(stallFor))
	n, err := r.body.Read(b)
	r.whole = err == io.EOF
	if r.came += int64(n); r.came > message.MaxBodyBytes {
		return 0, errTooMuch
	}
	return n, err
}

func (r *rest) Close() error {
	if r.pump != nil {
		close(r.pump.quit)
	}
	reusable := r.whole && r.again && r.c.in.Buffered() == 0
	r.p.give(r.c, reusable)
	return nil
}

// pump reads a body in a goroutine of its own, so that who waits for it can stop waiting.
type pump struct {
	pieces chan piece
	quit   chan struct{}
	left   piece
}

type piece struct {
	b   []byte
	err error
}

func newPump(body io.Reader) *pump {
	p := &pump{pieces: make(chan piece), quit: make(chan struct{})}
	go func() {
		// Two buffers in turn: who gets a piece is done with it when it asks for the next.
		var buf [2][]byte
		for i := 0; ; i = 1 - i {
			if buf[i] == nil {
				buf[i] = make([]byte, pieceSize)
			}
			n, err := body.Read(buf[i])
			select {
			case p.pieces <- piece{buf[i][:n], err}:
			case <-p.quit:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return p
}

func (p *pump) Read(b []byte) (int, error) {
	for len(p.left.b) == 0 {
		if p.left.err != nil {
			return 0, p.left.err
		}
		p.left = <-p.pieces
	}
	n := copy(b, p.left.b)
	p.left.b = p.left.b[n:]
	return n, nil
}
