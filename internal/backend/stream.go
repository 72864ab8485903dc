package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pipitmux/internal/message"
	"pipitmux/internal/relay"
)

const (
	// holdFor is how long the first bytes of an answer of unknown length are held, so that
	// a short one that breaks can still be sent for again.
	holdFor = 50 * time.Millisecond
	// stallFor ends a body on which a backend gives, or takes, nothing for so long.
	stallFor = 15 * time.Second
	// framing is what chunks may add to each byte of a long body: one of a byte is six.
	framing = 8
	// pieceSize is what an answer of unknown length is read by.
	pieceSize = 16 << 10
)

// errClient tells that a req's body broke on the client's side.
var errClient = errors.New("the client did not send its req whole")

// upload writes a req to a backend.
type upload struct {
	pool *Pool
	c    *conn
	call *message.Call
	at   atomic.Uint32 // Stage: WrittenWhole as soon as the backend may have it all

	mu  sync.Mutex
	err error // of the client, or of the backend's connection
}

func (u *upload) stage() Stage { return Stage(u.at.Load()) }

// cause returns what broke the writing, or else err, with which the reading ended.
func (u *upload) cause(err error) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if errors.Is(u.err, errClient) {
		return u.err
	}
	return err
}

// plain writes a req that is held whole.
func (u *upload) plain(left time.Duration) *Error {
	out := head(u.call, left)
	out.Write(u.call.Body)
	u.at.Store(uint32(PartlyWritten))
	n, err := u.c.Write(out.Bytes())
	if n == out.Len() {
		u.at.Store(uint32(WrittenWhole))
	}
	if err != nil {
		return &Error{u.stage(), err}
	}
	u.pool.opt.Relayed()
	return nil
}

// long writes a req as it comes. Its attempt has so long from the last byte on. Where it
// breaks, who reads the answer is woken.
func (u *upload) long(within time.Duration, timer *time.Timer) {
	if err := u.pass(within); err != nil {
		u.mu.Lock()
		u.err = err
		u.mu.Unlock()
		if errors.Is(err, errClient) {
			u.c.SetDeadline(time.Unix(1, 0))
		}
		return // else the backend's answer or its close is read
	}
	timer.Reset(within)
	u.pool.opt.Relayed()
}

func (u *upload) pass(within time.Duration) error {
	u.at.Store(uint32(PartlyWritten))
	written := int64(0)
	chunked := u.call.Length == message.Unknown
	var chunk bytes.Buffer
	put := func(b []byte) error {
		if written += int64(len(b)); written == u.call.Length {
			u.at.Store(uint32(WrittenWhole)) // with these bytes the backend may begin
		}
		u.c.SetWriteDeadline(time.Now().Add(stallFor))
		if !chunked {
			_, err := u.c.Write(b)
			return err
		}
		chunk.Reset()
		fmt.Fprintf(&chunk, "%x\r\n", len(b))
		chunk.Write(b)
		chunk.WriteString("\r\n")
		_, err := u.c.Write(chunk.Bytes())
		return err
	}
	if _, err := u.c.Write(head(u.call, within).Bytes()); err != nil {
		return err
	}
	if err := put(u.call.Body); err != nil {
		return err
	}
	if !u.call.Rest.Claim() {
		return fmt.Errorf("%w: another attempt has it", errClient)
	}
	toBackend, fromClient := relay.Pass(put, u.call.Rest)
	switch {
	case fromClient != nil:
		return fmt.Errorf("%w: %w", errClient, fromClient)
	case toBackend != nil:
		return toBackend
	case !chunked:
		if written != u.call.Length {
			return fmt.Errorf("%w: %d bytes of %d", errClient, written, u.call.Length)
		}
		return nil
	}
	u.at.Store(uint32(WrittenWhole))
	_, err := u.c.Write([]byte("0\r\n\r\n"))
	return err
}

// reply reads a 200 answer: whole, up to what is held of one. Of a longer one it returns
// what has come, and passedOn: its connection then goes with the reply.
func (p *Pool) reply(ctx context.Context, c *conn, res *http.Response, unhook func() bool, again bool) (r *message.Reply, passedOn bool, err error) {
	n := res.ContentLength
	if n > message.Longest {
		return nil, false, errTooMuch
	}
	r = &message.Reply{Length: n}
	if n >= 0 && n <= message.Held && p.opt.Budget.Take(n) {
		r.Release = func() { p.opt.Budget.Give(n) }
		r.Body = make([]byte, n)
		if _, err := io.ReadFull(res.Body, r.Body); err != nil {
			r.Close()
			return nil, false, err
		}
		return r, false, nil
	}
	c.left = maxHead + framing*message.Longest
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
	held := int64(message.Held)
	if !p.opt.Budget.Take(held) {
		held = 0
	}
	r := &message.Reply{Length: message.Unknown, Release: func() { p.opt.Budget.Give(held) }}
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
	if r.came += int64(n); r.came > message.Longest {
		return 0, errTooMuch
	}
	return n, err
}

func (r *rest) Close() error {
	if r.pump != nil {
		close(r.pump.quit)
	}
	reusable := r.whole && r.again && r.c.in.Buffered() == 0
	if reusable {
		r.c.SetDeadline(time.Time{})
	}
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
