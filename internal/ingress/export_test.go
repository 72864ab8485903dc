package ingress

import "time"

// The functions below give the external tests of this package access to its internals.

// SetLingerTime changes how long data is read from closed sessions.
func (s *Server) SetLingerTime(d time.Duration) { s.lingerTime = d }

// SetRespondNowMargin changes how long before the timeout of Shutdown RespondNow is closed.
func (s *Server) SetRespondNowMargin(d time.Duration) { s.opt.RespondNowMargin = d }

// Sessions returns the number of client sessions that count towards the limit.
func (s *Server) Sessions() int64 { return s.sessions.Load() }

// Lingering returns the number of closed sessions from which data is still read.
func (s *Server) Lingering() int64 { return s.lingering.Load() }

// Closed returns a channel that is closed when no more sessions are accepted.
func (s *Server) Closed() chan struct{} { return s.closed }

// ListenerClosing reports whether the listener closes once its accept queue is empty.
func (s *Server) ListenerClosing() bool { return s.listenerClosing.Load() }

// EachIdle calls visit for each session without an open request. None changes meanwhile.
func (s *Server) EachIdle(visit func(*Conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.idleSessions {
		visit(c)
	}
}

// CloseIfIdle closes the session if it is between requests.
func (c *Conn) CloseIfIdle() bool { return c.closeIfIdle() }

// Idle reports whether the session is between requests.
func (c *Conn) Idle() bool { return c.idle() }
