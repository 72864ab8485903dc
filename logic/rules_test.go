package logic

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The property tests play seeded random events and outcomes to several nodes
// and hold every action against the four rules. There is no model of queues:
// how an attempt ends, and when, is drawn at random.

const ms = time.Millisecond

// due is an event that a node will get.
type due struct {
	at   time.Duration
	seq  int
	node int
	ev   func() Event // nil result: nothing to tell any more
}

type agenda []due

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(due)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// try is one attempt as the checker sees it.
type try struct {
	server Server
	sent   time.Duration
	out    bool
	mayRun bool
}

// owed is a request as the checker sees it.
type owed struct {
	class    Class
	deadline time.Duration
	ended    bool
	tries    []try
}

// checker holds what one node was told and judges its actions.
type checker struct {
	cfg     Settings
	told    map[ServerID]Server
	stopped map[ServerID]time.Duration // when the node heard that it may not send there any more
	reqs    map[RequestID]*owed
	faults  []string
}

func newChecker(cfg Settings) *checker {
	return &checker{cfg: cfg, told: map[ServerID]Server{}, stopped: map[ServerID]time.Duration{},
		reqs: map[RequestID]*owed{}}
}

func (c *checker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// hear notes a list event as the node got it.
func (c *checker) hear(now time.Duration, l ServerList) {
	if l.Kind == ListFailed {
		return
	}
	if l.Kind != ListChanges {
		named := map[ServerID]bool{}
		for _, s := range l.Servers {
			named[s.ID] = true
		}
		for id := range c.told {
			if !named[id] {
				c.stop(id, now)
			}
		}
	}
	for _, s := range l.Servers {
		c.told[s.ID] = s
		if s.State == Serving {
			delete(c.stopped, s.ID)
		} else {
			c.stop(s.ID, now)
		}
	}
}

func (c *checker) stop(id ServerID, now time.Duration) {
	if _, ok := c.stopped[id]; !ok {
		c.stopped[id] = now
	}
}

// sent judges a Send and returns the number of the attempt.
func (c *checker) sent(now time.Duration, a Send) int {
	r := c.reqs[a.ID]
	if r == nil || r.ended {
		c.fault("%v: send for %s, which is ended or unknown", now, a.ID)
		return -1
	}
	s, ok := c.told[a.Server]
	if !ok {
		c.fault("%v: send to %s, which was never listed", now, a.Server)
	}
	if at, ok := c.stopped[a.Server]; ok && now > at+c.cfg.DrainGrace {
		c.fault("%v: send to %s, which was drained at %v", now, a.Server, at)
	}
	if c.cfg.MaxAttempts > 0 && len(r.tries) >= c.cfg.MaxAttempts {
		c.fault("%v: attempt %d of %s", now, len(r.tries)+1, a.ID)
	}
	for _, t := range r.tries {
		if t.out && !c.cfg.SecondCopies {
			c.fault("%v: two attempts of %s are out", now, a.ID)
		}
		if t.out || t.mayRun {
			c.repeat(now, a, r.class, t, s)
		}
	}
	r.tries = append(r.tries, try{server: s, sent: now, out: true, mayRun: true})
	return len(r.tries) - 1
}

// repeat judges a Send after an attempt that may have run.
func (c *checker) repeat(now time.Duration, a Send, class Class, before try, s Server) {
	switch class.Effect {
	case Unsafe:
		c.fault("%v: unsafe %s may run twice", now, a.ID)
	case Keyed:
		if now-before.sent > class.Window {
			c.fault("%v: keyed %s sent after its window", now, a.ID)
		}
		if class.Group == DedupZone && before.server.Zone != s.Zone ||
			class.Group == DedupCell && before.server.Cell != s.Cell {
			c.fault("%v: keyed %s sent outside its group", now, a.ID)
		}
	}
}

// answered judges a final answer of the node.
func (c *checker) answered(now time.Duration, id RequestID, refusal bool) {
	r := c.reqs[id]
	if r == nil || r.ended {
		c.fault("%v: second answer for %s", now, id)
		return
	}
	r.ended = true
	if now > r.deadline+c.cfg.AnswerSlack {
		c.fault("%v: answer for %s after its deadline %v", now, id, r.deadline)
	}
	if !refusal || r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == DedupAll {
		return
	}
	for _, t := range r.tries {
		if t.out || t.mayRun {
			c.fault("%v: refusal of %s, which may have run", now, id)
		}
	}
}

// world plays events to some nodes.
type world struct {
	rng     *rand.Rand
	nodes   []*Balancer
	checks  []*checker
	todo    agenda
	seq     int
	lost    float64 // part of the outcomes that never come
	answers int
	sends   int
	onSend  func(now time.Duration, node int, s Server)
	broken  func(now time.Duration, s Server) bool // such a server answers with errors, at once
	sound   bool                                   // servers that are not broken all serve
}

func newWorld(t *testing.T, cfg Settings, nodes int, seed uint64) *world {
	t.Helper()
	w := &world{rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range nodes {
		b, err := New(cfg, seed+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		w.nodes, w.checks = append(w.nodes, b), append(w.checks, newChecker(cfg))
	}
	return w
}

func (w *world) at(t time.Duration, node int, ev func() Event) {
	w.seq++
	heap.Push(&w.todo, due{t, w.seq, node, ev})
}

// tell sends a list to a node.
func (w *world) tell(t time.Duration, node int, l ServerList) {
	w.at(t, node, func() Event {
		w.checks[node].hear(t, l)
		return l
	})
}

// ask sends a request to a node; its client leaves at the deadline unless answered.
func (w *world) ask(t time.Duration, node int, q Request, class Class) {
	w.at(t, node, func() Event {
		w.checks[node].reqs[q.ID] = &owed{class: class, deadline: t + q.ClientTimeout}
		return q
	})
}

// run plays everything up to a time.
func (w *world) run(until time.Duration) {
	for len(w.todo) > 0 && w.todo[0].at <= until {
		d := heap.Pop(&w.todo).(due)
		ev := d.ev()
		if ev == nil {
			continue
		}
		for _, a := range w.nodes[d.node].Handle(d.at, ev) {
			w.act(d.at, d.node, a)
		}
	}
}

func (w *world) act(now time.Duration, node int, a Action) {
	c := w.checks[node]
	switch a := a.(type) {
	case Send:
		w.sends++
		if i := c.sent(now, a); i >= 0 {
			if w.onSend != nil {
				w.onSend(now, node, c.told[a.Server])
			}
			w.outcome(now, node, a, i)
		}
	case Reject:
		w.answers++
		c.answered(now, a.ID, true)
	case Fail:
		w.answers++
		c.answered(now, a.ID, false)
	case SetTimer:
		w.at(now+a.After, node, func() Event { return Wake{a.Token} })
	case Cancel:
		if r := c.reqs[a.ID]; r == nil || a.Attempt >= len(r.tries) {
			c.fault("%v: cancel of an attempt of %s that was never made", now, a.ID)
		}
	case Subscribe:
		w.at(now+50*ms, node, func() Event { return ServerList{Kind: ListFailed} })
	}
}

// outcome draws how and when an attempt ends.
func (w *world) outcome(now time.Duration, node int, a Send, i int) {
	if w.rng.Float64() < w.lost {
		return
	}
	result := OK
	if !w.sound && w.rng.Float64() < 0.4 {
		result = []Result{Failed, QueueFull, TimedOut, ConnectFailed, Reset}[w.rng.IntN(5)]
	}
	took := time.Duration(w.rng.ExpFloat64() * float64(60*ms))
	c := w.checks[node]
	if w.broken != nil && w.broken(now, c.told[a.Server]) {
		result, took = Failed, 2*ms
	}
	r := c.reqs[a.ID]
	if limit := min(a.Timeout, r.deadline-now); took >= limit {
		took, result = limit, TimedOut
	}
	w.at(now+took, node, func() Event {
		if i < len(r.tries) {
			r.tries[i].out, r.tries[i].mayRun = false, !result.NeverRan()
		}
		final := r.ended || result == OK
		if result == OK && !r.ended {
			w.answers++
			r.ended = true
		}
		return Outcome{ID: a.ID, Attempt: i, Result: result, Final: final, Server: a.Server, Latency: took}
	})
}

// unanswered counts requests whose deadline has passed without a final answer.
func (w *world) unanswered(now time.Duration) int {
	n := 0
	for _, c := range w.checks {
		for _, r := range c.reqs {
			if !r.ended && now > r.deadline+c.cfg.AnswerSlack {
				n++
			}
		}
	}
	return n
}

// testClasses has every effect and group once.
func testClasses() []Class {
	var out []Class
	for i, g := range []DedupScope{DedupAll, DedupZone, DedupCell} {
		out = append(out, Class{Name: fmt.Sprintf("keyed%d", i), Aim: 150 * ms, Deadline: 500 * ms, Worth: 3,
			Effect: Keyed, Group: g, Window: 120 * ms, LateWorth: 0.3})
	}
	return append(out,
		Class{Name: "safe", Aim: 100 * ms, Deadline: 400 * ms, Worth: 2, Effect: Safe},
		Class{Name: "unsafe", Aim: 200 * ms, Deadline: 600 * ms, Worth: 5, Effect: Unsafe, LateWorth: 0.5})
}

func testSettings() Settings {
	return Settings{Zone: "z0", Nodes: 3, Classes: testClasses(), Tick: ms, DrainGrace: 200 * ms,
		ColdFrom: 0.2, WarmWithin: 10 * time.Second, FallMultiple: 3, FallAfter: time.Second,
		AnswerSlack: 5 * ms, MaxAttempts: 4, SecondCopies: true, CanCancel: true, AskWithin: 10 * time.Second}
}

func testServer(i int) Server {
	return Server{ID: ServerID(fmt.Sprintf("s%d", i)), Capacity: 1 + float64(i%3), Kind: fmt.Sprintf("k%d", i%2),
		Zone: fmt.Sprintf("z%d", i%2), Cell: i % 4}
}

// churn changes the servers of a node at random.
func (w *world) churn(t time.Duration, node int) {
	s := testServer(w.rng.IntN(14))
	l := ServerList{Kind: ListChanges}
	switch w.rng.IntN(6) {
	case 0:
		s.State = Draining
	case 1:
		s.State = Gone
	case 2:
		s.StartedAt = t
	case 3:
		l.Kind = ListFull
		for i := range w.rng.IntN(14) {
			l.Servers = append(l.Servers, testServer(i))
		}
	case 4:
		l.Kind = ListFailed
	}
	if l.Kind == ListChanges {
		l.Servers = []Server{s}
	}
	w.tell(t, node, l)
}

// TestRulesUnderRandomEvents holds rules 1 to 3 for every effect and group,
// with and without second copies and cancelling, with lost outcomes.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(24) {
		cfg := testSettings()
		cfg.SecondCopies, cfg.CanCancel = seed%2 == 0, seed%4 < 2
		cfg.MustSubscribe = seed%3 == 0
		w := newWorld(t, cfg, 3, seed)
		w.lost = float64(seed%5) * 0.05
		w.onSend = func(_ time.Duration, node int, _ Server) { w.nodes[node].room = roomMost } // a limit would leave too few
		asked := 0
		for node := range w.nodes {
			first := ServerList{Kind: ListCached}
			for i := range 10 {
				first.Servers = append(first.Servers, testServer(i))
			}
			w.tell(0, node, first)
			for at := time.Duration(0); at < 20*time.Second; at += time.Duration(w.rng.ExpFloat64() * float64(15*ms)) {
				c := cfg.Classes[w.rng.IntN(len(cfg.Classes))]
				left := c.Deadline
				if asked%4 == 0 {
					left = time.Duration(w.rng.Float64() * float64(left))
				}
				w.ask(at, node, Request{ID: RequestID(fmt.Sprintf("%d/%d", node, asked)), Class: c.Name, ClientTimeout: left,
					Retry: asked%7 == 0}, c)
				asked++
				if w.rng.IntN(20) == 0 {
					w.churn(at, node)
				}
			}
		}
		w.run(30 * time.Second)
		for _, c := range w.checks {
			for _, f := range c.faults[:min(len(c.faults), 5)] {
				t.Errorf("seed %d: %s", seed, f)
			}
		}
		if n := w.unanswered(30 * time.Second); n > 0 {
			t.Errorf("seed %d: %d of %d requests never answered", seed, n, asked)
		}
		if w.answers != asked || w.sends < asked/4 {
			t.Errorf("seed %d: %d requests, %d answers, %d sends", seed, asked, w.answers, w.sends)
		}
	}
}

// TestCheckerCatches shows that the checker of the property tests finds a breach of each rule.
func TestCheckerCatches(t *testing.T) {
	cfg := testSettings()
	cfg.SecondCopies = false
	byName := map[string]Class{}
	for _, c := range cfg.Classes {
		byName[c.Name] = c
	}
	for name, breach := range map[string]func(c *checker){
		"send after the end": func(c *checker) {
			c.answered(0, "safe", true)
			c.sent(0, Send{ID: "safe", Server: "s0"})
		},
		"two answers": func(c *checker) {
			c.answered(0, "safe", true)
			c.answered(0, "safe", true)
		},
		"late answer":   func(c *checker) { c.answered(time.Second, "safe", true) },
		"two at once":   func(c *checker) { c.sent(0, Send{ID: "safe", Server: "s0"}); c.sent(0, Send{ID: "safe", Server: "s1"}) },
		"unsafe twice":  func(c *checker) { twice(c, "unsafe", "s1", ms) },
		"other zone":    func(c *checker) { twice(c, "keyed1", "s1", ms) },
		"other cell":    func(c *checker) { twice(c, "keyed2", "s2", ms) },
		"after window":  func(c *checker) { twice(c, "keyed1", "s2", 121*ms) },
		"false refusal": func(c *checker) { c.sent(0, Send{ID: "unsafe", Server: "s0"}); c.answered(ms, "unsafe", true) },
		"drained": func(c *checker) {
			c.hear(0, ServerList{Kind: ListChanges, Servers: []Server{{ID: "s0", State: Draining}}})
			c.sent(201*ms, Send{ID: "safe", Server: "s0"})
		},
		"left out of a full list": func(c *checker) {
			c.hear(0, ServerList{Kind: ListFull, Servers: []Server{testServer(1)}})
			c.sent(201*ms, Send{ID: "safe", Server: "s0"})
		},
	} {
		c := newChecker(cfg)
		c.hear(0, ServerList{Kind: ListFull, Servers: []Server{testServer(0), testServer(1), testServer(2)}})
		for n, class := range byName {
			c.reqs[RequestID(n)] = &owed{class: class, deadline: 300 * ms}
		}
		breach(c)
		if len(c.faults) == 0 {
			t.Errorf("%s: not noticed", name)
		}
	}
}

// twice sends a request to s0 and, after that attempt ended open, to another server.
func twice(c *checker, id RequestID, second ServerID, after time.Duration) {
	c.sent(0, Send{ID: id, Server: "s0"})
	c.reqs[id].tries[0].out = false
	c.sent(after, Send{ID: id, Server: second})
}

// TestColdServersKeepTheirBudget holds rule 4 for many nodes together: in no
// window does a cold server get more than the multiple of what it can do by
// then, even when all warm servers begin to fail as it starts. A warm server of
// its size can do what such servers were sent before.
func TestColdServersKeepTheirBudget(t *testing.T) {
	const nodes, warm, perNode = 40, 8, 20 // requests a second at each node
	cfg := testSettings()
	cfg.Nodes = nodes
	born, end := 12*time.Second, 24*time.Second
	for seed := range uint64(4) {
		w := newWorld(t, cfg, nodes, 100+seed)
		window := map[int]float64{}
		warmSends := 0
		w.onSend = func(now time.Duration, _ int, s Server) {
			if s.StartedAt > 0 {
				window[int((now-born)/cfg.FallAfter)]++
			} else if now >= born/2 && now < born {
				warmSends++
			}
		}
		w.sound, w.broken = true, func(now time.Duration, s Server) bool { return now >= born && s.StartedAt == 0 }
		class := cfg.Classes[3]
		for node := range nodes {
			var servers []Server
			for i := range warm {
				servers = append(servers, Server{ID: testServer(i).ID, Capacity: 1, Zone: "z0"})
			}
			w.tell(0, node, ServerList{Kind: ListFull, Servers: servers})
			w.tell(born, node, ServerList{Kind: ListChanges,
				Servers: []Server{{ID: "cold", Capacity: 1, Zone: "z0", StartedAt: born}}})
			for i := range int(end.Seconds()) * perNode {
				at := time.Duration(float64(i)+w.rng.Float64()) * time.Second / perNode
				w.ask(at, node, Request{ID: RequestID(fmt.Sprintf("%d/%d", node, i)), Class: class.Name,
					ClientTimeout: class.Deadline}, class)
			}
		}
		w.run(end)
		capacity := float64(warmSends) / warm / (born / 2).Seconds()
		got := 0.0
		for i := range 10 {
			share := cfg.ColdFrom + (1-cfg.ColdFrom)*float64(i)/10
			if limit := cfg.FallMultiple * share * capacity; window[i] > limit {
				t.Errorf("seed %d: %v sends in second %d after the start, the limit is %.0f", seed, window[i], i, limit)
			}
			got += window[i]
		}
		if got == 0 {
			t.Errorf("seed %d: the cold server got nothing while it warmed up", seed)
		}
	}
}
