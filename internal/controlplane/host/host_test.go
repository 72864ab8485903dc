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

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/store"
)

// All members must apply the same commands, and only the leader may accept proposals and reads.
func TestThreeHostsApplySameCommands(t *testing.T) {
	c := startCluster(t, 1, 0, 3, testGroup)
	leader := c.awaitLeader(testGroup)
	for i := range 20 {
		assert.Equal(t, c.propose(leader, fmt.Sprint("c", i)), fmt.Sprint(i+1))
	}
	c.awaitSameState(leader)
	for _, id := range c.order {
		n := c.nodes[id]
		if n == leader {
			continue
		}
		var notLeader *replica.NotLeaderError
		_, err := n.Propose(t.Context(), testGroup, []byte("x"))
		assert.Assert(t, errors.As(err, &notLeader))
		assert.Equal(t, notLeader.Leader, leader.id)
		err = n.Read(t.Context(), testGroup, func(StateMachine) { t.Error("a read was served") })
		assert.Assert(t, errors.As(err, &notLeader))
	}
}

// A proposal must not be applied or answered before a majority of the disks holds it. The test
// checks the disks at every write and every Apply.
func TestProposalIsAnsweredOnlyAfterMajorityIsDurable(t *testing.T) {
	c := startCluster(t, 2, 0, 3, testGroup)
	leader := c.awaitLeader(testGroup)
	w, err := leader.proposeAsync(testGroup, "command")
	assert.NilError(t, err)
	writes, applies := 0, 0
	for _, id := range c.order {
		n := c.nodes[id]
		n.disk.OnWrite(func([]store.Write) {
			writes++
			assert.Equal(t, len(w.done), 0)
		}, nil)
		n.machines[testGroup].beforeApply = func([]byte) {
			applies++
			assert.Assert(t, c.disksHolding("command") >= 2)
			assert.Equal(t, len(w.done) == 0, n == leader)
		}
	}
	var o *outcome
	c.runUntil("the outcome of the proposal", func() bool {
		o = receivedOutcome(w)
		return o != nil
	})
	assert.NilError(t, o.err)
	assert.Assert(t, applies >= 1)
	assert.Assert(t, writes >= 2)
}

// disksHolding counts the disks whose log contains a command.
func (c *cluster) disksHolding(command string) int {
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

// A restart must recover the state machine and the log, with and without a snapshot.
func TestRestartRecoversStateMachineAndLog(t *testing.T) {
	for name, compactAfter := range map[string]int{"log": 0, "snapshot and log": 300} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, 3, compactAfter, 3, testGroup)
			leader := c.awaitLeader(testGroup)
			for i := range 20 {
				c.propose(leader, fmt.Sprint("c", i))
			}
			before := leader.machines[testGroup].text()
			for _, id := range c.order {
				c.restart(id)
			}
			leader = c.awaitLeader(testGroup)
			assert.Equal(t, leader.machines[testGroup].text(), before)
			assert.Equal(t, c.propose(leader, "more"), "21")
			c.awaitSameState(leader)
			stored, err := leader.disk.Load()
			assert.NilError(t, err)
			assert.Equal(t, stored[testGroup].Snapshot.Index > initialIndex, compactAfter > 0)
			assert.Assert(t, compactAfter == 0 || len(stored[testGroup].Entries) < 20)
		})
	}
}

// A member that joins with an empty disk must catch up from a snapshot if the log no longer
// reaches back to the beginning, and must keep it across a restart.
func TestEmptyLearnerInstallsSnapshot(t *testing.T) {
	c := startCluster(t, 4, 500, 1, testGroup)
	leader := c.awaitLeader(testGroup)
	for i := range 20 {
		c.propose(leader, fmt.Sprint("before", i))
	}
	c.restart(1) // after the restart its log begins at the snapshot
	leader = c.awaitLeader(testGroup)
	learner := c.start(2, store.NewMemory())
	assert.Equal(t, len(learner.StoredGroups()), 0)
	c.changeMembers(leader, replica.Members{Voters: []replica.NodeID{1}, Learners: []replica.NodeID{2}})
	c.awaitSameState(leader)
	stored, err := learner.disk.Load()
	assert.NilError(t, err)
	assert.Assert(t, stored[testGroup].Snapshot.Index > initialIndex)
	assert.DeepEqual(t, learner.StoredGroups(), []replica.GroupID{testGroup})
	learner = c.restart(2)
	c.propose(leader, "after")
	c.awaitSameState(leader)
	assert.Assert(t, strings.HasSuffix(learner.machines[testGroup].text(), "before19 after"))
}

