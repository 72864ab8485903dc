package core

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"runtime/debug"
	"slices"
	"time"

	"pipitmux/internal/logging"
	"pipitmux/logic"
)

// Module decides. *logic.Balancer is the one that a node runs; the lab puts
// rivals in its place. The actions it returns are valid until the next call.
type Module interface {
	Handle(now time.Duration, ev logic.Event) []logic.Action
}

// Counters takes the counts of what an Owner does.
type Counters interface{ Add(name string) }

// Environment is what an Owner needs of the world that it runs in. A node's is the
// machine's clock and its queue; the lab's is virtual.
type Environment struct {
	Now       func() time.Time
	Post      func(func()) // has the end of an attempt told to the owner; called from any goroutine
	Transport Transport
	Registry  Registry
	Counters  Counters
	Log       *slog.Logger
}

// Engine takes the steps of one node round its module: requests, ends of attempts,
// lists and timers in, sends and final answers out. It starts no goroutine,
// reads no clock but its World's, and is not safe for concurrent use: Core runs
// it for a node, the emulator in virtual time, and both so take the same steps.
type Engine struct {
	world    Environment
	module   Module
	settings logic.Settings
	local    []func() // events that the owner has for itself

	origin   time.Time
	at       time.Time // of the event that the module is told: its sends and timers count from there
	requests map[logic.RequestID]*held
	places   map[logic.ServerID]Instance
	listed   map[logic.ServerID]Backend
	timers   timers
	serves   bool
}

// held is a request from its arrival until it is answered and its attempts have ended.
type held struct {
	Request
	class    *logic.Class // nil: not known
	until    time.Time
	attempts []sent
	open     int
	over     bool             // answered, or its client has gone
	streams  bool             // the answer still comes
	failure  any              // the newest Reply that is passed on where no attempt serves the request, nil: none
	timers   []logic.SetTimer // which start with its last byte
}

type sent struct {
	at     time.Time
	until  time.Time
	within time.Duration // that the module gave it
	server logic.ServerID
	cancel func()
	never  bool // it has ended and did not run
	stream stream
}

// NewEngine returns an Owner of the module, which must have been made for the
// same settings.
func NewEngine(m Module, s logic.Settings, w Environment) *Engine {
	return &Engine{
		world: w, module: m, settings: s, origin: w.Now(),
		requests: map[logic.RequestID]*held{}, places: map[logic.ServerID]Instance{},
		listed: map[logic.ServerID]Backend{},
	}
}

// BackendCounts returns how many backends are listed, and how many of these the module
// avoids now, where it tells.
func (o *Engine) BackendCounts() (listed, avoided int) {
	if m, ok := o.module.(interface{ CountAvoided(time.Duration) int }); ok {
		avoided = m.CountAvoided(o.clock(o.world.Now()))
	}
	return len(o.listed), avoided
}

// pupil is a module that hands on what it learned.
type pupil interface {
	ExportLearned() ([]byte, error)
	ImportLearned([]byte) error
	ImportAfterRestart([]byte) error
}

// ExportModuleState returns what the module learned, empty where it does not tell.
func (o *Engine) ExportModuleState() []byte {
	m, ok := o.module.(pupil)
	if !ok {
		return nil
	}
	text, err := m.ExportLearned()
	if err != nil {
		o.world.Log.Warn("module: what it learned can't be told", logging.Cause, err)
	}
	return text
}

// ImportModuleState has the module take on what another learned, whole where that goes on at this
// instant, else what holds through a stop.
func (o *Engine) ImportModuleState(text []byte, whole bool) {
	if m, ok := o.module.(pupil); ok {
		learn := m.ImportAfterRestart
		if whole {
			learn = m.ImportLearned
		}
		if err := learn(text); err != nil {
			o.world.Log.Warn("module: what another learned is not taken on", logging.Cause, err)
		}
	}
}

// Backends returns the list of backends, by their names.
func (o *Engine) Backends() []Backend {
	return slices.SortedFunc(maps.Values(o.listed), func(a, b Backend) int { return cmp.Compare(a.ID, b.ID) })
}

// HasServingBackend tells whether a backend is known that takes requests.
func (o *Engine) HasServingBackend() bool { return o.serves }

// RunPending takes the events that earlier ones have left behind. It belongs after
// each event.
func (o *Engine) RunPending() {
	for len(o.local) > 0 {
		ev := o.local[0]
		o.local = o.local[1:]
		ev()
	}
}

