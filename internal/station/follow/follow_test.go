package follow

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

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/station/link"
	"pipitmux/internal/station/patch"
	"pipitmux/internal/station/protocol"
)

// testWithin bounds each wait of a test that should not wait.
const testWithin = 20 * time.Second

// core is a core node that answers as the test has it.
type core struct {
	address string
	asked   atomic.Int32
	answer  func(protocol.WatchArgs) protocol.WatchReply // called for each question
}

// whole is the step to a revision whose body is its number, from nothing.
func whole(revision uint64) []protocol.ConfigurationStep {
	return []protocol.ConfigurationStep{step(0, "", revision, strconv.FormatUint(revision, 10))}
}

func step(base uint64, before string, revision uint64, body string) protocol.ConfigurationStep {
	text, err := patch.Make([]byte(before), []byte(body))
	if err != nil {
		panic(err) // only what is very long can't be made
	}
	return protocol.ConfigurationStep{Base: base, Revision: revision, Patch: text}
}

// Watch answers a question of a Follower. An answer whose age isn't unproven is vouched for, and
// one without steps has the revision whole.
func (c *core) Watch(args *protocol.WatchArgs, reply *protocol.WatchReply) error {
	c.asked.Add(1)
	*reply = c.answer(*args)
	reply.Vouched = reply.Age != unproven
	if reply.Steps == nil && reply.Revision > 0 {
		reply.Steps = whole(reply.Revision)
	}
	return nil
}

// unproven is the age of what a node can't vouch for.
const unproven = time.Hour

func startCore(t *testing.T, answer func(protocol.WatchArgs) protocol.WatchReply) *core {
	t.Helper()
	c := &core{answer: answer}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c.address = listener.Addr().String()
	server, err := link.NewServer(map[string]any{"Control": c})
	assert.NilError(t, err)
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return c
}

// begin starts a Follower of the nodes, and gives what it tells.
func begin(t *testing.T, slots int, seeds ...string) (*Follower, <-chan Update) {
	t.Helper()
	told := make(chan Update, 1000)
	pool := link.NewPool(link.Options{})
	f := New(Options{Name: "edge", Seeds: seeds, ConcurrentCalls: slots, Pool: pool, OnUpdate: func(n Update) { told <- n }})
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		pool.Close()
		done.Wait()
	})
	return f, told
}

func next(t *testing.T, told <-chan Update) Update {
	t.Helper()
	select {
	case n := <-told:
		return n
	case <-time.After(testWithin):
		t.Fatal("nothing is told")
		return Update{}
	}
}

// await waits until a channel is closed.
func await(t *testing.T, reached <-chan struct{}) {
	t.Helper()
	select {
	case <-reached:
	case <-time.After(testWithin):
		t.Fatal("nothing happens")
	}
}

func directoryOf(version uint64, addresses ...string) *protocol.Directory {
	d := &protocol.Directory{Version: version}
	for i, a := range addresses {
		d.Nodes = append(d.Nodes, protocol.Node{ID: replica.NodeID(i + 1), Name: a, Class: protocol.Core, Address: a})
	}
	return d
}

func TestConfigurationIsToldOnceItIsConfirmed(t *testing.T) {
	var questions atomic.Int32
	c := startCore(t, func(args protocol.WatchArgs) protocol.WatchReply {
		reply := protocol.WatchReply{Revision: 7, Directory: directoryOf(2)}
		switch questions.Add(1) {
		case 1:
			if !args.Confirmed {
				t.Error("the first question wants proof")
			}
		case 2:
			reply.Confirmed = args.Confirmed
		case 3:
			if args.Confirmed || args.Revision != 7 || args.Directory != 2 {
				t.Errorf("asks with %+v", args)
			}
			reply = protocol.WatchReply{Revision: 9}
		default:
			reply = protocol.WatchReply{}
		}
		return reply
	})
	_, told := begin(t, 1, c.address)
	assert.Equal(t, next(t, told).Directory.Version, uint64(2), "the directory needs no proof")
	n := next(t, told)
	assert.Equal(t, n.Revision, uint64(7))
	assert.Equal(t, string(n.Configuration), "7")
	assert.Equal(t, questions.Load() >= 2, true)
	assert.Equal(t, next(t, told).Revision, uint64(9))
}

