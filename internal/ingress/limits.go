package ingress

import (
	"net"
	"net/http"
	"time"
)

const (
	// headMark and idleMark are the times that net/http is told. It reads them without a lock;
	// a deadline by one of them stands for the time of now.
	headMark = 10 * 365 * 24 * time.Hour
	idleMark = 20 * 365 * 24 * time.Hour
)

// SetTimeouts changes how long a client may take for a head, and how long a session may stay open
// between requests; 0 is no bound. A head that is coming and a session that is idle keep the
// times that they began with.
func (s *Server) SetTimeouts(head, idle time.Duration) {
	s.head.Store(int64(head))
	s.idle.Store(int64(idle))
}

// SetMaxHeaderBytes changes the longest head that reaches the handler, below the
// MaxHeaderBytes of the options; 0 leaves it to these.
func (s *Server) SetMaxHeaderBytes(most int) { s.headBytes.Store(int64(most)) }

// unmark returns the deadline that holds for one which net/http sets.
func (s *Server) unmark(t time.Time) time.Time {
	now := time.Now()
	within := int64(0)
	switch ahead := t.Sub(now); {
	case t.IsZero() || ahead < headMark/2:
		return t
	case ahead < (headMark+idleMark)/2:
		within = s.head.Load()
	default:
		within = s.idle.Load()
	}
	if within <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(within))
}

// headSize is the length of a request's head in bytes, as clients commonly write it.
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

// SetMaxSessions changes how many client sessions are allowed, and how many beyond while others are
// shed. Idle sessions over it end.
func (s *Server) SetMaxSessions(sessions, overflow int) {
	s.overflow.Store(int64(overflow))
	s.most.Store(int64(sessions))
	for over := s.sessions.Load() - int64(sessions); over > 0; over-- {
		s.shed()
	}
}

// track notes which sessions wait between requests.
func (s *Server) track(nc net.Conn, state http.ConnState) {
	c := nc.(*Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.active.Store(state == http.StateActive)
	switch state {
	case http.StateNew:
		s.count.Add("session.opened")
		s.spare[c] = waiting{time.Now(), true}
	case http.StateIdle:
		s.spare[c] = waiting{time.Now(), false}
	default:
		delete(s.spare, c)
	}
}

// shed ends a client session without a request, so that silent clients by the
// hundred don't keep out those that ask: the longest silent of those that never
// asked, or else the longest idle. One on which a request is coming in stays.
func (s *Server) shed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first *Conn
	var of waiting
	now := time.Now()
	for c, w := range s.spare {
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
		s.count.Add("session.shed")
		delete(s.spare, first)
	}
}

// linger gives the place of a session that ends free, and tells whether there is room to
// read it out. All that are open stay within the limit and its overflow.
func (s *Server) linger() bool {
	if s.sessions.Load()+s.lingering.Add(1) > s.most.Load()+s.overflow.Load()/2 {
		s.lingering.Add(-1)
		return false
	}
	s.sessions.Add(-1)
	return true
}
