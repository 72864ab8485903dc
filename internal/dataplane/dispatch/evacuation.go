package dispatch

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"oakseam/internal/tier/protocol"
)

// evacuations holds the evacuated zones and when others were taken back.
type evacuations struct {
	zones       []string             // evacuated now
	takenBackAt map[string]time.Time // by zone that was evacuated before; not earlier than it was
	versions    map[string]uint64    // newest protocol.ReturnedZone.Version known, by zone
}

// contains reports whether a zone is evacuated.
func (e *evacuations) contains(zone string) bool { return slices.Contains(e.zones, zone) }

// replace sets the evacuated zones. It returns the zones that were taken back, and whether there was any
// change.
func (e *evacuations) replace(zones []string, now time.Time) (takenBack []string, changed bool) {
	for _, zone := range zones {
		if e.contains(zone) {
			continue
		}
		changed = true
		delete(e.takenBackAt, zone)
		klog.InfoS("Zone is evacuated: its servers get no new requests", "zone", zone)
	}
	for _, zone := range e.zones {
		if slices.Contains(zones, zone) {
			continue
		}
		changed = true
		e.setTakenBack(zone, now)
		takenBack = append(takenBack, zone)
		klog.InfoS("Zone is taken back: its servers get requests again", "zone", zone)
	}
	e.zones = slices.Clone(zones)
	return takenBack, changed
}

func (e *evacuations) setTakenBack(zone string, at time.Time) {
	if e.takenBackAt == nil {
		e.takenBackAt = map[string]time.Time{}
	}
	e.takenBackAt[zone] = latest(e.takenBackAt[zone], at)
}

// learn takes over when the core has seen zones taken back, and returns the zones of which this node didn't know it.
func (e *evacuations) learn(returned []protocol.ReturnedZone, now time.Time) (unknown []string) {
	for _, r := range returned {
		if r.Version <= e.versions[r.Zone] {
			continue
		}
		if e.versions == nil {
			e.versions = map[string]uint64{}
		}
		e.versions[r.Zone] = r.Version
		e.setTakenBack(r.Zone, now.Add(-r.Age))
		if !e.contains(r.Zone) {
			klog.InfoS("Zone was taken back unseen: its servers count as cold for a while", "zone", r.Zone, "age", r.Age.String())
		}
		unknown = append(unknown, r.Zone)
	}
	return unknown
}

// drain returns the servers with those of evacuated zones marked as draining. The argument is not
// modified.
func (e *evacuations) drain(servers []protocol.Server) []protocol.Server {
	if len(e.zones) == 0 {
		return servers
	}
	drained := slices.Clone(servers)
	for i := range drained {
		if e.contains(drained[i].Zone) {
			drained[i].Draining = true
		}
	}
	return drained
}

// removesLast reports whether a service has servers that accept requests, but all of them in
// evacuated zones.
func (e *evacuations) removesLast(servers []protocol.Server) bool {
	accepting := false
	for _, s := range servers {
		switch {
		case s.Draining:
		case !e.contains(s.Zone):
			return false
		default:
			accepting = true
		}
	}
	return accepting
}

// AddReturnedZones makes the servers of zones cold whose evacuation was taken back, also if this node was not there
// to see it.
func (d *Dispatcher) AddReturnedZones(returned []protocol.ReturnedZone) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, zone := range d.evacuations.learn(returned, time.Now()) {
		d.evacuationEnded(zone, d.evacuations.takenBackAt[zone])
	}
}

// SetEvacuatedZones replaces the zones whose servers get no new requests. Requests that run there
// go on.
func (d *Dispatcher) SetEvacuatedZones(zones []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	takenBack, changed := d.evacuations.replace(zones, now)
	if !changed {
		return
	}
	for _, zone := range takenBack {
		d.evacuationEnded(zone, now)
	}
	for _, s := range d.services {
		d.updateBackends(s, s.allServers)
	}
}
