// Package virtualclock provides the virtual clock of the control plane's simulations: an event queue,
// random draws from one seed, and the first failure. It is for tests only.
package virtualclock

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// Clock runs events in the order of their times. A run is determined by its seed.
type Clock struct {
	Seed    uint64
	Random  *rand.Rand
	Now     time.Duration
	Failure error // the first failure

	// MaxEvents bounds the number of events. A simulation that exceeds it does not terminate.
	MaxEvents int
	// Describe returns the simulation's state for failure messages. It may be nil.
	Describe func() string

	events int
	order  uint64
	queue  eventQueue
}

// NewClock returns a Clock at time 0. Different kinds of simulations use different streams, so that
// the same seed gives them different draws.
func NewClock(seed, stream uint64, most int) *Clock {
	return &Clock{Seed: seed, Random: rand.New(rand.NewPCG(seed, stream)), MaxEvents: most}
}

// Fail records a failure. Only the first one is kept.
func (c *Clock) Fail(format string, arguments ...any) {
	if c.Failure == nil {
		c.Failure = fmt.Errorf("seed %d at %v: %s", c.Seed, c.Now, fmt.Sprintf(format, arguments...))
	}
}

// After schedules run after a delay.
func (c *Clock) After(delay time.Duration, run func()) {
	c.order++
	heap.Push(&c.queue, event{c.Now + delay, c.order, run})
}

// Every calls run repeatedly at random intervals.
func (c *Clock) Every(shortest, longest time.Duration, run func()) {
	c.After(c.Between(shortest, longest), func() {
		run()
		c.Every(shortest, longest, run)
	})
}

// Between draws a duration between shortest and longest, both included.
func (c *Clock) Between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(c.Random.Int64N(int64(longest-shortest)+1))
}

// Chance returns true with the given probability.
func (c *Clock) Chance(probability float64) bool { return c.Random.Float64() < probability }

// Run runs events until the given time, until a failure, or until done returns true. It reports
// whether done returned true without a failure.
func (c *Clock) Run(until time.Duration, done func() bool) bool {
	for len(c.queue) > 0 && c.queue[0].at <= until && c.Failure == nil {
		next := heap.Pop(&c.queue).(event)
		c.Now = next.at
		next.run()
		if c.events++; c.events > c.MaxEvents {
			c.Fail("more than %d events: %s", c.MaxEvents, c.describe())
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
