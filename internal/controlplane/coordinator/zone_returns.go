package coordinator

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"oakseam/internal/controlplane/host"
	"oakseam/internal/controlplane/revisions"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/routing"
)

// zoneReturns knows since when this node has seen evacuations taken back. A node that applies an order late counts a
// shorter time than has passed. Orders from before its process had caught up with the group don't count: they may
// be of any age, and would make edges take warm servers for cold. The zero value has seen none.
type zoneReturns struct {
	mu       sync.Mutex
	caughtUp bool                  // the state was recent once
	seen     map[string]zoneReturn // by zone
}

// zoneReturn is the version of a zone that is taken back, and when this node first saw it.
type zoneReturn struct {
	version uint64
	at      time.Time // zero: before the process had caught up
}

// observe takes over the versions of the zones that are taken back now. Recent states whether the state that they
// were read from is known to be recent. It returns those whose servers may still be cold for that reason, sorted by
// name.
func (r *zoneReturns) observe(versions map[string]uint64, recent bool, now time.Time) []protocol.ReturnedZone {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[string]zoneReturn, len(versions))
	var returned []protocol.ReturnedZone
	for zone, version := range versions {
		seen, known := r.seen[zone]
		if !known || seen.version != version {
			seen = zoneReturn{version: version}
			if r.caughtUp {
				seen.at = now
			}
		}
		next[zone] = seen
		if age := max(now.Sub(seen.at), 0); !seen.at.IsZero() && age < routing.MaxWarmup {
			returned = append(returned, protocol.ReturnedZone{Zone: zone, Version: version, Age: age})
		}
	}
	r.seen = next
	r.caughtUp = r.caughtUp || recent
	slices.SortFunc(returned, func(a, b protocol.ReturnedZone) int { return cmp.Compare(a.Zone, b.Zone) })
	return returned
}

// observeReturnedZones notes the evacuations that are taken back in this node's state.
func (c *Coordinator) observeReturnedZones() {
	recent := c.configurationIsRecent()
	c.node.Host.ReadLocal(protocol.ConfigurationGroup, func(m host.StateMachine) {
		c.returns.observe(m.(*revisions.Machine).ReturnedZones(), recent, time.Now())
	})
}

// configurationIsRecent reports whether a state of the configuration's group that is read after this call is
// recent enough to vouch for.
func (c *Coordinator) configurationIsRecent() bool {
	return c.node.Host.Staleness(protocol.ConfigurationGroup) <= c.staleAfter
}
