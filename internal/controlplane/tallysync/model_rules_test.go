package tallysync

import (
	"fmt"
	"math"
)

// The rules are checked from outside: by totals that ready processes show, by what callers were told and by
// what is on the disks.

// read returns the total that a process shows.
func (m *model) read(n *modelNode) (int64, error) {
	total, err := n.Total(modelTally)
	if err == nil && m.bounds.defects.sumOfLogs {
		total = 0
		for _, run := range n.state.Since(nil, math.MaxInt) {
			for _, entry := range run.Entries {
				total += entry.Amount
			}
		}
	}
	return total, err
}

// violation describes a broken rule, "" if there is none.
func (m *model) violation() string {
	if m.failure != "" {
		return m.failure
	}
	for i, n := range m.nodes {
		total, err := m.read(n)
		if err != nil {
			continue
		}
		if most := m.sumOfSent(); total > most {
			return fmt.Sprintf("TWICE: node %d shows %d, the adds that could have counted make %d", i, total, most)
		}
		if text := m.stale(i, total); text != "" {
			return text
		}
	}
	return m.lostAdd()
}

// sumOfSent returns the sum of the adds that could have counted.
func (m *model) sumOfSent() int64 {
	sent := int64(0)
	for k := range m.adds {
		if m.adds[k].outcome != addUnsent {
			sent |= m.adds[k].amount
		}
	}
	return sent
}

// stale describes an add that a total should contain: one that the process acknowledged, or one that was owed
// when the process started, unless a cut hid it.
func (m *model) stale(i int, total int64) string {
	n := m.nodes[i]
	for k := range m.adds {
		a := &m.adds[k]
		acknowledgedHere := a.outcome == addAcknowledged && a.at == i && a.life == n.life
		if acknowledgedHere && total&a.amount == 0 {
			return fmt.Sprintf("STALE: node %d shows %d without add %d, which it acknowledged", i, total, k)
		}
		if !n.readyApart && a.owed() && n.owedAtBoot&a.amount&^total != 0 {
			return fmt.Sprintf("STALE: node %d has started and shows %d without add %d, which was acknowledged before", i, total, k)
		}
	}
	return ""
}

// lostAdd describes an owed add that is on no disk.
func (m *model) lostAdd() string {
	for k := range m.adds {
		if a := &m.adds[k]; a.owed() && m.copiesOf(a.member) == 0 {
			return fmt.Sprintf("LOST: add %d is on no disk", k)
		}
	}
	return ""
}

func (m *model) copiesOf(member string) int {
	copies := 0
	for _, n := range m.nodes {
		if n.disk.holds(member) {
			copies++
		}
	}
	return copies
}

// missingCopies describes an acknowledgement with too few copies: outside a cut the tolerated losses and one
// more, behind a cut as many of them as can be reached. A disk counts that was lost after it had stored the
// add, until its node has answered anew. Right after a cut a node may not know that it has ended.
func (m *model) missingCopies(a *modelAdd) string {
	if m.phase == healed || m.bounds.defects.copiesAreNotCounted {
		return ""
	}
	reached := 1
	for j := range modelNodes {
		if j != a.at && m.linked(a.at, j) {
			reached++
		}
	}
	copies, required := m.copiesOf(a.member), min(modelLoss+1, reached)
	if m.lost != nil && m.lost.holds(a.member) && m.nodes[a.at].heard[m.lostAt] == m.nodes[m.lostAt].diskLife-1 {
		copies++
	}
	if copies >= required {
		return ""
	}
	return fmt.Sprintf("LOST: node %d acknowledged %q with %d copies, %d are required", a.at, a.member, copies, required)
}

// endViolation describes what is wrong after the merge bound without disruption.
func (m *model) endViolation() string {
	first, _ := m.read(m.nodes[0])
	for i, n := range m.nodes {
		total, err := m.read(n)
		if err != nil || total != first || n.state.Digest() != m.nodes[0].state.Digest() {
			return fmt.Sprintf("CONVERGENCE: node %d shows %d, node 0 %d: %v", i, total, first, err)
		}
		for k := range m.adds {
			if a := &m.adds[k]; a.owed() && total&a.amount == 0 {
				return fmt.Sprintf("LOST: node %d shows %d without add %d after the merge bound", i, total, k)
			}
		}
	}
	return m.violation()
}
