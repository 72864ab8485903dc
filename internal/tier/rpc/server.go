package rpc

import (
	"maps"
	"net"
	netrpc "net/rpc"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Limits bound the resources that the peers of a Server can consume. Zero fields
// get the defaults given beside them.
type Limits struct {
	Connections        int           // 2048; further connections are closed at once
	CallsPerConnection int           // 256; the next call is read when one is answered
	MessageBytes       int           // 64 MiB; a larger message closes its connection
	TotalBytes         int           // 128 MiB of requests in progress on all connections
	IdleTimeout        time.Duration // 1 min; a connection without calls is closed after it
	WriteTimeout       time.Duration // 5 s; how long the peer may take to accept a response
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.Connections, 2048)
	setDefault(&l.CallsPerConnection, 256)
	setDefault(&l.MessageBytes, 64<<20)
	setDefault(&l.TotalBytes, 128<<20)
	setDefault(&l.IdleTimeout, time.Minute)
	setDefault(&l.WriteTimeout, 5*time.Second)
	return l
}

// setDefault sets a field that is zero.
func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// acceptPause is the pause after Accept fails because the process is out of file
// descriptors or memory.
const acceptPause = 20 * time.Millisecond

// Server serves net/rpc services. It is safe for concurrent use.
type Server struct {
	services *netrpc.Server
	limits   Limits
	bytes    byteBudget
	closing  chan struct{}

	mu        sync.Mutex
	closed    bool
	listeners map[net.Listener]struct{}
	sockets   map[net.Conn]struct{}
}

// NewServer returns a Server with the default Limits for services by name. The
// methods that net/rpc accepts are served as Name.Method.
func NewServer(services map[string]any) (*Server, error) {
	return NewLimitedServer(services, Limits{})
}

// NewLimitedServer is like NewServer, with the given Limits.
func NewLimitedServer(services map[string]any, limits Limits) (*Server, error) {
	server := &Server{
		services:  netrpc.NewServer(),
		limits:    limits.withDefaults(),
		closing:   make(chan struct{}),
		listeners: make(map[net.Listener]struct{}),
		sockets:   make(map[net.Conn]struct{}),
	}
	server.bytes.available = server.limits.TotalBytes
	for _, name := range slices.Sorted(maps.Keys(services)) {
		if services[name] == nil {
			return nil, errors.Errorf("rpc: service %s is nil", name)
		}
		if err := server.services.RegisterName(name, services[name]); err != nil {
			return nil, errors.Wrapf(err, "rpc: service %s", name)
		}
	}
	return server, nil
}

// Serve serves a listener's connections until Close, then returns
// ErrServerClosed, or until accepting fails. It closes the listener.
func (s *Server) Serve(listener net.Listener) error {
	defer listener.Close()
	if !s.addListener(listener) {
		return ErrServerClosed
	}
	defer s.removeListener(listener)
	for {
		socket, err := listener.Accept()
		if err == nil {
			s.start(socket)
			continue
		}
		if !s.pauseAfter(err) {
			return s.acceptError(err)
		}
	}
}

// pauseAfter waits after a temporary accept error. It returns false for other
// errors and when the server closes.
func (s *Server) pauseAfter(err error) bool {
	temporary := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}
	is := func(target error) bool { return errors.Is(err, target) }
	if !slices.ContainsFunc(temporary, is) {
		return false
	}
	pause := time.NewTimer(acceptPause)
	defer pause.Stop()
	select {
	case <-pause.C:
		return true
	case <-s.closing:
		return false
	}
}

func (s *Server) acceptError(err error) error {
	select {
	case <-s.closing:
		return ErrServerClosed
	default:
		return errors.Wrap(err, "rpc: accept")
	}
}

// start serves a connection, or closes it if the limit is reached.
func (s *Server) start(socket net.Conn) {
	if !s.addSocket(socket) {
		_ = socket.Close()
		return
	}
	go s.serve(socket)
}

// serve sends the greeting and serves a connection until it ends.
func (s *Server) serve(socket net.Conn) {
	defer s.removeSocket(socket)
	defer socket.Close()
	_ = socket.SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout))
	if _, err := socket.Write([]byte(greeting)); err != nil {
		return
	}
	s.services.ServeCodec(newServerCodec(socket, s.limits, &s.bytes))
}

// Close ends Serve and closes all connections. It does not wait for calls in
// progress; their replies are discarded.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	close(s.closing)
	var failures []error
	for listener := range s.listeners {
		failures = append(failures, listener.Close())
	}
	for socket := range s.sockets {
		_ = socket.Close()
	}
	return errors.Join(failures...)
}

func (s *Server) addListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listeners[listener] = struct{}{}
	return true
}

func (s *Server) removeListener(listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, listener)
}

func (s *Server) addSocket(socket net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.sockets) >= s.limits.Connections {
		return false
	}
	s.sockets[socket] = struct{}{}
	return true
}

func (s *Server) removeSocket(socket net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sockets, socket)
}

// byteBudget is a byte limit shared by all connections.
type byteBudget struct {
	mu        sync.Mutex
	available int
}

// reserve reserves bytes, or returns ErrOverloaded.
func (b *byteBudget) reserve(bytes int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes > b.available {
		return ErrOverloaded
	}
	b.available -= bytes
	return nil
}

// release returns reserved bytes.
func (b *byteBudget) release(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available += bytes
}