func TestNothingOlderIsTold(t *testing.T) {
	var questions atomic.Int32
	c := startCore(t, func(protocol.WatchArgs) protocol.WatchReply {
		reply := protocol.WatchReply{Confirmed: true, Revision: 5, Directory: directoryOf(5)}
		reply.Services[1] = 5
		switch questions.Add(1) {
		case 2: // from a node that lags
			reply.Revision, reply.Directory.Version, reply.Services[1] = 4, 4, 4
		case 3:
			reply.Revision = 6
		}
		return reply
	})
	f, told := begin(t, 1, c.address)
	assert.Equal(t, next(t, told).Revision, uint64(5))
	assert.Equal(t, next(t, told).Directory.Version, uint64(5))
	assert.Equal(t, next(t, told).Partition, 1)
	assert.Equal(t, next(t, told).Revision, uint64(6))
	assert.Equal(t, f.Directory().Version, uint64(5))
}

func TestListsComeByPartition(t *testing.T) {
	names := map[int]string{}
	for i := 0; len(names) < protocol.ServicePartitions; i++ {
		name := string(rune('a' + i))
		names[protocol.ServicePartition(name)] = name
	}
	c := startCore(t, func(protocol.WatchArgs) protocol.WatchReply {
		reply := protocol.WatchReply{Confirmed: true}
		for partition, name := range names {
			reply.Lists = append(reply.Lists, protocol.ServerList{Service: name})
			reply.Services[partition] = 1
		}
		return reply
	})
	_, told := begin(t, 1, c.address)
	for partition := range protocol.ServicePartitions {
		n := next(t, told)
		assert.Equal(t, n.Partition, partition)
		assert.Equal(t, len(n.Lists), 1)
		assert.Equal(t, n.Lists[0].Service, names[partition])
	}
}

func TestForgottenListsAreToldAnew(t *testing.T) {
	forgotten := make(chan struct{})
	c := startCore(t, func(args protocol.WatchArgs) protocol.WatchReply {
		reply := protocol.WatchReply{Confirmed: true}
		if args.Services[2] == 0 {
			reply.Services[2] = 3
		} else {
			<-forgotten
		}
		return reply
	})
	f, told := begin(t, 1, c.address)
	assert.Equal(t, next(t, told).Partition, 2)
	f.RefreshLists()
	close(forgotten)
	assert.Equal(t, next(t, told).Partition, 2)
}

// Lists that came from elsewhere give way to those of a node that vouches, whatever their versions,
// and to no others. A patient question doesn't ask for them: it would be answered at once.
func TestForgottenListsGiveWayToVouchedOnesOnly(t *testing.T) {
	f := New(Options{Name: "edge", Pool: link.NewPool(link.Options{})})
	reply := &protocol.WatchReply{Vouched: true}
	reply.Services[1], reply.Services[2] = 7, 5
	assert.Equal(t, len(f.merge(reply)), 2)
	assert.Equal(t, len(f.merge(reply)), 0)
	f.RefreshLists()
	assert.Equal(t, f.args(false).Services, [protocol.ServicePartitions]uint64{})
	assert.Equal(t, f.args(true).Services, reply.Services)
	assert.Equal(t, len(f.merge(&protocol.WatchReply{Services: reply.Services})), 0, "from behind a cut")
	assert.Equal(t, len(f.merge(&protocol.WatchReply{Vouched: true})), 0, "vouched for, but without lists")
	assert.Equal(t, f.args(false).Services, [protocol.ServicePartitions]uint64{}, "they are still asked for")
	assert.Equal(t, len(f.merge(reply)), 2)
	assert.Equal(t, f.args(false).Services, reply.Services)
}

// Each slot asks another node, so that one that froze holds nothing up.
func TestFrozenNodeHoldsNothingUp(t *testing.T) {
	frozen := make(chan struct{})
	t.Cleanup(func() { close(frozen) })
	asked := make(chan struct{})
	var once sync.Once
	silent := startCore(t, func(protocol.WatchArgs) protocol.WatchReply {
		once.Do(func() { close(asked) })
		<-frozen
		return protocol.WatchReply{}
	})
	sound := startCore(t, func(protocol.WatchArgs) protocol.WatchReply {
		<-asked
		return protocol.WatchReply{Confirmed: true, Revision: 3}
	})
	_, told := begin(t, 2, silent.address, sound.address)
	assert.Equal(t, next(t, told).Revision, uint64(3))
	assert.Equal(t, silent.asked.Load(), int32(1))
}