// clock is the module's: Unix time as it was at the start, and steady from
// then on. A backend's start, given in Unix time, needs no mapping and stays
// the same value in every list; the module takes a changed one for a restart.
func (o *Engine) clock(t time.Time) time.Duration {
	return time.Duration(o.origin.UnixNano()) + t.Sub(o.origin)
}

// tell hands an event to the module and carries out what it asks for. A panic
// of the module ends the request that it was about, with a failure, and no other.
func (o *Engine) tell(id logic.RequestID, ev logic.Event) {
	defer func() {
		if p := recover(); p != nil {
			o.world.Counters.Add("module.panic")
			o.world.Log.Error("module: panic", "event", fmt.Sprintf("%T", ev), logging.Request, id, logging.Cause, p, "stack", string(debug.Stack()))
			o.answer(id, Answer{Kind: Failed})
		}
	}()
	o.at = o.world.Now()
	for _, a := range o.module.Handle(o.clock(o.at), ev) {
		_, first := ev.(logic.Request)
		t, timer := a.(logic.SetTimer)
		if r := o.requests[id]; first && timer && r != nil && r.BodyPending {
			r.timers = append(r.timers, t)
			continue
		}
		o.act(a)
	}
}

func (o *Engine) act(a logic.Action) {
	switch a := a.(type) {
	case logic.Send:
		o.send(a)
	case logic.Cancel:
		// The module's last timer for a request and the time-out of its attempt fall due together.
		// An attempt whose time is over ends as timed out: called off, a backend that hangs
		// would bear no blame, or would by chance.
		// A stream that answers its request ends with its reader.
		if r := o.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			if t := &r.attempts[a.Attempt]; o.at.Before(t.until) && !t.stream.answers {
				t.cancel()
			}
		}
	case logic.Reject:
		o.answer(a.ID, Answer{Kind: Rejected, RetryAfter: a.RetryAfter})
	case logic.Fail:
		o.answer(a.ID, Answer{Kind: Failed})
	case logic.SetTimer:
		heap.Push(&o.timers, timer{at: o.at.Add(a.After), token: a.Token})
	case logic.Subscribe:
		if o.world.Registry != nil {
			o.world.Registry.Subscribe()
		}
	case logic.Fetch:
		if o.world.Registry != nil {
			o.world.Registry.Fetch()
		}
	case logic.CloseIdle:
		if p, ok := o.places[a.Server]; ok {
			o.world.Transport.CloseIdle(p)
		}
	case logic.Log:
		o.world.Log.Info("module: " + a.Text)
	}
}

// Request takes a request. Its Session gets one answer unless Gone comes first.
func (o *Engine) Request(r Request) {
	id := logic.RequestID(r.ID)
	o.world.Counters.Add("req.taken")
	if o.requests[id] != nil {
		o.world.Counters.Add("answer.duplicate")
		r.Session.Answer(Answer{Kind: Duplicate})
		return
	}
	var class *logic.Class
	for i := range o.settings.Classes {
		if cl := &o.settings.Classes[i]; cl.Name == r.Class {
			class = cl
			if r.Timeout <= 0 || r.Timeout > cl.Deadline {
				r.Timeout = cl.Deadline
			}
		}
	}
	h := &held{Request: r, class: class, until: r.Arrived.Add(r.Timeout)}
	o.requests[id] = h
	if r.BodyPending {
		h.Arrived = o.world.Now()
		h.until = h.Arrived.Add(openMost)
	}
	q := logic.Request{ID: id, Class: r.Class, Retry: r.Retry, Tenant: r.Tenant, WorkHint: r.WorkHint, ClientTimeout: r.Timeout, BodyPending: r.BodyPending,
		Preferred: r.PreferredServers, Worth: r.Worth, MaxAttempts: r.MaxAttempts, Avoid: r.AvoidedServer}
	if !r.BodyPending {
		// What the request waited for its turn is gone from the client's patience.
		q.ClientTimeout = h.until.Sub(o.world.Now())
	}
	o.tell(id, q)
}

// openMost is beyond any time that a front lets a body take.
const openMost = time.Hour

// BodyComplete starts the time of a request whose last byte has come, and of its attempt.
func (o *Engine) BodyComplete(id logic.RequestID, of Session) {
	r := o.requests[id]
	if r == nil || r.over || r.Session != of || !r.BodyPending {
		return
	}
	now := o.world.Now()
	r.BodyPending = false
	r.until = now.Add(r.Timeout)
	for i := range r.attempts {
		a := &r.attempts[i]
		a.at, a.until = now, now.Add(a.within)
	}
	o.tell(id, logic.Whole{ID: id, BodyTime: now.Sub(r.Arrived)})
	for _, t := range r.timers {
		o.act(t)
	}
	r.timers = nil
}

