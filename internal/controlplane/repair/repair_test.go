package repair

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
)

const (
	lostAfter    = 1500 * time.Millisecond
	planInterval = 150 * time.Millisecond // between two calls of Plan
)

// group simulates a group as its leader sees it. Nodes can lag, stop responding or lose their
// disks.
type group struct {
	t             *testing.T
	planner       *Planner
	now           time.Duration
	self          replica.NodeID
	members       replica.Members
	nodes         []protocol.Node
	retiring      []string
	targetVoters  int
	maxVoters     int
	allAsLearners bool
	down          map[replica.NodeID]bool
	lag           map[replica.NodeID]uint64 // entries that a member lacks
	heard         map[replica.NodeID]time.Duration
	falselyAlive  map[replica.NodeID]bool // is down but still listed as alive
	answered      map[replica.NodeID]bool // has responded since it was invited
	commit        uint64
	changes       []replica.Members
}

func newGroup(t *testing.T, voters, nodes int) *group {
	g := &group{
		t: t, planner: &Planner{}, self: 1, targetVoters: voters, commit: 1000, now: time.Minute,
		down: map[replica.NodeID]bool{}, lag: map[replica.NodeID]uint64{}, heard: map[replica.NodeID]time.Duration{},
		answered: map[replica.NodeID]bool{}, falselyAlive: map[replica.NodeID]bool{},
	}
	for id := 1; id <= nodes; id++ {
		g.nodes = append(g.nodes, machine(id))
		if id <= voters {
			g.members.Voters = append(g.members.Voters, replica.NodeID(id))
			g.heard[replica.NodeID(id)] = g.now
			g.answered[replica.NodeID(id)] = true
		}
	}
	return g
}

func machine(id int) protocol.Node {
	name := fmt.Sprintf("s%d", id)
	return protocol.Node{ID: replica.NodeID(id), Name: name, Class: protocol.Storage, Address: name + ":1"}
}

func (g *group) view() View {
	status := replica.Status{
		Group: "turns-1", Self: g.self, Leader: g.self, Members: g.members.Clone(), LeaderReady: true, CommitIndex: g.commit,
		LastHeard: map[replica.NodeID]time.Duration{}, MatchIndex: map[replica.NodeID]uint64{},
	}
	for _, id := range g.members.All() {
		if id != g.self {
			status.LastHeard[id] = g.heard[id]
			if g.answered[id] {
				status.MatchIndex[id] = g.commit - g.lag[id]
			}
		}
	}
	return View{
		Status: status, Now: g.now, LostAfter: lostAfter, Nodes: slices.Clone(g.nodes), Retiring: g.retiring,
		TargetVoters: g.targetVoters, MaxVoters: g.maxVoters, AllAsLearners: g.allAsLearners, Alive: g.alive(),
	}
}

// alive returns the nodes that respond, and those falsely reported as alive.
func (g *group) alive() []protocol.Node {
	return slices.DeleteFunc(slices.Clone(g.nodes), func(n protocol.Node) bool { return g.down[n.ID] && !g.falselyAlive[n.ID] })
}

// planOnce advances the clock, calls Plan once and applies the change. It reports whether
// there was one.
func (g *group) planOnce() bool {
	g.t.Helper()
	g.now += planInterval
	for _, id := range g.members.All() {
		if !g.down[id] {
			g.heard[id], g.answered[id] = g.now-planInterval/2, true
		}
	}
	next, due := g.planner.Plan(g.view())
	if !due {
		return false
	}
	g.check(next)
	for _, id := range next.Learners {
		if !g.members.Contains(id) {
			g.heard[id], g.answered[id] = g.now, false // a leader counts a new member as heard from
		}
	}
	g.members = next
	g.changes = append(g.changes, next)
	return true
}

// check verifies the safety conditions of a change.
func (g *group) check(next replica.Members) {
	g.t.Helper()
	current := g.members
	assert.Assert(g.t, quorumsOverlap(current, next), "quorums of %v and %v do not always overlap", current, next)
	assert.Assert(g.t, len(next.Voters) > 0)
	all := next.All()
	slices.Sort(all)
	assert.Equal(g.t, len(slices.Compact(all)), len(next.All()), "a node is listed twice: %v", next)
	for _, id := range next.Voters {
		if !current.IsVoter(id) {
			assert.Assert(g.t, current.IsLearner(id) && g.answered[id] && g.now-g.heard[id] < lostAfter, "%d becomes a voter without having responded: %v", id, current)
		}
	}
	if g.countReachable(current) >= current.Quorum() {
		assert.Assert(g.t, g.countReachable(next) >= next.Quorum(), "%v has a reachable majority, %v has none; down: %v", current, next, g.down)
	}
}

// countReachable counts the voters that the leader has heard from recently.
func (g *group) countReachable(m replica.Members) int {
	count := 0
	for _, id := range m.Voters {
		if _, known := findNode(g.nodes, id); id == g.self || known && g.now-g.heard[id] <= lostAfter {
			count++
		}
	}
	return count
}

