package repair

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/station/protocol"
)

const (
	lostAfter    = 1500 * time.Millisecond
	planInterval = 150 * time.Millisecond // between two looks of the owner
)

// group is a group as its owner sees it: nodes that follow, lag, fall silent or get lost.
type group struct {
	t             *testing.T
	planner       *Planner
	now           time.Duration
	self          replica.NodeID
	members       replica.Members
	nodes         []protocol.Node
	retiring      []string
	targetVoters  int
	allAsLearners bool
	down          map[replica.NodeID]bool
	lag           map[replica.NodeID]uint64 // entries that a member lacks
	heard         map[replica.NodeID]time.Duration
	falselyAlive  map[replica.NodeID]bool // is down, and still seems to answer
	answered      map[replica.NodeID]bool // has answered since it was invited
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
		TargetVoters: g.targetVoters, AllAsLearners: g.allAsLearners, Alive: g.alive(),
	}
}

// alive are the nodes that answer, or seemed to.
func (g *group) alive() []protocol.Node {
	return slices.DeleteFunc(slices.Clone(g.nodes), func(n protocol.Node) bool { return g.down[n.ID] && !g.falselyAlive[n.ID] })
}

// look lets the owner look once, and carries out what it wants.
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
			g.heard[id], g.answered[id] = g.now, false // as an owner counts a new member
		}
	}
	g.members = next
	g.changes = append(g.changes, next)
	return true
}

// check holds a change to what no change may do.
func (g *group) check(next replica.Members) {
	g.t.Helper()
	now := g.members
	assert.Assert(g.t, quorumsOverlap(now, next), "quorums of %v and %v need not overlap", now, next)
	assert.Assert(g.t, len(next.Voters) > 0)
	all := next.All()
	slices.Sort(all)
	assert.Equal(g.t, len(slices.Compact(all)), len(next.All()), "a node stands twice: %v", next)
	for _, id := range next.Voters {
		if !now.IsVoter(id) {
			assert.Assert(g.t, now.IsLearner(id) && g.answered[id] && g.now-g.heard[id] < lostAfter, "%d becomes a voter unheard: %v", id, now)
		}
	}
	if g.countReachable(now) >= now.Quorum() {
		assert.Assert(g.t, g.countReachable(next) >= next.Quorum(), "%v has a majority, %v has none; down: %v", now, next, g.down)
	}
}

// well counts the voters that the owner was in touch with of late.
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

// overlap tries all pairs of quorums.
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

// rest looks until nothing is due for long, or fails.
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
	g.t.Fatalf("comes to no rest: %v, changes %v", g.members, g.changes)
}

func (g *group) hasVoters(ids ...replica.NodeID) {
	g.t.Helper()
	assert.DeepEqual(g.t, slices.Sorted(slices.Values(g.members.Voters)), ids)
}

func TestSoundGroupStaysAsItIs(t *testing.T) {
	g := newGroup(t, 3, 5)
	for range 100 {
		assert.Assert(t, !g.planOnce(), "%v", g.changes)
	}
}

func TestGroupGrowsToItsSize(t *testing.T) {
	g := newGroup(t, 1, 5)
	g.targetVoters = 3
	g.planUntilStable()
	assert.Equal(t, len(g.members.Voters), 3)
	assert.Equal(t, len(g.members.Learners), 0)
	assert.Equal(t, len(g.changes), 4, "two are invited and promoted")
}

func TestGroupShrinksToItsSizeWithoutItsOwner(t *testing.T) {
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
	assert.Equal(t, len(g.changes), 3, "invited, promoted, the lost one out: %v", g.changes)
}

func TestSilentVoterStaysWhereNobodyCanTakeItsPlace(t *testing.T) {
	g := newGroup(t, 3, 3)
	g.down[2] = true
	g.planUntilStable()
	g.hasVoters(1, 2, 3)
	assert.Equal(t, len(g.changes), 0)
}

func TestLostDiskIsReplacedByWhatCameBack(t *testing.T) {
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

func TestLearnerThatIsNeverHeardIsGivenUpForAnother(t *testing.T) {
	g := newGroup(t, 3, 5)
	g.down[2] = true
	first := g.planner.candidates(g.view())[0].ID
	g.down[first], g.falselyAlive[first] = true, true
	g.planUntilStable()
	g.hasVoters(slices.Sorted(slices.Values([]replica.NodeID{1, 3, 9 - first}))...)
	assert.Equal(t, len(g.members.Learners), 0)
}

func TestNodeThatIsNotThereIsNotInvited(t *testing.T) {
	g := newGroup(t, 3, 4)
	g.down[2], g.down[4] = true, true
	g.planUntilStable()
	assert.Equal(t, len(g.changes), 0)
}

// An invited node that misses one question goes on to catch up.
func TestInvitedNodeThatSeemsAwayForAMomentStays(t *testing.T) {
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

// A node that is invited and then to be emptied must not stand in another's way.
func TestInvitedNodeThatRetiresMakesWayForAnother(t *testing.T) {
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

// A new owner goes on with whom the one before invited.
func TestNewOwnerKeepsTheLearnerThatIsOnItsWay(t *testing.T) {
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

// In a group that takes commands all the time a learner always lacks the newest ones.
func TestLearnerThatLacksTheNewestEntriesOnlyBecomesAVoter(t *testing.T) {
	g := newGroup(t, 3, 4)
	g.down[2] = true
	g.lag[4] = 20
	g.planUntilStable()
	g.hasVoters(1, 3, 4)
}

func TestLearnerThatIsFarBehindBecomesNoVoter(t *testing.T) {
	g := newGroup(t, 3, 4)
	g.down[2] = true
	g.lag[4] = 900
	g.planUntilStable()
	g.hasVoters(1, 2, 3)
	assert.DeepEqual(t, g.members.Learners, []replica.NodeID{4})
}

func TestEveryoneFollows(t *testing.T) {
	g := newGroup(t, 3, 6)
	g.allAsLearners = true
	g.planUntilStable()
	g.hasVoters(1, 2, 3)
	assert.DeepEqual(t, g.members.Learners, []replica.NodeID{4, 5, 6})
	g.nodes = g.nodes[:5]
	g.planUntilStable()
	assert.DeepEqual(t, g.members.Learners, []replica.NodeID{4, 5})
}

func TestNothingIsDueAtAnOwnerThatIsNotSettled(t *testing.T) {
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

// A node that falls silent again and again is replaced once, and then stays out.
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

// Shorter silences change nothing at all.
func TestShortSilencesChangeNothing(t *testing.T) {
	g := newGroup(t, 3, 5)
	for i := range 300 {
		g.down[2], g.down[3] = i%9 < 6, i%7 < 3
		g.planOnce()
	}
	assert.Equal(t, len(g.changes), 0)
}
