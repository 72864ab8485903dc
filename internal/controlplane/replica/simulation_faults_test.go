package replica_test

import (
	"slices"
	"time"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/virtualclock"
)

// fault injects a random fault, or heals the network for a while.
func (s *simulation) fault() {
	if !s.faultsActive {
		return
	}
	faults := []func(){
		s.faultHeal, s.faultHeal, s.faultHeal, s.faultCutOne, s.faultCutBoth, s.faultIsolate, s.faultSplit,
		s.faultNetworkQuality, s.faultFreeze, s.faultFreeze, s.faultCrash, s.faultCrash, s.faultPowerLoss,
		s.faultDiskLoss, s.faultLeadershipTransfer, s.faultLeadershipTransfer,
	}
	if s.frequentFaults {
		faults = []func(){s.faultHeal, s.faultHeal, s.faultCutOne, s.faultIsolate, s.faultCrash, s.faultSplit, s.faultNetworkQuality}
	}
	faults[s.Random.IntN(len(faults))]()
}

// randomNode draws a running node, often a leader.
func (s *simulation) randomNode() *node {
	nodes := s.leaders()
	if len(nodes) == 0 || s.Chance(0.6) {
		nodes = s.running()
	}
	if len(nodes) == 0 {
		return nil
	}
	return nodes[s.Random.IntN(len(nodes))]
}

// randomPair draws two nodes.
func (s *simulation) randomPair() (a, b replica.NodeID) {
	drawn := s.Random.Perm(len(s.nodes))
	return replica.NodeID(drawn[0] + 1), replica.NodeID(drawn[len(drawn)-1] + 1)
}

func (s *simulation) faultHeal() { s.net.clear() }

func (s *simulation) faultCutOne() {
	a, b := s.randomPair()
	s.net.cuts[link{a, b}] = true
}

func (s *simulation) faultCutBoth() { s.net.cutBoth(s.randomPair()) }

// faultIsolate partitions one node away in one direction or in both.
func (s *simulation) faultIsolate() {
	target := s.randomNode()
	if target == nil {
		return
	}
	virtualclock.Isolate(s.Clock, target.id, s.nodeIDs(), s.net.cut)
}

// nodeIDs returns the ids of all nodes, in their order.
func (s *simulation) nodeIDs() (ids []replica.NodeID) {
	for _, n := range s.nodes {
		ids = append(ids, n.id)
	}
	return ids
}

// isolateNewLeader partitions a new leader away before all others know about its term, and reconnects the nodes
// that were cut off before, so that the logs diverge as far as possible.
func (s *simulation) isolateNewLeader(target *node) {
	if !s.frequentFaults || !s.faultsActive || s.Chance(0.5) {
		return
	}
	s.After(s.Between(0, 2*s.maxDelay), func() {
		if !s.faultsActive {
			return
		}
		s.net.clear()
		for _, other := range s.nodes {
			s.net.cutBoth(target.id, other.id)
		}
	})
}

func (s *simulation) faultSplit() { virtualclock.Split(s.Clock, s.nodeIDs(), s.net.cut) }

func (s *simulation) faultNetworkQuality() { s.net.quality = s.RandomQuality() }

func (s *simulation) faultFreeze() {
	if n := s.randomNode(); n != nil {
		n.freeze(s.Between(10*time.Millisecond, 3*simulatedTiming.ElectionTimeout))
	}
}

func (s *simulation) faultCrash() {
	if n := s.randomNode(); n != nil {
		s.restart(n)
	}
}

// restart crashes a node and starts it again soon.
func (s *simulation) restart(n *node) {
	n.crash()
	incarnation := n.incarnation
	s.After(s.Between(time.Millisecond, 2*simulatedTiming.ElectionTimeout), func() {
		if n.incarnation == incarnation && !n.diskLost {
			n.start()
		}
	})
}

func (s *simulation) faultPowerLoss() {
	if s.Chance(0.7) {
		return
	}
	for _, n := range s.running() {
		s.restart(n)
	}
}

// faultDiskLoss destroys a voter's disk, unless an earlier lost node is still a member of the group.
func (s *simulation) faultDiskLoss() {
	voters := s.checker.committedMembers.Voters
	for _, n := range s.nodes {
		if n.diskLost && s.isKnownMember(n.id) {
			return
		}
	}
	if len(voters) < 3 {
		return
	}
	lost := s.node(voters[s.Random.IntN(len(voters))])
	lost.crash()
	if s.keepIDAfterDiskLoss {
		lost.disk = lost.initial
		lost.start()
		return
	}
	lost.diskLost = true
	s.counts.diskLosses++
	s.addNode(replica.PersistentState{})
}

// isKnownMember reports whether a node is among the members in any log.
func (s *simulation) isKnownMember(id replica.NodeID) bool {
	if s.checker.committedMembers.Contains(id) {
		return true
	}
	return slices.ContainsFunc(s.running(), func(n *node) bool {
		return n.replica.Status(n.clock()).Members.Contains(id)
	})
}

func (s *simulation) faultLeadershipTransfer() {
	for _, n := range s.leaders() {
		n.do(func() {
			voters := n.replica.Status(n.clock()).Members.Voters
			if n.replica.TransferLeadership(n.clock(), voters[s.Random.IntN(len(voters))]) == nil {
				s.counts.transfers++
			}
		})
	}
}

// administer changes the group's members step by step: lost nodes are removed, new nodes are added.
func (s *simulation) administer() {
	for _, n := range s.leaders() {
		n.do(func() {
			status := n.replica.Status(n.clock())
			if to, ok := s.nextMembers(status); ok && status.LeaderReady && !status.ChangePending {
				_, _, _ = n.replica.ChangeMembers(n.clock(), to)
			}
		})
	}
}

// nextMembers returns the next membership change, and whether there is one.
func (s *simulation) nextMembers(status replica.Status) (replica.Members, bool) {
	members := status.Members.Clone()
	if s.frequentFaults {
		return members, false
	}
	for _, other := range s.nodes {
		if other.diskLost && members.Contains(other.id) {
			return withoutMember(members, other.id), true
		}
	}
	for _, other := range s.nodes {
		if !other.diskLost && !members.Contains(other.id) {
			members.Learners = append(members.Learners, other.id)
			return members, true
		}
	}
	if len(members.Learners) > 0 && len(members.Voters) < 5 && (len(members.Voters) < 3 || s.Chance(0.2)) {
		promoted := members.Learners[s.Random.IntN(len(members.Learners))]
		members = withoutMember(members, promoted)
		members.Voters = append(members.Voters, promoted)
		return members, true
	}
	return s.randomMemberChange(members)
}

// randomMemberChange changes the members at random while faults are active.
func (s *simulation) randomMemberChange(members replica.Members) (replica.Members, bool) {
	if !s.faultsActive || !s.Chance(0.1) {
		return members, false
	}
	if len(members.Voters) < 4 {
		if len(s.nodes) < 6 && s.Chance(0.3) {
			s.addNode(replica.PersistentState{})
		}
		return members, false
	}
	demoted := members.Voters[s.Random.IntN(len(members.Voters))]
	members = withoutMember(members, demoted)
	if s.Chance(0.7) {
		members.Learners = append(members.Learners, demoted)
	}
	return members, true
}

func withoutMember(members replica.Members, id replica.NodeID) replica.Members {
	is := func(other replica.NodeID) bool { return other == id }
	members.Voters = slices.DeleteFunc(members.Voters, is)
	members.Learners = slices.DeleteFunc(members.Learners, is)
	return members
}
