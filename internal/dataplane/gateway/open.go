package gateway

import (
	"container/list"
	"sync"
	"time"
)

// openRequests counts the requests that are open at a node and knows the oldest of them.
type openRequests struct {
	limit int

	mu       sync.Mutex
	arrivals list.List // of time.Time, the oldest first
}

// begin records a request that arrives, unless the limit is reached. The caller calls end when the
// request has its answer.
func (o *openRequests) begin(now time.Time) (end func(), ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.arrivals.Len() >= o.limit {
		return nil, false
	}
	place := o.arrivals.PushBack(now)
	return func() { o.end(place) }, true
}

func (o *openRequests) end(place *list.Element) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.arrivals.Remove(place)
}

// oldest returns for how long the oldest open request has been open, 0 if there is none.
func (o *openRequests) oldest(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	first := o.arrivals.Front()
	if first == nil {
		return 0
	}
	return now.Sub(first.Value.(time.Time))
}
