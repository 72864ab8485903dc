// Package matcher finds the handler of an HTTP request by method and path. Its tree has a
// node for each path segment. A node matches a literal segment, or any segment as a named
// value, and holds the handlers by method. The package does not depend on connections;
// the caller chooses the handler type.
package matcher

import (
	"net/url"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Errors of Match.
var (
	// ErrNotFound means that no pattern matches the path: status 404.
	ErrNotFound = errors.New("no such path")
	// ErrMethod means that the path exists, but not with the method: status 405.
	ErrMethod = errors.New("method not allowed")
)

// ErrPattern matches every error of Add.
var ErrPattern = errors.New("pattern cannot be added")

// MethodError is an ErrMethod with the methods that the path allows.
type MethodError struct {
	Allowed []string // sorted
}

// Error returns a message with the allowed methods.
func (e *MethodError) Error() string {
	return ErrMethod.Error() + ", allowed: " + strings.Join(e.Allowed, ", ")
}

// Is reports whether target is ErrMethod.
func (e *MethodError) Is(target error) bool { return target == ErrMethod }

// Values holds the named segments of a path.
type Values struct {
	pairs []pair
}

// pair is a named segment and its decoded value.
type pair struct {
	name  string
	value string
}

// Get returns the decoded value of a name, or "" if the pattern does not have the name.
func (v Values) Get(name string) string {
	for _, pair := range v.pairs {
		if pair.name == name {
			return pair.value
		}
	}
	return ""
}

// Tree holds handlers of type H. The zero Tree is empty and ready to use. After the last
// Add, any number of goroutines may call Match.
type Tree[H any] struct {
	root node[H]
}

// node represents the path up to one segment.
type node[H any] struct {
	literals map[string]*node[H]
	named    *node[H] // matches every segment without a literal, nil: none
	name     string   // name of the segment that named matches
	methods  map[string]H
}

// Add registers a handler for a method and a pattern such as /api/Retire.Show/{node}. It
// fails with ErrPattern if the pattern is malformed, is already registered with the method,
// or gives a segment another name than a registered pattern.
func (t *Tree[H]) Add(method, pattern string, handler H) error {
	segments, ok := split(pattern)
	if !ok || method == "" {
		return errors.Wrapf(ErrPattern, "%q %q: needs a method and a path that begins with a slash", method, pattern)
	}
	at := &t.root
	for _, segment := range segments {
		next, err := at.child(segment)
		if err != nil {
			return errors.Wrapf(err, "%s %s", method, pattern)
		}
		at = next
	}
	if _, registered := at.methods[method]; registered {
		return errors.Wrapf(ErrPattern, "%s %s: already registered", method, pattern)
	}
	if at.methods == nil {
		at.methods = make(map[string]H)
	}
	at.methods[method] = handler
	return nil
}

// child returns the node of a pattern's segment and creates it if necessary.
func (n *node[H]) child(segment string) (*node[H], error) {
	name, isNamed := nameOf(segment)
	switch {
	case segment == "" || isNamed && name == "":
		return nil, errors.Wrap(ErrPattern, "empty segment")
	case isNamed && n.named != nil && n.name != name:
		return nil, errors.Wrapf(ErrPattern, "segment %q is already named %q", name, n.name)
	case isNamed:
		if n.named == nil {
			n.named, n.name = new(node[H]), name
		}
		return n.named, nil
	}
	if n.literals == nil {
		n.literals = make(map[string]*node[H])
	}
	if n.literals[segment] == nil {
		n.literals[segment] = new(node[H])
	}
	return n.literals[segment], nil
}

// Match returns the handler of a request and the values of the named segments. The path
// must be escaped and without query. Literals take precedence over names. Its errors are
// ErrNotFound and *MethodError.
func (t *Tree[H]) Match(method, path string) (H, Values, error) {
	search := search[H]{method: method}
	segments, ok := split(path)
	if ok && search.descend(&t.root, segments, nil) {
		return search.handler, search.values, nil
	}
	var none H
	if len(search.allowed) == 0 {
		return none, Values{}, ErrNotFound
	}
	slices.Sort(search.allowed)
	return none, Values{}, &MethodError{Allowed: slices.Compact(search.allowed)}
}

// search is the state of one Match.
type search[H any] struct {
	method  string
	handler H
	values  Values
	allowed []string // methods of the nodes that match the path but not the method
}

// descend reports whether a node below matches the remaining segments and the method.
func (s *search[H]) descend(at *node[H], segments []string, pairs []pair) bool {
	if len(segments) == 0 {
		return s.finish(at, pairs)
	}
	segment, ok := decode(segments[0])
	if !ok {
		return false
	}
	if next := at.literals[segment]; next != nil && s.descend(next, segments[1:], pairs) {
		return true
	}
	if at.named == nil {
		return false
	}
	return s.descend(at.named, segments[1:], append(pairs, pair{name: at.name, value: segment}))
}

// finish looks up the method at a node that matches the whole path.
func (s *search[H]) finish(at *node[H], pairs []pair) bool {
	handler, ok := at.methods[s.method]
	if !ok {
		for method := range at.methods {
			s.allowed = append(s.allowed, method)
		}
		return false
	}
	s.handler, s.values = handler, Values{pairs: pairs}
	return true
}

// split returns the segments of a path. The path / has none.
func split(path string) ([]string, bool) {
	rest, ok := strings.CutPrefix(path, "/")
	if !ok {
		return nil, false
	}
	if rest == "" {
		return nil, true
	}
	return strings.Split(rest, "/"), true
}

// decode unescapes a segment. It returns false for an invalid or empty segment.
func decode(segment string) (string, bool) {
	text, err := url.PathUnescape(segment)
	return text, err == nil && text != ""
}

// nameOf returns the name in a segment such as {node}.
func nameOf(segment string) (string, bool) {
	rest, opened := strings.CutPrefix(segment, "{")
	name, closed := strings.CutSuffix(rest, "}")
	return name, opened && closed
}
