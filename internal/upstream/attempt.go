package upstream

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"oakseam/internal/core"
	"oakseam/internal/logging"
	"oakseam/internal/message"
	"oakseam/logic"
)

// maxHeadBytes limits the head of a response, including the interim (1xx) responses before it.
// It also limits what the framing of a chunked body adds to a short response.
const maxHeadBytes = 16 << 10

// maxMisrouted is how many responses to other requests are discarded before an attempt's own.
const maxMisrouted = 2

// Start begins an attempt in its own goroutine and does not block. With a response that is passed on
// as it arrives the goroutine runs until its stream is closed.
func (p *Pool) Start(a core.Attempt, done func(core.AttemptResult)) (cancel func()) {
	ctx, cancelWith := context.WithCancelCause(context.Background())
	left := time.Until(a.Deadline)
	if a.Deadline.IsZero() {
		left = time.Hour // for the upload of the body, which ends sooner or fails; then Timeout applies
	}
	timer := time.AfterFunc(left, func() { cancelWith(context.DeadlineExceeded) })
	pending := p.registerPending(a, cancelWith)
	go func() {
		defer cancelWith(nil)
		defer timer.Stop()
		end, s := p.run(ctx, a, timer, pending)
		done(end)
		if s == nil {
			return
		}
		if closed := s.waitClosed(); end.Streaming {
			done(closed)
		}
	}()
	return func() { cancelWith(nil) }
}

// run makes an attempt and always returns its end, or the stream that it has begun. It recovers
// a panic and reports it as a reset connection, since the request may have run.
func (p *Pool) run(ctx context.Context, a core.Attempt, timer *time.Timer, pending *pendingAttempt) (end core.AttemptResult, s *stream) {
	defer p.unregisterPending(pending)
	defer func() {
		if v := recover(); v != nil {
			p.log.Error("upstream: panic", logging.Backend, a.Instance.ID, logging.Cause, v, "stack", string(debug.Stack()))
			end, s = core.AttemptResult{Result: logic.Reset, At: time.Now()}, nil
		}
	}()
	end, s, err := p.exchange(ctx, a, timer, pending)
	end.At, end.ClientGone = time.Now(), errors.Is(err, errClientGone)
	var broken *Error
	if errors.As(err, &broken) {
		end.Result = p.countBroken(broken)
		p.logBroken(ctx, a, broken)
	}
	return end, s
}

// logBroken logs how far a failed attempt got and why it failed.
func (p *Pool) logBroken(ctx context.Context, a core.Attempt, broken *Error) {
	call, ok := a.Call.(*message.Call)
	if !ok || !p.log.Enabled(ctx, slog.LevelDebug) {
		return
	}
	p.log.LogAttrs(ctx, slog.LevelDebug, "upstream: attempt failed", slog.String(logging.Request, call.ID),
		slog.String(logging.Backend, string(a.Instance.ID)), slog.String("stage", stageNames[broken.Stage]),
		slog.String(logging.Cause, broken.Err.Error()))
}

// countBroken counts a failed attempt by its stage and returns its result.
func (p *Pool) countBroken(broken *Error) logic.Result {
	p.count.Add("broken." + strings.ReplaceAll(stageNames[broken.Stage], " ", "-"))
	return broken.result()
}

// exchange writes the request and reads the response on one connection. It never retries: the
// decision module decides on that.
func (p *Pool) exchange(ctx context.Context, a core.Attempt, timer *time.Timer, pending *pendingAttempt) (end core.AttemptResult, s *stream, err error) {
	call := a.Call.(*message.Call)
	if call.Rest != nil && call.Rest.Claimed() {
		end.Result = logic.NotSent // another attempt has claimed the rest of the body
		return end, nil, nil
	}
	c, err := p.acquire(ctx, a.Instance)
	if err != nil {
		return end, nil, &Error{NotConnected, withCause(ctx, err)}
	}
	if err := p.confirmBegin(ctx, pending); err != nil {
		p.put(c, !errors.Is(err, errWithdrawn)) // nothing was written on it
		return end, nil, &Error{NotConnected, err}
	}
	reusable := false
	// A timeout or cancellation wakes whatever waits on the connection.
	stopWake := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if s == nil {
			p.put(c, stopWake() && reusable)
		}
	}()
	up := &upload{pool: p, conn: c, call: call, timer: timer, responseDeadline: a.AnswerDeadline}
	res, verdict, err := p.sendAndReadHead(ctx, a, up)
	if err != nil {
		return end, nil, err
	}
	end.Result, end.LoadReport = verdict.Result, verdict.Report
	r := newResponse(ctx, res, up, stopWake)
	if s, err = p.receiveBody(&end, r, res, verdict); err != nil {
		return end, nil, &Error{ResponseBegun, withCause(ctx, err)}
	}
	// The connection is not reused if the server announced a close, if bytes follow the response,
	// or if the response was not read completely.
	reusable = r.keepConn && s == nil && c.reader.Buffered() == 0
	return end, s, nil
}

