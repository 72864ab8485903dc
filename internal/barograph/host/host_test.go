package host

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/store"
)

func TestThreeHostsAgree(t *testing.T) {
	c := startNodes(t, 1, 0, 3, testGroup)
	owner := c.elect(testGroup)
	for i := range 20 {
		assert.Equal(t, c.propose(owner, fmt.Sprint("c", i)), fmt.Sprint(i+1))
	}
	c.alike(owner)
	for _, id := range c.order {
		n := c.nodes[id]
		if n == owner {
			continue
		}
		var notOwner *replica.NotLeaderError
		_, err := n.Propose(t.Context(), testGroup, []byte("x"))
		assert.Assert(t, errors.As(err, &notOwner))
		assert.Equal(t, notOwner.Leader, owner.id)
		err = n.Read(t.Context(), testGroup, func(Machine) { t.Error("looked") })
		assert.Assert(t, errors.As(err, &notOwner))
	}
}

// TestAnswerComesAfterTheWrites looks at the disks whenever something is applied or written.
func TestAnswerComesAfterTheWrites(t *testing.T) {
	c := startNodes(t, 2, 0, 3, testGroup)
	owner := c.elect(testGroup)
	w, err := owner.begin(testGroup, "command")
	assert.NilError(t, err)
	writes, applies := 0, 0
	for _, id := range c.order {
		n := c.nodes[id]
		n.disk.OnWrite(func([]store.Write) {
			writes++
			assert.Equal(t, len(w.done), 0)
		}, nil)
		n.machines[testGroup].applying = func([]byte) {
			applies++
			assert.Assert(t, c.holders("command") >= 2)
			assert.Equal(t, len(w.done) == 0, n == owner)
		}
	}
	var o *outcome
	c.run("answer", func() bool {
		o = took(w)
		return o != nil
	})
	assert.NilError(t, o.err)
	assert.Assert(t, applies >= 1)
	assert.Assert(t, writes >= 2)
}

// holders counts the disks that hold a command in their log.
func (c *cluster) holders(command string) int {
	count := 0
	for _, n := range c.nodes {
		stored, err := n.disk.Load()
		assert.NilError(c.t, err)
		for _, e := range stored[testGroup].Entries {
			if string(e.Data) == command {
				count++
			}
		}
	}
	return count
}

func TestRestartGoesOnWithMachineAndLog(t *testing.T) {
	for name, after := range map[string]int{"log": 0, "snapshot and log": 300} {
		t.Run(name, func(t *testing.T) {
			c := startNodes(t, 3, after, 3, testGroup)
			owner := c.elect(testGroup)
			for i := range 20 {
				c.propose(owner, fmt.Sprint("c", i))
			}
			before := owner.machines[testGroup].text()
			for _, id := range c.order {
				c.restart(id)
			}
			owner = c.elect(testGroup)
			assert.Equal(t, owner.machines[testGroup].text(), before)
			assert.Equal(t, c.propose(owner, "more"), "21")
			c.alike(owner)
			stored, err := owner.disk.Load()
			assert.NilError(t, err)
			assert.Equal(t, stored[testGroup].Snapshot.Index > firstIndex, after > 0)
			assert.Assert(t, after == 0 || len(stored[testGroup].Entries) < 20)
		})
	}
}

func TestEmptyFollowerTakesTheSnapshot(t *testing.T) {
	c := startNodes(t, 4, 500, 1, testGroup)
	owner := c.elect(testGroup)
	for i := range 20 {
		c.propose(owner, fmt.Sprint("before", i))
	}
	c.restart(1) // whose log begins at the snapshot then
	owner = c.elect(testGroup)
	learner := c.start(2, store.NewMemory())
	assert.Equal(t, len(learner.Held()), 0)
	c.change(owner, replica.Members{Voters: []replica.NodeID{1}, Learners: []replica.NodeID{2}})
	c.alike(owner)
	stored, err := learner.disk.Load()
	assert.NilError(t, err)
	assert.Assert(t, stored[testGroup].Snapshot.Index > firstIndex)
	assert.DeepEqual(t, learner.Held(), []replica.GroupID{testGroup})
	learner = c.restart(2)
	c.propose(owner, "after")
	c.alike(owner)
	assert.Assert(t, strings.HasSuffix(learner.machines[testGroup].text(), "before19 after"))
}

