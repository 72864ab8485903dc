package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"pipitmux/logic"
)

// trouble plans what goes wrong in the day: what the scenario states, and what
// it has drawn.
func (w *world) trouble(sc *Scenario, start time.Duration, r *rand.Rand) {
	for i := range w.sc.Troubles {
		w.befall(w.sc.Troubles[i], start, r)
	}
	if len(sc.Incidental.Candidates) == 0 {
		return
	}
	for range int(sc.Incidental.Count.draw(r)) {
		t := sc.Incidental.Candidates[r.IntN(len(sc.Incidental.Candidates))]
		t.Fraction, t.Severity, t.DurationS = fixed(t.Fraction.draw(r)), fixed(t.Severity.draw(r)), fixed(t.DurationS.draw(r))
		if t.AtS == (Range{}) { // some time, so that it is over before the day is
			t.AtS = Range{0, max(w.sc.Seconds.From-t.DurationS.From, 0)}
		}
		t.AtS = fixed(t.AtS.draw(r))
		w.befall(t, start, r)
	}
}

// befall plans one trouble. Whom it hits is drawn now, so that each policy meets
// the same.
func (w *world) befall(t Fault, start time.Duration, r *rand.Rand) {
	var hit []*backend
	for _, no := range t.Backends {
		if no < len(w.backends) {
			hit = append(hit, w.backends[no])
		}
	}
	if len(t.Backends) == 0 {
		n := len(w.backends)
		if t.Fraction.From > 0 {
			n = max(int(math.Round(t.Fraction.From*float64(n))), 1)
		}
		for _, no := range r.Perm(len(w.backends))[:min(n, len(w.backends))] {
			hit = append(hit, w.backends[no])
		}
	}
	zone := r.IntN(len(w.sc.Zones))
	if t.Zone != "" {
		zone = w.sc.zone(t.Zone)
	}
	at, last := start+t.AtS.sec(), t.DurationS.sec()
	run := func(begin, end func()) {
		w.at(at, 0, func() { w.happened(t.Kind, w.names(t.Kind, hit, zone)); begin() })
		if end != nil {
			w.at(at+last, 0, func() { w.happened(t.Kind+" over", ""); end() })
		}
	}
	each := func(set func(*backend)) func() {
		return func() {
			for _, b := range hit {
				b.set(func() { set(b) })
			}
		}
	}
	size := t.Severity.From
	switch t.Kind {
	case "vanish":
		run(func() { w.vanish(hit) }, func() { w.comeBack(hit) })
	case "slow", "shared_slow":
		if t.Kind == "shared_slow" && len(t.Backends) == 0 {
			hit = w.backends
		}
		run(each(func(b *backend) { b.slow *= size }), each(func(b *backend) { b.slow /= size }))
	case "hang":
		run(each(func(b *backend) { b.hanging++ }), each(func(b *backend) { b.hanging-- }))
	case "fast_errors":
		run(each(func(b *backend) { b.failing = size }), each(func(b *backend) { b.failing = 0 }))
	case "zone_loss":
		w.zoneLoss(run, zone, size > .5, t.RecoveryLagS.sec())
	case "replace":
		w.replace(hit, at, last)
	case "restart_nodes":
		run(func() {
			for _, n := range w.nodes {
				w.restart(n, time.Duration(w.rng.Float64()*float64(last)))
			}
		}, nil)
	case "power_loss":
		w.powerLoss(run, t, r)
	case "cut":
		run(func() { w.cutOff(zone, w.sc.zone(t.ToZone), 1) }, func() { w.cutOff(zone, w.sc.zone(t.ToZone), -1) })
	case "peer_cut":
		to := w.sc.zone(t.ToZone)
		run(func() { w.tier.ways.cut(zone, to, 1) }, func() { w.tier.ways.cut(zone, to, -1) })
	case "peer_loss":
		run(func() { w.tier.ways.lossy(size) }, func() { w.tier.ways.lossy(-size) })
	case "discovery_down":
		run(func() { w.disc.down++; w.disc.breakWatches() }, func() { w.disc.down-- })
	case "discovery_slow":
		run(func() { w.disc.slower *= size }, func() { w.disc.slower /= size })
	}
}

func (w *world) names(kind string, hit []*backend, zone int) string {
	switch kind {
	case "zone_loss":
		return w.sc.Zones[zone].Name
	case "cut", "peer_cut":
		return "from " + w.sc.Zones[zone].Name
	case "power_loss", "shared_slow", "restart_nodes", "discovery_down", "discovery_slow", "peer_loss":
		return ""
	}
	s := ""
	for i, b := range hit {
		if i == 12 {
			return s + " …"
		}
		s += " " + string(b.id)
	}
	return s[min(1, len(s)):]
}

// vanish has machines go silent.
func (w *world) vanish(hit []*backend) {
	for _, b := range hit {
		if b.state == Up && !b.retired {
			b.stop(Silent)
			w.news(b, w.sc.Discovery.SilentNoticeDelayS.sec())
		}
	}
}

