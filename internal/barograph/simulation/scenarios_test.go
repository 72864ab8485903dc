package simulation

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pipitmux/internal/barograph/coordinator"
	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/revisions"
	"pipitmux/internal/station/protocol"
)

// The named scenarios bring about what operators meet on their worst days, one at a time, and
// in thousands of ways each.

const (
	troubleStart    = 5 * time.Second  // when a scenario's trouble begins
	troubleDuration = 20 * time.Second // and how long it lasts
	scenarioTail    = 6 * time.Second  // goes on after it
	followerCount   = 6
)

// scenario makes a world of core nodes, operators and followers without random faults.
func scenario(seed uint64, nodes, losses int, pause time.Duration, injected bugs) (*world, *configurationWorkload) {
	w := newWorld(seed, protocol.Core, injected)
	w.toleratedDiskLosses = losses
	s := newConfigurationWorkload(w)
	s.changeLimit = 400
	var members replica.Members
	for range nodes {
		n := w.addNode()
		if len(members.Voters) < 3 {
			members.Voters = append(members.Voters, n.id)
		}
	}
	for i, n := range w.nodes {
		if i < len(members.Voters) {
			n.bootstrap(protocol.ConfigurationGroup, members.Clone())
		}
		n.start()
	}
	for i := range operatorCount {
		o := &operator{address: firstClient + endpoint(i)}
		w.Every(pause/4, 2*pause, func() { s.runOperator(o) })
	}
	for _, n := range w.nodes {
		w.Every(100*time.Millisecond, 200*time.Millisecond, func() { n.execute(func() { s.maintain(n) }) })
	}
	return w, s
}

// finish runs a scenario to its end, and judges it.
func (s *configurationWorkload) runToEnd(end time.Duration) *world {
	w := s.world
	w.Run(end, func() bool { return false })
	w.heal()
	w.faultsEndAt = w.Now
	if !w.Run(w.Now+recoveryTimeout, s.recovered) && w.Failure == nil && !w.bugs.violatesSafety() {
		w.Fail("all is not well again %v after the troubles: %s", recoveryTimeout, w.describe())
	}
	if w.Failure == nil {
		s.check()
	}
	return w
}

// playCutOff cuts some core nodes off from the others for 20 s, the owner among them often, while
// operators and followers reach all: the first of the operators' points.
func simulateCutOff(seed uint64, injected bugs) *world {
	losses := 1 + int(seed%3)
	w, s := scenario(seed, 2*losses+1+int(seed/3%3), losses, 800*time.Millisecond, injected)
	for i := range followerCount {
		s.addFollower(firstFollower + endpoint(i))
	}
	w.After(troubleStart, func() { _ = s.cutOff(losses) })
	w.After(troubleStart+troubleDuration, w.network.clear)
	w.After(3*time.Second, func() { w.Every(50*time.Millisecond, 50*time.Millisecond, s.checkApplied) })
	w.After(troubleStart+3*time.Second, func() {
		w.Every(time.Second, 4*time.Second, func() { s.followers[w.Random.IntN(followerCount)].start() })
	})
	return s.runToEnd(troubleStart + troubleDuration + scenarioTail)
}

// playLeftBehind cuts some core nodes off while changes are made. Then one of the others loses its
// disk, the rest go dark, and the cut heals: nobody but those that were left behind is there.
func simulateLeftBehind(seed uint64, injected bugs) *world {
	losses := 1 + int(seed%2)
	w, s := scenario(seed, 2*losses+1+int(seed/2%3), losses, 800*time.Millisecond, injected)
	s.startMayWait = true
	for i := range followerCount {
		s.addFollower(firstFollower + endpoint(i))
	}
	var behind []*simulatedNode
	w.After(troubleStart, func() { behind = s.cutOff(losses) })
	w.After(troubleStart+4*time.Second, func() {
		w.network.clear()
		s.blackoutStart = w.Now
		for i, n := range w.nodes {
			if slices.Contains(behind, n) {
				continue
			}
			if n.crash(); i == len(w.nodes)-1 {
				n.loseDisk()
			}
			w.After(10*time.Second, n.start)
		}
		w.After(10*time.Second+2*maxConfigDelay, func() { s.blackoutStart = time.Hour })
		for _, f := range s.followers[:followerCount/2] {
			f.start()
		}
	})
	w.After(3*time.Second, func() { w.Every(50*time.Millisecond, 50*time.Millisecond, s.checkApplied) })
	return s.runToEnd(troubleStart + 20*time.Second)
}

