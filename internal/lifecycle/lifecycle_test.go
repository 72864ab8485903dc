package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestPhases(t *testing.T) {
	var n Node
	assert.Equal(t, Starting, n.Phase())
	assert.NoError(t, n.Resume(start), "resume without drain changes nothing")
	assert.Equal(t, Starting, n.Phase())
	assert.NoError(t, n.Drain(start))
	n.Begin(at(1))
	assert.Equal(t, Draining, n.Phase(), "a start does not undo a drain")
	assert.NoError(t, n.Drain(at(time.Second)))
	assert.False(t, n.Takes(at(drainTakes)), "the first call counts, not the second")
	assert.NoError(t, n.Resume(at(time.Second)))
	assert.Equal(t, Serving, n.Phase())
	assert.True(t, n.Takes(at(time.Hour)))
	assert.False(t, n.Leaving())
	assert.NoError(t, n.Drain(at(time.Minute)))
	n.Stop(at(2 * time.Minute))
	assert.Equal(t, Stopping, n.Phase(), "SIGTERM goes before a drain")
	assert.ErrorIs(t, n.Drain(at(3*time.Minute)), ErrStopping)
	assert.ErrorIs(t, n.Resume(at(3*time.Minute)), ErrStopping)
	assert.True(t, n.Takes(at(2*time.Minute+stopTakes-1)))
	assert.False(t, n.Takes(at(2*time.Minute+stopTakes)), "its answer would come after the process may be killed")
}

// Idle sessions end in even steps: none before the front has stopped dealing out
// connections, all by the time that each must be gone.
func TestIdleSessionsEndInEvenSteps(t *testing.T) {
	for _, idle := range []int{1, 7, 100, 5000} {
		var n Node
		n.Begin(start)
		assert.Zero(t, n.End(start, idle))
		n.Drain(start)
		left, most := idle, 0
		for d := time.Duration(0); d <= drainUntil; d += 20 * time.Millisecond {
			due := n.End(at(d), left)
			if d <= drainFrom {
				assert.Zero(t, due, d)
			}
			left -= due
			most = max(most, due)
		}
		assert.Zero(t, left)
		assert.LessOrEqual(t, most, idle*20/1000+2, "of %d", idle)
		assert.Equal(t, 3, n.End(at(drainUntil+time.Second), 3), "one that comes late goes at once")
	}
}
