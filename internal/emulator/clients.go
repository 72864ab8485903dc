package emulator

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"pipitmux/internal/arrivals"
	"pipitmux/internal/audit"
	"pipitmux/internal/core"
	"pipitmux/logic"
)

// op is what a client wants done, over all its tries.
type op struct {
	w     *world
	id    uint64
	class *Class
	zone  int
	work  float64 // seconds on a standard core
	began time.Duration
	tries int
	heeds bool // it heeds Retry-After
}

// try is one request of an op. It is the Session that its node answers, and the
// Call that its attempts carry.
type try struct {
	op       *op
	id       string
	n        *node
	epoch    int
	until    time.Duration // the client waits no longer
	sends    int           // attempts of it
	answered bool          // by the node
	settled  bool          // as the client sees it
	sent     bool          // on a live day: it has been written
}

// traffic makes the clients' first tries.
type traffic struct {
	w      *world
	rate   float64 // a second, on the mean
	source *arrivals.Source
	cum    []float64 // shares of the classes, added up
	zones  []float64 // and of the zones
	began  time.Duration
	due    time.Duration // of the next first try: what is planned counts from when it was due
	until  time.Duration
	ops    uint64
	tries  uint64
}

func newTraffic(w *world) *traffic {
	t := &traffic{w: w}
	mean, sum := 0.0, 0.0
	for i := range w.sc.Classes {
		c := &w.sc.Classes[i]
		sum += c.Share.From
		mean += c.Share.From * c.WorkMS.From / 1000
		t.cum = append(t.cum, sum)
	}
	mean /= sum
	all := 0.0
	for i := range w.sc.Zones {
		all += w.sc.Zones[i].Traffic.From
		t.zones = append(t.zones, all)
	}
	t.rate = w.sc.Arrivals.PerSecond.From
	if t.rate == 0 {
		capacity := 0.0
		for _, b := range w.backends {
			capacity += b.speed * float64(b.kind.Cores)
		}
		t.rate = w.sc.Arrivals.Load.From * capacity / mean
	}
	return t
}

func (t *traffic) begin() {
	a := &t.w.sc.Arrivals
	t.source = arrivals.New(arrivals.Schedule{PerSecond: t.rate, Shape: a.Shape, Swing: a.Swing.From, Period: a.PeriodS.sec(), Phase: a.Phase.From}, t.w.clientsR)
	t.began, t.until = t.w.now, t.w.now+t.w.sc.Seconds.sec()
	t.next()
}

// next plans the next first try.
func (t *traffic) next() {
	t.due = t.began + t.source.Next()
	t.w.at(t.due, 0, func() {
		if t.due >= t.until || t.w.sc.MaxRequests > 0 && t.ops >= uint64(t.w.sc.MaxRequests) {
			return
		}
		t.op(t.w.clientsR)
		t.next()
	})
}

// op begins an operation. All it needs is drawn at once, so that each policy
// meets the same clients.
func (t *traffic) op(r *rand.Rand) {
	t.ops++
	o := &op{w: t.w, id: t.ops, class: &t.w.sc.Classes[arrivals.Pick(t.cum, r)], began: t.due}
	if t.zones[len(t.zones)-1] > 0 {
		o.zone = arrivals.Pick(t.zones, r)
	} else {
		o.zone = r.IntN(len(t.zones))
	}
	o.work = lognormal(r, o.class.WorkMS.From/1000, o.class.CV.From)
	o.heeds = r.Float64() < t.w.sc.Clients.Honour.From
	t.w.tally.asked(o)
	o.try()
}

// try sends the op once, through the front of its zone.
func (o *op) try() {
	w := o.w
	o.tries++
	left := o.began + o.class.DeadlineMS.ms() - w.now
	patience := min(time.Duration(w.sc.Clients.TryShare.From*float64(o.class.DeadlineMS.ms())), left)
	n := w.front.pick(o.zone)
	if n == nil {
		w.after(w.jittered(w.sc.Net.ClientMS), func() { o.again(unreachable, 0) })
		return
	}
	w.traffic.tries++
	t := &try{op: o, id: strconv.FormatUint(w.traffic.tries, 36), n: n, until: w.now + patience}
	way := w.jittered(w.sc.Net.ClientMS)
	if n.zone != o.zone {
		way += w.delay(n.zone, o.zone)
	}
	w.after(way, func() {
		switch {
		case n.cutOff: // nobody says that nothing is there
			w.at(t.until, 0, func() { t.settle(unreachable, 0) })
		case !n.alive:
			w.after(way, func() { t.settle(unreachable, 0) })
		default:
			t.taken(patience)
		}
	})
}

