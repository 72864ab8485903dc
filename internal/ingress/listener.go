package ingress

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// minUnusedAge and minIdleAge are the minimum ages at which an unused and an idle session may be
	// shed for a new one. The first request of a younger unused session may be on its way. Active
	// clients return to their idle sessions: if those were shed sooner, many silent
	// connections would push the active clients out, and each would return as one more connection.
	minUnusedAge = 100 * time.Millisecond
	minIdleAge   = 500 * time.Millisecond
	// backlogQuietTime is how long the accept queue must be empty before the listener closes, since
	// closing resets the connections in the queue. New connections keep it open for no longer than
	// maxBacklogTime.
	backlogQuietTime = 10 * time.Millisecond
	maxBacklogTime   = 50 * time.Millisecond
)

// limitedListener limits the connections of clients. For each connection beyond MaxSessions one
// session without a request is shed. If there is none, connections beyond the overflow stay in the
// accept queue.
type limitedListener struct {
	net.Listener
	server *Server
	until  time.Time // when the last connection is accepted, once the listener is to close
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	// Sessions without a request must not block all later connections.
	for l.server.sessions.Load()+l.server.lingering.Load() >= l.server.maxSessions.Load()+l.server.overflow.Load() {
		l.server.shedSession()
		time.Sleep(minUnusedAge / 10)
		l.until = time.Time{} // connections that waited meanwhile are accepted
	}
	if l.server.listenerClosing.Load() {
		if l.until.IsZero() {
			l.until = time.Now().Add(maxBacklogTime)
		}
		l.setAcceptDeadline(l.until)
	}
	c, err := l.Listener.Accept()
	if err != nil {
		if l.server.listenerClosing.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			l.Listener.Close()
			return nil, net.ErrClosed
		}
		return nil, err
	}
	if l.server.sessions.Add(1) > l.server.maxSessions.Load() {
		l.server.shedSession()
	}
	return newConn(c, l.server), nil
}

// close makes the listener close once its accept queue is empty, so that established connections
// are accepted first.
func (l *limitedListener) close() {
	l.server.listenerClosing.Store(true)
	l.setAcceptDeadline(time.Now().Add(backlogQuietTime))
}

// setAcceptDeadline limits how long Accept waits for one more connection: backlogQuietTime, and no
// longer than until.
func (l *limitedListener) setAcceptDeadline(until time.Time) {
	deadline := time.Now().Add(backlogQuietTime)
	if until.Before(deadline) {
		deadline = until
	}
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(deadline) != nil {
		l.Listener.Close()
	}
}
