// Package dispatch sends requests to the servers of services. Each service has its own event loop
// with a decision module that chooses the server, the timeout and the retries. All services share
// one pool of server connections.
package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"oakseam/internal/core"
	"oakseam/internal/counters"
	"oakseam/internal/message"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/routing"
	"oakseam/internal/tier/settings"
	"oakseam/internal/upstream"
	"oakseam/logic"
)

const (
	// crossZoneCharge and connectCharge are the costs of sending into another zone and of opening a
	// connection, as fractions of the worth of a typical request.
	crossZoneCharge = 0.03
	connectCharge   = 0.01
	// maxRetryAfter bounds the Retry-After that rejected clients receive.
	maxRetryAfter = 300 * time.Millisecond
	// connIdleTimeout closes an idle connection to a server. connectTimeout bounds opening one.
	// tcpUserTimeout ends a connection to a server that no longer acknowledges data.
	connIdleTimeout = 30 * time.Second
	connectTimeout  = 700 * time.Millisecond
	tcpUserTimeout  = 3 * time.Second
	// resizeInterval is how often the subset sizes are adapted to the current demand.
	resizeInterval = time.Second
)

// Options configures a Dispatcher.
type Options struct {
	Zone     string
	Name     string // of this node; its subset of servers is chosen by rendezvous hashing of this name
	MaxConns int    // bound on open connections to servers
	Budget   *message.Budget
	Counters *counters.Set
	Log      *slog.Logger
	Warmup   settings.Warmup // limits of what all edges send to a cold server
}

// Dispatcher sends requests to servers and keeps the list of servers of each service.
type Dispatcher struct {
	opt     Options
	pool    *upstream.Pool
	warmups *warmupTable
	checks  *healthChecks
	quit    chan struct{}

	mu          sync.Mutex
	services    map[string]*service
	classes     map[string][]logic.Class
	lists       map[string][]protocol.Server
	evacuations evacuations
}

// service is the event loop and the servers of one service.
type service struct {
	name       string
	loop       *core.EventLoop
	allServers []protocol.Server
	wanted     int           // subset size before servers that the module avoids are replaced
	size       int           // subset size including replacements for avoided servers
	servers    []candidate   // of the subset, without draining ones
	hasServers chan struct{} // closed once the service has had a server that accepts requests, or only ones in evacuated zones
	hadServer  bool          // hasServers is closed
	demand     demand
	ejected    atomic.Int64 // servers of the subset that the module gives no requests, though they don't drain
	cold       coldState
}

// New returns a Dispatcher without services.
func New(o Options) *Dispatcher {
	d := &Dispatcher{opt: o, quit: make(chan struct{}), services: map[string]*service{}, classes: map[string][]logic.Class{}, lists: map[string][]protocol.Server{}}
	d.warmups = newWarmupTable(o.Name, o.Warmup)
	d.checks = newHealthChecks(d.serverIsCold)
	d.pool = upstream.New(codec{}, upstream.Options{
		ConnectTimeout: connectTimeout, IdleTimeout: connIdleTimeout, LearnIdleLimits: true, MaxConns: o.MaxConns, TCPUserTimeout: tcpUserTimeout, Budget: o.Budget,
	}, o.Counters, o.Log)
	go d.pool.ReapIdle(d.quit)
	go d.resizeLoop()
	return d
}

// Close stops the event loops of all services.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.quit)
	d.checks.close()
	for _, s := range d.services {
		s.loop.Stop()
		d.scheduleRecheck(s, time.Time{})
	}
	d.services = map[string]*service{}
}

// Configure applies a configuration to requests that arrive later.
func (d *Dispatcher) Configure(c *routing.Configuration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.classes = classesByService(c)
	warmupsChanged := d.warmups.configure(c)
	if warmupsChanged {
		d.markAllReturnedZones()
	}
	for name, classes := range d.classes {
		if s := d.services[name]; s != nil {
			s.loop.Reconfigure(classes)
			if warmupsChanged {
				d.updateBackends(s, s.allServers)
			}
			continue
		}
		d.openService(name, classes)
	}
}

// openService starts the event loop of a service. The caller holds d.mu.
func (d *Dispatcher) openService(name string, classes []logic.Class) {
	settings := logic.Settings{
		Zone: d.opt.Zone, Classes: classes, ReportFields: []string{logic.ReportInFlight}, Slots: true,
		SecondCopies: true, CanCancel: true, MaxRetryAfter: maxRetryAfter,
		ConnIdle: connIdleTimeout, CrossCharge: crossZoneCharge, ConnectCharge: connectCharge,
	}
	loop, err := core.NewEventLoop(settings, rand.Uint64(), d.opt.Counters, d.opt.Log)
	if err != nil {
		klog.ErrorS(err, "Cannot start the event loop of a service", "service", name)
		return
	}
	s := &service{name: name, loop: loop, hasServers: make(chan struct{})}
	d.services[name] = s
	loop.ObserveBackendCounts(s.setBackendCounts)
	go loop.Run(warmupGuard{Transport: d.pool, table: d.warmups, service: name, checks: d.checks, used: func() { go d.refresh(s) }}, nil)
	d.updateBackends(s, d.lists[name])
}

