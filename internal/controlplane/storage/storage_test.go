package storage

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/controlplanetest"
	"oakseam/internal/controlplane/node"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
)

// testTimeout bounds waits that normally end at once.
const testTimeout = 20 * time.Second

// newSingleNode starts a storage node that runs two partitions alone.
func newSingleNode(t *testing.T) (*Node, *turnsService) {
	t.Helper()
	n, err := node.Open(node.Options{Name: "s", Class: protocol.Storage, Address: "127.0.0.1:1", DataDir: t.TempDir(), Bootstrap: true})
	assert.NilError(t, err)
	storageNode, err := New(Options{Node: n, Name: "s", ToleratedLosses: 0})
	assert.NilError(t, err)
	for partition := range 2 {
		assert.NilError(t, storageNode.open(partition, replica.Members{Voters: []replica.NodeID{n.Self.ID}}))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { n.Host.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		done.Wait()
		n.Pool.Close()
		n.Close()
	})
	for partition := range 2 {
		controlplanetest.AwaitLeader(t, n, protocol.TurnGroup(partition), testTimeout)
	}
	return storageNode, &turnsService{storageNode}
}

func (s *turnsService) admit(t *testing.T, args protocol.AdmitArgs) protocol.AdmitReply {
	t.Helper()
	args.Within = testTimeout
	var reply protocol.AdmitReply
	assert.NilError(t, s.Admit(&args, &reply))
	return reply
}

func (s *turnsService) finish(t *testing.T, args protocol.FinishArgs) protocol.TurnOutcome {
	t.Helper()
	args.Within = testTimeout
	var reply protocol.FinishReply
	assert.NilError(t, s.Finish(&args, &reply))
	return reply.Outcome
}

func (s *turnsService) find(t *testing.T, attempt string) protocol.FindReply {
	t.Helper()
	var reply protocol.FindReply
	assert.NilError(t, s.Find(&protocol.FindArgs{Attempt: attempt, Within: testTimeout}, &reply))
	return reply
}

func TestTurnContinuesTheHistory(t *testing.T) {
	_, calls := newSingleNode(t)
	first := protocol.AdmitArgs{Program: "p", Attempt: "a", Budget: 10, Most: 6, Token: 1}
	assert.Equal(t, calls.admit(t, first).Outcome, protocol.TurnGranted)
	assert.Equal(t, calls.admit(t, first).Outcome, protocol.TurnGranted, "repeated")
	assert.Equal(t, calls.admit(t, protocol.AdmitArgs{Program: "p", Attempt: "b", Budget: 10, Most: 5, Token: 2}).Outcome, protocol.TurnBudgetExhausted)
	completion := protocol.FinishArgs{Program: "p", Attempt: "a", Whole: true, Tokens: 2, Input: []byte("in,"), Output: []byte("out"), Token: 1}
	assert.Equal(t, calls.finish(t, completion), protocol.TurnGranted)
	assert.Equal(t, calls.finish(t, completion), protocol.TurnGranted, "repeated")
	next := protocol.AdmitArgs{Program: "p", Attempt: "b", Previous: "a", Budget: 10, Most: 8, Token: 2}
	reply := calls.admit(t, next)
	assert.Equal(t, reply.Outcome, protocol.TurnGranted)
	assert.Equal(t, string(reply.History), "in,out")
	next.Known = true
	assert.Equal(t, len(calls.admit(t, next).History), 0, "the caller has the history")
	next.Attempt, next.Previous = "c", "none"
	assert.Equal(t, calls.admit(t, next).Outcome, protocol.TurnNotFound)
}

func TestTurnIsFoundInEveryPartition(t *testing.T) {
	_, calls := newSingleNode(t)
	assert.Equal(t, len(calls.find(t, "a").Without), 2)
	admission := protocol.AdmitArgs{Partition: 1, Program: "p", Attempt: "a", Budget: 10, Most: 6}
	assert.Equal(t, calls.admit(t, admission).Outcome, protocol.TurnGranted)
	completion := protocol.FinishArgs{Partition: 1, Program: "p", Attempt: "a", Whole: true, Output: []byte("out")}
	assert.Equal(t, calls.finish(t, completion), protocol.TurnGranted)
	reply := calls.find(t, "a")
	assert.Assert(t, reply.Found)
	assert.Equal(t, string(reply.History), "out")
}

func TestPartitionWithoutGroupIsUnavailable(t *testing.T) {
	storageNode, calls := newSingleNode(t)
	assert.Equal(t, calls.admit(t, protocol.AdmitArgs{Partition: 5}).Outcome, protocol.TurnUnavailable)
	assert.Assert(t, !storageNode.JoinGroup("services-1"))
	assert.Assert(t, storageNode.JoinGroup(protocol.TurnGroup(5)))
	assert.Equal(t, calls.admit(t, protocol.AdmitArgs{Partition: 5}).Outcome, protocol.TurnNotOwner)
	assert.DeepEqual(t, calls.find(t, "a").Without, []int{0, 1})
}
