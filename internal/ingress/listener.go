package ingress

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// settled and lingered are the least ages of an unused and of an idle session that is
	// shed for a new one. On a younger unused one the first request may be on its way. The
	// idle ones are what clients that ask come back to: shed sooner, a crowd of silent
	// connections drives those clients out, and each comes back as one connection more.
	settled  = 100 * time.Millisecond
	lingered = 500 * time.Millisecond
	// backlogFor is how long the listener's queue is empty before it closes: what waits in it
	// would be reset. New ones don't keep it open for longer than backlogMost.
	backlogFor  = 10 * time.Millisecond
	backlogMost = 50 * time.Millisecond
)

// limited holds the connections of clients to a limit. For each over MaxSessions
// one that waits without a request is shed; where there is none, those beyond the
// overflow wait unaccepted.
type limited struct {
	net.Listener
	server *Server
	until  time.Time // when the last one is taken, once the listener is to close
}

func (l *limited) Accept() (net.Conn, error) {
	// Silent sessions must not hold up all that come later.
	for l.server.sessions.Load()+l.server.lingering.Load() >= l.server.most.Load()+l.server.overflow.Load() {
		l.server.shed()
		time.Sleep(settled / 10)
		l.until = time.Time{} // who waited meanwhile is taken
	}
	if l.server.last.Load() {
		if l.until.IsZero() {
			l.until = time.Now().Add(backlogMost)
		}
		l.wake(l.until)
	}
	c, err := l.Listener.Accept()
	if err != nil {
		if l.server.last.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			l.Listener.Close()
			return nil, net.ErrClosed
		}
		return nil, err
	}
	if l.server.sessions.Add(1) > l.server.most.Load() {
		l.server.shed()
	}
	return newConn(c, l.server), nil
}

// close has the listener close once nobody waits at it: what has connected is taken first.
func (l *limited) close() {
	l.server.last.Store(true)
	l.wake(time.Now().Add(backlogFor))
}

// wake bounds how long Accept waits for one more, and by when it takes the last.
func (l *limited) wake(until time.Time) {
	at := time.Now().Add(backlogFor)
	if until.Before(at) {
		at = until
	}
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(at) != nil {
		l.Listener.Close()
	}
}
