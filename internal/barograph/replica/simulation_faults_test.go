package replica_test

import (
	"slices"
	"time"

	"pipitmux/internal/barograph/replica"
)

// fault makes something go wrong, or all go well again for a while.
func (w *world) fault() {
	if !w.faulty {
		return
	}
	faults := []func(){
		w.faultHeal, w.faultHeal, w.faultHeal, w.faultCutOne, w.faultCutBoth, w.faultIsolate, w.faultSplit,
		w.faultWeather, w.faultFreeze, w.faultFreeze, w.faultCrash, w.faultCrash, w.faultPower,
		w.faultWipe, w.faultHandover, w.faultHandover,
	}
	if w.frequent {
		faults = []func(){w.faultHeal, w.faultHeal, w.faultCutOne, w.faultIsolate, w.faultCrash, w.faultSplit, w.faultWeather}
	}
	faults[w.Random.IntN(len(faults))]()
}

// anyone draws a running node, an owner often.
func (w *world) anyone() *node {
	nodes := w.owners()
	if len(nodes) == 0 || w.Chance(0.6) {
		nodes = w.running()
	}
	if len(nodes) == 0 {
		return nil
	}
	return nodes[w.Random.IntN(len(nodes))]
}

// pair draws two nodes.
func (w *world) pair() (a, b replica.NodeID) {
	drawn := w.Random.Perm(len(w.nodes))
	return replica.NodeID(drawn[0] + 1), replica.NodeID(drawn[len(drawn)-1] + 1)
}

func (w *world) faultHeal() { w.net.clear() }

func (w *world) faultCutOne() {
	a, b := w.pair()
	w.net.cuts[link{a, b}] = true
}

func (w *world) faultCutBoth() { w.net.cutBoth(w.pair()) }

// faultIsolate cuts one node off: it hears nothing, or isn't heard, or both.
func (w *world) faultIsolate() {
	lone := w.anyone()
	if lone == nil {
		return
	}
	ways := w.Random.IntN(3)
	for _, other := range w.nodes {
		if ways != 0 {
			w.net.cuts[link{lone.id, other.id}] = true
		}
		if ways != 1 {
			w.net.cuts[link{other.id, lone.id}] = true
		}
	}
}

// beset cuts a new owner off before it has told all others about its term, and lets the ones
// that were cut off before come back: logs part as much as they can.
func (w *world) beset(lone *node) {
	if !w.frequent || !w.faulty || w.Chance(0.5) {
		return
	}
	w.After(w.Between(0, 2*w.delay), func() {
		if !w.faulty {
			return
		}
		w.net.clear()
		for _, other := range w.nodes {
			w.net.cutBoth(lone.id, other.id)
		}
	})
}

func (w *world) faultSplit() {
	left := make([]bool, len(w.nodes))
	for i := range left {
		left[i] = w.Chance(0.5)
	}
	for i, a := range w.nodes {
		for j, b := range w.nodes {
			if left[i] != left[j] {
				w.net.cuts[link{a.id, b.id}] = true
			}
		}
	}
}

func (w *world) faultWeather() {
	w.net.loss = []float64{0, 0.02, 0.1, 0.3}[w.Random.IntN(4)]
	w.net.double = []float64{0, 0.1, 0.5}[w.Random.IntN(3)]
	w.net.slow = []float64{0, 0.05, 0.3}[w.Random.IntN(3)]
}

func (w *world) faultFreeze() {
	if n := w.anyone(); n != nil {
		n.freeze(w.Between(10*time.Millisecond, 3*simulatedTiming.Election))
	}
}

func (w *world) faultCrash() {
	if n := w.anyone(); n != nil {
		w.restart(n)
	}
}

// restart crashes a node and starts it again soon.
func (w *world) restart(n *node) {
	n.crash()
	life := n.life
	w.After(w.Between(time.Millisecond, 2*simulatedTiming.Election), func() {
		if n.life == life && !n.gone {
			n.start()
		}
	})
}

func (w *world) faultPower() {
	if w.Chance(0.7) {
		return
	}
	for _, n := range w.running() {
		w.restart(n)
	}
}

// faultWipe takes a voter's disk, unless another one's loss isn't made up for yet.
func (w *world) faultWipe() {
	voters := w.book.members.Voters
	for _, n := range w.nodes {
		if n.gone && w.known(n.id) {
			return
		}
	}
	if len(voters) < 3 {
		return
	}
	lost := w.node(voters[w.Random.IntN(len(voters))])
	lost.crash()
	if w.forgetful {
		lost.disk = lost.first
		lost.start()
		return
	}
	lost.gone = true
	w.counts.wipes++
	w.addNode(replica.Stored{})
}

// known tells whether a node stands in the members of any log.
func (w *world) known(id replica.NodeID) bool {
	if w.book.members.Contains(id) {
		return true
	}
	return slices.ContainsFunc(w.running(), func(n *node) bool {
		return n.replica.Status(n.clock()).Members.Contains(id)
	})
}

func (w *world) faultHandover() {
	for _, n := range w.owners() {
		n.act(func() {
			voters := n.replica.Status(n.clock()).Members.Voters
			if n.replica.Handover(n.clock(), voters[w.Random.IntN(len(voters))]) == nil {
				w.counts.handovers++
			}
		})
	}
}

// administer brings the members of the group to what it wants: lost nodes out, new ones in.
func (w *world) administer() {
	for _, n := range w.owners() {
		n.act(func() {
			status := n.replica.Status(n.clock())
			if to, ok := w.wanted(status); ok && status.Settled && !status.Pending {
				_, _, _ = n.replica.ChangeMembers(n.clock(), to)
			}
		})
	}
}

// wanted returns the next step for the members.
func (w *world) wanted(status replica.Status) (replica.Members, bool) {
	now := status.Members.Clone()
	if w.frequent {
		return now, false
	}
	for _, other := range w.nodes {
		if other.gone && now.Contains(other.id) {
			return drop(now, other.id), true
		}
	}
	for _, other := range w.nodes {
		if !other.gone && !now.Contains(other.id) {
			now.Learners = append(now.Learners, other.id)
			return now, true
		}
	}
	if len(now.Learners) > 0 && len(now.Voters) < 5 && (len(now.Voters) < 3 || w.Chance(0.2)) {
		raised := now.Learners[w.Random.IntN(len(now.Learners))]
		now = drop(now, raised)
		now.Voters = append(now.Voters, raised)
		return now, true
	}
	return w.whim(now)
}

// whim changes members for no reason, while the faults last.
func (w *world) whim(now replica.Members) (replica.Members, bool) {
	if !w.faulty || !w.Chance(0.1) {
		return now, false
	}
	if len(now.Voters) < 4 {
		if len(w.nodes) < 6 && w.Chance(0.3) {
			w.addNode(replica.Stored{})
		}
		return now, false
	}
	lowered := now.Voters[w.Random.IntN(len(now.Voters))]
	now = drop(now, lowered)
	if w.Chance(0.7) {
		now.Learners = append(now.Learners, lowered)
	}
	return now, true
}

func drop(members replica.Members, id replica.NodeID) replica.Members {
	is := func(other replica.NodeID) bool { return other == id }
	members.Voters = slices.DeleteFunc(members.Voters, is)
	members.Learners = slices.DeleteFunc(members.Learners, is)
	return members
}
