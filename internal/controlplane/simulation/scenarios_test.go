package simulation

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/coordinator"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/revisions"
	"oakseam/internal/tier/protocol"
)

// The named scenarios reproduce severe faults one at a time, each with many seeds.

const (
	scenarioFaultStart    = 5 * time.Second  // when a scenario's fault begins
	scenarioFaultDuration = 20 * time.Second // how long it lasts
	scenarioTail          = 6 * time.Second  // how long the scenario continues after it
	followerCount         = 6
)

// scenario returns a world of core nodes and operators without random faults.
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

// runToEnd runs a scenario to its end and verifies it.
func (s *configurationWorkload) runToEnd(end time.Duration) *world {
	w := s.world
	w.Run(end, func() bool { return false })
	w.heal()
	w.faultsEndAt = w.Now
	if !w.Run(w.Now+recoveryTimeout, s.recovered) && w.Failure == nil && !w.bugs.violatesSafety() {
		w.Fail("no recovery within %v after the faults: %s", recoveryTimeout, w.describe())
	}
	if w.Failure == nil {
		s.check()
	}
	return w
}

// simulateCutOff cuts some core nodes, often with the leader, off from the others for 20 s.
// Operators and followers can still reach all of them.
func simulateCutOff(seed uint64, injected bugs) *world {
	losses := 1 + int(seed%3)
	w, s := scenario(seed, 2*losses+1+int(seed/3%3), losses, 800*time.Millisecond, injected)
	for i := range followerCount {
		s.addFollower(firstFollower + endpoint(i))
	}
	w.After(scenarioFaultStart, func() { _ = s.cutOff(losses) })
	w.After(scenarioFaultStart+scenarioFaultDuration, w.network.clear)
	w.After(3*time.Second, func() { w.Every(50*time.Millisecond, 50*time.Millisecond, s.checkApplied) })
	w.After(scenarioFaultStart+3*time.Second, func() {
		w.Every(time.Second, 4*time.Second, func() { s.followers[w.Random.IntN(followerCount)].start() })
	})
	return s.runToEnd(scenarioFaultStart + scenarioFaultDuration + scenarioTail)
}

