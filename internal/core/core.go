// Package core runs the decision module of one node. One goroutine owns the
// module, the table of reqs and the timers; fronts, backends and the director
// reach it through queues only, and it never waits for any of them.
//
// The package knows no protocol. A further front hands its reqs to Submit and
// takes their answers, and so goes through the same decisions and rules.
package core

import (
	"container/heap"
	"errors"
	"fmt"
	"log"
	"runtime/debug"
	"sync/atomic"
	"time"

	"pipitmux/internal/counters"
	"pipitmux/logic"
)

// Req is a req that a front has taken whole.
type Req struct {
	ID, Class string
	Retry     bool
	Arrived   time.Time
	Wait      time.Duration // how long the client waits, from Arrived; 0: as long as its class lets it
	Call      any           // handed to the backends unread
	Session   Session
}

// Session is the side of a front that waits for an answer.
type Session interface {
	// Answer gets the one final answer of a req. It must not block.
	Answer(Answer)
}

// Kind says what an Answer is.
type Kind uint8

// The kinds of Answer.
const (
	Served    Kind = iota // Reply is a backend's answer
	Refused               // a synthetic answer: trying again is harmless
	Failed                // an answer that promises nothing
	Duplicate             // the id belongs to a req that is still held
)

var kindNames = [...]string{"served", "refused", "failed", "duplicate"}

// Answer is the final answer of a req.
type Answer struct {
	Kind       Kind
	RetryAfter time.Duration
	Reply      any
}

// Place is where a backend's present process is reached.
type Place struct {
	ID       logic.ServerID
	Endpoint string
	Born     time.Duration // a backend that starts anew holds none of its old connections
}

// Attempt is one send of a req to a backend.
type Attempt struct {
	Call  any
	Place Place
	Until time.Time
}

// Ended is how an attempt ended.
type Ended struct {
	Result logic.Result
	Reply  any       // of an OK
	Report []float64 // nil: none came
	At     time.Time
}

// Backends carries attempts. Its methods must not block.
type Backends interface {
	// Start begins an attempt, calls done once, and returns what calls it off.
	Start(a Attempt, done func(Ended)) (cancel func())
	CloseIdle(Place)
}

// Director brings the list of backends. Its methods must not block; each call
// is answered by exactly one List.
type Director interface {
	Subscribe()
	Fetch()
}

// Entry is a backend of a list.
type Entry struct {
	logic.Server
	Endpoint string
}

// queueLength bounds what waits for the owner. Whoever finds it full waits;
// the owner itself waits for nobody, so the queue always empties.
const queueLength = 1024

// Core is the owner of the module.
type Core struct {
	module   *logic.Balancer
	settings logic.Settings
	backends Backends
	director Director
	count    *counters.Set

	queue  chan func()
	urgent chan func() // news of the list: it goes ahead of what waits in queue
	quit   chan struct{}
	local  []func() // events that the owner has for itself

	origin time.Time
	at     time.Time // of the event that the module is told: its sends and timers count from there
	reqs   map[logic.RequestID]*held
	places map[logic.ServerID]Place
	states map[logic.ServerID]logic.ServerState
	timers timers
	ready  atomic.Bool
}

// held is a req from its arrival until it is answered and its attempts have ended.
type held struct {
	Req
	until    time.Time
	attempts []sent
	open     int
	over     bool // answered, or its client has gone
}

type sent struct {
	at     time.Time
	until  time.Time
	server logic.ServerID
	cancel func()
}

// New returns a Core that Run has yet to start.
func New(s logic.Settings, seed uint64, count *counters.Set) (*Core, error) {
	m, err := logic.New(s, seed)
	if err != nil {
		return nil, err
	}
	return &Core{
		module: m, settings: s, count: count, origin: time.Now(),
		queue: make(chan func(), queueLength), urgent: make(chan func(), 64), quit: make(chan struct{}),
		reqs: map[logic.RequestID]*held{}, places: map[logic.ServerID]Place{},
		states: map[logic.ServerID]logic.ServerState{},
	}, nil
}

// ErrFull tells that a req could not be queued in time; nothing of it has run.
var ErrFull = errors.New("the queue of reqs is full")

// submitWithin is how long a req may wait for room in the queue.
const submitWithin = 100 * time.Millisecond

// Submit hands in a req. Its Session gets one answer unless Gone comes first.
func (c *Core) Submit(r Req) error {
	ev := func() { c.request(r) }
	select {
	case c.queue <- ev:
		return nil
	default:
	}
	t := time.NewTimer(submitWithin)
	defer t.Stop()
	select {
	case c.queue <- ev:
		return nil
	case <-t.C:
		return ErrFull
	}
}

// Gone tells that the client of a req has left. Nothing is owed any more.
func (c *Core) Gone(id string, of Session) { c.queue <- func() { c.gone(logic.RequestID(id), of) } }

