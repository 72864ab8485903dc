package ingress

import (
	"net"
	"net/http"
	"time"
)

const (
	// headerTimeoutMarker and idleTimeoutMarker are the timeouts that net/http is configured with.
	// net/http reads its timeouts without a lock, so they cannot change while it serves. A deadline
	// set from a marker is replaced by the timeout that applies at that moment.
	headerTimeoutMarker = 10 * 365 * 24 * time.Hour
	idleTimeoutMarker   = 20 * 365 * 24 * time.Hour
)

// SetTimeouts changes how long a client may take for a head, and how long a session may be idle
// between requests; 0 means no limit. A head that is arriving and a session that is idle keep the
// timeouts that they began with.
func (s *Server) SetTimeouts(header, idle time.Duration) {
	s.headerTimeout.Store(int64(header))
	s.idleTimeout.Store(int64(idle))
}

// SetMaxHeaderBytes changes the longest head that reaches the handler. It must be below the
// MaxHeaderBytes of the options; 0 leaves only that limit.
func (s *Server) SetMaxHeaderBytes(limit int) { s.maxHeaderBytes.Store(int64(limit)) }

// resolveDeadline returns the deadline that applies for one that net/http sets.
func (s *Server) resolveDeadline(t time.Time) time.Time {
	now := time.Now()
	timeout := int64(0)
	switch ahead := t.Sub(now); {
	case t.IsZero() || ahead < headerTimeoutMarker/2:
		return t
	case ahead < (headerTimeoutMarker+idleTimeoutMarker)/2:
		timeout = s.headerTimeout.Load()
	default:
		timeout = s.idleTimeout.Load()
	}
	if timeout <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(timeout))
}

// headSize returns the length of a request's head in bytes, as clients commonly write it.
func headSize(r *http.Request) int64 {
	n := len(r.Method) + len(" ") + len(r.RequestURI) + len(" ") + len(r.Proto) + len("\r\n")
	n += len("Host: ") + len(r.Host) + len("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(": ") + len(v) + len("\r\n")
		}
	}
	return int64(n + len("\r\n"))
}

// SetMaxSessions changes the limit of client sessions, and the overflow: how many more connections
// are accepted while others are shed. It sheds sessions that exceed the limit.
func (s *Server) SetMaxSessions(sessions, overflow int) {
	s.overflow.Store(int64(overflow))
	s.maxSessions.Store(int64(sessions))
	for excess := s.sessions.Load() - int64(sessions); excess > 0; excess-- {
		s.shedSession()
	}
}

// trackState records which sessions have no open request. net/http calls it.
func (s *Server) trackState(nc net.Conn, state http.ConnState) {
	c := nc.(*Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.active.Store(state == http.StateActive)
	switch state {
	case http.StateNew:
		s.count.Add("session.opened")
		s.idleSessions[c] = idleSession{time.Now(), true}
	case http.StateIdle:
		s.idleSessions[c] = idleSession{time.Now(), false}
	default:
		delete(s.idleSessions, c)
	}
}

// shedSession closes one client session without a request, so that hundreds of silent clients do
// not keep out clients that send requests. It takes the oldest session that never had a request, or
// otherwise the one that was idle longest. A session on which a request is arriving stays.
func (s *Server) shedSession() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var chosen *Conn
	var chosenSession idleSession
	now := time.Now()
	for c, session := range s.idleSessions {
		age, minAge := now.Sub(session.since), minIdleAge
		if session.unused {
			minAge = minUnusedAge
		}
		preferred := chosen == nil || session.unused && !chosenSession.unused ||
			session.unused == chosenSession.unused && session.since.Before(chosenSession.since)
		if age >= minAge && preferred && c.idle() {
			chosen, chosenSession = c, session
		}
	}
	if chosen != nil && chosen.closeIfIdle() {
		s.count.Add("session.shed")
		delete(s.idleSessions, chosen)
	}
}

// linger frees the slot of a session that closes, and reports whether it may linger. Open and
// lingering sessions together stay within the limit plus half of the overflow.
func (s *Server) linger() bool {
	if s.sessions.Load()+s.lingering.Add(1) > s.maxSessions.Load()+s.overflow.Load()/2 {
		s.lingering.Add(-1)
		return false
	}
	s.sessions.Add(-1)
	return true
}