// ClientGone drops the request that a session held under the id; an id sent twice must
// not let the second client take the first one's request along.
func (o *Engine) ClientGone(id logic.RequestID, of Session) {
	r := o.requests[id]
	if r == nil || r.over || r.Session != of {
		return
	}
	o.gone(id, r)
	o.forget(id, r)
}

func (o *Engine) gone(id logic.RequestID, r *held) {
	o.world.Counters.Add("client.gone")
	r.over = true
	r.dropFailure()
	o.tell(id, logic.ClientGone{ID: id})
}

// answer gives a request its final answer, unless it has one.
func (o *Engine) answer(id logic.RequestID, a Answer) {
	r := o.requests[id]
	if r == nil || r.over {
		return
	}
	r.over = true
	a.MayHaveRun, a.Attempts = a.Kind == Rejected && r.mayHaveRun(), len(r.attempts)
	if f := r.failure; f != nil && a.Kind != Served {
		a, r.failure = Answer{Kind: Failed, Reply: f, Attempts: a.Attempts}, nil
		o.world.Counters.Add("answer.passed")
	}
	r.dropFailure()
	o.world.Counters.Add(answerCounts[a.Kind])
	if a.Kind != Served && o.world.Log.Enabled(context.Background(), slog.LevelDebug) {
		o.world.Log.LogAttrs(context.Background(), slog.LevelDebug, "req not served", slog.String(logging.Request, string(id)),
			slog.String("class", r.Class), slog.String(logging.Cause, answerCounts[a.Kind][len("answer."):]), slog.Int("attempts", len(r.attempts)))
	}
	r.Session.Answer(a)
	r.Call = nil
	o.forget(id, r)
}

func (o *Engine) forget(id logic.RequestID, r *held) {
	if r.over && r.open == 0 {
		delete(o.requests, id)
	}
}

// send starts an attempt. Every Send gets one Outcome, also where nothing can go out.
func (o *Engine) send(a logic.Send) {
	r := o.requests[a.ID]
	if r == nil {
		o.world.Log.Error("module: a send for a req that is not held", logging.Request, a.ID)
		return
	}
	now := o.at
	until := now.Add(a.Timeout)
	if a.Timeout <= 0 || until.After(r.until) {
		until = r.until
	}
	n := len(r.attempts)
	r.attempts = append(r.attempts, sent{at: now, until: until, within: a.Timeout, server: a.Server, cancel: func() {}})
	r.open++
	place, known := o.places[a.Server]
	if most := o.most(r); r.over || !known || !until.After(now) || most > 0 && n >= most {
		o.local = append(o.local, func() { o.ended(a.ID, n, AttemptResult{Result: logic.NotSent, At: now}) })
		return
	}
	o.world.Counters.Add("attempt.sent")
	out := Attempt{Call: r.Call, Instance: place, Deadline: until, StartBefore: r.before()}
	if r.BodyPending {
		out.Deadline, out.Timeout = time.Time{}, min(a.Timeout, r.Timeout)
	}
	r.attempts[n].cancel = o.world.Transport.Start(out, func(e AttemptResult) {
		o.world.Post(func() { o.ended(a.ID, n, e) })
	})
}

// mayHaveRun tells whether an attempt was sent that did not end as one that never ran.
func (r *held) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a sent) bool { return !a.never })
}

// most is how many attempts a request may have, 0: any number.
func (o *Engine) most(r *held) int {
	if r.MaxAttempts > 0 {
		return r.MaxAttempts
	}
	if r.class != nil && r.class.MaxAttempts > 0 {
		return r.class.MaxAttempts
	}
	return o.settings.MaxAttempts
}

// before returns until when a further attempt of a keyed request may begin: backends drop its
// repeats for a while only, and a connection that comes up late may use all of that up.
func (r *held) before() (until time.Time) {
	if r.class == nil || r.class.Effect != logic.Keyed {
		return until
	}
	for _, a := range r.attempts[:len(r.attempts)-1] {
		if over := a.at.Add(r.class.Window); !a.never && (until.IsZero() || over.Before(until)) {
			until = over
		}
	}
	return until
}

