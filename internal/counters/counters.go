// Package counters counts the events of a node by name.
package counters

import (
	"fmt"
	"io"
	"sort"
	"sync"
)

// Set holds named counters. It is safe for concurrent use.
type Set struct {
	mu     sync.Mutex
	counts map[string]uint64
}

// New returns an empty Set.
func New() *Set { return &Set{counts: map[string]uint64{}} }

// Add increments the counter of a name.
func (s *Set) Add(name string) {
	s.mu.Lock()
	s.counts[name]++
	s.mu.Unlock()
}

// Print writes one line per counter, sorted by name.
func (s *Set) Print(w io.Writer) {
	s.mu.Lock()
	lines := make([]string, 0, len(s.counts))
	for name, n := range s.counts {
		lines = append(lines, fmt.Sprintf("counter %s %d\n", name, n))
	}
	s.mu.Unlock()
	sort.Strings(lines)
	for _, l := range lines {
		io.WriteString(w, l)
	}
}
