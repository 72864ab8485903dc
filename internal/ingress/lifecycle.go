package ingress

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"oakseam/internal/lifecycle"
	"oakseam/internal/wait"
)

// lifecyclePollInterval is how often the server asks the lifecycle which idle sessions to close
// while it sends its clients away, and checks whether a shutdown is complete.
const lifecyclePollInterval = 20 * time.Millisecond

// Drain sends clients away: responses close their sessions, and idle sessions are closed, at the
// times that the lifecycle sets.
func (s *Server) Drain() error { return s.changeLifecycle(s.lifecycle.Drain) }

// Resume ends a drain: the server keeps clients again.
func (s *Server) Resume() error { return s.changeLifecycle(s.lifecycle.Resume) }

// SetHasSuccessor records whether a successor process serves at the same address, from the same
// accept queue.
func (s *Server) SetHasSuccessor(serving bool) { s.hasSuccessor.Store(serving) }

// HasSuccessor returns the value of the last SetHasSuccessor.
func (s *Server) HasSuccessor() bool { return s.hasSuccessor.Load() }

// Phase returns the phase of the server. The server is ready while it is lifecycle.Serving.
func (s *Server) Phase() lifecycle.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lifecycle.Phase()
}

// Leaving reports whether the server sends its clients away, for a drain or a shutdown.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// AcceptsRequests reports whether a request that arrives now is accepted.
func (s *Server) AcceptsRequests() bool {
	if !s.leaving.Load() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lifecycle.AcceptsRequest(time.Now())
}

// RespondNow returns a channel that is closed when each open request must be answered at once:
// RespondNowMargin before the timeout of Shutdown.
func (s *Server) RespondNow() <-chan struct{} { return s.respondNow }

// closesSessions reports whether a response that is given now closes its session.
func (s *Server) closesSessions() bool {
	if !s.leaving.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lifecycle.ClosesSession(time.Now())
}

// changeLifecycle applies a transition of the lifecycle, and starts to close idle sessions if the
// server then sends its clients away.
func (s *Server) changeLifecycle(transition func(time.Time) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := transition(time.Now()); err != nil {
		return err
	}
	s.leaving.Store(s.lifecycle.IsDraining())
	if s.lifecycle.IsDraining() && !s.closingIdle {
		s.closingIdle = true
		go s.closeIdleSessions()
	}
	return nil
}

// closeIdleSessions closes idle sessions, those that were idle longest first, until the server no
// longer sends its clients away.
func (s *Server) closeIdleSessions() {
	ticker := time.NewTicker(lifecyclePollInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		if !s.closeDueSessions(now) {
			return
		}
	}
}

// closeDueSessions closes the idle sessions that are due, and reports whether the server still sends
// its clients away.
func (s *Server) closeDueSessions(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lifecycle.IsDraining() {
		s.closingIdle = false
		return false
	}
	idle := slices.SortedFunc(maps.Keys(s.idleSessions), func(a, b *Conn) int {
		return s.idleSessions[a].since.Compare(s.idleSessions[b].since)
	})
	for n := s.lifecycle.IdleSessionsToClose(now, len(idle)); n > 0 && len(idle) > 0; idle = idle[1:] {
		// A session on which bytes have arrived gets a request, and its response closes it.
		if idle[0].closeIfIdle() {
			delete(s.idleSessions, idle[0])
			n--
		}
	}
	return true
}

// Shutdown stops accepting client sessions after a while, and returns when every accepted request
// has been answered and its session closed. After timeout it closes all sessions and returns an
// error. Handlers must answer open requests before that, when RespondNow is closed, because
// unanswered requests would be lost. The Shutdown of net/http is not used, because it closes
// sessions on which a request is being read.
func (s *Server) Shutdown(timeout time.Duration) error {
	s.changeLifecycle(func(now time.Time) error { s.lifecycle.Stop(now); return nil })
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	defer time.AfterFunc(timeout-s.opt.RespondNowMargin, func() { close(s.respondNow) }).Stop()
	if s.hasSuccessor.Load() {
		s.listener.Close() // the successor accepts new connections from the same queue
	} else {
		wait.For(ctx, s.opt.Lifecycle.ListenFor)
		s.listener.close()
	}
	ticker := time.NewTicker(lifecyclePollInterval)
	defer ticker.Stop()
	for closed := s.closed; ; {
		select {
		case <-closed:
			closed = nil
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Join(ctx.Err(), s.server.Close())
		}
		if closed == nil && s.sessions.Load()+s.lingering.Load() == 0 {
			return s.server.Close()
		}
	}
}
