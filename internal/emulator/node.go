package emulator

import (
	"log/slog"
	"slices"
	"strconv"
	"time"

	"pipitmux/internal/core"
	"pipitmux/logic"
)

// node is one balancer: a core.Owner round a module, and a model of what
// internal/upstream and the platform's network do for it.
type node struct {
	w       *world
	no      int
	zone    int
	alive   bool
	epoch   int
	owner   *core.Engine
	wake    time.Duration // the earliest wake-up planned, 0: none
	pool    map[int]*idleConns
	open    int                       // connections, in use or idle
	opening []*attempt                // that had to open one, the latest ones
	tries   map[*try]struct{}         // taken and not answered
	view    map[int]logic.ServerState // as told, for what it knows at a restart
	told    int                       // how far in the registry's news it is
	watch   bool                      // it has a watch
	flush   bool                      // news are on their way

	inbox []func() // events of the present instant
	out   []func() // what it does to the world, while nodes decide at once

	gone map[logic.ServerID]bool // whom it was told to be gone, in any of its lives

	inFront, cutOff bool // the front deals it clients; nothing reaches it
}

// decide takes the events of the present instant.
func (n *node) decide() {
	for i, do := range n.inbox {
		n.inbox[i] = nil
		do()
	}
	n.inbox = n.inbox[:0]
}

// effect does something to the world: at once, or when all nodes that decide at
// this instant have done so.
func (n *node) effect(do func()) {
	if n.w.apart {
		n.out = append(n.out, do)
		return
	}
	do()
}

// idleConns are the idle connections to one process of a backend, the latest used last.
type idleConns struct {
	epoch int
	since []time.Duration
}

// attempt is one send on its way.
type attempt struct {
	n       *node
	b       *backend
	epoch   int // of the node
	process int // of the backend
	try     *try
	until   time.Duration
	done    func(core.AttemptResult)
	over    bool
	begun   bool // its last byte has gone out
	conn    bool // holds a connection
	job     *job
	reply   func(logic.Result, []float64) // of a live day, where it has come over a socket
}

var nothing = noCount{}

type noCount struct{}

func (noCount) Add(string) {}

// start gives the node a new module, which knows nothing but the list as last held.
func (n *node) start() {
	n.epoch++
	if n.w.live != nil {
		n.w.live.start(n)
		return
	}
	s := n.w.sc.settings(n.w.sc.Zones[n.zone].Name, n.no, len(n.w.nodes))
	m, err := n.w.policy(s, n.w.rng.Uint64())
	if err != nil {
		n.w.fail(err)
		return
	}
	n.alive, n.wake, n.open, n.watch, n.flush = true, 0, 0, false, false
	n.pool, n.tries = map[int]*idleConns{}, map[*try]struct{}{}
	n.owner = core.NewEngine(m, s, core.Environment{
		Now: n.w.time, Post: func(ev func()) { ev() }, Transport: n, Registry: n, Counters: nothing,
		Log: slog.New(slog.DiscardHandler),
	})
	n.owner.UpdateBackends(logic.ListCached, n.w.entries(n.view))
	n.after()
	n.w.tier.began(n)
}

// kill ends the node as it stands.
func (n *node) kill() {
	n.alive, n.watch = false, false
	n.epoch++
	n.w.audit.NodeDied(n.w.now, n.no)
	n.w.tier.died(n)
	if n.w.live != nil {
		n.w.live.out.Kill(n.no)
		return
	}
	for _, b := range n.w.backends {
		if p := n.pool[b.no]; p != nil && p.epoch == b.epoch {
			b.conns -= len(p.since)
		}
	}
	for _, t := range n.w.sortedTries(n.tries) {
		t.broke()
	}
	n.tries = nil
}

// tell has something happen at the node, at its next tick.
func (n *node) tell(at time.Duration, do func()) {
	epoch := n.epoch
	n.w.q.push(max(n.w.ticked(at), n.w.now), 0, n, func() {
		if n.epoch == epoch && n.alive {
			do()
			n.after()
		}
	})
}

