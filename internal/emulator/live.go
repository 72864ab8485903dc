package emulator

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"pipitmux/internal/audit"
	"pipitmux/internal/core"
	"pipitmux/internal/member"
	"pipitmux/logic"
)

// Live plays a scenario's day in real time, with real nodes: the models of
// clients, backends and registry are the same, but what passes between them and
// the nodes goes over an Outside's sockets. One goroutine owns the day; all else
// reaches it by a queue.
type Live struct {
	w     *world
	sc    *Scenario
	seed  uint64
	out   Outside
	do    chan func()
	began time.Time
	over  chan struct{}
	tries map[string]*try
	waitN int // nodes that are still to be ready

	mu     sync.Mutex
	shown  []int           // how much of the registry's log each node may see
	change []chan struct{} // closed when that grows
	broken []chan struct{} // closed when a node's watches break
}

// Outside is the real side of a live day: sockets and processes. Its methods are
// called by the goroutine that owns the day, one after the other, and must not
// block.
type Outside interface {
	// Start starts a node with the list as it last held it, and calls Live.Up when it is ready.
	Start(node int, rev int64, known []core.Backend)
	// Kill ends a node's process at once.
	Kill(node int)
	// Backend tells how a backend's machine is from now on. The first call makes it.
	Backend(no int, how Machine)
	// Cut tells whether new connections of a node to a backend come up from now on. What
	// is open stays open; where the cut heals, it is reset.
	Cut(node, backend int, cut bool)
	// Send sends a client's request to a node and calls Live.Sending, then Live.Done once.
	Send(Try)
}

// Try is one request of a client.
type Try struct {
	ID       string
	Class    logic.Class
	Key      string // of a keyed class
	Node     int
	Repeat   bool
	Patience time.Duration
}

// NewLive sets a day up. Nothing happens before Run.
func NewLive(sc *Scenario, seed uint64) *Live {
	l := &Live{sc: sc, seed: seed, do: make(chan func(), 4096), over: make(chan struct{}), tries: map[string]*try{}}
	l.w = newWorld(sc, seed)
	l.w.live = l
	for range l.w.nodes {
		l.shown = append(l.shown, 0)
		l.change = append(l.change, make(chan struct{}))
		l.broken = append(l.broken, make(chan struct{}))
	}
	return l
}

// Nodes returns the zone of each node.
func (l *Live) Nodes() (zones []string) {
	for _, n := range l.w.nodes {
		zones = append(zones, l.w.sc.Zones[n.zone].Name)
	}
	return zones
}

// Settings returns what the module of a node is told.
func (l *Live) Settings(node int) logic.Settings {
	return l.w.sc.settings(l.w.sc.Zones[l.w.nodes[node].zone].Name, node, len(l.w.nodes))
}

// Connect is how long a connection to a backend may take to come up.
func (l *Live) Connect() time.Duration { return l.w.sc.Conns.TimeoutMS.ms() }

// post has something happen in the day.
func (l *Live) post(do func()) {
	select {
	case l.do <- do:
	case <-l.over:
	}
}

// Run plays the day. It returns when it is over, with ErrLate where ctx ended it.
func (l *Live) Run(ctx context.Context, out Outside, progress func(at, of time.Duration)) (*Result, error) {
	w := l.w
	l.out, l.began = out, time.Now()
	w.base = l.began
	defer close(l.over)
	for _, b := range w.backends {
		l.backend(b)
	}
	l.waitN = len(w.nodes)
	for _, n := range w.nodes {
		n.start()
	}
	end, last := time.Duration(0), time.Duration(0)
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		w.now = max(time.Since(l.began), w.now)
		for len(w.q.heap) > 0 && w.q.heap[0].at <= w.now {
			e := w.q.pop()
			w.events++
			e.do()
			w.now = max(time.Since(l.began), w.now)
		}
		if l.waitN == 0 && end == 0 {
			w.begin(l.sc, l.seed)
			end = w.now + w.sc.Seconds.sec()
			last = end + w.longest()
		}
		if w.err != nil {
			return nil, w.err
		}
		if last > 0 && w.now >= last {
			return w.result("node", l.seed), nil
		}
		progress(min(w.now, max(end, 1)), max(end, 1))
		next := w.now + 100*time.Millisecond
		if len(w.q.heap) > 0 {
			next = min(next, w.q.heap[0].at)
		}
		alarm.Reset(max(next-time.Since(l.began), 0))
		select {
		case do := <-l.do:
			w.now = max(time.Since(l.began), w.now)
			do()
		case <-alarm.C:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrLate, context.Cause(ctx))
		}
	}
}

// Fail ends the day with an error of the outside.
func (l *Live) Fail(err error) { l.post(func() { l.w.fail(err) }) }

func (l *Live) start(n *node) {
	seen := len(l.w.disc.log)
	l.mu.Lock()
	l.shown[n.no] = seen
	l.mu.Unlock()
	l.out.Start(n.no, firstRev+int64(seen), l.w.entries(n.view))
}

