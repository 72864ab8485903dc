package turnclient

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/rpc"
)

// testTimeout bounds each wait of a test that should not have to wait.
const testTimeout = 20 * time.Second

// fakeStorage is a storage node whose answers the test provides.
type fakeStorage struct {
	id      replica.NodeID
	address string

	mu     sync.Mutex
	calls  int
	admit  func(call int, args protocol.AdmitArgs) protocol.AdmitReply
	finish func(call int, args protocol.FinishArgs) protocol.FinishReply
	find   func(call int) protocol.FindReply
}

// Admit implements the call Turns.Admit.
func (s *fakeStorage) Admit(args *protocol.AdmitArgs, reply *protocol.AdmitReply) error {
	*reply = s.admit(s.count(), *args)
	return nil
}

// Finish implements the call Turns.Finish.
func (s *fakeStorage) Finish(args *protocol.FinishArgs, reply *protocol.FinishReply) error {
	*reply = s.finish(s.count(), *args)
	return nil
}

// Find implements the call Turns.Find.
func (s *fakeStorage) Find(_ *protocol.FindArgs, reply *protocol.FindReply) error {
	*reply = s.find(s.count())
	return nil
}

func (s *fakeStorage) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.calls
}

func (s *fakeStorage) called() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// startNodes starts storage nodes and returns them with a Client whose directory has them as voters
// of all partitions.
func startNodes(t *testing.T, count int) (*Client, []*fakeStorage) {
	t.Helper()
	pool := rpc.NewPool(rpc.Options{})
	t.Cleanup(pool.Close)
	var nodes []*fakeStorage
	for i := range count {
		s := &fakeStorage{id: replica.NodeID(i + 1)}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		s.address = listener.Addr().String()
		server, err := rpc.NewServer(map[string]any{"Turns": s})
		assert.NilError(t, err)
		go server.Serve(listener)
		t.Cleanup(func() { server.Close() })
		nodes = append(nodes, s)
	}
	c := New(pool, NewIsolation(pool, ""))
	c.SetDirectory(directoryOf(nodes, 2))
	return c, nodes
}

func directoryOf(nodes []*fakeStorage, partitions int) protocol.Directory {
	d := protocol.Directory{Version: 1}
	var voters []replica.NodeID
	for _, s := range nodes {
		d.Nodes = append(d.Nodes, protocol.Node{ID: s.id, Class: protocol.Storage, Address: s.address})
		voters = append(voters, s.id)
	}
	d.Nodes = append(d.Nodes, protocol.Node{ID: 99, Class: protocol.Core, Address: "127.0.0.1:1"})
	for range partitions {
		d.Partitions = append(d.Partitions, protocol.PartitionMembers{Voters: voters})
	}
	return d
}

func longContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// redirectTo answers that another node is the leader.
func redirectTo(leader replica.NodeID) func(int, protocol.AdmitArgs) protocol.AdmitReply {
	return func(int, protocol.AdmitArgs) protocol.AdmitReply {
		return protocol.AdmitReply{Outcome: protocol.TurnNotOwner, Owner: leader}
	}
}

func always(outcome protocol.TurnOutcome) func(int, protocol.AdmitArgs) protocol.AdmitReply {
	return func(int, protocol.AdmitArgs) protocol.AdmitReply { return protocol.AdmitReply{Outcome: outcome} }
}

func TestCallsFailWithoutDirectory(t *testing.T) {
	pool := rpc.NewPool(rpc.Options{})
	defer pool.Close()
	c := New(pool, NewIsolation(pool, ""))
	assert.Assert(t, !c.Ready())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := c.Admit(ctx, protocol.AdmitArgs{Program: "p"})
	assert.ErrorIs(t, err, ErrUnavailable)
	_, err = c.Finish(ctx, protocol.FinishArgs{Program: "p"})
	assert.ErrorIs(t, err, ErrUnavailable)
	_, _, err = c.Find(ctx, "a")
	assert.ErrorIs(t, err, ErrUnsure)
}

