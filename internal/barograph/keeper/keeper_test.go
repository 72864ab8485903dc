package keeper

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pipitmux/internal/barograph/node"
	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/station/protocol"
)

// testWithin bounds each wait of a test that should not wait.
const testWithin = 20 * time.Second

// alone starts a storage node that keeps two partitions by itself.
func alone(t *testing.T) (*Keeper, *turnCalls) {
	t.Helper()
	n, err := node.Open(node.Options{Name: "s", Class: protocol.Storage, Address: "127.0.0.1:1", DataDir: t.TempDir(), First: true})
	assert.NilError(t, err)
	k, err := New(Options{Node: n, Name: "s", Losses: 0})
	assert.NilError(t, err)
	for partition := range 2 {
		assert.NilError(t, k.open(partition, replica.Members{Voters: []replica.NodeID{n.Self.ID}}))
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
		awaitOwner(t, n, protocol.TurnGroup(partition))
	}
	return k, &turnCalls{k}
}

func awaitOwner(t *testing.T, n *node.Node, group replica.GroupID) {
	t.Helper()
	for {
		_, changed := n.Host.Applied(group)
		status, err := n.Host.Status(group)
		assert.NilError(t, err)
		if status.LeaderReady {
			return
		}
		select {
		case <-changed:
		case <-time.After(testWithin):
			t.Fatal("no owner")
		}
	}
}

func (s *turnCalls) admit(t *testing.T, args protocol.AdmitArgs) protocol.AdmitReply {
	t.Helper()
	args.Within = testWithin
	var reply protocol.AdmitReply
	assert.NilError(t, s.Admit(&args, &reply))
	return reply
}

func (s *turnCalls) finish(t *testing.T, args protocol.FinishArgs) protocol.TurnOutcome {
	t.Helper()
	args.Within = testWithin
	var reply protocol.FinishReply
	assert.NilError(t, s.Finish(&args, &reply))
	return reply.Outcome
}

func (s *turnCalls) find(t *testing.T, attempt string) protocol.FindReply {
	t.Helper()
	var reply protocol.FindReply
	assert.NilError(t, s.Find(&protocol.FindArgs{Attempt: attempt, Within: testWithin}, &reply))
	return reply
}

func TestTurnGoesOnFromWhatWasSaid(t *testing.T) {
	_, calls := alone(t)
	first := protocol.AdmitArgs{Program: "p", Attempt: "a", Budget: 10, Most: 6, Token: 1}
	assert.Equal(t, calls.admit(t, first).Outcome, protocol.TurnGranted)
	assert.Equal(t, calls.admit(t, first).Outcome, protocol.TurnGranted, "asked again")
	assert.Equal(t, calls.admit(t, protocol.AdmitArgs{Program: "p", Attempt: "b", Budget: 10, Most: 5, Token: 2}).Outcome, protocol.TurnBudgetExhausted)
	whole := protocol.FinishArgs{Program: "p", Attempt: "a", Whole: true, Tokens: 2, Input: []byte("in,"), Output: []byte("out"), Token: 1}
	assert.Equal(t, calls.finish(t, whole), protocol.TurnGranted)
	assert.Equal(t, calls.finish(t, whole), protocol.TurnGranted, "told again")
	next := protocol.AdmitArgs{Program: "p", Attempt: "b", Previous: "a", Budget: 10, Most: 8, Token: 2}
	reply := calls.admit(t, next)
	assert.Equal(t, reply.Outcome, protocol.TurnGranted)
	assert.Equal(t, string(reply.History), "in,out")
	next.Known = true
	assert.Equal(t, len(calls.admit(t, next).History), 0, "it is at hand")
	next.Attempt, next.Previous = "c", "none"
	assert.Equal(t, calls.admit(t, next).Outcome, protocol.TurnNotFound)
}

func TestTurnIsFoundWhereverItIsKept(t *testing.T) {
	_, calls := alone(t)
	assert.Equal(t, len(calls.find(t, "a").Without), 2)
	admission := protocol.AdmitArgs{Partition: 1, Program: "p", Attempt: "a", Budget: 10, Most: 6}
	assert.Equal(t, calls.admit(t, admission).Outcome, protocol.TurnGranted)
	ending := protocol.FinishArgs{Partition: 1, Program: "p", Attempt: "a", Whole: true, Output: []byte("out")}
	assert.Equal(t, calls.finish(t, ending), protocol.TurnGranted)
	reply := calls.find(t, "a")
	assert.Assert(t, reply.Found)
	assert.Equal(t, string(reply.History), "out")
}

func TestPartitionThatIsNotHeldIsUnavailable(t *testing.T) {
	k, calls := alone(t)
	assert.Equal(t, calls.admit(t, protocol.AdmitArgs{Partition: 5}).Outcome, protocol.TurnUnavailable)
	assert.Assert(t, !k.Follow("services-1"))
	assert.Assert(t, k.Follow(protocol.TurnGroup(5)))
	assert.Equal(t, calls.admit(t, protocol.AdmitArgs{Partition: 5}).Outcome, protocol.TurnNotOwner)
	assert.DeepEqual(t, calls.find(t, "a").Without, []int{0, 1})
}