// after settles what an event has left and plans the next wake-up.
func (n *node) after() {
	n.owner.RunPending()
	next, any := n.owner.NextTimer()
	if !any {
		return
	}
	at := n.w.ticked(max(n.w.since(next), n.w.now))
	if n.wake != 0 && n.wake <= at {
		return
	}
	n.wake = at
	epoch := n.epoch
	n.effect(func() {
		n.w.q.push(at, late, n, func() {
			if n.epoch != epoch || n.wake != at {
				return
			}
			n.wake = 0
			n.owner.FireTimers(nil)
			n.after()
		})
	})
}

// Start is core.Backends: it begins an attempt.
func (n *node) Start(a core.Attempt, done func(core.AttemptResult)) func() {
	w := n.w
	b := w.byEndpoint[a.Instance.Endpoint]
	t := a.Call.(*try)
	att := &attempt{n: n, b: b, epoch: n.epoch, process: b.epoch, try: t, until: w.since(a.Deadline), done: done}
	n.effect(func() { n.send(att) })
	return func() { n.effect(att.cancel) }
}

// send has an attempt set out.
func (n *node) send(att *attempt) {
	w, b := n.w, att.b
	att.sent()
	way := w.delay(n.zone, b.zone)
	w.at(max(att.until, w.now), late, func() { att.timeOut() })
	p := n.pool[b.no]
	if p != nil && p.epoch == b.epoch {
		fresh := w.sc.Conns.IdleS.sec() * 9 / 10
		for len(p.since) > 0 {
			last := p.since[len(p.since)-1]
			p.since = p.since[:len(p.since)-1]
			if w.now-last < fresh {
				att.conn = true
				break
			}
			n.open--
			b.closeConn(p.epoch)
		}
	}
	if att.conn {
		att.begun = true // its bytes leave at once
		if !w.loses(n.zone, b.zone) {
			w.after(way, func() { att.reach(0) })
		}
		return
	}
	if most := w.sc.Nodes.Connections; most > 0 && n.open >= most {
		att.end(logic.ConnectFailed, nil, 0)
		return
	}
	n.open++
	att.conn = true
	n.opening = append(slices.DeleteFunc(n.opening, func(a *attempt) bool { return a.begun || a.over }), att)
	w.handshakes++
	if b.state == Silent || w.lost(n.zone, b.zone) || w.lost(b.zone, n.zone) {
		w.after(w.sc.Conns.TimeoutMS.ms(), func() { att.endNow(logic.ConnectFailed, nil) })
		return
	}
	trips := time.Duration(2 * w.sc.Conns.RTTs.From * float64(way))
	w.after(trips, func() {
		switch most := b.connCap(); {
		case att.over:
		case b.state == Silent:
			w.after(w.sc.Conns.TimeoutMS.ms(), func() { att.endNow(logic.ConnectFailed, nil) })
		case b.state == Down || most > 0 && b.conns >= most:
			att.endNow(logic.ConnectFailed, nil)
		default:
			b.set(func() { b.conns++ })
			att.process, att.begun = b.epoch, true
			w.after(way, func() { att.reach(w.sc.Conns.WorkUS.From / 1e6) })
		}
	})
}

// sent counts the attempt, and tells the auditor of it.
func (a *attempt) sent() {
	w, n, b, t := a.n.w, a.n, a.b, a.try
	w.sends++
	if t.sends++; t.sends > 1 {
		w.resent++
	}
	if b.warmth() < 1 {
		w.toCold++
	}
	if n.gone[b.id] {
		w.stale++
	}
	if b.zone != n.zone {
		w.crossings++
	}
	w.audit.AttemptSent(w.now, n.no, t.id, string(b.id), w.sc.Zones[b.zone].Name, b.cell)
}

// reach has the attempt's last byte come to the backend.
func (a *attempt) reach(opening float64) {
	switch b := a.b; {
	case b.state == Silent:
	case b.state == Down || b.epoch != a.process:
		a.end(logic.Reset, nil, 0)
	default:
		b.arrive(a, opening)
	}
}

