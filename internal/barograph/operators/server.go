package operators

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/semaphore"
	"k8s.io/klog/v2"

	"pipitmux/internal/station/matcher"
)

// What stands where Options leave a value at 0.
const (
	DefaultMaxBody        = 8 << 20
	DefaultMaxBodies      = 32 << 20
	DefaultMaxConnections = 256
	DefaultMaxHead        = 16 << 10
	DefaultHeadWithin     = 5 * time.Second
	DefaultBodyWithin     = 30 * time.Second
	DefaultDecideWithin   = 10 * time.Second
	DefaultAnswerWithin   = 30 * time.Second
	DefaultIdleFor        = 15 * time.Second
	DefaultRetireWithin   = 30 * time.Second
)

// Options are what a Server needs to know. All but Authority may be left at 0 for the
// defaults.
type Options struct {
	Authority      Authority
	MaxBody        int64         // bytes of a configuration
	MaxBodies      int64         // bytes of all configurations that are being read or decided at once, at least MaxBody
	MaxConnections int           // more wait to be accepted
	MaxHead        int           // bytes of a call's head; net/http allows 4 KiB above it
	HeadWithin     time.Duration // for a call's head to come
	BodyWithin     time.Duration // from then for its body to come
	DecideWithin   time.Duration // for the Authority, and before for memory for the body
	AnswerWithin   time.Duration // for the answer to go out
	IdleFor        time.Duration // until a connection without a call is closed
	RetireWithin   time.Duration // deadline of a retirement that states none
}

// completed puts the defaults in.
func (o Options) completed() Options {
	orDefault(&o.MaxBody, DefaultMaxBody)
	orDefault(&o.MaxBodies, DefaultMaxBodies)
	orDefault(&o.MaxConnections, DefaultMaxConnections)
	orDefault(&o.MaxHead, DefaultMaxHead)
	orDefault(&o.HeadWithin, DefaultHeadWithin)
	orDefault(&o.BodyWithin, DefaultBodyWithin)
	orDefault(&o.DecideWithin, DefaultDecideWithin)
	orDefault(&o.AnswerWithin, DefaultAnswerWithin)
	orDefault(&o.IdleFor, DefaultIdleFor)
	orDefault(&o.RetireWithin, DefaultRetireWithin)
	o.MaxBodies = max(o.MaxBodies, o.MaxBody)
	return o
}

func orDefault[T int | int64 | time.Duration](value *T, standard T) {
	if *value <= 0 {
		*value = standard
	}
}

// Server serves the operators' API over HTTP/1.1.
type Server struct {
	http    *http.Server
	options Options
	bodies  *semaphore.Weighted // bytes of configurations in memory
}

// NewServer makes a server that does not listen yet.
func NewServer(options Options) *Server {
	options = options.completed()
	server := &Server{options: options, bodies: semaphore.NewWeighted(options.MaxBodies)}
	server.http = &http.Server{
		Handler:           matcher.Serve(server.tree(), refuse),
		ReadHeaderTimeout: options.HeadWithin,
		ReadTimeout:       options.HeadWithin + options.BodyWithin,
		WriteTimeout:      options.BodyWithin + 2*options.DecideWithin + options.AnswerWithin,
		IdleTimeout:       options.IdleFor,
		MaxHeaderBytes:    options.MaxHead,
		ErrorLog:          klog.NewStandardLogger("WARNING"),

		DisableGeneralOptionsHandler: true,
	}
	return server
}

// Handler returns the API without the bounds on connections and heads.
func (s *Server) Handler() http.Handler { return s.http.Handler }

// Serve accepts connections until Close or Shutdown, then returns nil; another failure
// of the listener it returns.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(newBounded(listener, s.options.MaxConnections))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve operators")
}

// Close stops listening and closes all connections, also those with calls under way.
func (s *Server) Close() error { return s.http.Close() }

// Shutdown stops listening, waits for the calls under way until the context ends, and
// closes all connections.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err == nil {
		return nil
	}
	return errors.Join(err, s.http.Close())
}
