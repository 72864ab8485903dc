package virtualclock

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Events must run in the order of their times, and in the order of scheduling at equal times.
func TestEventsRunInTimeOrder(t *testing.T) {
	c := NewClock(1, 2, 100)
	var ran []string
	note := func(name string) func() { return func() { ran = append(ran, name) } }
	c.After(2*time.Second, note("late"))
	c.After(time.Second, note("first"))
	c.After(time.Second, func() { c.After(0, note("then")) })
	c.After(time.Second, note("second"))
	assert.Assert(t, !c.Run(time.Second, func() bool { return false }))
	assert.DeepEqual(t, ran, []string{"first", "second", "then"})
	assert.Equal(t, c.Now, time.Second)
	assert.Assert(t, c.Run(time.Minute, func() bool { return slices.Contains(ran, "late") }))
	assert.Equal(t, c.Now, 2*time.Second)
}

// The same seed must give the same run, and another seed a different one.
func TestRunIsDeterminedBySeed(t *testing.T) {
	play := func(seed uint64) (times []time.Duration) {
		c := NewClock(seed, 2, 1000)
		c.Every(time.Millisecond, time.Second, func() { times = append(times, c.Now) })
		c.Run(20*time.Second, func() bool { return false })
		return times
	}
	assert.DeepEqual(t, play(3), play(3))
	assert.Assert(t, !slices.Equal(play(3), play(4)))
}

// A run must end at the first failure, and later failures must not replace it.
func TestRunEndsWithFirstFailure(t *testing.T) {
	c := NewClock(7, 2, 5)
	c.Describe = func() string { return "all over" }
	c.Every(time.Second, time.Second, func() {})
	assert.Assert(t, !c.Run(time.Hour, func() bool { return false }))
	assert.Error(t, c.Failure, "seed 7 at 6s: more than 5 events: all over")
	c.Fail("later")
	assert.Error(t, c.Failure, "seed 7 at 6s: more than 5 events: all over")
}