// cutOff parts as many core nodes from the others as may be lost: the owner and others, or others
// only, one way or both.
func (s *configurationWorkload) cutOff(losses int) (cut []*simulatedNode) {
	w := s.world
	selected := slices.Clone(w.nodes)
	w.Random.Shuffle(len(selected), func(i, j int) { selected[i], selected[j] = selected[j], selected[i] })
	if w.Chance(0.7) {
		slices.SortStableFunc(selected, func(a, b *simulatedNode) int { return b.leadsConfiguration() - a.leadsConfiguration() })
	}
	cut = selected[:1+w.Random.IntN(losses)]
	ways := w.Random.IntN(4)
	for _, a := range cut {
		for _, b := range w.nodes {
			if slices.Contains(cut, b) {
				continue
			}
			if ways != 0 {
				w.network.cutLinks[link{a.address, b.address}] = true
			}
			if ways != 1 {
				w.network.cutLinks[link{b.address, a.address}] = true
			}
		}
	}
	return cut
}

// owns is 1 where a node owns the configuration's group.
func (n *simulatedNode) leadsConfiguration() int {
	if m := n.member(protocol.ConfigurationGroup); m != nil && m.replica.IsLeader() {
		return 1
	}
	return 0
}

// playLostAcks loses most answers to operators for a while, with two changes under each number
// and every order sent again and again: the second point.
func simulateLostAcks(seed uint64, injected bugs) *world {
	w, s := scenario(seed, 3+int(seed%2), 1, 200*time.Millisecond, injected)
	s.conflictingChanges, s.changeLimit = true, 60
	w.After(time.Second, func() {
		for i := range operatorCount {
			for _, n := range w.nodes {
				w.network.linkLossRate[link{n.address, firstClient + endpoint(i)}] = 0.9
			}
		}
	})
	w.After(6*time.Second, func() { clear(w.network.linkLossRate) })
	w.After(2*time.Second, func() { w.faultFreeze() })
	w.After(3*time.Second, func() { _ = s.cutOff(1) })
	w.After(5*time.Second, w.network.clear)
	return s.runToEnd(8 * time.Second)
}

// playSecondLoss takes a second disk right after a group has been made whole, and all other
// machines' power at the same moment: the third point.
func simulateSecondLoss(seed uint64, injected bugs) *world {
	losses := 1 + int(seed%2)
	w, s := scenario(seed, 2*losses+1+int(seed/2%2), losses, 300*time.Millisecond, injected)
	s.changeLimit = 60
	last := time.Duration(0)
	w.After(3*time.Second, func() {
		w.Every(5*time.Millisecond, 20*time.Millisecond, func() {
			if w.Now < 12*time.Second && w.Now-last > 200*time.Millisecond && s.fullyReplicated() {
				last = w.Now
				s.loseDisks(losses)
			}
		})
	})
	return s.runToEnd(14 * time.Second)
}

// madeWhole tells whether the group's owner has as many voters as it should, all there with
// their disks, and no change of them under way: from then on as many may be lost again.
func (s *configurationWorkload) fullyReplicated() bool {
	w := s.world
	for _, n := range w.running() {
		m := n.member(protocol.ConfigurationGroup)
		if m == nil || !m.replica.HasLease(n.clock()) {
			continue
		}
		status := m.replica.Status(n.clock())
		if status.ChangePending || len(status.Members.Voters) != coordinator.VotersWanted(w.toleratedDiskLosses) {
			return false
		}
		return !slices.ContainsFunc(status.Members.Voters, func(id replica.NodeID) bool { return w.nodeByID(id) == nil })
	}
	return false
}

// lose takes the disks of as many machines as may be lost, and often the power of all others.
func (s *configurationWorkload) loseDisks(losses int) {
	w := s.world
	nodes := slices.Clone(w.nodes)
	w.Random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	if w.Chance(0.5) {
		slices.SortStableFunc(nodes, func(a, b *simulatedNode) int { return b.leadsConfiguration() - a.leadsConfiguration() })
	}
	if copies := s.countFullCopies(); copies <= losses {
		w.Fail("what is in force stands on %d disks, and %d may be lost", copies, losses)
	}
	for _, n := range nodes[:losses] {
		n.loseDisk()
		w.restartLater(n)
	}
	if w.Chance(0.6) {
		for _, n := range nodes[losses:] {
			n.crash()
			w.restartLater(n)
		}
	}
}