// comeBack has machines that had vanished start cold.
func (w *world) comeBack(hit []*backend) {
	for _, b := range hit {
		if b.state == Silent && !b.retired {
			b.rise()
		}
	}
}

// zoneLoss cuts a data centre off: its processes die, or, with its nodes, all of
// it goes silent. It comes back cold, its backends by a lag later than its nodes.
func (w *world) zoneLoss(run func(begin, end func()), zone int, whole bool, lag time.Duration) {
	run(func() {
		for _, b := range w.backends {
			if b.zone != zone || b.state != Up || b.retired {
				continue
			}
			if whole {
				b.stop(Silent)
				w.news(b, w.sc.Discovery.SilentNoticeDelayS.sec())
			} else {
				b.stop(Down)
				w.news(b, w.sc.Discovery.NoticeDelayS.sec())
			}
		}
		if whole {
			for _, n := range w.nodes {
				if n.zone == zone && n.alive {
					n.cutOff = true
					n.kill()
					w.front.notice(n)
				}
			}
		}
	}, func() {
		w.after(lag, func() {
			for _, b := range w.backends {
				if b.zone == zone && b.state != Up && !b.retired {
					b.rise()
				}
			}
		})
		for _, n := range w.nodes {
			if n.zone == zone && n.cutOff {
				n.cutOff = false
				n.start()
				w.front.notice(n)
			}
		}
	})
}

// powerLoss has every machine go silent at once: nodes, backends and the registry. They
// start cold, in one instant or in a random order, the nodes with the list as last held.
func (w *world) powerLoss(run func(begin, end func()), t Fault, r *rand.Rand) {
	spread := t.RestartSpreadS.sec()
	starts := make([]time.Duration, len(w.nodes)+len(w.backends))
	for i := range starts {
		starts[i] = time.Duration(r.Float64() * float64(spread))
	}
	var lost []*backend
	run(func() {
		w.disc.down++
		w.disc.breakWatches()
		for _, b := range w.backends {
			if b.state == Up && !b.retired {
				b.stop(Silent)
				lost = append(lost, b)
			}
		}
		for _, n := range w.nodes {
			if n.alive {
				n.cutOff = true
				n.kill()
				w.front.notice(n)
			}
		}
	}, func() {
		w.after(t.RecoveryLagS.sec(), func() { w.disc.down-- })
		for _, b := range lost {
			w.after(starts[(len(w.nodes)+b.no)%len(starts)], b.rise)
		}
		for _, n := range w.nodes {
			if n.cutOff {
				w.after(starts[n.no], func() {
					n.cutOff = false
					n.start()
					w.front.notice(n)
				})
			}
		}
	})
}

// cutOff begins or heals a cut: what nodes and backends of a zone send to those of
// another is lost. The two halves of a handshake need both ways, so no connection comes
// up between them whichever way is cut.
func (w *world) cutOff(from, to, by int) {
	w.cuts[[2]int{from, to}] += by
	if w.tier != nil {
		w.tier.ways.cut(from, to, by)
	}
	if w.live == nil || w.live.out == nil {
		return
	}
	for _, n := range w.nodes {
		for _, b := range w.backends {
			if n.zone != b.zone && (n.zone == from && b.zone == to || n.zone == to && b.zone == from) {
				w.live.out.SetPartition(n.no, b.no, w.lost(n.zone, b.zone) || w.lost(b.zone, n.zone))
			}
		}
	}
}

// lost tells whether what is sent from one zone to another now is lost.
func (w *world) lost(from, to int) bool { return w.cuts[[2]int{from, to}] > 0 }

// loses is lost for a request or an answer that sets out, and counts it.
func (w *world) loses(from, to int) bool {
	if !w.lost(from, to) {
		return false
	}
	w.lostInCuts++
	return true
}

// restart kills a node after a time and starts it from nothing soon after.
func (w *world) restart(n *node, after time.Duration) {
	w.after(after, func() {
		if !n.alive {
			return
		}
		n.kill()
		w.front.notice(n)
		w.after(500*time.Millisecond, func() {
			if !n.alive && !n.cutOff {
				n.start()
				w.front.notice(n)
			}
		})
	})
}

// drainFor is how long a backend that is replaced finishes what it has.
const drainFor = 8 * time.Second

// replace has backends make room, one after the other over a time, for others
// under new ids, which start cold.
func (w *world) replace(hit []*backend, at, over time.Duration) {
	w.at(at, 0, func() { w.happened("replace", w.names("replace", hit, 0)) })
	for i, old := range hit {
		w.at(at+over*time.Duration(i)/time.Duration(len(hit)), 0, func() {
			if old.state != Up || old.retired || old.draining {
				return
			}
			old.draining = true
			w.news(old, w.sc.Discovery.NoticeDelayS.sec())
			w.after(drainFor+w.sc.Discovery.NoticeDelayS.sec(), func() {
				if old.retired {
					return
				}
				old.retired = true
				old.stop(Down)
				w.disc.learn(old, logic.Gone)
			})
			b := w.add(old.kind, old.zone, 1)
			b.speed = old.speed
			b.rise()
		})
	}
}
