// Package console answers operators' commands at the node's second address: one line per
// connection, and a response that begins with OK or ERR. It must not know how a node serves.
// Its Node must answer without delay.
package console

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"oakseam/internal/logging"
)

const (
	// MaxConnections is the number of connections for which descriptors are reserved. Beyond
	// it the connection that has been idle longest is closed.
	MaxConnections = 16
	maxCommand     = 256
	// commandTimeout closes a connection that does not send a whole command.
	commandTimeout = 3 * time.Second
	// responseTimeout closes one that does not read; lingerTimeout one that stays open afterwards.
	responseTimeout = time.Second
	lingerTimeout   = 200 * time.Millisecond
)

// Node executes the commands. Its methods must not wait for the node's work.
type Node interface {
	// Ready returns nil if the process is ready to serve, and otherwise the reason.
	Ready() error
	Drain() error
	Resume() error
	// WriteMetrics writes one line per metric.
	WriteMetrics(io.Writer)
}

// Server answers commands.
type Server struct {
	node     Node
	listener net.Listener
	log      *slog.Logger

	mu          sync.Mutex
	idle        []net.Conn // connections without a whole command so far, the oldest first
	connections int
}

// New returns a Server for a listener.
func New(listener net.Listener, n Node, log *slog.Logger) *Server {
	return &Server{node: n, listener: listener, log: log}
}

// Serve answers until the listener is closed.
func (s *Server) Serve() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // no descriptor, or the peer has closed already
			continue
		}
		s.track(c)
		go s.serve(c)
	}
}

// Close closes the listener. Responses in progress are completed.
func (s *Server) Close() { s.listener.Close() }

// track adds a new connection and, over the limit, closes the one that has been idle longest.
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

// removeIdle removes a connection from the idle ones.
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

// serve reads one command, answers it and closes the connection.
func (s *Server) serve(c net.Conn) {
	defer func() {
		if v := recover(); v != nil { // a panic closes only this connection
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
	// Closing with unread bytes would reset the connection and lose the response.
	if t, ok := c.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, c, 16*maxCommand)
}

var errTooLong = errors.New("too long")

// readCommand reads one line. The end of input also ends the line.
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

// respond executes a command and writes the response.
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
		s.node.WriteMetrics(out)
		out.WriteString("END\n")
	case "drain":
		reply(s.node.Drain(), "draining")
	case "resume":
		reply(s.node.Resume(), "serving")
	default:
		reply(errors.New("unknown call; there are ready, show-stat, drain, resume"), "")
	}
}
