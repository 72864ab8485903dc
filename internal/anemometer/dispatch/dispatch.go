// Package dispatch sends requests to the servers of services. Each service has an owner
// of the decision module, which chooses the server, the time-out and the retry; the
// connections to servers are shared.
package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"pipitmux/internal/core"
	"pipitmux/internal/counters"
	"pipitmux/internal/message"
	"pipitmux/internal/station/protocol"
	"pipitmux/internal/station/routing"
	"pipitmux/internal/upstream"
	"pipitmux/logic"
)

const (
	// crossCharge and connectCharge are the prices of a send into another zone and of a new
	// connection, as parts of a usual request's worth.
	crossCharge   = 0.03
	connectCharge = 0.01
	// retryAfter is what refused clients are told.
	retryAfter = 300 * time.Millisecond
	// idleFor is how long a connection to a server rests before it is closed, connectWithin
	// how long one may take to come up, and userTimeout how long a dark server's lasts.
	idleFor       = 30 * time.Second
	connectWithin = 700 * time.Millisecond
	userTimeout   = 3 * time.Second
	// resizeEvery is how often it is looked whether fewer servers would do.
	resizeEvery = time.Second
)

// Options are what a Dispatcher needs.
type Options struct {
	Zone   string
	Name   string // this node's: it draws servers by it
	Conns  int    // to servers, open at most
	Budget *message.Budget
	Count  *counters.Set
	Log    *slog.Logger
}

// Dispatcher sends requests to servers.
type Dispatcher struct {
	opt  Options
	pool *upstream.Pool
	quit chan struct{}

	mu       sync.Mutex
	services map[string]*service
	classes  map[string][]logic.Class
	lists    map[string][]protocol.Server
}

// service is one service's owner and servers.
type service struct {
	core    *core.EventLoop
	all     []protocol.Server
	wanted  int           // servers that this node sends to, where none is avoided
	size    int           // and with those that are
	servers []candidate   // of the subset, that take requests
	listed  chan struct{} // closed once it has had one
	known   bool          // listed is closed
	demand  demand
	avoided atomic.Int64 // servers of the subset that get nothing now, draining ones among them
	drained int          // draining ones
}

// New returns a Dispatcher without services.
func New(o Options) *Dispatcher {
	d := &Dispatcher{opt: o, quit: make(chan struct{}), services: map[string]*service{}, classes: map[string][]logic.Class{}, lists: map[string][]protocol.Server{}}
	d.pool = upstream.New(codec{}, upstream.Options{
		ConnectTimeout: connectWithin, IdleTimeout: idleFor, LearnIdleLimits: true, MaxConns: o.Conns, TCPUserTimeout: userTimeout, Budget: o.Budget,
	}, o.Count, o.Log)
	go d.pool.ReapIdle(d.quit)
	go d.resize()
	return d
}

// Close ends all owners.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.quit)
	for _, s := range d.services {
		s.core.Stop()
	}
	d.services = map[string]*service{}
}

// Configure takes a configuration on: requests that come later follow it.
func (d *Dispatcher) Configure(c *routing.Configuration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.classes = classesOf(c)
	for name, classes := range d.classes {
		if s := d.services[name]; s != nil {
			s.core.Reconfigure(classes)
			continue
		}
		d.open(name, classes)
	}
}

// open starts the owner of a service; d.mu is held.
func (d *Dispatcher) open(name string, classes []logic.Class) {
	settings := logic.Settings{
		Zone: d.opt.Zone, Classes: classes, ReportFields: []string{logic.ReportInFlight}, Slots: true,
		SecondCopies: true, CanCancel: true, MaxRetryAfter: retryAfter,
		ConnIdle: idleFor, CrossCharge: crossCharge, ConnectCharge: connectCharge,
	}
	owner, err := core.NewEventLoop(settings, rand.Uint64(), d.opt.Count, d.opt.Log)
	if err != nil {
		klog.ErrorS(err, "A service can't be served", "service", name)
		return
	}
	s := &service{core: owner, listed: make(chan struct{})}
	d.services[name] = s
	owner.ObserveBackendCounts(func(_, avoided int) { s.avoided.Store(int64(avoided)) })
	go owner.Run(d.pool, nil)
	d.list(s, d.lists[name])
}

