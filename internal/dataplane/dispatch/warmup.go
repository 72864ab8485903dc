package dispatch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"oakseam/internal/core"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/routing"
	"oakseam/internal/tier/settings"
	"oakseam/logic"
)

const (
	// warmupMargin is added to the time that a server is listed to stay cold. The lister does not publish a
	// warm-up again that ends up to 0.3 s later.
	warmupMargin = 400 * time.Millisecond
	// minWarmShare and minUsableShare are the shares of warm servers below which cold ones are needed: of the
	// servers that accept requests, and of the warm servers of the subset that the module does not avoid.
	minWarmShare   = 0.25
	minUsableShare = 0.5
	// grantStartTimeout is how soon a request that was granted for a cold server must begin. A node that was
	// suspended meanwhile asks for another grant.
	grantStartTimeout = 200 * time.Millisecond
)

// warmupTable knows which servers are cold and what this node may send to them. It is safe for concurrent
// use: event loops ask it before each attempt.
type warmupTable struct {
	node   string // this node's name
	limits settings.Warmup

	mu      sync.Mutex
	pools   map[string]poolWarmup         // pools that have cold times, by name
	servers map[string]map[string]*warmup // servers that are or were cold, by service and id
}

// poolWarmup is what a pool's configuration says about its cold servers.
type poolWarmup struct {
	duration time.Duration // of a warm-up
	perS     float64       // requests per second that a cold server can handle
}

// warmup is what this node knows about the warm-up of a server.
type warmup struct {
	listed    time.Duration // protocol.Server.Warmup of the newest entry
	period    uint64        // protocol.Server.WarmupPeriod of that entry
	coldUntil time.Time
	holders   int       // edges that may send to the server if this node is one of them, otherwise 0
	nextSend  time.Time // when this node may send the next request, if it is a holder
}

func newWarmupTable(node string, limits settings.Warmup) *warmupTable {
	return &warmupTable{node: node, limits: limits, pools: map[string]poolWarmup{}, servers: map[string]map[string]*warmup{}}
}

