package tallysync

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/tallies"
)

const (
	randomSeeds   = 16
	randomLength  = 40 * time.Second // of one history, in virtual time
	randomLosses  = 2
	callerTimeout = time.Second // after which a caller turns to another node
	maxStartGap   = 2000        // between two starts after all power was lost, in milliseconds
)

// history plays random troubles within what must be borne, and callers that add and read meanwhile.
type history struct {
	*cluster
	random *rand.Rand
	seed   uint64

	mu       sync.Mutex
	sent     map[string]bool   // ids of which an add may have been counted
	accepted map[string]bool   // ids whose add was acknowledged
	disks    map[int]*testDisk // of stopped nodes
	origins  tallies.Origin    // the newest one of a wiped disk
}

// TestRandomTroublesLoseNoAcknowledgedAdd wipes up to the tolerated number of disks at once, also when all
// nodes lose power, and cuts, stops, fills and stalls others meanwhile. Disks are wiped only while no add is
// acknowledged behind a cut and not yet merged.
func TestRandomTroublesLoseNoAcknowledgedAdd(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runCluster(t, randomLosses, fiveZones, func(t *testing.T, c *cluster) {
				h := &history{cluster: c, random: rand.New(rand.NewPCG(seed, 61)), seed: seed, sent: map[string]bool{}, accepted: map[string]bool{}, disks: map[int]*testDisk{}, origins: 1000}
				h.play()
			})
		})
	}
}

func (h *history) play() {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for caller := range 4 {
		callers.Go(func() { h.call(ctx, caller) })
	}
	for end := time.Now().Add(randomLength); time.Now().Before(end); {
		switch h.random.IntN(5) {
		case 0:
			h.cutForAWhile()
		case 1, 2:
			h.loseMachines(1+h.random.IntN(randomLosses), h.random.IntN(2) == 0)
		case 3:
			h.troubleADisk()
			h.loseMachines(randomLosses, false)
		case 4:
			h.loseAllPower()
		}
		h.pause(100, 2000)
	}
	h.loseAllPower()
	time.Sleep(2 * time.Second)
	cancel()
	callers.Wait()
	time.Sleep(testMerge)
	h.check()
}

// pause sleeps for a random time, in milliseconds.
func (h *history) pause(least, most int) {
	time.Sleep(time.Duration(least+h.random.IntN(most-least)) * time.Millisecond)
}

// call adds and reads until ctx ends, as a caller that starts with its nearest node does.
func (h *history) call(ctx context.Context, caller int) {
	for i := 0; ctx.Err() == nil; i++ {
		member := fmt.Sprintf("c%d-%d", caller, i)
		for try := range 4 {
			n := h.node((caller + try) % len(h.known))
			if n == nil {
				time.Sleep(time.Millisecond)
				continue
			}
			callCtx, cancel := context.WithTimeout(context.Background(), callerTimeout)
			err := n.Add(callCtx, "t", member, 1)
			cancel()
			h.mu.Lock()
			h.sent[member] = h.sent[member] || !errors.Is(err, ErrNotReady)
			if err == nil {
				h.accepted[member] = true
			}
			h.mu.Unlock()
			if err == nil {
				h.checkRead(n, member)
				break
			}
		}
		time.Sleep(60 * time.Millisecond)
	}
}

// checkRead checks that a node holds the add that it has just acknowledged.
func (h *history) checkRead(n *testNode, member string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, held := n.state.Find("t", member)
	assert.Check(h.t, held, "seed %d: an acknowledged add is not held", h.seed)
}

// cutForAWhile cuts links, often kills nodes meanwhile, and waits until both sides are merged again.
func (h *history) cutForAWhile() {
	a, b := name(h.random.IntN(5)), name(h.random.IntN(5))
	switch h.random.IntN(4) {
	case 0:
		h.split(1 + h.random.IntN(4))
	case 1: // one way
		h.setCut(func(from, to string) bool { return from == a && to == b })
	case 2: // bridge
		h.setCut(func(from, to string) bool { return from == a && to == b || from == b && to == a })
	case 3: // nothing gets out
		h.setCut(func(from, to string) bool { return from == a })
	}
	h.pause(200, 5000)
	if h.random.IntN(2) == 0 {
		h.killDuringCut()
	}
	h.heal()
	time.Sleep(testMerge)
}

