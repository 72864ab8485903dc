package dispatch

import (
	"slices"

	"oakseam/internal/tier/hashing"
	"oakseam/internal/tier/protocol"
	"oakseam/logic"
)

// maxPreferred is how many servers a sequence of turns sticks to, best first.
const maxPreferred = 3

// candidate is a server that a program's turns may stick to.
type candidate struct {
	id       logic.ServerID
	hash     uint64
	sameZone bool // as this node
}

// PreferredServers returns the servers that the requests of one key stick to: first those of this
// node's zone, in the rendezvous order of the key.
func (d *Dispatcher) PreferredServers(name, key string) []logic.ServerID {
	d.mu.Lock()
	var servers []candidate
	if s := d.services[name]; s != nil {
		servers = s.servers // the slice is replaced, never modified, so it may be read without the lock
	}
	d.mu.Unlock()
	if key == "" {
		return nil
	}
	return topRanked(servers, key)
}

// candidates returns the servers that accept requests, seen from a node of the zone. Cold servers that the node
// holds a grant for are among them, also while they may get no request for a moment.
func candidates(servers []protocol.Server, granted map[string]bool, zone string) []candidate {
	accepting := make([]candidate, 0, len(servers))
	for _, x := range servers {
		if _, held := granted[x.ID]; held || !x.Draining {
			accepting = append(accepting, candidate{logic.ServerID(x.ID), hashing.Sum64(x.ID), x.Zone == zone})
		}
	}
	return accepting
}

// ranked is a candidate with its rendezvous weight for a key.
type ranked struct {
	candidate
	weight uint64
}

// before reports whether r is preferred to other.
func (r ranked) before(other ranked) bool {
	if r.sameZone != other.sameZone {
		return r.sameZone
	}
	return r.weight > other.weight
}

// topRanked returns the maxPreferred best servers in the order of a key, in one pass.
func topRanked(servers []candidate, key string) []logic.ServerID {
	top := make([]ranked, 0, maxPreferred+1)
	for _, s := range servers {
		r := ranked{s, hashing.Weight(key, s.hash)}
		if len(top) == maxPreferred && top[maxPreferred-1].before(r) {
			continue
		}
		at := len(top)
		for at > 0 && r.before(top[at-1]) {
			at--
		}
		top = slices.Insert(top, at, r)
		top = top[:min(len(top), maxPreferred)]
	}
	ids := make([]logic.ServerID, 0, len(top))
	for _, r := range top {
		ids = append(ids, r.id)
	}
	return ids
}