// An isolated leader may lose an entry that it accepted. Its caller must get an unknown outcome,
// and the entry must not be applied.
func TestDeposedLeaderReturnsUnknownOutcome(t *testing.T) {
	c := startCluster(t, 5, 0, 3, testGroup)
	old := c.awaitLeader(testGroup)
	c.propose(old, "first")
	c.isolated[old.id] = true
	w, err := old.proposeAsync(testGroup, "lost")
	assert.NilError(t, err)
	fresh := c.awaitLeader(testGroup)
	assert.Assert(t, fresh != old)
	c.propose(fresh, "second")
	c.isolated[old.id] = false
	var o *outcome
	c.runUntil("the outcome of the proposal", func() bool {
		o = receivedOutcome(w)
		return o != nil
	})
	var unknown *UnknownOutcomeError
	assert.Assert(t, errors.As(o.err, &unknown))
	c.awaitSameState(fresh)
	assert.Equal(t, old.machines[testGroup].text(), "first second")
}

// Read must fail if the lease expires before or during the read. ReadLocal needs no lease.
func TestReadRequiresLease(t *testing.T) {
	c := startCluster(t, 6, 0, 3, testGroup)
	leader := c.awaitLeader(testGroup)
	c.propose(leader, "first")
	seen := ""
	look := func(m StateMachine) { seen = m.(*commandLog).text() }
	assert.NilError(t, leader.Read(t.Context(), testGroup, look))
	assert.Equal(t, seen, "first")
	err := leader.Read(t.Context(), testGroup, func(StateMachine) { c.now += testTiming.LeaseDuration + time.Millisecond })
	assert.ErrorIs(t, err, ErrNoLease) // the lease expired during the read
	assert.ErrorIs(t, leader.Read(t.Context(), testGroup, look), ErrNoLease)
	assert.NilError(t, leader.ReadLocal(testGroup, look))
}

// Read must not show a state that lacks entries which are committed but not applied yet.
func TestReadWaitsForCommittedEntries(t *testing.T) {
	c := startCluster(t, 7, 0, 1, testGroup)
	leader := c.awaitLeader(testGroup)
	w, err := leader.proposeAsync(testGroup, "first")
	assert.NilError(t, err)
	more, err := leader.round(t.Context()) // writes and thereby commits, but does not apply
	assert.NilError(t, err)
	assert.Assert(t, more)
	assert.Assert(t, receivedOutcome(w) == nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, leader.Read(ctx, testGroup, func(StateMachine) { t.Error("a read was served") }), context.Canceled)
	assert.NilError(t, leader.deliverAndRun())
	seen := ""
	assert.NilError(t, leader.Read(ctx, testGroup, func(m StateMachine) { seen = m.(*commandLog).text() }))
	assert.Equal(t, seen, "first")
}

// After a store failure nothing may be applied or confirmed, and Run must return the error.
func TestStoreFailureEndsRunWithoutResult(t *testing.T) {
	c := startCluster(t, 8, 0, 1, testGroup)
	leader := c.awaitLeader(testGroup)
	w, err := leader.proposeAsync(testGroup, "command")
	assert.NilError(t, err)
	leader.disk.FailNextChange()
	err = leader.Run(t.Context())
	assert.ErrorIs(t, err, store.ErrFailed)
	assert.Assert(t, !errors.Is(err, store.ErrFull))
	o := receivedOutcome(w)
	var unknown *UnknownOutcomeError
	assert.Assert(t, errors.As(o.err, &unknown))
	assert.ErrorIs(t, o.err, store.ErrFailed)
	assert.Equal(t, leader.machines[testGroup].text(), "")
	_, err = leader.Propose(t.Context(), testGroup, nil)
	assert.ErrorIs(t, err, ErrStopped)
}

