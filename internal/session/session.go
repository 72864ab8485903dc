// Package session is the front for clients: HTTP/1.1, served by net/http.
package session

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pipitmux/internal/core"
	"pipitmux/internal/counters"
	"pipitmux/internal/figures"
	"pipitmux/internal/lifecycle"
	"pipitmux/internal/message"
	"pipitmux/logic"
)

const (
	maxID = 256
	// writeWithin is how long a client may take nothing of its answer.
	writeWithin = 15 * time.Second
	// perByte is how long a client may take for each byte of a body, beyond BodyWithin:
	// somewhat longer than the 64 kB a second that are owed patience.
	perByte = time.Second / 48000
	// settled and lingered are the least ages of an unused and of an idle session that is
	// shed for a new one. On a younger unused one the first req may be on its way. The idle
	// ones are what clients that ask come back to: shed sooner, a crowd of silent
	// connections drives those clients out, and each comes back as one connection more.
	settled  = 100 * time.Millisecond
	lingered = 500 * time.Millisecond
	// stayOpen is how long new connections are still taken once the node is told to end:
	// the front goes on dealing them out for a while, and what is turned away is lost.
	stayOpen = 500 * time.Millisecond
	// leaveStep is how often the life cycle is asked which sessions end while the node
	// leaves.
	leaveStep = 20 * time.Millisecond
	// answerBy is how long before its end a node that is told to end answers what is open.
	answerBy = 70 * time.Millisecond
	// backlogFor is how long the listener's queue is empty before it closes: what waits in it
	// would be reset. New ones don't keep it open for longer than backlogMost.
	backlogFor  = 10 * time.Millisecond
	backlogMost = 50 * time.Millisecond
	// Overflow is how many connections beyond the limit are taken while others are shed.
	Overflow = 32
)

// Owner is the core as the front sees it.
type Owner interface {
	Submit(core.Req) error
	Whole(id string, of core.Session)
	Gone(id string, of core.Session)
	Ready() bool
}

// Options are the limits of a Front.
type Options struct {
	Classes     []logic.Class
	RetryAfter  time.Duration // told with a refusal of the front's own, 0: not at all
	MaxSessions int           // client sessions; beyond, those without a req are shed
	MaxReqs     int           // reqs that may be open at once
	HeadWithin  time.Duration // how long a client may take for a head,
	BodyWithin  time.Duration // and then for a body, and more by its length
	IdleFor     time.Duration // how long a client session may stay open between reqs
	Figures     *figures.Set
	Budget      *message.Budget // of bytes, for bodies
}

// Front serves clients.
type Front struct {
	opt       Options
	owner     Owner
	count     *counters.Set
	classes   map[string]logic.Class
	server    *http.Server
	listener  *limited
	sessions  atomic.Int64
	most      atomic.Int64  // client sessions,
	overflow  atomic.Int64  // so many more while others are shed,
	mostReqs  atomic.Int64  // and open reqs, that are allowed now
	open      atomic.Int64  // reqs without an answer yet, those that still come included
	lingering atomic.Int64  // ended sessions that are read out
	lingerFor time.Duration // for so long
	answerBy  time.Duration // before its end a node that is told to end answers what is open
	leaving   atomic.Bool   // answers end their client sessions
	last      atomic.Bool   // the listener closes once nobody waits at it
	heir      atomic.Bool   // a successor serves at the same address
	closed    chan struct{} // closed when no more sessions are taken
	over      chan struct{} // closed when every open req gets its answer at once

	mu    sync.Mutex
	life  lifecycle.Node
	gone  bool                 // a goroutine ends idle sessions
	spare map[*counted]waiting // client sessions without an open req
}

// waiting is a client session between reqs.
type waiting struct {
	since time.Time
	fresh bool // it has not brought a first req yet
}

// New returns a Front that has yet to serve on l.
func New(opt Options, l net.Listener, owner Owner, count *counters.Set) *Front {
	f := &Front{opt: opt, owner: owner, count: count, classes: map[string]logic.Class{},
		spare: map[*counted]waiting{}, lingerFor: lingerFor, answerBy: answerBy, closed: make(chan struct{}), over: make(chan struct{})}
	f.listener = &limited{Listener: l, front: f}
	f.Limit(opt.MaxSessions, Overflow, opt.MaxReqs)
	longest := time.Duration(0)
	for _, c := range opt.Classes {
		f.classes[c.Name] = c
		longest = max(longest, c.Deadline)
	}
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: opt.HeadWithin, // no ReadTimeout: it would cut a req that waits for its answer
		WriteTimeout:      writeWithin + 2*longest,
		IdleTimeout:       opt.IdleFor,
		MaxHeaderBytes:    16 << 10,
		ConnState:         f.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, sessionKey{}, c)
		},
		// Every head that is read reaches the handler, which numbers them.
		DisableGeneralOptionsHandler: true,
	}
	return f
}