// List brings a list of the director. It is told ahead of everything that
// waits: a drain must not stand behind reqs that would be sent to the drained.
func (c *Core) List(kind logic.ListKind, entries []Entry) {
	c.urgent <- func() { c.list(kind, entries) }
}

// Ready tells whether the node knows a backend that takes reqs.
func (c *Core) Ready() bool { return c.ready.Load() }

// Stop ends Run.
func (c *Core) Stop() { close(c.quit) }

// Run owns the module until Stop.
func (c *Core) Run(b Backends, d Director) {
	c.backends, c.director = b, d
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		// What waits goes before the timers that are due: an answer that has come is not
		// thrown away because the owner was late. What comes meanwhile waits its turn, so
		// a full queue holds no timer up for long.
		for n := len(c.queue); n > 0; n-- {
			c.news()
			(<-c.queue)()
			c.own()
		}
		c.news()
		c.own()
		c.wakeDue()
		c.own()
		alarm.Reset(c.untilNext())
		select {
		case ev := <-c.urgent:
			ev()
		case ev := <-c.queue:
			c.news()
			ev()
		case <-alarm.C:
		case <-c.quit:
			return
		}
		c.own()
	}
}

// news takes every list that waits.
func (c *Core) news() {
	for {
		select {
		case ev := <-c.urgent:
			ev()
		default:
			return
		}
	}
}

// own takes the events that actions have left behind.
func (c *Core) own() {
	for len(c.local) > 0 {
		ev := c.local[0]
		c.local = c.local[1:]
		ev()
	}
}

// clock is the module's: Unix time as it was at the start, and steady from
// then on. A backend's start, given in Unix time, needs no mapping and stays
// the same value in every list; the module takes a changed one for a restart.
func (c *Core) clock(t time.Time) time.Duration {
	return time.Duration(c.origin.UnixNano()) + t.Sub(c.origin)
}

// tell hands an event to the module and carries out what it asks for. A panic
// of the module ends the req that it was about, with a failure, and no other.
func (c *Core) tell(id logic.RequestID, ev logic.Event) {
	defer func() {
		if p := recover(); p != nil {
			c.count.Add("module.panic")
			log.Printf("module: panic on %T: %v\n%s", ev, p, debug.Stack())
			c.answer(id, Answer{Kind: Failed})
		}
	}()
	c.at = time.Now()
	for _, a := range c.module.Handle(c.clock(c.at), ev) {
		c.act(a)
	}
}

func (c *Core) act(a logic.Action) {
	switch a := a.(type) {
	case logic.Send:
		c.send(a)
	case logic.Cancel:
		// The module's last timer for a req and the time-out of its attempt fall due together.
		// An attempt whose time is over ends as timed out: called off, a backend that hangs
		// would bear no blame, or would by chance.
		if r := c.reqs[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) && c.at.Before(r.attempts[a.Attempt].until) {
			r.attempts[a.Attempt].cancel()
		}
	case logic.Refuse:
		c.answer(a.ID, Answer{Kind: Refused, RetryAfter: a.RetryAfter})
	case logic.Fail:
		c.answer(a.ID, Answer{Kind: Failed})
	case logic.SetTimer:
		heap.Push(&c.timers, timer{at: c.at.Add(a.After), token: a.Token})
	case logic.Subscribe:
		c.director.Subscribe()
	case logic.Fetch:
		c.director.Fetch()
	case logic.CloseIdle:
		if p, ok := c.places[a.Server]; ok {
			c.backends.CloseIdle(p)
		}
	case logic.Log:
		log.Printf("module: %s", a.Text)
	}
}

func (c *Core) request(r Req) {
	id := logic.RequestID(r.ID)
	c.count.Add("req.taken")
	if c.reqs[id] != nil {
		c.count.Add("answer.duplicate")
		r.Session.Answer(Answer{Kind: Duplicate})
		return
	}
	for _, cl := range c.settings.Classes {
		if cl.Name == r.Class && (r.Wait <= 0 || r.Wait > cl.Deadline) {
			r.Wait = cl.Deadline
		}
	}
	h := &held{Req: r, until: r.Arrived.Add(r.Wait)}
	c.reqs[id] = h
	// What the req waited for its turn is gone from the client's patience.
	c.tell(id, logic.Request{ID: id, Class: r.Class, Retry: r.Retry, Expires: time.Until(h.until)})
}

// gone drops the req that a session held under the id; an id sent twice must
// not let the second client take the first one's req along.
func (c *Core) gone(id logic.RequestID, of Session) {
	r := c.reqs[id]
	if r == nil || r.over || r.Session != of {
		return
	}
	c.count.Add("client.gone")
	r.over = true
	c.tell(id, logic.ClientGone{ID: id})
	c.forget(id, r)
}

