package emulator

import (
	"log/slog"
	"slices"
	"strconv"
	"time"

	"oakseam/internal/core"
	"oakseam/logic"
)

// node is a load-balancer node: a core.Engine around a module, and a model of what
// internal/upstream and the network do for it.
type node struct {
	sim             *simulation
	number          int
	zone            int
	alive           bool
	epoch           int
	engine          *core.Engine
	nextWake        time.Duration // earliest scheduled wake-up, 0: none
	idle            map[int]*idleConns
	openConns       int                        // in use and idle
	connecting      []*attempt                 // recent attempts that had to open a connection
	requests        map[*requestState]struct{} // received and not answered
	knownStates     map[int]logic.ServerState  // last list received, kept across a restart
	logPosition     int                        // position in the registry's change log
	watching        bool                       // watches the registry
	updateScheduled bool                       // a delivery of changes is scheduled

	inbox   []func() // events of the current instant
	effects []func() // effects on the simulation, deferred while nodes run in parallel

	toldGone map[logic.ServerID]bool // backends that any process of the node was told are gone

	inRotation  bool // the frontend sends it clients
	unreachable bool // nothing reaches it
}

// runInbox runs the node's events of the current instant.
func (n *node) runInbox() {
	for i, run := range n.inbox {
		n.inbox[i] = nil
		run()
	}
	n.inbox = n.inbox[:0]
}

// effect changes the simulation outside the node: at once, or after all nodes of this instant
// have run if they run in parallel.
func (n *node) effect(run func()) {
	if n.sim.deferEffects {
		n.effects = append(n.effects, run)
		return
	}
	run()
}

// idleConns holds the idle connections to one process of a backend, the most recently used last.
type idleConns struct {
	processEpoch int
	idleSince    []time.Duration
}

// attempt is one attempt in progress.
type attempt struct {
	node         *node
	backend      *backend
	nodeEpoch    int
	processEpoch int // of the backend
	request      *requestState
	deadline     time.Duration
	done         func(core.AttemptResult)
	ended        bool
	written      bool // the last byte was sent
	holdsConn    bool
	job          *job
	reply        func(logic.Result, []float64) // set if the request arrived over a socket in a live run
}

// discardCounters is the node's counter sink.
var discardCounters = discardedCounters{}

type discardedCounters struct{}

func (discardedCounters) Add(string) {}

// start gives the node a new module, which knows nothing but the cached list.
func (n *node) start() {
	n.epoch++
	if n.sim.live != nil {
		n.sim.live.startNode(n)
		return
	}
	s := n.sim.scenario.moduleSettings(n.sim.scenario.Zones[n.zone].Name, n.number, len(n.sim.nodes))
	m, err := n.sim.newModule(s, n.sim.rng.Uint64())
	if err != nil {
		n.sim.fail(err)
		return
	}
	n.alive, n.nextWake, n.openConns, n.watching, n.updateScheduled = true, 0, 0, false, false
	n.idle, n.requests = map[int]*idleConns{}, map[*requestState]struct{}{}
	n.engine = core.NewEngine(m, s, core.Environment{
		Now: n.sim.wallTime, Post: func(ev func()) { ev() }, Transport: n, Registry: n, Counters: discardCounters,
		Log: slog.New(slog.DiscardHandler),
	})
	n.engine.UpdateBackends(logic.ListCached, n.sim.backendList(n.knownStates))
	n.finishEvent()
	n.sim.peerNetwork.nodeStarted(n)
}

// kill ends the node's process at once.
func (n *node) kill() {
	n.alive, n.watching = false, false
	n.epoch++
	n.sim.auditor.NodeDied(n.sim.now, n.number)
	n.sim.peerNetwork.nodeDied(n)
	if n.sim.live != nil {
		n.sim.live.environment.KillNode(n.number)
		return
	}
	for _, b := range n.sim.backends {
		if p := n.idle[b.number]; p != nil && p.processEpoch == b.processEpoch {
			b.openConns -= len(p.idleSince)
		}
	}
	for _, request := range n.sim.sortedRequests(n.requests) {
		request.nodeDied()
	}
	n.requests = nil
}

// schedule runs an event at the node, at its next tick.
func (n *node) schedule(at time.Duration, run func()) {
	epoch := n.epoch
	n.sim.queue.push(max(n.sim.nextTick(at), n.sim.now), 0, n, func() {
		if n.epoch == epoch && n.alive {
			run()
			n.finishEvent()
		}
	})
}

