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
	// MaxConnections is how many may be connected at once; the descriptors are kept spare.
	// Beyond, the one that has been silent longest goes.
	MaxConnections = 16
	maxCommand     = 256
	// callWithin ends a caller that brings no whole call.
	commandTimeout = 3 * time.Second
	// answerWithin ends one that does not read, and leaveWithin one that stays after.
	responseTimeout = time.Second
	lingerTimeout   = 200 * time.Millisecond
)

// Node is what is asked and told. Its methods must not wait for the node's work.
type Node interface {
	// Ready returns nil where the process is ready to serve, or why it is not.
	Ready() error
	Drain() error
	Resume() error
	// WriteFigures writes a line a figure.
	WriteFigures(io.Writer)
}

// Server answers calls.
type Server struct {
	node     Node
	listener net.Listener
	log      *slog.Logger

	mu          sync.Mutex
	idle        []net.Conn // callers that have brought no whole call, the longest first
	connections int
}

// New returns a Server that has yet to serve on l.
func New(listener net.Listener, n Node, log *slog.Logger) *Server {
	return &Server{node: n, listener: listener, log: log}
}

// Serve answers until the listener ends.
func (s *Server) Serve() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // no descriptor, or a caller that has gone already
			continue
		}
		s.track(c)
		go s.serve(c)
	}
}

// Close ends the listener. Answers under way go out.
func (s *Server) Close() { s.listener.Close() }

func (s *Server) track(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections++
	s.idle = append(s.idle, c)
	if s.connections > MaxConnections && len(s.idle) > 1 {
		s.idle[0].Close()
		s.idle = s.idle[1:]
	}
}

// spoke takes a caller out of the silent ones.
func (s *Server) removeIdle(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range s.idle {
		if o == c {
			s.idle = append(s.idle[:i:i], s.idle[i+1:]...)
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
		s.removeIdle(c)
		s.mu.Lock()
		s.connections--
		s.mu.Unlock()
	}()
	c.SetReadDeadline(time.Now().Add(commandTimeout))
	command, err := readCommand(c)
	s.removeIdle(c)
	var out bytes.Buffer
	switch {
	case errors.Is(err, errTooLong):
		out.WriteString("ERR the call is too long\n")
	case err != nil:
		return
	default:
		s.respond(&out, command)
	}
	c.SetWriteDeadline(time.Now().Add(responseTimeout))
	if _, err := c.Write(out.Bytes()); err != nil {
		return
	}
	// Closed with bytes unread, the connection would be reset, and the answer lost.
	if t, ok := c.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, c, 16*maxCommand)
}

var errTooLong = errors.New("too long")

// readCall reads a line. The end of sending ends it as well.
func readCommand(c io.Reader) (string, error) {
	buf := make([]byte, 0, maxCommand)
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
			return "", errTooLong
		}
	}
}

func (s *Server) respond(out *bytes.Buffer, command string) {
	reply := func(err error, done string) {
		if err != nil {
			out.WriteString("ERR " + err.Error() + "\n")
			return
		}
		out.WriteString("OK " + done + "\n")
	}
	switch command {
	case "ready":
		reply(s.node.Ready(), "ready")
	case "show-stat":
		out.WriteString("OK\n")
		s.node.WriteFigures(out)
		out.WriteString("END\n")
	case "drain":
		reply(s.node.Drain(), "draining")
	case "resume":
		reply(s.node.Resume(), "serving")
	default:
		reply(errors.New("unknown call; there are ready, show-stat, drain, resume"), "")
	}
}
