package node

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/host"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/durable"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/rpc"
)

func core(id replica.NodeID, name, address string) protocol.Node {
	return protocol.Node{ID: id, Name: name, Class: protocol.Core, Address: address}
}

func TestLaterIncarnationReplacesTheEarlier(t *testing.T) {
	a, err := LoadAddressBook(&durable.MemoryStore{})
	assert.NilError(t, err)
	assert.Assert(t, a.Learn(core(1, "a", "h:1"), core(2, "b", "h:2")))
	assert.Assert(t, !a.Learn(core(1, "a", "h:1")), "the node is known already")
	assert.Assert(t, !a.Learn(core(0, "c", "h:3"), core(4, "c", "")), "a node without id or address must be ignored")
	assert.Assert(t, a.Learn(core(3, "a", "h:9")))
	_, known := a.Find(1)
	assert.Assert(t, !known)
	assert.DeepEqual(t, a.All(), []protocol.Node{core(2, "b", "h:2"), core(3, "a", "h:9")})
	assert.Assert(t, a.Learn(core(3, "a", "h:7")), "the address has changed")
	n, _ := a.Find(3)
	assert.Equal(t, n.Address, "h:7")
}

func TestKnownNodesSurviveARestart(t *testing.T) {
	disk := &durable.MemoryStore{}
	a, err := LoadAddressBook(disk)
	assert.NilError(t, err)
	a.Learn(core(1, "a", "h:1"), core(2, "b", "h:2"))
	assert.NilError(t, a.Save())
	again, err := LoadAddressBook(disk)
	assert.NilError(t, err)
	assert.DeepEqual(t, again.All(), a.All())
}

func TestUnreadableKnownNodesFail(t *testing.T) {
	disk := &durable.MemoryStore{}
	assert.NilError(t, disk.Write(knownNodesFile, []byte("no nodes")))
	_, err := LoadAddressBook(disk)
	assert.ErrorContains(t, err, "read known nodes")
}

func TestBootstrapIDDependsOnClassAndAddress(t *testing.T) {
	id := BootstrapID(protocol.Core, "h:1")
	assert.Equal(t, id, BootstrapID(protocol.Core, "h:1"))
	assert.Assert(t, id != 0 && id != BootstrapID(protocol.Storage, "h:1") && id != BootstrapID(protocol.Core, "h:2"))
}

// Outcomes decide whether a call may be repeated at another node and whether an operator's
// call is rejected. What may have been applied must never count as not applied.
func TestErrorsMapToOutcomes(t *testing.T) {
	deposed := &host.UnknownOutcomeError{Cause: &replica.NotLeaderError{Leader: 7}}
	for _, c := range []struct {
		err    error
		want   protocol.Outcome
		leader replica.NodeID
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
		outcome, leader := OutcomeOf(c.err)
		assert.Equal(t, outcome, c.want, "%v", c.err)
		assert.Equal(t, leader, c.leader, "%v", c.err)
	}
	assert.Equal(t, callOutcome(&rpc.UnreachableError{Cause: rpc.ErrBackoff}), protocol.Unavailable)
	assert.Equal(t, callOutcome(&rpc.UncertainError{Cause: context.Canceled}), protocol.Unknown)
	assert.Equal(t, callOutcome(&rpc.RemoteError{}), protocol.Unknown)
}

func TestTimingIsConsistent(t *testing.T) {
	for _, class := range []protocol.Class{protocol.Core, protocol.Storage} {
		timing := Timing(class)
		assert.Assert(t, timing.LeaseDuration < timing.ElectionTimeout)
		assert.Assert(t, 2*timing.HeartbeatInterval <= timing.LeaseDuration, "one lost heartbeat must not end the lease")
		assert.Assert(t, timing.LostAfter > timing.ElectionTimeout+timing.ElectionJitter)
		assert.Assert(t, timing.ElectionJitter > 0)
	}
	assert.Assert(t, MemberLostAfter > time.Second)
}
