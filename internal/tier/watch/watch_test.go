package watch

import (
	"context"
	"net"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/delta"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/rpc"
)

// testWithin bounds each wait of a test. It expires only if the test hangs.
const testWithin = 20 * time.Second

// fakeCore is a core node whose replies the test provides.
type fakeCore struct {
	address string
	calls   atomic.Int32
	reply   func(protocol.WatchArgs) protocol.WatchReply // called for each watch call
}

// wholeStep returns the step without a base to a revision whose configuration is its number.
func wholeStep(revision uint64) []protocol.ConfigurationStep {
	return []protocol.ConfigurationStep{step(0, "", revision, strconv.FormatUint(revision, 10))}
}

func step(base uint64, before string, revision uint64, body string) protocol.ConfigurationStep {
	text, err := delta.Make([]byte(before), []byte(body))
	if err != nil {
		panic(err) // Make fails only for very long bodies
	}
	return protocol.ConfigurationStep{Base: base, Revision: revision, Patch: text}
}

// Watch replies to a Follower. A reply is vouched for unless its age is unproven. A reply
// without steps carries the whole configuration.
func (c *fakeCore) Watch(args *protocol.WatchArgs, reply *protocol.WatchReply) error {
	c.calls.Add(1)
	*reply = c.reply(*args)
	reply.Vouched = reply.Age != unproven
	if reply.Steps == nil && reply.Revision > 0 {
		reply.Steps = wholeStep(reply.Revision)
	}
	return nil
}

// unproven is the age that marks a reply as not vouched for.
const unproven = time.Hour

func startCore(t *testing.T, reply func(protocol.WatchArgs) protocol.WatchReply) *fakeCore {
	t.Helper()
	c := &fakeCore{reply: reply}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c.address = listener.Addr().String()
	server, err := rpc.NewServer(map[string]any{"Control": c})
	assert.NilError(t, err)
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return c
}

// startFollower starts a Follower of the nodes and returns its updates.
func startFollower(t *testing.T, concurrentCalls int, seeds ...string) (*Follower, <-chan Update) {
	t.Helper()
	updates := make(chan Update, 1000)
	pool := rpc.NewPool(rpc.Options{})
	f := New(Options{Name: "edge", Seeds: seeds, ConcurrentCalls: concurrentCalls, Pool: pool, OnUpdate: func(update Update) { updates <- update }})
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		pool.Close()
		done.Wait()
	})
	return f, updates
}

func nextUpdate(t *testing.T, updates <-chan Update) Update {
	t.Helper()
	select {
	case update := <-updates:
		return update
	case <-time.After(testWithin):
		t.Fatal("no update arrived")
		return Update{}
	}
}

// await waits until a channel is closed.
func await(t *testing.T, reached <-chan struct{}) {
	t.Helper()
	select {
	case <-reached:
	case <-time.After(testWithin):
		t.Fatal("the event did not happen")
	}
}

func directoryOf(version uint64, addresses ...string) *protocol.Directory {
	directory := &protocol.Directory{Version: version}
	for i, address := range addresses {
		directory.Nodes = append(directory.Nodes, protocol.Node{ID: replica.NodeID(i + 1), Name: address, Class: protocol.Core, Address: address})
	}
	return directory
}

func TestConfigurationIsDeliveredOnlyWhenConfirmed(t *testing.T) {
	var calls atomic.Int32
	core := startCore(t, func(args protocol.WatchArgs) protocol.WatchReply {
		reply := protocol.WatchReply{Revision: 7, Directory: directoryOf(2)}
		switch calls.Add(1) {
		case 1:
			if !args.Confirmed {
				t.Error("the first call must ask for a linearizable configuration")
			}
		case 2:
			reply.Confirmed = args.Confirmed
		case 3:
			if args.Confirmed || args.Revision != 7 || args.Directory != 2 {
				t.Errorf("unexpected arguments %+v", args)
			}
			reply = protocol.WatchReply{Revision: 9}
		default:
			reply = protocol.WatchReply{}
		}
		return reply
	})
	_, updates := startFollower(t, 1, core.address)
	assert.Equal(t, nextUpdate(t, updates).Directory.Version, uint64(2), "the directory needs no confirmation")
	n := nextUpdate(t, updates)
	assert.Equal(t, n.Revision, uint64(7))
	assert.Equal(t, string(n.Configuration), "7")
	assert.Equal(t, calls.Load() >= 2, true)
	assert.Equal(t, nextUpdate(t, updates).Revision, uint64(9))
}

