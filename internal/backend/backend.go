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
	"pipitmux/logic"
)

// MaxBody is the most that a body holds, either way.
const MaxBody = 64 << 10

// maxHead is the most that an answer's head holds, with the interim answers
// ahead of it, and that the framing of a chunked body adds.
const maxHead = 16 << 10

// maxLoad is above any figure of a load report that means something.
const maxLoad = 1e9

// Call is what goes to a backend, in the bytes that came from the client.
type Call struct {
	Method, Target, Host string
	ID, Key, ContentType string
	Body                 []byte
}

// Reply is a backend's 200 answer.
type Reply struct {
	ContentType string
	Body        []byte
}

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
	case errors.Is(e.Err, context.Canceled):
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
	ctx, stop := context.WithDeadline(context.Background(), a.Until)
	go func() {
		defer stop()
		done(p.carry(ctx, a))
	}()
	return stop
}

// carry makes an attempt and always returns its end: a panic stops here, and is
// told as a broken connection that may have run.
func (p *Pool) carry(ctx context.Context, a core.Attempt) (end core.Ended) {
	defer func() {
		if v := recover(); v != nil {
			p.log.Error("backend: panic", logging.Backend, a.Place.ID, logging.Cause, v, "stack", string(debug.Stack()))
			end = core.Ended{Result: logic.Reset, At: time.Now()}
		}
	}()
	end, err := p.exchange(ctx, a)
	end.At = time.Now()
	var broken *Error
	if errors.As(err, &broken) {
		end.Result = broken.result()
		p.count.Add("broken." + strings.ReplaceAll(stageNames[broken.Stage], " ", "-"))
	}
	return end
}

// exchange writes the req and reads the answer on one connection. Nothing is
// ever sent a second time here: that is for the module to decide.
func (p *Pool) exchange(ctx context.Context, a core.Attempt) (end core.Ended, err error) {
	c, err := p.take(ctx, a.Place)
	if err != nil {
		return end, &Error{NotConnected, because(ctx, err)}
	}
	reusable := false
	// The time-out, or being called off, wakes whatever waits on the connection.
	unhook := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer func() { p.give(c, unhook() && reusable) }()

	out := head(a.Call.(*Call), time.Until(a.Until))
	if n, err := c.Write(out); err != nil {
		if n == len(out) {
			return end, &Error{WrittenWhole, because(ctx, err)}
		}
		return end, &Error{PartlyWritten, because(ctx, err)}
	}
	p.relayed()
	// An answer without end would be read at the speed of the wire until the time-out: one
	// such head takes the processor from all other reqs.
	c.left = maxHead
	res, err := readHead(c.in)
	if err != nil {
		return end, &Error{WrittenWhole, because(ctx, err)}
	}
	c.left = maxHead + MaxBody
	// The body is not closed: that would first read an answer without end to its end. Its
	// connection is closed where it was not read whole.
	end.Report = p.report(res.Header.Get("X-Backend-Load"))
	if res.ContentLength > MaxBody {
		return end, &Error{AnswerBegun, errTooMuch}
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxBody+1))
	switch {
	case err != nil:
		return end, &Error{AnswerBegun, because(ctx, err)}
	case len(body) > MaxBody:
		return end, &Error{AnswerBegun, errTooMuch}
	case res.ContentLength < 0 && len(res.TransferEncoding) == 0:
		return end, &Error{AnswerBegun, errUnframed} // whole or cut off: nobody can tell
	}
	// A close that the backend announced, or bytes beyond the answer, end the connection.
	reusable = !res.Close && c.in.Buffered() == 0
	switch {
	case res.StatusCode == http.StatusOK:
		end.Result, end.Reply = logic.OK, &Reply{ContentType: res.Header.Get("Content-Type"), Body: body}
	case (res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusGatewayTimeout) &&
		res.Header.Get("X-Unprocessed") == "1":
		end.Result = logic.QueueFull
	default:
		end.Result = logic.Failed
	}
	return end, nil
}

// What spoils an answer that can be read: the req has run, and nobody is served.
var (
	errTooMuch  = errors.New("the answer is longer than any may be")
	errUnframed = errors.New("the answer does not tell its length")
)

// because names the time-out or the calling off that broke an attempt, where
// one of them did.
func because(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return fmt.Errorf("%w (%v)", cause, err)
	}
	return err
}

func head(c *Call, left time.Duration) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(c.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\nX-Time-Left: %du\r\n",
		c.Method, c.Target, c.Host, c.ID, max(left.Microseconds(), 1))
	if c.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", c.Key)
	}
	if c.ContentType != "" {
		fmt.Fprintf(&b, "Content-Type: %s\r\n", c.ContentType)
	}
	if len(c.Body) > 0 || c.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.Body))
	}
	b.WriteString("\r\n")
	b.Write(c.Body)
	return b.Bytes()
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
}

// dialer sends no keep-alives: an attempt's own time-out is far shorter.
func (o Options) dialer() net.Dialer { return net.Dialer{Timeout: o.ConnectTimeout, KeepAlive: -1} }

var _ core.Backends = (*Pool)(nil)

// New returns a Pool without connections.
func New(opt Options, count *counters.Set, log *slog.Logger) *Pool {
	relayed := opt.Relayed
	if relayed == nil {
		relayed = func() {}
	}
	return &Pool{opt: opt, relayed: relayed, count: count, log: log, idle: map[core.Place][]*conn{}}
}
