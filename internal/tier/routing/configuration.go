// Package routing parses and validates the operators' configuration and finds the route
// of a request. It performs no I/O and keeps no state. Both programs of the tier use it
// on the bytes that operators sent, which it does not modify.
package routing

import (
	"crypto/sha256"
	"strconv"
	"time"
)

// TrafficClass determines how a route's requests may be retried and answered.
type TrafficClass string

// The traffic classes.
const (
	Idempotent    TrafficClass = "idempotent"     // may be retried, even if the result of the first attempt is unknown
	NonIdempotent TrafficClass = "non_idempotent" // may be retried only if nothing can have been executed yet
	Streaming     TrafficClass = "streaming"      // responses are streams that may last long
)

// Defaults for values that the configuration does not state.
const (
	DefaultRetryLimit     = 1
	DefaultMaxHeaderBytes = 16 << 10
	DefaultMaxBodyBytes   = 4 << 20
	DefaultHeaderTimeout  = 3 * time.Second
	DefaultIdleTimeout    = 15 * time.Second
)

// MaxWarmup bounds Pool.Warmup.
const MaxWarmup = time.Hour

// Configuration is one revision of the operators' configuration. It is immutable after
// parsing, so it may be shared.
type Configuration struct {
	Revision uint64 // at least 1
	Routes   []Route
	Pools    []Pool
	Limits   Limits
}

// Route defines where requests of a host and a path prefix go and how they are handled.
type Route struct {
	Name          string // as the operators call it; may be empty or another route's
	Host          string // lower case, without port
	PathPrefix    string // begins and ends with a slash
	Class         TrafficClass
	Timeout       time.Duration // greater than 0; for the whole request with all its attempts
	TargetLatency time.Duration // 0: not stated
	Priority      int
	Weights       []Weight      // at least one, with a sum greater than 0
	RetryLimit    int           // servers that one request may be sent to; 0 has the effect of 1
	Retained      bool          // responses are stored
	Retention     time.Duration // how long responses are stored if Retained
	Persistence   bool          // requests of a client go to the same server
	SessionResume bool          // an interrupted stream can be resumed
	TargetGap     time.Duration // target gap between two events of a stream, 0: not stated
}

// Weight is the share of a pool in a route's requests.
type Weight struct {
	Pool  string
	Ratio float64 // at least 0; the share is Ratio divided by the sum of all ratios
}

// Pool is a set of equivalent servers.
type Pool struct {
	Name           string
	HealthMonitor  string // path of the health check, empty: no check
	MaxConnections int    // limit for all its servers together, 0: not stated
	Protocol       string // such as h1
	TLS            bool
	Warmup         time.Duration // how long a server stays cold after its start, 0: not at all; at most MaxWarmup
	WarmupPerS     float64       // requests per second that a cold server can handle, at least 0
	Engine         *Engine       // nil: not stated
}

// Engine describes the servers of a pool. Values that are not stated or have an unknown
// form are 0 or empty.
type Engine struct {
	Capacity        int
	CacheTokens     int
	CacheEntryBytes int
	LinkSpeedMbps   float64 // megabits per second
	StreamChunk     int
	Models          []string
}

// Limits apply to client requests. No limit is 0.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration // until a request head is complete
	IdleTimeout    time.Duration // between two requests on a connection
}

// Digest returns the SHA-256 digest of a configuration's bytes.
func Digest(body []byte) [32]byte { return sha256.Sum256(body) }

// ID identifies the route within its configuration, and the same route in later ones. Host and
// prefix tell routes apart; their names need not.
func (r *Route) ID() string { return strconv.Quote(r.Host) + r.PathPrefix }

// Pick selects a pool according to the weights, given a random number in [0, 1). It never
// selects a pool of ratio 0. It returns an empty name for a route without weights.
func (r *Route) Pick(random float64) string {
	if len(r.Weights) == 1 {
		return r.Weights[0].Pool
	}
	sum := 0.0
	for _, weight := range r.Weights {
		sum += weight.Ratio
	}
	remaining, chosen := random*sum, ""
	for _, weight := range r.Weights {
		if weight.Ratio <= 0 {
			continue
		}
		chosen = weight.Pool
		if remaining < weight.Ratio {
			break
		}
		remaining -= weight.Ratio
	}
	return chosen
}
