package repair

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
)

// Under random faults each change must pass check. Once the faults end, the group must reach
// its size and stop changing, without lost, retiring or surplus voters.
func TestRandomFaultsEndInAStableGroup(t *testing.T) {
	for seed := range uint64(1000) {
		random := rand.New(rand.NewPCG(seed, 1))
		g := newGroup(t, 1+random.IntN(5), 5+random.IntN(4))
		g.allAsLearners = random.IntN(3) == 0
		next := len(g.nodes) + 1
		for range 60 {
			g.injectFault(random, &next)
			for range 1 + random.IntN(8) {
				g.planOnce()
			}
		}
		g.endFaults()
		g.planUntilStable()
		g.checkStable(seed)
	}
}

// injectFault changes the state of a random node or of the group. A majority of the voters
// stays up.
func (g *group) injectFault(random *rand.Rand, next *int) {
	target := g.nodes[random.IntN(len(g.nodes))]
	switch random.IntN(7) {
	case 0:
		if g.down[target.ID] = true; target.ID == g.self || g.countUp(g.members) < g.members.Quorum()+1 {
			delete(g.down, target.ID)
		}
	case 1:
		clear(g.down)
	case 2:
		g.wipeDisk(target, next)
	case 3:
		g.retire(target)
	case 4:
		g.lag[target.ID] = uint64(random.IntN(3)) * 400
	case 5:
		g.electLeader(random)
	case 6:
		g.targetVoters = []int{1, 3, 3, 3, 5}[random.IntN(5)]
	}
}

// wipeDisk makes a machine lose its disk and return as another node.
func (g *group) wipeDisk(target protocol.Node, next *int) {
	before := maps.Clone(g.down)
	if g.down[target.ID] = true; target.ID == g.self || g.countUp(g.members) < g.members.Quorum()+1 {
		g.down = before
		return
	}
	replacement := target
	replacement.ID = replica.NodeID(*next)
	*next++
	at := slices.Index(g.nodes, target)
	g.nodes = slices.Clone(g.nodes)
	g.nodes[at] = replacement
}

// retire marks a machine as retiring if enough others remain.
func (g *group) retire(target protocol.Node) {
	if len(g.nodes)-len(g.retiring) > 5 && !slices.Contains(g.retiring, target.Name) {
		g.retiring = append(slices.Clone(g.retiring), target.Name)
	}
}

// electLeader gives the group another leader, which has a new Planner.
func (g *group) electLeader(random *rand.Rand) {
	voter := g.members.Voters[random.IntN(len(g.members.Voters))]
	if _, known := findNode(g.nodes, voter); !known || g.down[voter] {
		return
	}
	g.self, g.planner = voter, &Planner{}
	for _, id := range g.members.All() {
		g.heard[id] = g.now
	}
}

// endFaults ends all faults except lost disks.
func (g *group) endFaults() {
	clear(g.lag)
	for id := range g.down {
		if _, known := findNode(g.nodes, id); known {
			delete(g.down, id)
		}
	}
	if !g.members.IsVoter(g.self) {
		g.electLeader(rand.New(rand.NewPCG(1, 1)))
	}
}

// checkStable verifies the members of a group that no longer changes.
func (g *group) checkStable(seed uint64) {
	g.t.Helper()
	assert.Equal(g.t, len(g.members.Voters), g.targetVoters, "seed %d: %v", seed, g.members)
	for _, id := range g.members.All() {
		n, known := findNode(g.nodes, id)
		assert.Assert(g.t, known, "seed %d: member %d is no longer in the directory: %v", seed, id, g.members)
		retired := slices.Contains(g.retiring, n.Name)
		assert.Assert(g.t, !retired || g.members.IsLearner(id), "seed %d: voter %d is retiring: %v", seed, id, g.members)
	}
	if g.allAsLearners {
		assert.Equal(g.t, len(g.members.All()), len(g.nodes), "seed %d", seed)
		return
	}
	// A learner that was invited to replace a voter that came back may remain.
	assert.Assert(g.t, len(g.members.Learners) <= 1, "seed %d: %v", seed, g.members)
}
