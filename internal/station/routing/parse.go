package routing

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// KeyBody stands for the configuration as a whole in an InvalidError.
const KeyBody = "body"

// Keys of the configuration that checks name.
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

// InvalidError is a fault in a configuration.
type InvalidError struct {
	Key    string // such as virtualServers[3].timeoutMs, or KeyBody
	Reason string
}

// Error gives key and reason.
func (e *InvalidError) Error() string { return e.Key + ": " + e.Reason }

// document is a configuration as it is sent.
type document struct {
	revision uint64
	routes   []sentRoute
	pools    []Pool
	limits   Limits
}

// sentRoute is a route as it is sent: it has one pool, or several with weights.
type sentRoute struct {
	route    Route
	poolName string
	weights  []Weight // nil: not stated
}

// Parse reads a configuration and checks it. Keys that it does not know are passed
// over, and of a key that stands twice the last counts. Each error is an *InvalidError.
func Parse(body []byte) (*Configuration, error) {
	if !json.Valid(body) {
		return nil, unreadable(body)
	}
	read := document{limits: defaultLimits()}
	if err := readDocument(&reader{text: body}, &read); err != nil {
		return nil, whole(err)
	}
	if err := check(&read); err != nil {
		return nil, err
	}
	return read.configuration(), nil
}

// unreadable tells what is wrong with a text that is no JSON.
func unreadable(body []byte) error {
	var value json.RawMessage
	err := json.Unmarshal(body, &value)
	if syntax, ok := errors.Into[*json.SyntaxError](err); ok {
		return &InvalidError{Key: KeyBody, Reason: fmt.Sprintf("%v, at byte %d", syntax, syntax.Offset)}
	}
	return &InvalidError{Key: KeyBody, Reason: fmt.Sprintf("is no JSON text: %v", err)}
}

// whole names the body where an error names no key in it.
func whole(err error) error {
	if invalid, ok := errors.Into[*InvalidError](err); ok && invalid.Key != "" {
		return invalid
	}
	return under(KeyBody, err)
}

func readDocument(r *reader, into *document) error {
	return r.object(func(key string) (err error) {
		switch key {
		case keyRevision:
			err = r.revision(&into.revision)
		case keyRoutes:
			into.routes, err = readList(r, readRoute)
		case keyPools:
			into.pools, err = readList(r, readPool)
		case "limits":
			into.limits, err = readLimits(r)
		default:
			r.raw()
		}
		return err
	})
}

func readRoute(r *reader, into *sentRoute) error {
	route := &into.route
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
			err = r.whole(&route.Priority)
		case keyPoolName:
			err = r.string(&into.poolName)
		case keyWeights:
			into.weights, err = readList(r, readWeight)
		case "retryLimit":
			err = r.count(&route.RetryLimit)
		default:
			err = readKeeping(r, key, route)
		}
		return err
	})
}

// readKeeping reads what a route says of answers that are kept and clients that stay.
func readKeeping(r *reader, key string, route *Route) error {
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
		return r.duration(&route.GapAim, time.Millisecond)
	}
	r.raw()
	return nil
}

func readWeight(r *reader, into *Weight) error {
	return r.object(func(key string) error {
		switch key {
		case keyPoolName:
			return r.string(&into.Pool)
		case keyRatio:
			return r.number(&into.Ratio)
		}
		r.raw()
		return nil
	})
}

func readPool(r *reader, into *Pool) error {
	return r.object(func(key string) error {
		switch key {
		case keyName:
			return r.string(&into.Name)
		case "healthMonitor":
			return r.string(&into.HealthMonitor)
		case "maxConnections":
			return r.count(&into.MaxConnections)
		case "protocol":
			return r.string(&into.Protocol)
		case "tlsProfile":
			text := string(r.raw())
			into.TLS = text != "false" && text != `""`
		case "engine":
			into.Engine = readEngine(r.raw())
		default:
			r.raw()
		}
		return nil
	})
}

// readEngine reads a description of servers. It is no reason to refuse a configuration,
// so a value of another type is left out.
func readEngine(text []byte) *Engine {
	engine := &Engine{}
	r := &reader{text: text}
	err := r.object(func(key string) error {
		_ = readEngineValue(&reader{text: r.raw()}, key, engine)
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

func readModel(r *reader, into *string) error {
	return r.object(func(key string) error {
		if key == keyName {
			return r.string(into)
		}
		r.raw()
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

// readLimits leaves the default where a limit is not stated or not above 0.
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
		r.raw()
		return nil
	})
	return limits.completed(), err
}

// completed puts the default in the place of each limit of 0.
func (l Limits) completed() Limits {
	standard := defaultLimits()
	if l.MaxHeaderBytes == 0 {
		l.MaxHeaderBytes = standard.MaxHeaderBytes
	}
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = standard.MaxBodyBytes
	}
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = standard.HeaderTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = standard.IdleTimeout
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
