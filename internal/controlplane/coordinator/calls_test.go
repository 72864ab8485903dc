package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/tier/protocol"
)

// watch calls Watch with a state for which nothing newer exists, and returns the reply and how
// long the call took.
func watch(t *testing.T, c *Coordinator, args protocol.WatchArgs) (protocol.WatchReply, time.Duration) {
	t.Helper()
	directory := c.Directory()
	args.Revision, args.Directory = c.revision(), directory.Version
	for partition := range args.Services {
		args.Services[partition] = 1 << 40
	}
	var reply protocol.WatchReply
	started := time.Now()
	assert.NilError(t, (&controlService{c}).Watch(&args, &reply))
	return reply, time.Since(started)
}

// Without a leader a core node cannot vouch that nothing is newer, and must say so at once.
func TestNodeWithoutLeaderDoesNotVouch(t *testing.T) {
	c := newSingleNode(t, false)
	reply, elapsed := watch(t, c, protocol.WatchArgs{Wait: testTimeout})
	assert.Assert(t, !reply.Vouched && elapsed < testTimeout/2, "%+v after %v", reply, elapsed)
	reply, elapsed = watch(t, c, protocol.WatchArgs{Patient: true, Wait: 20 * time.Millisecond})
	assert.Assert(t, !reply.Vouched && elapsed >= 20*time.Millisecond, "%+v after %v", reply, elapsed)
	reply, _ = watch(t, c, protocol.WatchArgs{Confirmed: true, Wait: 20 * time.Millisecond})
	assert.Assert(t, !reply.Vouched && !reply.Confirmed)
}

func TestLeaderVouchesForItsState(t *testing.T) {
	c := newSingleNode(t, true)
	reply, elapsed := watch(t, c, protocol.WatchArgs{Wait: 20 * time.Millisecond})
	assert.Assert(t, reply.Vouched && reply.Age <= c.staleAfter && elapsed >= 20*time.Millisecond, "%+v after %v", reply, elapsed)
	assert.Assert(t, reply.Held <= elapsed)
	reply, elapsed = watch(t, c, protocol.WatchArgs{Patient: true, Wait: testTimeout})
	assert.Assert(t, reply.Vouched && elapsed < testTimeout/2, "a patient call must return once the node can vouch")
}

func TestStaleAfterFollowsFromTheConfigApplyBound(t *testing.T) {
	for configApply, want := range map[time.Duration]time.Duration{
		0: time.Second, 2 * time.Second: time.Second, 2500 * time.Millisecond: 1250 * time.Millisecond,
		100 * time.Millisecond: minStaleAfter, 16 * time.Second: maxStaleAfter,
	} {
		assert.Equal(t, StaleAfter(configApply), want)
	}
}