// A full disk must not end the process. Nothing is applied or answered before it is durable, and
// the work continues once there is free space.
func TestFullDiskDelaysAnswersUntilSpaceIsFree(t *testing.T) {
	c := startCluster(t, 8, 0, 3, testGroup)
	leader := c.awaitLeader(testGroup)
	w, err := leader.proposeAsync(testGroup, "command")
	assert.NilError(t, err)
	leader.disk.FillDisk()
	var pauses []time.Duration
	leader.sleep = func(_ context.Context, span time.Duration) bool {
		pauses = append(pauses, span)
		assert.Assert(t, receivedOutcome(w) == nil, "the proposal was answered before it was durable")
		assert.Equal(t, leader.machines[testGroup].text(), "")
		if len(pauses) == 10 {
			leader.disk.FreeDisk()
		}
		return true
	}
	assert.NilError(t, leader.deliverAndRun())
	assert.Equal(t, len(pauses), 10)
	assert.Assert(t, slices.IsSorted(pauses) && pauses[9] == maxFullDiskBackoff, "%v", pauses)
	c.runUntil("the outcome of the proposal", func() bool { return receivedOutcome(w) != nil })
	assert.Equal(t, leader.machines[testGroup].text(), "command")
}

// Run must return when its context ends, also while it waits for space on a full disk.
func TestFullDiskDoesNotDelayShutdown(t *testing.T) {
	c := startCluster(t, 8, 0, 1, testGroup)
	leader := c.awaitLeader(testGroup)
	w, err := leader.proposeAsync(testGroup, "command")
	assert.NilError(t, err)
	leader.disk.FillDisk()
	ctx, cancel := context.WithCancel(t.Context())
	leader.sleep = func(context.Context, time.Duration) bool { cancel(); return false }
	assert.ErrorIs(t, leader.Run(ctx), store.ErrFull)
	assert.Assert(t, receivedOutcome(w).err != nil)
}

// A proposal whose context ends may still be committed, so its outcome is unknown. With a context
// that ended before, nothing is proposed.
func TestCanceledProposalReturnsUnknownOutcome(t *testing.T) {
	c := startCluster(t, 9, 0, 1, testGroup)
	leader := c.awaitLeader(testGroup)
	ctx, cancel := context.WithCancel(t.Context())
	g, index, w, err := leader.startProposal(testGroup, func(g *group) (uint64, uint64, error) {
		cancel()
		return g.replica.Propose(c.now, []byte("command"))
	})
	assert.NilError(t, err)
	_, err = leader.abandonProposal(g, index, w, ctx.Err())
	var unknown *UnknownOutcomeError
	assert.Assert(t, errors.As(err, &unknown))
	assert.ErrorIs(t, err, context.Canceled)
	assert.NilError(t, leader.deliverAndRun())
	assert.Equal(t, leader.machines[testGroup].text(), "command") // it was committed
	_, err = leader.Propose(ctx, testGroup, nil)
	assert.Equal(t, err, context.Canceled) // nothing was proposed
}

func TestTooManyPendingProposalsAreRejected(t *testing.T) {
	c := startCluster(t, 10, 0, 1, testGroup)
	leader := c.awaitLeader(testGroup)
	for range MaxPendingProposals {
		_, err := leader.proposeAsync(testGroup, "c")
		assert.NilError(t, err)
	}
	_, err := leader.proposeAsync(testGroup, "c")
	assert.ErrorIs(t, err, ErrOverloaded)
	assert.NilError(t, leader.deliverAndRun())
	_, err = leader.proposeAsync(testGroup, "c")
	assert.NilError(t, err)
}