// end has the node hear how the attempt ended, once the way back and a further
// time have passed.
func (a *attempt) end(r logic.Result, report []float64, more time.Duration) {
	if a.over {
		return
	}
	if a.reply != nil {
		a.live(r, report, more)
		return
	}
	if a.begun && a.n.w.loses(a.b.zone, a.n.zone) {
		return // the answer is lost on its way: the attempt times out
	}
	a.n.w.after(more+a.n.w.delay(a.b.zone, a.n.zone), func() { a.endNow(r, report) })
}

// endNow ends the attempt at the node's side.
func (a *attempt) endNow(r logic.Result, report []float64) {
	if a.over {
		return
	}
	a.over = true
	w, n := a.n.w, a.n
	if n.epoch != a.epoch { // its node has died and taken the connection along
		if a.begun {
			a.b.closeConn(a.process)
		}
		return
	}
	keep := r == logic.OK || r == logic.Failed || r == logic.QueueFull
	if a.conn {
		a.release(keep)
	}
	at := w.now
	n.tell(at, func() {
		never := r == logic.QueueFull || r == logic.ConnectFailed || r == logic.NotSent
		n.effect(func() { w.audit.AttemptEnded(w.now, a.try.id, string(a.b.id), never, resultNames[r]) })
		a.done(core.AttemptResult{Result: r, Reply: a.try, LoadReport: report, At: w.timeAt(at)})
	})
}

var resultNames = [...]string{logic.OK: "ended ok", logic.Failed: "ended with an error", logic.QueueFull: "turned away",
	logic.TimedOut: "timed out", logic.ConnectFailed: "could not connect", logic.Reset: "reset",
	logic.Canceled: "canceled", logic.NotSent: "moot"}

// release gives its connection back, or closes it.
func (a *attempt) release(keep bool) {
	n, b := a.n, a.b
	if keep && b.epoch == a.process && b.state == Up {
		p := n.pool[b.no]
		if p == nil || p.epoch != b.epoch {
			if p != nil {
				n.open -= len(p.since)
			}
			p = &idleConns{epoch: b.epoch}
			n.pool[b.no] = p
		}
		p.since = append(p.since, n.w.now)
		return
	}
	n.open--
	if a.begun {
		b.closeConn(a.process)
	}
}

func (b *backend) closeConn(process int) {
	if b.epoch == process && b.conns > 0 {
		b.set(func() { b.conns-- })
	}
}

func (a *attempt) timeOut() {
	if a.over {
		return
	}
	r := logic.TimedOut
	if !a.begun {
		r = logic.ConnectFailed
	}
	a.endNow(r, nil)
	a.b.dropped(a)
}

func (a *attempt) cancel() {
	if a.over {
		return
	}
	a.endNow(logic.Canceled, nil)
	a.b.dropped(a)
}

// Withdraw is core.Backends.
func (n *node) Withdraw(at core.Instance) {
	n.effect(func() {
		b := n.w.byEndpoint[at.Endpoint]
		for _, a := range n.opening {
			if a.b == b && !a.begun {
				a.endNow(logic.NotSent, nil)
			}
		}
	})
}

// CloseIdle is core.Backends.
func (n *node) CloseIdle(at core.Instance) { n.effect(func() { n.closeIdle(at) }) }

func (n *node) closeIdle(at core.Instance) {
	b := n.w.byEndpoint[at.Endpoint]
	if b == nil {
		return
	}
	if p := n.pool[b.no]; p != nil {
		n.open -= len(p.since)
		if p.epoch == b.epoch && len(p.since) > 0 {
			b.set(func() { b.conns -= len(p.since) })
		}
		delete(n.pool, b.no)
	}
}

// Subscribe is core.Registry.
func (n *node) Subscribe() { n.effect(func() { n.w.disc.call(n, true) }) }

// Fetch is core.Registry.
func (n *node) Fetch() { n.effect(func() { n.w.disc.call(n, false) }) }

// entry is a backend as the registry tells it.
func (b *backend) entry(st logic.ServerState) core.Backend {
	return core.Backend{Endpoint: "b" + strconv.Itoa(b.no), Server: logic.Server{
		ID: b.id, Capacity: b.weight, State: st, StartedAt: b.w.unix(b.born), Kind: b.kind.Name, Zone: b.w.sc.Zones[b.zone].Name, Cell: b.cell,
	}}
}
