package storage

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"oakseam/internal/controlplane/node"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/dataplane/turnclient"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/rpc"
	"oakseam/internal/tier/watch"
)

// unreachableAddress is one that nobody listens on.
const unreachableAddress = "127.0.0.1:1"

// admitBound is how long a turn waits for its partition.
const admitBound = 2 * time.Second

// startPartition starts storage nodes that are the voters of one partition. It returns their directory
// and the leader, once there is one.
func startPartition(t *testing.T, count int) (protocol.Directory, replica.NodeID) {
	t.Helper()
	directory := protocol.Directory{Version: 1}
	var listeners []net.Listener
	var opened []*node.Node
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		address := listener.Addr().String()
		n, err := node.Open(node.Options{Name: address, Class: protocol.Storage, Address: address, DataDir: t.TempDir(), Bootstrap: true})
		assert.NilError(t, err)
		listeners, opened = append(listeners, listener), append(opened, n)
		directory.Nodes = append(directory.Nodes, n.Self)
	}
	var voters []replica.NodeID
	for _, n := range directory.Nodes {
		voters = append(voters, n.ID)
	}
	directory.Partitions = []protocol.PartitionMembers{{Voters: voters}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for at, n := range opened {
		storageNode, err := New(Options{Node: n, Name: n.Self.Name, ToleratedLosses: 1})
		assert.NilError(t, err)
		storageNode.applyUpdate(watch.Update{Directory: &directory})
		running.Go(func() { storageNode.Run(ctx, listeners[at]) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
		for _, n := range opened {
			n.Close()
		}
	})
	leader := replica.NodeID(0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, n := range opened {
			if status, err := n.Host.Status(protocol.TurnGroup(0)); err == nil && status.LeaderReady {
				leader = n.Self.ID
				return poll.Success()
			}
		}
		return poll.Continue("no leader yet")
	}, poll.WithTimeout(testTimeout))
	return directory, leader
}

// While the links between two zones are cut, an edge in the one must still serve the turns of
// partitions that are led in the other: a voter that both reach passes its calls on.
func TestTurnReachesLeaderThroughAnotherVoter(t *testing.T) {
	directory, leader := startPartition(t, 3)
	for at := range directory.Nodes {
		if directory.Nodes[at].ID == leader {
			directory.Nodes[at].Address = unreachableAddress
		}
	}
	pool := rpc.NewPool(rpc.Options{})
	t.Cleanup(pool.Close)
	c := turnclient.New(pool, turnclient.NewIsolation(pool, ""))
	c.SetDirectory(directory)
	ctx, cancel := context.WithTimeout(t.Context(), admitBound)
	defer cancel()
	reply, err := c.Admit(ctx, protocol.AdmitArgs{Program: "p", Attempt: "a", Budget: 10, Most: 5, Token: 1})
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome, protocol.TurnGranted)
	outcome, err := c.Finish(ctx, protocol.FinishArgs{Program: "p", Attempt: "a", Whole: true, Tokens: 2, Token: 1})
	assert.NilError(t, err)
	assert.Equal(t, outcome, protocol.TurnGranted)
}