// taken has the node take the request.
func (t *try) taken(patience time.Duration) {
	w, n := t.op.w, t.n
	t.epoch = n.epoch
	if w.live != nil {
		w.live.send(t, patience)
		return
	}
	n.tries[t] = struct{}{}
	arrived := w.now
	w.audit.RequestReceived(arrived, n.no, t.id, t.op.id, t.op.class.Name, patience)
	n.tell(arrived, func() {
		n.owner.Request(core.Request{ID: t.id, Class: t.op.class.Name, Retry: w.sc.Clients.MarksRetry && t.op.tries > 1,
			Arrived: w.timeAt(arrived), Timeout: patience, Call: t, Session: t})
	})
	w.at(t.until, late, func() { t.settle(timedOut, 0) })
	// The client hangs up only after what it was owed could have come.
	w.at(arrived+patience+w.sc.Rules.AnswerSlackMS.ms()+w.tick+time.Millisecond, late, func() {
		if !t.answered && n.epoch == t.epoch {
			delete(n.tries, t)
			n.tell(w.now, func() { n.owner.ClientGone(logic.RequestID(t.id), t) })
		}
	})
}

// verdict is how a try went, as its client sees it.
type verdict uint8

const (
	served verdict = iota
	refused
	failed
	unreachable // nothing of it was taken
	broken      // the connection broke with the request on it
	timedOut
)

// Answer is core.Session.
func (t *try) Answer(a core.Answer) { t.n.effect(func() { t.answer(a) }) }

func (t *try) answer(a core.Answer) {
	w := t.op.w
	t.answered = true
	delete(t.n.tries, t)
	kinds := [...]audit.Answer{core.Served: audit.Served, core.Rejected: audit.Rejected, core.Failed: audit.Failed, core.Duplicate: audit.Failed}
	w.audit.RequestAnswered(w.now, t.id, kinds[a.Kind])
	w.tally.answered(a.Kind)
	v := [...]verdict{core.Served: served, core.Rejected: refused, core.Failed: failed, core.Duplicate: failed}[a.Kind]
	way := w.jittered(w.sc.Net.ClientMS)
	if t.n.zone != t.op.zone {
		way += w.delay(t.n.zone, t.op.zone)
	}
	w.after(way, func() { t.settle(v, a.RetryAfter) })
}

// broke tells that the node died with the request.
func (t *try) broke() {
	t.answered = true
	if !t.n.cutOff { // a machine that vanishes says nothing: the client waits its time out
		t.op.w.after(t.op.w.jittered(t.op.w.sc.Net.ClientMS), func() { t.settle(broken, 0) })
	}
}

func (t *try) settle(v verdict, pause time.Duration) {
	if t.settled {
		return
	}
	t.settled = true
	o := t.op
	if v == served {
		o.w.tally.served(o)
		return
	}
	o.again(v, pause)
}

// again has the client try once more where that is harmless and pays.
func (o *op) again(v verdict, pause time.Duration) {
	w := o.w
	harmless := v == refused || v == unreachable
	switch effects[o.class.Effect] {
	case logic.Safe:
		harmless = true
	case logic.Keyed:
		harmless = harmless || groups[o.class.Group] == logic.DedupAll && w.now-o.began < o.class.WindowS.sec()
	}
	back := w.sc.Clients.BackoffMS.ms() << min(o.tries-1, 10)
	wait := time.Duration((0.5 + w.rngOf(o).Float64()) * float64(back))
	if o.heeds && pause > 0 {
		wait = max(wait, min(pause, w.sc.Clients.MaxRetryAfterMS.ms()))
	}
	if !harmless || o.tries > int(w.sc.Clients.Retries.From) || w.now+wait >= o.began+o.class.DeadlineMS.ms() {
		w.tally.lost(o, v)
		return
	}
	w.after(wait, o.try)
}

// rngOf returns a source of an op's own, so that what one policy has a client
// draw more often shifts no other client's luck.
func (w *world) rngOf(o *op) *rand.Rand { return rand.New(rand.NewPCG(o.id, uint64(o.tries))) }

func (w *world) sortedTries(m map[*try]struct{}) []*try {
	out := make([]*try, 0, len(m))
	for t := range m {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *try) int { return cmp.Or(cmp.Compare(len(a.id), len(b.id)), cmp.Compare(a.id, b.id)) })
	return out
}

// front deals clients out over the nodes of their zone that it holds for alive, in turn and
// by their shares.
type front struct {
	w    *world
	turn int
	owed []float64 // of each node, in clients, where the nodes' shares are stated
}

func (f *front) all() {
	for _, n := range f.w.nodes {
		n.inFront = n.alive
	}
}

// pick returns a node of the zone, one elsewhere where the zone has none, nil
// where there is none at all.
func (f *front) pick(zone int) *node {
	shares := f.w.sc.Nodes.Shares
	for _, here := range []bool{true, false} {
		f.turn++
		var next *node
		all := 0.0
		for i := range f.w.nodes {
			n := f.w.nodes[(f.turn+i)%len(f.w.nodes)]
			if !n.inFront || (n.zone == zone) != here {
				continue
			}
			if len(shares) == 0 {
				return n
			}
			share := shares[n.no%len(shares)]
			f.owed[n.no] += share
			if all += share; next == nil || f.owed[n.no] > f.owed[next.no] {
				next = n
			}
		}
		if next != nil {
			f.owed[next.no] -= all
			return next
		}
	}
	return nil
}

// notice has the front see, late, whether a node is there.
func (f *front) notice(n *node) {
	f.w.after(f.w.sc.Nodes.NoticeS.sec(), func() { n.inFront = n.alive && !n.cutOff })
}
