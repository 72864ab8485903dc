package lister

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/tier/protocol"
)

// warmupTest lists one server that is cold from time to time.
type warmupTest struct {
	*fakeEnvironment
	service string
	lister  *Lister
}

func newWarmupTest(t *testing.T, edges ...protocol.EdgeNode) *warmupTest {
	w := &warmupTest{fakeEnvironment: newFakeEnvironment(t), service: serviceNames(1, 1)[0]}
	w.edges = edges
	w.takeOver()
	return w
}

// takeOver continues with a lister that knows nothing of the earlier listings, as on another node.
func (w *warmupTest) takeOver() {
	w.epoch++
	w.lister = New(w, w, minListInterval)
}

// list lists the server with a remaining warm-up time and returns its entry.
func (w *warmupTest) list(remaining time.Duration) protocol.Server {
	w.t.Helper()
	s := server("a")
	s.Warmup = remaining
	w.lists = map[string][]protocol.Server{w.service: {s}}
	w.lister.ListOnce(w.t.Context())
	return w.Lists(1)[0].Servers[0]
}

// A node that starts later must not take a server for cold that has long been warm.
func TestEndOfWarmupIsPublishedOnce(t *testing.T) {
	w := newWarmupTest(t)
	assert.Equal(t, w.list(time.Second).Warmup, time.Second)
	assert.Equal(t, w.list(0).Warmup, time.Duration(0))
	w.list(0)
	assert.Equal(t, len(w.published), 2)
}

func TestServerThatIsColdAgainGetsAnotherNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWarmupTest(t)
		assert.Equal(t, w.list(time.Second).WarmupPeriod, uint64(1))
		time.Sleep(2 * time.Second)
		w.list(0)
		assert.Equal(t, w.list(3*time.Second).WarmupPeriod, uint64(2))
	})
}

// Its remaining time may be shorter than in the listing before and still end later.
func TestServerThatIsColdAgainBeforeItIsWarmIsPublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWarmupTest(t)
		w.list(3 * time.Second)
		time.Sleep(time.Second)
		w.list(2*time.Second + warmupTolerance/2) // the platform's list is not always equally old
		assert.Equal(t, len(w.published), 1)
		time.Sleep(500 * time.Millisecond)
		again := w.list(2500 * time.Millisecond)
		assert.Equal(t, again.WarmupPeriod, uint64(2))
		assert.Equal(t, again.Warmup, 2500*time.Millisecond)
	})
}

// Edges of other zones would cross zones for what the edges of its own zone could send.
func TestHoldersAreFewAndOfTheServersZone(t *testing.T) {
	var edges []protocol.EdgeNode
	for i := range 60 {
		edges = append(edges, protocol.EdgeNode{Name: fmt.Sprint("edge-", i), Zone: fmt.Sprint("z", i%4)})
	}
	zones := map[string]string{}
	for _, e := range edges {
		zones[e.Name] = e.Zone
	}
	holds := map[string]int{}
	for i := range 15 {
		holders := chooseHolders(protocol.Server{ID: fmt.Sprint("i-", i), Zone: "z1"}, edges).Split()
		assert.Equal(t, len(holders), maxWarmupHolders)
		for _, name := range holders {
			assert.Equal(t, zones[name], "z1")
			holds[name]++
		}
	}
	assert.Assert(t, len(holds) > 10, "the grants are spread over the edges of the zone: %v", holds)
	alone := chooseHolders(protocol.Server{ID: "a", Zone: "z9"}, edges[:3]).Split()
	assert.Equal(t, len(alone), 3, "edges of other zones take the place of missing ones")
	assert.Equal(t, chooseHolders(server("a"), nil), protocol.NodeNames(""))
}

// A lister that grants to other edges while some still hold the earlier grants would exceed the server's rate.
func TestNewListerKeepsHoldersWhileServerIsCold(t *testing.T) {
	w := newWarmupTest(t, protocol.EdgeNode{Name: "edge-1"}, protocol.EdgeNode{Name: "edge-2"})
	first := w.list(3 * time.Second)
	assert.Equal(t, len(first.WarmupHolders.Split()), 2)
	w.takeOver()
	w.edges = []protocol.EdgeNode{{Name: "edge-3"}}
	next := w.list(2 * time.Second)
	assert.Equal(t, next.WarmupHolders, first.WarmupHolders)
	assert.Equal(t, next.Warmup, 2*time.Second, "the time may have grown since")
	w.list(0)
	assert.Equal(t, w.list(3*time.Second).WarmupHolders, protocol.NodeNames("edge-3"), "a later warm-up has its own holders")
}

// If a publication fails in which a time has grown, the next listing must publish it.
func TestGrownWarmupIsPublishedAfterFailure(t *testing.T) {
	w := newWarmupTest(t)
	w.list(time.Second)
	w.failPublish[1] = true
	w.list(3 * time.Second)
	w.failPublish[1] = false
	assert.Equal(t, w.list(2*time.Second).Warmup, 2*time.Second)
}
