// Package backend carries attempts to backends over HTTP/1.1 on plain
// connections, and keeps the idle connections of each.
package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"pipitmux/internal/core"
	"pipitmux/internal/counters"
	"pipitmux/internal/logging"
	"pipitmux/internal/message"
	"pipitmux/logic"
)

// maxHead is the most that an answer's head holds, with the interim answers
// ahead of it, and that the framing of a chunked body adds.
const maxHead = 16 << 10

// maxLoad is above any figure of a load report that means something.
const maxLoad = 1e9

// Stage is how far an attempt has come.
type Stage uint8

// The stages of an attempt.
const (
	NotConnected Stage = iota
	PartlyWritten
	WrittenWhole
	AnswerBegun
)

var stageNames = [...]string{"not connected", "partly written", "written whole", "answer begun"}

// Error is how an attempt broke and how far it had come.
type Error struct {
	Stage Stage
	Err   error
}

// Error gives the stage and the cause.
func (e *Error) Error() string { return stageNames[e.Stage] + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// result is what a broken attempt means. A backend begins a req at its last
// byte: what broke before then never ran, what broke later may have.
func (e *Error) result() logic.Result {
	switch {
	case errors.Is(e.Err, errWithdrawn), errors.Is(e.Err, errLeft), errors.Is(e.Err, errWindow):
		return logic.Moot
	case errors.Is(e.Err, context.Canceled), errors.Is(e.Err, errClient):
		return logic.Canceled
	case e.Stage < WrittenWhole:
		return logic.ConnectFailed
	case errors.Is(e.Err, context.DeadlineExceeded):
		return logic.TimedOut
	}
	return logic.Reset
}

// Start begins an attempt in a goroutine of its own. It does not block.
func (p *Pool) Start(a core.Attempt, done func(core.Ended)) (cancel func()) {
	ctx, end := context.WithCancelCause(context.Background())
	left := time.Until(a.Until)
	if a.Until.IsZero() {
		left = time.Hour // until the req's last byte, which comes sooner or never
	}
	timer := time.AfterFunc(left, func() { end(context.DeadlineExceeded) })
	g := p.gate(a, end)
	go func() {
		defer end(nil)
		defer timer.Stop()
		done(p.carry(ctx, a, timer, g))
	}()
	return func() { end(nil) }
}

// carry makes an attempt and always returns its end: a panic stops here, and is
// told as a broken connection that may have run.
func (p *Pool) carry(ctx context.Context, a core.Attempt, timer *time.Timer, g *gate) (end core.Ended) {
	defer p.forget(g)
	defer func() {
		if v := recover(); v != nil {
			p.log.Error("backend: panic", logging.Backend, a.Place.ID, logging.Cause, v, "stack", string(debug.Stack()))
			end = core.Ended{Result: logic.Reset, At: time.Now()}
		}
	}()
	end, err := p.exchange(ctx, a, timer, g)
	end.At, end.Left = time.Now(), errors.Is(err, errLeft)
	var broken *Error
	if errors.As(err, &broken) {
		end.Result = broken.result()
		p.count.Add("broken." + strings.ReplaceAll(stageNames[broken.Stage], " ", "-"))
	}
	return end
}

// exchange writes the req and reads the answer on one connection. Nothing is
// ever sent a second time here: that is for the module to decide.
func (p *Pool) exchange(ctx context.Context, a core.Attempt, timer *time.Timer, g *gate) (end core.Ended, err error) {
	call := a.Call.(*message.Call)
	if call.Rest != nil && call.Rest.Used() {
		end.Result = logic.Moot // what followed the held part has gone to another
		return end, nil
	}
	c, err := p.take(ctx, a.Place)
	if err != nil {
		return end, &Error{NotConnected, because(ctx, err)}
	}
	if err := p.begin(ctx, g); err != nil {
		p.give(c, !errors.Is(err, errWithdrawn)) // nothing was written on it
		return end, &Error{NotConnected, err}
	}
	reusable, passedOn := false, false
	// The time-out, or being called off, wakes whatever waits on the connection.
	unhook := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if !passedOn {
			p.give(c, unhook() && reusable)
		}
	}()
	// An answer without end would be read at the speed of the wire until the time-out: one
	// such head takes the processor from all other reqs.
	c.left = maxHead
	up := &upload{pool: p, c: c, call: call}
	if call.Rest == nil {
		if broken := up.plain(time.Until(a.Until)); broken != nil {
			return end, &Error{broken.Stage, because(ctx, broken.Err)}
		}
	} else {
		go up.long(a.Within, timer)
	}
	res, err := readHead(c.in)
	if err != nil {
		return end, &Error{up.stage(), because(ctx, up.cause(err))}
	}
	early := up.stage() != WrittenWhole // the backend did not wait for the whole req
	c.left = maxHead + message.Held
	// The body is not closed: that would first read an answer without end to its end. Its
	// connection is closed where it was not read whole.
	end.Report = p.report(res.Header.Get("X-Backend-Load"))
	framed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	again := !early && !res.Close && framed
	if res.StatusCode == http.StatusOK {
		var r *message.Reply
		if r, passedOn, err = p.reply(ctx, c, res, unhook, again); err != nil {
			return end, &Error{AnswerBegun, because(ctx, err)}
		}
		reusable = again && c.in.Buffered() == 0 // where it was read whole
		r.ContentType = res.Header.Get("Content-Type")
		end.Result, end.Reply = logic.OK, r
		return end, nil
	}
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, message.Held+1))
	switch {
	case err != nil:
		return end, &Error{AnswerBegun, because(ctx, err)}
	case n > message.Held:
		return end, &Error{AnswerBegun, errTooMuch}
	}
	// A close that the backend announced, or bytes beyond the answer, end the connection.
	reusable = again && c.in.Buffered() == 0
	end.Result = logic.Failed
	if (res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusGatewayTimeout) &&
		res.Header.Get("X-Unprocessed") == "1" {
		end.Result = logic.QueueFull
	}
	return end, nil
}

