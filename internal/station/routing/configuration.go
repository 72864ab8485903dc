// Package routing reads the operators' configuration, checks it, and finds the route
// of a request. It does no I/O and keeps no state: both programs of the tier use it on
// the bytes that operators sent, which stay as they are.
package routing

import (
	"crypto/sha256"
	"time"
)

// TrafficClass says how a route's requests may be treated.
type TrafficClass string

// The traffic classes.
const (
	Idempotent    TrafficClass = "idempotent"     // may be sent again, also when the first attempt's outcome is unknown
	NonIdempotent TrafficClass = "non_idempotent" // may be sent again only where nothing can have been done yet
	Streaming     TrafficClass = "streaming"      // answers come in pieces, over a long time
)

// What stands where the configuration says nothing.
const (
	DefaultRetryLimit     = 1
	DefaultMaxHeaderBytes = 16 << 10
	DefaultMaxBodyBytes   = 4 << 20
	DefaultHeaderTimeout  = 3 * time.Second
	DefaultIdleTimeout    = 15 * time.Second
)

// Configuration is one version of what the operators want. It is not changed once it
// is parsed, so it may be shared.
type Configuration struct {
	Revision uint64 // from 1
	Routes   []Route
	Pools    []Pool
	Limits   Limits
}

// Route tells for the requests of a host and a path prefix where they go and how.
type Route struct {
	Name          string
	Host          string // lower case, without port
	PathPrefix    string // begins and ends with a slash
	Class         TrafficClass
	Timeout       time.Duration // above 0: for the whole request, all attempts together
	TargetLatency time.Duration // 0: none is stated
	Priority      int
	Weights       []Weight      // at least one, with a sum above 0
	RetryLimit    int           // servers that one request may be sent to, at least 1
	Retained      bool          // answers are kept
	Retention     time.Duration // for how long, where Retained
	Persistence   bool          // a client's requests stay with one server
	SessionResume bool          // a broken stream can be taken up again
	GapAim        time.Duration // aimed at between two pieces of a stream, 0: none is stated
}

// Weight is one pool's part of a route's requests.
type Weight struct {
	Pool  string
	Ratio float64 // from 0; its part is Ratio over the sum of all
}

// Pool is a set of servers that do the same.
type Pool struct {
	Name           string
	HealthMonitor  string // path of the health check, empty: none
	MaxConnections int    // to all its servers together, 0: not stated
	Protocol       string // such as h1
	TLS            bool
	Engine         *Engine // nil: not stated
}

// Engine describes the servers of a pool. What is not stated, or in a form that is not
// known, is 0 or empty.
type Engine struct {
	Capacity        int
	CacheTokens     int
	CacheEntryBytes int
	LinkSpeedMbps   float64 // megabits a second
	StreamChunk     int
	Models          []string
}

// Limits bound what a client may send. None is 0.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration // for a whole head to come
	IdleTimeout    time.Duration // between two requests of a connection
}

// Digest names the bytes of a configuration.
func Digest(body []byte) [32]byte { return sha256.Sum256(body) }

// Pick chooses a pool by the weights, for a random number from 0 to below 1. A pool of
// ratio 0 is never chosen. It returns an empty name for a route without weights.
func (r *Route) Pick(random float64) string {
	if len(r.Weights) == 1 {
		return r.Weights[0].Pool
	}
	sum := 0.0
	for _, weight := range r.Weights {
		sum += weight.Ratio
	}
	left, chosen := random*sum, ""
	for _, weight := range r.Weights {
		if weight.Ratio <= 0 {
			continue
		}
		chosen = weight.Pool
		if left < weight.Ratio {
			break
		}
		left -= weight.Ratio
	}
	return chosen
}
