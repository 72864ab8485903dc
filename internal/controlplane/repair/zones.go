package repair

import (
	"slices"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
)

// zoneCounts counts a group's voters by zone. A zone may hold so many that the others are still a
// majority without it. Nodes whose zone is unknown are not counted.
type zoneCounts struct {
	voters map[string]int
	limit  int // voters of one zone
}

// zoneLimit returns how many of a group's voters may be in one zone.
func zoneLimit(voters int) int { return max((voters-1)/2, 1) }

// hasRoom reports whether a zone may hold another voter.
func (z zoneCounts) hasRoom(zone string) bool { return zone == "" || z.voters[zone] < z.limit }

// exceeds reports whether a zone holds too many voters.
func (z zoneCounts) exceeds(zone string) bool { return zone != "" && z.voters[zone] > z.limit }

// overfull reports whether any zone holds too many voters.
func (z zoneCounts) overfull() bool {
	for zone := range z.voters {
		if z.exceeds(zone) {
			return true
		}
	}
	return false
}

// add counts a voter.
func (z zoneCounts) add(n protocol.Node) { z.voters[n.Zone]++ }

// divide returns the nodes of zones with room and the others, both in their order.
func (z zoneCounts) divide(nodes []protocol.Node) (withRoom, full []protocol.Node) {
	for _, n := range nodes {
		if z.hasRoom(n.Zone) {
			withRoom = append(withRoom, n)
		} else {
			full = append(full, n)
		}
	}
	return withRoom, full
}

// voterZones counts the voters that need no replacement.
func (p *Planner) voterZones(view View) zoneCounts {
	counts := zoneCounts{voters: map[string]int{}, limit: zoneLimit(view.TargetVoters)}
	lost := p.lost(view)
	for _, id := range view.Status.Members.Voters {
		if n, known := findNode(view.Nodes, id); known && !slices.Contains(lost, id) {
			counts.add(n)
		}
	}
	return counts
}

// mayImprovePlacement reports whether a zone holds too many voters while the directory lists a node of
// a zone with room, whether it responds or not.
func (p *Planner) mayImprovePlacement(view View) bool {
	zones := p.voterZones(view)
	return zones.overfull() && slices.ContainsFunc(view.Nodes, func(n protocol.Node) bool {
		return mayBecomeVoter(view, n) && zones.hasRoom(n.Zone)
	})
}

// canImprovePlacement reports whether a zone holds too many voters while a node of a zone with room
// responds and could take the place of one.
func (p *Planner) canImprovePlacement(view View) bool {
	return p.mayImprovePlacement(view) && len(p.candidates(view)) > 0
}

// SelectVoters returns the first voters of a group: the first nodes of a ranking that keep every
// zone within its limit, then others if there are too few of these.
func SelectVoters(ranked []protocol.Node, voters int) []replica.NodeID {
	counts := zoneCounts{voters: map[string]int{}, limit: zoneLimit(voters)}
	var selected, others []replica.NodeID
	for _, n := range ranked {
		if !counts.hasRoom(n.Zone) {
			others = append(others, n.ID)
			continue
		}
		counts.add(n)
		selected = append(selected, n.ID)
	}
	selected = append(selected, others...)
	return selected[:min(voters, len(selected))]
}