// configure applies a configuration and reports whether it changes the cold times of any pool.
func (t *warmupTable) configure(c *routing.Configuration) (changed bool) {
	pools := map[string]poolWarmup{}
	for _, p := range c.Pools {
		if p.Warmup > 0 {
			pools[p.Name] = poolWarmup{duration: p.Warmup, perS: p.WarmupPerS}
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = !maps.Equal(pools, t.pools)
	t.pools = pools
	return changed
}

// observe takes over the warm-ups in a new list of a service. The list is older than now, so a server that
// had the listed time left then is warm that time after now at the latest. An entry that was seen before
// does not start its time again.
func (t *warmupTable) observe(service string, list []protocol.Server, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, next := t.servers[service], map[string]*warmup{}
	for _, s := range list {
		w := known[s.ID]
		if s.Warmup > 0 && (w == nil || w.listed != s.Warmup || w.period != s.WarmupPeriod) {
			w = w.extended(now.Add(min(s.Warmup, routing.MaxWarmup) + warmupMargin))
			w.listed, w.period = s.Warmup, s.WarmupPeriod
			w.holders = holderCount(s.WarmupHolders, t.node)
		}
		if w != nil {
			next[s.ID] = w
		}
	}
	t.servers[service] = next
}

// extended returns a copy of a warm-up, or a new one for nil, that lasts until the given time at least.
func (w *warmup) extended(until time.Time) *warmup {
	next := &warmup{}
	if w != nil {
		*next = *w
	}
	if until.After(next.coldUntil) {
		next.coldUntil = until
	}
	return next
}

// holderCount returns the number of holders if the node is one of them, otherwise 0.
func holderCount(holders protocol.NodeNames, node string) int {
	if names := holders.Split(); slices.Contains(names, node) {
		return len(names)
	}
	return 0
}

// chill makes the servers of a zone cold that a service has in it, from a time on for the pool's warm-up time.
// It reports whether the service has such servers and cold times.
func (t *warmupTable) chill(service string, list []protocol.Server, zone string, from time.Time) (any bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pool, ok := t.pools[service]
	if !ok {
		return false
	}
	servers := maps.Clone(t.servers[service])
	if servers == nil {
		servers = map[string]*warmup{}
	}
	for _, s := range list {
		if s.Zone == zone {
			servers[s.ID], any = servers[s.ID].extended(from.Add(pool.duration+warmupMargin)), true
		}
	}
	t.servers[service] = servers
	return any
}

// cold returns the cold servers of a service by id, with the earliest time at which one of them becomes warm.
func (t *warmupTable) cold(service string, now time.Time) (ids map[string]bool, firstWarm time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.pools[service]; !ok {
		return nil, firstWarm
	}
	for id, w := range t.servers[service] {
		if !now.Before(w.coldUntil) {
			continue
		}
		if ids == nil {
			ids = map[string]bool{}
		}
		ids[id] = true
		firstWarm = earliest(firstWarm, w.coldUntil)
	}
	return ids, firstWarm
}

// granted returns the cold servers of a service that this node may send a request to now, and the earliest
// time at which it may send to another one.
func (t *warmupTable) granted(service string, now time.Time) (ids map[string]bool, nextSend time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids = map[string]bool{}
	for id, w := range t.servers[service] {
		switch {
		case !now.Before(w.coldUntil) || t.interval(service, w) == 0:
		case now.Before(w.nextSend):
			nextSend = earliest(nextSend, w.nextSend)
		default:
			ids[id] = true
		}
	}
	return ids, nextSend
}

// take reports whether a server is cold, and whether this node may send a request to it now. The request
// is then counted.
func (t *warmupTable) take(service, id string, now time.Time) (cold, allowed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.servers[service][id]
	if _, limited := t.pools[service]; !ok || !limited || !now.Before(w.coldUntil) {
		return false, true
	}
	interval := t.interval(service, w)
	if interval == 0 || now.Before(w.nextSend) {
		return true, false
	}
	w.nextSend = now.Add(interval)
	return true, true
}

// interval returns the time between two requests of this node to a cold server, 0 if it may send none. In
// any second a holder sends one request more than its rate, so the rate leaves room for these.
func (t *warmupTable) interval(service string, w *warmup) time.Duration {
	pool, holders := t.pools[service], float64(w.holders)
	if holders == 0 {
		return 0
	}
	overrun := t.limits.Overrun
	if overrun == 0 {
		overrun = 1
	}
	perS := min(pool.perS, pool.perS*overrun+t.limits.Slack-holders) / holders
	if perS <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / perS)
}

// earliest returns the earlier of two times. The zero time counts as no time.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// warmupGuard is the transport of a service. It sends nothing to a cold server beyond what this node may.
type warmupGuard struct {
	core.Transport
	table   *warmupTable
	service string
	taken   func() // called after a request to a cold server was counted; must not block
}

// Start implements core.Transport.
func (g warmupGuard) Start(a core.Attempt, done func(core.AttemptResult)) (cancel func()) {
	now := time.Now()
	cold, allowed := g.table.take(g.service, string(a.Instance.ID), now)
	if !allowed {
		go done(core.AttemptResult{Result: logic.NotSent, At: now}) // the event loop, which calls Start, may have to make room for it
		return func() {}
	}
	if cold {
		a.StartBefore = earliest(a.StartBefore, now.Add(grantStartTimeout))
		g.taken()
	}
	return g.Transport.Start(a, done)
}

// coldState is what the last update of a service's backends found out about its cold servers.
type coldState struct {
	count    int         // accepting servers that are cold
	warm     int         // servers of the subset that are warm and accept requests
	used     bool        // too few warm servers are left, so this node uses what it may send to cold ones
	recheck  *time.Timer // updates the backends when a server becomes warm or may get the next request
	accepted int         // accepting servers, warm or cold
}

// needsCold reports whether too few warm servers are left.
func (s *service) needsCold() bool {
	if s.cold.count == 0 {
		return false
	}
	warm := s.cold.accepted - s.cold.count
	usable := s.cold.warm - max(int(s.avoided.Load())-s.draining, 0)
	return float64(warm) < minWarmShare*float64(s.cold.accepted) || float64(usable) <= (1-minUsableShare)*float64(s.cold.warm)
}

// markCold returns the servers with the cold ones marked as draining, so that they are kept in the list but
// get no requests. It removes from cold the servers that drain anyway.
func (s *service) markCold(servers []protocol.Server, cold map[string]bool) []protocol.Server {
	s.cold.count, s.cold.accepted = 0, 0
	marked := servers
	for i, x := range servers {
		if x.Draining {
			delete(cold, x.ID)
			continue
		}
		s.cold.accepted++
		if !cold[x.ID] {
			continue
		}
		if s.cold.count == 0 {
			marked = slices.Clone(servers) // the caller's list must not change
		}
		marked[i].Draining = true
		s.cold.count++
	}
	return marked
}

// scheduleRecheck updates the backends of a service again at a time, unless it is zero. The caller holds d.mu.
func (d *Dispatcher) scheduleRecheck(s *service, at time.Time) {
	if s.cold.recheck != nil {
		s.cold.recheck.Stop()
		s.cold.recheck = nil
	}
	if !at.IsZero() {
		s.cold.recheck = time.AfterFunc(time.Until(at), func() { d.refresh(s) })
	}
}

// refresh updates the backends of a service because time has passed or a grant was used.
func (d *Dispatcher) refresh(s *service) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.services[s.name] == s {
		d.updateBackends(s, s.allServers)
	}
}

// zoneReturned makes all servers of a zone cold whose services have cold times: the zone's evacuation has
// been taken back, and its servers may have become cold before any list says so. It must be called before
// the zone's servers are handed to the event loops again. The caller holds d.mu.
func (d *Dispatcher) zoneReturned(zone string, at time.Time) {
	for name, list := range d.lists {
		if s := d.services[name]; d.warmups.chill(name, list, zone, at) && s != nil {
			d.updateBackends(s, list)
		}
	}
}
