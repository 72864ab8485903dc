package emulator

import "time"

// event is something that happens at an instant. Events of the same instant run by rank, then in
// the order in which they were scheduled.
type event struct {
	at    time.Duration
	order uint64 // 1 bit rank, 63 bits sequence number
	run   func()
	node  *node // of a node's event: it changes nothing outside the node except by effects
}

// afterOthers is the rank of an event that runs after all others of its instant. Timers fire
// after the input of the same instant has been handled, as in a real node.
const afterOthers = 1 << 63

// eventQueue is a 4-ary heap of events. It is flatter than a binary heap and thus faster when
// most events are scheduled near the front.
type eventQueue struct {
	heap     []event
	sequence uint64
}

func (e *event) before(o *event) bool {
	return e.at < o.at || e.at == o.at && e.order < o.order
}

func (q *eventQueue) push(at time.Duration, rank uint64, n *node, run func()) {
	q.sequence++
	e := event{at, rank | q.sequence, run, n}
	heap := append(q.heap, e)
	i := len(heap) - 1
	for i > 0 {
		parent := (i - 1) / 4
		if !e.before(&heap[parent]) {
			break
		}
		heap[i] = heap[parent]
		i = parent
	}
	heap[i] = e
	q.heap = heap
}

func (q *eventQueue) pop() event {
	heap := q.heap
	top, last := heap[0], heap[len(heap)-1]
	heap[len(heap)-1] = event{}
	heap = heap[:len(heap)-1]
	q.heap = heap
	if len(heap) == 0 {
		return top
	}
	i := 0
	for {
		first := 4*i + 1
		if first >= len(heap) {
			break
		}
		smallest := first
		for c := first + 1; c < min(first+4, len(heap)); c++ {
			if heap[c].before(&heap[smallest]) {
				smallest = c
			}
		}
		if !heap[smallest].before(&last) {
			break
		}
		heap[i] = heap[smallest]
		i = smallest
	}
	heap[i] = last
	return top
}
