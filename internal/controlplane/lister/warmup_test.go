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

func newWarmupTest(t *testing.T, edges ...string) *warmupTest {
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

func TestHoldersAreFewAndChosenByServer(t *testing.T) {
	var edges []string
	for i := range 60 {
		edges = append(edges, fmt.Sprint("edge-", i))
	}
	assert.Equal(t, len(chooseHolders("a", edges).Split()), maxWarmupHolders)
	assert.Assert(t, chooseHolders("a", edges) != chooseHolders("b", edges))
	assert.Equal(t, chooseHolders("a", nil), protocol.NodeNames(""))
}

// A lister that grants to other edges while some still hold the earlier grants would exceed the server's rate.
func TestNewListerKeepsHoldersWhileServerIsCold(t *testing.T) {
	w := newWarmupTest(t, "edge-1", "edge-2")
	first := w.list(3 * time.Second)
	assert.Equal(t, len(first.WarmupHolders.Split()), 2)
	w.takeOver()
	w.edges = []string{"edge-3"}
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
