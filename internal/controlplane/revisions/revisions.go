// Package revisions is the state machine of the configuration group: the newest
// configuration, the changes that were accepted, and the directory of the control plane's
// nodes. It is pure and deterministic.
package revisions

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/snapshot"
	"oakseam/internal/tier/delta"
	"oakseam/internal/tier/protocol"
)

// maxRememberedChanges is how many accepted changes are remembered, so that a repeated one is
// acknowledged again. It exceeds the number of changes in a day.
const maxRememberedChanges = 20000

// Digest identifies a change by its bytes.
type Digest [sha256.Size]byte

// Change replaces the configuration at revision Base. Machine.NewChange builds it.
type Change struct {
	Base, Revision uint64
	Digest         Digest // of Base and the new body
	Patch          []byte // difference from the body at Base; empty if Base is no longer current
}

// Command is one entry of the group's log. Exactly one field is set.
type Command struct {
	Change     *Change           `cbor:"1,keyasint,omitempty"`
	Register   *protocol.Node    `cbor:"2,keyasint,omitempty"`
	Assign     *Assignment       `cbor:"3,keyasint,omitempty"`
	Membership *MembershipUpdate `cbor:"4,keyasint,omitempty"`
	Retire     *Retirement       `cbor:"5,keyasint,omitempty"`
	Forget     replica.NodeID    `cbor:"6,keyasint,omitempty"` // a node that was removed permanently
	Evacuate   *Evacuation       `cbor:"7,keyasint,omitempty"`
}

// Assignment sets the initial members of the turn partitions. It takes effect once.
type Assignment struct{ Partitions [][]replica.NodeID }

// MembershipUpdate records that a turn partition has other members or is about to have them.
// A node becomes a voter only after its announcement was accepted. A retirement requested
// before is therefore known to the leader that would add the node, and one requested later
// does not complete until the node has left again.
type MembershipUpdate struct {
	Partition int
	Change    uint64 // commit index of the partition's log
	Step      uint64 // one more than the directory's step at that index; any value if the directory has an earlier index
	Announced bool   `cbor:"Ahead"` // the voters are announced, not yet in force
	Voters    []replica.NodeID
}

// Retirement requests that a storage node be emptied.
type Retirement struct {
	Node         string
	MinRemaining int `cbor:"Least"` // storage nodes that must remain
}

// Result is the outcome of a command.
type Result uint8

// The results of commands. Their values are stored in replies.
const (
	Accepted      Result = iota + 1
	Conflict             // another revision or a newer state is current
	StaleRevision        // the revision isn't above the current one
	UnknownNode          // no such node or partition
	TooFewNodes          // too few nodes would remain
	Unreadable           // the command cannot be decoded or does not fit the current configuration
)

// Bytes encodes the result.
func (r Result) Bytes() []byte { return []byte{byte(r)} }

// ReadResult decodes a result.
func ReadResult(text []byte) (Result, error) {
	if len(text) != 1 || text[0] == 0 || Result(text[0]) > Unreadable {
		return 0, &ResultError{Length: len(text)}
	}
	return Result(text[0]), nil
}

// ResultError reports a result that cannot be decoded.
type ResultError struct{ Length int }

func (e *ResultError) Error() string { return "cannot decode the result of a command" }

// state is the content of a snapshot. CBOR stores the fields under their Go names or tags.
type state struct {
	Revision        uint64
	PackedBody      []byte   `cbor:"Packed"` // the body as a patch without a base; nil until needed
	AcceptedChanges []Digest `cbor:"Taken"`  // oldest first
	Directory       protocol.Directory
	ZoneVersions    []zoneVersion `cbor:",omitempty"`
}

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	state           state
	body            []byte
	steps           recentSteps
	directories     recentDirectories
	acceptedDigests map[Digest]struct{}
	changed         func()
}

// New returns an empty Machine. If changed is not nil, it is called after each change of the
// state.
func New(changed func()) *Machine {
	if changed == nil {
		changed = func() {}
	}
	return &Machine{acceptedDigests: map[Digest]struct{}{}, changed: changed}
}

// Encode encodes a command for Apply.
func (c *Command) Encode() ([]byte, error) {
	text, err := cbor.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	return text, nil
}

// Apply applies an encoded command and returns its encoded Result.
func (m *Machine) Apply(text []byte) []byte {
	var command Command
	if err := cbor.Unmarshal(text, &command); err != nil {
		return Unreadable.Bytes()
	}
	before := m.state.Directory
	result := m.apply(&command)
	if m.state.Directory.Version != before.Version {
		m.directories.add(before)
	}
	if result == Accepted {
		m.changed()
	}
	return result.Bytes()
}