// firstRev is the version of the list as the day begins.
const firstRev = 1

// Up tells that a node is ready.
func (l *Live) Up(node int) {
	l.post(func() {
		n := l.w.nodes[node]
		n.alive = true
		l.w.tier.began(n)
		if l.waitN > 0 {
			l.waitN--
		} else {
			l.w.front.notice(n)
		}
	})
}

// Talk is how many bytes a second a node may send to others, 0 where they don't talk.
func (l *Live) Talk() float64 { return l.w.sc.Peers.BytesPerS.From }

// Passes tells that a datagram of a length goes from one node to another, and returns how long
// each of its copies takes; none: it is lost.
func (l *Live) Passes(from, to, length int) []time.Duration {
	l.post(func() { l.w.tier.sent(length) })
	return l.w.tier.ways.fate(from, to)
}

// Takes tells what a node now takes another for.
func (l *Live) Takes(by, about int, s member.State) { l.post(func() { l.w.tier.takes(by, about, s) }) }

// Crashed tells that a node's process has ended by itself.
func (l *Live) Crashed(node int, err error) {
	l.post(func() { l.w.fail(fmt.Errorf("node %d has crashed: %w", node, err)) })
}

// backend tells the outside how a machine is. A nil Live is a day in virtual time.
func (l *Live) backend(b *backend) {
	if l == nil || l.out == nil {
		return
	}
	l.out.Backend(b.no, b.state)
}

// send has the outside send a client's request.
func (l *Live) send(t *try, patience time.Duration) {
	l.tries[t.id] = t
	key := ""
	c := t.op.class.class()
	if c.Effect == logic.Keyed {
		key = "k" + strconv.FormatUint(t.op.id, 36)
	}
	l.w.at(t.until, late, func() { t.settle(timedOut, 0) })
	l.out.Send(Try{ID: t.id, Class: c, Key: key, Node: t.n.no, Patience: patience, Repeat: l.w.sc.Clients.MarksRetry && t.op.tries > 1})
}

// Sending tells that a request begins to be written to its node. A second call says
// nothing new: the client writes it once more where a close crossed it.
func (l *Live) Sending(id string, patience time.Duration) {
	l.post(func() {
		if t := l.tries[id]; t != nil && !t.sent {
			t.sent = true
			l.w.audit.RequestReceived(l.w.now, t.n.no, id, t.op.id, t.op.class.Name, patience)
			if t.orphan() {
				l.w.audit.ClientLeft(l.w.now, id)
			}
		}
	})
}

// orphan tells that the node that a try was sent to has been killed, whether or not it
// runs anew: nothing is owed any more.
func (t *try) orphan() bool { return !t.n.alive || t.n.epoch != t.epoch }

// Verdict is how a try ended, as its client saw it.
type Verdict struct {
	Answer     audit.Answer // None: no whole answer came
	Taken      bool         // its last byte had been written; else nothing of it counts as taken
	Patient    bool         // the client waited until its patience was over
	RetryAfter time.Duration
}

// Done tells how a try ended.
func (l *Live) Done(id string, v Verdict) {
	l.post(func() {
		t := l.tries[id]
		if t == nil {
			return
		}
		w := l.w
		died := t.orphan()
		switch {
		case v.Answer != audit.NoAnswer:
			if !died { // else it was on its way when its node was killed: nothing was owed any more
				w.audit.RequestAnswered(w.now, id, v.Answer)
			}
			w.tally.answered([...]core.AnswerKind{audit.Served: core.Served, audit.Rejected: core.Rejected, audit.Failed: core.Failed}[v.Answer])
			t.answered = true
			t.settle([...]verdict{audit.Served: served, audit.Rejected: refused, audit.Failed: failed}[v.Answer], v.RetryAfter)
		case !v.Taken:
			w.audit.ClientLeft(w.now, id)
			t.settle(unreachable, 0)
		case v.Patient:
			t.settle(timedOut, 0) // owed an answer: the auditor sees that none came
		case died:
			t.settle(broken, 0)
		default:
			w.audit.RequestAnswered(w.now, id, audit.NoAnswer)
			t.settle(broken, 0)
		}
	})
}

