package routing

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// KeyBody is the key of an InvalidError that concerns the whole configuration.
const KeyBody = "body"

// Keys of the configuration that errors mention.
const (
	keyRevision = "configRevision"
	keyRoutes   = "virtualServers"
	keyPools    = "pools"
	keyName     = "name"
	keyPrefix   = "pathPrefix"
	keyClass    = "trafficClass"
	keyTimeout  = "timeoutMs"
	keyPoolName = "poolName"
	keyWeights  = "poolWeights"
	keyRatio    = "ratio"
)

// InvalidError describes an error in a configuration.
type InvalidError struct {
	Key    string // such as virtualServers[3].timeoutMs, or KeyBody
	Reason string
}

// Error returns the key and the reason.
func (e *InvalidError) Error() string { return e.Key + ": " + e.Reason }

// document is a configuration as sent by the operators.
type document struct {
	revision uint64
	routes   []sentRoute
	pools    []Pool
	limits   Limits
}

// sentRoute is a route as sent by the operators, with one pool or several weighted pools.
type sentRoute struct {
	route    Route
	poolName string
	weights  []Weight // nil: not stated
}

// Parse parses and validates a configuration. It ignores unknown keys. If a key occurs
// twice, the last value applies. Every error is an *InvalidError.
func Parse(body []byte) (*Configuration, error) {
	if !json.Valid(body) {
		return nil, syntaxError(body)
	}
	parsed := document{limits: defaultLimits()}
	if err := readDocument(&reader{text: body}, &parsed); err != nil {
		return nil, withBodyKey(err)
	}
	if err := check(&parsed); err != nil {
		return nil, err
	}
	return parsed.configuration(), nil
}

// syntaxError describes why a text is not valid JSON.
func syntaxError(body []byte) error {
	var value json.RawMessage
	err := json.Unmarshal(body, &value)
	if syntax, ok := errors.Into[*json.SyntaxError](err); ok {
		return &InvalidError{Key: KeyBody, Reason: fmt.Sprintf("%v, at byte %d", syntax, syntax.Offset)}
	}
	return &InvalidError{Key: KeyBody, Reason: fmt.Sprintf("is not valid JSON: %v", err)}
}

// withBodyKey adds KeyBody to an error without a key.
func withBodyKey(err error) error {
	if invalid, ok := errors.Into[*InvalidError](err); ok && invalid.Key != "" {
		return invalid
	}
	return withKeyPrefix(KeyBody, err)
}

func readDocument(r *reader, target *document) error {
	return r.object(func(key string) (err error) {
		switch key {
		case keyRevision:
			err = r.revision(&target.revision)
		case keyRoutes:
			target.routes, err = readList(r, readRoute)
		case keyPools:
			target.pools, err = readList(r, readPool)
		case "limits":
			target.limits, err = readLimits(r)
		default:
			r.rawValue()
		}
		return err
	})
}

func readRoute(r *reader, target *sentRoute) error {
	route := &target.route
	route.RetryLimit = DefaultRetryLimit
	return r.object(func(key string) (err error) {
		switch key {
		case keyName:
			err = r.string(&route.Name)
		case "hostHeader":
			err = r.string(&route.Host)
			route.Host = CanonicalHost(route.Host)
		case keyPrefix:
			err = r.string(&route.PathPrefix)
		case keyClass:
			err = r.string((*string)(&route.Class))
		case keyTimeout:
			err = r.duration(&route.Timeout, time.Millisecond)
		case "targetLatencyMs":
			err = r.duration(&route.TargetLatency, time.Millisecond)
		case "priority":
			err = r.integer(&route.Priority)
		case keyPoolName:
			err = r.string(&target.poolName)
		case keyWeights:
			target.weights, err = readList(r, readWeight)
		case "retryLimit":
			err = r.count(&route.RetryLimit)
		default:
			err = readStateOptions(r, key, route)
		}
		return err
	})
}

// readStateOptions reads the keys of a route about stored responses, sticky clients and
// streams.
func readStateOptions(r *reader, key string, route *Route) error {
	switch key {
	case "retained":
		return r.flag(&route.Retained)
	case "retentionS":
		return r.duration(&route.Retention, time.Second)
	case "persistence":
		return r.flag(&route.Persistence)
	case "sessionResume":
		return r.flag(&route.SessionResume)
	case "gap_aim_ms":
		return r.duration(&route.TargetGap, time.Millisecond)
	}
	r.rawValue()
	return nil
}