func TestDeposedOwnerGivesUnknownOutcome(t *testing.T) {
	c := startNodes(t, 5, 0, 3, testGroup)
	old := c.elect(testGroup)
	c.propose(old, "first")
	c.cut[old.id] = true
	w, err := old.begin(testGroup, "lost")
	assert.NilError(t, err)
	fresh := c.elect(testGroup)
	assert.Assert(t, fresh != old)
	c.propose(fresh, "second")
	c.cut[old.id] = false
	var o *outcome
	c.run("answer", func() bool {
		o = took(w)
		return o != nil
	})
	var unknown *UnknownOutcomeError
	assert.Assert(t, errors.As(o.err, &unknown))
	c.alike(fresh)
	assert.Equal(t, old.machines[testGroup].text(), "first second")
}

func TestReadNeedsTheLease(t *testing.T) {
	c := startNodes(t, 6, 0, 3, testGroup)
	owner := c.elect(testGroup)
	c.propose(owner, "first")
	seen := ""
	look := func(m Machine) { seen = m.(*list).text() }
	assert.NilError(t, owner.Read(t.Context(), testGroup, look))
	assert.Equal(t, seen, "first")
	err := owner.Read(t.Context(), testGroup, func(Machine) { c.now += testTiming.LeaseDuration + time.Millisecond })
	assert.ErrorIs(t, err, ErrNoLease) // it ran out while looking
	assert.ErrorIs(t, owner.Read(t.Context(), testGroup, look), ErrNoLease)
	assert.NilError(t, owner.Peek(testGroup, look))
}

func TestReadWaitsForWhatIsCommitted(t *testing.T) {
	c := startNodes(t, 7, 0, 1, testGroup)
	owner := c.elect(testGroup)
	w, err := owner.begin(testGroup, "first")
	assert.NilError(t, err)
	more, err := owner.round(t.Context()) // writes and so commits, but doesn't apply
	assert.NilError(t, err)
	assert.Assert(t, more)
	assert.Assert(t, took(w) == nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, owner.Read(ctx, testGroup, func(Machine) { t.Error("looked") }), context.Canceled)
	assert.NilError(t, owner.turn())
	seen := ""
	assert.NilError(t, owner.Read(ctx, testGroup, func(m Machine) { seen = m.(*list).text() }))
	assert.Equal(t, seen, "first")
}

func TestStoreFailureEndsRunAndNothingIsAnswered(t *testing.T) {
	c := startNodes(t, 8, 0, 1, testGroup)
	owner := c.elect(testGroup)
	w, err := owner.begin(testGroup, "command")
	assert.NilError(t, err)
	owner.disk.Fail()
	err = owner.Run(t.Context())
	assert.ErrorIs(t, err, store.ErrFailed)
	assert.Assert(t, !errors.Is(err, store.ErrFull))
	o := took(w)
	var unknown *UnknownOutcomeError
	assert.Assert(t, errors.As(o.err, &unknown))
	assert.ErrorIs(t, o.err, store.ErrFailed)
	assert.Equal(t, owner.machines[testGroup].text(), "")
	_, err = owner.Propose(t.Context(), testGroup, nil)
	assert.ErrorIs(t, err, ErrStopped)
}

// A full disk ends nothing: nothing is sent or answered that isn't durable, and all goes on once
// there is room.
func TestFullDiskIsWaitedFor(t *testing.T) {
	c := startNodes(t, 8, 0, 3, testGroup)
	owner := c.elect(testGroup)
	w, err := owner.begin(testGroup, "command")
	assert.NilError(t, err)
	owner.disk.Fill()
	var pauses []time.Duration
	owner.pause = func(_ context.Context, span time.Duration) bool {
		pauses = append(pauses, span)
		assert.Assert(t, took(w) == nil, "answered before it is durable")
		assert.Equal(t, owner.machines[testGroup].text(), "")
		if len(pauses) == 10 {
			owner.disk.Empty()
		}
		return true
	}
	assert.NilError(t, owner.turn())
	assert.Equal(t, len(pauses), 10)
	assert.Assert(t, slices.IsSorted(pauses) && pauses[9] == fullPauseMost, "%v", pauses)
	c.run("answer", func() bool { return took(w) != nil })
	assert.Equal(t, owner.machines[testGroup].text(), "command")
}

func TestFullDiskDoesntHoldAnEndUp(t *testing.T) {
	c := startNodes(t, 8, 0, 1, testGroup)
	owner := c.elect(testGroup)
	w, err := owner.begin(testGroup, "command")
	assert.NilError(t, err)
	owner.disk.Fill()
	ctx, cancel := context.WithCancel(t.Context())
	owner.pause = func(context.Context, time.Duration) bool { cancel(); return false }
	assert.ErrorIs(t, owner.Run(ctx), store.ErrFull)
	assert.Assert(t, took(w).err != nil)
}

