package dispatch

import (
	"math"
	"time"

	"pipitmux/internal/station/hashing"
	"pipitmux/internal/station/protocol"
)

const (
	// subsetLeast is how many servers of a service a node sends to at least, and busyTimes how
	// many it sends to for each request that it had out at most of late.
	subsetLeast = 8
	busyTimes   = 2
	// busyHalfLife is how fast the most that was out is forgotten.
	busyHalfLife = 20 * time.Second
	// shrinkBelow: a subset gets smaller only once this part of it is enough. Its servers'
	// connections would be opened again else.
	shrinkBelow = 0.5
)

// demand follows the most requests of a service that a node has had out at once of late. The
// zero value has seen none.
type demand struct {
	out  int
	most float64
	at   time.Time // when most was brought up to date
}

// begin counts a request that goes out.
func (d *demand) begin(now time.Time) {
	d.out++
	d.most = max(float64(d.out), d.now(now))
	d.at = now
}

// end counts one that has ended.
func (d *demand) end() { d.out-- }

// now is the most that was out of late.
func (d *demand) now(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.most * math.Exp2(-float64(now.Sub(d.at))/float64(busyHalfLife))
}

// subsetSize is how many servers a node sends to, which sent to so many before.
func subsetSize(before int, most float64) int {
	want := max(subsetLeast, int(math.Ceil(busyTimes*most)))
	if want < before && float64(want) > shrinkBelow*float64(before) {
		return before
	}
	return want
}

// subset returns the servers that a node sends to: of those that take requests the first few
// of its zone in the node's own order, then those of other zones. Draining ones are always
// among them, as they are to be told from those that are gone. All nodes together so cover all
// servers about evenly, and a server that comes or goes changes little.
func subset(servers []protocol.Server, node, zone string, size int) []protocol.Server {
	taking := make([]protocol.Server, 0, len(servers))
	chosen := make([]protocol.Server, 0, len(servers))
	for _, s := range servers {
		if s.Draining {
			chosen = append(chosen, s)
		} else {
			taking = append(taking, s)
		}
	}
	if len(taking) <= size {
		return servers
	}
	for _, near := range []bool{true, false} {
		for _, s := range hashing.Rank(node, taking, func(s protocol.Server) uint64 { return hashing.Sum64(s.ID) }) {
			if size > 0 && (s.Zone == zone) == near {
				chosen = append(chosen, s)
				size--
			}
		}
	}
	return chosen
}