// killDuringCut kills one to all of the nodes at the same moment and starts them with their disks, so that
// some start on a side that is cut off.
func (h *history) killDuringCut() {
	killed := h.random.Perm(5)[:1+h.random.IntN(5)]
	h.stopAt(killed...)
	h.pause(10, 1000)
	for _, i := range killed {
		h.startAt(i, false)
		h.pause(1, 200)
	}
	h.pause(200, 8000)
}

// troubleADisk fills or stalls one disk for a while.
func (h *history) troubleADisk() {
	n := h.node(h.random.IntN(5))
	if h.random.IntN(2) == 0 {
		n.disk.setFull(true)
	} else {
		n.disk.setStall(3 * time.Second)
	}
	disk, length := n.disk, time.Duration(2000+h.random.IntN(3000))*time.Millisecond
	time.AfterFunc(length, func() {
		disk.setFull(false)
		disk.setStall(0)
	})
}

// loseMachines ends nodes for a while, with or without their disks.
func (h *history) loseMachines(count int, wipe bool) {
	lost := h.random.Perm(5)[:count]
	for _, i := range lost {
		h.stopAt(i)
	}
	h.pause(10, 3000)
	for _, i := range lost {
		h.startAt(i, wipe)
	}
	h.pause(500, 1500)
}

// loseAllPower ends all nodes, loses some of the disks, and starts the nodes one after another, also so far
// apart that the first ones are alone for long. The disk of the first one may be lost just before the next
// one starts.
func (h *history) loseAllPower() {
	order := h.random.Perm(5)
	h.stopAt(order...)
	h.pause(10, 1000)
	gap := []int{200, maxStartGap}[h.random.IntN(2)]
	wiped := h.random.IntN(randomLosses + 1)
	for at, i := range order {
		h.startAt(i, at < wiped)
		h.pause(1, gap)
		if at == 0 && wiped < randomLosses && h.random.IntN(2) == 0 {
			h.stopAt(i)
			h.startAt(i, true)
		}
	}
	h.pause(1000, 2000)
}

// stopAt ends processes at the same moment, and returns once their last writes have ended.
func (h *history) stopAt(nodes ...int) {
	var stopped []*testNode
	for _, i := range nodes {
		n := h.node(i)
		h.cluster.mu.Lock()
		delete(h.nodes, n.self.Address)
		h.cluster.mu.Unlock()
		n.cancel()
		h.disks[i] = n.disk
		stopped = append(stopped, n)
	}
	for _, n := range stopped {
		assert.NilError(h.t, <-n.ended)
	}
}

func (h *history) startAt(i int, wipe bool) {
	disk := h.disks[i]
	if wipe {
		h.origins++
		disk = &testDisk{origin: h.origins}
	}
	h.start(i, disk)
}

// check checks the totals of all nodes at the end.
func (h *history) check() {
	h.t.Helper()
	h.t.Logf("seed %d: %d adds sent, %d acknowledged", h.seed, len(h.sent), len(h.accepted))
	for i := range h.known {
		n := h.node(i)
		total, err := n.Total("t")
		assert.NilError(h.t, err, "seed %d: node %d", h.seed, i)
		sent := int64(0)
		for member, may := range h.sent {
			if may {
				sent++
			}
			if h.accepted[member] {
				_, held := n.state.Find("t", member)
				assert.Check(h.t, held, "seed %d: node %d lacks the acknowledged add %s", h.seed, i, member)
			}
		}
		assert.Check(h.t, total <= sent, "seed %d: node %d has %d, sent %d", h.seed, i, total, sent)
	}
}
