// Package repair plans membership changes of a group: which node replaces a voter that is
// lost, retiring or surplus. It is pure. The group's leader calls it periodically and makes
// one change at a time, so that any two consecutive quorums overlap.
package repair

import (
	"maps"
	"slices"
	"time"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/hashing"
	"oakseam/internal/tier/protocol"
)

// learnerContactTimeout is how long a new learner may take to respond before another node is
// tried.
const learnerContactTimeout = 1500 * time.Millisecond

// maxPromotionLag is how many committed entries a learner may lack when it becomes a voter.
// Under constant load it always lacks the newest ones, which are already on their way.
const maxPromotionLag = 64

// View is what the leader of a group knows.
type View struct {
	Status        replica.Status
	Now           time.Duration
	LostAfter     time.Duration   // a voter not heard from for this long counts as lost
	Nodes         []protocol.Node // nodes of the right class that may be members
	Alive         []protocol.Node // those of Nodes that respond; needed only if NeedsVoter returns true
	Retiring      []string        // names of nodes that must not be voters
	TargetVoters  int             // how many voters the group should have, with the nodes that are known now
	MaxVoters     int             // beyond this many voters, those that are not lost are removed too
	AllAsLearners bool            // all other nodes are learners
}

// Planner remembers which nodes were invited as learners and which did not respond. The zero
// value is ready to use. Each group has its own Planner.
type Planner struct {
	invited  map[replica.NodeID]time.Duration // when a node became a learner that is to become a voter
	timedOut map[replica.NodeID]time.Duration // when an invited node was given up
}

// Plan returns the members that the group should have next, and whether they differ from the
// current ones.
func (p *Planner) Plan(view View) (replica.Members, bool) {
	current := view.Status.Members
	if !view.Status.LeaderReady || view.Status.ChangePending {
		return current, false
	}
	p.initMaps()
	lost := p.lost(view)
	healthy := len(current.Voters) - len(lost)
	switch {
	case len(lost) > 0 && len(current.Voters) > view.TargetVoters, len(lost) > 0 && healthy >= view.TargetVoters:
		return withoutMember(current, lost[0]), true
	case len(current.Voters) > max(view.MaxVoters, view.TargetVoters):
		// Not from TargetVoters on: nodes that have not registered yet would be taken for surplus ones.
		return withoutMember(current, p.surplusVoter(view)), true
	case healthy < view.TargetVoters || p.canImprovePlacement(view):
		if next, ok := p.promote(view); ok {
			return next, true
		}
		if next, ok := p.invite(view); ok {
			return next, true
		}
	}
	return p.planLearners(view)
}

// NeedsVoter reports whether the group needs another voter, also in place of one in a zone that
// holds too many. If so, Plan needs View.Alive.
func (p *Planner) NeedsVoter(view View) bool {
	if !view.Status.LeaderReady || view.Status.ChangePending {
		return false
	}
	return len(view.Status.Members.Voters)-len(p.lost(view)) < view.TargetVoters || p.mayImprovePlacement(view)
}

func (p *Planner) initMaps() {
	if p.invited == nil {
		p.invited = map[replica.NodeID]time.Duration{}
		p.timedOut = map[replica.NodeID]time.Duration{}
	}
}

// lost lists the voters that need a replacement: first those no longer in the directory, then
// silent ones, then retiring ones.
func (p *Planner) lost(view View) []replica.NodeID {
	var gone, silent, retiring []replica.NodeID
	for _, id := range view.Status.Members.Voters {
		n, known := findNode(view.Nodes, id)
		switch {
		case !known && id != view.Status.Self:
			gone = append(gone, id)
		case id != view.Status.Self && view.Now-view.Status.LastHeard[id] > view.LostAfter:
			silent = append(silent, id)
		case known && slices.Contains(view.Retiring, n.Name):
			retiring = append(retiring, id)
		}
	}
	return slices.Concat(gone, silent, retiring)
}

// surplusVoter returns the voter to remove: the last one in the group's rendezvous order,
// never the leader. Voters of zones that hold too many go first.
func (p *Planner) surplusVoter(view View) replica.NodeID {
	voters := slices.DeleteFunc(slices.Clone(view.Status.Members.Voters), func(id replica.NodeID) bool { return id == view.Status.Self })
	zones := p.voterZones(view)
	misplaced := slices.DeleteFunc(slices.Clone(voters), func(id replica.NodeID) bool {
		n, known := findNode(view.Nodes, id)
		return !known || !zones.exceeds(n.Zone)
	})
	if len(misplaced) > 0 {
		voters = misplaced
	}
	ranked := hashing.Rank(string(view.Status.Group), voters, func(id replica.NodeID) uint64 { return uint64(id) })
	return ranked[len(ranked)-1]
}

