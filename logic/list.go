package logic

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"
)

func (b *Balancer) handleList(l ServerList) {
	b.discovery.recordAnswer(b, l.Kind)
	if l.Kind == ListFailed {
		return
	}
	if l.Kind != ListChanges {
		for _, s := range b.servers {
			s.listed = false // any order: every server gets the same value
		}
	}
	for _, e := range l.Servers {
		b.updateServer(e)
	}
	maps.DeleteFunc(b.servers, func(_ ServerID, s *server) bool { return !s.listed })
	b.rebuildReady(l.Servers)
}

func (b *Balancer) updateServer(e Server) {
	s := b.servers[e.ID]
	if s != nil && (e.State == Gone || s.StartedAt != e.StartedAt) { // a new process is a new server
		s.listed, s.State = false, Gone
		delete(b.servers, e.ID)
		s = nil
	}
	if e.State == Gone {
		return
	}
	if s == nil {
		// A new server's cold budget starts at a random point, so that nodes don't start sending together.
		h := fnv.New64a()
		h.Write([]byte(e.ID))
		s = &server{refilledAt: b.now, coldTokens: -b.rng.Float64(), hash: h.Sum64()}
		b.servers[e.ID] = s
	}
	if !(e.Capacity > 0) {
		e.Capacity = 1
	}
	s.Server, s.listed = e, true
}

// rebuildReady lists the servers that take requests: known ones in their order, then new ones as listed.
func (b *Balancer) rebuildReady(listed []Server) {
	old := b.ready
	b.ready, b.scanID = make([]*server, 0, len(b.servers)), b.scanID+1
	b.maxCapacity, b.subset = 0, b.subset[:0]
	for _, s := range old {
		b.addReady(s)
	}
	for _, e := range listed {
		b.addReady(b.servers[e.ID])
	}
	b.ring = append(b.ring[:0], b.ready...)
	slices.SortFunc(b.ring, func(s, o *server) int {
		return cmp.Or(cmp.Compare(s.hash, o.hash), cmp.Compare(s.ID, o.ID))
	})
}

// refreshSubset returns the servers that this node sends to, in a large fleet a subset, known better and over
// reused connections. Nodes start at even distances on a ring by hash: servers get about equally many nodes.
func (b *Balancer) refreshSubset() []*server {
	if b.now-b.subsetAt < curveTTL && len(b.subset) > 0 {
		return b.subset
	}
	n, nodes := len(b.ring), max(b.cfg.Nodes, 1)
	b.capacityTime.add(b.now, b.warmCapacity*(b.now-b.subsetAt).Seconds())
	b.servedWork.decay(b.now)
	gap := float64(b.now - b.subsetAt)
	seconds := max(b.capacityTime.sum, cmp.Or(b.warmCapacity, b.subsetCapacity), 1e-9)
	b.peakRate = max(b.servedWork.sum/seconds, b.peakRate*math.Exp2(-gap/float64(peakHalfLife)))
	b.subset, b.subsetAt, b.subsetCapacity, b.warmCapacity = b.subset[:0], b.now, 0, 0
	size := min(max(minSubset, (n*minNodesPerServer+nodes-1)/nodes), n)
	need, total, healthy := 0.0, 0.0, 0.0 // need: missing yet; cold or ejected servers count in part
	for _, s := range b.ring {
		need += s.Capacity * float64(size) / float64(n)
		total += s.Capacity * b.warmth(s)
	}
	_, at := math.Modf(float64(b.cfg.Number) * math.Phi)
	for i, from := 0, int(at*float64(n)); i < min(n, 2*size) && (need > 1e-9 || i < size); i++ {
		s := b.ring[(from+i)%n]
		b.subset, b.subsetCapacity = append(b.subset, s), b.subsetCapacity+s.Capacity
		if b.warmth(s) >= 1 {
			b.warmCapacity += s.Capacity
		}
		if !s.ejected(b.now) {
			healthy += s.Capacity
			need -= s.Capacity * b.warmth(s)
		}
	}
	b.fullCapacity = max(total, total+(b.fullCapacity-total)*math.Exp2(-gap/float64(capacityHalfLife)))
	b.capacityLeft = total / b.fullCapacity * healthy / b.subsetCapacity
	if b.demand.perSecond(b.now) > sparseRate*float64(len(b.subset)) {
		b.capacityLeft = 1
	} else if b.cfg.Slots { // a loss counts as far as the free slots are gone
		used := b.meanReport * float64(len(b.subset)) / b.subsetCapacity
		b.capacityLeft = 1 - (1-b.capacityLeft)*min(max((used-lowUtilization)/(1-lowUtilization), 0), 1)
	}
	return b.subset
}

func (b *Balancer) addReady(s *server) {
	if s == nil || s.lastScan == b.scanID || !s.serves() {
		return
	}
	s.lastScan = b.scanID
	b.ready = append(b.ready, s)
	b.maxCapacity = max(b.maxCapacity, s.Capacity)
}

type discoveryState struct {
	subscribed, pending bool
	calledAt            time.Duration // of the pending call
	failures            int
}

// scheduleFirstCall spreads first calls by the number of nodes, as all may start together.
func (b *Balancer) scheduleFirstCall() {
	if b.cfg.MustSubscribe {
		spread := min(askJitter*time.Duration(max(b.cfg.Nodes, 1)), 2*b.askLimit())
		b.emit(SetTimer{Token: askToken, After: time.Duration(b.rng.Float64() * float64(spread))})
	}
}

// askLimit is the longest pause between calls while there is no subscription.
func (b *Balancer) askLimit() time.Duration {
	return min(maxAskWait, cmp.Or(b.cfg.AskWithin/2, maxAskWait))
}

func (b *Balancer) callDiscovery() {
	if b.discovery.subscribed || b.discovery.pending && b.now-b.discovery.calledAt < askTimeout {
		return
	}
	b.discovery.pending, b.discovery.calledAt = true, b.now
	b.emit(Subscribe{})
	b.emit(SetTimer{Token: askToken, After: askTimeout})
}

// recordAnswer takes a list as the answer to a call, and schedules the next call after a failure.
func (a *discoveryState) recordAnswer(b *Balancer, kind ListKind) {
	switch {
	case !b.cfg.MustSubscribe || kind == ListCached || kind != ListFailed && !a.pending:
		return
	case kind != ListFailed:
		a.pending, a.subscribed, a.failures = false, true, 0
		return
	}
	a.pending, a.subscribed, a.failures = false, false, a.failures+1
	if a.failures&(a.failures-1) == 0 { // ever fewer log lines while the failure lasts
		b.emit(Log{Text: fmt.Sprintf("discovery call failed %d times in a row", a.failures)})
	}
	pause := float64(min(minAskWait<<min(a.failures-1, 5), b.askLimit())) * (0.5 + 0.5*b.rng.Float64())
	b.emit(SetTimer{Token: askToken, After: time.Duration(pause)})
}