// finishEvent runs what an event has left pending and schedules the next wake-up.
func (n *node) finishEvent() {
	n.engine.RunPending()
	next, any := n.engine.NextTimer()
	if !any {
		return
	}
	at := n.sim.nextTick(max(n.sim.virtualTime(next), n.sim.now))
	if n.nextWake != 0 && n.nextWake <= at {
		return
	}
	n.nextWake = at
	epoch := n.epoch
	n.effect(func() {
		n.sim.queue.push(at, afterOthers, n, func() {
			if n.epoch != epoch || n.nextWake != at {
				return
			}
			n.nextWake = 0
			n.engine.FireTimers(nil)
			n.finishEvent()
		})
	})
}

// Start begins an attempt. It implements core.Backends.
func (n *node) Start(a core.Attempt, done func(core.AttemptResult)) func() {
	sim := n.sim
	b := sim.byEndpoint[a.Instance.Endpoint]
	request := a.Call.(*requestState)
	att := &attempt{node: n, backend: b, nodeEpoch: n.epoch, processEpoch: b.processEpoch, request: request, deadline: sim.virtualTime(a.Deadline), done: done}
	n.effect(func() { n.send(att) })
	return func() { n.effect(att.cancel) }
}

// send sends an attempt over an idle connection or a new one.
func (n *node) send(att *attempt) {
	sim, b := n.sim, att.backend
	att.recordSend()
	delay := sim.networkDelay(n.zone, b.zone)
	sim.scheduleAt(max(att.deadline, sim.now), afterOthers, func() { att.timeOut() })
	p := n.idle[b.number]
	if p != nil && p.processEpoch == b.processEpoch {
		reusableFor := sim.scenario.Conns.IdleTimeoutS.sec() * 9 / 10
		for len(p.idleSince) > 0 {
			last := p.idleSince[len(p.idleSince)-1]
			p.idleSince = p.idleSince[:len(p.idleSince)-1]
			if sim.now-last < reusableFor {
				att.holdsConn = true
				break
			}
			n.openConns--
			b.closeConn(p.processEpoch)
		}
	}
	if att.holdsConn {
		att.written = true // its bytes leave at once
		if !sim.dropIfPartitioned(n.zone, b.zone) {
			sim.scheduleAfter(delay, func() { att.arrive(0) })
		}
		return
	}
	if limit := sim.scenario.Nodes.MaxConnections; limit > 0 && n.openConns >= limit {
		att.end(logic.ConnectFailed, nil, 0)
		return
	}
	n.openConns++
	att.holdsConn = true
	n.connecting = append(slices.DeleteFunc(n.connecting, func(a *attempt) bool { return a.written || a.ended }), att)
	sim.handshakes++
	if b.state == Silent || sim.partitioned(n.zone, b.zone) || sim.partitioned(b.zone, n.zone) {
		sim.scheduleAfter(sim.scenario.Conns.ConnectTimeoutMS.ms(), func() { att.endNow(logic.ConnectFailed, nil) })
		return
	}
	handshakeDelay := time.Duration(2 * sim.scenario.Conns.HandshakeRTTs.From * float64(delay))
	sim.scheduleAfter(handshakeDelay, func() {
		switch limit := b.maxConns(); {
		case att.ended:
		case b.state == Silent:
			sim.scheduleAfter(sim.scenario.Conns.ConnectTimeoutMS.ms(), func() { att.endNow(logic.ConnectFailed, nil) })
		case b.state == Down || limit > 0 && b.openConns >= limit:
			att.endNow(logic.ConnectFailed, nil)
		default:
			b.update(func() { b.openConns++ })
			att.processEpoch, att.written = b.processEpoch, true
			sim.scheduleAfter(delay, func() { att.arrive(sim.scenario.Conns.HandshakeWorkUS.From / 1e6) })
		}
	})
}

// recordSend counts the attempt and reports it to the auditor.
func (a *attempt) recordSend() {
	sim, n, b, request := a.node.sim, a.node, a.backend, a.request
	sim.attempts++
	if request.attempts++; request.attempts > 1 {
		sim.retries++
	}
	if b.warmFraction() < 1 {
		sim.sendsToCold++
	}
	if n.toldGone[b.id] {
		sim.staleSends++
	}
	if b.zone != n.zone {
		sim.crossZoneSends++
	}
	sim.auditor.AttemptSent(sim.now, n.number, request.id, string(b.id), sim.scenario.Zones[b.zone].Name, b.cell)
}

// arrive delivers the attempt's last byte to the backend.
func (a *attempt) arrive(connectWork float64) {
	switch b := a.backend; {
	case b.state == Silent:
	case b.state == Down || b.processEpoch != a.processEpoch:
		a.end(logic.Reset, nil, 0)
	default:
		b.receive(a, connectWork)
	}
}

