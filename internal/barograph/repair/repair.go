// Package repair decides how the members of a group change: who takes the place of a
// member that is lost, retired or surplus. It is pure; the group's owner asks it again
// and again and makes one change at a time, so that any two quorums overlap.
package repair

import (
	"maps"
	"slices"
	"time"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/station/hashing"
	"pipitmux/internal/station/protocol"
)

// catchUpWithin is how long a learner may take to be heard from before another is tried.
const learnerContactTimeout = 1500 * time.Millisecond

// lagMost is how many committed entries a learner may lack to become a voter. While commands
// come in all the time it always lacks the newest ones; they are on their way to it.
const maxPromotionLag = 64

// View is what a group's owner knows.
type View struct {
	Status        replica.Status
	Now           time.Duration
	LostAfter     time.Duration   // a voter not heard from for this long counts as lost
	Nodes         []protocol.Node // that may be members, of the right class
	Alive         []protocol.Node // those of them that answer, where Wanting says so
	Retiring      []string        // names of nodes that must not be
	TargetVoters  int             // how many there should be
	AllAsLearners bool            // all other nodes follow as learners
}

// Planner remembers who was tried in vain. The zero value is ready to use. Each group has
// its own.
type Planner struct {
	invited  map[replica.NodeID]time.Duration // since when a node is a learner that is to vote
	timedOut map[replica.NodeID]time.Duration // when a node did not catch up in time
}

// Plan returns the members that the group should have next, and whether they differ.
func (p *Planner) Plan(v View) (replica.Members, bool) {
	now := v.Status.Members
	if !v.Status.LeaderReady || v.Status.ChangePending {
		return now, false
	}
	p.initMaps()
	lost := p.lost(v)
	sound := len(now.Voters) - len(lost)
	switch {
	case len(lost) > 0 && len(now.Voters) > v.TargetVoters, len(lost) > 0 && sound >= v.TargetVoters:
		return withoutMember(now, lost[0]), true
	case len(now.Voters) > v.TargetVoters:
		return withoutMember(now, p.surplusVoter(v)), true
	case sound < v.TargetVoters:
		if next, ok := p.promote(v); ok {
			return next, true
		}
		if next, ok := p.invite(v); ok {
			return next, true
		}
	}
	return p.planLearners(v)
}

// Wanting tells whether the group needs another member: who of the nodes answers must be
// known for Plan then.
func (p *Planner) NeedsVoter(v View) bool {
	return v.Status.LeaderReady && !v.Status.ChangePending && len(v.Status.Members.Voters)-len(p.lost(v)) < v.TargetVoters
}

func (p *Planner) initMaps() {
	if p.invited == nil {
		p.invited = map[replica.NodeID]time.Duration{}
		p.timedOut = map[replica.NodeID]time.Duration{}
	}
}

// lost lists the voters that need a successor, those first that are gone for good.
func (p *Planner) lost(v View) []replica.NodeID {
	var gone, silent, retired []replica.NodeID
	for _, id := range v.Status.Members.Voters {
		n, known := findNode(v.Nodes, id)
		switch {
		case !known && id != v.Status.Self:
			gone = append(gone, id)
		case id != v.Status.Self && v.Now-v.Status.LastHeard[id] > v.LostAfter:
			silent = append(silent, id)
		case known && slices.Contains(v.Retiring, n.Name):
			retired = append(retired, id)
		}
	}
	return slices.Concat(gone, silent, retired)
}

// surplus is the voter that the group can best do without: the last in its order, never
// the owner.
func (p *Planner) surplusVoter(v View) replica.NodeID {
	voters := slices.DeleteFunc(slices.Clone(v.Status.Members.Voters), func(id replica.NodeID) bool { return id == v.Status.Self })
	ranked := hashing.Rank(string(v.Status.Group), voters, func(id replica.NodeID) uint64 { return uint64(id) })
	return ranked[len(ranked)-1]
}

