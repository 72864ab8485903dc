package adminapi

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/semaphore"
	"k8s.io/klog/v2"

	"oakseam/internal/tier/matcher"
)

// Defaults of Options.
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

// Options configure a Server. All except Authority may be 0 for the defaults.
type Options struct {
	Authority        Authority
	Tallies          Tallies       // nil: the server has no calls for tallies
	MaxBodyBytes     int64         // bytes of one configuration
	MaxBufferedBytes int64         // bytes of all configurations being read or decided at once, at least MaxBodyBytes
	MaxConnections   int           // open connections; more wait to be accepted
	MaxHeaderBytes   int           // bytes of a request header; net/http allows 4 KiB more
	HeaderTimeout    time.Duration // time to read a request header
	BodyTimeout      time.Duration // time after that to read the body
	DecisionTimeout  time.Duration // time for the Authority, and before it for reserving memory
	ResponseTimeout  time.Duration // time to write the response
	IdleTimeout      time.Duration // time until an idle connection is closed
	RetireDeadline   time.Duration // default deadline of a retirement
}

// withDefaults replaces unset values by the defaults.
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

func setDefault[T int | int64 | time.Duration](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}

// Server serves the operators' API over HTTP/1.1.
type Server struct {
	http    *http.Server
	options Options
	bodies  *semaphore.Weighted // bytes of configurations in memory
}

// NewServer returns a server that does not listen yet.
func NewServer(options Options) *Server {
	options = options.withDefaults()
	server := &Server{options: options, bodies: semaphore.NewWeighted(options.MaxBufferedBytes)}
	failures := &failures{interval: failureInterval, report: logFailure}
	server.http = &http.Server{
		Handler:           failures.observe(matcher.Serve(server.tree(), writeError)),
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

// Handler returns the API without the limits on connections and headers.
func (s *Server) Handler() http.Handler { return s.http.Handler }

// Serve accepts connections until Close or Shutdown, then returns nil. It returns any other
// error of the listener.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(newBoundedListener(listener, s.options.MaxConnections))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve operators")
}

// Close stops listening and closes all connections, including those with calls in progress.
func (s *Server) Close() error { return s.http.Close() }

// Shutdown stops listening, waits for calls in progress until the context ends, and closes all
// connections.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err == nil {
		return nil
	}
	return errors.Join(err, s.http.Close())
}
