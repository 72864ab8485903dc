package discovery

import (
	"fmt"
	"net"
	"time"

	"oakseam/internal/core"
	"oakseam/logic"
)

// List is the registry's form of a list of backends.
type List struct {
	// Revision is the version of the list, below 0 if it has none.
	Revision int64 `json:"rev"`
	// Full is set if the list has every backend, not only the changed ones.
	Full    bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Target is a backend in a List.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	// BootMS is when the backend started, in milliseconds of Unix time.
	BootMS int64 `json:"boot_ms"`
}

var states = map[string]logic.ServerState{
	"in_service": logic.Serving, "terminating": logic.Draining, "terminated": logic.Gone,
}

// Backends converts a list to the backends that package core uses. It fails if the list
// contradicts itself.
func (l *List) Backends() ([]core.Backend, error) {
	backends := make([]core.Backend, 0, len(l.Targets))
	seen := make(map[string]int, len(l.Targets))
	for i, t := range l.Targets {
		state, ok := states[t.State]
		if !ok {
			return nil, fmt.Errorf("targets.%d.state: unknown state %q", i, t.State)
		}
		if t.UID == "" {
			return nil, fmt.Errorf("targets.%d.uid: missing", i)
		}
		if _, _, err := net.SplitHostPort(t.Endpoint); err != nil && state != logic.Gone {
			return nil, fmt.Errorf("targets.%d.endpoint: %w", i, err)
		}
		if first, ok := seen[t.UID]; ok && l.Full && l.Targets[first] != t {
			return nil, fmt.Errorf("targets.%d.uid: %q is also the uid of targets.%d, with other values", i, t.UID, first)
		}
		seen[t.UID] = i
		backends = append(backends, core.Backend{Endpoint: t.Endpoint, Server: logic.Server{
			ID: logic.ServerID(t.UID), Capacity: t.Capacity, State: state, Kind: t.Model, Zone: t.Zone,
			Cell: t.PodGroup, StartedAt: time.Duration(max(t.BootMS, 0)) * time.Millisecond,
		}})
	}
	return backends, nil
}

// NewList returns backends in the registry's form, the inverse of List.Backends.
func NewList(revision int64, full bool, backends []core.Backend) List {
	l := List{Revision: revision, Full: full, Targets: make([]Target, 0, len(backends))}
	for _, b := range backends {
		t := Target{UID: string(b.ID), Endpoint: b.Endpoint, Zone: b.Zone, Model: b.Kind, PodGroup: b.Cell,
			Capacity: b.Capacity, BootMS: b.StartedAt.Milliseconds()}
		for name, state := range states {
			if state == b.State {
				t.State = name
			}
		}
		l.Targets = append(l.Targets, t)
	}
	return l
}
