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

func (b *Balancer) list(l ServerList) {
	b.ask.answered(b, l.Kind)
	if l.Kind == ListFailed {
		return
	}
	if l.Kind != ListChanges {
		for _, s := range b.servers {
			s.listed = false // order does not matter: every server gets the same
		}
	}
	for _, e := range l.Servers {
		b.entry(e)
	}
	maps.DeleteFunc(b.servers, func(_ ServerID, s *server) bool { return !s.listed })
	b.index(l.Servers)
}

func (b *Balancer) entry(e Server) {
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
		// New: the budget starts at a random point so that nodes do not open together.
		h := fnv.New64a()
		h.Write([]byte(e.ID))
		s = &server{filled: b.now, tokens: -b.rng.Float64(), place: h.Sum64()}
		b.servers[e.ID] = s
	}
	if !(e.Capacity > 0) {
		e.Capacity = 1
	}
	s.Server, s.listed = e, true
}

// index lists the servers that take requests, the old in their old order, the new in that of the news.
func (b *Balancer) index(news []Server) {
	old := b.ready
	b.ready, b.stamp = make([]*server, 0, len(b.servers)), b.stamp+1
	b.top, b.near = 0, b.near[:0]
	for _, s := range old {
		b.enlist(s)
	}
	for _, e := range news {
		b.enlist(b.servers[e.ID])
	}
	b.ring = append(b.ring[:0], b.ready...)
	slices.SortFunc(b.ring, func(s, o *server) int {
		return cmp.Or(cmp.Compare(s.place, o.place), cmp.Compare(s.ID, o.ID))
	})
}

// subset returns the servers that this node sends to. In a large fleet they are a part of all: each gets more
// of the node's requests, so it is known better and its connections stay in use. The servers stand on a ring
// by hash, the nodes at even distances, so each server has about equally many nodes.
func (b *Balancer) subset() []*server {
	if b.now-b.nearAt < curveLife && len(b.near) > 0 {
		return b.near
	}
	n, nodes := len(b.ring), max(b.cfg.Nodes, 1)
	b.span.add(b.now, b.warmSum*(b.now-b.nearAt).Seconds())
	b.served.age(b.now)
	gap := float64(b.now - b.nearAt)
	fade := math.Exp2(-gap / float64(peakLife))
	b.peak = max(b.served.sum/max(b.span.sum, cmp.Or(b.warmSum, b.nearSum), 1e-9), b.peak*fade)
	b.near, b.nearAt, b.nearSum, b.warmSum = b.near[:0], b.now, 0, 0
	want := min(max(subsetLeast, (n*coverLeast+nodes-1)/nodes), n)
	need, able, fit := 0.0, 0.0, 0.0 // needed yet: cold ones and those set aside count for what they can do
	for _, s := range b.ring {
		need += s.Capacity * float64(want) / float64(n)
		able += s.Capacity * b.warmth(s)
	}
	_, at := math.Modf(float64(b.cfg.Number) * math.Phi)
	for i, from := 0, int(at*float64(n)); i < min(n, 2*want) && (need > 1e-9 || i < want); i++ {
		s := b.ring[(from+i)%n]
		b.near, b.nearSum = append(b.near, s), b.nearSum+s.Capacity
		if b.warmth(s) >= 1 {
			b.warmSum += s.Capacity
		}
		if !s.aside(b.now) {
			fit += s.Capacity
			need -= s.Capacity * b.warmth(s)
		}
	}
	b.full = max(able, able+(b.full-able)*math.Exp2(-gap/float64(fullLife)))
	if b.left = able / b.full * fit / b.nearSum; b.asked.perSecond(b.now) > thinRate*float64(len(b.near)) ||
		b.cfg.Slots && b.held*float64(len(b.near)) < halfFull*b.nearSum {
		b.left = 1
	}
	return b.near
}

func (b *Balancer) enlist(s *server) {
	if s == nil || s.mark == b.stamp || !s.serves() {
		return
	}
	s.mark = b.stamp
	b.ready = append(b.ready, s)
	b.top = max(b.top, s.Capacity)
}

// asking is the state of this node's calls to discovery.
type asking struct {
	subscribed, pending bool
	since               time.Duration // of the call that is out
	failures            int
}

// firstAsk sets the time of the first call, spread by the number of nodes, which may all start together.
func (b *Balancer) firstAsk() {
	if b.cfg.MustSubscribe {
		spread := min(askSpread*time.Duration(max(b.cfg.Nodes, 1)), 2*b.askLimit())
		b.do(SetTimer{Token: tokenAsk, After: time.Duration(b.rng.Float64() * float64(spread))})
	}
}

// askLimit is the longest pause between calls while there is no subscription.
func (b *Balancer) askLimit() time.Duration { return min(askMost, cmp.Or(b.cfg.AskWithin/2, askMost)) }

func (b *Balancer) askDue() {
	if b.ask.subscribed || b.ask.pending && b.now-b.ask.since < askPatience {
		return
	}
	b.ask.pending, b.ask.since = true, b.now
	b.do(Subscribe{})
	b.do(SetTimer{Token: tokenAsk, After: askPatience})
}

// answered takes note of a list as the answer to a call.
func (a *asking) answered(b *Balancer, kind ListKind) {
	switch {
	case !b.cfg.MustSubscribe || kind == ListCached || kind != ListFailed && !a.pending:
		return
	case kind != ListFailed:
		a.pending, a.subscribed, a.failures = false, true, 0
		return
	}
	a.pending, a.subscribed, a.failures = false, false, a.failures+1
	if a.failures&(a.failures-1) == 0 { // ever fewer lines of a trouble that goes on
		b.do(Log{Text: fmt.Sprintf("discovery call failed %d times in a row", a.failures)})
	}
	pause := float64(min(askFirst<<min(a.failures-1, 5), b.askLimit())) * (0.5 + 0.5*b.rng.Float64())
	b.do(SetTimer{Token: tokenAsk, After: time.Duration(pause)})
}
