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
	cutFrom       = 5 * time.Second  // when a scenario's trouble begins
	cutFor        = 20 * time.Second // and how long it lasts
	scenarioRest  = 6 * time.Second  // goes on after it
	followerCount = 6
)

// scenario makes a world of core nodes, operators and followers without random faults.
func scenario(seed uint64, nodes, losses int, pause time.Duration, defects flaws) (*world, *configurationSubject) {
	w := newWorld(seed, protocol.Core, defects)
	w.losses = losses
	s := newConfigurationSubject(w)
	s.orderMost = 400
	var members replica.Members
	for range nodes {
		n := w.addNode()
		if len(members.Voters) < 3 {
			members.Voters = append(members.Voters, n.id)
		}
	}
	for i, n := range w.nodes {
		if i < len(members.Voters) {
			n.begin(protocol.ConfigurationGroup, members.Clone())
		}
		n.start()
	}
	for i := range operatorsCount {
		o := &operator{place: firstClient + endpoint(i)}
		w.Every(pause/4, 2*pause, func() { s.operate(o) })
	}
	for _, n := range w.nodes {
		w.Every(100*time.Millisecond, 200*time.Millisecond, func() { n.act(func() { s.tend(n) }) })
	}
	return w, s
}

// finish runs a scenario to its end, and judges it.
func (s *configurationSubject) finish(end time.Duration) *world {
	w := s.world
	w.Run(end, func() bool { return false })
	w.heal()
	w.healAt = w.Now
	if !w.Run(w.Now+healedFor, s.recovered) && w.Failed == nil && !w.flaws.unsafe() {
		w.Fail("all is not well again %v after the troubles: %s", healedFor, w.describe())
	}
	if w.Failed == nil {
		s.check()
	}
	return w
}

// playCutOff cuts some core nodes off from the others for 20 s, the owner among them often, while
// operators and followers reach all: the first of the operators' points.
func playCutOff(seed uint64, defects flaws) *world {
	losses := 1 + int(seed%3)
	w, s := scenario(seed, 2*losses+1+int(seed/3%3), losses, 800*time.Millisecond, defects)
	for i := range followerCount {
		s.follow(firstFollower + endpoint(i))
	}
	w.After(cutFrom, func() { _ = s.cutOff(losses) })
	w.After(cutFrom+cutFor, w.network.clear)
	w.After(3*time.Second, func() { w.Every(50*time.Millisecond, 50*time.Millisecond, s.checkApplied) })
	w.After(cutFrom+3*time.Second, func() {
		w.Every(time.Second, 4*time.Second, func() { s.followers[w.Random.IntN(followerCount)].start() })
	})
	return s.finish(cutFrom + cutFor + scenarioRest)
}

// playLeftBehind cuts some core nodes off while changes are made. Then one of the others loses its
// disk, the rest go dark, and the cut heals: nobody but those that were left behind is there.
func playLeftBehind(seed uint64, defects flaws) *world {
	losses := 1 + int(seed%2)
	w, s := scenario(seed, 2*losses+1+int(seed/2%3), losses, 800*time.Millisecond, defects)
	s.mayWait = true
	for i := range followerCount {
		s.follow(firstFollower + endpoint(i))
	}
	var behind []*machineNode
	w.After(cutFrom, func() { behind = s.cutOff(losses) })
	w.After(cutFrom+4*time.Second, func() {
		w.network.clear()
		s.darkFrom = w.Now
		for i, n := range w.nodes {
			if slices.Contains(behind, n) {
				continue
			}
			if n.crash(); i == len(w.nodes)-1 {
				n.wipe()
			}
			w.After(10*time.Second, n.start)
		}
		w.After(10*time.Second+2*configApply, func() { s.darkFrom = time.Hour })
		for _, f := range s.followers[:followerCount/2] {
			f.start()
		}
	})
	w.After(3*time.Second, func() { w.Every(50*time.Millisecond, 50*time.Millisecond, s.checkApplied) })
	return s.finish(cutFrom + 20*time.Second)
}