func TestContextOverGivesUnknownOutcome(t *testing.T) {
	c := startNodes(t, 9, 0, 1, testGroup)
	owner := c.elect(testGroup)
	ctx, cancel := context.WithCancel(t.Context())
	g, index, w, err := owner.enter(testGroup, func(g *group) (uint64, uint64, error) {
		cancel()
		return g.replica.Propose(c.now, []byte("command"))
	})
	assert.NilError(t, err)
	_, err = owner.leave(g, index, w, ctx.Err())
	var unknown *UnknownOutcomeError
	assert.Assert(t, errors.As(err, &unknown))
	assert.ErrorIs(t, err, context.Canceled)
	assert.NilError(t, owner.turn())
	assert.Equal(t, owner.machines[testGroup].text(), "command") // it did come into force
	_, err = owner.Propose(ctx, testGroup, nil)
	assert.Equal(t, err, context.Canceled) // nothing was proposed
}

func TestTooManyProposalsAreRefused(t *testing.T) {
	c := startNodes(t, 10, 0, 1, testGroup)
	owner := c.elect(testGroup)
	for range MaxPending {
		_, err := owner.begin(testGroup, "c")
		assert.NilError(t, err)
	}
	_, err := owner.begin(testGroup, "c")
	assert.ErrorIs(t, err, ErrOverload)
	assert.NilError(t, owner.turn())
	_, err = owner.begin(testGroup, "c")
	assert.NilError(t, err)
}

// TestCallsGoOnDuringAWrite proposes while the disk is busy: the proposals share the next write.
func TestCallsGoOnDuringAWrite(t *testing.T) {
	c := startNodes(t, 11, 0, 1, testGroup)
	owner := c.elect(testGroup)
	var entries []int
	owner.disk.OnWrite(func(batch []store.Write) {
		entries = append(entries, len(batch[0].Entries))
		assert.Assert(t, owner.mu.TryLock(), "calls are shut out during a write")
		owner.mu.Unlock()
		if len(entries) > 1 {
			return
		}
		owner.Deliver([]replica.Message{{Group: testGroup, To: 1, From: 9}})
		for range 3 {
			_, err := owner.begin(testGroup, "c")
			assert.NilError(t, err)
		}
	}, nil)
	_, err := owner.begin(testGroup, "c")
	assert.NilError(t, err)
	assert.NilError(t, owner.turn())
	assert.DeepEqual(t, entries, []int{1, 3})
}

// TestGroupsShareWritesAndMessages has five groups commit at once.
func TestGroupsShareWritesAndMessages(t *testing.T) {
	groups := []replica.GroupID{"a", "b", "c", "d", "e"}
	c := startNodes(t, 12, 0, 3, groups...)
	for _, group := range groups {
		assert.NilError(t, c.nodes[1].Campaign(group))
		assert.Equal(t, c.elect(group), c.nodes[1])
	}
	owner := c.nodes[1]
	var sizes []int
	owner.disk.OnWrite(func(batch []store.Write) { sizes = append(sizes, len(batch)) }, nil)
	for _, group := range groups {
		_, err := owner.begin(group, "command")
		assert.NilError(t, err)
	}
	c.sends = 0
	more, err := owner.round(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, more)
	assert.DeepEqual(t, sizes, []int{len(groups)})
	assert.Equal(t, c.sends, 2)
	statuses := owner.Statuses()
	assert.Equal(t, len(statuses), len(groups))
	assert.Equal(t, statuses[4].Group, groups[4])
}

func TestAppliedTellsOfNews(t *testing.T) {
	c := startNodes(t, 13, 0, 3, testGroup)
	follower := c.nodes[3]
	_, changed := follower.Applied(testGroup)
	assert.NilError(t, c.nodes[1].Campaign(testGroup))
	owner := c.elect(testGroup)
	assert.Equal(t, owner.id, replica.NodeID(1))
	<-changed
	c.alike(owner)
	index, changed := owner.Applied(testGroup)
	_, same := owner.Applied(testGroup)
	assert.Equal(t, changed, same)
	c.propose(owner, "command")
	<-changed
	now, _ := owner.Applied(testGroup)
	assert.Equal(t, now, index+1)
	_, changed = owner.Applied("nowhere")
	<-changed
}

