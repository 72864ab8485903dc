// Package servers is the state machine of a partition of the services: which servers
// each service has. It is pure and deterministic.
package servers

import (
	"cmp"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"pipitmux/internal/station/protocol"
)

// Publication brings the servers of services as the holder of the lister's duty saw them.
type Publication struct {
	Epoch    uint64 // of the duty: what an earlier holder sends late is refused
	Sequence uint64 // rises with each publication of an epoch
	Services []Service
}

// Service is the whole list of one service.
type Service struct {
	Name    string
	Servers []protocol.Server
}

// Encode gives a publication the form that Apply takes.
func (p *Publication) Encode() ([]byte, error) {
	text, err := cbor.Marshal(p)
	if err != nil {
		return nil, errors.Wrap(err, "encode publication")
	}
	return text, nil
}

type state struct {
	Epoch, Sequence uint64
	Version         uint64 // counts the changes
	Lists           []protocol.ServerList
}

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	state   state
	changed func()
}

// New returns an empty Machine. It calls changed, where not nil, after each change.
func New(changed func()) *Machine {
	if changed == nil {
		changed = func() {}
	}
	return &Machine{changed: changed}
}

// Applied and Refused are the results of Apply.
var (
	Applied  = []byte{1}
	Rejected = []byte{0}
)

// Apply takes a publication.
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

func (m *Machine) setServers(s Service) {
	m.state.Version++
	list := protocol.ServerList{Service: s.Name, Version: m.state.Version, Servers: s.Servers}
	// What was handed out stays as it is.
	lists := slices.Clone(m.state.Lists)
	at, found := slices.BinarySearchFunc(lists, s.Name, func(l protocol.ServerList, name string) int {
		return cmp.Compare(l.Service, name)
	})
	switch {
	case found && len(s.Servers) == 0:
		lists = slices.Delete(lists, at, at+1)
	case found:
		lists[at] = list
	case len(s.Servers) > 0:
		lists = slices.Insert(lists, at, list)
	}
	m.state.Lists = lists
}

// Lists returns the lists of all services of the partition, by name, and the version of
// the partition. What is returned must not be changed.
func (m *Machine) Lists() ([]protocol.ServerList, uint64) { return m.state.Lists, m.state.Version }

// Snapshot returns the state.
func (m *Machine) Snapshot() []byte {
	text, err := cbor.Marshal(&m.state)
	if err != nil {
		panic(err) // the state is made of plain values only
	}
	return text
}

// Restore takes a state on; an empty one is the state at first.
func (m *Machine) Restore(text []byte) error {
	var next state
	if len(text) > 0 {
		if err := cbor.Unmarshal(text, &next); err != nil {
			return errors.Wrap(err, "restore services")
		}
	}
	m.state = next
	m.changed()
	return nil
}
