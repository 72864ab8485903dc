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
	DefaultMaxBodyBytes     = 8 << 20
	DefaultMaxBufferedBytes = 32 << 20
	DefaultMaxConnections   = 256
	DefaultMaxHeaderBytes   = 16 << 10
	DefaultHeaderTimeout    = 5 * time.Second
	DefaultBodyTimeout      = 30 * time.Second
	DefaultDecisionTimeout  = 10 * time.Second
	DefaultResponseTimeout  = 30 * time.Second
	DefaultIdleTimeout      = 15 * time.Second
	DefaultRetireDeadline   = 30 * time.Second
)

// Options are what a Server needs to know. All but Authority may be left at 0 for the
// defaults.
type Options struct {
	Authority        Authority
	MaxBodyBytes     int64         // bytes of a configuration
	MaxBufferedBytes int64         // bytes of all configurations that are being read or decided at once, at least MaxBody
	MaxConnections   int           // more wait to be accepted
	MaxHeaderBytes   int           // bytes of a call's head; net/http allows 4 KiB above it
	HeaderTimeout    time.Duration // for a call's head to come
	BodyTimeout      time.Duration // from then for its body to come
	DecisionTimeout  time.Duration // for the Authority, and before for memory for the body
	ResponseTimeout  time.Duration // for the answer to go out
	IdleTimeout      time.Duration // until a connection without a call is closed
	RetireDeadline   time.Duration // deadline of a retirement that states none
}

// completed puts the defaults in.
func (o Options) withDefaults() Options {
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&o.MaxBufferedBytes, DefaultMaxBufferedBytes)
	setDefault(&o.MaxConnections, DefaultMaxConnections)
	setDefault(&o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&o.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&o.BodyTimeout, DefaultBodyTimeout)
	setDefault(&o.DecisionTimeout, DefaultDecisionTimeout)
	setDefault(&o.ResponseTimeout, DefaultResponseTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.RetireDeadline, DefaultRetireDeadline)
	o.MaxBufferedBytes = max(o.MaxBufferedBytes, o.MaxBodyBytes)
	return o
}

func setDefault[T int | int64 | time.Duration](value *T, standard T) {
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
	options = options.withDefaults()
	server := &Server{options: options, bodies: semaphore.NewWeighted(options.MaxBufferedBytes)}
	server.http = &http.Server{
		Handler:           matcher.Serve(server.tree(), writeError),
		ReadHeaderTimeout: options.HeaderTimeout,
		ReadTimeout:       options.HeaderTimeout + options.BodyTimeout,
		WriteTimeout:      options.BodyTimeout + 2*options.DecisionTimeout + options.ResponseTimeout,
		IdleTimeout:       options.IdleTimeout,
		MaxHeaderBytes:    options.MaxHeaderBytes,
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
	err := s.http.Serve(newBoundedListener(listener, s.options.MaxConnections))
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