func TestNodeThatIsDownIsPassedOver(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	down := listener.Addr().String()
	assert.NilError(t, listener.Close())
	sound := startCore(t, func(protocol.WatchArgs) protocol.WatchReply {
		return protocol.WatchReply{Confirmed: true, Revision: 3}
	})
	_, told := begin(t, 1, down, sound.address)
	assert.Equal(t, next(t, told).Revision, uint64(3))
}

// Once the directory is known its core nodes are asked, wherever the seeds are.
func TestNodesOfTheDirectoryAreAsked(t *testing.T) {
	reached := make(chan struct{})
	var once sync.Once
	other := startCore(t, func(protocol.WatchArgs) protocol.WatchReply {
		once.Do(func() { close(reached) })
		return protocol.WatchReply{Confirmed: true, Revision: 8}
	})
	seed := startCore(t, func(protocol.WatchArgs) protocol.WatchReply {
		d := directoryOf(1, other.address)
		d.Nodes = append(d.Nodes, protocol.Node{ID: 99, Class: protocol.Storage, Address: "127.0.0.1:1"})
		return protocol.WatchReply{Confirmed: true, Directory: d}
	})
	f, told := begin(t, 1, seed.address)
	assert.Equal(t, next(t, told).Directory.Version, uint64(1))
	await(t, reached)
	assert.Equal(t, next(t, told).Revision, uint64(8))
	assert.Equal(t, seed.asked.Load(), int32(1))
	assert.Assert(t, f.Staleness() < testWithin)
}

// chosen is the node that a Follower asks next.
func chosen(f *Follower) string {
	address, _ := f.choose()
	return address
}

func TestSlotsChooseDifferentNodes(t *testing.T) {
	f := New(Options{Name: "edge", Seeds: []string{"a", "b", "c"}, Pool: link.NewPool(link.Options{})})
	seen := map[string]bool{}
	for range 3 {
		seen[chosen(f)] = true
	}
	assert.Equal(t, len(seen), 3)
	assert.Equal(t, chosen(f), "", "all are being asked")
	f.free("b")
	assert.Equal(t, chosen(f), "b")
}

func TestNodeThatFailedIsAskedAfterTheOthers(t *testing.T) {
	f := New(Options{Name: "edge", Seeds: []string{"a", "b", "c"}, Pool: link.NewPool(link.Options{})})
	first := chosen(f)
	f.free(first)
	f.sources.failed[first] = time.Now()
	second := chosen(f)
	assert.Assert(t, second != first)
	f.free(second)
	f.sources.failed[first] = time.Now().Add(-2 * avoidFor)
	assert.Equal(t, chosen(f), first, "not for long")
}

// Where no node was a good source of late, the next question waits for one to become so.
func TestQuestionsArePatientWhereNobodyVouches(t *testing.T) {
	f := New(Options{Name: "edge", Seeds: []string{"a", "b"}, Pool: link.NewPool(link.Options{})})
	for _, address := range []string{"a", "b"} {
		_, patient := f.choose()
		assert.Assert(t, !patient)
		f.note(address, time.Now(), &protocol.WatchReply{}, nil)
		f.free("a")
		f.free("b")
	}
	address, patient := f.choose()
	assert.Assert(t, patient)
	f.note(address, time.Now(), &protocol.WatchReply{Vouched: true}, nil)
	f.free(address)
	again, patient := f.choose()
	assert.Equal(t, again, address)
	assert.Assert(t, !patient)
}

// A core node that is cut off from the owners is left for one that isn't, wherever both stand
// in the order, and though it answers.
func TestNodeThatCantVouchIsLeft(t *testing.T) {
	answer := func(revision uint64, age time.Duration) func(protocol.WatchArgs) protocol.WatchReply {
		return func(args protocol.WatchArgs) protocol.WatchReply {
			return protocol.WatchReply{Confirmed: args.Confirmed && age == 0, Revision: revision, Age: age}
		}
	}
	cutOff, sound := startCore(t, answer(4, unproven)), startCore(t, answer(7, 0))
	f, told := begin(t, 1, cutOff.address, sound.address)
	assert.Equal(t, next(t, told).Revision, uint64(7))
	assert.Assert(t, f.Staleness() < testWithin)
	lone, _ := begin(t, 1, cutOff.address)
	for cutOff.asked.Load() < 3 {
		runtime.Gosched()
	}
	assert.Equal(t, lone.isConfirmed(), false)
}

