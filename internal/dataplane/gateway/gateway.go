// Package gateway answers clients. It finds the route of a request, has the request sent to a
// server of the route's service and forwards the response. Turns of programs are admitted and
// stored by storage nodes.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"oakseam/internal/counters"
	"oakseam/internal/dataplane/dispatch"
	"oakseam/internal/dataplane/history"
	"oakseam/internal/dataplane/turnclient"
	"oakseam/internal/ingress"
	"oakseam/internal/message"
	"oakseam/internal/tier/jsonlog"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/routing"
)

const (
	// bodyTimeout is how long a client may take to send a body. bodyTimePerByte is added for each
	// byte received.
	bodyTimeout     = 3 * time.Second
	bodyTimePerByte = time.Second / 48000
	// startupWait is how long a request waits for the first configuration after a start. After that it
	// is rejected with startupRetryAfter. overloadRetryAfter is the Retry-After where this node is at
	// one of its own limits.
	startupRetryAfter  = 500 * time.Millisecond
	startupWait        = 1500 * time.Millisecond
	overloadRetryAfter = 300 * time.Millisecond
	// maxAttemptIDBytes bounds the length of an attempt id.
	maxAttemptIDBytes = 256
	// maxHistoryBytes bounds the memory for the texts of recent turns.
	maxHistoryBytes = 12 << 20
)

// Turns stores turns and the token budgets of programs. *turnclient.Client implements it with the
// storage nodes.
type Turns interface {
	Admit(context.Context, protocol.AdmitArgs) (protocol.AdmitReply, error)
	Finish(context.Context, protocol.FinishArgs) (protocol.TurnOutcome, error)
	Find(ctx context.Context, attempt string) (history []byte, found bool, err error)
}

var _ Turns = (*turnclient.Client)(nil)

// Options configures a Gateway.
type Options struct {
	Dispatcher      *dispatch.Dispatcher
	Turns           Turns
	Budget          *message.Budget
	Counters        *counters.Set
	MaxOpenRequests int // bound on requests open at once
	// Current reports whether the configuration is surely recent. Nil means that it always is. A route
	// that an outdated configuration lacks may already be in force.
	Current func() bool
	// Isolated reports whether the zone of this node is cut off from all others. Nil means that it never
	// is. Clients are then sent to other zones.
	Isolated func() bool
}

// Gateway answers the requests of clients.
type Gateway struct {
	opt    Options
	active atomic.Pointer[activeConfiguration]
	open   openRequests

	unreported atomic.Int64 // attempts that have ended and are being reported to their partitions

	history    *history.Cache
	configured chan struct{} // closed once the first configuration has arrived
}

// activeConfiguration is a configuration with the tables derived from it.
type activeConfiguration struct {
	configuration  *routing.Configuration
	routes         *routing.Table
	tokensPerEvent map[string]uint64 // by service
}

// New returns a Gateway that has no configuration yet.
func New(o Options) *Gateway {
	return &Gateway{opt: o, open: openRequests{limit: o.MaxOpenRequests}, history: history.New(maxHistoryBytes), configured: make(chan struct{})}
}

// Configure applies a configuration to requests that arrive later.
func (g *Gateway) Configure(c *routing.Configuration) {
	t := &activeConfiguration{configuration: c, routes: routing.NewTable(c), tokensPerEvent: map[string]uint64{}}
	for i := range c.Pools {
		if e := c.Pools[i].Engine; e != nil {
			t.tokensPerEvent[c.Pools[i].Name] = uint64(max(e.StreamChunk, 1))
		}
	}
	if g.active.Swap(t) == nil {
		close(g.configured)
	}
}

// Configured reports whether a configuration has arrived.
func (g *Gateway) Configured() bool { return g.active.Load() != nil }

// exchange is one client request and its response.
type exchange struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	request  *http.Request
	conn     *ingress.Conn
	route    *routing.Route
	active   *activeConfiguration
	service  string
	attempt  string
	body     []byte
	arrived  time.Time
	deadline time.Time // of the final answer

	releaseBody func() // returns the bytes of body to the budget
	endRequest  func() // tells the dispatcher that the request has ended, nil: it was not submitted yet
}