// Arrived tells that a request has come whole to a backend, over a connection of a
// node that is new or not. The reply is called once, unless the machine is
// silent, or Gone comes first; it must not block. The returned function tells
// that the node gave it up.
func (l *Live) Arrived(backend, node int, id string, fresh bool, reply func(logic.Result, []float64)) (gone func()) {
	var a *attempt
	l.post(func() {
		w := l.w
		t, b, n := l.tries[id], w.backends[backend], w.nodes[node]
		if t == nil {
			w.fail(fmt.Errorf("backend %s was sent a req %q that no client sent", b.id, id))
			return
		}
		a = &attempt{n: n, b: b, epoch: n.epoch, process: b.epoch, try: t, begun: true, reply: reply}
		if n.alive && t.epoch == n.epoch { // else its node was killed while it was on its way
			a.sent()
		}
		opening := 0.0
		if fresh {
			opening = w.sc.Conns.WorkUS.From / 1e6
			w.handshakes++
		}
		if w.loses(n.zone, b.zone) {
			return
		}
		w.after(w.delay(n.zone, b.zone), func() { a.reach(opening) })
	})
	return func() {
		l.post(func() {
			if a != nil && !a.over {
				a.over = true
				l.w.audit.AttemptEnded(l.w.now, id, string(a.b.id), false, "given up")
				a.b.dropped(a)
			}
		})
	}
}

// live has the reply to an attempt go out over its socket.
func (a *attempt) live(r logic.Result, report []float64, more time.Duration) {
	w := a.b.w
	if w.loses(a.b.zone, a.n.zone) {
		return // its node waits in vain
	}
	w.after(more+w.delay(a.b.zone, a.n.zone), func() {
		if a.over {
			return
		}
		a.over = true
		w.audit.AttemptEnded(w.now, a.try.id, string(a.b.id), r == logic.QueueFull, resultNames[r])
		a.reply(r, report)
	})
}

// Serves tells whether a backend's process is up. It belongs to the calls of an Outside.
func (l *Live) Serves(backend int) bool { return l.w.backends[backend].state == Up }

// Conns tells that a node opened (1) or closed (-1) a connection to a backend.
func (l *Live) Conns(backend, by int) {
	l.post(func() {
		b := l.w.backends[backend]
		b.set(func() { b.conns = max(b.conns+by, 0) })
	})
}

// news lets each node see what the registry has learnt, at its next round.
func (l *Live) news() {
	w, n := l.w, len(l.w.disc.log)
	for i := range w.nodes {
		w.at(w.disc.round(), 0, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			if n > l.shown[i] {
				l.shown[i] = n
				close(l.change[i])
				l.change[i] = make(chan struct{})
			}
		})
	}
}

func (l *Live) breakWatches() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.broken {
		close(l.broken[i])
		l.broken[i] = make(chan struct{})
	}
}

// ListChanges is what a node is told: a version and entries, all or those changed.
type ListChanges struct {
	Rev     int64
	All     bool
	Entries []core.Backend
}

// List serves a node's call for the whole list in its turn; false where it fails.
func (l *Live) List(node int) (ListChanges, bool) {
	type reply struct {
		list ListChanges
		ok   bool
	}
	c := make(chan reply, 1)
	l.post(func() {
		w, d := l.w, l.w.disc
		answer := func(ok bool) {
			r := reply{ok: ok && d.down == 0}
			if r.ok {
				r.list = ListChanges{Rev: firstRev + int64(len(d.log)), All: true, Entries: d.whole()}
				l.mu.Lock()
				l.shown[node] = max(l.shown[node], len(d.log))
				l.mu.Unlock()
			}
			c <- r
		}
		if d.down > 0 {
			answer(false)
		} else if served, ok := d.turn(w.now); ok {
			w.at(served, 0, func() { answer(true) })
		} else {
			w.after(w.sc.Discovery.TimeoutMS.ms(), func() { answer(false) })
		}
	})
	select {
	case r := <-c:
		return r.list, r.ok
	case <-l.over:
		return ListChanges{}, false
	}
}

// Next waits for what a node may see beyond a version, and returns what changed
// since; false where the watch breaks or stop is closed.
func (l *Live) Next(node int, rev int64, stop <-chan struct{}) (ListChanges, bool) {
	for {
		l.mu.Lock()
		shown, change, broken := l.shown[node], l.change[node], l.broken[node]
		l.mu.Unlock()
		if firstRev+int64(shown) > rev {
			c := make(chan ListChanges, 1)
			l.post(func() {
				from := max(int(rev-firstRev), 0)
				c <- ListChanges{Rev: firstRev + int64(shown), Entries: l.w.disc.since(from, shown)}
			})
			select {
			case out := <-c:
				return out, true
			case <-l.over:
				return ListChanges{}, false
			}
		}
		select {
		case <-change:
		case <-broken:
			return ListChanges{}, false
		case <-stop:
			return ListChanges{}, false
		case <-l.over:
			return ListChanges{}, false
		}
	}
}

// Told tells that a list has been written to a node.
func (l *Live) Told(node int, list ListChanges) {
	l.post(func() { l.w.nodes[node].heard(list.Entries, list.All) })
}

// BackendNo returns the number of the backend that an entry's endpoint names.
func (l *Live) BackendNo(endpoint string) (int, error) {
	if len(endpoint) < 2 || endpoint[0] != 'b' {
		return 0, errors.New("no endpoint of this day")
	}
	return strconv.Atoi(endpoint[1:])
}
