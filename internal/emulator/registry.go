package emulator

import (
	"time"

	"oakseam/internal/core"
	"oakseam/logic"
)

// registry is the model of the registry. It learns of changes with a delay, sends them in rounds to the
// nodes that watch, and serves calls for lists one after the other.
type registry struct {
	sim       *simulation
	changes   []core.Backend // all changes in order
	states    map[int]logic.ServerState
	busyUntil time.Duration // when the calls accepted so far will have been served
	outages   int
	slowdown  float64
}

// newDiscovery returns a registry, and nodes, that list all backends as serving.
func newRegistry(sim *simulation) *registry {
	d := &registry{sim: sim, states: map[int]logic.ServerState{}, slowdown: 1}
	for _, b := range sim.backends {
		d.states[b.number] = logic.Serving
		for _, n := range sim.nodes {
			n.knownStates[b.number] = logic.Serving
		}
	}
	return d
}

// reportChange tells the registry, after a delay, the state that a backend then has.
func (sim *simulation) reportChange(b *backend, delay time.Duration) {
	sim.scheduleAfter(delay, func() {
		state := logic.Serving
		switch {
		case b.state != Up || b.retired:
			state = logic.Gone
		case b.draining:
			state = logic.Draining
		}
		sim.registry.recordState(b, state)
	})
}

// recordState records the state of a backend and schedules its delivery to the nodes.
func (d *registry) recordState(b *backend, state logic.ServerState) {
	if state == logic.Gone {
		delete(d.states, b.number)
	} else {
		d.states[b.number] = state
	}
	d.changes = append(d.changes, b.listEntry(state))
	if d.sim.live != nil {
		d.sim.live.scheduleChanges()
		return
	}
	for _, n := range d.sim.nodes {
		if n.watching && !n.updateScheduled {
			n.updateScheduled = true
			epoch := n.epoch
			d.sim.scheduleAt(d.nextRound(), 0, func() {
				if n.epoch == epoch {
					n.updateScheduled = false
					d.sendChanges(n)
				}
			})
		}
	}
}

// sendChanges sends a node the changes that it has not seen.
func (d *registry) sendChanges(n *node) {
	if !n.watching || d.outages > 0 || n.logPosition == len(d.changes) {
		return
	}
	entries := d.changesBetween(n.logPosition, len(d.changes))
	n.recordList(entries, false)
	n.logPosition = len(d.changes)
	n.schedule(d.sim.now, func() { n.engine.UpdateBackends(logic.ListChanges, entries) })
}

// nextRound draws the time at which a node gets the changes of the next round.
func (d *registry) nextRound() time.Duration {
	every := d.sim.scenario.Discovery.IntervalMS.ms()
	spread := time.Duration(d.sim.networkRNG.Float64() * float64(d.sim.scenario.Discovery.SpreadMS.ms()))
	return (d.sim.now/every+1)*every + spread
}

// changesBetween returns the latest change of each backend in a part of the change log.
func (d *registry) changesBetween(from, to int) (entries []core.Backend) {
	latest := map[string]int{}
	for i := from; i < to; i++ {
		latest[d.changes[i].Endpoint] = i
	}
	for i := from; i < to; i++ {
		if latest[d.changes[i].Endpoint] == i {
			entries = append(entries, d.changes[i])
		}
	}
	return entries
}

// fullList returns the current list.
func (d *registry) fullList() []core.Backend { return d.sim.backendList(d.states) }

// backendList returns the list of the backends that have a state, in the order of their numbers.
func (sim *simulation) backendList(states map[int]logic.ServerState) (out []core.Backend) {
	for _, b := range sim.backends {
		if state, ok := states[b.number]; ok {
			out = append(out, b.listEntry(state))
		}
	}
	return out
}

// recordList records a list sent to a node. A backend that a full list lacks is gone.
func (n *node) recordList(entries []core.Backend, full bool) {
	listed := make(map[int]bool, len(entries))
	for _, e := range entries {
		if b := n.sim.byEndpoint[e.Endpoint]; b != nil {
			n.recordBackend(b.number, e)
			listed[b.number] = true
		}
	}
	if !full {
		return
	}
	for _, b := range n.sim.backends {
		if _, had := n.knownStates[b.number]; had && !listed[b.number] {
			n.recordBackend(b.number, b.listEntry(logic.Gone))
		}
	}
}

// recordBackend records the state of one backend as sent to the node.
func (n *node) recordBackend(number int, e core.Backend) {
	if e.State == logic.Gone {
		delete(n.knownStates, number)
		n.toldGone[e.ID] = true
	} else {
		n.knownStates[number] = e.State
		delete(n.toldGone, e.ID)
	}
	n.sim.auditor.BackendListed(n.sim.now, n.number, string(e.ID), e.State == logic.Serving)
}

// reserve queues a call that reaches the registry at an instant. It returns when the call will
// have been served, or false if it would time out first.
func (d *registry) reserve(arrival time.Duration) (time.Duration, bool) {
	settings := &d.sim.scenario.Discovery
	begin := max(d.busyUntil, arrival)
	if begin-d.sim.now > settings.TimeoutMS.ms() {
		return 0, false
	}
	d.busyUntil = begin
	if rate := settings.LinesPerSecond.From; rate > 0 {
		lines := settings.CallLines.From + float64(len(d.states))
		d.busyUntil += time.Duration(lines / rate * d.slowdown * 1e9)
	}
	return d.busyUntil, true
}

// serveCall serves a node's Subscribe or Fetch with a full list.
func (d *registry) serveCall(n *node, watch bool) {
	sim, epoch := d.sim, n.epoch
	answer := func(kind logic.ListKind) {
		if n.epoch != epoch {
			return
		}
		if kind == logic.ListFailed {
			n.schedule(sim.now, func() { n.engine.UpdateBackends(kind, nil) })
			return
		}
		entries := d.fullList()
		n.recordList(entries, true)
		n.watching, n.logPosition = watch || n.watching, len(d.changes)
		n.schedule(sim.now, func() { n.engine.UpdateBackends(kind, entries) })
	}
	out := sim.networkDelay(n.zone, n.zone)
	if d.outages > 0 {
		sim.scheduleAfter(out*2, func() { answer(logic.ListFailed) })
		return
	}
	served, ok := d.reserve(sim.now + out)
	if !ok {
		sim.scheduleAfter(sim.scenario.Discovery.TimeoutMS.ms(), func() { answer(logic.ListFailed) })
		return
	}
	sim.scheduleAt(served+out, 0, func() {
		if d.outages > 0 {
			answer(logic.ListFailed)
		} else {
			answer(logic.ListFull)
		}
	})
}

// breakWatches ends all watches, as a registry outage does.
func (d *registry) breakWatches() {
	if d.sim.live != nil {
		d.sim.live.breakWatches()
		return
	}
	for _, n := range d.sim.nodes {
		if n.alive && n.watching {
			n.watching = false
			n.schedule(d.sim.now, func() { n.engine.UpdateBackends(logic.ListFailed, nil) })
		}
	}
}
