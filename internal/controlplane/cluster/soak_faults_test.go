package cluster

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/wait"
)

// faultKind is a kind of fault that a soak plays.
type faultKind int

const (
	cutSubset    faultKind = iota // some nodes are cut off from the others
	cutOneWay                     // what some nodes send to the others doesn't arrive
	cutBridge                     // two nodes can't reach each other, the others reach both
	killOne                       // a process is killed, and started again at the end
	killEvery                     // all processes are killed at once, and started again at the end
	slowNetwork                   // all that is sent is delayed
	faultKindNum                  // number of kinds
)

func (k faultKind) String() string {
	return [...]string{"subset cut", "one-way cut", "bridge", "kill", "kill all", "slow network"}[k]
}

const (
	minFaults, maxFaults = 4, 8                                            // in a series
	minFault, maxFault   = 200 * time.Millisecond, 1500 * time.Millisecond // of one fault
	slowDelay            = 10 * time.Millisecond
)

// fault is one fault. Its times count from the start of its series.
type fault struct {
	kind         faultKind
	begins, ends time.Duration
	links        []link // that are cut
	nodes        []int  // that are killed
	lost         []int  // of these, the ones that lose their disk
	down         []int  // that this fault did kill
}

// drawFaults draws a series of faults that overlap, with at most as many lost disks as are tolerated.
// A kind comes again only after all others.
func (c *cluster) drawFaults(random *rand.Rand, length time.Duration) []*fault {
	var faults []*fault
	losses := 0
	kinds := random.Perm(int(faultKindNum))
	for i := range minFaults + random.IntN(maxFaults-minFaults+1) {
		f := &fault{kind: faultKind(kinds[i%len(kinds)])}
		f.begins = time.Duration(random.Int64N(int64(length - minFault)))
		f.ends = min(length, f.begins+minFault+time.Duration(random.Int64N(int64(maxFault-minFault))))
		order := random.Perm(len(c.nodes))
		side := 1 + random.IntN(len(c.nodes)-1)
		switch f.kind {
		case cutSubset:
			f.links = append(c.linksBetween(order[:side], order[side:]), c.linksBetween(order[side:], order[:side])...)
		case cutOneWay:
			f.links = c.linksBetween(order[:side], order[side:])
		case cutBridge:
			f.links = append(c.linksBetween(order[:1], order[1:2]), c.linksBetween(order[1:2], order[:1])...)
		case killOne:
			f.nodes = order[:1]
		case killEvery:
			f.nodes = order
		}
		for _, node := range f.nodes {
			if losses < c.toleratedLosses && random.IntN(2) == 0 {
				losses++
				f.lost = append(f.lost, node)
			}
		}
		faults = append(faults, f)
	}
	return faults
}

// linksBetween returns the links from some nodes to others.
func (c *cluster) linksBetween(from, to []int) (links []link) {
	for _, a := range from {
		for _, b := range to {
			links = append(links, link{c.nodes[a].address, c.nodes[b].address})
		}
	}
	return links
}

// span is a time in which a link was cut.
type span struct{ from, to time.Time }

// faultLog is what was played of a series.
type faultLog struct {
	cuts []span
	lost map[int][]time.Time // by node: when it lost its disk
}

// excused reports whether an acknowledgement isn't owed: it was given during a cut by a node that
// lost its disk before mergeMs had passed since the heal.
func (l *faultLog) excused(ack acknowledgement) bool {
	for _, cut := range l.cuts {
		if ack.received.Before(cut.from) || ack.sent.After(cut.to) {
			continue
		}
		for _, lost := range l.lost[ack.node] {
			if lost.After(ack.sent) && lost.Before(cut.to.Add(mergeBound)) {
				return true
			}
		}
	}
	return false
}

// playFaults plays a series to its end, when all links are whole and all processes run.
func (s *soak) playFaults(faults []*fault) {
	type event struct {
		at    time.Duration
		fault *fault
		begin bool
	}
	var events []event
	for _, f := range faults {
		events = append(events, event{f.begins, f, true}, event{f.ends, f, false})
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	started, active := time.Now(), map[*fault]bool{}
	for _, e := range events {
		wait.For(s.cluster.Context(), time.Until(started.Add(e.at)))
		if e.begin {
			active[e.fault] = true
			s.cluster.Logf("%v: %v of %v, disks lost %v, until %v", time.Since(started).Round(time.Millisecond), e.fault.kind, e.fault.describe(s.cluster), e.fault.lost, e.fault.ends)
		} else {
			delete(active, e.fault)
		}
		s.applyLinks(active)
		if e.begin {
			s.killNodes(e.fault)
		} else {
			s.restartNodes(e.fault)
		}
	}
}

// describe names the nodes and links of a fault by the nodes' numbers.
func (f *fault) describe(c *cluster) string {
	number := func(address string) int {
		return slices.IndexFunc(c.nodes, func(n *coreNode) bool { return n.address == address })
	}
	text := fmt.Sprint(f.nodes)
	for _, l := range f.links {
		text += fmt.Sprintf(" %d>%d", number(l.from), number(l.to))
	}
	return text
}

// applyLinks cuts the links of the active faults and no others, and records since when any is cut.
func (s *soak) applyLinks(active map[*fault]bool) {
	var cut []link
	delay := time.Duration(0)
	for f := range active {
		cut = append(cut, f.links...)
		if f.kind == slowNetwork {
			delay = slowDelay
		}
	}
	spans := s.log.cuts
	open := len(spans) > 0 && spans[len(spans)-1].to.IsZero()
	if len(cut) > 0 && !open {
		s.log.cuts = append(spans, span{from: time.Now()})
	}
	s.cluster.network.replaceFaults(cut, delay)
	if len(cut) == 0 && open {
		spans[len(spans)-1].to = time.Now()
	}
}

// killNodes kills the nodes of a fault that run, at the same time, and removes the disks they lose.
func (s *soak) killNodes(f *fault) {
	for _, node := range f.nodes {
		if s.cluster.nodes[node].process != nil {
			f.down = append(f.down, node)
		}
	}
	var killed []*coreNode
	for _, node := range f.down {
		killed = append(killed, s.cluster.nodes[node])
		for _, l := range s.ledgers {
			l.beginLife(node)
		}
	}
	s.cluster.kill(killed...)
	for _, node := range f.down {
		if slices.Contains(f.lost, node) {
			s.log.lost[node] = append(s.log.lost[node], time.Now())
			assert.NilError(s.cluster, os.RemoveAll(s.cluster.nodes[node].folder))
		}
	}
}

// restartNodes starts the nodes again that a fault killed.
func (s *soak) restartNodes(f *fault) {
	for _, node := range f.down {
		s.cluster.start(s.cluster.nodes[node], false)
	}
}
