package revisions

import (
	"slices"
)

// Evacuation changes whether a zone is evacuated. It is a compare-and-set on the zone's version, so
// that an order that was delayed cannot undo a later one.
type Evacuation struct {
	Zone      string
	Base      uint64 // version of the zone that the order builds on
	Evacuated bool   // state of the zone after the order
}

// zoneVersion counts the accepted evacuation orders of a zone.
type zoneVersion struct {
	Zone    string
	Version uint64
}

// Zone returns whether a zone is evacuated, and its version, 0 if no order for it was ever accepted.
func (m *Machine) Zone(zone string) (evacuated bool, version uint64) {
	for _, known := range m.state.ZoneVersions {
		if known.Zone == zone {
			version = known.Version
		}
	}
	return slices.Contains(m.state.Directory.EvacuatedZones, zone), version
}

// ReturnedZones returns the versions, by zone, of the zones that were evacuated once and are not now.
func (m *Machine) ReturnedZones() map[string]uint64 {
	returned := map[string]uint64{}
	for _, known := range m.state.ZoneVersions {
		if !slices.Contains(m.state.Directory.EvacuatedZones, known.Zone) {
			returned[known.Zone] = known.Version
		}
	}
	return returned
}

// evacuate applies an order that builds on the zone's current version.
func (m *Machine) evacuate(e *Evacuation) Result {
	evacuated, version := m.Zone(e.Zone)
	if version != e.Base {
		return Conflict
	}
	m.setZoneVersion(e.Zone, version+1)
	if evacuated == e.Evacuated {
		return Accepted
	}
	// Callers hold references to the directory, so the zones are copied before a change.
	zones := slices.DeleteFunc(slices.Clone(m.state.Directory.EvacuatedZones), func(zone string) bool { return zone == e.Zone })
	if e.Evacuated {
		zones = append(zones, e.Zone)
		slices.Sort(zones)
	}
	m.state.Directory.EvacuatedZones = zones
	m.state.Directory.Version++
	return Accepted
}

func (m *Machine) setZoneVersion(zone string, version uint64) {
	for i := range m.state.ZoneVersions {
		if m.state.ZoneVersions[i].Zone == zone {
			m.state.ZoneVersions[i].Version = version
			return
		}
	}
	m.state.ZoneVersions = append(m.state.ZoneVersions, zoneVersion{Zone: zone, Version: version})
}