// cutOff parts as many core nodes from the others as may be lost: the owner and others, or others
// only, one way or both.
func (s *configurationSubject) cutOff(losses int) (cut []*machineNode) {
	w := s.world
	lone := slices.Clone(w.nodes)
	w.Random.Shuffle(len(lone), func(i, j int) { lone[i], lone[j] = lone[j], lone[i] })
	if w.Chance(0.7) {
		slices.SortStableFunc(lone, func(a, b *machineNode) int { return b.owns() - a.owns() })
	}
	cut = lone[:1+w.Random.IntN(losses)]
	ways := w.Random.IntN(4)
	for _, a := range cut {
		for _, b := range w.nodes {
			if slices.Contains(cut, b) {
				continue
			}
			if ways != 0 {
				w.network.cuts[direction{a.place, b.place}] = true
			}
			if ways != 1 {
				w.network.cuts[direction{b.place, a.place}] = true
			}
		}
	}
	return cut
}

// owns is 1 where a node owns the configuration's group.
func (n *machineNode) owns() int {
	if m := n.member(protocol.ConfigurationGroup); m != nil && m.replica.IsLeader() {
		return 1
	}
	return 0
}

// playLostAcks loses most answers to operators for a while, with two changes under each number
// and every order sent again and again: the second point.
func playLostAcks(seed uint64, defects flaws) *world {
	w, s := scenario(seed, 3+int(seed%2), 1, 200*time.Millisecond, defects)
	s.twins, s.orderMost = true, 60
	w.After(time.Second, func() {
		for i := range operatorsCount {
			for _, n := range w.nodes {
				w.network.lossy[direction{n.place, firstClient + endpoint(i)}] = 0.9
			}
		}
	})
	w.After(6*time.Second, func() { clear(w.network.lossy) })
	w.After(2*time.Second, func() { w.faultFreeze() })
	w.After(3*time.Second, func() { _ = s.cutOff(1) })
	w.After(5*time.Second, w.network.clear)
	return s.finish(8 * time.Second)
}

// playSecondLoss takes a second disk right after a group has been made whole, and all other
// machines' power at the same moment: the third point.
func playSecondLoss(seed uint64, defects flaws) *world {
	losses := 1 + int(seed%2)
	w, s := scenario(seed, 2*losses+1+int(seed/2%2), losses, 300*time.Millisecond, defects)
	s.orderMost = 60
	last := time.Duration(0)
	w.After(3*time.Second, func() {
		w.Every(5*time.Millisecond, 20*time.Millisecond, func() {
			if w.Now < 12*time.Second && w.Now-last > 200*time.Millisecond && s.madeWhole() {
				last = w.Now
				s.lose(losses)
			}
		})
	})
	return s.finish(14 * time.Second)
}

// madeWhole tells whether the group's owner has as many voters as it should, all there with
// their disks, and no change of them under way: from then on as many may be lost again.
func (s *configurationSubject) madeWhole() bool {
	w := s.world
	for _, n := range w.running() {
		m := n.member(protocol.ConfigurationGroup)
		if m == nil || !m.replica.HasLease(n.clock()) {
			continue
		}
		status := m.replica.Status(n.clock())
		if status.ChangePending || len(status.Members.Voters) != coordinator.VotersWanted(w.losses) {
			return false
		}
		return !slices.ContainsFunc(status.Members.Voters, func(id replica.NodeID) bool { return w.withID(id) == nil })
	}
	return false
}

// lose takes the disks of as many machines as may be lost, and often the power of all others.
func (s *configurationSubject) lose(losses int) {
	w := s.world
	nodes := slices.Clone(w.nodes)
	w.Random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	if w.Chance(0.5) {
		slices.SortStableFunc(nodes, func(a, b *machineNode) int { return b.owns() - a.owns() })
	}
	if copies := s.copies(); copies <= losses {
		w.Fail("what is in force stands on %d disks, and %d may be lost", copies, losses)
	}
	for _, n := range nodes[:losses] {
		n.wipe()
		w.startSoon(n)
	}
	if w.Chance(0.6) {
		for _, n := range nodes[losses:] {
			n.crash()
			w.startSoon(n)
		}
	}
}

