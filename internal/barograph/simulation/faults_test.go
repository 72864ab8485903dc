package simulation

import (
	"slices"
	"time"

	"pipitmux/internal/barograph/replica"
)

// wipeRest is the least time between two losses of a disk.
const wipeRest = 300 * time.Millisecond

// fault makes something go wrong, or all go well again for a while.
func (w *world) fault() {
	if !w.faulty {
		return
	}
	faults := []func(){
		w.faultHeal, w.faultHeal, w.faultHeal, w.faultCut, w.faultCutClient, w.faultIsolate, w.faultSplit, w.faultWeather,
		w.faultFreeze, w.faultFreeze, w.faultFreeze, w.faultCrash, w.faultCrash, w.faultPower, w.faultWipe, w.faultWipe, w.faultHandover,
	}
	faults[w.Random.IntN(len(faults))]()
}

// anyone draws a running node, an owner of some group often.
func (w *world) anyone() *machineNode {
	var owners []*machineNode
	for _, n := range w.running() {
		for _, m := range n.members {
			if m.replica.IsLeader() {
				owners = append(owners, n)
			}
		}
	}
	if len(owners) == 0 || w.Chance(0.5) {
		owners = w.running()
	}
	if len(owners) == 0 {
		return nil
	}
	return owners[w.Random.IntN(len(owners))]
}

func (w *world) faultHeal() { w.network.clear() }

func (w *world) faultCut() {
	drawn := w.Random.Perm(len(w.nodes))
	a, b := endpoint(drawn[0]), endpoint(drawn[1])
	if w.Chance(0.5) {
		w.network.cuts[direction{a, b}] = true
		return
	}
	w.network.cutBoth(a, b)
}

// faultCutClient cuts a client off from some nodes.
func (w *world) faultCutClient() {
	client := firstClient + endpoint(w.Random.IntN(4))
	for _, n := range w.nodes {
		if w.Chance(0.4) {
			w.network.cutBoth(client, n.place)
		}
	}
}

// faultIsolate cuts one node off from the others: it hears nothing, or isn't heard, or both.
// Clients may still reach it.
func (w *world) faultIsolate() {
	lone := w.anyone()
	if lone == nil {
		return
	}
	ways := w.Random.IntN(3)
	for _, other := range w.nodes {
		if ways != 0 {
			w.network.cuts[direction{lone.place, other.place}] = true
		}
		if ways != 1 {
			w.network.cuts[direction{other.place, lone.place}] = true
		}
	}
}

func (w *world) faultSplit() {
	left := make([]bool, len(w.nodes))
	for i := range left {
		left[i] = w.Chance(0.5)
	}
	for i, a := range w.nodes {
		for j, b := range w.nodes {
			if left[i] != left[j] {
				w.network.cuts[direction{a.place, b.place}] = true
			}
		}
	}
}

func (w *world) faultWeather() {
	w.network.loss = []float64{0, 0.02, 0.1, 0.3}[w.Random.IntN(4)]
	w.network.double = []float64{0, 0.1, 0.5}[w.Random.IntN(3)]
	w.network.slow = []float64{0, 0.05, 0.3}[w.Random.IntN(3)]
	w.delay = []time.Duration{shortDelay, longDelay}[w.Random.IntN(2)]
}

// faultFreeze stops a process, past its lease most of the time.
func (w *world) faultFreeze() {
	if n := w.anyone(); n != nil {
		n.freeze(w.Between(50*time.Millisecond, 4*w.timing().ElectionTimeout))
	}
}

func (w *world) faultCrash() {
	if n := w.anyone(); n != nil {
		n.crash()
		w.startSoon(n)
	}
}

// startSoon starts a machine's process again.
func (w *world) startSoon(n *machineNode) {
	life := n.life
	w.After(w.Between(10*time.Millisecond, 2*time.Second), func() {
		if n.life == life && !n.up {
			n.start()
		}
	})
}

// faultPower takes the power of all machines.
func (w *world) faultPower() {
	if w.Chance(0.7) {
		return
	}
	for _, n := range w.running() {
		n.crash()
		w.startSoon(n)
	}
}

// faultWipe takes a machine's disk, unless another loss isn't made up for yet. Others may be dark
// or frozen then, and all may lose power at the same moment.
func (w *world) faultWipe() {
	n := w.anyone()
	if n == nil || !w.whole() || w.Now-w.wiped < wipeRest {
		return
	}
	w.wiped = w.Now
	n.wipe()
	w.startSoon(n)
	if w.Chance(0.7) {
		return
	}
	for _, other := range w.running() {
		other.crash()
		w.startSoon(other)
	}
}

// whole tells whether each group has a settled owner, no change of members under way, and as
// many voters as it should, all of them with the disks that they had when they became voters.
func (w *world) whole() bool {
	groups := map[replica.GroupID]bool{}
	for _, n := range w.nodes {
		for group := range n.disk {
			groups[group] = groups[group] || w.wholeAt(n, group)
		}
	}
	for _, whole := range groups {
		if !whole {
			return false
		}
	}
	return len(groups) > 0
}

// wholeAt tells whether a node owns a group that is whole.
func (w *world) wholeAt(n *machineNode, group replica.GroupID) bool {
	m := n.member(group)
	if !n.up || m == nil || !m.replica.HasLease(n.clock()) {
		return false
	}
	status := m.replica.Status(n.clock())
	if status.ChangePending || len(status.Members.Voters) < 2*w.losses+1 {
		return false
	}
	return !slices.ContainsFunc(status.Members.Voters, func(id replica.NodeID) bool { return w.withID(id) == nil })
}

func (w *world) faultHandover() {
	for _, n := range w.running() {
		n.act(func() {
			for _, m := range n.members {
				voters := m.replica.Status(n.clock()).Members.Voters
				if m.replica.IsLeader() && len(voters) > 0 && m.replica.TransferLeadership(n.clock(), voters[w.Random.IntN(len(voters))]) == nil {
					w.tally.handovers++
				}
			}
		})
	}
}