func TestOlderStateFromLaggingNodeIsIgnored(t *testing.T) {
	var calls atomic.Int32
	core := startCore(t, func(protocol.WatchArgs) protocol.WatchReply {
		reply := protocol.WatchReply{Confirmed: true, Revision: 5, Directory: directoryOf(5)}
		reply.Services[1] = 5
		switch calls.Add(1) {
		case 2: // a node that lags behind
			reply.Revision, reply.Directory.Version, reply.Services[1] = 4, 4, 4
		case 3:
			reply.Revision = 6
		}
		return reply
	})
	f, updates := startFollower(t, 1, core.address)
	assert.Equal(t, nextUpdate(t, updates).Directory.Version, uint64(5))
	assert.Equal(t, nextUpdate(t, updates).Revision, uint64(5))
	assert.Equal(t, nextUpdate(t, updates).Partition, 1)
	assert.Equal(t, nextUpdate(t, updates).Revision, uint64(6))
	assert.Equal(t, f.Directory().Version, uint64(5))
}

func TestListsAreDeliveredByPartition(t *testing.T) {
	names := map[int]string{}
	for i := 0; len(names) < protocol.ServicePartitions; i++ {
		name := string(rune('a' + i))
		names[protocol.ServicePartition(name)] = name
	}
	core := startCore(t, func(protocol.WatchArgs) protocol.WatchReply {
		reply := protocol.WatchReply{Confirmed: true}
		for partition, name := range names {
			reply.Lists = append(reply.Lists, protocol.ServerList{Service: name})
			reply.Services[partition] = 1
		}
		return reply
	})
	_, updates := startFollower(t, 1, core.address)
	for partition := range protocol.ServicePartitions {
		n := nextUpdate(t, updates)
		assert.Equal(t, n.Partition, partition)
		assert.Equal(t, len(n.Lists), 1)
		assert.Equal(t, n.Lists[0].Service, names[partition])
	}
}

func TestRefreshedListsAreDeliveredAgain(t *testing.T) {
	refreshed := make(chan struct{})
	core := startCore(t, func(args protocol.WatchArgs) protocol.WatchReply {
		reply := protocol.WatchReply{Confirmed: true}
		if args.Services[2] == 0 {
			reply.Services[2] = 3
		} else {
			<-refreshed
		}
		return reply
	})
	f, updates := startFollower(t, 1, core.address)
	assert.Equal(t, nextUpdate(t, updates).Partition, 2)
	f.RefreshLists()
	close(refreshed)
	assert.Equal(t, nextUpdate(t, updates).Partition, 2)
}

// Lists from another source are replaced only by lists of a node that vouches, whatever their
// versions. A patient call does not request them, because it would be answered at once.
func TestRefreshTakesOnlyVouchedLists(t *testing.T) {
	f := New(Options{Name: "edge", Pool: rpc.NewPool(rpc.Options{})})
	reply := &protocol.WatchReply{Vouched: true}
	reply.Services[1], reply.Services[2] = 7, 5
	assert.Equal(t, len(f.merge(reply)), 2)
	assert.Equal(t, len(f.merge(reply)), 0)
	f.RefreshLists()
	assert.Equal(t, f.watchArgs(false).Services, [protocol.ServicePartitions]uint64{})
	assert.Equal(t, f.watchArgs(true).Services, reply.Services)
	assert.Equal(t, len(f.merge(&protocol.WatchReply{Services: reply.Services})), 0, "lists of a node that cannot vouch must be ignored")
	assert.Equal(t, len(f.merge(&protocol.WatchReply{Vouched: true})), 0, "the reply is vouched for, but has no lists")
	assert.Equal(t, f.watchArgs(false).Services, [protocol.ServicePartitions]uint64{}, "the lists must still be requested")
	assert.Equal(t, len(f.merge(reply)), 2)
	assert.Equal(t, f.watchArgs(false).Services, reply.Services)
}

// Concurrent calls go to different nodes, so a frozen node delays nothing.
func TestFrozenNodeDelaysNoUpdates(t *testing.T) {
	unfreeze := make(chan struct{})
	t.Cleanup(func() { close(unfreeze) })
	called := make(chan struct{})
	var once sync.Once
	frozen := startCore(t, func(protocol.WatchArgs) protocol.WatchReply {
		once.Do(func() { close(called) })
		<-unfreeze
		return protocol.WatchReply{}
	})
	healthy := startCore(t, func(protocol.WatchArgs) protocol.WatchReply {
		<-called
		return protocol.WatchReply{Confirmed: true, Revision: 3}
	})
	_, updates := startFollower(t, 2, frozen.address, healthy.address)
	assert.Equal(t, nextUpdate(t, updates).Revision, uint64(3))
	assert.Equal(t, frozen.calls.Load(), int32(1))
}

