package logic

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The property tests play seeded random events and outcomes to several nodes
// and check every action against the four rules. Queues are not modelled:
// how and when an attempt ends is drawn at random.

const ms = time.Millisecond

// scheduledEvent is an event that a node will get.
type scheduledEvent struct {
	at   time.Duration
	seq  int
	node int
	ev   func() Event // returns nil if the event is obsolete
}

type eventQueue []scheduledEvent

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(scheduledEvent)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// checkedAttempt is an attempt as the checker sees it.
type checkedAttempt struct {
	server Server
	sent   time.Duration
	out    bool
	mayRun bool
}

// checkedRequest is a request as the checker sees it.
type checkedRequest struct {
	class    Class
	deadline time.Duration
	ended    bool
	attempts []checkedAttempt
}

// checker tracks the lists and requests of one node and checks its actions against the rules.
type checker struct {
	cfg        Settings
	listed     map[ServerID]Server
	stopped    map[ServerID]time.Duration // when the node heard that a server is draining or gone
	requests   map[RequestID]*checkedRequest
	violations []string
}

func newChecker(cfg Settings) *checker {
	return &checker{cfg: cfg, listed: map[ServerID]Server{}, stopped: map[ServerID]time.Duration{},
		requests: map[RequestID]*checkedRequest{}}
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// noteList records a server list that the node received.
func (c *checker) noteList(now time.Duration, l ServerList) {
	if l.Kind == ListFailed {
		return
	}
	if l.Kind != ListChanges {
		named := map[ServerID]bool{}
		for _, s := range l.Servers {
			named[s.ID] = true
		}
		for id := range c.listed {
			if !named[id] {
				c.noteStopped(id, now)
			}
		}
	}
	for _, s := range l.Servers {
		c.listed[s.ID] = s
		if s.State == Serving {
			delete(c.stopped, s.ID)
		} else {
			c.noteStopped(s.ID, now)
		}
	}
}

func (c *checker) noteStopped(id ServerID, now time.Duration) {
	if _, ok := c.stopped[id]; !ok {
		c.stopped[id] = now
	}
}

// checkSend checks a Send and returns the number of the attempt.
func (c *checker) checkSend(now time.Duration, a Send) int {
	r := c.requests[a.ID]
	if r == nil || r.ended {
		c.addViolation("%v: send for %s, which is ended or unknown", now, a.ID)
		return -1
	}
	s, ok := c.listed[a.Server]
	if !ok {
		c.addViolation("%v: send to %s, which was never listed", now, a.Server)
	}
	if at, ok := c.stopped[a.Server]; ok && now > at+c.cfg.DrainGrace {
		c.addViolation("%v: send to %s, which was drained at %v", now, a.Server, at)
	}
	if c.cfg.MaxAttempts > 0 && len(r.attempts) >= c.cfg.MaxAttempts {
		c.addViolation("%v: attempt %d of %s", now, len(r.attempts)+1, a.ID)
	}
	for _, t := range r.attempts {
		if t.out && !c.cfg.SecondCopies {
			c.addViolation("%v: two attempts of %s are in flight", now, a.ID)
		}
		if t.out || t.mayRun {
			c.checkRepeat(now, a, r.class, t, s)
		}
	}
	r.attempts = append(r.attempts, checkedAttempt{server: s, sent: now, out: true, mayRun: true})
	return len(r.attempts) - 1
}

// checkRepeat checks a Send after an attempt that may have run.
func (c *checker) checkRepeat(now time.Duration, a Send, class Class, before checkedAttempt, s Server) {
	switch class.Effect {
	case Unsafe:
		c.addViolation("%v: unsafe %s may run twice", now, a.ID)
	case Keyed:
		if now-before.sent > class.Window {
			c.addViolation("%v: keyed %s sent after its window", now, a.ID)
		}
		if class.Group == DedupZone && before.server.Zone != s.Zone ||
			class.Group == DedupCell && before.server.Cell != s.Cell {
			c.addViolation("%v: keyed %s sent outside its group", now, a.ID)
		}
	}
}

// checkAnswer checks a final answer of the node.
func (c *checker) checkAnswer(now time.Duration, id RequestID, rejection bool) {
	r := c.requests[id]
	if r == nil || r.ended {
		c.addViolation("%v: second answer for %s", now, id)
		return
	}
	r.ended = true
	if now > r.deadline+c.cfg.AnswerSlack {
		c.addViolation("%v: answer for %s after its deadline %v", now, id, r.deadline)
	}
	if !rejection || r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == DedupAll {
		return
	}
	for _, t := range r.attempts {
		if t.out || t.mayRun {
			c.addViolation("%v: rejection of %s, which may have run", now, id)
		}
	}
}

// simulation plays events to some nodes.
type simulation struct {
	rng       *rand.Rand
	nodes     []*Balancer
	checkers  []*checker
	queue     eventQueue
	seq       int
	lostShare float64 // share of outcomes that never come
	answers   int
	sends     int
	onSend    func(now time.Duration, node int, s Server)
	failing   func(now time.Duration, s Server) bool // such a server returns errors at once
	healthy   bool                                   // all other servers answer
}

func newSimulation(t *testing.T, cfg Settings, nodes int, seed uint64) *simulation {
	t.Helper()
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range nodes {
		b, err := New(cfg, seed+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		w.nodes, w.checkers = append(w.nodes, b), append(w.checkers, newChecker(cfg))
	}
	return w
}

func (w *simulation) schedule(t time.Duration, node int, ev func() Event) {
	w.seq++
	heap.Push(&w.queue, scheduledEvent{t, w.seq, node, ev})
}

// sendList schedules a server list for a node.
func (w *simulation) sendList(t time.Duration, node int, l ServerList) {
	w.schedule(t, node, func() Event {
		w.checkers[node].noteList(t, l)
		return l
	})
}

// sendRequest schedules a request for a node; its client leaves at the deadline unless answered.
func (w *simulation) sendRequest(t time.Duration, node int, q Request, class Class) {
	w.schedule(t, node, func() Event {
		w.checkers[node].requests[q.ID] = &checkedRequest{class: class, deadline: t + q.ClientTimeout}
		return q
	})
}

// run plays all events up to a time.
func (w *simulation) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		d := heap.Pop(&w.queue).(scheduledEvent)
		ev := d.ev()
		if ev == nil {
			continue
		}
		for _, a := range w.nodes[d.node].Handle(d.at, ev) {
			w.perform(d.at, d.node, a)
		}
	}
}

