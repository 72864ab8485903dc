// Package figures keeps what a node tells its operators of its work, and gives each
// figure the name that they know it by. It must not know who counts or who asks.
package figures

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Kind is how a request ended.
type Kind uint8

// The ends of a request.
const (
	Served Kind = iota
	Refused
	Failed
	kinds
)

// prefix and the names below are the operators'. They stand here only.
const prefix = "svc."

var kindNames = [kinds]string{"fulfilled", "throttled", "faulted"}

// Registry is what the node knows of the list of backends.
type Registry struct {
	Listed  int // backends in the list
	Avoided int // of these, the node sends nothing to now
}

// Set holds a process's figures, from its start. It is safe for concurrent use.
type Set struct {
	classes  []string // in the order of the settings
	index    map[string]int
	ends     [][kinds]atomic.Uint64
	relayed  atomic.Uint64
	open     atomic.Int64
	registry atomic.Pointer[Registry]
}

// New returns a Set in which each class stands at 0.
func New(classes []string) *Set {
	s := &Set{classes: classes, index: map[string]int{}, ends: make([][kinds]atomic.Uint64, len(classes))}
	for i, c := range classes {
		s.index[c] = i
	}
	s.registry.Store(&Registry{})
	return s
}

// Ended counts a request of a class whose last byte is written.
func (s *Set) Ended(class string, k Kind) {
	if i, ok := s.index[class]; ok {
		s.ends[i][k].Add(1)
	}
}

// Relayed counts an attempt whose last byte is written to a backend.
func (s *Set) Relayed() { s.relayed.Add(1) }

// Open counts a request that is taken, with 1, and at its end with -1. It returns how
// many are open.
func (s *Set) Open(by int64) int64 { return s.open.Add(by) }

// Know publishes what is known of the list.
func (s *Set) Know(r Registry) { s.registry.Store(&r) }

// Print writes a line a figure.
func (s *Set) Print(w io.Writer) {
	for i, c := range s.classes {
		for k, name := range kindNames {
			fmt.Fprintf(w, "%s%s.%s=%d\n", prefix, name, c, s.ends[i][k].Load())
		}
	}
	r := s.registry.Load()
	fmt.Fprintf(w, "%srelayed=%d\n", prefix, s.relayed.Load())
	fmt.Fprintf(w, "%sopen_requests=%d\n", prefix, s.open.Load())
	fmt.Fprintf(w, "%sregistry_entries=%d\n", prefix, r.Listed)
	fmt.Fprintf(w, "%sout_of_rotation=%d\n", prefix, r.Avoided)
}
