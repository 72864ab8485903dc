// Package session is the front for clients: a node's requests and answers, on the connections
// of package ingress.
package session

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"pipitmux/internal/core"
	"pipitmux/internal/counters"
	"pipitmux/internal/figures"
	"pipitmux/internal/ingress"
	"pipitmux/internal/lifecycle"
	"pipitmux/internal/message"
	"pipitmux/logic"
)

const (
	// writeWithin is how long a client may take nothing of its answer.
	writeWithin = 15 * time.Second
	// answerBy is how long before its end a node that is told to end answers what is open.
	answerBy = 70 * time.Millisecond
	// headMost is the longest head, in bytes.
	headMost = 16 << 10
	// SessionOverflow is how many connections beyond the limit are taken while others are shed.
	SessionOverflow = 32
)

// EventLoop is the core as the front sees it.
type EventLoop interface {
	Submit(core.Request) error
	BodyComplete(id string, of core.Session)
	ClientGone(id string, of core.Session)
	Ready() bool
}

// Options are the limits of a Front.
type Options struct {
	Classes     []logic.Class
	RetryAfter  time.Duration // told with a refusal of the front's own, 0: not at all
	MaxSessions int           // client sessions; beyond, those without a request are shed
	MaxRequests int           // requests that may be open at once
	HeadTimeout time.Duration // how long a client may take for a head,
	BodyTimeout time.Duration // and then for a body, and more by its length
	IdleTimeout time.Duration // how long a client session may stay open between requests
	Figures     *figures.Set
	Budget      *message.Budget // of bytes, for bodies
}

// Frontend serves clients. Its Server takes the steps of the life cycle.
type Frontend struct {
	*ingress.Server
	opt      Options
	owner    EventLoop
	count    *counters.Set
	classes  map[string]logic.Class
	mostOpen atomic.Int64 // requests that may be open now
	open     atomic.Int64 // requests without an answer yet, those that still come included
}

// New returns a Front that has yet to serve on l.
func New(opt Options, l net.Listener, owner EventLoop, count *counters.Set) *Frontend {
	f := &Frontend{opt: opt, owner: owner, count: count, classes: map[string]logic.Class{}}
	f.mostOpen.Store(int64(opt.MaxRequests))
	longest := time.Nanosecond // a node's answers have a bound on their time
	for _, c := range opt.Classes {
		f.classes[c.Name] = c
		longest = max(longest, c.Deadline)
	}
	f.Server = ingress.New(ingress.Options{
		Handler: f.serve, RejectAmbiguous: f.doubtful,
		MaxSessions: opt.MaxSessions, Overflow: SessionOverflow,
		HeaderTimeout: opt.HeadTimeout, BodyTimeout: opt.BodyTimeout, IdleTimeout: opt.IdleTimeout,
		WriteTimeout: writeWithin, ResponseTimeout: 2 * longest, RespondNowMargin: answerBy,
		MaxHeaderBytes: headMost, Lifecycle: lifecycle.NodeTiming,
	}, l, count)
	return f
}

// SetLimits changes how many client sessions, with those beyond while others are shed, and
// open requests are allowed. Idle sessions over it end.
func (f *Frontend) SetLimits(sessions, overflow, requests int) {
	f.mostOpen.Store(int64(requests))
	f.Server.SetMaxSessions(sessions, overflow)
}

// Ready returns nil where the node takes clients, or why it does not.
func (f *Frontend) Ready() error {
	switch phase := f.Phase(); {
	case phase != lifecycle.Serving:
		return errors.New("not ready: " + phase.String())
	case !f.owner.Ready():
		return errors.New("not ready: no backend takes reqs")
	}
	return nil
}

// serve answers one HTTP request.
func (f *Frontend) serve(w http.ResponseWriter, r *http.Request, c *ingress.Conn) {
	path := r.URL.Path
	api := path == "/api" || strings.HasPrefix(path, "/api/")
	if !api {
		// Who looks whether the node is ready has no further use for the session: kept, such
		// ones by the hundred fill the places of clients that ask.
		w.Header().Set("Connection", "close")
	}
	switch {
	case path == "/ready":
		// Who asks at the address of both asks for the node. A successor is the node.
		if err := f.Ready(); err != nil && !f.HasSuccessor() {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
	case api:
		f.api(w, r, c)
	default:
		http.NotFound(w, r)
	}
}

// malformed is a request that gets a plain 4xx.
type malformed struct {
	status int
	text   string
}

func (m *malformed) Error() string { return m.text }

// malformed answers what is not a request, and ends its client session: what stands
// behind it can't be trusted to be one.
func (f *Frontend) malformed(w http.ResponseWriter, err error) {
	f.count.Add("req.malformed")
	status := http.StatusBadRequest
	var m *malformed
	if errors.As(err, &m) {
		status = m.status
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// doubtful answers a request whose end is in doubt.
func (f *Frontend) doubtful(w http.ResponseWriter) {
	f.malformed(w, errors.New("Content-Length and Transfer-Encoding: it is in doubt where the req ends"))
}