// A write must not block calls. Proposals that arrive during a write share the next one.
func TestProposalsDuringWriteShareNextWrite(t *testing.T) {
	c := startCluster(t, 11, 0, 1, testGroup)
	leader := c.awaitLeader(testGroup)
	var entries []int
	leader.disk.OnWrite(func(batch []store.Write) {
		entries = append(entries, len(batch[0].Entries))
		assert.Assert(t, leader.mu.TryLock(), "the host is locked during a write")
		leader.mu.Unlock()
		if len(entries) > 1 {
			return
		}
		leader.Deliver([]replica.Message{{Group: testGroup, To: 1, From: 9}})
		for range 3 {
			_, err := leader.proposeAsync(testGroup, "c")
			assert.NilError(t, err)
		}
	}, nil)
	_, err := leader.proposeAsync(testGroup, "c")
	assert.NilError(t, err)
	assert.NilError(t, leader.deliverAndRun())
	assert.DeepEqual(t, entries, []int{1, 3})
}

// Groups that commit at the same time must share one write and one Send per node.
func TestGroupsShareWritesAndMessages(t *testing.T) {
	groups := []replica.GroupID{"a", "b", "c", "d", "e"}
	c := startCluster(t, 12, 0, 3, groups...)
	for _, group := range groups {
		assert.NilError(t, c.nodes[1].Campaign(group))
		assert.Equal(t, c.awaitLeader(group), c.nodes[1])
	}
	leader := c.nodes[1]
	var sizes []int
	leader.disk.OnWrite(func(batch []store.Write) { sizes = append(sizes, len(batch)) }, nil)
	for _, group := range groups {
		_, err := leader.proposeAsync(group, "command")
		assert.NilError(t, err)
	}
	c.sendCalls = 0
	more, err := leader.round(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, more)
	assert.DeepEqual(t, sizes, []int{len(groups)})
	assert.Equal(t, c.sendCalls, 2)
	statuses := leader.Statuses()
	assert.Equal(t, len(statuses), len(groups))
	assert.Equal(t, statuses[4].Group, groups[4])
}

// The channel of Applied must be closed when the leader changes or an entry is applied, and at
// once for a group that is not running.
func TestAppliedChannelClosesOnChange(t *testing.T) {
	c := startCluster(t, 13, 0, 3, testGroup)
	follower := c.nodes[3]
	_, changed := follower.Applied(testGroup)
	assert.NilError(t, c.nodes[1].Campaign(testGroup))
	leader := c.awaitLeader(testGroup)
	assert.Equal(t, leader.id, replica.NodeID(1))
	<-changed
	c.awaitSameState(leader)
	index, changed := leader.Applied(testGroup)
	_, same := leader.Applied(testGroup)
	assert.Equal(t, changed, same)
	c.propose(leader, "command")
	<-changed
	now, _ := leader.Applied(testGroup)
	assert.Equal(t, now, index+1)
	_, changed = leader.Applied("nowhere")
	<-changed
}

// Remove must fail pending proposals and delete the group from the store.
func TestRemoveDeletesGroup(t *testing.T) {
	c := startCluster(t, 14, 0, 1, testGroup)
	leader := c.awaitLeader(testGroup)
	w, err := leader.proposeAsync(testGroup, "command")
	assert.NilError(t, err)
	assert.NilError(t, leader.Remove(testGroup))
	assert.ErrorIs(t, receivedOutcome(w).err, ErrGroupNotFound)
	assert.ErrorIs(t, leader.Remove(testGroup), ErrGroupNotFound)
	assert.ErrorIs(t, leader.ReadLocal(testGroup, nil), ErrGroupNotFound)
	assert.Equal(t, len(leader.StoredGroups()), 0)
	assert.NilError(t, leader.deliverAndRun())
	assert.Equal(t, len(c.restart(1).StoredGroups()), 0)
}

