package dispatch

import (
	"math"
	"time"

	"oakseam/internal/tier/hashing"
	"oakseam/internal/tier/protocol"
)

const (
	// minSubsetSize is the smallest number of servers of a service that a node sends to.
	// serversPerRequest is how many it sends to per request of its recent peak in flight.
	minSubsetSize     = 8
	serversPerRequest = 2
	// demandHalfLife is how fast the recent peak decays.
	demandHalfLife = 20 * time.Second
	// shrinkBelow: a subset shrinks only when less than this fraction of it is needed. Otherwise
	// connections would be closed and opened again with every small change of demand.
	shrinkBelow = 0.5
)

// demand tracks the recent peak of a service's requests in flight at this node. The zero value has
// seen no request.
type demand struct {
	inFlight  int
	peak      float64
	updatedAt time.Time // of peak
}

// begin counts a request that starts.
func (d *demand) begin(now time.Time) {
	d.inFlight++
	d.peak = max(float64(d.inFlight), d.decayedPeak(now))
	d.updatedAt = now
}

// end counts a request that has ended.
func (d *demand) end() { d.inFlight-- }

// decayedPeak returns the recent peak of requests in flight, decayed until now.
func (d *demand) decayedPeak(now time.Time) float64 {
	if d.updatedAt.IsZero() {
		return 0
	}
	return d.peak * math.Exp2(-float64(now.Sub(d.updatedAt))/float64(demandHalfLife))
}

// subsetSize returns how many servers a node should send to, given its previous subset size and its
// recent peak of requests in flight.
func subsetSize(previous int, peak float64) int {
	want := max(minSubsetSize, int(math.Ceil(serversPerRequest*peak)))
	if want < previous && float64(want) > shrinkBelow*float64(previous) {
		return previous
	}
	return want
}

// subset returns the servers that a node sends to. Of the servers that accept requests it takes
// the first ones of the node's zone in the node's rendezvous order, then those of other zones.
// Draining servers are always included, so that they can be told apart from servers that are gone.
// Together all nodes cover all servers about evenly, and adding or removing a server changes few
// subsets.
func subset(servers []protocol.Server, node, zone string, size int) []protocol.Server {
	accepting := make([]protocol.Server, 0, len(servers))
	chosen := make([]protocol.Server, 0, len(servers))
	for _, s := range servers {
		if s.Draining {
			chosen = append(chosen, s)
		} else {
			accepting = append(accepting, s)
		}
	}
	if len(accepting) <= size {
		return servers
	}
	for _, sameZone := range []bool{true, false} {
		for _, s := range hashing.Rank(node, accepting, func(s protocol.Server) uint64 { return hashing.Sum64(s.ID) }) {
			if size > 0 && (s.Zone == zone) == sameZone {
				chosen = append(chosen, s)
				size--
			}
		}
	}
	return chosen
}