func TestUnreachableNodeIsSkipped(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	down := listener.Addr().String()
	assert.NilError(t, listener.Close())
	healthy := startCore(t, func(protocol.WatchArgs) protocol.WatchReply {
		return protocol.WatchReply{Confirmed: true, Revision: 3}
	})
	_, updates := startFollower(t, 1, down, healthy.address)
	assert.Equal(t, nextUpdate(t, updates).Revision, uint64(3))
}

// Once the directory is known, its core nodes are called instead of the seeds.
func TestDirectoryNodesAreCalledInsteadOfSeeds(t *testing.T) {
	reached := make(chan struct{})
	var once sync.Once
	other := startCore(t, func(protocol.WatchArgs) protocol.WatchReply {
		once.Do(func() { close(reached) })
		return protocol.WatchReply{Confirmed: true, Revision: 8}
	})
	seed := startCore(t, func(protocol.WatchArgs) protocol.WatchReply {
		directory := directoryOf(1, other.address)
		directory.Nodes = append(directory.Nodes, protocol.Node{ID: 99, Class: protocol.Storage, Address: "127.0.0.1:1"})
		return protocol.WatchReply{Confirmed: true, Directory: directory}
	})
	f, updates := startFollower(t, 1, seed.address)
	assert.Equal(t, nextUpdate(t, updates).Directory.Version, uint64(1))
	await(t, reached)
	assert.Equal(t, nextUpdate(t, updates).Revision, uint64(8))
	assert.Equal(t, seed.calls.Load(), int32(1))
	assert.Assert(t, f.Staleness() < testWithin)
}

// chosen returns the node that a Follower calls next.
func chosen(f *Follower) string {
	address, _ := f.chooseNode()
	return address
}

func TestConcurrentCallsChooseDifferentNodes(t *testing.T) {
	f := New(Options{Name: "edge", Seeds: []string{"a", "b", "c"}, Pool: rpc.NewPool(rpc.Options{})})
	seen := map[string]bool{}
	for range 3 {
		seen[chosen(f)] = true
	}
	assert.Equal(t, len(seen), 3)
	assert.Equal(t, chosen(f), "", "all nodes have an open call")
	f.release("b")
	assert.Equal(t, chosen(f), "b")
}

func TestFailedNodeIsTriedAfterTheOthers(t *testing.T) {
	f := New(Options{Name: "edge", Seeds: []string{"a", "b", "c"}, Pool: rpc.NewPool(rpc.Options{})})
	first := chosen(f)
	f.release(first)
	f.sources.failedAt[first] = time.Now()
	second := chosen(f)
	assert.Assert(t, second != first)
	f.release(second)
	f.sources.failedAt[first] = time.Now().Add(-2 * avoidPeriod)
	assert.Equal(t, chosen(f), first, "a failure must be forgotten after avoidPeriod")
}

// If all nodes have failed recently, the next call waits until one can vouch.
func TestCallsArePatientWhenNoNodeVouches(t *testing.T) {
	f := New(Options{Name: "edge", Seeds: []string{"a", "b"}, Pool: rpc.NewPool(rpc.Options{})})
	for _, address := range []string{"a", "b"} {
		_, patient := f.chooseNode()
		assert.Assert(t, !patient)
		f.recordResult(address, time.Now(), &protocol.WatchReply{}, nil)
		f.release("a")
		f.release("b")
	}
	address, patient := f.chooseNode()
	assert.Assert(t, patient)
	f.recordResult(address, time.Now(), &protocol.WatchReply{Vouched: true}, nil)
	f.release(address)
	retried, patient := f.chooseNode()
	assert.Equal(t, retried, address)
	assert.Assert(t, !patient)
}

// A core node without contact to the leaders is abandoned for one that has contact, even
// though it replies and whatever their order.
func TestNodeThatCannotVouchIsAbandoned(t *testing.T) {
	answer := func(revision uint64, age time.Duration) func(protocol.WatchArgs) protocol.WatchReply {
		return func(args protocol.WatchArgs) protocol.WatchReply {
			return protocol.WatchReply{Confirmed: args.Confirmed && age == 0, Revision: revision, Age: age}
		}
	}
	cutOff, healthy := startCore(t, answer(4, unproven)), startCore(t, answer(7, 0))
	f, updates := startFollower(t, 1, cutOff.address, healthy.address)
	assert.Equal(t, nextUpdate(t, updates).Revision, uint64(7))
	assert.Assert(t, f.Staleness() < testWithin)
	isolated, _ := startFollower(t, 1, cutOff.address)
	for cutOff.calls.Load() < 3 {
		runtime.Gosched()
	}
	assert.Equal(t, isolated.isConfirmed(), false)
}