func TestAddRejectsDuplicateGroupAndBadState(t *testing.T) {
	c := startCluster(t, 15, 0, 1, testGroup)
	n := c.nodes[1]
	assert.ErrorIs(t, n.Add(testGroup, replica.Members{}, nil, &commandLog{}), ErrGroupExists)
	var refused *RestoreError
	err := n.Add("other", replica.Members{Voters: []replica.NodeID{1}}, []byte("refused"), &commandLog{})
	assert.Assert(t, errors.As(err, &refused))
	assert.ErrorIs(t, n.ReadLocal("other", nil), ErrGroupNotFound)
}

// The initial state must survive a restart although no log entry created it.
func TestInitialStateSurvivesRestart(t *testing.T) {
	c := startCluster(t, 16, 0, 1)
	first := &commandLog{}
	assert.NilError(t, c.nodes[1].Add(testGroup, replica.Members{Voters: []replica.NodeID{1}}, []byte("a\nb"), first))
	assert.Equal(t, first.text(), "a b")
	c.awaitLeader(testGroup)
	n := c.restart(1)
	assert.Equal(t, n.machines[testGroup].text(), "a b")
	assert.Equal(t, c.awaitLeader(testGroup), n)
}

func TestMessagesForAnotherIncarnationAreDropped(t *testing.T) {
	c := startCluster(t, 17, 0, 1)
	c.nodes[1].Deliver([]replica.Message{{Group: "unheard", To: 9, From: 2}})
	assert.ErrorIs(t, c.nodes[1].ReadLocal("unheard", nil), ErrGroupNotFound)
	c.nodes[1].Deliver([]replica.Message{{Group: "unheard", To: 1, From: 2}})
	assert.NilError(t, c.nodes[1].ReadLocal("unheard", func(StateMachine) {}))
}

func TestRunEndsWithContext(t *testing.T) {
	c := startCluster(t, 18, 0, 1, testGroup)
	leader := c.awaitLeader(testGroup)
	w, err := leader.proposeAsync(testGroup, "command")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, leader.Run(ctx))
	assert.ErrorIs(t, receivedOutcome(w).err, ErrStopped)
	assert.ErrorIs(t, leader.Campaign(testGroup), ErrStopped)
}

// The initial state must reach a member that joins with an empty disk, although no log entry
// created it and the log is almost empty.
func TestInitialStateReachesEmptyLearner(t *testing.T) {
	c := startCluster(t, 21, 0, 1)
	assert.NilError(t, c.nodes[1].Add(testGroup, replica.Members{Voters: []replica.NodeID{1}}, []byte("a\nb"), &commandLog{}))
	leader := c.awaitLeader(testGroup)
	learner := c.start(2, store.NewMemory())
	c.changeMembers(leader, replica.Members{Voters: []replica.NodeID{1}, Learners: []replica.NodeID{2}})
	c.runUntil("the initial state on the learner", func() bool { return learner.machines[testGroup] != nil && learner.machines[testGroup].text() == "a b" })
}

// An idle host must sleep until its next Tick. A follower without contact first asks the other
// voters whether they have restarted, too, and then waits for its election timeout.
func TestIdleHostSleepsUntilNextTick(t *testing.T) {
	c := startCluster(t, 19, 0, 2, testGroup)
	c.awaitLeader(testGroup)
	c.restart(1)
	assert.NilError(t, c.nodes[1].deliverAndRun())
	asks := c.nodes[1].untilNextTick()
	assert.Assert(t, asks > 0 && asks < testTiming.ElectionTimeout, "%v", asks)
	c.now += 3 * testTiming.ElectionTimeout
	assert.NilError(t, c.nodes[1].deliverAndRun())
	wait := c.nodes[1].untilNextTick()
	assert.Assert(t, wait >= testTiming.ElectionTimeout && wait <= testTiming.ElectionTimeout+testTiming.ElectionJitter, "%v", wait)
	empty := startCluster(t, 20, 0, 1)
	assert.NilError(t, empty.nodes[1].deliverAndRun())
	assert.Equal(t, empty.nodes[1].untilNextTick(), time.Hour)
}