func readWeight(r *reader, target *Weight) error {
	return r.object(func(key string) error {
		switch key {
		case keyPoolName:
			return r.string(&target.Pool)
		case keyRatio:
			return r.number(&target.Ratio)
		}
		r.rawValue()
		return nil
	})
}

func readPool(r *reader, target *Pool) error {
	return r.object(func(key string) error {
		switch key {
		case keyName:
			return r.string(&target.Name)
		case "healthMonitor":
			return r.string(&target.HealthMonitor)
		case "maxConnections":
			return r.count(&target.MaxConnections)
		case "protocol":
			return r.string(&target.Protocol)
		case "tlsProfile":
			text := string(r.rawValue())
			target.TLS = text != "false" && text != `""`
		case "warmupS":
			err := r.duration(&target.Warmup, time.Second)
			target.Warmup = min(target.Warmup, MaxWarmup)
			return err
		case "warmupPerS":
			err := r.number(&target.WarmupPerS)
			target.WarmupPerS = max(target.WarmupPerS, 0)
			return err
		case "engine":
			target.Engine = readEngine(r.rawValue())
		default:
			r.rawValue()
		}
		return nil
	})
}

// readEngine reads a description of servers. Errors in it must not reject a
// configuration, so values of another type are ignored.
func readEngine(text []byte) *Engine {
	engine := &Engine{}
	r := &reader{text: text}
	err := r.object(func(key string) error {
		_ = readEngineValue(&reader{text: r.rawValue()}, key, engine)
		return nil
	})
	if err != nil {
		return nil
	}
	return engine
}

func readEngineValue(r *reader, key string, engine *Engine) (err error) {
	switch key {
	case "capacity":
		err = r.count(&engine.Capacity)
	case "cacheTokens":
		err = r.count(&engine.CacheTokens)
	case "cacheEntryBytes":
		err = r.count(&engine.CacheEntryBytes)
	case "linkSpeedMbps":
		err = r.number(&engine.LinkSpeedMbps)
	case "streamChunk":
		err = r.count(&engine.StreamChunk)
	case "modelList":
		engine.Models, err = readList(r, readModel)
	}
	return err
}

func readModel(r *reader, target *string) error {
	return r.object(func(key string) error {
		if key == keyName {
			return r.string(target)
		}
		r.rawValue()
		return nil
	})
}

func defaultLimits() Limits {
	return Limits{
		MaxHeaderBytes: DefaultMaxHeaderBytes,
		MaxBodyBytes:   DefaultMaxBodyBytes,
		HeaderTimeout:  DefaultHeaderTimeout,
		IdleTimeout:    DefaultIdleTimeout,
	}
}

// readLimits uses the default for a limit that is not stated or not greater than 0.
func readLimits(r *reader) (Limits, error) {
	var limits Limits
	err := r.object(func(key string) error {
		switch key {
		case "maxHeaderBytes":
			return r.count(&limits.MaxHeaderBytes)
		case "maxBodyBytes":
			return r.count(&limits.MaxBodyBytes)
		case "headerTimeoutMs":
			return r.duration(&limits.HeaderTimeout, time.Millisecond)
		case "idleTimeoutMs":
			return r.duration(&limits.IdleTimeout, time.Millisecond)
		}
		r.rawValue()
		return nil
	})
	return limits.withDefaults(), err
}

// withDefaults replaces each limit of 0 by its default.
func (l Limits) withDefaults() Limits {
	defaults := defaultLimits()
	if l.MaxHeaderBytes == 0 {
		l.MaxHeaderBytes = defaults.MaxHeaderBytes
	}
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = defaults.MaxBodyBytes
	}
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = defaults.HeaderTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = defaults.IdleTimeout
	}
	return l
}

func (d *document) configuration() *Configuration {
	configuration := &Configuration{
		Revision: d.revision,
		Routes:   make([]Route, len(d.routes)),
		Pools:    d.pools,
		Limits:   d.limits,
	}
	for i := range d.routes {
		sent := &d.routes[i]
		configuration.Routes[i] = sent.route
		configuration.Routes[i].Weights = sent.weights
		if len(sent.weights) == 0 {
			configuration.Routes[i].Weights = []Weight{{Pool: sent.poolName, Ratio: 1}}
		}
	}
	return configuration
}
