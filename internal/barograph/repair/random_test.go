package repair

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/station/protocol"
)

// Whatever happens, each change holds what check asks for; and once all is calm the group has
// its size, without lost, retired or surplus members, and comes to rest.
func TestPlansOfRandomGroups(t *testing.T) {
	for seed := range uint64(1000) {
		random := rand.New(rand.NewPCG(seed, 1))
		g := newGroup(t, 1+random.IntN(5), 5+random.IntN(4))
		g.everyone = random.IntN(3) == 0
		next := len(g.nodes) + 1
		for range 60 {
			g.upset(random, &next)
			for range 1 + random.IntN(8) {
				g.look()
			}
		}
		g.calm()
		g.rest()
		g.checkRest(seed)
	}
}

// upset makes something else of the group, and keeps a majority of its voters.
func (g *group) upset(random *rand.Rand, next *int) {
	pick := g.nodes[random.IntN(len(g.nodes))]
	switch random.IntN(7) {
	case 0:
		if g.down[pick.ID] = true; pick.ID == g.self || g.up(g.members) < g.members.Quorum()+1 {
			delete(g.down, pick.ID)
		}
	case 1:
		clear(g.down)
	case 2:
		g.wipe(pick, next)
	case 3:
		g.retire(pick)
	case 4:
		g.lag[pick.ID] = uint64(random.IntN(3)) * 400
	case 5:
		g.elect(random)
	case 6:
		g.voters = []int{1, 3, 3, 3, 5}[random.IntN(5)]
	}
}

// wipe has a machine lose its disk and come back as another node.
func (g *group) wipe(pick protocol.Node, next *int) {
	before := maps.Clone(g.down)
	if g.down[pick.ID] = true; pick.ID == g.self || g.up(g.members) < g.members.Quorum()+1 {
		g.down = before
		return
	}
	came := pick
	came.ID = replica.NodeID(*next)
	*next++
	at := slices.Index(g.nodes, pick)
	g.nodes = slices.Clone(g.nodes)
	g.nodes[at] = came
}

// retire has a machine emptied, where enough are left.
func (g *group) retire(pick protocol.Node) {
	if len(g.nodes)-len(g.retiring) > 5 && !slices.Contains(g.retiring, pick.Name) {
		g.retiring = append(slices.Clone(g.retiring), pick.Name)
	}
}

// elect gives the group another owner, who knows nothing of the one before.
func (g *group) elect(random *rand.Rand) {
	voter := g.members.Voters[random.IntN(len(g.members.Voters))]
	if _, known := find(g.nodes, voter); !known || g.down[voter] {
		return
	}
	g.self, g.planner = voter, &Planner{}
	for _, id := range g.members.All() {
		g.heard[id] = g.now
	}
}

// calm ends all troubles but lost disks.
func (g *group) calm() {
	clear(g.lag)
	for id := range g.down {
		if _, known := find(g.nodes, id); known {
			delete(g.down, id)
		}
	}
	if !g.members.IsVoter(g.self) {
		g.elect(rand.New(rand.NewPCG(1, 1)))
	}
}

func (g *group) checkRest(seed uint64) {
	g.t.Helper()
	assert.Equal(g.t, len(g.members.Voters), g.voters, "seed %d: %v", seed, g.members)
	for _, id := range g.members.All() {
		n, known := find(g.nodes, id)
		assert.Assert(g.t, known, "seed %d: %d is gone: %v", seed, id, g.members)
		retired := slices.Contains(g.retiring, n.Name)
		assert.Assert(g.t, !retired || g.members.IsLearner(id), "seed %d: %d is to be emptied: %v", seed, id, g.members)
	}
	if g.everyone {
		assert.Equal(g.t, len(g.members.All()), len(g.nodes), "seed %d", seed)
		return
	}
	// One that was invited in place of a voter that came back goes on to follow.
	assert.Assert(g.t, len(g.members.Learners) <= 1, "seed %d: %v", seed, g.members)
}