// What spoils an answer: the req has run, and nobody is served.
var errTooMuch = errors.New("the answer is longer than any may be")

// because names the time-out or the calling off that broke an attempt, where
// one of them did.
func because(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return fmt.Errorf("%w (%v)", cause, err)
	}
	return err
}

// head is a req's head, with room for the body behind it where that is held whole.
func head(c *message.Call, left time.Duration) *bytes.Buffer {
	b := &bytes.Buffer{}
	room := 512
	if c.Rest == nil {
		room += len(c.Body)
	}
	b.Grow(room)
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\nX-Time-Left: %du\r\n",
		c.Method, c.Target, c.Host, c.ID, max(left.Microseconds(), 1))
	if c.Key != "" {
		fmt.Fprintf(b, "Idempotency-Key: %s\r\n", c.Key)
	}
	if c.ContentType != "" {
		fmt.Fprintf(b, "Content-Type: %s\r\n", c.ContentType)
	}
	switch {
	case c.Length == message.Unknown:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case c.Length > 0 || c.Method != http.MethodGet:
		fmt.Fprintf(b, "Content-Length: %d\r\n", c.Length)
	}
	b.WriteString("\r\n")
	return b
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

// loadNames holds the names that a report's header has for what the settings
// call otherwise.
var loadNames = map[string]string{
	logic.ReportHeld: "inflight", "pending": "queue", "cpu_share": "util",
	"svc_ms": "latency_ms", "served_ps": "qps", "failed_ps": "eps",
}

// report puts the values of a load report in the order of the settings' fields.
func (p *Pool) report(text string) []float64 {
	if text == "" || len(p.opt.Fields) == 0 {
		return nil
	}
	values := map[string]float64{}
	for part := range strings.SplitSeq(text, ",") {
		name, v, _ := strings.Cut(part, "=")
		if n, err := strconv.ParseFloat(strings.TrimSpace(v), 64); err == nil && n >= 0 && n <= maxLoad {
			values[strings.TrimSpace(name)] = n
		}
	}
	out := make([]float64, len(p.opt.Fields))
	for i, f := range p.opt.Fields {
		v, ok := values[f]
		if !ok {
			if v, ok = values[loadNames[f]]; !ok {
				return nil // a value that did not come is not a 0
			}
		}
		out[i] = v
	}
	return out
}

// Options are the limits of a Pool.
type Options struct {
	ConnectTimeout time.Duration
	IdleFor        time.Duration // a connection is not kept idle for longer
	MaxConns       int           // open or opening, over all backends
	Fields         []string      // of a load report, as the settings name them
	Relayed        func()        // called for each attempt that is written whole
	Budget         *message.Budget
}

// dialer sends no keep-alives: an attempt's own time-out is far shorter.
func (o Options) dialer() net.Dialer { return net.Dialer{Timeout: o.ConnectTimeout, KeepAlive: -1} }

var _ core.Backends = (*Pool)(nil)

// New returns a Pool without connections.
func New(opt Options, count *counters.Set, log *slog.Logger) *Pool {
	if opt.Relayed == nil {
		opt.Relayed = func() {}
	}
	d := opt.dialer()
	return &Pool{opt: opt, count: count, log: log, dial: d.DialContext, restFor: restFor, idle: map[core.Place][]*conn{}, gates: map[core.Place]map[*gate]struct{}{}}
}
