package emulator

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pipitmux/internal/audit"
	"pipitmux/internal/core"
	"pipitmux/internal/rivals"
	"pipitmux/logic"
)

// Policies lists what a scenario's policy may be.
func Policies() []string {
	out := []string{"module"}
	for _, p := range rivals.Picks {
		out = append(out, p, p+"+budget")
	}
	return out
}

// Maker makes the module of one node.
type Maker func(logic.Settings, uint64) (core.Module, error)

// Policy returns what makes the modules of a policy.
func Policy(name string) (Maker, error) {
	if name == "module" {
		return func(s logic.Settings, seed uint64) (core.Module, error) { return logic.New(s, seed) }, nil
	}
	if _, err := rivals.New(name, logic.Settings{Classes: []logic.Class{{}}}, 0); err != nil {
		return nil, fmt.Errorf("policy %q: unknown; there are %v", name, Policies())
	}
	return func(s logic.Settings, seed uint64) (core.Module, error) { return rivals.New(name, s, seed) }, nil
}

// virtualBase is the instant at which a day in virtual time begins.
var virtualBase = time.Unix(1_000_000_000, 0)

// world is a day as it runs.
type world struct {
	sc       *Scenario // each figure drawn
	policy   Maker
	rng      *rand.Rand // of the day at large; nodes, backends and clients have their own
	clientsR *rand.Rand
	netR     *rand.Rand
	base     time.Time // the day's beginning, in Unix time
	now      time.Duration
	tick     time.Duration
	q        queue
	events   int
	err      error

	backends   []*backend
	cuts       map[[2]int]int // from zone to zone: how many troubles cut that way
	byEndpoint map[string]*backend
	nodes      []*node
	disc       *discovery
	front      *front
	tier       *tier // nil: the nodes don't talk
	traffic    *traffic
	audit      *audit.Auditor
	tally      *tally

	sends, resent, toCold, crossings, handshakes, crowdings int
	lostInCuts, stale                                       int
	workAsked, workWasted                                   float64
	happenings                                              []Happening
	live                                                    *Live // nil in virtual time
	workers                                                 int
	apart                                                   bool // nodes decide at once: what they do to the world waits
	batch                                                   []*node
}

// Happening is something that befell the fleet.
type Happening struct {
	AtS  float64 `json:"at_s"`
	What string  `json:"what"`
	On   string  `json:"on,omitempty"`
}

// ErrLate tells that a day was ended by its caller.
var ErrLate = errors.New("the day was broken off")

// Options are what a run may be given besides its scenario.
type Options struct {
	Policy   string                               // in place of the scenario's
	Make     Maker                                // in place of a named policy, for tests
	Progress func(at, of time.Duration) (on bool) // called now and then; false ends the day with ErrLate
	Workers  int                                  // nodes that decide at once, 0: one; it does not show in the result
}

// Run plays the scenario's day of a seed.
func Run(sc *Scenario, seed uint64, opt Options) (*Result, error) {
	name := cmp.Or(opt.Policy, sc.Policy)
	maker := opt.Make
	if maker == nil {
		var err error
		if maker, err = Policy(name); err != nil {
			return nil, err
		}
	}
	w := newWorld(sc, seed)
	w.policy = maker
	w.workers = max(opt.Workers, 1)
	for _, n := range w.nodes {
		w.after(time.Duration(w.rng.Float64()*float64(w.sc.Nodes.StartMS.ms())), n.start)
	}
	// Clients come once all nodes are ready.
	w.after(w.sc.Nodes.StartMS.ms(), func() { w.begin(sc, seed) })
	end := w.sc.Nodes.StartMS.ms() + w.sc.Seconds.sec()
	last := end + w.longest()
	for looked := 0; len(w.q.heap) > 0 && w.err == nil; looked = w.events >> 16 {
		e := w.q.pop()
		if e.at > last {
			break
		}
		w.now = e.at
		w.events++
		if e.n == nil {
			e.do()
		} else {
			w.together(e)
		}
		if w.events>>16 != looked && opt.Progress != nil && !opt.Progress(min(w.now, end), end) {
			return nil, ErrLate
		}
	}
	if w.err != nil {
		return nil, w.err
	}
	w.now = last
	return w.result(name, seed), nil
}