// sessionKey finds a req's connection in its context.
type sessionKey struct{}

func (f *Front) track(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.(*counted).active.Store(s == http.StateActive)
	switch s {
	case http.StateNew:
		f.count.Add("session.opened")
		f.spare[c.(*counted)] = waiting{time.Now(), true}
	case http.StateIdle:
		f.spare[c.(*counted)] = waiting{time.Now(), false}
	default:
		delete(f.spare, c.(*counted))
	}
}

// Drain has clients sent away: /ready says no, answers end their sessions, and idle
// sessions end as the life cycle says.
func (f *Front) Drain() error { return f.move(f.life.Drain) }

// Resume has clients taken again.
func (f *Front) Resume() error { return f.move(f.life.Resume) }

// Limit changes how many client sessions, with those beyond while others are shed, and
// open reqs are allowed. Idle sessions
// over it end.
func (f *Front) Limit(sessions, overflow, reqs int) {
	f.overflow.Store(int64(overflow))
	f.most.Store(int64(sessions))
	f.mostReqs.Store(int64(reqs))
	for over := f.sessions.Load() - int64(sessions); over > 0; over-- {
		f.shed()
	}
}

// Succeeded tells whether a successor serves at the same address, from the same queue
// of connections.
func (f *Front) Succeeded(serves bool) { f.heir.Store(serves) }

// move takes a step of the life cycle and sees that idle sessions end while it says so.
func (f *Front) move(step func(time.Time) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := step(time.Now()); err != nil {
		return err
	}
	f.leaving.Store(f.life.Leaving())
	if f.life.Leaving() && !f.gone {
		f.gone = true
		go f.leave()
	}
	return nil
}

// Ready returns nil where the node takes clients, or why it does not.
func (f *Front) Ready() error {
	f.mu.Lock()
	phase := f.life.Phase()
	f.mu.Unlock()
	switch {
	case phase != lifecycle.Serving:
		return errors.New("not ready: " + phase.String())
	case !f.owner.Ready():
		return errors.New("not ready: no backend takes reqs")
	}
	return nil
}

// leave ends idle sessions, the longest idle first, until the node stays.
func (f *Front) leave() {
	tick := time.NewTicker(leaveStep)
	defer tick.Stop()
	for now := range tick.C {
		f.mu.Lock()
		if !f.life.Leaving() {
			f.gone = false
			f.mu.Unlock()
			return
		}
		idle := slices.SortedFunc(maps.Keys(f.spare), func(a, b *counted) int {
			return f.spare[a].since.Compare(f.spare[b].since)
		})
		for n := f.life.End(now, len(idle)); n > 0 && len(idle) > 0; idle = idle[1:] {
			// One on which something has come brings a req: its answer ends it.
			if idle[0].end() {
				delete(f.spare, idle[0])
				n--
			}
		}
		f.mu.Unlock()
	}
}

// shed ends a client session without a req, so that silent clients by the
// hundred don't keep out those that ask: the longest silent of those that never
// asked, or else the longest idle. One on which a req is coming in stays.
func (f *Front) shed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var first *counted
	var of waiting
	now := time.Now()
	for c, w := range f.spare {
		age, least := now.Sub(w.since), lingered
		if w.fresh {
			least = settled
		}
		sooner := first == nil || w.fresh && !of.fresh || w.fresh == of.fresh && w.since.Before(of.since)
		if age >= least && sooner && c.between() {
			first, of = c, w
		}
	}
	if first != nil && first.end() {
		f.count.Add("session.shed")
		delete(f.spare, first)
	}
}

// linger gives the place of a session that ends free, and tells whether there is room to
// read it out. All that are open stay within the limit and its overflow.
func (f *Front) linger() bool {
	if f.sessions.Load()+f.lingering.Add(1) > f.most.Load()+f.overflow.Load()/2 {
		f.lingering.Add(-1)
		return false
	}
	f.sessions.Add(-1)
	return true
}