func (m *Machine) apply(c *Command) Result {
	switch {
	case c.Change != nil:
		return m.applyChange(c.Change)
	case c.Register != nil:
		return m.register(*c.Register)
	case c.Assign != nil:
		return m.assign(c.Assign)
	case c.Membership != nil:
		return m.updateMembership(c.Membership)
	case c.Retire != nil:
		return m.retire(c.Retire)
	case c.Forget != 0:
		return m.forget(c.Forget)
	case c.Evacuate != nil:
		return m.evacuate(c.Evacuate)
	}
	return Unreadable
}

// applyChange is a compare-and-set on the revision. A change that was accepted before is
// acknowledged again: its digest, over base and bytes, identifies it.
func (m *Machine) applyChange(c *Change) Result {
	if _, ok := m.acceptedDigests[c.Digest]; ok {
		return Accepted
	}
	switch {
	case c.Base != m.state.Revision:
		return Conflict
	case c.Revision <= m.state.Revision:
		return StaleRevision
	}
	body, err := delta.Apply(m.body, c.Patch)
	if err != nil || DigestOf(c.Base, body) != c.Digest {
		return Unreadable
	}
	m.state.Revision, m.state.PackedBody, m.body = c.Revision, nil, body
	m.steps.add(Step{Base: c.Base, Revision: c.Revision, Patch: c.Patch})
	m.state.AcceptedChanges = append(m.state.AcceptedChanges, c.Digest)
	m.acceptedDigests[c.Digest] = struct{}{}
	if over := len(m.state.AcceptedChanges) - maxRememberedChanges; over > 0 {
		for _, old := range m.state.AcceptedChanges[:over] {
			delete(m.acceptedDigests, old)
		}
		m.state.AcceptedChanges = slices.Delete(m.state.AcceptedChanges, 0, over)
	}
	return Accepted
}

// DigestOf identifies the change from revision base to body.
func DigestOf(base uint64, body []byte) Digest {
	sum := sha256.New()
	sum.Write(binary.BigEndian.AppendUint64(nil, base))
	sum.Write(body)
	return Digest(sum.Sum(nil))
}

// NewChange returns the change from revision base to body. base must be the current revision
// or a former one. A former base can no longer be changed, so the change then has no patch.
// It fails with delta.ErrTooLong.
func (m *Machine) NewChange(base, revision uint64, body []byte) (*Change, error) {
	c := &Change{Base: base, Revision: revision, Digest: DigestOf(base, body)}
	if base != m.state.Revision {
		return c, nil
	}
	text, err := delta.Make(m.body, body)
	if err != nil {
		return nil, errors.Wrapf(err, "revision %d", revision)
	}
	c.Patch = text
	return c, nil
}

// register adds a node to the directory and removes its earlier incarnation.
func (m *Machine) register(n protocol.Node) Result {
	nodes := slices.DeleteFunc(slices.Clone(m.state.Directory.Nodes), func(o protocol.Node) bool {
		return o.ID == n.ID || o.SameNode(n)
	})
	m.state.Directory.Nodes = append(nodes, n)
	m.state.Directory.Version++
	return Accepted
}

func (m *Machine) assign(a *Assignment) Result {
	if len(m.state.Directory.Partitions) > 0 {
		return Conflict
	}
	for _, voters := range a.Partitions {
		m.state.Directory.Partitions = append(m.state.Directory.Partitions, protocol.PartitionMembers{Voters: voters})
	}
	m.state.Directory.Version++
	return Accepted
}

func (m *Machine) updateMembership(to *MembershipUpdate) Result {
	if to.Partition < 0 || to.Partition >= len(m.state.Directory.Partitions) {
		return UnknownNode
	}
	// Callers hold references to the directory, so it is copied before a change.
	partitions := slices.Clone(m.state.Directory.Partitions)
	p := &partitions[to.Partition]
	if to.Change < p.Change || to.Change == p.Change && to.Step != p.Step+1 {
		return Conflict
	}
	if to.Announced && m.addsRetiring(p.Voters, to.Voters) {
		return Conflict
	}
	p.Change, p.Step, p.Voters = to.Change, to.Step, to.Voters
	m.state.Directory.Partitions = partitions
	m.state.Directory.Version++
	return Accepted
}