// together has all nodes whose events come next at one instant decide, each by
// itself and so on several cores at once. What they do to the world comes after
// that, in the order of the nodes: the number of cores does not show.
func (w *world) together(first event) {
	add := func(e event) {
		if len(e.n.inbox) == 0 {
			w.batch = append(w.batch, e.n)
		}
		e.n.inbox = append(e.n.inbox, e.do)
	}
	add(first)
	for len(w.q.heap) > 0 && w.q.heap[0].n != nil && w.q.heap[0].at == w.now {
		add(w.q.pop())
		w.events++
	}
	batch := w.batch
	slices.SortFunc(batch, func(a, b *node) int { return cmp.Compare(a.no, b.no) })
	w.apart = true
	if at := min(w.workers, len(batch)); at > 1 {
		var next atomic.Int64
		work := func() {
			for i := int(next.Add(1)) - 1; i < len(batch); i = int(next.Add(1)) - 1 {
				batch[i].decide()
			}
		}
		var all sync.WaitGroup
		for range at - 1 {
			all.Go(work)
		}
		work()
		all.Wait()
	} else {
		for _, n := range batch {
			n.decide()
		}
	}
	w.apart = false
	for _, n := range batch {
		for i, do := range n.out {
			n.out[i] = nil
			do()
		}
		n.out = n.out[:0]
	}
	w.batch = batch[:0]
}

// newWorld sets a day up; nothing happens in it yet.
func newWorld(sc *Scenario, seed uint64) *world {
	w := &world{byEndpoint: map[string]*backend{}, cuts: map[[2]int]int{}, base: virtualBase}
	w.rng = rand.New(rand.NewPCG(seed, 1))
	w.clientsR = rand.New(rand.NewPCG(seed, 2))
	w.netR = rand.New(rand.NewPCG(seed, 3))
	w.sc = sc.drawn(rand.New(rand.NewPCG(seed, 4)))
	w.tick = w.sc.TickMS.ms()
	w.audit = audit.New(w.sc.auditRules())
	w.build()
	w.traffic = newTraffic(w)
	w.tally = newTally(w)
	w.disc = newDiscovery(w)
	w.tier = newTier(w, seed)
	w.front = &front{w: w, owed: make([]float64, len(w.nodes))}
	return w
}

// begin has clients come, and what goes wrong go wrong.
func (w *world) begin(sc *Scenario, seed uint64) {
	w.tally.start = w.now + warmUp
	w.front.all()
	// Troubles have a source of their own: each policy meets the same ones.
	w.trouble(sc, w.now, rand.New(rand.NewPCG(seed, 5)))
	w.traffic.begin()
	w.tally.look()
}

func (w *world) fail(err error) {
	if w.err == nil {
		w.err = err
	}
}

// longest is how long something may still go on when no more clients come.
func (w *world) longest() time.Duration {
	d := time.Duration(0)
	for i := range w.sc.Classes {
		d = max(d, w.sc.Classes[i].DeadlineMS.ms())
	}
	return 2*d + time.Second
}

func (w *world) at(at time.Duration, rank uint64, do func()) { w.q.push(max(at, w.now), rank, nil, do) }
func (w *world) after(d time.Duration, do func())            { w.q.push(w.now+max(d, 0), 0, nil, do) }

func (w *world) time() time.Time                   { return w.base.Add(w.now) }
func (w *world) timeAt(at time.Duration) time.Time { return w.base.Add(at) }
func (w *world) since(t time.Time) time.Duration   { return t.Sub(w.base) }
func (w *world) happened(what, on string) {
	w.happenings = append(w.happenings, Happening{w.now.Seconds(), what, on})
}

// unix is an instant as a backend's start is told: 0 stays long ago.
func (w *world) unix(at time.Duration) time.Duration {
	if at == 0 {
		return 0
	}
	return time.Duration(w.base.UnixNano()) + at
}

// ticked is the tick at which a node handles what comes at an instant.
func (w *world) ticked(at time.Duration) time.Duration {
	if w.tick == 0 {
		return at
	}
	return (at + w.tick - 1) / w.tick * w.tick
}

// delay is one way between two zones.
func (w *world) delay(from, to int) time.Duration {
	d := w.sc.Net.SameMS
	if from != to {
		d = w.sc.Net.CrossMS
	}
	return w.jittered(d)
}

func (w *world) jittered(d Span) time.Duration {
	f := 1.0
	if j := w.sc.Net.Jitter.From; j > 0 {
		f = max(1+j*w.netR.NormFloat64(), .1)
	}
	out := time.Duration(float64(d.ms()) * f)
	if l := w.sc.Net.Loss.From; l > 0 && w.netR.Float64() < l {
		out += w.sc.Net.RetransmitMS.ms()
	}
	return out
}

