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
	takenBackAt map[string]time.Time // by zone that was evacuated before
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
		if e.takenBackAt == nil {
			e.takenBackAt = map[string]time.Time{}
		}
		e.takenBackAt[zone] = now
		takenBack = append(takenBack, zone)
		klog.InfoS("Zone is taken back: its servers get requests again", "zone", zone)
	}
	e.zones = slices.Clone(zones)
	return takenBack, changed
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
