package repair

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
)

// newZonedGroup returns a group whose node i is in the zone zones[i].
func newZonedGroup(t *testing.T, voters int, zones ...string) *group {
	g := newGroup(t, voters, len(zones))
	for i, zone := range zones {
		g.nodes[i].Zone = zone
	}
	return g
}

// votersByZone counts the group's voters by zone.
func (g *group) votersByZone() map[string]int {
	counts := map[string]int{}
	for _, id := range g.members.Voters {
		n, _ := findNode(g.nodes, id)
		counts[n.Zone]++
	}
	return counts
}

// checkSurvivesAnyZone verifies that the loss of any one zone leaves a majority of the voters.
func (g *group) checkSurvivesAnyZone(context string) {
	g.t.Helper()
	for zone, count := range g.votersByZone() {
		assert.Assert(g.t, len(g.members.Voters)-count >= g.members.Quorum(), "%s: without zone %s no majority of %v is left", context, zone, g.members.Voters)
	}
}

// Three of five voters in one zone: the loss of that zone stops the group.
func TestZoneDoesNotHoldAMajorityOfVoters(t *testing.T) {
	g := newZonedGroup(t, 5, "a", "a", "a", "b", "b", "c", "c", "d", "d")
	g.planUntilStable()
	assert.Equal(t, len(g.members.Voters), 5)
	g.checkSurvivesAnyZone("")
	for _, m := range g.changes {
		assert.Assert(t, len(m.Voters) >= 5, "%v", g.changes)
	}
}

// The leader's own zone holds too many voters: another voter of it is replaced.
func TestLeaderStaysWhenItsZoneHoldsTooManyVoters(t *testing.T) {
	g := newZonedGroup(t, 3, "a", "a", "b", "b", "c")
	g.planUntilStable()
	g.hasVoters(1, 3, 5)
}

// While a zone is dark its voters are replaced elsewhere. After its return none of the zones may hold
// too many.
func TestLostZoneIsReplacedAcrossZones(t *testing.T) {
	g := newZonedGroup(t, 5, "a", "b", "c", "d", "a", "b", "c", "d", "a")
	for _, n := range g.nodes {
		g.down[n.ID] = n.Zone == "b"
	}
	g.planUntilStable()
	g.checkSurvivesAnyZone("while the zone is dark")
	clear(g.down)
	g.planUntilStable()
	g.checkSurvivesAnyZone("after its return")
}

// Where the zones are too few, voters stay as they are, and no node is probed again and again.
func TestTooFewZonesChangeNothing(t *testing.T) {
	g := newZonedGroup(t, 3, "a", "a", "b")
	g.planUntilStable()
	assert.Equal(t, len(g.changes), 0)
	assert.Assert(t, !g.planner.NeedsVoter(g.view()))
}

// A learner of a full zone that has caught up must not be promoted before one of a zone with room that
// is about to.
func TestLearnerOfAFullZoneWaits(t *testing.T) {
	g := newZonedGroup(t, 3, "a", "b", "c", "a", "c", "b")
	g.allAsLearners = true
	g.nodes[2].Zone = "c"
	g.down[3] = true
	g.lag[5] = 900
	for range 100 {
		g.planOnce()
		for _, m := range g.changes {
			assert.Assert(t, !m.IsVoter(4) && !m.IsVoter(6), "%v", g.changes)
		}
	}
	g.lag[5] = 0
	g.planUntilStable()
	g.hasVoters(1, 2, 5)
}

// Under random faults, each group ends with voters that survive the loss of any one zone.
func TestRandomFaultsEndWithVotersAcrossZones(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 2))
		g := newGroup(t, []int{3, 5}[random.IntN(2)], 9)
		for i := range g.nodes {
			g.nodes[i].Zone = fmt.Sprint("z", i%(3+random.IntN(3)))
		}
		g.allAsLearners = random.IntN(3) == 0
		target, next := g.targetVoters, len(g.nodes)+1
		for range 60 {
			g.injectFault(random, &next)
			g.targetVoters = target
			for range 1 + random.IntN(8) {
				g.planOnce()
			}
		}
		g.endFaults()
		g.planUntilStable()
		assert.Equal(t, len(g.members.Voters), target)
		if g.canSpread() {
			g.checkSurvivesAnyZone(fmt.Sprint("seed ", seed))
		}
	}
}

// canSpread reports whether the nodes that stay allow voters within every zone's limit.
func (g *group) canSpread() bool {
	staying := slices.DeleteFunc(slices.Clone(g.nodes), func(n protocol.Node) bool { return slices.Contains(g.retiring, n.Name) })
	nodes := map[string]int{}
	for _, n := range staying {
		nodes[n.Zone]++
	}
	room := 0
	for _, count := range nodes {
		room += min(count, zoneLimit(g.targetVoters))
	}
	return room >= g.targetVoters
}

func TestFirstVotersAreSpreadOverZones(t *testing.T) {
	var ranked []protocol.Node
	for i, zone := range []string{"a", "a", "a", "b", "c", "d"} {
		n := machine(i + 1)
		n.Zone = zone
		ranked = append(ranked, n)
	}
	assert.DeepEqual(t, SelectVoters(ranked, 5), []replica.NodeID{1, 2, 4, 5, 6})
	assert.DeepEqual(t, SelectVoters(ranked[:3], 3), []replica.NodeID{1, 2, 3})
	assert.DeepEqual(t, SelectVoters(ranked[:2], 5), []replica.NodeID{1, 2})
}
