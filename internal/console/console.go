// Package console answers the operators' calls at the node's second address: one line
// to a connection, and an answer that begins with OK or ERR. It must not know how a
// node serves; what it asks its Node must be there at once.
package console

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"pipitmux/internal/logging"
)

const (
	// Callers is how many may be connected at once; the descriptors are kept spare.
	// Beyond, the one that has been silent longest goes.
	Callers = 16
	maxCall = 256
	// callWithin ends a caller that brings no whole call.
	callWithin = 3 * time.Second
	// answerWithin ends one that does not read, and leaveWithin one that stays after.
	answerWithin = time.Second
	leaveWithin  = 200 * time.Millisecond
)

// Node is what is asked and told. Its methods must not wait for the node's work.
type Node interface {
	// Ready returns nil where the process is ready to serve, or why it is not.
	Ready() error
	Drain() error
	Resume() error
	// Figures writes a line a figure.
	Figures(io.Writer)
}

// Server answers calls.
type Server struct {
	node Node
	l    net.Listener
	log  *slog.Logger

	mu      sync.Mutex
	silent  []net.Conn // callers that have brought no whole call, the longest first
	callers int
}

// New returns a Server that has yet to serve on l.
func New(l net.Listener, n Node, log *slog.Logger) *Server {
	return &Server{node: n, l: l, log: log}
}

// Serve answers until the listener ends.
func (s *Server) Serve() {
	for {
		c, err := s.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // no descriptor, or a caller that has gone already
			continue
		}
		s.enter(c)
		go s.serve(c)
	}
}

// Close ends the listener. Answers under way go out.
func (s *Server) Close() { s.l.Close() }

func (s *Server) enter(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callers++
	s.silent = append(s.silent, c)
	if s.callers > Callers && len(s.silent) > 1 {
		s.silent[0].Close()
		s.silent = s.silent[1:]
	}
}

// spoke takes a caller out of the silent ones.
func (s *Server) spoke(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range s.silent {
		if o == c {
			s.silent = append(s.silent[:i:i], s.silent[i+1:]...)
			return
		}
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		if v := recover(); v != nil { // it ends this caller only
			s.log.Error("console: panic", logging.Cause, v)
		}
		c.Close()
		s.spoke(c)
		s.mu.Lock()
		s.callers--
		s.mu.Unlock()
	}()
	c.SetReadDeadline(time.Now().Add(callWithin))
	call, err := readCall(c)
	s.spoke(c)
	var out bytes.Buffer
	switch {
	case errors.Is(err, errLong):
		out.WriteString("ERR the call is too long\n")
	case err != nil:
		return
	default:
		s.answer(&out, call)
	}
	c.SetWriteDeadline(time.Now().Add(answerWithin))
	if _, err := c.Write(out.Bytes()); err != nil {
		return
	}
	// Closed with bytes unread, the connection would be reset, and the answer lost.
	if t, ok := c.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(leaveWithin))
	io.CopyN(io.Discard, c, 16*maxCall)
}

var errLong = errors.New("too long")

// readCall reads a line. The end of sending ends it as well.
func readCall(c io.Reader) (string, error) {
	buf := make([]byte, 0, maxCall)
	for {
		n, err := c.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if line, _, whole := bytes.Cut(buf, []byte{'\n'}); whole || err == io.EOF && len(buf) > 0 {
			return string(bytes.TrimSpace(line)), nil
		}
		if err != nil {
			return "", err
		}
		if len(buf) == cap(buf) {
			return "", errLong
		}
	}
}

func (s *Server) answer(out *bytes.Buffer, call string) {
	say := func(err error, done string) {
		if err != nil {
			out.WriteString("ERR " + err.Error() + "\n")
			return
		}
		out.WriteString("OK " + done + "\n")
	}
	switch call {
	case "ready":
		say(s.node.Ready(), "ready")
	case "show-stat":
		out.WriteString("OK\n")
		s.node.Figures(out)
		out.WriteString("END\n")
	case "drain":
		say(s.node.Drain(), "draining")
	case "resume":
		say(s.node.Resume(), "serving")
	default:
		say(errors.New("unknown call; there are ready, show-stat, drain, resume"), "")
	}
}
