package lister

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oakseam/internal/controlplane/servers"
	"oakseam/internal/tier/hashing"
	"oakseam/internal/tier/protocol"
)

const (
	// maxWarmupHolders is how many edges may send to one cold server. They share its rate, and each may also
	// send one request at once, so few holders leave a larger part of the limit for the rate.
	maxWarmupHolders = 4
	// warmupTolerance is how much later than published a warm-up may end before it is published again. The
	// edges' margin is larger.
	warmupTolerance = 300 * time.Millisecond
)

// forgetWarm forgets the warm-ups of servers that are not listed as cold any more.
func (l *Lister) forgetWarm(lists map[string][]protocol.Server) {
	cold := map[string]bool{}
	for _, list := range lists {
		for _, s := range list {
			cold[s.ID] = s.Warmup > 0
		}
	}
	maps.DeleteFunc(l.coldUntil, func(id string, _ time.Time) bool { return !cold[id] })
}

// forgetUnpublished forgets the warm-ups of a failed publication, so that they are published again even though
// nothing has changed since.
func (l *Lister) forgetUnpublished(unpublished []servers.Service) {
	for _, service := range unpublished {
		for _, s := range service.Servers {
			delete(l.coldUntil, s.ID)
		}
	}
}

// withWarmupPeriods returns the listed services of a partition as they are to be published.
func (l *Lister) withWarmupPeriods(partition int, held []protocol.ServerList, listed map[string][]protocol.Server, now time.Time, edges []protocol.EdgeNode) map[string][]protocol.Server {
	heldByID := map[string]protocol.Server{}
	for _, list := range held {
		for _, s := range list.Servers {
			heldByID[s.ID] = s
		}
	}
	entries := map[string][]protocol.Server{}
	for name, list := range listed {
		if protocol.ServicePartition(name) != partition {
			continue
		}
		for _, s := range list {
			entries[name] = append(entries[name], l.withWarmupPeriod(heldByID[s.ID], s, now, edges))
		}
	}
	return entries
}

// withWarmupPeriod returns a listed server as it is to be published, given its entry held so far, zero if there
// is none. Of a warm-up that goes on, the entry stays as it is held: it would otherwise change with each listing,
// as the time passes. A warm-up is published anew if it ends later than published, or if this node has not
// published it: the held time may be that of an earlier warm-up.
func (l *Lister) withWarmupPeriod(held, listed protocol.Server, now time.Time, edges []protocol.EdgeNode) protocol.Server {
	if listed.Warmup <= 0 {
		listed.Warmup, listed.WarmupPeriod = 0, held.WarmupPeriod
		return listed
	}
	published, known := l.coldUntil[listed.ID]
	if held.Warmup > 0 && known && !now.Add(listed.Warmup).After(published.Add(warmupTolerance)) {
		listed.Warmup, listed.WarmupPeriod, listed.WarmupHolders = held.Warmup, held.WarmupPeriod, held.WarmupHolders
		return listed
	}
	listed.WarmupPeriod = held.WarmupPeriod + 1
	if listed.WarmupHolders = held.WarmupHolders; held.Warmup <= 0 || held.WarmupHolders == "" {
		listed.WarmupHolders = chooseHolders(listed, edges)
	}
	if l.coldUntil == nil {
		l.coldUntil = map[string]time.Time{}
	}
	l.coldUntil[listed.ID] = now.Add(listed.Warmup)
	return listed
}

// chooseHolders returns the edges that may send to a cold server: first those of its zone. An edge that would
// send to the server if it were warm is preferred, by the weight by which edges choose their servers.
func chooseHolders(server protocol.Server, edges []protocol.EdgeNode) protocol.NodeNames {
	hash := hashing.Sum64(server.ID)
	ranked := slices.SortedFunc(slices.Values(edges), func(a, b protocol.EdgeNode) int {
		if a.Zone != b.Zone && (a.Zone == server.Zone || b.Zone == server.Zone) {
			if a.Zone == server.Zone {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(hashing.Weight(b.Name, hash), hashing.Weight(a.Name, hash)), cmp.Compare(a.Name, b.Name))
	})
	var names []string
	for _, e := range ranked[:min(len(ranked), maxWarmupHolders)] {
		names = append(names, e.Name)
	}
	return protocol.JoinNames(names)
}