// UpdateServers replaces the server lists of all services of a partition. A service that is
// missing from lists loses its servers.
func (d *Dispatcher) UpdateServers(partition int, lists []protocol.ServerList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := map[string]bool{}
	for _, l := range lists {
		listed[l.Service] = true
		d.setServers(l.Service, l.Servers)
	}
	for name := range d.lists {
		if !listed[name] && protocol.ServicePartition(name) == partition {
			d.setServers(name, nil)
		}
	}
}

// setServers stores the servers of a service. The caller holds d.mu.
func (d *Dispatcher) setServers(name string, servers []protocol.Server) {
	if len(servers) == 0 {
		delete(d.lists, name)
	} else {
		d.lists[name] = servers
	}
	d.warmups.observe(name, servers, time.Now())
	d.checks.forget(name, idsOf(servers))
	d.markReturnedZones(name, servers)
	if s := d.services[name]; s != nil {
		d.updateBackends(s, servers)
	}
}

func idsOf(servers []protocol.Server) map[string]bool {
	ids := make(map[string]bool, len(servers))
	for _, s := range servers {
		ids[s.ID] = true
	}
	return ids
}

// BeginRequest counts a request of a service as in flight until the returned function is called.
func (d *Dispatcher) BeginRequest(name string) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[name]
	if s == nil {
		return func() {}
	}
	s.demand.begin(time.Now())
	if float64(s.wanted) < serversPerRequest*s.demand.peak && s.size < len(s.allServers) {
		d.updateBackends(s, s.allServers)
	}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		s.demand.end()
	}
}

// resizeLoop adapts the subsets to the demand and to the number of avoided servers, until Close.
func (d *Dispatcher) resizeLoop() {
	tick := time.NewTicker(resizeInterval)
	defer tick.Stop()
	for {
		select {
		case <-d.quit:
			return
		case <-tick.C:
		}
		d.mu.Lock()
		for _, s := range d.services {
			if _, size := s.subsetSizes(); size != s.size {
				d.updateBackends(s, s.allServers)
			}
		}
		d.mu.Unlock()
	}
}

// subsetSizes returns how many servers this node should send to: first without replacements for
// avoided servers, then with them.
func (s *service) subsetSizes() (wanted, size int) {
	wanted = min(subsetSize(s.wanted, s.demand.decayedPeak(time.Now())), len(s.allServers))
	return wanted, min(wanted+int(s.ejected.Load()), len(s.allServers))
}

// setBackendCounts records what the event loop reports. Both numbers are of the list that the loop has:
// compared with a newer list, servers that have come back would seem to be ejected.
func (s *service) setBackendCounts(c core.BackendCounts) {
	s.ejected.Store(int64(max(c.Avoided-c.Draining, 0)))
}

// updateBackends hands this node's subset of a service's servers to the service's event loop. The
// caller holds d.mu.
func (d *Dispatcher) updateBackends(s *service, servers []protocol.Server) {
	now := time.Now()
	cold, recheck := d.warmups.cold(s.name, now)
	s.allServers = servers
	allEvacuated := d.evacuations.removesLast(servers)
	servers = s.markCold(d.evacuations.drain(servers), cold)
	granted, nextSend := d.warmups.granted(s.name, cold, now)
	d.scheduleRecheck(s, earliest(recheck, nextSend))
	s.wanted, s.size = s.subsetSizes()
	servers = subset(servers, d.opt.Name, d.opt.Zone, s.size)
	s.servers = candidates(servers, granted, d.opt.Zone)
	if (s.accepts() || allEvacuated) && !s.hadServer {
		s.hadServer = true
		defer close(s.hasServers) // only after the event loop has received the list
	}
	backends := make([]core.Backend, 0, len(servers))
	for _, x := range servers {
		state := logic.Serving
		if x.Draining && !granted[x.ID] {
			state = logic.Draining
		}
		backends = append(backends, core.Backend{
			Server:   logic.Server{ID: logic.ServerID(x.ID), Capacity: float64(max(x.Capacity, 1)), State: state, Zone: x.Zone},
			Endpoint: x.Address,
		})
	}
	s.loop.UpdateBackends(logic.ListFull, backends)
}

// accepts reports whether the service has a server that accepts requests, now or when it has become warm.
func (s *service) accepts() bool { return len(s.servers)+s.cold.count > 0 }

// Ready reports whether any service has a server that accepts requests.
func (d *Dispatcher) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services {
		if s.accepts() {
			return true
		}
	}
	return false
}

// EventLoop returns the event loop that requests of a service are submitted to, or nil for an
// unknown service. It waits until hasServers is closed or ctx ends, because after a start the
// server list arrives slightly later than the configuration.
func (d *Dispatcher) EventLoop(ctx context.Context, name string) *core.EventLoop {
	d.mu.Lock()
	s := d.services[name]
	d.mu.Unlock()
	if s == nil {
		return nil
	}
	select {
	case <-s.hasServers:
	case <-ctx.Done():
	}
	return s.loop
}