// Staleness counts from the time for which the node had proof, not from the arrival of the
// reply.
func TestStalenessCountsFromProof(t *testing.T) {
	f := New(Options{Name: "edge", Pool: rpc.NewPool(rpc.Options{})})
	f.sources.currentAsOf = time.Now().Add(-time.Hour)
	sent := time.Now().Add(-10 * time.Second)
	f.recordResult("a", sent, &protocol.WatchReply{Vouched: true, Held: 3 * time.Second, Age: time.Second}, nil)
	assert.Assert(t, f.Staleness() >= 8*time.Second && f.Staleness() < time.Minute, "%v", f.Staleness())
	f.recordResult("a", sent, &protocol.WatchReply{Held: 9 * time.Second}, nil)
	assert.Assert(t, f.Staleness() >= 8*time.Second, "an unvouched reply must not reduce the staleness")
	f.recordResult("a", sent.Add(-time.Minute), &protocol.WatchReply{Vouched: true}, nil)
	assert.Assert(t, f.Staleness() < time.Minute, "an older reply must not increase the staleness")
}

// The state of a single core node may be very old, and a process that has just started cannot
// tell. It must wait for a confirmed configuration.
func TestUnconfirmedConfigurationIsNotDelivered(t *testing.T) {
	f := New(Options{Name: "edge", Pool: rpc.NewPool(rpc.Options{})})
	reply := &protocol.WatchReply{Revision: 4, Steps: wholeStep(4), Vouched: true}
	assert.Equal(t, len(f.merge(reply)), 0)
	f.sources.currentAsOf = time.Now().Add(-time.Hour)
	assert.Equal(t, len(f.merge(reply)), 0, "an unconfirmed configuration must not be delivered later, either")
	reply.Confirmed = true
	assert.Equal(t, f.merge(reply)[0].Revision, uint64(4))
}

// Steps apply to the process's configuration. Steps already applied are skipped. If a step does
// not apply, the next call requests the whole configuration.
func TestConfigurationStepsAreApplied(t *testing.T) {
	f := New(Options{Name: "edge", Pool: rpc.NewPool(rpc.Options{})})
	f.confirmed = true
	apply := func(revision uint64, steps ...protocol.ConfigurationStep) (string, bool) {
		updates := f.merge(&protocol.WatchReply{Revision: revision, Steps: steps})
		if len(updates) == 0 {
			return "", false
		}
		return string(updates[0].Configuration), true
	}
	ab, bc, cd := step(2, "a", 5, "b"), step(5, "b", 6, "c"), step(6, "c", 9, "d")
	body, ok := apply(2, step(0, "", 2, "a"))
	assert.Assert(t, ok && body == "a")
	body, ok = apply(6, ab, bc)
	assert.Assert(t, ok && body == "c")
	body, ok = apply(9, ab, bc, cd)
	assert.Assert(t, ok && body == "d", "two steps were already applied from another node's reply")
	for name, steps := range map[string][]protocol.ConfigurationStep{
		"from another revision": {step(8, "d", 10, "e")},
		"of another base":       {step(9, "x", 10, "e")},
		"none at all":           nil,
		"not to the end":        {step(9, "d", 10, "e")},
	} {
		f.needWhole = false
		_, ok = apply(11, steps...)
		assert.Assert(t, !ok && f.needWhole, name)
		assert.Equal(t, f.watchArgs(false).Revision, uint64(0), name)
		assert.Equal(t, string(f.configuration), "d", "steps must apply completely or not at all: "+name)
	}
	body, ok = apply(11, step(0, "", 11, "f"))
	assert.Assert(t, ok && body == "f" && !f.needWhole)
	assert.Equal(t, f.watchArgs(false).Revision, uint64(11))
}

func TestFindNodeByID(t *testing.T) {
	directory := directoryOf(1, "a", "b")
	n, known := FindNode(directory, 2)
	assert.Assert(t, known)
	assert.Equal(t, n.Address, "b")
	_, known = FindNode(directory, 3)
	assert.Assert(t, !known)
}