// Handle answers a request. It is used as ingress.Options.Handler.
func (g *Gateway) Handle(w http.ResponseWriter, r *http.Request, c *ingress.Conn) {
	arrived := time.Now()
	end, ok := g.open.begin(arrived)
	if !ok {
		g.rejectOverLimit(w, arrived)
		return
	}
	defer end()
	if g.isolated() {
		w.Header().Set("Connection", "close") // a new connection leads to a zone that is not cut off
	}
	t := g.awaitConfiguration(r)
	if t == nil {
		g.reject(w, startupRetryAfter, "answer.starting")
		return
	}
	route, ok := t.routes.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		g.rejectUnrouted(w)
		return
	}
	x := &exchange{gateway: g, writer: w, request: r, conn: c, route: route, active: t, arrived: arrived}
	if fault := x.read(); fault != nil {
		if fault.Status == http.StatusServiceUnavailable {
			w.Header().Set("Connection", "close")
			g.reject(w, overloadRetryAfter, "answer.no-room")
			return
		}
		g.opt.Counters.Add("answer.malformed")
		w.Header().Set("Connection", "close")
		http.Error(w, fault.Error(), fault.Status)
		return
	}
	defer x.releaseBody() // servers may get it again until the request is answered
	x.service = route.Pick(rand.Float64())
	x.serve()
}

// isolated reports whether the zone of this node is cut off from all others.
func (g *Gateway) isolated() bool { return g.opt.Isolated != nil && g.opt.Isolated() }

// awaitConfiguration returns the configuration. A process that has just started waits a while for
// its first one: it arrives soon, and rejecting would use up one of the client's few attempts.
func (g *Gateway) awaitConfiguration(r *http.Request) *activeConfiguration {
	if t := g.active.Load(); t != nil {
		return t
	}
	wait := time.NewTimer(startupWait)
	defer wait.Stop()
	select {
	case <-g.configured:
	case <-wait.C:
	case <-r.Context().Done():
	}
	return g.active.Load()
}

// rejectUnrouted answers a request that matches no route: with a final 404 if the configuration is
// recent, otherwise with a rejection that the client retries.
func (g *Gateway) rejectUnrouted(w http.ResponseWriter) {
	if g.opt.Current != nil && !g.opt.Current() {
		g.reject(w, startupRetryAfter, "answer.out-of-touch")
		return
	}
	g.opt.Counters.Add("answer.no-route")
	http.Error(w, "no route", http.StatusNotFound)
}

// rejectOverLimit rejects a request because too many are open. The log tells a burst from requests
// that do not end.
func (g *Gateway) rejectOverLimit(w http.ResponseWriter, now time.Time) {
	if skipped, ok := jsonlog.Allow("all places are taken", logInterval); ok {
		klog.InfoS("All places for requests are taken", "places", g.opt.MaxOpenRequests, "oldest", g.open.oldest(now), "alike", skipped)
	}
	g.reject(w, overloadRetryAfter, "answer.pressed")
}

// reject answers 503 to a request that has not been passed on to a service.
func (g *Gateway) reject(w http.ResponseWriter, after time.Duration, reason string) {
	g.countUnserved(reason, "")
	respondRejected(w, after)
}

// respondRejected answers 503 and says when the client may try again.
func respondRejected(w http.ResponseWriter, after time.Duration) {
	w.Header().Set("Retry-After", seconds(after))
	http.Error(w, "try again", http.StatusServiceUnavailable)
}

// logInterval bounds the log to one line per interval for requests that ended for the same reason.
const logInterval = time.Second

// countUnserved counts a request that was not served, and logs it at most once per logInterval for each
// reason and service. The service is empty if the request was not passed on to one.
func (g *Gateway) countUnserved(reason, service string) {
	g.opt.Counters.Add(reason)
	if skipped, ok := jsonlog.Allow(reason+" "+service, logInterval); ok {
		klog.InfoS("Request not served", "cause", reason, "service", service, "alike", skipped)
	}
}

// serve executes a completely received request and answers it.
func (x *exchange) serve() {
	defer func() {
		if x.endRequest != nil {
			x.endRequest()
		}
	}()
	if x.isTurn() {
		x.serveTurn()
		return
	}
	a := x.dispatch(submission{body: x.body, affinity: x.request.Header.Get(sessionHeader)})
	x.respond(a, nil)
}
