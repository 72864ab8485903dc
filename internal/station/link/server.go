package link

import (
	"maps"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Limits bound what the peers of a Server can make it hold. A zero field has
// the default that stands beside it.
type Limits struct {
	Connections        int           // 2048; one more is closed as it comes
	CallsPerConnection int           // 256; the next is read once one is answered
	MessageBytes       int           // 64 MiB; a larger message ends its connection
	TotalBytes         int           // 128 MiB of requests under way on all connections
	IdleTimeout        time.Duration // 1 min; a connection without calls is then closed
	WriteTimeout       time.Duration // 5 s; for a response to be taken by the peer
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

// setDefault gives a field that is zero a value.
func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// acceptPause is how long accepting rests when the process is out of
// descriptors or memory.
const acceptPause = 20 * time.Millisecond

// Server serves net/rpc services. It is safe for concurrent use.
type Server struct {
	services *rpc.Server
	limits   Limits
	bytes    budget
	closing  chan struct{}

	mu        sync.Mutex
	closed    bool
	listeners map[net.Listener]struct{}
	sockets   map[net.Conn]struct{}
}

// NewServer makes a Server of services by name, with the default Limits. The
// methods of a service that net/rpc takes are served as Name.Method.
func NewServer(services map[string]any) (*Server, error) {
	return NewLimitedServer(services, Limits{})
}

// NewLimitedServer is NewServer with Limits.
func NewLimitedServer(services map[string]any, limits Limits) (*Server, error) {
	server := &Server{
		services:  rpc.NewServer(),
		limits:    limits.withDefaults(),
		closing:   make(chan struct{}),
		listeners: make(map[net.Listener]struct{}),
		sockets:   make(map[net.Conn]struct{}),
	}
	server.bytes.left = server.limits.TotalBytes
	for _, name := range slices.Sorted(maps.Keys(services)) {
		if services[name] == nil {
			return nil, errors.Errorf("link: service %s is nil", name)
		}
		if err := server.services.RegisterName(name, services[name]); err != nil {
			return nil, errors.Wrapf(err, "link: service %s", name)
		}
	}
	return server, nil
}

// Serve serves a listener's connections until Close, and then returns
// ErrServerClosed; or until accepting fails. It closes the listener.
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
		if !s.rest(err) {
			return s.acceptError(err)
		}
	}
}

// rest waits a little after an error of accepting that passes.
func (s *Server) rest(err error) bool {
	passing := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}
	is := func(target error) bool { return errors.Is(err, target) }
	if !slices.ContainsFunc(passing, is) {
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
		return errors.Wrap(err, "link: accept")
	}
}

// start serves a connection, or closes it where there is no room.
func (s *Server) start(socket net.Conn) {
	if !s.addSocket(socket) {
		_ = socket.Close()
		return
	}
	go s.serve(socket)
}

// serve greets a peer and serves it until its connection ends.
func (s *Server) serve(socket net.Conn) {
	defer s.removeSocket(socket)
	defer socket.Close()
	_ = socket.SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout))
	if _, err := socket.Write([]byte(greeting)); err != nil {
		return
	}
	s.services.ServeCodec(newServerCodec(socket, s.limits, &s.bytes))
}

// Close ends Serve and closes all connections. It doesn't wait for calls under
// way: their answers go nowhere.
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

// budget is a number of bytes that connections share.
type budget struct {
	mu   sync.Mutex
	left int
}

// take takes bytes, or none and returns ErrOverloaded.
func (b *budget) take(bytes int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes > b.left {
		return ErrOverloaded
	}
	b.left -= bytes
	return nil
}

// give gives bytes back.
func (b *budget) give(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += bytes
}