// copies counts the disks that hold all that any node has applied.
func (s *configurationWorkload) countFullCopies() int {
	newest := uint64(0)
	for index := range s.resultByIndex {
		newest = max(newest, index)
	}
	count := 0
	for _, n := range s.world.nodes {
		stored := n.disk[protocol.ConfigurationGroup]
		if stored != nil && stored.Snapshot.Index+uint64(len(stored.Entries)) >= newest {
			count++
		}
	}
	return count
}

// playLongHistory makes hundreds of changes with snapshots and a short log, while members are
// away for 20 s each and come back with their disk, or without: the fourth point.
func simulateLongHistory(seed uint64, injected bugs) *world {
	w, s := scenario(seed, 3+int(seed%3), 1, 40*time.Millisecond, injected)
	s.changeLimit, s.checkIncrementally = 1500, true
	w.compactAfter = 5 + w.Random.IntN(40)
	away := func(at time.Duration, leave func(*simulatedNode)) {
		w.After(at, func() { leave(w.nodes[w.Random.IntN(len(w.nodes))]) })
	}
	away(3*time.Second, func(n *simulatedNode) {
		n.crash()
		w.After(troubleDuration, n.start)
	})
	away(27*time.Second, func(n *simulatedNode) {
		for _, o := range w.nodes {
			if o != n {
				w.network.cutBoth(n.address, o.address)
			}
		}
		w.After(troubleDuration, w.network.clear)
	})
	away(50*time.Second, func(n *simulatedNode) {
		n.loseDisk()
		w.After(5*time.Second, n.start)
	})
	s.runToEnd(60 * time.Second)
	if w.Failure == nil && !w.bugs.violatesSafety() && s.acknowledgedCount() < 150 {
		w.Fail("only %d changes were taken", s.acknowledgedCount())
	}
	return w
}

func (s *configurationWorkload) acknowledgedCount() int {
	count := 0
	for _, o := range s.changes {
		if o.acknowledgedTime != 0 {
			count++
		}
	}
	return count
}

// TestWorstDays plays the scenarios.
func TestFaultScenarios(t *testing.T) {
	for _, test := range []struct {
		name     string
		simulate simulateFunc
		seeds    uint64
	}{
		{"core nodes cut off for 20 s", simulateCutOff, 300},
		{"core nodes left behind while the others go dark", simulateLeftBehind, 300},
		{"acknowledgements lost under two changes of each number", simulateLostAcks, 400},
		{"a second loss right after a repair", simulateSecondLoss, 400},
		{"hundreds of changes while members are away", simulateLongHistory, 40},
	} {
		t.Run(test.name, func(t *testing.T) {
			simulations, c, failure := simulateSeeds(seedCount(t, test.seeds), test.simulate, bugs{})
			assert.NilError(t, failure)
			t.Logf("%d seeds: %+v", simulations, c)
			assert.Assert(t, c.acknowledged > 5*simulations && c.leaderTerms > simulations, "%+v", c)
		})
	}
}

// TestWorstDaysFindFlaws tests the scenarios: each defect must show.
func TestFaultScenariosDetectInjectedBugs(t *testing.T) {
	for _, test := range []struct {
		name     string
		simulate simulateFunc
		bugs     bugs
	}{
		{"core nodes say that there is nothing new without contact to an owner", simulateCutOff, bugs{vouchWithoutLeader: true}},
		{"a process believes one core node after a while", simulateLeftBehind, bugs{trustOneNode: true}},
		{"changes are told apart by their numbers", simulateLostAcks, bugs{compareRevisionOnly: true}},
		{"an order that was taken is refused when it comes again", simulateLostAcks, bugs{rejectRepeatedChange: true}},
		{"a wiped node votes under its old id", simulateSecondLoss, bugs{reusedNodeID: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			simulations, _, failure := simulateSeeds(5000, test.simulate, test.bugs)
			assert.Assert(t, failure != nil, "no seed of %d fails", simulations)
			t.Logf("after %d seeds: %v", simulations, failure)
		})
	}
}

// digestOf is how a node tells changes apart.
func (s *configurationWorkload) digestOf(o *operation) revisions.Digest {
	if s.world.bugs.compareRevisionOnly {
		return revisions.DigestOf(o.base, []byte{byte(o.newRevision)})
	}
	return o.digest
}
