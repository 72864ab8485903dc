// Package session is the front for clients: HTTP/1.1, served by net/http.
package session

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pipitmux/internal/backend"
	"pipitmux/internal/core"
	"pipitmux/internal/counters"
	"pipitmux/logic"
)

const (
	maxID        = 256
	headerWithin = 10 * time.Second
	bodyWithin   = 5 * time.Second
	idleFor      = 90 * time.Second
	// stayOpen is how long new connections are still taken once the node is told to end:
	// the front goes on dealing them out for a while, and what is turned away is lost.
	stayOpen = 500 * time.Millisecond
	// leaveIdle is how long idle client sessions stay open after that, so that a req on
	// its way over one of them is not met by a close.
	leaveIdle = 100 * time.Millisecond
	// overflow is how many connections beyond the limit are taken for a synthetic answer.
	overflow = 32
)

// Owner is the core as the front sees it.
type Owner interface {
	Submit(core.Req) error
	Gone(id string, of core.Session)
	Ready() bool
}

// Options are the limits of a Front.
type Options struct {
	Classes     []logic.Class
	RetryAfter  time.Duration // told with a refusal of the front's own, 0: not at all
	MaxSessions int
}

// Front serves clients.
type Front struct {
	opt      Options
	owner    Owner
	count    *counters.Set
	classes  map[string]logic.Class
	server   *http.Server
	listener *limited
	sessions atomic.Int64
	ending   atomic.Bool

	mu     sync.Mutex
	unused map[net.Conn]struct{} // client sessions without a first req yet
}

// New returns a Front that has yet to serve on l.
func New(opt Options, l net.Listener, owner Owner, count *counters.Set) *Front {
	f := &Front{opt: opt, owner: owner, count: count, classes: map[string]logic.Class{},
		unused: map[net.Conn]struct{}{}}
	f.listener = &limited{Listener: l, front: f, slots: make(chan struct{}, opt.MaxSessions+overflow)}
	longest := time.Duration(0)
	for _, c := range opt.Classes {
		f.classes[c.Name] = c
		longest = max(longest, c.Deadline)
	}
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headerWithin, // no ReadTimeout: it would cut a req that waits for its answer
		WriteTimeout:      headerWithin + bodyWithin + 2*longest,
		IdleTimeout:       idleFor,
		MaxHeaderBytes:    16 << 10,
		ConnState:         f.track,
	}
	return f
}

func (f *Front) track(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s == http.StateNew {
		f.count.Add("session.opened")
		f.unused[c] = struct{}{}
		return
	}
	delete(f.unused, c)
}

// closeUnused ends the client sessions that have brought no req. Shutdown would
// leave them open for seconds: a req that came then might find the end of the
// node before its answer, where one that meets a close is sent again.
func (f *Front) closeUnused() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.unused {
		c.Close()
	}
}

// Serve takes client sessions until End. It returns nil then.
func (f *Front) Serve() error {
	if err := f.server.Serve(f.listener); !errors.Is(err, http.ErrServerClosed) && !f.ending.Load() {
		return err
	}
	return nil
}

// End takes no more client sessions after a while, and returns when every req
// that was taken has its answer, or with an error at the end of ctx.
func (f *Front) End(ctx context.Context) error {
	f.ending.Store(true) // answers end their client sessions from now on
	time.Sleep(stayOpen)
	f.listener.Close()
	time.Sleep(leaveIdle)
	f.closeUnused()
	return f.server.Shutdown(ctx)
}