// simulateLeftBehind cuts some core nodes off while changes are made. Then one of the others loses
// its disk, the rest go down, and the cut heals. Only nodes without the newest changes are running
// then.
func simulateLeftBehind(seed uint64, injected bugs) *world {
	losses := 1 + int(seed%2)
	w, s := scenario(seed, 2*losses+1+int(seed/2%3), losses, 800*time.Millisecond, injected)
	s.startMayWait = true
	for i := range followerCount {
		s.addFollower(firstFollower + endpoint(i))
	}
	var behind []*simulatedNode
	w.After(scenarioFaultStart, func() { behind = s.cutOff(losses) })
	w.After(scenarioFaultStart+4*time.Second, func() {
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
	return s.runToEnd(scenarioFaultStart + 20*time.Second)
}

// cutOff cuts up to the given number of core nodes off from the others, with or without the leader,
// in one or both directions.
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

// leadsConfiguration returns 1 if a node is the leader of the configuration's group, otherwise 0.
func (n *simulatedNode) leadsConfiguration() int {
	if m := n.member(protocol.ConfigurationGroup); m != nil && m.replica.IsLeader() {
		return 1
	}
	return 0
}

// simulateLostAcks loses most answers to operators for a while. Two different changes carry the
// same revision, and operators send every change repeatedly.
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

// simulateSecondLoss makes nodes lose their disks right after a group has recovered from the
// previous loss, often while all other nodes lose power at the same moment.
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

// fullyReplicated reports whether the group has a leader under lease, the wanted number of voters,
// all of them with their disks, and no pending membership change. From then on, the tolerated
// number of disks may be lost again.
func (s *configurationWorkload) fullyReplicated() bool {
	w := s.world
	for _, n := range w.running() {
		m := n.member(protocol.ConfigurationGroup)
		if m == nil || !m.replica.HasLease(n.clock()) {
			continue
		}
		status := m.replica.Status(n.clock())
		if status.ChangePending || len(status.Members.Voters) != coordinator.TargetVoters(w.toleratedDiskLosses) {
			return false
		}
		return !slices.ContainsFunc(status.Members.Voters, func(id replica.NodeID) bool { return w.nodeByID(id) == nil })
	}
	return false
}

// loseDisks makes the given number of nodes lose their disks, and often all others lose power.
func (s *configurationWorkload) loseDisks(losses int) {
	w := s.world
	nodes := slices.Clone(w.nodes)
	w.Random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	if w.Chance(0.5) {
		slices.SortStableFunc(nodes, func(a, b *simulatedNode) int { return b.leadsConfiguration() - a.leadsConfiguration() })
	}
	if copies := s.countFullCopies(); copies <= losses {
		w.Fail("the newest applied entry is on %d disks, but %d may be lost", copies, losses)
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

// countFullCopies counts the disks that hold everything that any node has applied.
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

// simulateLongHistory makes hundreds of changes with frequent snapshots and a short log. Meanwhile
// members are away for 20 s each and return with or without their disk.
func simulateLongHistory(seed uint64, injected bugs) *world {
	w, s := scenario(seed, 3+int(seed%3), 1, 40*time.Millisecond, injected)
	s.changeLimit, s.checkIncrementally = 1500, true
	w.compactAfter = 5 + w.Random.IntN(40)
	away := func(at time.Duration, leave func(*simulatedNode)) {
		w.After(at, func() { leave(w.nodes[w.Random.IntN(len(w.nodes))]) })
	}
	away(3*time.Second, func(n *simulatedNode) {
		n.crash()
		w.After(scenarioFaultDuration, n.start)
	})
	away(27*time.Second, func(n *simulatedNode) {
		for _, o := range w.nodes {
			if o != n {
				w.network.cutBoth(n.address, o.address)
			}
		}
		w.After(scenarioFaultDuration, w.network.clear)
	})
	away(50*time.Second, func(n *simulatedNode) {
		n.loseDisk()
		w.After(5*time.Second, n.start)
	})
	s.runToEnd(60 * time.Second)
	if w.Failure == nil && !w.bugs.violatesSafety() && s.acknowledgedCount() < 150 {
		w.Fail("only %d changes were acknowledged", s.acknowledgedCount())
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

// The control plane must stay correct and recover in each of the scenarios.
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

// The scenarios must detect each injected bug; otherwise they prove nothing.
func TestFaultScenariosDetectInjectedBugs(t *testing.T) {
	for _, test := range []struct {
		name     string
		simulate simulateFunc
		bugs     bugs
	}{
		{"a core node confirms its state as current without contact to the leader", simulateCutOff, bugs{vouchWithoutLeader: true}},
		{"a process trusts a single core node after a while", simulateLeftBehind, bugs{trustOneNode: true}},
		{"changes are identified by their revision alone", simulateLostAcks, bugs{compareRevisionOnly: true}},
		{"an accepted change is rejected when it is sent again", simulateLostAcks, bugs{rejectRepeatedChange: true}},
		{"a node that lost its disk votes under its old id", simulateSecondLoss, bugs{reusedNodeID: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			simulations, _, failure := simulateSeeds(5000, test.simulate, test.bugs)
			assert.Assert(t, failure != nil, "no seed of %d fails", simulations)
			t.Logf("after %d seeds: %v", simulations, failure)
		})
	}
}

// digestOf returns the digest by which a node identifies a change.
func (s *configurationWorkload) digestOf(o *operation) revisions.Digest {
	if s.world.bugs.compareRevisionOnly {
		return revisions.DigestOf(o.base, []byte{byte(o.newRevision)})
	}
	return o.digest
}
