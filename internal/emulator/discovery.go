package emulator

import (
	"time"

	"pipitmux/internal/core"
	"pipitmux/logic"
)

// discovery is the model of the registry: it hears of changes late, tells them
// in rounds to the nodes that watch, and serves lists one after the other.
type discovery struct {
	w      *world
	log    []core.Backend // all news, in their order
	states map[int]logic.ServerState
	free   time.Duration // when the calls taken so far are served
	down   int
	slower float64
}

func newDiscovery(w *world) *discovery {
	d := &discovery{w: w, states: map[int]logic.ServerState{}, slower: 1}
	for _, b := range w.backends {
		d.states[b.no] = logic.Serving
		for _, n := range w.nodes {
			n.view[b.no] = logic.Serving
		}
	}
	return d
}

// news has the registry hear, after a delay, how a backend then is.
func (w *world) news(b *backend, delay time.Duration) {
	w.after(delay, func() {
		st := logic.Serving
		switch {
		case b.state != Up || b.retired:
			st = logic.Gone
		case b.draining:
			st = logic.Draining
		}
		w.disc.learn(b, st)
	})
}

func (d *discovery) learn(b *backend, st logic.ServerState) {
	if st == logic.Gone {
		delete(d.states, b.no)
	} else {
		d.states[b.no] = st
	}
	d.log = append(d.log, b.entry(st))
	if d.w.live != nil {
		d.w.live.news()
		return
	}
	for _, n := range d.w.nodes {
		if n.watch && !n.flush {
			n.flush = true
			epoch := n.epoch
			d.w.at(d.round(), 0, func() {
				if n.epoch == epoch {
					n.flush = false
					d.tell(n)
				}
			})
		}
	}
}

// tell tells a node what is new to it.
func (d *discovery) tell(n *node) {
	if !n.watch || d.down > 0 || n.told == len(d.log) {
		return
	}
	entries := d.since(n.told, len(d.log))
	n.heard(entries, false)
	n.told = len(d.log)
	n.tell(d.w.now, func() { n.owner.UpdateBackends(logic.ListChanges, entries) })
}

// round draws when a node is told at the next round of news.
func (d *discovery) round() time.Duration {
	every := d.w.sc.Discovery.EveryMS.ms()
	spread := time.Duration(d.w.netR.Float64() * float64(d.w.sc.Discovery.SpreadMS.ms()))
	return (d.w.now/every+1)*every + spread
}

// since returns the latest news of each backend in a stretch of the log.
func (d *discovery) since(from, to int) (entries []core.Backend) {
	latest := map[string]int{}
	for i := from; i < to; i++ {
		latest[d.log[i].Endpoint] = i
	}
	for i := from; i < to; i++ {
		if latest[d.log[i].Endpoint] == i {
			entries = append(entries, d.log[i])
		}
	}
	return entries
}

// whole returns the list as it is.
func (d *discovery) whole() []core.Backend { return d.w.entries(d.states) }

// entries returns a list of the backends that have a state, in their order.
func (w *world) entries(states map[int]logic.ServerState) (out []core.Backend) {
	for _, b := range w.backends {
		if st, ok := states[b.no]; ok {
			out = append(out, b.entry(st))
		}
	}
	return out
}

// heard notes what a node has been told; who is missing in a whole list has gone.
func (n *node) heard(entries []core.Backend, whole bool) {
	named := make(map[int]bool, len(entries))
	for _, e := range entries {
		if b := n.w.byEndpoint[e.Endpoint]; b != nil {
			n.heardOf(b.no, e)
			named[b.no] = true
		}
	}
	if !whole {
		return
	}
	for _, b := range n.w.backends {
		if _, had := n.view[b.no]; had && !named[b.no] {
			n.heardOf(b.no, b.entry(logic.Gone))
		}
	}
}

func (n *node) heardOf(no int, e core.Backend) {
	if e.State == logic.Gone {
		delete(n.view, no)
		n.gone[e.ID] = true
	} else {
		n.view[no] = e.State
		delete(n.gone, e.ID)
	}
	n.w.audit.BackendListed(n.w.now, n.no, string(e.ID), e.State == logic.Serving)
}

// turn takes a call that reaches the registry at an instant into its line, and
// returns when it has been served; false where it would wait too long.
func (d *discovery) turn(reaches time.Duration) (time.Duration, bool) {
	sc := &d.w.sc.Discovery
	begin := max(d.free, reaches)
	if begin-d.w.now > sc.TimeoutMS.ms() {
		return 0, false
	}
	d.free = begin
	if rate := sc.LinesPerS.From; rate > 0 {
		lines := sc.CallLines.From + float64(len(d.states))
		d.free += time.Duration(lines / rate * d.slower * 1e9)
	}
	return d.free, true
}

// call serves a node's Subscribe or Fetch with one list.
func (d *discovery) call(n *node, watch bool) {
	w, epoch := d.w, n.epoch
	answer := func(kind logic.ListKind) {
		if n.epoch != epoch {
			return
		}
		if kind == logic.ListFailed {
			n.tell(w.now, func() { n.owner.UpdateBackends(kind, nil) })
			return
		}
		entries := d.whole()
		n.heard(entries, true)
		n.watch, n.told = watch || n.watch, len(d.log)
		n.tell(w.now, func() { n.owner.UpdateBackends(kind, entries) })
	}
	out := w.delay(n.zone, n.zone)
	if d.down > 0 {
		w.after(out*2, func() { answer(logic.ListFailed) })
		return
	}
	served, ok := d.turn(w.now + out)
	if !ok {
		w.after(w.sc.Discovery.TimeoutMS.ms(), func() { answer(logic.ListFailed) })
		return
	}
	w.at(served+out, 0, func() {
		if d.down > 0 {
			answer(logic.ListFailed)
		} else {
			answer(logic.ListFull)
		}
	})
}

// breakWatches ends every watch, as a registry does that goes down.
func (d *discovery) breakWatches() {
	if d.w.live != nil {
		d.w.live.breakWatches()
		return
	}
	for _, n := range d.w.nodes {
		if n.alive && n.watch {
			n.watch = false
			n.tell(d.w.now, func() { n.owner.UpdateBackends(logic.ListFailed, nil) })
		}
	}
}
