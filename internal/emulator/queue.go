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

func (q *eventQueue) push(at time.Duration, rank uint64, n *node, do func()) {
	q.sequence++
	e := event{at, rank | q.sequence, do, n}
	h := append(q.heap, e)
	i := len(h) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&h[up]) {
			break
		}
		h[i] = h[up]
		i = up
	}
	h[i] = e
	q.heap = h
}

func (q *eventQueue) pop() event {
	h := q.heap
	top, last := h[0], h[len(h)-1]
	h[len(h)-1] = event{}
	h = h[:len(h)-1]
	q.heap = h
	if len(h) == 0 {
		return top
	}
	i := 0
	for {
		first := 4*i + 1
		if first >= len(h) {
			break
		}
		least := first
		for c := first + 1; c < min(first+4, len(h)); c++ {
			if h[c].before(&h[least]) {
				least = c
			}
		}
		if !h[least].before(&last) {
			break
		}
		h[i] = h[least]
		i = least
	}
	h[i] = last
	return top
}
