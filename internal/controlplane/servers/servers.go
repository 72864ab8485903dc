// Package servers is the state machine of a partition of the services: the servers of each
// service. It is pure and deterministic.
package servers

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/snapshot"
	"oakseam/internal/tier/diff"
	"oakseam/internal/tier/protocol"
)

// Publication carries the servers of services as the holder of the lister's task saw them.
type Publication struct {
	Epoch    uint64 // of the task: late publications of an earlier holder are rejected
	Sequence uint64 // increases with each publication of an epoch
	Services []Service
}

// Service is the complete server list of one service.
type Service struct {
	Name    string
	Servers []protocol.Server
}

// Encode encodes a publication for Apply.
func (p *Publication) Encode() ([]byte, error) {
	text, err := cbor.Marshal(p)
	if err != nil {
		return nil, errors.Wrap(err, "encode publication")
	}
	return text, nil
}

// state is the content of a snapshot. CBOR stores the fields under their Go names.
type state struct {
	Epoch, Sequence uint64
	Version         uint64 // incremented with each change of a list
	Lists           []protocol.ServerList
}

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	state   state
	recent  recentChanges
	changed func()
}

// New returns an empty Machine. If changed is not nil, it is called after each change.
func New(changed func()) *Machine {
	if changed == nil {
		changed = func() {}
	}
	return &Machine{changed: changed}
}

// Applied and Rejected are the results of Apply.
var (
	Applied  = []byte{1}
	Rejected = []byte{0}
)

// Apply applies an encoded publication. It rejects one that is unreadable or not newer than
// the last one.
func (m *Machine) Apply(text []byte) []byte {
	var p Publication
	if err := cbor.Unmarshal(text, &p); err != nil {
		return Rejected
	}
	if p.Epoch < m.state.Epoch || p.Epoch == m.state.Epoch && p.Sequence <= m.state.Sequence {
		return Rejected
	}
	m.state.Epoch, m.state.Sequence = p.Epoch, p.Sequence
	for _, s := range p.Services {
		m.setServers(s)
	}
	m.changed()
	return Applied
}

// setServers replaces the list of a service. An empty list removes the service.
func (m *Machine) setServers(s Service) {
	m.state.Version++
	before := diff.ListOf(m.state.Lists, s.Name)
	keepWarmupHolders(before.Servers, s.Servers)
	list := protocol.ServerList{Service: s.Name, Version: m.state.Version, Servers: s.Servers}
	m.recent.add(diff.Servers(before, list))
	// Callers hold references to the lists, so they are replaced by copies.
	m.state.Lists = diff.WithList(m.state.Lists, list)
}

// keepWarmupHolders copies the holders of warm-ups that last from the old servers to the new ones. A lister
// that does not know of the latest publication must not let further edges send to a cold server.
func keepWarmupHolders(before, after []protocol.Server) {
	holders := map[string]protocol.NodeNames{}
	for _, s := range before {
		if s.Warmup > 0 && s.WarmupHolders != "" {
			holders[s.ID] = s.WarmupHolders
		}
	}
	for i, s := range after {
		if held, ok := holders[s.ID]; ok && s.Warmup > 0 {
			after[i].WarmupHolders = held
		}
	}
}

// Lists returns the lists of all services of the partition, sorted by name, and the
// partition's version. The lists must not be modified.
func (m *Machine) Lists() ([]protocol.ServerList, uint64) { return m.state.Lists, m.state.Version }

// Since returns the changes from a version of the partition to the newest one, or false if they are
// no longer known or larger than the whole lists. They must not be modified.
func (m *Machine) Since(version uint64) ([]protocol.ServerListChange, bool) {
	changes, ok := m.recent.since(version)
	if !ok {
		return nil, false
	}
	size, whole := 0, 0
	for _, c := range changes {
		size += changeSize(c)
	}
	for _, l := range m.state.Lists {
		whole += len(l.Servers)
	}
	return changes, size <= whole
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() []byte {
	return snapshot.Encode(&m.state)
}

// Restore replaces the state with a snapshot. An empty snapshot is the initial state.
func (m *Machine) Restore(text []byte) error {
	var next state
	if err := snapshot.Decode(text, &next); err != nil {
		return errors.Wrap(err, "restore services")
	}
	m.state, m.recent = next, recentChanges{}
	m.changed()
	return nil
}
