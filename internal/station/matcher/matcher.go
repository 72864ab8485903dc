// Package matcher finds the handler of an HTTP call by its method and path. Its tree
// has a node for each segment of a path, which matches a literal text or any one
// segment by name, and each node has the handlers of its methods. It knows nothing of
// connections: what a handler is, the caller says.
package matcher

import (
	"net/url"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Failures of Match.
var (
	// ErrNotFound says that no pattern has the path: status 404.
	ErrNotFound = errors.New("no such path")
	// ErrMethod says that the path exists, but not with the method: status 405.
	ErrMethod = errors.New("method not allowed")
)

// ErrPattern is found in each failure of Add.
var ErrPattern = errors.New("pattern cannot be added")

// MethodError is an ErrMethod with the methods that the path has.
type MethodError struct {
	Allowed []string // in order of the alphabet
}

// Error gives the allowed methods.
func (e *MethodError) Error() string {
	return ErrMethod.Error() + ", allowed: " + strings.Join(e.Allowed, ", ")
}

// Is makes it an ErrMethod.
func (e *MethodError) Is(target error) bool { return target == ErrMethod }

// Values are the named segments of a path.
type Values struct {
	pairs []pair
}

type pair struct{ name, value string }

// Get returns the value of a name, decoded, or nothing where the pattern has no such name.
func (v Values) Get(name string) string {
	for _, pair := range v.pairs {
		if pair.name == name {
			return pair.value
		}
	}
	return ""
}

// Tree holds handlers of type H. The zero Tree is empty and ready for Add; once all is
// added, any number of goroutines may call Match.
type Tree[H any] struct {
	root node[H]
}

// node stands for the path down to one segment.
type node[H any] struct {
	literals map[string]*node[H]
	named    *node[H] // matches each segment that is no literal's, nil: none
	name     string   // of named
	methods  map[string]H
}

// Add puts a handler under a method and a pattern such as /api/Retire.Show/{node}. It
// fails with ErrPattern where the pattern is malformed, is there already with the
// method, or names a segment otherwise than another pattern does.
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
	if _, taken := at.methods[method]; taken {
		return errors.Wrapf(ErrPattern, "%s %s: is there already", method, pattern)
	}
	if at.methods == nil {
		at.methods = make(map[string]H)
	}
	at.methods[method] = handler
	return nil
}

// child returns the node of a pattern's segment, which is made where it is not there.
func (n *node[H]) child(segment string) (*node[H], error) {
	name, isNamed := nameOf(segment)
	switch {
	case segment == "" || isNamed && name == "":
		return nil, errors.Wrap(ErrPattern, "empty segment")
	case isNamed && n.named != nil && n.name != name:
		return nil, errors.Wrapf(ErrPattern, "segment %q is named %q already", name, n.name)
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

// Match returns the handler of a call and the values of the pattern's names. The path
// is in its escaped form and without query. A literal goes before a name. Its failures
// are ErrNotFound and *MethodError.
func (t *Tree[H]) Match(method, path string) (H, Values, error) {
	search := search[H]{method: method}
	segments, ok := split(path)
	if ok && search.down(&t.root, segments, nil) {
		return search.handler, search.values, nil
	}
	var none H
	if len(search.allowed) == 0 {
		return none, Values{}, ErrNotFound
	}
	slices.Sort(search.allowed)
	return none, Values{}, &MethodError{Allowed: slices.Compact(search.allowed)}
}

// search is one walk down the tree.
type search[H any] struct {
	method  string
	handler H
	values  Values
	allowed []string // methods of the nodes that had the path, but not the method
}

// down tells whether a node below has the rest of the path with the method.
func (s *search[H]) down(at *node[H], segments []string, pairs []pair) bool {
	if len(segments) == 0 {
		return s.take(at, pairs)
	}
	segment, ok := decode(segments[0])
	if !ok {
		return false
	}
	if next := at.literals[segment]; next != nil && s.down(next, segments[1:], pairs) {
		return true
	}
	if at.named == nil {
		return false
	}
	return s.down(at.named, segments[1:], append(pairs, pair{name: at.name, value: segment}))
}

// take ends the walk at a node that has the whole path.
func (s *search[H]) take(at *node[H], pairs []pair) bool {
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

// split gives the segments of a path; the path / has none.
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

// decode undoes a segment's escapes. An empty segment matches nothing.
func decode(segment string) (string, bool) {
	text, err := url.PathUnescape(segment)
	return text, err == nil && text != ""
}

// nameOf returns the name of a segment such as {node}.
func nameOf(segment string) (string, bool) {
	rest, opened := strings.CutPrefix(segment, "{")
	name, closed := strings.CutSuffix(rest, "}")
	return name, opened && closed
}