func (w *simulation) perform(now time.Duration, node int, a Action) {
	c := w.checkers[node]
	switch a := a.(type) {
	case Send:
		w.sends++
		if i := c.checkSend(now, a); i >= 0 {
			if w.onSend != nil {
				w.onSend(now, node, c.listed[a.Server])
			}
			w.drawOutcome(now, node, a, i)
		}
	case Reject:
		w.answers++
		c.checkAnswer(now, a.ID, true)
	case Fail:
		w.answers++
		c.checkAnswer(now, a.ID, false)
	case SetTimer:
		w.schedule(now+a.After, node, func() Event { return Wake{a.Token} })
	case Cancel:
		if r := c.requests[a.ID]; r == nil || a.Attempt >= len(r.attempts) {
			c.addViolation("%v: cancel of an attempt of %s that was never made", now, a.ID)
		}
	case Subscribe:
		w.schedule(now+50*ms, node, func() Event { return ServerList{Kind: ListFailed} })
	}
}

// drawOutcome draws how and when an attempt ends.
func (w *simulation) drawOutcome(now time.Duration, node int, a Send, i int) {
	if w.rng.Float64() < w.lostShare {
		return
	}
	result := OK
	if !w.healthy && w.rng.Float64() < 0.4 {
		result = []Result{Failed, QueueFull, TimedOut, ConnectFailed, Reset}[w.rng.IntN(5)]
	}
	took := time.Duration(w.rng.ExpFloat64() * float64(60*ms))
	c := w.checkers[node]
	if w.failing != nil && w.failing(now, c.listed[a.Server]) {
		result, took = Failed, 2*ms
	}
	r := c.requests[a.ID]
	if limit := min(a.Timeout, r.deadline-now); took >= limit {
		took, result = limit, TimedOut
	}
	w.schedule(now+took, node, func() Event {
		if i < len(r.attempts) {
			r.attempts[i].out, r.attempts[i].mayRun = false, !result.NeverRan()
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
func (w *simulation) unanswered(now time.Duration) int {
	n := 0
	for _, c := range w.checkers {
		for _, r := range c.requests {
			if !r.ended && now > r.deadline+c.cfg.AnswerSlack {
				n++
			}
		}
	}
	return n
}

// testClasses returns one class for every effect and deduplication scope.
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

// changeServers changes the servers of a node at random.
func (w *simulation) changeServers(t time.Duration, node int) {
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
	w.sendList(t, node, l)
}

// TestRulesHoldUnderRandomEvents checks rules 1 to 3 for every effect and scope,
// with and without second copies and cancelling, with lost outcomes.
func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(24) {
		cfg := testSettings()
		cfg.SecondCopies, cfg.CanCancel = seed%2 == 0, seed%4 < 2
		cfg.MustSubscribe = seed%3 == 0
		w := newSimulation(t, cfg, 3, seed)
		w.lostShare = float64(seed%5) * 0.05
		w.onSend = func(_ time.Duration, node int, _ Server) { w.nodes[node].sendTokens = maxSendTokens } // a limit would leave too few sends
		asked := 0
		for node := range w.nodes {
			first := ServerList{Kind: ListCached}
			for i := range 10 {
				first.Servers = append(first.Servers, testServer(i))
			}
			w.sendList(0, node, first)
			for at := time.Duration(0); at < 20*time.Second; at += time.Duration(w.rng.ExpFloat64() * float64(15*ms)) {
				c := cfg.Classes[w.rng.IntN(len(cfg.Classes))]
				left := c.Deadline
				if asked%4 == 0 {
					left = time.Duration(w.rng.Float64() * float64(left))
				}
				w.sendRequest(at, node, Request{ID: RequestID(fmt.Sprintf("%d/%d", node, asked)), Class: c.Name, ClientTimeout: left,
					Retry: asked%7 == 0}, c)
				asked++
				if w.rng.IntN(20) == 0 {
					w.changeServers(at, node)
				}
			}
		}
		w.run(30 * time.Second)
		for _, c := range w.checkers {
			for _, f := range c.violations[:min(len(c.violations), 5)] {
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

// TestCheckerDetectsViolations shows that the checker of the property tests detects a violation of each rule.
func TestCheckerDetectsViolations(t *testing.T) {
	cfg := testSettings()
	cfg.SecondCopies = false
	byName := map[string]Class{}
	for _, c := range cfg.Classes {
		byName[c.Name] = c
	}
	for name, breach := range map[string]func(c *checker){
		"send after the end": func(c *checker) {
			c.checkAnswer(0, "safe", true)
			c.checkSend(0, Send{ID: "safe", Server: "s0"})
		},
		"two answers": func(c *checker) {
			c.checkAnswer(0, "safe", true)
			c.checkAnswer(0, "safe", true)
		},
		"late answer": func(c *checker) { c.checkAnswer(time.Second, "safe", true) },
		"two at once": func(c *checker) {
			c.checkSend(0, Send{ID: "safe", Server: "s0"})
			c.checkSend(0, Send{ID: "safe", Server: "s1"})
		},
		"unsafe twice":    func(c *checker) { sendTwice(c, "unsafe", "s1", ms) },
		"other zone":      func(c *checker) { sendTwice(c, "keyed1", "s1", ms) },
		"other cell":      func(c *checker) { sendTwice(c, "keyed2", "s2", ms) },
		"after window":    func(c *checker) { sendTwice(c, "keyed1", "s2", 121*ms) },
		"false rejection": func(c *checker) { c.checkSend(0, Send{ID: "unsafe", Server: "s0"}); c.checkAnswer(ms, "unsafe", true) },
		"drained": func(c *checker) {
			c.noteList(0, ServerList{Kind: ListChanges, Servers: []Server{{ID: "s0", State: Draining}}})
			c.checkSend(201*ms, Send{ID: "safe", Server: "s0"})
		},
		"missing in a full list": func(c *checker) {
			c.noteList(0, ServerList{Kind: ListFull, Servers: []Server{testServer(1)}})
			c.checkSend(201*ms, Send{ID: "safe", Server: "s0"})
		},
	} {
		c := newChecker(cfg)
		c.noteList(0, ServerList{Kind: ListFull, Servers: []Server{testServer(0), testServer(1), testServer(2)}})
		for n, class := range byName {
			c.requests[RequestID(n)] = &checkedRequest{class: class, deadline: 300 * ms}
		}
		breach(c)
		if len(c.violations) == 0 {
			t.Errorf("%s: not detected", name)
		}
	}
}

// sendTwice sends a request to s0 and, after that attempt ended without proof that it never ran, to another server.
func sendTwice(c *checker, id RequestID, second ServerID, after time.Duration) {
	c.checkSend(0, Send{ID: id, Server: "s0"})
	c.requests[id].attempts[0].out = false
	c.checkSend(after, Send{ID: id, Server: second})
}

// TestColdServersAreNotOverloadedByManyNodes checks rule 4 for many nodes together:
// in no window does a cold server get more than the multiple of what it can do by
// then, even if all warm servers begin to fail as it starts. A warm server of its
// size can do what such servers were sent before.
func TestColdServersAreNotOverloadedByManyNodes(t *testing.T) {
	const nodes, warm, perNode = 40, 8, 20 // perNode: requests per second
	cfg := testSettings()
	cfg.Nodes = nodes
	born, end := 12*time.Second, 24*time.Second
	for seed := range uint64(4) {
		w := newSimulation(t, cfg, nodes, 100+seed)
		window := map[int]float64{}
		warmSends := 0
		w.onSend = func(now time.Duration, _ int, s Server) {
			if s.StartedAt > 0 {
				window[int((now-born)/cfg.FallAfter)]++
			} else if now >= born/2 && now < born {
				warmSends++
			}
		}
		w.healthy, w.failing = true, func(now time.Duration, s Server) bool { return now >= born && s.StartedAt == 0 }
		class := cfg.Classes[3]
		for node := range nodes {
			var servers []Server
			for i := range warm {
				servers = append(servers, Server{ID: testServer(i).ID, Capacity: 1, Zone: "z0"})
			}
			w.sendList(0, node, ServerList{Kind: ListFull, Servers: servers})
			w.sendList(born, node, ServerList{Kind: ListChanges,
				Servers: []Server{{ID: "cold", Capacity: 1, Zone: "z0", StartedAt: born}}})
			for i := range int(end.Seconds()) * perNode {
				at := time.Duration(float64(i)+w.rng.Float64()) * time.Second / perNode
				w.sendRequest(at, node, Request{ID: RequestID(fmt.Sprintf("%d/%d", node, i)), Class: class.Name,
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
