package lister

import (
	"time"

	"oakseam/internal/controlplane/servers"
	"oakseam/internal/tier/hashing"
	"oakseam/internal/tier/protocol"
)

// maxWarmupHolders is how many edges may send to one cold server. They share its rate, and each may also
// send one request at once, so few holders leave a larger part of the limit for the rate.
const maxWarmupHolders = 4

// remainingWarmups returns the remaining warm-up times of all cold servers of the lists, by id.
func remainingWarmups(lists map[string][]protocol.Server) map[string]time.Duration {
	remaining := map[string]time.Duration{}
	for _, list := range lists {
		for _, s := range list {
			if s.Warmup > 0 {
				remaining[s.ID] = s.Warmup
			}
		}
	}
	return remaining
}

// forgetWarmups forgets what was listed of the servers of a failed publication. Their warm-ups are published
// again even though nothing has changed since.
func (l *Lister) forgetWarmups(unpublished []servers.Service) {
	for _, service := range unpublished {
		for _, s := range service.Servers {
			delete(l.remaining, s.ID)
		}
	}
}

// withWarmupPeriods returns the listed services of a partition as they are to be published. Of a warm-up that
// goes on, the entry stays as it is held: it would otherwise change with each listing, as the time passes.
func withWarmupPeriods(partition int, held []protocol.ServerList, listed map[string][]protocol.Server, previous map[string]time.Duration, edges []string) map[string][]protocol.Server {
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
			entries[name] = append(entries[name], withWarmupPeriod(heldByID[s.ID], s, previous[s.ID], edges))
		}
	}
	return entries
}

// withWarmupPeriod returns a listed server as it is to be published. Its entry held so far is zero if there is
// none; previous is the remaining warm-up time in this node's listing before, 0 if there is none. A time that
// has grown, or that this node cannot compare, is published as a warm-up that begins now.
func withWarmupPeriod(held, listed protocol.Server, previous time.Duration, edges []string) protocol.Server {
	switch {
	case listed.Warmup <= 0:
		listed.Warmup, listed.WarmupPeriod = 0, held.WarmupPeriod
	case held.Warmup > 0 && listed.Warmup <= previous:
		listed.Warmup, listed.WarmupPeriod, listed.WarmupHolders = held.Warmup, held.WarmupPeriod, held.WarmupHolders
	case held.Warmup > 0 && held.WarmupHolders != "":
		listed.WarmupPeriod, listed.WarmupHolders = held.WarmupPeriod+1, held.WarmupHolders
	default:
		listed.WarmupPeriod, listed.WarmupHolders = held.WarmupPeriod+1, chooseHolders(listed.ID, edges)
	}
	return listed
}

// chooseHolders returns the edges that may send to a cold server.
func chooseHolders(server string, edges []string) protocol.NodeNames {
	ranked := hashing.Rank(server, edges, hashing.Sum64)
	return protocol.JoinNames(ranked[:min(len(ranked), maxWarmupHolders)])
}