// build sets up nodes and backends.
func (w *world) build() {
	sc := w.sc
	nodes := max(len(sc.Nodes.Zones), 1)
	if len(sc.Nodes.Zones) == 0 {
		nodes = int(sc.Nodes.Count.From)
	}
	for i := range nodes {
		n := &node{w: w, no: i, zone: i % len(sc.Zones), view: map[int]logic.ServerState{}, gone: map[logic.ServerID]bool{}}
		if len(sc.Nodes.Zones) > 0 {
			n.zone = sc.zone(sc.Nodes.Zones[i])
		}
		w.nodes = append(w.nodes, n)
	}
	if len(sc.Fleet.Backends) > 0 {
		for _, s := range sc.Fleet.Backends {
			k := &sc.Kinds[slices.IndexFunc(sc.Kinds, func(k Kind) bool { return k.Name == s.Kind })]
			b := w.add(k, sc.zone(s.Zone), 0)
			if s.Speed.From > 0 {
				b.speed = s.Speed.From
			}
		}
		return
	}
	size := int(sc.Fleet.Size.From)
	kinds := spread(size, sc.Kinds, func(k *Kind) float64 { return k.Share.From })
	zones := spread(size, sc.Zones, func(z *Zone) float64 { return z.Backends.From })
	w.rng.Shuffle(size, func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	for i := range size {
		w.add(&sc.Kinds[kinds[i]], zones[i], 0)
	}
}

// spread deals n places out by weight, the largest remainders first; equal
// weights where all are 0. It returns whose each place is.
func spread[T any](n int, of []T, weight func(*T) float64) []int {
	sum := 0.0
	for i := range of {
		sum += weight(&of[i])
	}
	type part struct {
		i    int
		has  int
		rest float64
	}
	parts := make([]part, len(of))
	left := n
	for i := range of {
		want := float64(n) / float64(len(of))
		if sum > 0 {
			want = float64(n) * weight(&of[i]) / sum
		}
		parts[i] = part{i, int(want), want - math.Floor(want)}
		left -= parts[i].has
	}
	slices.SortStableFunc(parts, func(a, b part) int { return cmp.Compare(b.rest, a.rest) })
	for i := range left {
		parts[i%len(parts)].has++
	}
	slices.SortFunc(parts, func(a, b part) int { return cmp.Compare(a.i, b.i) })
	// In turn, so that a row of neighbours is mixed.
	var out []int
	for len(out) < n {
		for i := range parts {
			if parts[i].has > 0 {
				parts[i].has--
				out = append(out, parts[i].i)
			}
		}
	}
	return out
}

func (s *Scenario) zone(name string) int {
	return slices.IndexFunc(s.Zones, func(z Zone) bool { return z.Name == name })
}

// cellSize is how many neighbours of a zone make a cell.
const cellSize = 6

// add sets up one backend.
func (w *world) add(k *Kind, zone, generation int) *backend {
	no := len(w.backends)
	b := &backend{w: w, no: no, id: backendID(no, generation), kind: k, zone: zone, cell: no / cellSize, slow: 1,
		speed: k.Speed.From, rng: rand.New(rand.NewPCG(w.rng.Uint64(), 6))}
	if cv := k.SpeedCV.From; cv > 0 {
		b.speed *= max(1+cv*b.rng.NormFloat64(), .3)
	}
	if b.weight = k.Weight.From; b.weight == 0 {
		b.weight = float64(k.Cores) * k.Speed.From
	}
	b.at = w.now
	b.nextLook = w.now + time.Duration(b.rng.Float64()*float64(w.sc.Reports.EveryMS.ms()))
	w.backends = append(w.backends, b)
	w.byEndpoint["b"+strconv.Itoa(no)] = b
	b.pause()
	return b
}

// ran tells that a backend took a request to work on.
func (w *world) ran(b *backend, a *attempt) {
	t := a.try
	w.audit.RequestRan(w.now, t.op.id, t.id, string(b.id), w.sc.Zones[b.zone].Name, b.cell)
}

// finished has the answer to a request go back.
func (w *world) finished(b *backend, j *job) {
	a := j.att
	if a.over || a.try.answered {
		w.workWasted += j.work
	}
	r := logic.OK
	if e := b.kind.ErrorRate.From; e > 0 && b.rng.Float64() < e {
		r = logic.Failed
	}
	a.end(r, b.report(), 0)
}

// auditRules are the rules as the auditor takes them.
func (s *Scenario) auditRules() audit.Rules {
	r := audit.Rules{AnswerSlack: s.Rules.AnswerSlackMS.ms(), DrainGrace: s.Rules.DrainGraceMS.ms(),
		OverloadMultiple: s.Rules.FallMultiple.From, OverloadWindow: s.Rules.FallAfterMS.ms()}
	mean, sum := 0.0, 0.0
	for i := range s.Classes {
		c := &s.Classes[i]
		r.Classes = append(r.Classes, c.class())
		mean += c.Share.From * c.WorkMS.From / 1000
		sum += c.Share.From
	}
	r.OverloadSlack = s.Rules.FallSlack.From * mean / sum
	return r
}
