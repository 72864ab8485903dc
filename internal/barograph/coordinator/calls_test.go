package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pipitmux/internal/station/protocol"
)

// watch asks a core node for news that there are none of, and returns how long that took.
func watch(t *testing.T, c *Coordinator, args protocol.WatchArgs) (protocol.WatchReply, time.Duration) {
	t.Helper()
	directory := c.Directory()
	args.Revision, args.Directory = c.revision(), directory.Version
	for partition := range args.Services {
		args.Services[partition] = 1 << 40
	}
	var reply protocol.WatchReply
	began := time.Now()
	assert.NilError(t, (&controlService{c}).Watch(&args, &reply))
	return reply, time.Since(began)
}

// Without an owner a core node can't say that there is nothing new, and says so at once.
func TestNodeWithoutAnOwnerVouchesForNothing(t *testing.T) {
	c := newSingleNode(t, false)
	reply, took := watch(t, c, protocol.WatchArgs{Wait: testTimeout})
	assert.Assert(t, !reply.Vouched && took < testTimeout/2, "%+v after %v", reply, took)
	reply, took = watch(t, c, protocol.WatchArgs{Patient: true, Wait: 20 * time.Millisecond})
	assert.Assert(t, !reply.Vouched && took >= 20*time.Millisecond, "%+v after %v", reply, took)
	reply, _ = watch(t, c, protocol.WatchArgs{Confirmed: true, Wait: 20 * time.Millisecond})
	assert.Assert(t, !reply.Vouched && !reply.Confirmed)
}

func TestOwnerVouchesForWhatItTells(t *testing.T) {
	c := newSingleNode(t, true)
	reply, took := watch(t, c, protocol.WatchArgs{Wait: 20 * time.Millisecond})
	assert.Assert(t, reply.Vouched && reply.Age <= c.staleAfter && took >= 20*time.Millisecond, "%+v after %v", reply, took)
	assert.Assert(t, reply.Held <= took)
	reply, took = watch(t, c, protocol.WatchArgs{Patient: true, Wait: testTimeout})
	assert.Assert(t, reply.Vouched && took < testTimeout/2, "a patient question is answered once there is proof")
}

func TestStaleAfterFollowsTheOperatorsBound(t *testing.T) {
	for configApply, want := range map[time.Duration]time.Duration{
		0: time.Second, 2 * time.Second: time.Second, 2500 * time.Millisecond: 1250 * time.Millisecond,
		100 * time.Millisecond: minStaleAfter, 16 * time.Second: maxStaleAfter,
	} {
		assert.Equal(t, StaleAfter(configApply), want)
	}
}
