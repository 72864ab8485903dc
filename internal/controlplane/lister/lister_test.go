package lister

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/servers"
	"oakseam/internal/tier/protocol"
)

var errInjected = errors.New("injected failure")

// fakeEnvironment is a fake platform and task. Its state machines hold what was published.
type fakeEnvironment struct {
	t           *testing.T
	epoch       uint64 // 0 if the task is not held
	lists       map[string][]protocol.Server
	listErr     error
	listings    int
	partition   map[int]*servers.Machine
	failPublish map[int]bool
	published   []published
	giveUps     int
	edges       []protocol.EdgeNode
}

type published struct {
	partition int
	servers.Publication
}

func newFakeEnvironment(t *testing.T) *fakeEnvironment {
	s := &fakeEnvironment{t: t, epoch: 3, partition: map[int]*servers.Machine{}, failPublish: map[int]bool{}}
	for i := range protocol.ServicePartitions {
		s.partition[i] = servers.New(nil)
	}
	return s
}

func (s *fakeEnvironment) List(context.Context) (map[string][]protocol.Server, error) {
	s.listings++
	return s.lists, s.listErr
}

func (s *fakeEnvironment) Held() (uint64, bool) { return s.epoch, s.epoch != 0 }

func (s *fakeEnvironment) Lists(partition int) []protocol.ServerList {
	lists, _ := s.partition[partition].Lists()
	return lists
}

func (s *fakeEnvironment) Publish(_ context.Context, partition int, p *servers.Publication) error {
	if s.failPublish[partition] {
		return errInjected
	}
	s.published = append(s.published, published{partition, *p})
	text, err := p.Encode()
	assert.NilError(s.t, err)
	assert.DeepEqual(s.t, s.partition[partition].Apply(text), servers.Applied)
	return nil
}

func (s *fakeEnvironment) Edges() []protocol.EdgeNode { return s.edges }

func (s *fakeEnvironment) GiveUp() { s.giveUps++ }

// serviceNames returns count service names of a partition.
func serviceNames(partition, count int) []string {
	var found []string
	for i := 0; len(found) < count; i++ {
		if name := fmt.Sprintf("service-%d", i); protocol.ServicePartition(name) == partition {
			found = append(found, name)
		}
	}
	return found
}

func server(id string) protocol.Server {
	return protocol.Server{ID: id, Address: id + ":1", Capacity: 1}
}

func TestNodeWithoutTheTaskDoesNotList(t *testing.T) {
	s := newFakeEnvironment(t)
	s.epoch = 0
	New(s, s, minListInterval).ListOnce(t.Context())
	assert.Equal(t, s.listings, 0)
}

func TestOnlyChangesArePublished(t *testing.T) {
	s := newFakeEnvironment(t)
	first, other := serviceNames(0, 2), serviceNames(2, 1)
	s.lists = map[string][]protocol.Server{first[0]: {server("a")}, first[1]: {server("b")}, other[0]: {server("c")}}
	l := New(s, s, minListInterval)
	l.ListOnce(t.Context())
	assert.Equal(t, len(s.published), 2)
	assert.Equal(t, s.published[0].partition, 0)
	assert.Equal(t, s.published[0].Epoch, uint64(3))
	assert.Equal(t, len(s.published[0].Services), 2)
	assert.Equal(t, s.published[1].partition, 2)
	assert.Assert(t, s.published[1].Sequence > s.published[0].Sequence)
	l.ListOnce(t.Context())
	assert.Equal(t, len(s.published), 2, "nothing has changed")
	s.lists[first[1]] = []protocol.Server{server("b"), server("d")}
	l.ListOnce(t.Context())
	assert.Equal(t, len(s.published), 3)
	assert.DeepEqual(t, s.published[2].Services, []servers.Service{{Name: first[1], Servers: s.lists[first[1]]}})
}