// The counts' names stand here whole: joined for each event they would be a
// good part of what an event costs.
var (
	answerCounts = [...]string{Served: "answer.served", Rejected: "answer.refused", Failed: "answer.failed",
		Duplicate: "answer.duplicate"}
	outcomeCounts = [...]string{logic.OK: "outcome.ok", logic.Failed: "outcome.error", logic.QueueFull: "outcome.queue-full",
		logic.TimedOut: "outcome.timed-out", logic.ConnectFailed: "outcome.connect-failed", logic.Reset: "outcome.reset",
		logic.Canceled: "outcome.canceled", logic.NotSent: "outcome.moot"}
	listCounts = [...]string{logic.ListFull: "list.full", logic.ListChanges: "list.changes",
		logic.ListCached: "list.cached", logic.ListFailed: "list.failed"}
)

// ended takes the end of an attempt. The first OK answers the request.
func (o *Engine) ended(id logic.RequestID, n int, e AttemptResult) {
	if e.Streaming {
		o.begun(id, n, e)
		return
	}
	o.world.Counters.Add(outcomeCounts[e.Result])
	r := o.requests[id]
	if r == nil {
		o.world.Log.Error("an attempt ended of a req that is not held", logging.Request, id, logging.Attempt, n)
		return
	}
	if e.ClientGone && !r.over {
		o.gone(id, r)
	}
	t := &r.attempts[n]
	t.never = e.Result.NeverRan()
	r.open--
	if r.BodyPending {
		t.at = e.At // no backend has begun on it
	}
	// Asked first: what a line is made of must not be put together for nothing.
	if o.world.Log.Enabled(context.Background(), slog.LevelDebug) {
		o.world.Log.LogAttrs(context.Background(), slog.LevelDebug, "attempt ended", slog.String(logging.Request, string(id)),
			slog.String(logging.Backend, string(t.server)), slog.Int(logging.Attempt, n),
			slog.String(logging.Cause, outcomeCounts[e.Result][len("outcome."):]), slog.Duration("took", e.At.Sub(t.at)))
	}
	switch {
	case e.Result == logic.OK && !r.over:
		o.answer(id, Answer{Kind: Served, Reply: e.Reply})
	case e.PassThrough && !r.over:
		r.dropFailure()
		r.failure = e.Reply
	default:
		discard(e.Reply)
	}
	latency := max(e.At.Sub(t.at), 0)
	if t.stream.begun {
		latency = t.stream.latency
	}
	if t.stream.answers {
		r.streams = false
	}
	// While the answer streams, the end of a second copy does not finish the request.
	o.tell(id, logic.Outcome{
		ID: id, Attempt: n, Result: e.Result, Final: r.over && !r.streams, Server: t.server,
		Latency: latency, Report: e.LoadReport,
	})
	o.forget(id, r)
}

// UpdateBackends takes news of the backends. The connections to a process that is gone,
// or has been started anew or elsewhere, are dropped. Attempts that were decided on before
// it and have not begun are withdrawn where their backend leaves, and decided anew.
func (o *Engine) UpdateBackends(kind logic.ListKind, entries []Backend) {
	o.world.Counters.Add(listCounts[kind])
	servers := make([]logic.Server, 0, len(entries))
	was := o.places
	if kind == logic.ListFull || kind == logic.ListCached {
		o.places = make(map[logic.ServerID]Instance, len(entries))
		o.listed = make(map[logic.ServerID]Backend, len(entries))
	}
	for _, e := range entries {
		p := Instance{ID: e.ID, Endpoint: e.Endpoint, Started: e.StartedAt}
		if old, ok := was[e.ID]; ok && (old != p || e.State != logic.Serving) {
			o.world.Transport.Withdraw(old)
			if old != p || e.State == logic.Gone {
				o.world.Transport.CloseIdle(old)
			}
		}
		if e.State == logic.Gone {
			delete(o.places, e.ID)
			delete(o.listed, e.ID)
		} else {
			o.places[e.ID], o.listed[e.ID] = p, e
		}
		servers = append(servers, e.Server)
	}
	if kind == logic.ListFull || kind == logic.ListCached {
		o.drop(was)
	}
	o.serves = false
	for _, e := range o.listed {
		o.serves = o.serves || e.State == logic.Serving
	}
	o.tell("", logic.ServerList{Kind: kind, Servers: servers})
}

// drop closes the connections to those that a whole list left out, in the order
// of their names: the same list must have the same effects in the same order.
func (o *Engine) drop(was map[logic.ServerID]Instance) {
	var left []Instance
	for id, p := range was {
		if _, ok := o.places[id]; !ok {
			left = append(left, p)
		}
	}
	slices.SortFunc(left, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	for _, p := range left {
		o.world.Transport.Withdraw(p)
		o.world.Transport.CloseIdle(p)
	}
}
