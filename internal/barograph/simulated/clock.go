// Package simulated is what simulations of the control plane have in common: events on a virtual
// clock, drawn from one seed, and the first thing that went wrong. It is for tests only.
package simulated

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// Clock runs events in the order of their times. What a run does follows from its seed alone.
type Clock struct {
	Seed    uint64
	Random  *rand.Rand
	Now     time.Duration
	Failure error // the first thing that went wrong

	// MaxEvents is how many events there may be: a simulation with more never comes to rest.
	MaxEvents int
	// Describe tells of the simulation's state, for failures; nil: nothing.
	Describe func() string

	events int
	order  uint64
	queue  eventQueue
}

// NewClock returns a Clock at time 0. Stream tells simulations of one seed apart.
func NewClock(seed, stream uint64, most int) *Clock {
	return &Clock{Seed: seed, Random: rand.New(rand.NewPCG(seed, stream)), MaxEvents: most}
}

// Fail notes the first thing that went wrong.
func (c *Clock) Fail(format string, arguments ...any) {
	if c.Failure == nil {
		c.Failure = fmt.Errorf("seed %d at %v: %s", c.Seed, c.Now, fmt.Sprintf(format, arguments...))
	}
}

// After runs something later.
func (c *Clock) After(delay time.Duration, run func()) {
	c.order++
	heap.Push(&c.queue, event{c.Now + delay, c.order, run})
}

// Every runs something again and again, at intervals by lot.
func (c *Clock) Every(shortest, longest time.Duration, run func()) {
	c.After(c.Between(shortest, longest), func() {
		run()
		c.Every(shortest, longest, run)
	})
}

// Between draws a time.
func (c *Clock) Between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(c.Random.Int64N(int64(longest-shortest)+1))
}

// Chance is true with a probability.
func (c *Clock) Chance(probability float64) bool { return c.Random.Float64() < probability }

// Run handles events until a time, a failure, or until done says so: it returns what done said.
func (c *Clock) Run(until time.Duration, done func() bool) bool {
	for len(c.queue) > 0 && c.queue[0].at <= until && c.Failure == nil {
		next := heap.Pop(&c.queue).(event)
		c.Now = next.at
		next.run()
		if c.events++; c.events > c.MaxEvents {
			c.Fail("does not come to rest: %s", c.describe())
		}
		if done() {
			return c.Failure == nil
		}
	}
	c.Now = until
	return false
}

func (c *Clock) describe() string {
	if c.Describe == nil {
		return ""
	}
	return c.Describe()
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return popped
}