// addsRetiring reports whether a retiring node would become a voter.
func (m *Machine) addsRetiring(from, to []replica.NodeID) bool {
	return slices.ContainsFunc(m.state.Directory.Nodes, func(n protocol.Node) bool {
		return slices.Contains(m.state.Directory.Retiring, n.Name) && slices.Contains(to, n.ID) && !slices.Contains(from, n.ID)
	})
}

func (m *Machine) retire(r *Retirement) Result {
	if slices.Contains(m.state.Directory.Retiring, r.Node) {
		return Accepted
	}
	left, found := 0, false
	for _, n := range m.state.Directory.Nodes {
		switch {
		case n.Class != protocol.Storage:
		case n.Name == r.Node:
			found = true
		case !slices.Contains(m.state.Directory.Retiring, n.Name):
			left++
		}
	}
	switch {
	case !found:
		return UnknownNode
	case left < r.MinRemaining:
		return TooFewNodes
	}
	m.state.Directory.Retiring = append(slices.Clone(m.state.Directory.Retiring), r.Node)
	m.state.Directory.Version++
	return Accepted
}

// forget removes a node from the directory, unless it is a voter of a partition.
func (m *Machine) forget(id replica.NodeID) Result {
	for _, p := range m.state.Directory.Partitions {
		if slices.Contains(p.Voters, id) {
			return Conflict
		}
	}
	nodes := slices.DeleteFunc(slices.Clone(m.state.Directory.Nodes), func(n protocol.Node) bool { return n.ID == id })
	if len(nodes) == len(m.state.Directory.Nodes) {
		return UnknownNode
	}
	m.state.Directory.Nodes = nodes
	m.state.Directory.Version++
	return Accepted
}

// Configuration returns the newest configuration and its revision, 0 if there is none. The
// bytes must not be modified.
func (m *Machine) Configuration() (revision uint64, body []byte) {
	return m.state.Revision, m.body
}

// Since returns the steps from a revision to the newest one, none if it is the newest. If the
// steps are no longer known, it returns one step without a base.
func (m *Machine) Since(revision uint64) []Step {
	if revision == m.state.Revision {
		return nil
	}
	if chain, ok := m.steps.from(revision); ok {
		return chain
	}
	return []Step{{Revision: m.state.Revision, Patch: m.packedBody()}}
}

// packedBody returns the body as a patch without a base.
func (m *Machine) packedBody() []byte {
	if m.state.PackedBody == nil {
		text, err := delta.Make(nil, m.body)
		if err != nil {
			panic(err) // unreachable: the body came from a patch, so it is not too long
		}
		m.state.PackedBody = text
	}
	return m.state.PackedBody
}

// Directory returns the directory. The values it refers to must not be modified.
func (m *Machine) Directory() protocol.Directory { return m.state.Directory }

// DirectorySince returns the change from a version of the directory to the newest one, or false if
// that version is no longer known. It must not be modified.
func (m *Machine) DirectorySince(version uint64) (*protocol.DirectoryChange, bool) {
	return m.directories.changeTo(version, m.state.Directory)
}

// Emptied reports whether the node is not and will not become a voter of any partition, and
// whether it is retiring. Before the partitions are assigned it may still receive some.
func (m *Machine) Emptied(node string) (emptied, retiring bool) {
	retiring = slices.Contains(m.state.Directory.Retiring, node)
	if len(m.state.Directory.Partitions) == 0 {
		return false, retiring
	}
	for _, n := range m.state.Directory.Nodes {
		if n.Name != node || n.Class != protocol.Storage {
			continue
		}
		for _, p := range m.state.Directory.Partitions {
			if slices.Contains(p.Voters, n.ID) {
				return false, retiring
			}
		}
	}
	return true, retiring
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() []byte {
	m.packedBody()
	return snapshot.Encode(&m.state)
}

// Restore replaces the state with a snapshot. An empty snapshot is the initial state.
func (m *Machine) Restore(text []byte) error {
	var next state
	if err := snapshot.Decode(text, &next); err != nil {
		return errors.Wrap(err, "restore configuration state")
	}
	var body []byte
	if len(next.PackedBody) > 0 {
		var err error
		if body, err = delta.Apply(nil, next.PackedBody); err != nil {
			return errors.Wrap(err, "restore configuration")
		}
	}
	m.state, m.body, m.steps, m.directories = next, body, recentSteps{}, recentDirectories{}
	m.acceptedDigests = make(map[Digest]struct{}, len(next.AcceptedChanges))
	for _, d := range next.AcceptedChanges {
		m.acceptedDigests[d] = struct{}{}
	}
	m.changed()
	return nil
}
