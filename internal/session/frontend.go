// Package session is the frontend for clients: a node's requests and answers, on the
// connections of package ingress.
package session

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"oakseam/internal/core"
	"oakseam/internal/counters"
	"oakseam/internal/ingress"
	"oakseam/internal/lifecycle"
	"oakseam/internal/message"
	"oakseam/internal/metrics"
	"oakseam/logic"
)

const (
	// writeTimeout is how long a client may accept nothing of its answer.
	writeTimeout = 15 * time.Second
	// finalAnswerMargin is how long before its end a node that is told to end answers what
	// is open.
	finalAnswerMargin = 70 * time.Millisecond
	// maxHeaderBytes is the longest request head.
	maxHeaderBytes = 16 << 10
	// SessionOverflow is how many connections beyond the limit are accepted while others
	// are shed.
	SessionOverflow = 32
)

// EventLoop is what the frontend uses of core.EventLoop.
type EventLoop interface {
	Submit(core.Request) error
	BodyComplete(id string, session core.Session)
	ClientGone(id string, session core.Session)
	Ready() bool
}

// Options are the limits of a Frontend.
type Options struct {
	Classes []logic.Class
	// RetryAfter is sent with the frontend's own rejections. 0: not at all.
	RetryAfter time.Duration
	// MaxSessions limits client sessions; beyond it, those without a request are shed.
	MaxSessions int
	// MaxRequests limits the requests that are open at once.
	MaxRequests int
	// HeadTimeout is how long a client may take for a request's head.
	HeadTimeout time.Duration
	// BodyTimeout is how long a client may take for a body, extended by the body's length.
	BodyTimeout time.Duration
	// IdleTimeout is how long a client session may stay open between requests.
	IdleTimeout time.Duration
	Metrics     *metrics.Set
	// Budget limits the bytes that bodies take.
	Budget *message.Budget
}

// Frontend serves clients. Its Server implements the life cycle.
type Frontend struct {
	*ingress.Server
	opt     Options
	loop    EventLoop
	count   *counters.Set
	classes map[string]logic.Class
	maxOpen atomic.Int64 // current limit of open requests
	open    atomic.Int64 // requests without an answer yet, including those still arriving
}

// New returns a Frontend that has yet to serve on l.
func New(opt Options, l net.Listener, loop EventLoop, count *counters.Set) *Frontend {
	f := &Frontend{opt: opt, loop: loop, count: count, classes: map[string]logic.Class{}}
	f.maxOpen.Store(int64(opt.MaxRequests))
	longest := time.Nanosecond // not 0, which means no bound: a node's answers have a deadline
	for _, c := range opt.Classes {
		f.classes[c.Name] = c
		longest = max(longest, c.Deadline)
	}
	f.Server = ingress.New(ingress.Options{
		Handler: f.serve, RejectAmbiguous: f.rejectAmbiguous,
		MaxSessions: opt.MaxSessions, Overflow: SessionOverflow,
		HeaderTimeout: opt.HeadTimeout, BodyTimeout: opt.BodyTimeout, IdleTimeout: opt.IdleTimeout,
		WriteTimeout: writeTimeout, ResponseTimeout: 2 * longest, RespondNowMargin: finalAnswerMargin,
		MaxHeaderBytes: maxHeaderBytes, Lifecycle: lifecycle.NodeTiming,
	}, l, count)
	return f
}

// SetLimits changes how many client sessions, how many connections beyond those while others
// are shed, and how many open requests are allowed. Idle sessions over the limit end.
func (f *Frontend) SetLimits(sessions, overflow, requests int) {
	f.maxOpen.Store(int64(requests))
	f.Server.SetMaxSessions(sessions, overflow)
}

// Ready returns nil if the node takes clients, or the reason why it does not.
func (f *Frontend) Ready() error {
	switch phase := f.Phase(); {
	case phase != lifecycle.Serving:
		return errors.New("not ready: " + phase.String())
	case !f.loop.Ready():
		return errors.New("not ready: no backend takes reqs")
	}
	return nil
}

// serve handles one HTTP request.
func (f *Frontend) serve(w http.ResponseWriter, r *http.Request, c *ingress.Conn) {
	path := r.URL.Path
	api := path == "/api" || strings.HasPrefix(path, "/api/")
	if !api {
		// A readiness probe has no further use for its session: if kept, hundreds of such
		// sessions would take the places of clients with requests.
		w.Header().Set("Connection", "close")
	}
	switch {
	case path == "/ready":
		// A probe at the address that both processes share asks for the node, and a
		// successor counts as the node.
		if err := f.Ready(); err != nil && !f.HasSuccessor() {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
	case api:
		f.serveAPI(w, r, c)
	default:
		http.NotFound(w, r)
	}
}

// clientError is an error that is answered with its own 4xx status.
type clientError struct {
	status int
	text   string
}

func (e *clientError) Error() string { return e.text }

// rejectMalformed answers a malformed request, and ends its client session: what follows
// the request can't be trusted to be another one.
func (f *Frontend) rejectMalformed(w http.ResponseWriter, err error) {
	f.count.Add("req.malformed")
	status := http.StatusBadRequest
	var c *clientError
	if errors.As(err, &c) {
		status = c.status
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// rejectAmbiguous answers a request whose length is ambiguous.
func (f *Frontend) rejectAmbiguous(w http.ResponseWriter) {
	f.rejectMalformed(w, errors.New("Content-Length and Transfer-Encoding: it is in doubt where the req ends"))
}
