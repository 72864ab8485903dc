// Package ingress serves clients' connections: HTTP/1.1 on net/http. It holds them to a limit,
// turns down requests whose end is in doubt, holds bodies to a client's pace, and ends sessions
// without losing what has come on them. It must not know what a request says.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pipitmux/internal/counters"
	"pipitmux/internal/lifecycle"
)

// Options are the handlers and limits of a Server.
type Options struct {
	// Handler answers a request that came with a whole head whose framing is not in doubt.
	// While it runs, the request's context ends when its client closes the connection; with a
	// body, from when that has been read whole. An answer that breaks must panic with
	// http.ErrAbortHandler: else it looks complete.
	Handler func(w http.ResponseWriter, r *http.Request, c *Conn)
	// RejectAmbiguous answers a request whose end is in doubt. Its session ends: what stands behind
	// it can't be trusted to be a request.
	RejectAmbiguous func(w http.ResponseWriter)

	MaxSessions int // client sessions; beyond, those without a request are shed
	Overflow    int // connections beyond that are taken while others are shed

	HeaderTimeout time.Duration // how long a client may take for a head, 0: no bound
	BodyTimeout   time.Duration // and then for a body, unless a Body holds it to its pace
	IdleTimeout   time.Duration // how long a session may stay open between requests, 0: no bound
	WriteTimeout  time.Duration // how long a client may take nothing of its answer
	// ResponseTimeout is the longest time from a head to the first byte of its answer. With 0
	// there is no bound: WriteWithin counts from each write, and an answer ends its session
	// by the moment at which it is given, not only by that at which its request came.
	ResponseTimeout time.Duration
	// RespondNowMargin is how long before the end of End's time Over is closed.
	RespondNowMargin time.Duration
	// MaxHeaderBytes is the longest head that net/http reads, 0: its default.
	MaxHeaderBytes int

	Lifecycle lifecycle.Timing
}

// Server serves clients.
type Server struct {
	opt       Options
	count     *counters.Set
	server    *http.Server
	listener  *limited
	sessions  atomic.Int64
	most      atomic.Int64  // client sessions that are allowed now,
	overflow  atomic.Int64  // and so many more while others are shed
	lingering atomic.Int64  // ended sessions that are read out
	lingerFor time.Duration // for so long
	head      atomic.Int64  // HeadWithin of now, in nanoseconds
	idle      atomic.Int64  // IdleFor of now, in nanoseconds
	headBytes atomic.Int64  // the longest head of now, 0: MaxHeaderBytes alone holds
	leaving   atomic.Bool   // the life cycle says which answers end their client sessions
	last      atomic.Bool   // the listener closes once nobody waits at it
	heir      atomic.Bool   // a successor serves at the same address
	closed    chan struct{} // closed when no more sessions are taken
	over      chan struct{} // closed when every open request gets its answer at once

	mu    sync.Mutex
	life  *lifecycle.Node
	gone  bool              // a goroutine ends idle sessions
	spare map[*Conn]waiting // client sessions without an open request
}

// waiting is a client session between requests.
type waiting struct {
	since time.Time
	fresh bool // it has not brought a first request yet
}

// New returns a Server that has yet to serve on l.
func New(opt Options, l net.Listener, count *counters.Set) *Server {
	s := &Server{opt: opt, count: count, life: lifecycle.New(opt.Lifecycle), spare: map[*Conn]waiting{},
		lingerFor: lingerFor, closed: make(chan struct{}), over: make(chan struct{})}
	s.listener = &limited{Listener: l, server: s}
	s.SetMaxSessions(opt.MaxSessions, opt.Overflow)
	s.SetTimeouts(opt.HeaderTimeout, opt.IdleTimeout)
	s.server = &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: headMark, // no ReadTimeout: it would cut a request that waits for its answer
		IdleTimeout:       idleMark,
		MaxHeaderBytes:    opt.MaxHeaderBytes,
		ConnState:         s.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		// Every head that is read reaches the handler, which numbers them.
		DisableGeneralOptionsHandler: true,
	}
	if opt.ResponseTimeout > 0 {
		s.server.WriteTimeout = opt.WriteTimeout + opt.ResponseTimeout
	}
	return s
}

// connKey finds a request's connection in its context.
type connKey struct{}

// Serve takes client sessions until End. It returns nil then.
func (s *Server) Serve() error {
	defer close(s.closed)
	s.move(func(now time.Time) error { s.life.Begin(now); return nil })
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !s.leaving.Load() {
		return err
	}
	return nil
}

// Close ends all client sessions at once, whatever is open on them.
func (s *Server) Close() error { return s.server.Close() }

// serve hands one HTTP request to the handler. A panic ends this client session only.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	// Some clients ask once and keep the session for good. Clients hold only so many in all,
	// so where half the places are taken an answer ends its session: else those that ask
	// find every place held by one that does not.
	if s.closes() || s.sessions.Load() > s.most.Load()/2 {
		w.Header().Set("Connection", "close")
	}
	// A body that does not come must not hold its session: neither in the handler nor where
	// net/http reads over what that left.
	if r.ContentLength != 0 {
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.opt.BodyTimeout))
	}
	c := r.Context().Value(connKey{}).(*Conn)
	if c.doubtful() {
		w.Header().Set("Connection", "close")
		s.opt.RejectAmbiguous(w)
		return
	}
	if most := s.headBytes.Load(); most > 0 && headSize(r) > most {
		w.Header().Set("Connection", "close")
		http.Error(w, http.StatusText(http.StatusRequestHeaderFieldsTooLarge), http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	if s.opt.ResponseTimeout > 0 {
		s.opt.Handler(w, r, c)
		return
	}
	a := &answer{ResponseWriter: w, server: s}
	s.opt.Handler(a, r, c)
	a.begin()
}