// promote makes a learner that has caught up a voter. One in a full zone has to wait for one that
// is still catching up in a zone with room.
func (p *Planner) promote(view View) (replica.Members, bool) {
	current := view.Status.Members
	zones, catchingUp := p.voterZones(view), false
	for _, n := range p.candidates(view) {
		if !slices.Contains(current.Learners, n.ID) || !heardRecently(view, n.ID) {
			continue
		}
		if catchingUp && !zones.hasRoom(n.Zone) {
			return current, false
		}
		if !hasCaughtUp(view, n.ID) {
			catchingUp = catchingUp || zones.hasRoom(n.Zone)
			continue
		}
		delete(p.invited, n.ID)
		next := replica.Members{Voters: append(slices.Clone(current.Voters), n.ID)}
		next.Learners = slices.DeleteFunc(slices.Clone(current.Learners), func(id replica.NodeID) bool { return id == n.ID })
		return next, true
	}
	return current, false
}

// invite makes a node a learner, or gives up one that does not respond.
func (p *Planner) invite(view View) (replica.Members, bool) {
	current := view.Status.Members
	for _, id := range slices.Sorted(maps.Keys(p.invited)) {
		if !slices.Contains(current.Learners, id) {
			delete(p.invited, id)
			continue
		}
		if n, known := findNode(view.Nodes, id); !known || slices.Contains(view.Retiring, n.Name) {
			delete(p.invited, id) // it is retiring, or its machine came back as another node
			return withoutMember(current, id), true
		}
		if heardRecently(view, id) || view.Now-p.invited[id] < learnerContactTimeout {
			return current, false // it is still catching up
		}
		delete(p.invited, id)
		p.timedOut[id] = view.Now
		return withoutMember(current, id), true
	}
	for _, n := range p.candidates(view) {
		if at, tried := p.timedOut[n.ID]; tried && view.Now-at < 2*learnerContactTimeout {
			continue
		}
		if slices.Contains(current.Learners, n.ID) {
			if view.AllAsLearners {
				continue // it is a learner anyway and will catch up
			}
			p.invited[n.ID] = view.Now // invited by an earlier leader
			return current, false
		}
		p.invited[n.ID] = view.Now
		return replica.Members{Voters: current.Voters, Learners: append(slices.Clone(current.Learners), n.ID)}, true
	}
	return current, false
}

// candidates returns the nodes that may become voters, in the group's rendezvous order, those of
// zones with room first. A group with all its voters takes another one only into such a zone.
func (p *Planner) candidates(view View) []protocol.Node {
	var nodes []protocol.Node
	for _, n := range view.Alive {
		if mayBecomeVoter(view, n) {
			nodes = append(nodes, n)
		}
	}
	ranked := hashing.Rank(string(view.Status.Group), nodes, func(n protocol.Node) uint64 { return uint64(n.ID) })
	withRoom, full := p.voterZones(view).divide(ranked)
	if len(view.Status.Members.Voters)-len(p.lost(view)) >= view.TargetVoters {
		return withRoom
	}
	return append(withRoom, full...)
}

// planLearners corrects the set of learners: all nodes that are not voters if AllAsLearners
// is set, otherwise only those that are to become voters.
func (p *Planner) planLearners(view View) (replica.Members, bool) {
	current := view.Status.Members
	var want []replica.NodeID
	for _, n := range view.Nodes {
		if view.AllAsLearners && !slices.Contains(current.Voters, n.ID) {
			want = append(want, n.ID)
		}
	}
	for _, id := range current.Learners {
		_, invited := p.invited[id]
		_, known := findNode(view.Nodes, id)
		if !view.AllAsLearners && invited && known {
			want = append(want, id)
		}
	}
	slices.Sort(want)
	have := slices.Sorted(slices.Values(current.Learners))
	if slices.Equal(want, have) {
		return current, false
	}
	return replica.Members{Voters: current.Voters, Learners: want}, true
}

// mayBecomeVoter reports whether a node is not a voter and may be one.
func mayBecomeVoter(view View, n protocol.Node) bool {
	return !slices.Contains(view.Status.Members.Voters, n.ID) && !slices.Contains(view.Retiring, n.Name)
}

func findNode(nodes []protocol.Node, id replica.NodeID) (protocol.Node, bool) {
	at := slices.IndexFunc(nodes, func(n protocol.Node) bool { return n.ID == id })
	if at < 0 {
		return protocol.Node{}, false
	}
	return nodes[at], true
}

// heardRecently reports whether a node responded within half the time after which it counts
// as lost.
func heardRecently(view View, id replica.NodeID) bool {
	at, ok := view.Status.LastHeard[id]
	return ok && view.Now-at <= view.LostAfter/2
}

// hasCaughtUp reports whether a learner holds all committed entries except the newest ones.
func hasCaughtUp(view View, id replica.NodeID) bool {
	matched := view.Status.MatchIndex[id]
	return matched > 0 && matched+maxPromotionLag >= view.Status.CommitIndex
}

func withoutMember(m replica.Members, id replica.NodeID) replica.Members {
	drop := func(ids []replica.NodeID) []replica.NodeID {
		return slices.DeleteFunc(slices.Clone(ids), func(o replica.NodeID) bool { return o == id })
	}
	return replica.Members{Voters: drop(m.Voters), Learners: drop(m.Learners)}
}