// Servers takes on the servers of all services of a partition.
func (d *Dispatcher) Servers(partition int, lists []protocol.ServerList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	told := map[string]bool{}
	for _, l := range lists {
		told[l.Service] = true
		d.put(l.Service, l.Servers)
	}
	for name := range d.lists {
		if !told[name] && protocol.ServicePartition(name) == partition {
			d.put(name, nil)
		}
	}
}

func (d *Dispatcher) put(name string, servers []protocol.Server) {
	if len(servers) == 0 {
		delete(d.lists, name)
	} else {
		d.lists[name] = servers
	}
	if s := d.services[name]; s != nil {
		d.list(s, servers)
	}
}

// Begin notes that a request of a service goes out, until the returned function is called.
func (d *Dispatcher) Begin(name string) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[name]
	if s == nil {
		return func() {}
	}
	s.demand.begin(time.Now())
	if float64(s.wanted) < busyTimes*s.demand.most && s.size < len(s.all) {
		d.list(s, s.all)
	}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		s.demand.end()
	}
}

// resize fits the subsets to what goes out and to the servers that get nothing, until Close.
func (d *Dispatcher) resize() {
	tick := time.NewTicker(resizeEvery)
	defer tick.Stop()
	for {
		select {
		case <-d.quit:
			return
		case <-tick.C:
		}
		d.mu.Lock()
		for _, s := range d.services {
			if _, size := s.sizes(); size != s.size {
				d.list(s, s.all)
			}
		}
		d.mu.Unlock()
	}
}

// sizes is how many of the servers this node is to send to: without those that are avoided, and
// with them.
func (s *service) sizes() (wanted, size int) {
	wanted = min(subsetSize(s.wanted, s.demand.now(time.Now())), len(s.all))
	aside := max(int(s.avoided.Load())-s.drained, 0)
	return wanted, min(wanted+aside, len(s.all))
}

// list hands a service's servers to its owner: those that this node sends to.
func (d *Dispatcher) list(s *service, servers []protocol.Server) {
	s.all, s.drained = servers, 0
	for _, x := range servers {
		if x.Draining {
			s.drained++
		}
	}
	s.wanted, s.size = s.sizes()
	servers = subset(servers, d.opt.Name, d.opt.Zone, s.size)
	s.servers = candidates(servers, d.opt.Zone)
	if len(s.servers) > 0 && !s.known {
		s.known = true
		defer close(s.listed) // once the owner has them
	}
	entries := make([]core.Backend, 0, len(servers))
	for _, x := range servers {
		state := logic.Serving
		if x.Draining {
			state = logic.Draining
		}
		entries = append(entries, core.Backend{
			Server:   logic.Server{ID: logic.ServerID(x.ID), Capacity: float64(max(x.Capacity, 1)), State: state, Zone: x.Zone},
			Endpoint: x.Address,
		})
	}
	s.core.UpdateBackends(logic.ListFull, entries)
}

// Ready tells whether some service has a server.
func (d *Dispatcher) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services {
		if len(s.servers) > 0 {
			return true
		}
	}
	return false
}

// Owner returns what requests of a service are submitted to, nil where there is none. It
// waits until the service has had a server, or ctx ends: after a start the list comes a
// moment behind the configuration.
func (d *Dispatcher) Owner(ctx context.Context, name string) *core.EventLoop {
	d.mu.Lock()
	s := d.services[name]
	d.mu.Unlock()
	if s == nil {
		return nil
	}
	select {
	case <-s.listed:
	case <-ctx.Done():
	}
	return s.core
}