// copies counts the disks that hold all that any node has applied.
func (s *configurationSubject) copies() int {
	newest := uint64(0)
	for index := range s.results {
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
func playLongHistory(seed uint64, defects flaws) *world {
	w, s := scenario(seed, 3+int(seed%3), 1, 40*time.Millisecond, defects)
	s.orderMost, s.inTurn = 1500, true
	w.compactAfter = 5 + w.Random.IntN(40)
	away := func(at time.Duration, leave func(*machineNode)) {
		w.After(at, func() { leave(w.nodes[w.Random.IntN(len(w.nodes))]) })
	}
	away(3*time.Second, func(n *machineNode) {
		n.crash()
		w.After(cutFor, n.start)
	})
	away(27*time.Second, func(n *machineNode) {
		for _, o := range w.nodes {
			if o != n {
				w.network.cutBoth(n.place, o.place)
			}
		}
		w.After(cutFor, w.network.clear)
	})
	away(50*time.Second, func(n *machineNode) {
		n.wipe()
		w.After(5*time.Second, n.start)
	})
	s.finish(60 * time.Second)
	if w.Failed == nil && !w.flaws.unsafe() && s.acknowledged() < 150 {
		w.Fail("only %d changes were taken", s.acknowledged())
	}
	return w
}

func (s *configurationSubject) acknowledged() int {
	count := 0
	for _, o := range s.orders {
		if o.taken != 0 {
			count++
		}
	}
	return count
}

// TestWorstDays plays the scenarios.
func TestWorstDays(t *testing.T) {
	for _, test := range []struct {
		name  string
		play  player
		seeds uint64
	}{
		{"core nodes cut off for 20 s", playCutOff, 300},
		{"core nodes left behind while the others go dark", playLeftBehind, 300},
		{"acknowledgements lost under two changes of each number", playLostAcks, 400},
		{"a second loss right after a repair", playSecondLoss, 400},
		{"hundreds of changes while members are away", playLongHistory, 40},
	} {
		t.Run(test.name, func(t *testing.T) {
			played, c, failure := playSeeds(seedsFor(t, test.seeds), test.play, flaws{})
			assert.NilError(t, failure)
			t.Logf("%d seeds: %+v", played, c)
			assert.Assert(t, c.taken > 5*played && c.owners > played, "%+v", c)
		})
	}
}

// TestWorstDaysFindFlaws tests the scenarios: each defect must show.
func TestWorstDaysFindFlaws(t *testing.T) {
	for _, flawed := range []struct {
		name  string
		play  player
		flaws flaws
	}{
		{"core nodes say that there is nothing new without contact to an owner", playCutOff, flaws{vouchAlways: true}},
		{"a process believes one core node after a while", playLeftBehind, flaws{believeOne: true}},
		{"changes are told apart by their numbers", playLostAcks, flaws{numberOnly: true}},
		{"an order that was taken is refused when it comes again", playLostAcks, flaws{forgetTaken: true}},
		{"a wiped node votes under its old id", playSecondLoss, flaws{forgetful: true}},
	} {
		t.Run(flawed.name, func(t *testing.T) {
			played, _, failure := playSeeds(5000, flawed.play, flawed.flaws)
			assert.Assert(t, failure != nil, "no seed of %d fails", played)
			t.Logf("after %d seeds: %v", played, failure)
		})
	}
}

// digestOf is how a node tells changes apart.
func (s *configurationSubject) digestOf(o *order) revisions.Digest {
	if s.world.flaws.numberOnly {
		return revisions.DigestOf(o.base, []byte{byte(o.rises)})
	}
	return o.digest
}