// Serve takes client sessions until End. It returns nil then.
func (f *Front) Serve() error {
	defer close(f.closed)
	f.move(func(now time.Time) error { f.life.Begin(now); return nil })
	if err := f.server.Serve(f.listener); !errors.Is(err, http.ErrServerClosed) && !f.leaving.Load() {
		return err
	}
	return nil
}

// End takes no more client sessions after a while, and returns when every req that was
// taken has its answer and its session has ended, or with an error after the time within.
// By then each open req has been answered as failed: unanswered it would be lost. net/http's
// own Shutdown is not used: it closes sessions on which a req is being read.
func (f *Front) End(within time.Duration) error {
	f.move(func(now time.Time) error { f.life.Stop(now); return nil })
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	defer time.AfterFunc(within-f.answerBy, func() { close(f.over) }).Stop()
	if f.heir.Load() {
		f.listener.Close() // the successor takes them from the same queue
	} else {
		time.Sleep(stayOpen)
		f.listener.close()
	}
	tick := time.NewTicker(leaveStep)
	defer tick.Stop()
	for closed := f.closed; ; {
		select {
		case <-closed:
			closed = nil
		case <-tick.C:
		case <-ctx.Done():
			return errors.Join(ctx.Err(), f.server.Close())
		}
		if closed == nil && f.sessions.Load()+f.lingering.Load() == 0 {
			return f.server.Close()
		}
	}
}

// ServeHTTP answers one HTTP request. A panic ends this client session only.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Some clients ask once and keep the session for good. Clients hold only so many in all,
	// so where half the places are taken an answer ends its session: else those that ask
	// find every place held by one that does not.
	if f.leaving.Load() || f.sessions.Load() > f.most.Load()/2 {
		w.Header().Set("Connection", "close")
	}
	// A body that does not come must not hold its session: neither here nor where net/http
	// reads over what the handler left.
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(f.opt.BodyWithin))
	if r.Context().Value(sessionKey{}).(*counted).doubtful() {
		f.malformed(w, errors.New("Content-Length and Transfer-Encoding: it is in doubt where the req ends"))
		return
	}
	path := r.URL.Path
	api := path == "/api" || strings.HasPrefix(path, "/api/")
	if !api {
		// Who looks whether the node is ready has no further use for the session: kept, such
		// ones by the hundred fill the places of clients that ask.
		w.Header().Set("Connection", "close")
	}
	switch {
	case path == "/ready":
		// Who asks at the address of both asks for the node. A successor is the node.
		if err := f.Ready(); err != nil && !f.heir.Load() {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
	case api:
		f.api(w, r)
	default:
		http.NotFound(w, r)
	}
}

// malformed is a req that gets a plain 4xx.
type malformed struct {
	status int
	text   string
}

func (m *malformed) Error() string { return m.text }

