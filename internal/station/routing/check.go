package routing

import (
	"regexp"

	validation "github.com/go-ozzo/ozzo-validation/v4"
)

// Reasons that errors give.
const (
	reasonRevision = "must be a whole number from 1"
	reasonClass    = "must be idempotent, non_idempotent or streaming"
	reasonTimeout  = "must be above 0"
	reasonPrefix   = "must begin and end with a slash"
	reasonUnnamed  = "must not be empty"
	reasonRepeated = "must not be another pool's name"
	reasonUnknown  = "must name one of the pools"
	reasonTaken    = "must not be another route's host and prefix"
	reasonRatio    = "must not be negative"
	reasonSum      = "must have a sum above 0"
)

// enclosed matches what begins and ends with a slash, also the slash alone.
var enclosed = regexp.MustCompile(`(?s)^/(?:.*/)?$`)

// The rules of single values. Package validation passes over empty values, so a value
// that has to be there has a rule for it. A duration below 0 was read as 0.
var (
	revisionRules = []validation.Rule{validation.Required.Error(reasonRevision)}
	nameRules     = []validation.Rule{validation.Required.Error(reasonUnnamed)}
	prefixRules   = []validation.Rule{
		validation.Required.Error(reasonPrefix),
		validation.Match(enclosed).Error(reasonPrefix),
	}
	classRules = []validation.Rule{
		validation.Required.Error(reasonClass),
		validation.In(Idempotent, NonIdempotent, Streaming).Error(reasonClass),
	}
	timeoutRules = []validation.Rule{validation.Required.Error(reasonTimeout)}
	ratioRules   = []validation.Rule{validation.Min(0.0).Error(reasonRatio)}
	sumRules     = []validation.Rule{validation.Required.Error(reasonSum)}
)

// place is what a route claims alone.
type place struct{ host, prefix string }

// check returns the first fault of a document as an *InvalidError.
func check(read *document) error {
	if err := checkValue(keyRevision, read.revision, revisionRules); err != nil {
		return err
	}
	pools, err := checkPools(read.pools)
	if err != nil {
		return under(keyPools, err)
	}
	if err := checkRoutes(read.routes, pools); err != nil {
		return under(keyRoutes, err)
	}
	return nil
}

// checkValue holds one value against its rules.
func checkValue(key string, value any, rules []validation.Rule) error {
	if err := validation.Validate(value, rules...); err != nil {
		return &InvalidError{Key: key, Reason: err.Error()}
	}
	return nil
}

// checkPools returns the names of the pools.
func checkPools(pools []Pool) (map[string]bool, error) {
	names := make(map[string]bool, len(pools))
	for i := range pools {
		name := pools[i].Name
		if err := checkValue(keyName, name, nameRules); err != nil {
			return nil, under(member(i), err)
		}
		if names[name] {
			return nil, under(member(i), &InvalidError{Key: keyName, Reason: reasonRepeated})
		}
		names[name] = true
	}
	return names, nil
}

func checkRoutes(routes []sentRoute, pools map[string]bool) error {
	places := make(map[place]bool, len(routes))
	for i := range routes {
		if err := checkRoute(&routes[i], pools); err != nil {
			return under(member(i), err)
		}
		claimed := place{host: routes[i].route.Host, prefix: routes[i].route.PathPrefix}
		if places[claimed] {
			return under(member(i), &InvalidError{Key: keyPrefix, Reason: reasonTaken})
		}
		places[claimed] = true
	}
	return nil
}

func checkRoute(sent *sentRoute, pools map[string]bool) error {
	if err := checkValue(keyPrefix, sent.route.PathPrefix, prefixRules); err != nil {
		return err
	}
	if err := checkValue(keyClass, sent.route.Class, classRules); err != nil {
		return err
	}
	if err := checkValue(keyTimeout, sent.route.Timeout, timeoutRules); err != nil {
		return err
	}
	if sent.poolName == "" && sent.weights != nil {
		return checkWeights(sent.weights, pools)
	}
	if err := checkKnown(sent.poolName, pools); err != nil {
		return err
	}
	if len(sent.weights) > 0 {
		return checkWeights(sent.weights, pools)
	}
	return nil
}

func checkWeights(weights []Weight, pools map[string]bool) error {
	sum := 0.0
	for i, weight := range weights {
		if err := checkWeight(weight, pools); err != nil {
			return under(keyWeights, under(member(i), err))
		}
		sum += weight.Ratio
	}
	return checkValue(keyWeights, sum, sumRules)
}

func checkWeight(weight Weight, pools map[string]bool) error {
	if err := checkKnown(weight.Pool, pools); err != nil {
		return err
	}
	return checkValue(keyRatio, weight.Ratio, ratioRules)
}

func checkKnown(name string, pools map[string]bool) error {
	if pools[name] {
		return nil
	}
	return &InvalidError{Key: keyPoolName, Reason: reasonUnknown}
}