// answer gives a req its final answer, unless it has one.
func (c *Core) answer(id logic.RequestID, a Answer) {
	r := c.reqs[id]
	if r == nil || r.over {
		return
	}
	r.over = true
	c.count.Add("answer." + kindNames[a.Kind])
	r.Session.Answer(a)
	r.Call = nil
	c.forget(id, r)
}

func (c *Core) forget(id logic.RequestID, r *held) {
	if r.over && r.open == 0 {
		delete(c.reqs, id)
	}
}

// send starts an attempt. Every Send gets one Outcome, also where nothing can go out.
func (c *Core) send(a logic.Send) {
	r := c.reqs[a.ID]
	if r == nil {
		log.Printf("module: a send for %q, which is not held", a.ID)
		return
	}
	now := c.at
	until := now.Add(a.Within)
	if a.Within <= 0 || until.After(r.until) {
		until = r.until
	}
	n := len(r.attempts)
	r.attempts = append(r.attempts, sent{at: now, until: until, server: a.Server, cancel: func() {}})
	r.open++
	place, known := c.places[a.Server]
	if r.over || !known || !until.After(now) || c.settings.MaxAttempts > 0 && n >= c.settings.MaxAttempts {
		c.local = append(c.local, func() { c.ended(a.ID, n, Ended{Result: logic.Moot, At: now}) })
		return
	}
	c.count.Add("attempt.sent")
	r.attempts[n].cancel = c.backends.Start(Attempt{Call: r.Call, Place: place, Until: until}, func(e Ended) {
		c.queue <- func() { c.ended(a.ID, n, e) }
	})
}

var resultNames = map[logic.Result]string{
	logic.OK: "ok", logic.Failed: "error", logic.QueueFull: "queue-full", logic.TimedOut: "timed-out",
	logic.ConnectFailed: "connect-failed", logic.Reset: "reset", logic.Canceled: "canceled", logic.Moot: "moot",
}

// ended takes the end of an attempt. The first OK answers the req.
func (c *Core) ended(id logic.RequestID, n int, e Ended) {
	c.count.Add("outcome." + resultNames[e.Result])
	r := c.reqs[id]
	if r == nil {
		log.Printf("an attempt of %q ended that is not held", id)
		return
	}
	t := r.attempts[n]
	r.open--
	if e.Result == logic.OK {
		c.answer(id, Answer{Kind: Served, Reply: e.Reply})
	}
	c.tell(id, logic.Outcome{
		ID: id, Attempt: n, Result: e.Result, Final: r.over, Server: t.server,
		Latency: max(e.At.Sub(t.at), 0), Report: e.Report,
	})
	c.forget(id, r)
}

// list takes news of the backends. The connections to a process that is gone,
// or has been started anew or elsewhere, are dropped.
func (c *Core) list(kind logic.ListKind, entries []Entry) {
	c.count.Add("list." + [...]string{"full", "changes", "cached", "failed"}[kind])
	servers := make([]logic.Server, 0, len(entries))
	was := c.places
	if kind == logic.ListFull || kind == logic.ListCached {
		c.places, c.states = map[logic.ServerID]Place{}, map[logic.ServerID]logic.ServerState{}
		for id, p := range was {
			if !has(entries, id) {
				c.backends.CloseIdle(p)
			}
		}
	}
	for _, e := range entries {
		p := Place{ID: e.ID, Endpoint: e.Endpoint, Born: e.Born}
		if old, ok := was[e.ID]; ok && (old != p || e.State == logic.Gone) {
			c.backends.CloseIdle(old)
		}
		if e.State == logic.Gone {
			delete(c.places, e.ID)
			delete(c.states, e.ID)
		} else {
			c.places[e.ID], c.states[e.ID] = p, e.State
		}
		servers = append(servers, e.Server)
	}
	serves := false
	for _, s := range c.states {
		serves = serves || s == logic.Serving
	}
	c.ready.Store(serves)
	c.tell("", logic.ServerList{Kind: kind, Servers: servers})
}

func has(entries []Entry, id logic.ServerID) bool {
	for _, e := range entries {
		if e.ID == id {
			return true
		}
	}
	return false
}

// wakeDue tells the timers that are due.
func (c *Core) wakeDue() {
	for now := time.Now(); len(c.timers) > 0 && !c.timers[0].at.After(now); {
		t := heap.Pop(&c.timers).(timer)
		c.news()
		c.tell("", logic.Wake{Token: t.token})
	}
}

func (c *Core) untilNext() time.Duration {
	if len(c.timers) == 0 {
		return time.Hour
	}
	return max(time.Until(c.timers[0].at), 0)
}

// timer is a Wake that is to come.
type timer struct {
	at    time.Time
	token uint64
}

// timers is a heap by time.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// String names a place in logs.
func (p Place) String() string { return fmt.Sprintf("%s at %s", p.ID, p.Endpoint) }