func TestServiceThatIsNoLongerListedIsRemoved(t *testing.T) {
	s := newFakeEnvironment(t)
	name := serviceNames(1, 1)[0]
	s.lists = map[string][]protocol.Server{name: {server("a")}}
	l := New(s, s, minListInterval)
	l.ListOnce(t.Context())
	s.lists = map[string][]protocol.Server{}
	l.ListOnce(t.Context())
	assert.Equal(t, len(s.Lists(1)), 0)
	l.ListOnce(t.Context())
	assert.Equal(t, len(s.published), 2)
}

func TestRemainingWarmupIsNotAChange(t *testing.T) {
	s := newFakeEnvironment(t)
	name, warming := serviceNames(1, 1)[0], server("a")
	warming.Warmup = time.Second
	s.lists = map[string][]protocol.Server{name: {warming}}
	l := New(s, s, minListInterval)
	l.ListOnce(t.Context())
	warming.Warmup = time.Millisecond
	s.lists = map[string][]protocol.Server{name: {warming}}
	l.ListOnce(t.Context())
	assert.Equal(t, len(s.published), 1)
	warming.Draining = true
	s.lists = map[string][]protocol.Server{name: {warming}}
	l.ListOnce(t.Context())
	assert.Equal(t, len(s.published), 2)
}

func TestFailedPublicationIsRepeated(t *testing.T) {
	s := newFakeEnvironment(t)
	s.failPublish[0] = true
	s.lists = map[string][]protocol.Server{serviceNames(0, 1)[0]: {server("a")}, serviceNames(3, 1)[0]: {server("b")}}
	l := New(s, s, minListInterval)
	l.ListOnce(t.Context())
	assert.Equal(t, len(s.published), 1, "the other partition must still be published")
	s.failPublish[0] = false
	l.ListOnce(t.Context())
	assert.Equal(t, len(s.published), 2)
	assert.Equal(t, s.published[1].partition, 0)
}

func TestTaskIsHandedOnAfterConsecutiveFailures(t *testing.T) {
	s := newFakeEnvironment(t)
	l := New(s, s, minListInterval)
	fail := func(times int) {
		s.listErr = errInjected
		for range times {
			l.ListOnce(t.Context())
		}
		s.listErr = nil
	}
	fail(maxConsecutiveFailures - 1)
	l.ListOnce(t.Context())
	fail(maxConsecutiveFailures - 1)
	assert.Equal(t, s.giveUps, 0, "a success must reset the count")
	fail(1)
	assert.Equal(t, s.giveUps, 1)
	fail(maxConsecutiveFailures - 1)
	assert.Equal(t, s.giveUps, 1, "the count must restart after handing the task on")
	s.epoch = 0
	l.ListOnce(t.Context())
	s.epoch = 5
	fail(1)
	assert.Equal(t, s.giveUps, 1, "failures before the task was lost must not count")
}

// A failed listing must not remove any servers.
func TestFailedListingChangesNothing(t *testing.T) {
	s := newFakeEnvironment(t)
	name := serviceNames(0, 1)[0]
	s.lists = map[string][]protocol.Server{name: {server("a")}}
	l := New(s, s, minListInterval)
	l.ListOnce(t.Context())
	s.lists, s.listErr = nil, errInjected
	l.ListOnce(t.Context())
	assert.Equal(t, len(s.published), 1)
	assert.Equal(t, len(s.Lists(0)), 1)
}

func TestRunEndsWithItsContext(t *testing.T) {
	s := newFakeEnvironment(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	New(s, s, minListInterval).Run(ctx)
	assert.Equal(t, s.listings, 1)
}

func TestIntervalFollowsFromTheDrainBound(t *testing.T) {
	for drain, want := range map[time.Duration]time.Duration{
		0: minListInterval, time.Second: minListInterval, 3 * time.Second: 750 * time.Millisecond,
		4 * time.Second: maxListInterval, time.Hour: maxListInterval,
	} {
		assert.Equal(t, Interval(drain), want, "drain bound %s", drain)
	}
}