// sendAndReadHead writes the request, or starts writing it while its body still arrives, and reads
// the head of the response. Its error is an *Error with the stage that was reached.
func (p *Pool) sendAndReadHead(ctx context.Context, a core.Attempt, up *upload) (*http.Response, Classification, error) {
	written := time.Now()
	var unsent error // why the request could not be written whole
	if up.call.Rest != nil {
		up.startStreaming(a.Timeout)
	} else if unsent = up.writeBuffered(time.Until(a.Deadline)); unsent != nil && up.stage() == NotConnected {
		p.recordBreak(up.conn, unsent, time.Since(written))
		return nil, Classification{}, &Error{NotConnected, withCause(ctx, unsent)}
	}
	// A server may answer and close before it has read the whole body: its answer is still there.
	res, verdict, err := p.readResponse(up.conn, up.call)
	if err != nil {
		err = cmp.Or(unsent, up.cause(err))
		p.recordBreak(up.conn, err, time.Since(written))
		return nil, Classification{}, &Error{up.stage(), withCause(ctx, err)}
	}
	return res, verdict, nil
}

// newResponse returns the response whose head was read, and bounds what may follow it on its
// connection. The body is not closed, because Close would first read an endless response to its end.
// The connection is closed instead if the body was not read completely.
func newResponse(ctx context.Context, res *http.Response, up *upload, stopWake func() bool) response {
	c := up.conn
	c.keepAlive = keepAliveTimeout(res.Header)
	c.readLimit = maxHeadBytes + message.MaxBuffered
	early := up.stage() != FullyWritten // the server responded before it had the whole request
	sized := up.call.Method == http.MethodHead || res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	r := response{
		ctx: ctx, upload: up, length: res.ContentLength, body: res.Body, stopWake: stopWake,
		keepConn: !early && !res.Close && sized && !c.gotMisrouted,
	}
	if !sized {
		r.body = &closeDelimitedBody{res.Body, up}
	}
	return r
}

// receiveBody sets the reply of a response that is passed on, and discards the body of any other. It
// returns the stream of a body that is passed on as it arrives.
func (p *Pool) receiveBody(end *core.AttemptResult, r response, res *http.Response, verdict Classification) (*stream, error) {
	passedOn := verdict.Result == logic.OK || verdict.PassThrough
	switch {
	case !passedOn:
		return nil, discardBody(r.body, message.MaxBuffered)
	case r.upload.call.Method == http.MethodHead:
		end.Reply, end.PassThrough = p.withHead(&message.Reply{Length: r.length}, res), verdict.Result != logic.OK
		return nil, nil
	case verdict.Result == logic.OK && verdict.Stream && r.length <= message.MaxBodyBytes:
		end.Streaming = true
		r.upload.conn.allowLongBody()
		s := p.newStream(r)
		end.Reply = p.withHead(&message.Reply{Length: r.length, Rest: s}, res)
		return s, nil
	}
	reply, s, err := p.readReply(r)
	if err != nil {
		return nil, err
	}
	end.Reply, end.PassThrough = p.withHead(reply, res), verdict.Result != logic.OK
	return s, nil
}

// readResponse reads and classifies the head of the response. It discards responses to other
// requests before it. Their connection is not used again.
func (p *Pool) readResponse(c *conn, call *message.Call) (res *http.Response, v Classification, err error) {
	for range maxMisrouted + 1 {
		// Without a limit an endless head would be read at line rate until the timeout, and the
		// CPU time would be missing for all other requests.
		c.readLimit = maxHeadBytes
		if res, err = readHead(c.reader, call.Method); err != nil {
			return nil, v, err
		}
		if v = p.codec.Classify(call, res); !v.Misrouted {
			return res, v, nil
		}
		p.count.Add("answer.foreign")
		c.gotMisrouted = true
		c.readLimit = maxHeadBytes + chunkOverheadFactor*message.MaxBodyBytes
		if err = discardBody(res.Body, message.MaxBodyBytes); err != nil {
			return nil, v, err
		}
	}
	return nil, v, errTooManyMisrouted
}

// discardBody reads a body to its end. It fails if the body is longer than limit bytes.
func discardBody(body io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err == nil && n > limit {
		err = errResponseTooLong
	}
	return err
}

// withHead adds content type, status and header of the response to a reply.
func (p *Pool) withHead(r *message.Reply, res *http.Response) *message.Reply {
	r.ContentType = res.Header.Get("Content-Type")
	if !p.opt.OmitHeader {
		r.Status, r.Header = res.StatusCode, res.Header
	}
	return r
}

// Errors that make a response useless although the request has run.
var (
	errResponseTooLong  = errors.New("the response exceeds the size limit")
	errTooManyMisrouted = errors.New("too many responses to other requests arrived before the own one")
)

// withCause wraps err in the timeout or cancellation that caused it, if there was one.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return fmt.Errorf("%w (%v)", cause, err)
	}
	return err
}

// readHead reads the head of the response to a request with the given method and skips interim (1xx)
// responses. The method decides whether a body follows.
func readHead(in *bufio.Reader, method string) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil || res.StatusCode >= 200 || res.StatusCode == http.StatusSwitchingProtocols {
			return res, err
		}
	}
}