func TestLeaderIsFollowedAndRemembered(t *testing.T) {
	c, nodes := startNodes(t, 3)
	d := directoryOf(nodes, 2)
	nodes[0].admit, nodes[2].admit = redirectTo(2), redirectTo(2)
	nodes[1].admit = func(_ int, args protocol.AdmitArgs) protocol.AdmitReply {
		if args.Partition != d.TurnPartition("p") || args.Within != callTimeout || args.Attempt != "a" {
			t.Errorf("unexpected arguments: %+v", args)
		}
		return protocol.AdmitReply{Outcome: protocol.TurnGranted, History: []byte("before")}
	}
	for range 3 {
		reply, err := c.Admit(longContext(t), protocol.AdmitArgs{Program: "p", Attempt: "a"})
		assert.NilError(t, err)
		assert.Equal(t, reply.Outcome, protocol.TurnGranted)
		assert.Equal(t, string(reply.History), "before")
	}
	assert.Assert(t, nodes[0].called()+nodes[2].called() <= 1, "the leader must be remembered after the first call")
	assert.Equal(t, nodes[1].called(), 3)
}

func TestAnswerOfLeaderIsFinal(t *testing.T) {
	for _, outcome := range []protocol.TurnOutcome{protocol.TurnBudgetExhausted, protocol.TurnNotFound, protocol.TurnClosed} {
		c, nodes := startNodes(t, 1)
		nodes[0].admit = always(outcome)
		reply, err := c.Admit(longContext(t), protocol.AdmitArgs{Program: "p"})
		assert.NilError(t, err)
		assert.Equal(t, reply.Outcome, outcome)
		assert.Equal(t, nodes[0].called(), 1)
	}
}

// A call that failed, or that may or may not have taken effect, must be repeated until a leader
// answers.
func TestCallIsRepeatedUntilLeaderAnswers(t *testing.T) {
	c, nodes := startNodes(t, 1)
	nodes[0].finish = func(call int, _ protocol.FinishArgs) protocol.FinishReply {
		outcomes := []protocol.TurnOutcome{protocol.TurnUnknown, protocol.TurnUnavailable, protocol.TurnNotOwner, protocol.TurnGranted}
		return protocol.FinishReply{Outcome: outcomes[call-1]}
	}
	outcome, err := c.Finish(longContext(t), protocol.FinishArgs{Program: "p", Attempt: "a", Tokens: 3})
	assert.NilError(t, err)
	assert.Equal(t, outcome, protocol.TurnGranted)
	assert.Equal(t, nodes[0].called(), 4)
}

func TestNodeThatIsDownIsSkipped(t *testing.T) {
	c, nodes := startNodes(t, 2)
	d := directoryOf(nodes, 2)
	down, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d.Nodes[0].Address = down.Addr().String()
	assert.NilError(t, down.Close())
	c.SetDirectory(d)
	nodes[1].admit = always(protocol.TurnGranted)
	reply, err := c.Admit(longContext(t), protocol.AdmitArgs{Program: "p"})
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome, protocol.TurnGranted)
}

// A frozen leader must be left after one call, and must not be the first choice again at once, even
// if another node still names it as the leader.
func TestFrozenLeaderIsCalledOnlyOnce(t *testing.T) {
	c, nodes := startNodes(t, 2)
	frozen := make(chan struct{})
	t.Cleanup(func() { close(frozen) })
	nodes[0].admit = func(int, protocol.AdmitArgs) protocol.AdmitReply {
		<-frozen
		return protocol.AdmitReply{}
	}
	nodes[1].admit = func(call int, _ protocol.AdmitArgs) protocol.AdmitReply {
		if call == 1 { // it has not heard of the new term yet
			return protocol.AdmitReply{Outcome: protocol.TurnNotOwner, Owner: 1}
		}
		return protocol.AdmitReply{Outcome: protocol.TurnGranted}
	}
	d := directoryOf(nodes, 2)
	c.setLeader(d.TurnPartition("p"), 1)
	reply, err := c.Admit(longContext(t), protocol.AdmitArgs{Program: "p"})
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome, protocol.TurnGranted)
	assert.Equal(t, nodes[0].called(), 1)
}

