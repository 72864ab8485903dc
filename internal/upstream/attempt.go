package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"pipitmux/internal/core"
	"pipitmux/internal/logging"
	"pipitmux/internal/message"
	"pipitmux/logic"
)

// maxHead is the most that an answer's head holds, with the interim answers
// ahead of it, and that the framing of a chunked body adds.
const maxHead = 16 << 10

// maxForeign is how many answers to other requests are dropped ahead of an attempt's own.
const maxForeign = 2

// Start begins an attempt in a goroutine of its own. It does not block. The goroutine of a
// streamed answer stays until that is closed.
func (p *Pool) Start(a core.Attempt, done func(core.AttemptResult)) (cancel func()) {
	ctx, end := context.WithCancelCause(context.Background())
	left := time.Until(a.Deadline)
	if a.Deadline.IsZero() {
		left = time.Hour // until the request's last byte, which comes sooner or never
	}
	timer := time.AfterFunc(left, func() { end(context.DeadlineExceeded) })
	g := p.gate(a, end)
	go func() {
		defer end(nil)
		defer timer.Stop()
		e, s := p.carry(ctx, a, timer, g)
		done(e)
		if s != nil {
			done(s.wait())
		}
	}()
	return func() { end(nil) }
}

// carry makes an attempt and always returns its end, or the stream that it has begun: a
// panic stops here, and is told as a broken connection that may have run.
func (p *Pool) carry(ctx context.Context, a core.Attempt, timer *time.Timer, g *gate) (end core.AttemptResult, s *stream) {
	defer p.forget(g)
	defer func() {
		if v := recover(); v != nil {
			p.log.Error("upstream: panic", logging.Backend, a.Instance.ID, logging.Cause, v, "stack", string(debug.Stack()))
			end, s = core.AttemptResult{Result: logic.Reset, At: time.Now()}, nil
		}
	}()
	end, s, err := p.exchange(ctx, a, timer, g)
	end.At, end.ClientGone = time.Now(), errors.Is(err, errLeft)
	var broken *Error
	if errors.As(err, &broken) {
		end.Result = p.counted(broken)
	}
	return end, s
}

// counted counts a broken attempt, and tells what it means.
func (p *Pool) counted(broken *Error) logic.Result {
	p.count.Add("broken." + strings.ReplaceAll(stageNames[broken.Stage], " ", "-"))
	return broken.result()
}

// exchange writes the request and reads the answer on one connection. Nothing is
// ever sent a second time here: that is for the module to decide.
func (p *Pool) exchange(ctx context.Context, a core.Attempt, timer *time.Timer, g *gate) (end core.AttemptResult, s *stream, err error) {
	call := a.Call.(*message.Call)
	if call.Rest != nil && call.Rest.Claimed() {
		end.Result = logic.NotSent // what followed the held part has gone to another
		return end, nil, nil
	}
	c, err := p.take(ctx, a.Instance)
	if err != nil {
		return end, nil, &Error{NotConnected, because(ctx, err)}
	}
	if err := p.begin(ctx, g); err != nil {
		p.give(c, !errors.Is(err, errWithdrawn)) // nothing was written on it
		return end, nil, &Error{NotConnected, err}
	}
	reusable, passedOn := false, false
	// The time-out, or being called off, wakes whatever waits on the connection.
	unhook := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if !passedOn {
			p.give(c, unhook() && reusable)
		}
	}()
	written := time.Now()
	up := &upload{pool: p, c: c, call: call}
	if call.Rest == nil {
		if broken := up.plain(time.Until(a.Deadline)); broken != nil {
			p.broke(c, broken.Err, time.Since(written))
			return end, nil, &Error{broken.Stage, because(ctx, broken.Err)}
		}
	} else {
		go up.long(a.Timeout, timer)
	}
	res, verdict, err := p.judged(c, call)
	if err != nil {
		p.broke(c, err, time.Since(written))
		return end, nil, &Error{up.stage(), because(ctx, up.cause(err))}
	}
	c.keep = stated(res.Header)
	early := up.stage() != FullyWritten // the server did not wait for the whole request
	c.left = maxHead + message.MaxBuffered
	// The body is not closed: that would first read an answer without end to its end. Its
	// connection is closed where it was not read whole.
	end.Result, end.LoadReport = verdict.Result, verdict.Report
	framed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	again := !early && !res.Close && framed && !c.stray
	switch {
	case verdict.Result == logic.OK && verdict.Stream && res.ContentLength <= message.MaxBodyBytes:
		passedOn, end.Streaming = true, true
		s = p.stream(ctx, up, res, unhook, again)
		end.Reply = p.dressed(&message.Reply{Length: res.ContentLength, Rest: s}, res)
		return end, s, nil
	case verdict.Result == logic.OK || verdict.PassThrough:
		var r *message.Reply
		if r, passedOn, err = p.reply(ctx, c, res, unhook, again); err != nil {
			return end, nil, &Error{ResponseBegun, because(ctx, err)}
		}
		end.Reply, end.PassThrough = p.dressed(r, res), verdict.Result != logic.OK
	default:
		if err := drop(res.Body, message.MaxBuffered); err != nil {
			return end, nil, &Error{ResponseBegun, because(ctx, err)}
		}
	}
	// A close that the server announced, or bytes beyond the answer, end the connection,
	// and so does an answer that was not read whole.
	reusable = again && !passedOn && c.in.Buffered() == 0
	return end, nil, nil
}

// judged reads the head of the answer. Answers to other requests ahead of it are dropped, and
// their connection is not used again.
func (p *Pool) judged(c *conn, call *message.Call) (res *http.Response, v Classification, err error) {
	for range maxForeign + 1 {
		// An answer without end would be read at the speed of the wire until the time-out: one
		// such head takes the processor from all other requests.
		c.left = maxHead
		if res, err = readHead(c.in); err != nil {
			return nil, v, err
		}
		if v = p.codec.Classify(call, res); !v.Misrouted {
			return res, v, nil
		}
		p.count.Add("answer.foreign")
		c.stray = true
		c.left = maxHead + framing*message.MaxBodyBytes
		if err = drop(res.Body, message.MaxBodyBytes); err != nil {
			return nil, v, err
		}
	}
	return nil, v, errForeign
}

// drop reads a body to its end, which has to come within so many bytes.
func drop(body io.Reader, most int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, most+1))
	if err == nil && n > most {
		err = errTooMuch
	}
	return err
}

// dressed gives a reply what the answer's head says.
func (p *Pool) dressed(r *message.Reply, res *http.Response) *message.Reply {
	r.ContentType = res.Header.Get("Content-Type")
	if !p.opt.OmitHeader {
		r.Status, r.Header = res.StatusCode, res.Header
	}
	return r
}

// What spoils an answer: the request has run, and nobody is served.
var (
	errTooMuch = errors.New("the answer is longer than any may be")
	errForeign = errors.New("answers to other reqs came in the place of its own")
)

// because names the time-out or the calling off that broke an attempt, where
// one of them did.
func because(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return fmt.Errorf("%w (%v)", cause, err)
	}
	return err
}

// readHead reads the head of the answer and passes over interim ones.
func readHead(in *bufio.Reader) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(in, nil)
		if err != nil || res.StatusCode >= 200 || res.StatusCode == http.StatusSwitchingProtocols {
			return res, err
		}
	}
}
