package dispatch

import (
	"maps"
	"math"
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
	// grantStartTimeout is how soon a request that was granted for a cold server must begin. A node that was
	// suspended meanwhile asks for another grant.
	grantStartTimeout = 200 * time.Millisecond
	// maxGrantBurst bounds the requests that a holder sends at once, however large the limit is.
	maxGrantBurst = 4
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
	health   string        // path of the health check, empty: no check
}

// checkRule says when a pool's servers are asked for their health.
type checkRule struct {
	path  string // empty: never
	every int    // requests to a server, within checkWindow
}

// warmup is what this node knows about the warm-up of a server.
type warmup struct {
	listed    time.Duration // protocol.Server.Warmup of the newest entry
	period    uint64        // protocol.Server.WarmupPeriod of that entry
	coldUntil time.Time
	holders   int       // edges that may send to the server if this node is one of them, otherwise 0
	heldSince time.Time // when this node became a holder
	fullAt    time.Time // when the bucket is full again; zero if nothing was sent
	takenAt   time.Time // when it last sent one
}

func newWarmupTable(node string, limits settings.Warmup) *warmupTable {
	return &warmupTable{node: node, limits: limits, pools: map[string]poolWarmup{}, servers: map[string]map[string]*warmup{}}
}

// configure applies a configuration and reports whether it changes the cold times of any pool.
func (t *warmupTable) configure(c *routing.Configuration) (changed bool) {
	pools := map[string]poolWarmup{}
	for _, p := range c.Pools {
		if p.Warmup > 0 {
			pools[p.Name] = poolWarmup{duration: p.Warmup, perS: p.WarmupPerS, health: p.HealthMonitor}
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
			w.hold(holderCount(s.WarmupHolders, t.node), now)
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

// hold sets the number of holders if this node is one of them, otherwise 0.
func (w *warmup) hold(holders int, now time.Time) {
	if w.holders == 0 {
		w.heldSince = now
	}
	w.holders = holders
}

// holderCount returns the number of holders if the node is one of them, otherwise 0.
func holderCount(holders protocol.NodeNames, node string) int {
	if names := holders.Split(); slices.Contains(names, node) {
		return len(names)
	}
	return 0
}

// markZoneCold makes the servers of a zone cold that a service has in it, from a time on for the pool's warm-up time.
// It reports whether the service has such servers and cold times that last until now.
func (t *warmupTable) markZoneCold(service string, list []protocol.Server, zone string, from, now time.Time) (any bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pool, ok := t.pools[service]
	until := from.Add(pool.duration + warmupMargin)
	if !ok || !now.Before(until) {
		return false
	}
	servers := maps.Clone(t.servers[service])
	if servers == nil {
		servers = map[string]*warmup{}
	}
	for _, s := range list {
		if s.Zone == zone {
			w := servers[s.ID].extended(until)
			if old := servers[s.ID]; old == nil || !from.Before(old.coldUntil) {
				w.hold(0, from) // the grants of an earlier warm-up have ended
			}
			servers[s.ID], any = w, true
		}
	}
	t.servers[service] = servers
	return any
}

// markServerCold takes a server for cold for a time from now on, the pool's warm-up time at most, unless it is
// known to be cold. It reports whether it was not.
func (t *warmupTable) markServerCold(service, id string, remaining time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.servers[service][id]
	pool, limited := t.pools[service]
	if !limited || known != nil && now.Before(known.coldUntil) {
		return false
	}
	w := known.extended(now.Add(min(remaining, pool.duration) + warmupMargin))
	w.hold(0, now) // the grants of an earlier warm-up have ended
	servers := maps.Clone(t.servers[service])
	if servers == nil {
		servers = map[string]*warmup{}
	}
	servers[id] = w
	t.servers[service] = servers
	return true
}

// checkRule returns when servers of a service are asked for their health.
func (t *warmupTable) checkRule(service string) checkRule {
	t.mu.Lock()
	defer t.mu.Unlock()
	pool, limited := t.pools[service]
	if !limited || pool.perS <= 0 {
		return checkRule{}
	}
	return checkRule{path: pool.health, every: max(int(checkShare*t.limit(pool)), 1)}
}

// limit is how many requests in any second all nodes together may send to a cold server of a pool.
func (t *warmupTable) limit(pool poolWarmup) float64 {
	overrun := t.limits.Overrun
	if overrun == 0 {
		overrun = 1
	}
	return pool.perS*overrun + t.limits.Slack
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

// granted returns those of the cold servers of a service that this node holds a grant for. The value tells
// whether it may send a request now. nextSend is the earliest time at which it may send to another one.
func (t *warmupTable) granted(service string, cold map[string]bool, now time.Time) (mayNow map[string]bool, nextSend time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range cold {
		w := t.servers[service][id]
		g := t.grant(service, w)
		if g.burst == 0 {
			continue
		}
		if mayNow == nil {
			mayNow = map[string]bool{}
		}
		at := g.mayAt(w)
		if mayNow[id] = !now.Before(at); !mayNow[id] {
			nextSend = earliest(nextSend, at)
		}
	}
	return mayNow, nextSend
}

// permission is the answer of take.
type permission struct {
	allowed bool // the request may be sent
	cold    bool // the server is cold
	last    bool // no further request may be sent now
}

// take asks whether this node may send a request to a server now. A request to a cold server is counted.
func (t *warmupTable) take(service, id string, now time.Time) permission {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.servers[service][id]
	if _, limited := t.pools[service]; !ok || !limited || !now.Before(w.coldUntil) {
		return permission{allowed: true}
	}
	g := t.grant(service, w)
	if g.burst == 0 || now.Before(g.mayAt(w)) {
		return permission{cold: true}
	}
	w.fullAt, w.takenAt = latest(g.fullAt(w), now).Add(g.interval), now
	return permission{allowed: true, cold: true, last: now.Before(g.mayAt(w))}
}

// takenRecently reports whether a request to a cold server may have been granted that has not begun yet.
func (t *warmupTable) takenRecently(service, id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.servers[service][id]
	return ok && now.Sub(w.takenAt) <= grantStartTimeout
}

// grant is what one holder may send to a cold server: burst requests at once, or one every interval.
type grant struct {
	burst    int // 0: nothing
	interval time.Duration
}

// grant returns this node's part of what all may send to a cold server. Together the holders keep the limit
// in any second: what begins within it was granted within it or within grantStartTimeout before it.
func (t *warmupTable) grant(service string, w *warmup) grant {
	pool, holders := t.pools[service], float64(w.holders)
	if holders == 0 || pool.perS <= 0 {
		return grant{}
	}
	limit := t.limit(pool)
	window := (time.Second + grantStartTimeout).Seconds()
	burst := math.Min(math.Max(math.Floor((limit-pool.perS*window)/holders), 1), maxGrantBurst)
	perS := min(pool.perS, (limit-burst*holders)/window) / holders
	if perS <= 0 {
		return grant{}
	}
	return grant{burst: int(burst), interval: time.Duration(float64(time.Second) / perS)}
}

// fullAt returns the time at which the holder may send the whole burst. A new holder starts with nothing: it may
// have restarted after it had sent its burst.
func (g grant) fullAt(w *warmup) time.Time {
	return latest(w.fullAt, w.heldSince.Add(time.Duration(g.burst)*g.interval))
}

// mayAt returns the time from which the holder may send the next request.
func (g grant) mayAt(w *warmup) time.Time {
	return g.fullAt(w).Add(-time.Duration(g.burst-1) * g.interval)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
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
	checks  *healthChecks // nil: servers are not asked for their health
	used    func()        // called when the last request was counted that a cold server may receive now; must not block
}

// Start implements core.Transport.
func (g warmupGuard) Start(a core.Attempt, done func(core.AttemptResult)) (cancel func()) {
	now := time.Now()
	p := g.table.take(g.service, string(a.Instance.ID), now)
	if !p.allowed {
		go done(core.AttemptResult{Result: logic.NotSent, At: now}) // the event loop, which calls Start, may have to make room for it
		return func() {}
	}
	if p.cold {
		a.StartBefore = earliest(a.StartBefore, now.Add(grantStartTimeout))
	}
	if p.last {
		g.used()
	}
	if !p.cold && g.checks != nil {
		g.checks.sending(serverKey{service: g.service, id: string(a.Instance.ID)}, a.Instance, g.table.checkRule(g.service), now)
	}
	return g.Transport.Start(a, done)
}

// Withdraw implements core.Transport. An attempt that was granted a moment ago and still connects is not
// withdrawn because its server gets no further ones now.
func (g warmupGuard) Withdraw(instance core.Instance) {
	if !g.table.takenRecently(g.service, string(instance.ID), time.Now()) {
		g.Transport.Withdraw(instance)
	}
}

// coldState is what the last update of a service's backends found out about its cold servers.
type coldState struct {
	count   int         // accepting servers that are cold
	recheck *time.Timer // updates the backends when a server becomes warm or may get the next request
}

// markCold returns the servers with the cold ones marked as draining, so that they are kept in the list but
// get no requests. It removes from cold the servers that drain anyway.
func (s *service) markCold(servers []protocol.Server, cold map[string]bool) []protocol.Server {
	s.cold.count = 0
	marked := servers
	for i, x := range servers {
		if x.Draining {
			delete(cold, x.ID)
			continue
		}
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

// evacuationEnded makes all servers of a zone cold whose services have cold times: the zone's evacuation has
// been taken back, and its servers may have become cold before any list says so. It must be called before
// the zone's servers are handed to the event loops again. The caller holds d.mu.
func (d *Dispatcher) evacuationEnded(zone string, at time.Time) {
	for name, list := range d.lists {
		if s := d.services[name]; d.warmups.markZoneCold(name, list, zone, at, time.Now()) && s != nil {
			d.updateBackends(s, list)
		}
	}
}

// markReturnedZones makes the servers of a service cold that are listed only after the evacuation of their zone
// was taken back. The caller holds d.mu.
func (d *Dispatcher) markReturnedZones(service string, list []protocol.Server) {
	for zone, at := range d.evacuations.takenBackAt {
		d.warmups.markZoneCold(service, list, zone, at, time.Now())
	}
}

// markAllReturnedZones does the same for all services, whose cold times may have become known only now. The
// caller holds d.mu.
func (d *Dispatcher) markAllReturnedZones() {
	for name, list := range d.lists {
		d.markReturnedZones(name, list)
	}
}