// malformed answers what is not a req, and ends its client session: what stands
// behind it can't be trusted to be one.
func (f *Front) malformed(w http.ResponseWriter, err error) {
	f.count.Add("req.malformed")
	status := http.StatusBadRequest
	var m *malformed
	if errors.As(err, &m) {
		status = m.status
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

func (f *Front) api(w http.ResponseWriter, r *http.Request) {
	c := &client{answer: make(chan core.Answer, 1)}
	// Open reqs count here, not sessions: silent ones are shed, and while they stand at the
	// limit those that ask must not be turned away for them.
	defer f.open.Add(-1)
	over := f.open.Add(1) > f.mostReqs.Load()
	req, in, err := f.read(w, r, c)
	if err != nil && !errors.Is(err, errNoRoom) {
		f.malformed(w, err)
		return
	}
	defer in.close()
	why := ""
	switch {
	case errors.Is(err, errNoRoom):
		why = "answer.no-room"
	case over:
		why = "answer.req-limit"
	case !f.takes():
		why = "answer.draining"
	}
	if why != "" {
		if !in.stop() { // what is still to come of the body is not read
			w.Header().Set("Connection", "close")
		}
		f.turnAway(w, req.Class, why)
		return
	}
	if !req.Open {
		c.take(f.opt.Figures)
	}
	defer c.leave()
	req.Session = c
	if err := f.owner.Submit(*req); err != nil {
		f.turnAway(w, req.Class, "answer.queue-limit")
		return
	}
	var a core.Answer
	select {
	case a = <-c.answer:
	case <-f.over:
		f.owner.Gone(req.ID, c)
		select { // an answer that has come goes before the failure
		case a = <-c.answer:
		default:
			a.Kind = core.Failed
		}
	case <-in.broke:
		f.owner.Gone(req.ID, c)
		f.malformed(w, errors.New("body: it did not come whole"))
		return
	case <-r.Context().Done():
		// The body has been read, so net/http watches the connection: the client has left.
		// One that has only ended its sending must not take net/http's empty 200 for an answer.
		f.owner.Gone(req.ID, c)
		panic(http.ErrAbortHandler)
	}
	if req.Open && !in.stop() {
		// An answer before the req's end. What is still to come of it is not read.
		w.Header().Set("Connection", "close")
	}
	f.answer(w, req.Class, a)
}

// ends are the figures that answers count for.
var ends = [...]figures.Kind{core.Served: figures.Served, core.Refused: figures.Refused,
	core.Failed: figures.Failed, core.Duplicate: figures.Failed}

// turnAway gives a synthetic answer of the front's own: nothing has run.
func (f *Front) turnAway(w http.ResponseWriter, class, why string) {
	f.count.Add(why)
	f.refuse(w, f.opt.RetryAfter)
	f.opt.Figures.Ended(class, figures.Refused)
}

// takes tells whether a req that has come now is taken.
func (f *Front) takes() bool {
	if !f.leaving.Load() {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.life.Takes(time.Now())
}

// client is one client session's wait for its answer.
type client struct {
	answer chan core.Answer

	mu    sync.Mutex
	left  bool
	taken *figures.Set // counts the req as open, nil: not yet
}

// Answer never blocks: there is one answer, and room for it. What nobody waits for any
// more is closed.
func (c *client) Answer(a core.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		discard(a)
		return
	}
	c.answer <- a
}

func discard(a core.Answer) {
	if r, ok := a.Reply.(io.Closer); ok {
		r.Close()
	}
}

// take counts the req as one that is open.
func (c *client) take(f *figures.Set) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.left && c.taken == nil {
		c.taken = f
		f.Open(1)
	}
}

// leave ends the wait.
func (c *client) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = true
	select {
	case a := <-c.answer:
		discard(a)
	default:
	}
	if c.taken != nil {
		c.taken.Open(-1)
	}
}

// answer gives a req its final answer, and counts it.
func (f *Front) answer(w http.ResponseWriter, class string, a core.Answer) {
	end := ends[a.Kind]
	switch a.Kind {
	case core.Served:
		reply := a.Reply.(*message.Reply)
		defer reply.Close()
		if reply.ContentType == "" {
			w.Header()["Content-Type"] = nil // nothing is guessed about a backend's bytes
		} else {
			w.Header().Set("Content-Type", reply.ContentType)
		}
		if reply.Length != message.Unknown {
			w.Header().Set("Content-Length", strconv.FormatInt(reply.Length, 10))
		}
		if reply.Rest == nil {
			w.Write(reply.Body)
			break
		}
		f.pass(w, class, reply)
	case core.Refused:
		f.refuse(w, a.RetryAfter)
	case core.Duplicate:
		http.Error(w, "the id is in use", http.StatusConflict)
	default:
		http.Error(w, "no backend answered", http.StatusBadGateway)
	}
	f.opt.Figures.Ended(class, end)
}

// pass passes a long answer on as it comes. Once any of it is out nothing else can be
// answered: where it breaks, the session ends short of it, so that the client sees it.
func (f *Front) pass(w http.ResponseWriter, class string, reply *message.Reply) {
	control := http.NewResponseController(w)
	put := func(b []byte) error {
		control.SetWriteDeadline(time.Now().Add(writeWithin))
		if _, err := w.Write(b); err != nil {
			return err
		}
		return control.Flush()
	}
	toClient := put(reply.Body)
	var fromBackend error
	if toClient == nil {
		toClient, fromBackend = message.Pass(put, reply.Rest)
	}
	switch {
	case fromBackend != nil:
		f.count.Add("answer.broken")
		f.opt.Figures.Ended(class, figures.Failed)
	case toClient != nil:
		f.count.Add("client.gone")
	default:
		return
	}
	panic(http.ErrAbortHandler) // net/http's way to end a session short of its answer
}

// refuse gives a synthetic answer: trying again is harmless.
func (f *Front) refuse(w http.ResponseWriter, after time.Duration) {
	if after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
	http.Error(w, "refused", http.StatusServiceUnavailable)
}