// end delivers the result of the attempt to the node, after the network delay and an additional
// delay.
func (a *attempt) end(r logic.Result, report []float64, extraDelay time.Duration) {
	if a.ended {
		return
	}
	if a.reply != nil {
		a.replyOverSocket(r, report, extraDelay)
		return
	}
	if a.written && a.node.sim.dropIfPartitioned(a.backend.zone, a.node.zone) {
		return // the response is lost: the attempt times out
	}
	a.node.sim.scheduleAfter(extraDelay+a.node.sim.networkDelay(a.backend.zone, a.node.zone), func() { a.endNow(r, report) })
}

// endNow ends the attempt at the node.
func (a *attempt) endNow(r logic.Result, report []float64) {
	if a.ended {
		return
	}
	a.ended = true
	sim, n := a.node.sim, a.node
	if n.epoch != a.nodeEpoch { // the node died, and its connection with it
		if a.written {
			a.backend.closeConn(a.processEpoch)
		}
		return
	}
	reusable := r == logic.OK || r == logic.Failed || r == logic.QueueFull
	if a.holdsConn {
		a.release(reusable)
	}
	at := sim.now
	n.schedule(at, func() {
		neverRan := r == logic.QueueFull || r == logic.ConnectFailed || r == logic.NotSent
		n.effect(func() {
			sim.auditor.AttemptEnded(sim.now, a.request.id, string(a.backend.id), neverRan, resultNames[r])
		})
		a.done(core.AttemptResult{Result: r, Reply: a.request, LoadReport: report, At: sim.wallTimeAt(at)})
	})
}

// resultNames are the texts of results in the auditor's event lists.
var resultNames = [...]string{logic.OK: "ended ok", logic.Failed: "ended with an error", logic.QueueFull: "turned away",
	logic.TimedOut: "timed out", logic.ConnectFailed: "could not connect", logic.Reset: "reset",
	logic.Canceled: "canceled", logic.NotSent: "moot"}

// release returns the attempt's connection to the idle pool, or closes it.
func (a *attempt) release(reusable bool) {
	n, b := a.node, a.backend
	if reusable && b.processEpoch == a.processEpoch && b.state == Up {
		p := n.idle[b.number]
		if p == nil || p.processEpoch != b.processEpoch {
			if p != nil {
				n.openConns -= len(p.idleSince)
			}
			p = &idleConns{processEpoch: b.processEpoch}
			n.idle[b.number] = p
		}
		p.idleSince = append(p.idleSince, n.sim.now)
		return
	}
	n.openConns--
	if a.written {
		b.closeConn(a.processEpoch)
	}
}

// closeConn closes a connection to a process of the backend.
func (b *backend) closeConn(process int) {
	if b.processEpoch == process && b.openConns > 0 {
		b.update(func() { b.openConns-- })
	}
}

// timeOut ends the attempt at its deadline.
func (a *attempt) timeOut() {
	if a.ended {
		return
	}
	r := logic.TimedOut
	if !a.written {
		r = logic.ConnectFailed
	}
	a.endNow(r, nil)
	a.backend.cancel(a)
}

// cancel ends the attempt at the node's request.
func (a *attempt) cancel() {
	if a.ended {
		return
	}
	a.endNow(logic.Canceled, nil)
	a.backend.cancel(a)
}

// Withdraw ends attempts that have not written anything. It implements core.Backends.
func (n *node) Withdraw(at core.Instance) {
	n.effect(func() {
		b := n.sim.byEndpoint[at.Endpoint]
		for _, a := range n.connecting {
			if a.backend == b && !a.written {
				a.endNow(logic.NotSent, nil)
			}
		}
	})
}

// CloseIdle closes the idle connections to an instance. It implements core.Backends.
func (n *node) CloseIdle(at core.Instance) { n.effect(func() { n.closeIdle(at) }) }

func (n *node) closeIdle(at core.Instance) {
	b := n.sim.byEndpoint[at.Endpoint]
	if b == nil {
		return
	}
	if p := n.idle[b.number]; p != nil {
		n.openConns -= len(p.idleSince)
		if p.processEpoch == b.processEpoch && len(p.idleSince) > 0 {
			b.update(func() { b.openConns -= len(p.idleSince) })
		}
		delete(n.idle, b.number)
	}
}

// Subscribe implements core.Registry.
func (n *node) Subscribe() { n.effect(func() { n.sim.registry.serveCall(n, true) }) }

// Fetch implements core.Registry.
func (n *node) Fetch() { n.effect(func() { n.sim.registry.serveCall(n, false) }) }

// listEntry returns the backend as the registry lists it.
func (b *backend) listEntry(state logic.ServerState) core.Backend {
	return core.Backend{Endpoint: "b" + strconv.Itoa(b.number), Server: logic.Server{
		ID: b.id, Capacity: b.weight, State: state, StartedAt: b.sim.sinceUnixEpoch(b.startedAt), Kind: b.kind.Name, Zone: b.sim.scenario.Zones[b.zone].Name, Cell: b.cell,
	}}
}
