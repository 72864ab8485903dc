package session

import (
	"errors"
	"net"
	"os"
	"time"
)

// limited holds the connections of clients to a limit. For each over MaxSessions
// one that waits without a req is shed; where there is none, those beyond the
// overflow wait unaccepted.
type limited struct {
	net.Listener
	front *Front
	until time.Time // when the last one is taken, once the listener is to close
}

func (l *limited) Accept() (net.Conn, error) {
	// Silent sessions must not hold up all that come later.
	for l.front.sessions.Load()+l.front.lingering.Load() >= l.front.most.Load()+l.front.overflow.Load() {
		l.front.shed()
		time.Sleep(settled / 10)
		l.until = time.Time{} // who waited meanwhile is taken
	}
	if l.front.last.Load() {
		if l.until.IsZero() {
			l.until = time.Now().Add(backlogMost)
		}
		l.wake(l.until)
	}
	c, err := l.Listener.Accept()
	if err != nil {
		if l.front.last.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			l.Listener.Close()
			return nil, net.ErrClosed
		}
		return nil, err
	}
	if l.front.sessions.Add(1) > l.front.most.Load() {
		l.front.shed()
	}
	return newCounted(c, l), nil
}

// close has the listener close once nobody waits at it: what has connected is taken first.
func (l *limited) close() {
	l.front.last.Store(true)
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
