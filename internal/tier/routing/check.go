package routing

import (
	"regexp"

	validation "github.com/go-ozzo/ozzo-validation/v4"
)

// Reasons of InvalidError.
const (
	reasonRevision       = "must be a whole number from 1"
	reasonClass          = "must be idempotent, non_idempotent or streaming"
	reasonTimeout        = "must be above 0"
	reasonPrefix         = "must begin and end with a slash"
	reasonEmptyName      = "must not be empty"
	reasonDuplicatePool  = "must not be another pool's name"
	reasonUnknownPool    = "must name one of the pools"
	reasonDuplicateRoute = "must not be another route's host and prefix"
	reasonRatio          = "must not be negative"
	reasonSum            = "must have a sum above 0"
)

// prefixPattern matches text that begins and ends with a slash, including a single slash.
var prefixPattern = regexp.MustCompile(`(?s)^/(?:.*/)?$`)

// Rules of single values. Package validation accepts empty values, so a required value
// has its own rule. Negative durations have been read as 0.
var (
	revisionRules = []validation.Rule{validation.Required.Error(reasonRevision)}
	nameRules     = []validation.Rule{validation.Required.Error(reasonEmptyName)}
	prefixRules   = []validation.Rule{
		validation.Required.Error(reasonPrefix),
		validation.Match(prefixPattern).Error(reasonPrefix),
	}
	classRules = []validation.Rule{
		validation.Required.Error(reasonClass),
		validation.In(Idempotent, NonIdempotent, Streaming).Error(reasonClass),
	}
	timeoutRules = []validation.Rule{validation.Required.Error(reasonTimeout)}
	ratioRules   = []validation.Rule{validation.Min(0.0).Error(reasonRatio)}
	sumRules     = []validation.Rule{validation.Required.Error(reasonSum)}
)

// routeKey identifies a route. No two routes may have the same key.
type routeKey struct {
	host   string
	prefix string
}

// check returns the first error of a document as an *InvalidError.
func check(parsed *document) error {
	if err := checkValue(keyRevision, parsed.revision, revisionRules); err != nil {
		return err
	}
	pools, err := checkPools(parsed.pools)
	if err != nil {
		return withKeyPrefix(keyPools, err)
	}
	if err := checkRoutes(parsed.routes, pools); err != nil {
		return withKeyPrefix(keyRoutes, err)
	}
	return nil
}

// checkValue checks a value against its rules.
func checkValue(key string, value any, rules []validation.Rule) error {
	if err := validation.Validate(value, rules...); err != nil {
		return &InvalidError{Key: key, Reason: err.Error()}
	}
	return nil
}

// checkPools checks the pools and returns their names.
func checkPools(pools []Pool) (map[string]bool, error) {
	names := make(map[string]bool, len(pools))
	for i := range pools {
		name := pools[i].Name
		if err := checkValue(keyName, name, nameRules); err != nil {
			return nil, withKeyPrefix(indexKey(i), err)
		}
		if names[name] {
			return nil, withKeyPrefix(indexKey(i), &InvalidError{Key: keyName, Reason: reasonDuplicatePool})
		}
		names[name] = true
	}
	return names, nil
}

func checkRoutes(routes []sentRoute, pools map[string]bool) error {
	keys := make(map[routeKey]bool, len(routes))
	for i := range routes {
		if err := checkRoute(&routes[i], pools); err != nil {
			return withKeyPrefix(indexKey(i), err)
		}
		key := routeKey{host: routes[i].route.Host, prefix: routes[i].route.PathPrefix}
		if keys[key] {
			return withKeyPrefix(indexKey(i), &InvalidError{Key: keyPrefix, Reason: reasonDuplicateRoute})
		}
		keys[key] = true
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
	if err := checkPoolName(sent.poolName, pools); err != nil {
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
			return withKeyPrefix(keyWeights, withKeyPrefix(indexKey(i), err))
		}
		sum += weight.Ratio
	}
	return checkValue(keyWeights, sum, sumRules)
}

func checkWeight(weight Weight, pools map[string]bool) error {
	if err := checkPoolName(weight.Pool, pools); err != nil {
		return err
	}
	return checkValue(keyRatio, weight.Ratio, ratioRules)
}

func checkPoolName(name string, pools map[string]bool) error {
	if pools[name] {
		return nil
	}
	return &InvalidError{Key: keyPoolName, Reason: reasonUnknownPool}
}
