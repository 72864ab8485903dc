// Package counters counts what a node takes in, sends and answers.
package counters

import (
	"fmt"
	"io"
	"sort"
	"sync"
)

// Set holds named counts. It is safe for concurrent use.
type Set struct {
	mu sync.Mutex
	n  map[string]uint64
}

// New returns a Set without counts.
func New() *Set { return &Set{n: map[string]uint64{}} }

// Add raises the count of name by one.
func (s *Set) Add(name string) {
	s.mu.Lock()
	s.n[name]++
	s.mu.Unlock()
}

// Print writes one line a count, in the order of their names.
func (s *Set) Print(w io.Writer) {
	s.mu.Lock()
	lines := make([]string, 0, len(s.n))
	for name, n := range s.n {
		lines = append(lines, fmt.Sprintf("counter %s %d\n", name, n))
	}
	s.mu.Unlock()
	sort.Strings(lines)
	for _, l := range lines {
		io.WriteString(w, l)
	}
}
