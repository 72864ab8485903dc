package ingress

import "time"

// What follows lets tests of the package from outside see into it.

// SetLingerFor changes how long sessions that have ended are read out.
func (s *Server) SetLingerFor(d time.Duration) { s.lingerFor = d }

// SetRespondNowMargin changes how long before End's time Over is closed.
func (s *Server) SetRespondNowMargin(d time.Duration) { s.opt.RespondNowMargin = d }

// Sessions is how many client sessions count towards the limit.
func (s *Server) Sessions() int64 { return s.sessions.Load() }

// Lingering is how many ended sessions are read out.
func (s *Server) Lingering() int64 { return s.lingering.Load() }

// Closed is closed when no more sessions are taken.
func (s *Server) Closed() chan struct{} { return s.closed }

// ListenerClosing tells whether the listener closes once nobody waits at it.
func (s *Server) ListenerClosing() bool { return s.last.Load() }

// EachIdle hands each session without an open request to see, while nothing changes them.
func (s *Server) EachIdle(see func(*Conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.spare {
		see(c)
	}
}

// CloseIfIdle closes the session if it stands between requests.
func (c *Conn) CloseIfIdle() bool { return c.end() }

// Idle tells whether the session stands between requests.
func (c *Conn) Idle() bool { return c.between() }