func TestRemoveForgetsTheGroup(t *testing.T) {
	c := startNodes(t, 14, 0, 1, testGroup)
	owner := c.elect(testGroup)
	w, err := owner.begin(testGroup, "command")
	assert.NilError(t, err)
	assert.NilError(t, owner.Remove(testGroup))
	assert.ErrorIs(t, took(w).err, ErrNoGroup)
	assert.ErrorIs(t, owner.Remove(testGroup), ErrNoGroup)
	assert.ErrorIs(t, owner.Peek(testGroup, nil), ErrNoGroup)
	assert.Equal(t, len(owner.Held()), 0)
	assert.NilError(t, owner.turn())
	assert.Equal(t, len(c.restart(1).Held()), 0)
}

func TestAddRefusesAGroupTwiceAndABadState(t *testing.T) {
	c := startNodes(t, 15, 0, 1, testGroup)
	n := c.nodes[1]
	assert.ErrorIs(t, n.Add(testGroup, replica.Members{}, nil, &list{}), ErrGroup)
	var refused *RestoreError
	err := n.Add("other", replica.Members{Voters: []replica.NodeID{1}}, []byte("refused"), &list{})
	assert.Assert(t, errors.As(err, &refused))
	assert.ErrorIs(t, n.Peek("other", nil), ErrNoGroup)
}

func TestFirstStateIsKept(t *testing.T) {
	c := startNodes(t, 16, 0, 1)
	first := &list{}
	assert.NilError(t, c.nodes[1].Add(testGroup, replica.Members{Voters: []replica.NodeID{1}}, []byte("a\nb"), first))
	assert.Equal(t, first.text(), "a b")
	c.elect(testGroup)
	n := c.restart(1)
	assert.Equal(t, n.machines[testGroup].text(), "a b")
	assert.Equal(t, c.elect(testGroup), n)
}

func TestMessagesForAnotherIncarnationAreDropped(t *testing.T) {
	c := startNodes(t, 17, 0, 1)
	c.nodes[1].Deliver([]replica.Message{{Group: "unheard", To: 9, From: 2}})
	assert.ErrorIs(t, c.nodes[1].Peek("unheard", nil), ErrNoGroup)
	c.nodes[1].Deliver([]replica.Message{{Group: "unheard", To: 1, From: 2}})
	assert.NilError(t, c.nodes[1].Peek("unheard", func(Machine) {}))
}

func TestRunEndsWithItsContext(t *testing.T) {
	c := startNodes(t, 18, 0, 1, testGroup)
	owner := c.elect(testGroup)
	w, err := owner.begin(testGroup, "command")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, owner.Run(ctx))
	assert.ErrorIs(t, took(w).err, ErrStopped)
	assert.ErrorIs(t, owner.Campaign(testGroup), ErrStopped)
}

// TestFirstStateReachesAnEmptyFollower has no log to speak of, and a state that no entry made.
func TestFirstStateReachesAnEmptyFollower(t *testing.T) {
	c := startNodes(t, 21, 0, 1)
	assert.NilError(t, c.nodes[1].Add(testGroup, replica.Members{Voters: []replica.NodeID{1}}, []byte("a\nb"), &list{}))
	owner := c.elect(testGroup)
	learner := c.start(2, store.NewMemory())
	c.change(owner, replica.Members{Voters: []replica.NodeID{1}, Learners: []replica.NodeID{2}})
	c.run("state", func() bool { return learner.machines[testGroup] != nil && learner.machines[testGroup].text() == "a b" })
}

// TestIdleHostWaitsForTheNextTick has a follower that nobody speaks to wait for its election,
// once it need no longer ask who else starts anew.
func TestIdleHostWaitsForTheNextTick(t *testing.T) {
	c := startNodes(t, 19, 0, 2, testGroup)
	c.elect(testGroup)
	c.restart(1)
	assert.NilError(t, c.nodes[1].turn())
	asks := c.nodes[1].wait()
	assert.Assert(t, asks > 0 && asks < testTiming.ElectionTimeout, "%v", asks)
	c.now += 3 * testTiming.ElectionTimeout
	assert.NilError(t, c.nodes[1].turn())
	wait := c.nodes[1].wait()
	assert.Assert(t, wait >= testTiming.ElectionTimeout && wait <= testTiming.ElectionTimeout+testTiming.ElectionJitter, "%v", wait)
	empty := startNodes(t, 20, 0, 1)
	assert.NilError(t, empty.nodes[1].turn())
	assert.Equal(t, empty.nodes[1].wait(), time.Hour)
}
