// Package ingress serves HTTP/1.1 connections of clients on top of net/http. It limits their number,
// rejects requests with ambiguous framing, enforces a minimum pace for request bodies, and closes
// sessions without losing requests that have arrived. It must not depend on the meaning of requests.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"oakseam/internal/counters"
	"oakseam/internal/lifecycle"
)

// Options configures a Server.
type Options struct {
	// Handler answers a request with a complete head and unambiguous framing. While it runs, the
	// request's context ends when the client closes the connection; with a body, this applies once
	// the body has been read completely. If a response breaks off, Handler must panic with
	// http.ErrAbortHandler, since the response would otherwise look complete.
	Handler func(w http.ResponseWriter, r *http.Request, c *Conn)
	// RejectAmbiguous answers a request with ambiguous framing. Its session is closed, because the
	// bytes that follow may not be a request.
	RejectAmbiguous func(w http.ResponseWriter)

	MaxSessions int // limit of client sessions; beyond it, sessions without a request are shed
	Overflow    int // connections beyond the limit that are accepted while others are shed

	HeaderTimeout time.Duration // how long a client may take for a head, 0: no limit
	BodyTimeout   time.Duration // and then for a body, unless a Body sets its own deadlines
	IdleTimeout   time.Duration // how long a session may be idle between requests, 0: no limit
	WriteTimeout  time.Duration // how long a client may accept nothing of its response
	// ResponseTimeout is the longest time from a head to the first byte of its response. 0 means no
	// limit: WriteTimeout then counts from each write, and whether a response closes its session
	// depends also on the time of the response, and not only on that of the request.
	ResponseTimeout time.Duration
	// RespondNowMargin is how long before the timeout of Shutdown RespondNow is closed.
	RespondNowMargin time.Duration
	// MaxHeaderBytes is the longest head that net/http reads, in bytes; 0: its default.
	MaxHeaderBytes int

	Lifecycle lifecycle.Timing
}

// Server serves client connections.
type Server struct {
	opt             Options
	count           *counters.Set
	server          *http.Server
	listener        *limitedListener
	sessions        atomic.Int64
	maxSessions     atomic.Int64  // present limit of client sessions
	overflow        atomic.Int64  // connections beyond the limit that are accepted while others are shed
	lingering       atomic.Int64  // closed sessions from which data is still read
	heldBytes       atomic.Int64  // bytes behind open requests that are held in memory
	lingerTime      time.Duration // how long data is read from a closed session
	headerTimeout   atomic.Int64  // present HeaderTimeout, in nanoseconds
	idleTimeout     atomic.Int64  // present IdleTimeout, in nanoseconds
	maxHeaderBytes  atomic.Int64  // present limit of a head, 0: only MaxHeaderBytes of the options
	leaving         atomic.Bool   // the server sends its clients away, at the times that the lifecycle sets
	listenerClosing atomic.Bool   // the listener closes once its accept queue is empty
	hasSuccessor    atomic.Bool   // a successor process serves at the same address
	closed          chan struct{} // closed when no more sessions are accepted
	respondNow      chan struct{} // closed when every open request must be answered at once

	mu           sync.Mutex
	lifecycle    *lifecycle.StateMachine
	closingIdle  bool                  // the goroutine that closes idle sessions runs
	idleSessions map[*Conn]idleSession // client sessions without an open request
}

// idleSession is a client session between requests.
type idleSession struct {
	since  time.Time
	unused bool // it has not had a request yet
}

// New returns a Server that serves on l once Serve is called.
func New(opt Options, l net.Listener, count *counters.Set) *Server {
	s := &Server{opt: opt, count: count, lifecycle: lifecycle.New(opt.Lifecycle), idleSessions: map[*Conn]idleSession{},
		lingerTime: lingerTime, closed: make(chan struct{}), respondNow: make(chan struct{})}
	s.listener = &limitedListener{Listener: l, server: s}
	s.SetMaxSessions(opt.MaxSessions, opt.Overflow)
	s.SetTimeouts(opt.HeaderTimeout, opt.IdleTimeout)
	s.server = &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: headerTimeoutMarker, // no ReadTimeout: it would abort a request that waits for its response
		IdleTimeout:       idleTimeoutMarker,
		MaxHeaderBytes:    opt.MaxHeaderBytes,
		ConnState:         s.trackState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		// Every head must reach the handler, because the framing check counts them.
		DisableGeneralOptionsHandler: true,
	}
	if opt.ResponseTimeout > 0 {
		s.server.WriteTimeout = opt.WriteTimeout + opt.ResponseTimeout
	}
	return s
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Serve accepts client sessions until Shutdown, and then returns nil.
func (s *Server) Serve() error {
	defer close(s.closed)
	s.changeLifecycle(func(now time.Time) error { s.lifecycle.StartServing(now); return nil })
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !s.leaving.Load() {
		return err
	}
	return nil
}

// Close closes all client sessions at once, also those with open requests.
func (s *Server) Close() error { return s.server.Close() }

// serve passes one HTTP request to the handler. A panic ends only this client session.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	// Some clients send one request and keep the session open forever. So once half of the slots
	// are in use, a response closes its session. Otherwise active clients could find every slot
	// held by an inactive one.
	if s.closesSessions() || s.sessions.Load() > s.maxSessions.Load()/2 {
		w.Header().Set("Connection", "close")
	}
	// A body that does not arrive must not block its session, neither in the handler nor while
	// net/http discards what the handler has not read.
	if r.ContentLength != 0 {
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.opt.BodyTimeout))
	}
	c := r.Context().Value(connKey{}).(*Conn)
	if c.ambiguous() {
		w.Header().Set("Connection", "close")
		s.opt.RejectAmbiguous(w)
		return
	}
	if limit := s.maxHeaderBytes.Load(); limit > 0 && headSize(r) > limit {
		w.Header().Set("Connection", "close")
		http.Error(w, http.StatusText(http.StatusRequestHeaderFieldsTooLarge), http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	if s.opt.ResponseTimeout > 0 {
		s.opt.Handler(w, r, c)
		return
	}
	response := &responseWriter{ResponseWriter: w, server: s}
	s.opt.Handler(response, r, c)
	response.beginResponse()
}
