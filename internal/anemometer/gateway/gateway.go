// Package gateway answers clients: it finds a request's route, has it sent to a server of
// the route's service and passes the answer on. Turns of programs go by way of the
// storage nodes that keep them.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"pipitmux/internal/anemometer/dispatch"
	"pipitmux/internal/anemometer/history"
	"pipitmux/internal/anemometer/turnclient"
	"pipitmux/internal/counters"
	"pipitmux/internal/ingress"
	"pipitmux/internal/message"
	"pipitmux/internal/station/journal"
	"pipitmux/internal/station/protocol"
	"pipitmux/internal/station/routing"
)

const (
	// bodyWithin is how long a client may take for a body, and perByte how much longer for
	// each byte that has come.
	bodyWithin = 3 * time.Second
	perByte    = time.Second / 48000
	// startingWait is how long a request waits for the first configuration after a start, and
	// startingRetryAfter what is told then. pressedRetryAfter is told where this node is at a
	// limit of its own.
	startingRetryAfter = 500 * time.Millisecond
	startingWait       = 1500 * time.Millisecond
	pressedRetryAfter  = 300 * time.Millisecond
	// identifierMost is the longest id of a try, in bytes.
	identifierMost = 256
	// historyBytes is how much of what was said lately is kept in memory.
	historyBytes = 12 << 20
)

// Turns keeps what was said and what programs may still put out. *turnclient.Client is
// the one that reaches the storage nodes.
type Turns interface {
	Admit(context.Context, protocol.AdmitArgs) (protocol.AdmitReply, error)
	Finish(context.Context, protocol.FinishArgs) (protocol.TurnOutcome, error)
	Find(ctx context.Context, attempt string) (history []byte, found bool, err error)
}

var _ Turns = (*turnclient.Client)(nil)

// Options are what a Gateway needs.
type Options struct {
	Dispatcher *dispatch.Dispatcher
	Turns      Turns
	Budget     *message.Budget
	Count      *counters.Set
	MaxOpen    int // requests that may be open at once
	// Current tells whether the configuration is surely recent; nil: it always is. A route that
	// an older one lacks may be in force by now.
	Current func() bool
}

// Gateway answers clients' requests.
type Gateway struct {
	opt   Options
	table atomic.Pointer[tables]
	open  atomic.Int64

	history    *history.Cache
	configured chan struct{} // closed once a configuration is known
}

// tables are what a configuration says.
type tables struct {
	configuration *routing.Configuration
	routes        *routing.Table
	strides       map[string]uint64 // tokens in each event, by service
}

// New returns a Gateway that knows no configuration yet.
func New(o Options) *Gateway {
	return &Gateway{opt: o, history: history.New(historyBytes), configured: make(chan struct{})}
}

// Configure takes a configuration on: requests that come later follow it.
func (g *Gateway) Configure(c *routing.Configuration) {
	t := &tables{configuration: c, routes: routing.NewTable(c), strides: map[string]uint64{}}
	for i := range c.Pools {
		if e := c.Pools[i].Engine; e != nil {
			t.strides[c.Pools[i].Name] = uint64(max(e.StreamChunk, 1))
		}
	}
	if g.table.Swap(t) == nil {
		close(g.configured)
	}
}

// Configured tells whether a configuration is known.
func (g *Gateway) Configured() bool { return g.table.Load() != nil }

// exchange is one request on its way.
type exchange struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	request  *http.Request
	conn     *ingress.Conn
	route    *routing.Route
	tables   *tables
	service  string
	attempt  string
	body     []byte
	arrived  time.Time
	deadline time.Time // the final answer goes out by then
	ended    func()    // tells the dispatcher that the request no longer goes out, nil: it didn't yet
}

// Handle answers a request. It is for ingress.Options.Handler.
func (g *Gateway) Handle(w http.ResponseWriter, r *http.Request, c *ingress.Conn) {
	arrived := time.Now()
	defer g.open.Add(-1)
	over := g.open.Add(1) > int64(g.opt.MaxOpen)
	if over {
		g.refuse(w, pressedRetryAfter, "answer.pressed")
		return
	}
	t := g.known(r)
	if t == nil {
		g.refuse(w, startingRetryAfter, "answer.starting")
		return
	}
	route, ok := t.routes.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		g.refuseRoute(w)
		return
	}
	x := &exchange{gateway: g, writer: w, request: r, conn: c, route: route, tables: t, arrived: arrived}
	if fault := x.read(); fault != nil {
		if fault.Status == http.StatusServiceUnavailable {
			w.Header().Set("Connection", "close")
			g.refuse(w, pressedRetryAfter, "answer.no-room")
			return
		}
		g.opt.Count.Add("answer.malformed")
		w.Header().Set("Connection", "close")
		http.Error(w, fault.Error(), fault.Status)
		return
	}
	x.service = route.Pick(rand.Float64())
	x.serve()
}

// known returns what the configuration says. A process that has just started waits a while
// for its first one: what it needs is on its way, and the client's tries are few.
func (g *Gateway) known(r *http.Request) *tables {
	if t := g.table.Load(); t != nil {
		return t
	}
	wait := time.NewTimer(startingWait)
	defer wait.Stop()
	select {
	case <-g.configured:
	case <-wait.C:
	case <-r.Context().Done():
	}
	return g.table.Load()
}

// refuseRoute answers a request that no route leads on: finally, if the configuration is recent.
func (g *Gateway) refuseRoute(w http.ResponseWriter) {
	if g.opt.Current != nil && !g.opt.Current() {
		g.refuse(w, startingRetryAfter, "answer.out-of-touch")
		return
	}
	g.opt.Count.Add("answer.no-route")
	http.Error(w, "no route", http.StatusNotFound)
}

func (g *Gateway) refuse(w http.ResponseWriter, after time.Duration, why string) {
	g.count(why)
	w.Header().Set("Retry-After", seconds(after))
	http.Error(w, "try again", http.StatusServiceUnavailable)
}

// logEvery is how often a line tells of requests that ended for one and the same reason.
const logEvery = time.Second

// count counts the end of a request that wasn't served, and says so in the log now and then.
func (g *Gateway) count(why string) {
	g.opt.Count.Add(why)
	if skipped, ok := journal.Allow(why, logEvery); ok {
		klog.InfoS("A request is not served", "cause", why, "alike", skipped)
	}
}

// serve has a request that came whole carried out and answered.
func (x *exchange) serve() {
	defer func() {
		if x.ended != nil {
			x.ended()
		}
	}()
	if x.isTurn() {
		x.serveTurn()
		return
	}
	a := x.dispatch(submission{body: x.body, affinity: x.request.Header.Get(sessionHeader)})
	x.answer(a, nil)
}
