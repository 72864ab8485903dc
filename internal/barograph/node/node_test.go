package node

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"pipitmux/internal/barograph/host"
	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/durable"
	"pipitmux/internal/station/link"
	"pipitmux/internal/station/protocol"
)

func core(id replica.NodeID, name, address string) protocol.Node {
	return protocol.Node{ID: id, Name: name, Class: protocol.Core, Address: address}
}

func TestLaterIncarnationTakesTheEarliersPlace(t *testing.T) {
	a, err := LoadAddresses(&durable.MemoryStore{})
	assert.NilError(t, err)
	assert.Assert(t, a.Learn(core(1, "a", "h:1"), core(2, "b", "h:2")))
	assert.Assert(t, !a.Learn(core(1, "a", "h:1")), "it is no news")
	assert.Assert(t, !a.Learn(core(0, "c", "h:3"), core(4, "c", "")), "nobody can be reached so")
	assert.Assert(t, a.Learn(core(3, "a", "h:9")))
	_, known := a.Find(1)
	assert.Assert(t, !known)
	assert.DeepEqual(t, a.All(), []protocol.Node{core(2, "b", "h:2"), core(3, "a", "h:9")})
	assert.Assert(t, a.Learn(core(3, "a", "h:7")), "it moved")
	n, _ := a.Find(3)
	assert.Equal(t, n.Address, "h:7")
}

func TestKnownNodesOutliveTheProcess(t *testing.T) {
	disk := &durable.MemoryStore{}
	a, err := LoadAddresses(disk)
	assert.NilError(t, err)
	a.Learn(core(1, "a", "h:1"), core(2, "b", "h:2"))
	assert.NilError(t, a.Save())
	again, err := LoadAddresses(disk)
	assert.NilError(t, err)
	assert.DeepEqual(t, again.All(), a.All())
}

func TestUnreadableNodesAreAFailure(t *testing.T) {
	disk := &durable.MemoryStore{}
	assert.NilError(t, disk.Write(addressesName, []byte("no nodes")))
	_, err := LoadAddresses(disk)
	assert.ErrorContains(t, err, "read known nodes")
}

func TestFirstIdsFollowFromClassAndAddress(t *testing.T) {
	id := FirstID(protocol.Core, "h:1")
	assert.Equal(t, id, FirstID(protocol.Core, "h:1"))
	assert.Assert(t, id != 0 && id != FirstID(protocol.Storage, "h:1") && id != FirstID(protocol.Core, "h:2"))
}

// What is told of a failure decides whether a call may be made again elsewhere and whether an
// operator is refused: nothing that may have been done counts as not done.
func TestOutcomes(t *testing.T) {
	deposed := &host.UnknownOutcomeError{Cause: &replica.NotLeaderError{Leader: 7}}
	for _, c := range []struct {
		err   error
		want  protocol.Outcome
		owner replica.NodeID
	}{
		{nil, protocol.Done, 0},
		{&replica.NotLeaderError{Leader: 7}, protocol.NotOwner, 7},
		{errors.Wrap(&replica.NotLeaderError{Leader: 7}, "propose"), protocol.NotOwner, 7},
		{&host.UnknownOutcomeError{Cause: context.DeadlineExceeded}, protocol.Unknown, 0},
		{&host.UnknownOutcomeError{Cause: host.ErrStopped}, protocol.Unknown, 0},
		{deposed, protocol.Unknown, 7},
		{host.ErrNoLease, protocol.Unavailable, 0},
		{host.ErrGroupNotFound, protocol.Unavailable, 0},
		{replica.ErrTransferInProgress, protocol.Unavailable, 0},
	} {
		outcome, owner := OutcomeOf(c.err)
		assert.Equal(t, outcome, c.want, "%v", c.err)
		assert.Equal(t, owner, c.owner, "%v", c.err)
	}
	assert.Equal(t, callOutcome(&link.UnreachableError{Cause: link.ErrBackoff}), protocol.Unavailable)
	assert.Equal(t, callOutcome(&link.UncertainError{Cause: context.Canceled}), protocol.Unknown)
	assert.Equal(t, callOutcome(&link.RemoteError{}), protocol.Unknown)
}

func TestTimingHoldsTogether(t *testing.T) {
	for _, class := range []protocol.Class{protocol.Core, protocol.Storage} {
		timing := Timing(class)
		assert.Assert(t, timing.LeaseDuration < timing.ElectionTimeout)
		assert.Assert(t, 2*timing.HeartbeatInterval <= timing.LeaseDuration, "one heartbeat may get lost")
		assert.Assert(t, timing.LostAfter > timing.ElectionTimeout+timing.ElectionJitter)
		assert.Assert(t, timing.ElectionJitter > 0)
	}
	assert.Assert(t, Silent > time.Second)
}