// promote makes a learner that has caught up a voter.
func (p *Planner) promote(v View) (replica.Members, bool) {
	now := v.Status.Members
	for _, n := range p.candidates(v) {
		if !slices.Contains(now.Learners, n.ID) || !heard(v, n.ID) || !hasCaughtUp(v, n.ID) {
			continue
		}
		delete(p.invited, n.ID)
		next := replica.Members{Voters: append(slices.Clone(now.Voters), n.ID)}
		next.Learners = slices.DeleteFunc(slices.Clone(now.Learners), func(id replica.NodeID) bool { return id == n.ID })
		return next, true
	}
	return now, false
}

// invite makes a node a learner, or gives up one that isn't heard from.
func (p *Planner) invite(v View) (replica.Members, bool) {
	now := v.Status.Members
	for _, id := range slices.Sorted(maps.Keys(p.invited)) {
		if !slices.Contains(now.Learners, id) {
			delete(p.invited, id)
			continue
		}
		if n, known := findNode(v.Nodes, id); !known || slices.Contains(v.Retiring, n.Name) {
			delete(p.invited, id) // it is to be emptied, or came back as another
			return withoutMember(now, id), true
		}
		if heard(v, id) || v.Now-p.invited[id] < learnerContactTimeout {
			return now, false // it is on its way
		}
		delete(p.invited, id)
		p.timedOut[id] = v.Now
		return withoutMember(now, id), true
	}
	for _, n := range p.candidates(v) {
		if at, tried := p.timedOut[n.ID]; tried && v.Now-at < 2*learnerContactTimeout {
			continue
		}
		if slices.Contains(now.Learners, n.ID) {
			if v.AllAsLearners {
				continue // it follows anyhow and will catch up
			}
			p.invited[n.ID] = v.Now // by an earlier owner
			return now, false
		}
		p.invited[n.ID] = v.Now
		return replica.Members{Voters: now.Voters, Learners: append(slices.Clone(now.Learners), n.ID)}, true
	}
	return now, false
}

// candidates are the nodes that may become voters, in the group's order.
func (p *Planner) candidates(v View) []protocol.Node {
	var nodes []protocol.Node
	for _, n := range v.Alive {
		if !slices.Contains(v.Status.Members.Voters, n.ID) && !slices.Contains(v.Retiring, n.Name) {
			nodes = append(nodes, n)
		}
	}
	return hashing.Rank(string(v.Status.Group), nodes, func(n protocol.Node) uint64 { return uint64(n.ID) })
}

// learners keeps the learners as they should be: all other nodes, or none but those that
// are to vote.
func (p *Planner) planLearners(v View) (replica.Members, bool) {
	now := v.Status.Members
	var want []replica.NodeID
	for _, n := range v.Nodes {
		if v.AllAsLearners && !slices.Contains(now.Voters, n.ID) {
			want = append(want, n.ID)
		}
	}
	for _, id := range now.Learners {
		_, invited := p.invited[id]
		_, known := findNode(v.Nodes, id)
		if !v.AllAsLearners && invited && known {
			want = append(want, id)
		}
	}
	slices.Sort(want)
	have := slices.Sorted(slices.Values(now.Learners))
	if slices.Equal(want, have) {
		return now, false
	}
	return replica.Members{Voters: now.Voters, Learners: want}, true
}

func findNode(nodes []protocol.Node, id replica.NodeID) (protocol.Node, bool) {
	at := slices.IndexFunc(nodes, func(n protocol.Node) bool { return n.ID == id })
	if at < 0 {
		return protocol.Node{}, false
	}
	return nodes[at], true
}

func heard(v View, id replica.NodeID) bool {
	at, ok := v.Status.LastHeard[id]
	return ok && v.Now-at <= v.LostAfter/2
}

// caughtUp tells whether a learner holds all that is committed, but for the newest entries.
func hasCaughtUp(v View, id replica.NodeID) bool {
	matched := v.Status.MatchIndex[id]
	return matched > 0 && matched+maxPromotionLag >= v.Status.CommitIndex
}

func withoutMember(m replica.Members, id replica.NodeID) replica.Members {
	drop := func(ids []replica.NodeID) []replica.NodeID {
		return slices.DeleteFunc(slices.Clone(ids), func(o replica.NodeID) bool { return o == id })
	}
	return replica.Members{Voters: drop(m.Voters), Learners: drop(m.Learners)}
}