// errNoRoom tells that a body does not fit in the budget.
var errNoRoom = errors.New("no room for the body")

// read takes a req and takes out what the decisions need. All else stays the bytes that
// came. A body up to what is held is read whole; a longer one goes on as it comes.
func (f *Front) read(w http.ResponseWriter, r *http.Request, c *client) (*core.Req, *incoming, error) {
	for _, h := range [...]string{"X-Correlation-Id", "X-Service-Class", "X-Time-Left", "Idempotency-Key", "X-Repeat", "X-Account"} {
		if len(r.Header[h]) > 1 {
			return nil, nil, errors.New(h + ": given more than once") // which one would be meant?
		}
	}
	id, name, key := r.Header.Get("X-Correlation-Id"), r.Header.Get("X-Service-Class"), r.Header.Get("Idempotency-Key")
	if id == "" || !word(id) {
		return nil, nil, errors.New("X-Correlation-Id: missing, too long or not plain text")
	}
	if !word(key) {
		return nil, nil, errors.New("Idempotency-Key: too long or not plain text")
	}
	class, ok := f.classes[name]
	if !ok {
		return nil, nil, errors.New("X-Service-Class: unknown")
	}
	method := http.MethodPost
	if class.Effect == logic.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return nil, nil, &malformed{http.StatusMethodNotAllowed, "the class takes " + method}
	}
	if class.Effect == logic.Keyed && key == "" {
		return nil, nil, errors.New("Idempotency-Key: missing")
	}
	wait, err := timeLeft(r.Header.Get("X-Time-Left"))
	if err != nil {
		return nil, nil, err
	}
	req := &core.Req{ID: id, Class: name, Retry: r.Header.Get("X-Repeat") == "1", Wait: wait,
		Tenant: r.Header.Get("X-Account"), Hint: hint(r.Header.Get("X-Weight-Hint"))}
	in := &incoming{src: http.MaxBytesReader(w, r.Body, message.Longest), control: http.NewResponseController(w),
		began: time.Now(), within: f.opt.BodyWithin, broke: make(chan struct{}), budget: f.opt.Budget}
	in.read.L = &in.mu
	body, long, err := in.first(r.ContentLength)
	if err != nil {
		in.close()
		var large *http.MaxBytesError
		switch {
		case errors.Is(err, errNoRoom):
			return req, in, err
		case errors.As(err, &large):
			return nil, nil, &malformed{http.StatusRequestEntityTooLarge, "the body is over 32 MiB"}
		}
		return nil, nil, fmt.Errorf("body: %w", err)
	}
	req.Arrived = time.Now() // a req's time starts at its last byte
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI() // the absolute form, which backends are not sent
	}
	call := &message.Call{
		Method: r.Method, Target: target, Host: r.Host, ID: id, Key: key,
		ContentType: r.Header.Get("Content-Type"), Body: body, Length: int64(len(body)),
	}
	if s, ok := r.Context().Value(sessionKey{}).(*counted); ok && !long {
		call.Left = s.gone
	}
	if long {
		in.control.EnableFullDuplex()
		req.Open, call.Length = true, r.ContentLength
		call.Rest = message.NewStream(in, func() {
			c.take(f.opt.Figures)
			f.owner.Whole(id, c)
		})
	}
	req.Call = call
	return req, in, nil
}

// word tells whether a value may go on raw, in a head and in a log line.
func word(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return len(s) <= maxID
}

// timeLeft reads a number and its unit, m for milliseconds or u for
// microseconds. It is 0 where the client says nothing.
func timeLeft(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	unit := map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}[text[len(text)-1]]
	n, err := strconv.ParseUint(text[:len(text)-1], 10, 40)
	if err != nil || unit == 0 || n == 0 || n > uint64(24*time.Hour/unit) {
		return 0, errors.New("X-Time-Left: not a time above 0 in m or u")
	}
	return time.Duration(n) * unit, nil
}

// hint reads a guess at a req's work, in microseconds. What is no time above 0 counts as
// not told: nobody is turned away for a guess.
func hint(text string) time.Duration {
	us, err := strconv.ParseFloat(text, 64)
	if err != nil || !(us > 0 && us <= float64(time.Hour/time.Microsecond)) {
		return 0
	}
	return time.Duration(us * float64(time.Microsecond))
}
