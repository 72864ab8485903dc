package routing

import "strings"

// Table finds the route of a request. It is not changed once it is made, so any number
// of goroutines may use it.
type Table struct {
	hosts map[string]*hostRoutes
}

// hostRoutes are the routes of one host by their prefixes.
type hostRoutes struct {
	prefixes map[string]*Route
	longest  int // length of the longest prefix
}

// NewTable makes the table of a configuration that Parse returned, whose routes it
// refers to.
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
	host.longest = max(host.longest, len(route.PathPrefix))
}

// Match returns the route of a request: among those of its host the one with the
// longest prefix that its path begins with. The host is compared without port and
// without regard to case; the path is taken as it was sent, without query.
func (t *Table) Match(host, path string) (*Route, bool) {
	routes := t.hosts[CanonicalHost(host)]
	if routes == nil {
		return nil, false
	}
	path = path[:min(len(path), routes.longest)]
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

// CanonicalHost gives a host in lower case and without port, as Route.Host has it.
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

// isBareAddress tells of an IPv6 address without brackets: its last part is no port.
func isBareAddress(host string, colon int) bool {
	return strings.IndexByte(host[:colon], ':') >= 0 && host[0] != '['
}