// ServeHTTP answers one HTTP request. A panic ends this client session only.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.ending.Load() || f.sessions.Load() > int64(f.opt.MaxSessions)*3/4 {
		w.Header().Set("Connection", "close")
	}
	switch path := r.URL.Path; {
	case path == "/ready":
		if f.ending.Load() || !f.owner.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
	case path == "/api" || strings.HasPrefix(path, "/api/"):
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

func (f *Front) api(w http.ResponseWriter, r *http.Request) {
	req, err := f.read(w, r)
	if err != nil {
		f.count.Add("req.malformed")
		status := http.StatusBadRequest
		var m *malformed
		if errors.As(err, &m) {
			status = m.status
		}
		http.Error(w, err.Error(), status)
		return
	}
	if f.sessions.Load() > int64(f.opt.MaxSessions) {
		f.count.Add("answer.session-limit")
		f.refuse(w, f.opt.RetryAfter)
		return
	}
	c := make(client, 1)
	req.Session = c
	if err := f.owner.Submit(*req); err != nil {
		f.count.Add("answer.queue-limit")
		f.refuse(w, f.opt.RetryAfter)
		return
	}
	select {
	case a := <-c:
		f.answer(w, a)
	case <-r.Context().Done():
		// The body has been read, so net/http watches the connection: the client has left.
		f.owner.Gone(req.ID, c)
	}
}

// client is one client session's wait for its answer.
type client chan core.Answer

// Answer never blocks: there is one answer, and room for it.
func (c client) Answer(a core.Answer) { c <- a }

func (f *Front) answer(w http.ResponseWriter, a core.Answer) {
	switch a.Kind {
	case core.Served:
		reply := a.Reply.(*backend.Reply)
		if reply.ContentType == "" {
			w.Header()["Content-Type"] = nil // nothing is guessed about a backend's bytes
		} else {
			w.Header().Set("Content-Type", reply.ContentType)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(reply.Body)))
		w.Write(reply.Body)
	case core.Refused:
		f.refuse(w, a.RetryAfter)
	case core.Duplicate:
		http.Error(w, "the id is in use", http.StatusConflict)
	default:
		http.Error(w, "no backend answered", http.StatusBadGateway)
	}
}

// refuse gives a synthetic answer: trying again is harmless.
func (f *Front) refuse(w http.ResponseWriter, after time.Duration) {
	if after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
	http.Error(w, "refused", http.StatusServiceUnavailable)
}

// read takes a req whole and takes out what the decisions need. All else stays
// the bytes that came.
func (f *Front) read(w http.ResponseWriter, r *http.Request) (*core.Req, error) {
	arrived := time.Now()
	id, name, key := r.Header.Get("X-Correlation-Id"), r.Header.Get("X-Service-Class"), r.Header.Get("Idempotency-Key")
	if id == "" || len(id) > maxID {
		return nil, errors.New("X-Correlation-Id: missing or too long")
	}
	class, ok := f.classes[name]
	if !ok {
		return nil, errors.New("X-Service-Class: unknown")
	}
	method := http.MethodPost
	if class.Effect == logic.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return nil, &malformed{http.StatusMethodNotAllowed, "the class takes " + method}
	}
	if class.Effect == logic.Keyed && key == "" {
		return nil, errors.New("Idempotency-Key: missing")
	}
	wait, err := timeLeft(r.Header.Get("X-Time-Left"))
	if err != nil {
		return nil, err
	}
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(bodyWithin))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, backend.MaxBody))
	control.SetReadDeadline(time.Time{})
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, &malformed{http.StatusRequestEntityTooLarge, "the body is over 64 KiB"}
		}
		return nil, fmt.Errorf("body: %w", err)
	}
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI() // the absolute form, which backends are not sent
	}
	return &core.Req{
		ID: id, Class: name, Retry: r.Header.Get("X-Repeat") == "1", Arrived: arrived, Wait: wait,
		Call: &backend.Call{
			Method: r.Method, Target: target, Host: r.Host, ID: id, Key: key,
			ContentType: r.Header.Get("Content-Type"), Body: body,
		},
	}, nil
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

// limited holds the connections of clients to a limit. Those over MaxSessions
// are taken for a synthetic answer; beyond the overflow they wait unaccepted.
type limited struct {
	net.Listener
	front *Front
	slots chan struct{}
}

func (l *limited) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	l.front.sessions.Add(1)
	return &counted{Conn: c, l: l}, nil
}

type counted struct {
	net.Conn
	l      *limited
	closed atomic.Bool
}

func (c *counted) Close() error {
	err := c.Conn.Close()
	if !c.closed.Swap(true) {
		c.l.front.sessions.Add(-1)
		<-c.l.slots
	}
	return err
}