func TestAdmitEndsWithItsContext(t *testing.T) {
	c, nodes := startNodes(t, 1)
	ctx, cancel := context.WithCancel(t.Context())
	nodes[0].admit = func(call int, _ protocol.AdmitArgs) protocol.AdmitReply {
		if call == 3 {
			cancel()
		}
		return protocol.AdmitReply{Outcome: protocol.TurnUnavailable}
	}
	_, err := c.Admit(ctx, protocol.AdmitArgs{Program: "p"})
	assert.ErrorIs(t, err, ErrUnavailable)
}

func TestTurnIsMissingOnlyIfEveryPartitionLacksIt(t *testing.T) {
	c, nodes := startNodes(t, 2)
	nodes[0].find = func(int) protocol.FindReply { return protocol.FindReply{Without: []int{0}} }
	nodes[1].find = func(call int) protocol.FindReply {
		if call < 3 { // its leader is being elected
			return protocol.FindReply{}
		}
		return protocol.FindReply{Without: []int{1}}
	}
	_, found, err := c.Find(longContext(t), "a")
	assert.NilError(t, err)
	assert.Assert(t, !found)
	assert.Equal(t, nodes[1].called(), 3)
}

func TestFindReturnsTurnThatOnePartitionStores(t *testing.T) {
	c, nodes := startNodes(t, 2)
	nodes[0].find = func(int) protocol.FindReply { return protocol.FindReply{Without: []int{0}} }
	nodes[1].find = func(int) protocol.FindReply { return protocol.FindReply{Found: true, History: []byte("said")} }
	history, found, err := c.Find(longContext(t), "a")
	assert.NilError(t, err)
	assert.Assert(t, found)
	assert.Equal(t, string(history), "said")
}

// If nobody answers for a partition, Find must stay unsure however often the others answer no.
func TestFindIsUnsureWhilePartitionHasNoLeader(t *testing.T) {
	c, nodes := startNodes(t, 2)
	ctx, cancel := context.WithCancel(t.Context())
	nodes[0].find = func(call int) protocol.FindReply {
		if call == 3 {
			cancel()
		}
		return protocol.FindReply{Without: []int{0, 0}}
	}
	nodes[1].find = func(int) protocol.FindReply { return protocol.FindReply{Without: []int{0}} }
	_, found, err := c.Find(ctx, "a")
	assert.ErrorIs(t, err, ErrUnsure)
	assert.Assert(t, !found)
}

func TestNodesRemovedFromDirectoryAreForgotten(t *testing.T) {
	c, nodes := startNodes(t, 2)
	c.markUnresponsive(1)
	c.markUnresponsive(2)
	d := directoryOf(nodes, 2)
	d.Nodes = d.Nodes[1:]
	c.SetDirectory(d)
	assert.Equal(t, len(c.unresponsiveSince), 1)
	assert.Assert(t, c.isUnresponsive(2))
}

// Once a partition has answered, the nodes that vote only there are not asked again.
func TestFindAsksAgainOnlyWherePartitionsAreMissing(t *testing.T) {
	c, nodes := startNodes(t, 3)
	directory := c.directory
	directory.Partitions = []protocol.PartitionMembers{{Voters: []replica.NodeID{1, 2}}, {Voters: []replica.NodeID{3}}}
	c.SetDirectory(directory)
	nodes[0].find = func(int) protocol.FindReply { return protocol.FindReply{Without: []int{0}} }
	nodes[1].find = func(int) protocol.FindReply { return protocol.FindReply{} }
	nodes[2].find = func(call int) protocol.FindReply {
		if call < 4 {
			return protocol.FindReply{}
		}
		return protocol.FindReply{Without: []int{1}}
	}
	_, found, err := c.Find(longContext(t), "a")
	assert.NilError(t, err)
	assert.Assert(t, !found)
	assert.Equal(t, nodes[0].called(), 1)
	assert.Equal(t, nodes[1].called(), 1)
	assert.Equal(t, nodes[2].called(), 4)
}