// Age counts from what the answering node had proof of, not from when its answer came.
func TestAgeIsOfWhatWasVouchedFor(t *testing.T) {
	f := New(Options{Name: "edge", Pool: link.NewPool(link.Options{})})
	f.sources.vouched = time.Now().Add(-time.Hour)
	sent := time.Now().Add(-10 * time.Second)
	f.note("a", sent, &protocol.WatchReply{Vouched: true, Held: 3 * time.Second, Age: time.Second}, nil)
	assert.Assert(t, f.Staleness() >= 8*time.Second && f.Staleness() < time.Minute, "%v", f.Staleness())
	f.note("a", sent, &protocol.WatchReply{Held: 9 * time.Second}, nil)
	assert.Assert(t, f.Staleness() >= 8*time.Second, "it didn't vouch")
	f.note("a", sent.Add(-time.Minute), &protocol.WatchReply{Vouched: true}, nil)
	assert.Assert(t, f.Staleness() < time.Minute, "an answer that was overtaken")
}

// What a single core node has may be of long ago: a process that starts has nothing to hold it to.
func TestOneNodeAloneIsNeverBelieved(t *testing.T) {
	f := New(Options{Name: "edge", Pool: link.NewPool(link.Options{})})
	reply := &protocol.WatchReply{Revision: 4, Steps: whole(4), Vouched: true}
	assert.Equal(t, len(f.merge(reply)), 0)
	f.sources.vouched = time.Now().Add(-time.Hour)
	assert.Equal(t, len(f.merge(reply)), 0, "nor after a while")
	reply.Confirmed = true
	assert.Equal(t, f.merge(reply)[0].Revision, uint64(4))
}

// Steps are taken from what a process has, those that it has taken already are passed over, and
// where they don't fit the next question asks for the whole.
func TestStepsOfTheConfigurationAreFollowed(t *testing.T) {
	f := New(Options{Name: "edge", Pool: link.NewPool(link.Options{})})
	f.confirmed = true
	take := func(revision uint64, steps ...protocol.ConfigurationStep) (string, bool) {
		news := f.merge(&protocol.WatchReply{Revision: revision, Steps: steps})
		if len(news) == 0 {
			return "", false
		}
		return string(news[0].Configuration), true
	}
	ab, bc, cd := step(2, "a", 5, "b"), step(5, "b", 6, "c"), step(6, "c", 9, "d")
	body, ok := take(2, step(0, "", 2, "a"))
	assert.Assert(t, ok && body == "a")
	body, ok = take(6, ab, bc)
	assert.Assert(t, ok && body == "c")
	body, ok = take(9, ab, bc, cd)
	assert.Assert(t, ok && body == "d", "two steps were known from another node")
	for name, steps := range map[string][]protocol.ConfigurationStep{
		"from another revision": {step(8, "d", 10, "e")},
		"of another base":       {step(9, "x", 10, "e")},
		"none at all":           nil,
		"not to the end":        {step(9, "d", 10, "e")},
	} {
		f.whole = false
		_, ok = take(11, steps...)
		assert.Assert(t, !ok && f.whole, name)
		assert.Equal(t, f.args(false).Revision, uint64(0), name)
		assert.Equal(t, string(f.body), "d", "nothing is half taken: "+name)
	}
	body, ok = take(11, step(0, "", 11, "f"))
	assert.Assert(t, ok && body == "f" && !f.whole)
	assert.Equal(t, f.args(false).Revision, uint64(11))
}

func TestNodeAddress(t *testing.T) {
	d := directoryOf(1, "a", "b")
	n, known := FindNode(d, 2)
	assert.Assert(t, known)
	assert.Equal(t, n.Address, "b")
	_, known = FindNode(d, 3)
	assert.Assert(t, !known)
}
