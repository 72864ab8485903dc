package simulation

import (
	"slices"
	"time"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/virtualclock"
)

// minDiskLossInterval is the minimum time between two losses of a disk.
const minDiskLossInterval = 300 * time.Millisecond

// fault injects a random fault, or heals the network.
func (w *world) fault() {
	if !w.faultsEnabled {
		return
	}
	faults := []func(){
		w.faultHeal, w.faultHeal, w.faultHeal, w.faultCutLink, w.faultCutClient, w.faultIsolate, w.faultSplit, w.faultNetworkQuality,
		w.faultFreeze, w.faultFreeze, w.faultFreeze, w.faultCrash, w.faultCrash, w.faultPowerLoss, w.faultDiskLoss, w.faultDiskLoss, w.faultLeadershipTransfer,
	}
	faults[w.Random.IntN(len(faults))]()
}

// randomNode draws a running node, with a bias for leaders.
func (w *world) randomNode() *simulatedNode {
	var leaders []*simulatedNode
	for _, n := range w.running() {
		for _, m := range n.members {
			if m.replica.IsLeader() {
				leaders = append(leaders, n)
			}
		}
	}
	if len(leaders) == 0 || w.Chance(0.5) {
		leaders = w.running()
	}
	if len(leaders) == 0 {
		return nil
	}
	return leaders[w.Random.IntN(len(leaders))]
}

func (w *world) faultHeal() { w.network.clear() }

func (w *world) faultCutLink() {
	order := w.Random.Perm(len(w.nodes))
	a, b := endpoint(order[0]), endpoint(order[1])
	if w.Chance(0.5) {
		w.network.cutLinks[link{a, b}] = true
		return
	}
	w.network.cutBoth(a, b)
}

// faultCutClient cuts the links between a client and some nodes.
func (w *world) faultCutClient() {
	client := firstClient + endpoint(w.Random.IntN(4))
	for _, n := range w.nodes {
		if w.Chance(0.4) {
			w.network.cutBoth(client, n.address)
		}
	}
}

// faultIsolate cuts a node's links to the other nodes in one or both directions. Clients can still
// reach it.
func (w *world) faultIsolate() {
	selected := w.randomNode()
	if selected == nil {
		return
	}
	virtualclock.Isolate(w.Clock, selected.address, w.nodeAddresses(), w.network.cut)
}

// nodeAddresses returns the addresses of all nodes, in their order.
func (w *world) nodeAddresses() (addresses []endpoint) {
	for _, n := range w.nodes {
		addresses = append(addresses, n.address)
	}
	return addresses
}

func (w *world) faultSplit() { virtualclock.Split(w.Clock, w.nodeAddresses(), w.network.cut) }

func (w *world) faultNetworkQuality() {
	w.network.quality = w.RandomQuality()
	w.maxDelay = []time.Duration{normalMaxDelay, degradedMaxDelay}[w.Random.IntN(2)]
}

// faultFreeze freezes a process, most of the time for longer than its lease.
func (w *world) faultFreeze() {
	if n := w.randomNode(); n != nil {
		n.freeze(w.Between(50*time.Millisecond, 4*w.timing().ElectionTimeout))
	}
}

func (w *world) faultCrash() {
	if n := w.randomNode(); n != nil {
		n.crash()
		w.restartLater(n)
	}
}

// restartLater starts a node's process again after a random delay.
func (w *world) restartLater(n *simulatedNode) {
	incarnation := n.incarnation
	w.After(w.Between(10*time.Millisecond, 2*time.Second), func() {
		if n.incarnation == incarnation && !n.up {
			n.start()
		}
	})
}

// faultPowerLoss ends the processes of all nodes at once.
func (w *world) faultPowerLoss() {
	if w.Chance(0.7) {
		return
	}
	for _, n := range w.running() {
		n.crash()
		w.restartLater(n)
	}
}

// faultDiskLoss makes a node lose its disk, unless the groups have not recovered from an earlier
// loss yet. Other nodes may be down or frozen at this time, and all may lose power at the same
// moment.
func (w *world) faultDiskLoss() {
	n := w.randomNode()
	if n == nil || !w.allGroupsIntact() || w.Now-w.lastDiskLoss < minDiskLossInterval {
		return
	}
	w.lastDiskLoss = w.Now
	n.loseDisk()
	w.restartLater(n)
	if w.Chance(0.7) {
		return
	}
	for _, other := range w.running() {
		other.crash()
		w.restartLater(other)
	}
}

// allGroupsIntact reports whether each group has a leader under lease, no pending membership change
// and the wanted number of voters, all of them with the disks that they had when they became
// voters.
func (w *world) allGroupsIntact() bool {
	groups := map[replica.GroupID]bool{}
	for _, n := range w.nodes {
		for group := range n.disk {
			groups[group] = groups[group] || w.leadsIntactGroup(n, group)
		}
	}
	for _, whole := range groups {
		if !whole {
			return false
		}
	}
	return len(groups) > 0
}

// leadsIntactGroup reports whether a node is the leader of a group that is intact.
func (w *world) leadsIntactGroup(n *simulatedNode, group replica.GroupID) bool {
	m := n.member(group)
	if !n.up || m == nil || !m.replica.HasLease(n.clock()) {
		return false
	}
	status := m.replica.Status(n.clock())
	if status.ChangePending || len(status.Members.Voters) < 2*w.toleratedDiskLosses+1 {
		return false
	}
	return !slices.ContainsFunc(status.Members.Voters, func(id replica.NodeID) bool { return w.nodeByID(id) == nil })
}

func (w *world) faultLeadershipTransfer() {
	for _, n := range w.running() {
		n.execute(func() {
			for _, m := range n.members {
				voters := m.replica.Status(n.clock()).Members.Voters
				if m.replica.IsLeader() && len(voters) > 0 && m.replica.TransferLeadership(n.clock(), voters[w.Random.IntN(len(voters))]) == nil {
					w.tally.leadershipTransfers++
				}
			}
		})
	}
}
