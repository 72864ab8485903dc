package node

import (
	"context"
	"fmt"
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

// Address books that hold the same nodes have the same digest, in whichever order they learned them,
// and any difference shows.
func TestDigestTellsAddressBooksApart(t *testing.T) {
	newBook := func(nodes ...protocol.Node) *AddressBook {
		a, err := LoadAddressBook(&durable.MemoryStore{})
		assert.NilError(t, err)
		a.Learn(nodes...)
		return a
	}
	one, two := core(1, "a", "h:1"), core(2, "b", "h:2")
	assert.Equal(t, newBook(one, two).Digest(), newBook(two, one).Digest())
	seen := map[uint64]bool{newBook(one, two).Digest(): true}
	moved, renamed, other := one, one, one
	moved.Address, renamed.Name, other.ID = "h:3", "c", 7
	for _, n := range []protocol.Node{moved, renamed, other} {
		digest := newBook(n, two).Digest()
		assert.Assert(t, !seen[digest], "%+v", n)
		seen[digest] = true
	}
}

// A node that knows the same as its caller does not send it, and neither does one that is only probed.
func TestHelloSendsNodesOnlyWhereTheyDiffer(t *testing.T) {
	addresses, err := LoadAddressBook(&durable.MemoryStore{})
	assert.NilError(t, err)
	caller := core(1, "a", "h:1")
	addresses.Learn(caller, core(2, "b", "h:2"))
	service := &replicaService{&Node{Self: core(2, "b", "h:2"), Addresses: addresses}}
	for _, c := range []struct {
		args protocol.HelloArgs
		want int
	}{
		{protocol.HelloArgs{Self: caller}, 2},
		{protocol.HelloArgs{Self: caller, KnownNodes: addresses.Digest()}, 0},
		{protocol.HelloArgs{Self: caller, KnownNodes: addresses.Digest() + 1}, 2},
		{protocol.HelloArgs{Self: caller, WithoutNodes: true}, 0},
	} {
		var reply protocol.HelloReply
		assert.NilError(t, service.Hello(&c.args, &reply))
		assert.Equal(t, len(reply.Nodes), c.want, "%+v", c.args)
		assert.Equal(t, reply.Self.Name, "b")
	}
}

// After the first round a node greets the core nodes and a bounded number of others, so that greetings
// do not grow with the square of the nodes.
func TestGreetingsAreBounded(t *testing.T) {
	addresses, err := LoadAddressBook(&durable.MemoryStore{})
	assert.NilError(t, err)
	n := &Node{Self: core(1, "a", "h:1"), Addresses: addresses, seeds: []string{"h:1", "h:2", "h:3"}}
	addresses.Learn(n.Self, core(2, "b", "h:2"), core(4, "d", "h:4"))
	for i := range 100 {
		addresses.Learn(protocol.Node{ID: replica.NodeID(100 + i), Name: fmt.Sprint("s-", i), Class: protocol.Storage, Address: fmt.Sprint("s:", i)})
	}
	core, others := n.peerAddresses()
	assert.DeepEqual(t, core, []string{"h:2", "h:3", "h:4"})
	assert.Equal(t, len(others), 100)
	var rotation helloRotation
	const roundsForAll = 100 / helloFanout
	for range 8 {
		reached := map[string]bool{}
		for range roundsForAll {
			_, others := n.peerAddresses()
			round := rotation.next(others)
			assert.Equal(t, len(round), helloFanout)
			for _, address := range round {
				reached[address] = true
			}
		}
		assert.Equal(t, len(reached), 100, "every node is greeted once in so many rounds")
	}
}

// A node that becomes known while the others are greeted in turn is not left for the next turn, and
// one that is forgotten does not hold the turn up.
func TestGreetingsReachNodesThatBecomeKnown(t *testing.T) {
	var rotation helloRotation
	addresses := func(first, last int) (list []string) {
		for i := first; i <= last; i++ {
			list = append(list, fmt.Sprint("s:", i))
		}
		return list
	}
	for range 50 {
		reached := map[string]bool{}
		for _, known := range [][]string{addresses(1, 9), addresses(1, 9), addresses(3, 11), addresses(3, 11)} {
			for _, address := range rotation.next(known) {
				reached[address] = true
			}
		}
		for _, address := range addresses(3, 11) {
			assert.Assert(t, reached[address], "%s is not greeted", address)
		}
		rotation = helloRotation{}
	}
}
