package dispatch

import (
	"slices"

	"pipitmux/internal/station/hashing"
	"pipitmux/internal/station/protocol"
	"pipitmux/logic"
)

// preferred is how many servers a line of turns keeps to, best first.
const preferred = 3

// candidate is a server that a program's turns may keep to.
type candidate struct {
	id   logic.ServerID
	hash uint64
	near bool // in this node's zone
}

// Prefer lists the servers to which the requests of one key keep: those of this node's
// zone first, in the key's own order.
func (d *Dispatcher) Prefer(name, key string) []logic.ServerID {
	d.mu.Lock()
	var servers []candidate
	if s := d.services[name]; s != nil {
		servers = s.servers // replaced as a whole, never changed
	}
	d.mu.Unlock()
	if key == "" {
		return nil
	}
	return best(servers, key)
}

// candidates are the servers that take requests, as a node of the zone sees them.
func candidates(servers []protocol.Server, zone string) []candidate {
	taking := make([]candidate, 0, len(servers))
	for _, x := range servers {
		if !x.Draining {
			taking = append(taking, candidate{logic.ServerID(x.ID), hashing.Sum64(x.ID), x.Zone == zone})
		}
	}
	return taking
}

// ranked is a candidate with what it draws for a key.
type ranked struct {
	candidate
	weight uint64
}

// before tells whether a server goes before another.
func (r ranked) before(o ranked) bool {
	if r.near != o.near {
		return r.near
	}
	return r.weight > o.weight
}

// best returns the first few servers in a key's order, in one pass.
func best(servers []candidate, key string) []logic.ServerID {
	first := make([]ranked, 0, preferred+1)
	for _, s := range servers {
		r := ranked{s, hashing.Weight(key, s.hash)}
		if len(first) == preferred && first[preferred-1].before(r) {
			continue
		}
		at := len(first)
		for at > 0 && r.before(first[at-1]) {
			at--
		}
		first = slices.Insert(first, at, r)
		first = first[:min(len(first), preferred)]
	}
	ids := make([]logic.ServerID, 0, len(first))
	for _, r := range first {
		ids = append(ids, r.id)
	}
	return ids
}
