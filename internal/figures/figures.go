// Package figures keeps what a node tells its operators of its work, and gives each
// figure the name that they know it by. It must not know who counts or who asks.
package figures

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Outcome is how a request ended.
type Outcome uint8

// The ends of a request.
const (
	Served Outcome = iota
	Rejected
	Failed
	outcomeCount
)

// prefix and the names below are the operators'. They stand here only.
const prefix = "svc."

var outcomeNames = [outcomeCount]string{"fulfilled", "throttled", "faulted"}

// BackendCounts is what the node knows of the list of backends.
type BackendCounts struct {
	Listed        int // backends in the list
	OutOfRotation int // of these, the node sends nothing to now
}

// Set holds a process's figures, from its start. It is safe for concurrent use.
type Set struct {
	classes      []string // in the order of the settings
	index        map[string]int
	outcomes     [][outcomeCount]atomic.Uint64
	attempts     atomic.Uint64
	openRequests atomic.Int64
	backends     atomic.Pointer[BackendCounts]
}

// New returns a Set in which each class stands at 0.
func New(classes []string) *Set {
	s := &Set{classes: classes, index: map[string]int{}, outcomes: make([][outcomeCount]atomic.Uint64, len(classes))}
	for i, c := range classes {
		s.index[c] = i
	}
	s.backends.Store(&BackendCounts{})
	return s
}

// CountRequest counts a request of a class whose last byte is written.
func (s *Set) CountRequest(class string, k Outcome) {
	if i, ok := s.index[class]; ok {
		s.outcomes[i][k].Add(1)
	}
}

// CountAttempt counts an attempt whose last byte is written to a backend.
func (s *Set) CountAttempt() { s.attempts.Add(1) }

// AddOpen counts a request that is taken, with 1, and at its end with -1. It returns how
// many are open.
func (s *Set) AddOpen(by int64) int64 { return s.openRequests.Add(by) }

// SetBackendCounts publishes what is known of the list.
func (s *Set) SetBackendCounts(r BackendCounts) { s.backends.Store(&r) }

// Print writes a line a figure.
func (s *Set) Print(w io.Writer) {
	for i, c := range s.classes {
		for k, name := range outcomeNames {
			fmt.Fprintf(w, "%s%s.%s=%d\n", prefix, name, c, s.outcomes[i][k].Load())
		}
	}
	r := s.backends.Load()
	fmt.Fprintf(w, "%srelayed=%d\n", prefix, s.attempts.Load())
	fmt.Fprintf(w, "%sopen_requests=%d\n", prefix, s.openRequests.Load())
	fmt.Fprintf(w, "%sregistry_entries=%d\n", prefix, r.Listed)
	fmt.Fprintf(w, "%sout_of_rotation=%d\n", prefix, r.OutOfRotation)
}
