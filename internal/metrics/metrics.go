// Package metrics holds the counters and gauges that a node reports to its operators, under the
// names that they use. It must not know who counts or who reads.
package metrics

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Outcome is how a request ended.
type Outcome uint8

// The outcomes of a request.
const (
	Served Outcome = iota
	Rejected
	Failed
	outcomeCount
)

// prefix and the names below are the operators' names. They appear only in this file.
const prefix = "svc."

var outcomeNames = [outcomeCount]string{"fulfilled", "throttled", "faulted"}

// BackendCounts are the numbers of backends that the node knows.
type BackendCounts struct {
	Listed        int // in the registry's list
	OutOfRotation int // of these, backends to which the node sends nothing now
}

// Set holds the metrics of a process since its start. It is safe for concurrent use.
type Set struct {
	classes      []string // in the order of the configuration
	index        map[string]int
	outcomes     [][outcomeCount]atomic.Uint64
	attempts     atomic.Uint64
	openRequests atomic.Int64
	backends     atomic.Pointer[BackendCounts]
}

// New returns a Set in which all counts are 0.
func New(classes []string) *Set {
	s := &Set{classes: classes, index: map[string]int{}, outcomes: make([][outcomeCount]atomic.Uint64, len(classes))}
	for i, c := range classes {
		s.index[c] = i
	}
	s.backends.Store(&BackendCounts{})
	return s
}

// CountRequest counts a request of a class after its last byte was written.
func (s *Set) CountRequest(class string, k Outcome) {
	if i, ok := s.index[class]; ok {
		s.outcomes[i][k].Add(1)
	}
}

// CountAttempt counts an attempt after its last byte was written to a backend.
func (s *Set) CountAttempt() { s.attempts.Add(1) }

// AddOpen adds 1 to the number of open requests when one is accepted, and -1 at its end. It
// returns the new number.
func (s *Set) AddOpen(by int64) int64 { return s.openRequests.Add(by) }

// SetBackendCounts replaces the backend counts.
func (s *Set) SetBackendCounts(r BackendCounts) { s.backends.Store(&r) }

// Print writes one line per metric.
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
