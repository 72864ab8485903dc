package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestPhases(t *testing.T) {
	n := New(NodeTiming)
	assert.Equal(t, Starting, n.Phase())
	assert.NoError(t, n.Resume(start), "resume without drain changes nothing")
	assert.Equal(t, Starting, n.Phase())
	assert.NoError(t, n.Drain(start))
	n.Begin(at(1))
	assert.Equal(t, Draining, n.Phase(), "a start does not undo a drain")
	assert.NoError(t, n.Drain(at(time.Second)))
	assert.False(t, n.Takes(at(NodeTiming.Drain.Takes)), "the first call counts, not the second")
	assert.NoError(t, n.Resume(at(time.Second)))
	assert.Equal(t, Serving, n.Phase())
	assert.True(t, n.Takes(at(time.Hour)))
	assert.False(t, n.Leaving())
	assert.NoError(t, n.Drain(at(time.Minute)))
	n.Stop(at(2 * time.Minute))
	assert.Equal(t, Stopping, n.Phase(), "SIGTERM goes before a drain")
	assert.ErrorIs(t, n.Drain(at(3*time.Minute)), ErrStopping)
	assert.ErrorIs(t, n.Resume(at(3*time.Minute)), ErrStopping)
	assert.True(t, n.Takes(at(2*time.Minute+NodeTiming.Stop.Takes-1)))
	assert.False(t, n.Takes(at(2*time.Minute+NodeTiming.Stop.Takes)), "its answer would come after the process may be killed")
}

// Idle sessions end in even steps: none before the front has stopped dealing out
// connections, all by the time that each must be gone.
func TestIdleSessionsEndInEvenSteps(t *testing.T) {
	for _, idle := range []int{1, 7, 100, 5000} {
		n := New(NodeTiming)
		n.Begin(start)
		assert.Zero(t, n.End(start, idle))
		n.Drain(start)
		left, most := idle, 0
		for d := time.Duration(0); d <= NodeTiming.Drain.Until; d += 20 * time.Millisecond {
			due := n.End(at(d), left)
			if d <= NodeTiming.Drain.From {
				assert.Zero(t, due, d)
			}
			left -= due
			most = max(most, due)
		}
		assert.Zero(t, left)
		assert.LessOrEqual(t, most, idle*20/1000+2, "of %d", idle)
		assert.Equal(t, 3, n.End(at(NodeTiming.Drain.Until+time.Second), 3), "one that comes late goes at once")
	}
}

// A machine behind a balancer says no at once, is dealt connections until the balancer has
// missed it twice, and lets sessions live until then.
func TestTierTiming(t *testing.T) {
	const twoMisses = 2 * time.Second
	assert.Greater(t, TierTiming.StayOpen, twoMisses)
	for name, leave := range map[string]func(*Node, time.Time){
		"stop":  (*Node).Stop,
		"drain": func(n *Node, now time.Time) { assert.NoError(t, n.Drain(now)) },
	} {
		n := New(TierTiming)
		n.Begin(start)
		assert.False(t, n.Closes(start), name)
		leave(n, start)
		assert.NotEqual(t, Serving, n.Phase(), name)
		assert.False(t, n.Closes(at(2200*time.Millisecond-1)), name)
		assert.True(t, n.Closes(at(2200*time.Millisecond)), name)
		assert.True(t, n.Takes(at(time.Hour)), "requests are taken as long as they come")
		assert.Zero(t, n.End(at(2200*time.Millisecond), 100), name)
		assert.Equal(t, 50, n.End(at(2500*time.Millisecond), 100), name)
		assert.Equal(t, 50, n.End(at(2800*time.Millisecond), 50), name)
	}
}

// A node's answers end their sessions from the call on.
func TestNodeTimingCloses(t *testing.T) {
	n := New(NodeTiming)
	n.Begin(start)
	assert.False(t, n.Closes(at(time.Hour)))
	assert.NoError(t, n.Drain(start))
	assert.True(t, n.Closes(start))
	n.Stop(at(time.Second))
	assert.True(t, n.Closes(at(time.Second)))
	assert.Equal(t, 500*time.Millisecond, NodeTiming.StayOpen)
}
