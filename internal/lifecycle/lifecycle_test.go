package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestPhaseTransitions(t *testing.T) {
	n := New(NodeTiming)
	assert.Equal(t, Starting, n.Phase())
	assert.NoError(t, n.Resume(start), "resuming without a drain must change nothing")
	assert.Equal(t, Starting, n.Phase())
	assert.NoError(t, n.Drain(start))
	n.StartServing(at(1))
	assert.Equal(t, Draining, n.Phase(), "a start must not end a drain")
	assert.NoError(t, n.Drain(at(time.Second)))
	assert.False(t, n.AcceptsRequest(at(NodeTiming.Drain.AcceptUntil)), "the second call must not restart the schedule")
	assert.NoError(t, n.Resume(at(time.Second)))
	assert.Equal(t, Serving, n.Phase())
	assert.True(t, n.AcceptsRequest(at(time.Hour)))
	assert.False(t, n.IsDraining())
	assert.NoError(t, n.Drain(at(time.Minute)))
	n.Stop(at(2 * time.Minute))
	assert.Equal(t, Stopping, n.Phase(), "a stop must override a drain")
	assert.ErrorIs(t, n.Drain(at(3*time.Minute)), ErrStopping)
	assert.ErrorIs(t, n.Resume(at(3*time.Minute)), ErrStopping)
	assert.True(t, n.AcceptsRequest(at(2*time.Minute+NodeTiming.Stop.AcceptUntil-1)))
	assert.False(t, n.AcceptsRequest(at(2*time.Minute+NodeTiming.Stop.AcceptUntil)), "the response would come after the process may be killed")
}

// Idle sessions must close evenly: none before the frontend has stopped sending connections,
// all by the end of the schedule, and no burst between.
func TestIdleSessionsCloseEvenly(t *testing.T) {
	for _, idle := range []int{1, 7, 100, 5000} {
		n := New(NodeTiming)
		n.StartServing(start)
		assert.Zero(t, n.IdleSessionsToClose(start, idle))
		n.Drain(start)
		left, most := idle, 0
		for d := time.Duration(0); d <= NodeTiming.Drain.CloseIdleUntil; d += 20 * time.Millisecond {
			due := n.IdleSessionsToClose(at(d), left)
			if d <= NodeTiming.Drain.CloseIdleFrom {
				assert.Zero(t, due, d)
			}
			left -= due
			most = max(most, due)
		}
		assert.Zero(t, left)
		assert.LessOrEqual(t, most, idle*20/1000+2, "of %d", idle)
		assert.Equal(t, 3, n.IdleSessionsToClose(at(NodeTiming.Drain.CloseIdleUntil+time.Second), 3), "a late idle session must close at once")
	}
}

// A machine behind a balancer must report "not ready" at once, and keep accepting connections
// and sessions until the balancer has missed it twice.
func TestTierTimingServesUntilBalancerStops(t *testing.T) {
	const twoMisses = 2 * time.Second
	assert.Greater(t, TierTiming.ListenFor, twoMisses)
	for name, startDrain := range map[string]func(*StateMachine, time.Time){
		"stop":  (*StateMachine).Stop,
		"drain": func(n *StateMachine, now time.Time) { assert.NoError(t, n.Drain(now)) },
	} {
		n := New(TierTiming)
		n.StartServing(start)
		assert.False(t, n.ClosesSession(start), name)
		startDrain(n, start)
		assert.NotEqual(t, Serving, n.Phase(), name)
		assert.False(t, n.ClosesSession(at(2200*time.Millisecond-1)), name)
		assert.True(t, n.ClosesSession(at(2200*time.Millisecond)), name)
		assert.True(t, n.AcceptsRequest(at(time.Hour)), "requests must be accepted as long as they arrive")
		assert.Zero(t, n.IdleSessionsToClose(at(2200*time.Millisecond), 100), name)
		assert.Equal(t, 50, n.IdleSessionsToClose(at(2500*time.Millisecond), 100), name)
		assert.Equal(t, 50, n.IdleSessionsToClose(at(2800*time.Millisecond), 50), name)
	}
}

// Responses of a node must close their sessions from the start of a drain or stop.
func TestNodeTimingClosesSessionsAtOnce(t *testing.T) {
	n := New(NodeTiming)
	n.StartServing(start)
	assert.False(t, n.ClosesSession(at(time.Hour)))
	assert.NoError(t, n.Drain(start))
	assert.True(t, n.ClosesSession(start))
	n.Stop(at(time.Second))
	assert.True(t, n.ClosesSession(at(time.Second)))
	assert.Equal(t, 500*time.Millisecond, NodeTiming.ListenFor)
}