func (g *group) countUp(m replica.Members) int {
	count := 0
	for _, id := range m.Voters {
		if !g.down[id] {
			count++
		}
	}
	return count
}

// quorumsOverlap reports whether every quorum of a overlaps every quorum of b.
func quorumsOverlap(a, b replica.Members) bool {
	for _, one := range quorums(a) {
		for _, other := range quorums(b) {
			if !slices.ContainsFunc(one, func(id replica.NodeID) bool { return slices.Contains(other, id) }) {
				return false
			}
		}
	}
	return true
}

func quorums(m replica.Members) [][]replica.NodeID {
	var found [][]replica.NodeID
	for mask := range 1 << len(m.Voters) {
		var chosen []replica.NodeID
		for i, id := range m.Voters {
			if mask>>i&1 == 1 {
				chosen = append(chosen, id)
			}
		}
		if len(chosen) == m.Quorum() {
			found = append(found, chosen)
		}
	}
	return found
}

// planUntilStable calls Plan until no change is due for a while. It fails if that never happens.
func (g *group) planUntilStable() {
	g.t.Helper()
	quiet := 0
	for range 400 {
		if g.planOnce() {
			quiet = 0
		} else if quiet++; quiet > 50 {
			return
		}
	}
	g.t.Fatalf("members keep changing: %v, changes %v", g.members, g.changes)
}

func (g *group) hasVoters(ids ...replica.NodeID) {
	g.t.Helper()
	assert.DeepEqual(g.t, slices.Sorted(slices.Values(g.members.Voters)), ids)
}

func TestHealthyGroupDoesNotChange(t *testing.T) {
	g := newGroup(t, 3, 5)
	for range 100 {
		assert.Assert(t, !g.planOnce(), "%v", g.changes)
	}
}

func TestGroupGrowsToTargetSize(t *testing.T) {
	g := newGroup(t, 1, 5)
	g.targetVoters = 3
	g.planUntilStable()
	assert.Equal(t, len(g.members.Voters), 3)
	assert.Equal(t, len(g.members.Learners), 0)
	assert.Equal(t, len(g.changes), 4, "two nodes must be invited and promoted")
}

func TestShrinkingGroupKeepsItsLeader(t *testing.T) {
	g := newGroup(t, 5, 5)
	g.targetVoters, g.self = 3, 5
	g.planUntilStable()
	assert.Equal(t, len(g.members.Voters), 3)
	assert.Assert(t, g.members.IsVoter(5))
}

func TestSilentVoterIsReplaced(t *testing.T) {
	g := newGroup(t, 3, 4)
	g.down[2] = true
	g.planUntilStable()
	g.hasVoters(1, 3, 4)
	assert.Equal(t, len(g.changes), 3, "want invitation, promotion and removal of the lost voter: %v", g.changes)
}

func TestSilentVoterStaysWithoutAReplacement(t *testing.T) {
	g := newGroup(t, 3, 3)
	g.down[2] = true
	g.planUntilStable()
	g.hasVoters(1, 2, 3)
	assert.Equal(t, len(g.changes), 0)
}

func TestVoterWithLostDiskIsReplacedByItsNewIncarnation(t *testing.T) {
	g := newGroup(t, 3, 3)
	g.down[2] = true
	replacement := machine(2)
	replacement.ID = 9
	g.nodes[1] = replacement
	g.planUntilStable()
	g.hasVoters(1, 3, 9)
}

func TestRetiredVoterIsReplacedBeforeItLeaves(t *testing.T) {
	for _, self := range []replica.NodeID{1, 2} {
		g := newGroup(t, 3, 4)
		g.self, g.retiring = self, []string{"s2"}
		g.planUntilStable()
		g.hasVoters(1, 3, 4)
		for _, m := range g.changes {
			assert.Assert(t, len(m.Voters) >= 3)
		}
	}
}

func TestAllVotersAreReplacedOneAfterTheOther(t *testing.T) {
	g := newGroup(t, 3, 6)
	g.retiring = []string{"s1", "s2", "s3"}
	g.planUntilStable()
	g.hasVoters(4, 5, 6)
}

func TestUnresponsiveLearnerIsReplaced(t *testing.T) {
	g := newGroup(t, 3, 5)
	g.down[2] = true
	first := g.planner.candidates(g.view())[0].ID
	g.down[first], g.falselyAlive[first] = true, true
	g.planUntilStable()
	g.hasVoters(slices.Sorted(slices.Values([]replica.NodeID{1, 3, 9 - first}))...)
	assert.Equal(t, len(g.members.Learners), 0)
}

func TestUnavailableNodeIsNotInvited(t *testing.T) {
	g := newGroup(t, 3, 4)
	g.down[2], g.down[4] = true, true
	g.planUntilStable()
	assert.Equal(t, len(g.changes), 0)
}

