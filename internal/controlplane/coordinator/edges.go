package coordinator

import (
	"slices"
	"sync"
	"time"
)

// edgeTimeout is how long after its last call an edge still counts as following this node. Calls stay open
// for up to 0.9 s and are repeated at once.
const edgeTimeout = 3 * time.Second

// edgeRegistry knows the edges that follow this node. The zero value knows none.
type edgeRegistry struct {
	mu       sync.Mutex
	calledAt map[string]time.Time // time of the last call, by name
}

// record records a call of an edge.
func (r *edgeRegistry) record(name string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calledAt == nil {
		r.calledAt = map[string]time.Time{}
	}
	r.calledAt[name] = now
}

// names returns the edges that have called recently, sorted by name, and forgets the others.
func (r *edgeRegistry) names(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name, calledAt := range r.calledAt {
		if now.Sub(calledAt) > edgeTimeout {
			delete(r.calledAt, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
