package routing

import "strings"

// Table finds the route of a request. It is immutable, so any number of goroutines may
// use it.
type Table struct {
	hosts map[string]*hostRoutes
}

// hostRoutes holds the routes of one host by prefix.
type hostRoutes struct {
	prefixes        map[string]*Route
	maxPrefixLength int // length of the longest prefix
}

// NewTable returns the table of a configuration returned by Parse. It keeps pointers to
// its routes.
func NewTable(configuration *Configuration) *Table {
	table := &Table{hosts: make(map[string]*hostRoutes)}
	for i := range configuration.Routes {
		table.add(&configuration.Routes[i])
	}
	return table
}

func (t *Table) add(route *Route) {
	host := t.hosts[route.Host]
	if host == nil {
		host = &hostRoutes{prefixes: make(map[string]*Route)}
		t.hosts[route.Host] = host
	}
	host.prefixes[route.PathPrefix] = route
	host.maxPrefixLength = max(host.maxPrefixLength, len(route.PathPrefix))
}

// Match returns the route of a request: the one of its host with the longest prefix of
// the path. The host is compared without port and case-insensitively. The path is
// compared as sent, without the query.
func (t *Table) Match(host, path string) (*Route, bool) {
	routes := t.hosts[CanonicalHost(host)]
	if routes == nil {
		return nil, false
	}
	path = path[:min(len(path), routes.maxPrefixLength)]
	for {
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			return nil, false
		}
		if route := routes.prefixes[path[:slash+1]]; route != nil {
			return route, true
		}
		path = path[:slash]
	}
}

// CanonicalHost returns a host in lower case and without port, the form of Route.Host.
func CanonicalHost(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon > strings.LastIndexByte(host, ']') && isPort(host[colon+1:]) && !isBareAddress(host, colon) {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

func isPort(text string) bool {
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return false
		}
	}
	return true
}

// isBareAddress reports whether the host is an IPv6 address without brackets, whose last
// part is not a port.
func isBareAddress(host string, colon int) bool {
	return strings.IndexByte(host[:colon], ':') >= 0 && host[0] != '['
}