// An invited node that misses one probe must be allowed to catch up.
func TestBrieflyUnavailableLearnerStays(t *testing.T) {
	g := newGroup(t, 3, 4)
	g.down[2] = true
	for len(g.members.Learners) == 0 {
		g.planOnce()
	}
	g.lag[4] = 900
	g.planOnce()
	g.down[4] = true
	assert.Assert(t, !g.planOnce(), "%v", g.changes)
}

// A node that starts retiring after its invitation must not block another candidate.
func TestRetiringLearnerIsReplaced(t *testing.T) {
	g := newGroup(t, 3, 5)
	g.down[2] = true
	for len(g.members.Learners) == 0 {
		g.planOnce()
	}
	invited := g.members.Learners[0]
	g.lag[invited] = 900
	g.retiring = []string{fmt.Sprintf("s%d", invited)}
	g.planUntilStable()
	g.hasVoters(slices.Sorted(slices.Values([]replica.NodeID{1, 3, 9 - invited}))...)
	assert.Equal(t, len(g.members.Learners), 0)
}

// A new leader must continue with the learner that the previous leader invited.
func TestNewLeaderKeepsTheInvitedLearner(t *testing.T) {
	g := newGroup(t, 3, 4)
	g.down[2] = true
	for len(g.members.Learners) == 0 {
		g.planOnce()
	}
	g.lag[4] = 900
	g.planner, g.self = &Planner{}, 3
	before := len(g.changes)
	for range 20 {
		g.planOnce()
	}
	assert.Equal(t, len(g.changes), before, "%v", g.changes)
	g.lag[4] = 0
	g.planUntilStable()
	g.hasVoters(1, 3, 4)
}

// Under constant load a learner always lacks the newest entries.
func TestSlightlyLaggingLearnerBecomesAVoter(t *testing.T) {
	g := newGroup(t, 3, 4)
	g.down[2] = true
	g.lag[4] = 20
	g.planUntilStable()
	g.hasVoters(1, 3, 4)
}

func TestFarLaggingLearnerDoesNotBecomeAVoter(t *testing.T) {
	g := newGroup(t, 3, 4)
	g.down[2] = true
	g.lag[4] = 900
	g.planUntilStable()
	g.hasVoters(1, 2, 3)
	assert.DeepEqual(t, g.members.Learners, []replica.NodeID{4})
}

func TestAllOtherNodesBecomeLearners(t *testing.T) {
	g := newGroup(t, 3, 6)
	g.allAsLearners = true
	g.planUntilStable()
	g.hasVoters(1, 2, 3)
	assert.DeepEqual(t, g.members.Learners, []replica.NodeID{4, 5, 6})
	g.nodes = g.nodes[:5]
	g.planUntilStable()
	assert.DeepEqual(t, g.members.Learners, []replica.NodeID{4, 5})
}

func TestNoPlanWhileTheLeaderIsNotReadyOrAChangeIsPending(t *testing.T) {
	for _, change := range []func(*replica.Status){
		func(s *replica.Status) { s.LeaderReady = false },
		func(s *replica.Status) { s.ChangePending = true },
	} {
		g := newGroup(t, 1, 3)
		g.targetVoters = 3
		v := g.view()
		change(&v.Status)
		_, due := g.planner.Plan(v)
		assert.Assert(t, !due)
	}
}

// A node that repeatedly stops responding must be replaced once and then stay out.
func TestFlappingNodeIsReplacedOnce(t *testing.T) {
	g := newGroup(t, 3, 4)
	for range 20 {
		g.down[2] = true
		for range 14 {
			g.planOnce()
		}
		g.down[2] = false
		for range 14 {
			g.planOnce()
		}
	}
	g.hasVoters(1, 3, 4)
	assert.Assert(t, len(g.changes) <= 3, "%d changes: %v", len(g.changes), g.changes)
}

// Silences shorter than the limit must change nothing.
func TestShortSilencesChangeNothing(t *testing.T) {
	g := newGroup(t, 3, 5)
	for i := range 300 {
		g.down[2], g.down[3] = i%9 < 6, i%7 < 3
		g.planOnce()
	}
	assert.Equal(t, len(g.changes), 0)
}

// Guards against a group that removes voters which are alive because few nodes have registered yet: with
// a third one missing, no quorum was left.
func TestFewRegisteredNodesDoNotShrinkGroup(t *testing.T) {
	for registered := 1; registered <= 3; registered++ {
		g := newGroup(t, 3, 3)
		g.targetVoters, g.maxVoters = registered, 3
		for range 2 * lostAfter / planInterval {
			g.planOnce()
		}
		assert.Equal(t, len(g.members.Voters), 3, "%d registered: %v", registered, g.changes)
	}
}

// Guards against a group that removes a voter which is alive in place of the one that never started.
func TestVoterThatNeverStartedIsTheOneRemoved(t *testing.T) {
	for registered := 1; registered <= 2; registered++ {
		g := newGroup(t, 3, 3)
		g.targetVoters, g.maxVoters = registered, 3
		g.down[3] = true
		for range 3 * lostAfter / planInterval {
			g.planOnce()
		}
		assert.DeepEqual(t, g.members.Voters, []replica.NodeID{1, 2})
	}
}
