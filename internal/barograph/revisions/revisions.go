// Package revisions is the state machine of the configuration's partition: the newest
// configuration, which changes were taken, and the directory of the control plane's
// nodes. It is pure and deterministic.
package revisions

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/station/patch"
	"pipitmux/internal/station/protocol"
)

// takenMost is how many changes are remembered, so that one that is sent again is
// acknowledged again: more than a day's.
const takenMost = 20000

// Digest identifies a change by its bytes.
type Digest [sha256.Size]byte

// Change is a configuration that takes the place of the one at Base. Machine.Change makes it.
type Change struct {
	Base, Revision uint64
	Digest         Digest // of the base and the body
	Patch          []byte // the body as its difference to the one at Base; empty: Base was left long ago
}

// Command is one step of the machine. One of the pointers is set.
type Command struct {
	Change   *Change        `cbor:"1,keyasint,omitempty"`
	Register *protocol.Node `cbor:"2,keyasint,omitempty"`
	Assign   *Assignment    `cbor:"3,keyasint,omitempty"`
	Moved    *Moved         `cbor:"4,keyasint,omitempty"`
	Retire   *Retirement    `cbor:"5,keyasint,omitempty"`
	Forget   replica.NodeID `cbor:"6,keyasint,omitempty"` // a node that is gone for good
}

// Assignment gives the partitions of the turns their first members. It counts once.
type Assignment struct{ Partitions [][]replica.NodeID }

// Moved tells that a partition of the turns has other members, or is about to have them: a
// node becomes a voter only after an announcement of it was taken, so that a retirement that
// is asked for before is known to who would make it one, and one that is asked for later waits
// until the node has left again.
type Moved struct {
	Partition int
	Change    uint64 // index in the partition's log up to which all is committed
	Step      uint64 // one more than the directory has at that index, any where it has an earlier one
	Ahead     bool   // they are about to be the members
	Voters    []replica.NodeID
}

// Retirement asks for a storage node to be emptied.
type Retirement struct {
	Node  string
	Least int // storage nodes that must be left
}

// Result is what came of a command.
type Result uint8

// The results of commands.
const (
	Taken    Result = iota + 1
	Conflict        // another version is current
	Stale           // the revision isn't above the current one
	Missing         // no such node
	TooFew          // too few nodes would be left
	Unreadable
)

// Bytes is the form in which a result is handed back.
func (r Result) Bytes() []byte { return []byte{byte(r)} }

// ReadResult reads a result that was handed back.
func ReadResult(text []byte) (Result, error) {
	if len(text) != 1 || text[0] == 0 || Result(text[0]) > Unreadable {
		return 0, &ResultError{Length: len(text)}
	}
	return Result(text[0]), nil
}

// ResultError tells of a result that can't be read.
type ResultError struct{ Length int }

func (e *ResultError) Error() string { return "the result of a command can't be read" }

// state is what snapshots hold.
type state struct {
	Revision  uint64
	Packed    []byte   // the body as a patch without a base; in snapshots only
	Taken     []Digest // oldest first
	Directory protocol.Directory
}

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	state   state
	body    []byte
	steps   steps
	known   map[Digest]struct{}
	changed func()
}

// New returns an empty Machine. It calls changed, where not nil, after each step that
// changes its state.
func New(changed func()) *Machine {
	if changed == nil {
		changed = func() {}
	}
	return &Machine{known: map[Digest]struct{}{}, changed: changed}
}

// Encode gives a command the form that Apply takes.
func (c *Command) Encode() ([]byte, error) {
	text, err := cbor.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	return text, nil
}

// Apply takes a command and returns its Result.
func (m *Machine) Apply(text []byte) []byte {
	var command Command
	if err := cbor.Unmarshal(text, &command); err != nil {
		return Unreadable.Bytes()
	}
	result := m.apply(&command)
	if result == Taken {
		m.changed()
	}
	return result.Bytes()
}

func (m *Machine) apply(c *Command) Result {
	switch {
	case c.Change != nil:
		return m.replace(c.Change)
	case c.Register != nil:
		return m.register(*c.Register)
	case c.Assign != nil:
		return m.assign(c.Assign)
	case c.Moved != nil:
		return m.move(c.Moved)
	case c.Retire != nil:
		return m.retire(c.Retire)
	case c.Forget != 0:
		return m.forget(c.Forget)
	}
	return Unreadable
}

// replace is a compare-and-set on the revision. A change that was taken is
// acknowledged whenever it comes again: by its base and its bytes it is known to be
// that very one.
func (m *Machine) replace(c *Change) Result {
	if _, ok := m.known[c.Digest]; ok {
		return Taken
	}
	switch {
	case c.Base != m.state.Revision:
		return Conflict
	case c.Revision <= m.state.Revision:
		return Stale
	}
	body, err := patch.Apply(m.body, c.Patch)
	if err != nil || DigestOf(c.Base, body) != c.Digest {
		return Unreadable
	}
	m.state.Revision, m.state.Packed, m.body = c.Revision, nil, body
	m.steps.add(Step{Base: c.Base, Revision: c.Revision, Patch: c.Patch})
	m.state.Taken = append(m.state.Taken, c.Digest)
	m.known[c.Digest] = struct{}{}
	if over := len(m.state.Taken) - takenMost; over > 0 {
		for _, old := range m.state.Taken[:over] {
			delete(m.known, old)
		}
		m.state.Taken = slices.Delete(m.state.Taken, 0, over)
	}
	return Taken
}

// DigestOf identifies the change of a base to a body.
func DigestOf(base uint64, body []byte) Digest {
	sum := sha256.New()
	sum.Write(binary.BigEndian.AppendUint64(nil, base))
	sum.Write(body)
	return Digest(sum.Sum(nil))
}

// Change makes the change of a base to a body. The base must be or have been in force here: one
// that was left can't be changed any more, so that nothing but the digest is of interest then.
// Fails with patch.ErrTooLong.
func (m *Machine) Change(base, revision uint64, body []byte) (*Change, error) {
	c := &Change{Base: base, Revision: revision, Digest: DigestOf(base, body)}
	if base != m.state.Revision {
		return c, nil
	}
	text, err := patch.Make(m.body, body)
	if err != nil {
		return nil, errors.Wrapf(err, "revision %d", revision)
	}
	c.Patch = text
	return c, nil
}

// register takes a node on. An earlier incarnation of it has gone for good.
func (m *Machine) register(n protocol.Node) Result {
	nodes := slices.DeleteFunc(slices.Clone(m.state.Directory.Nodes), func(o protocol.Node) bool {
		return o.ID == n.ID || o.SameNode(n)
	})
	m.state.Directory.Nodes = append(nodes, n)
	m.state.Directory.Version++
	return Taken
}

func (m *Machine) assign(a *Assignment) Result {
	if len(m.state.Directory.Partitions) > 0 {
		return Conflict
	}
	for _, voters := range a.Partitions {
		m.state.Directory.Partitions = append(m.state.Directory.Partitions, protocol.PartitionMembers{Voters: voters})
	}
	m.state.Directory.Version++
	return Taken
}

func (m *Machine) move(to *Moved) Result {
	if to.Partition < 0 || to.Partition >= len(m.state.Directory.Partitions) {
		return Missing
	}
	// The directory is handed out by reference: what is handed out stays as it is.
	partitions := slices.Clone(m.state.Directory.Partitions)
	p := &partitions[to.Partition]
	if to.Change < p.Change || to.Change == p.Change && to.Step != p.Step+1 {
		return Conflict
	}
	if to.Ahead && m.addsRetiring(p.Voters, to.Voters) {
		return Conflict
	}
	p.Change, p.Step, p.Voters = to.Change, to.Step, to.Voters
	m.state.Directory.Partitions = partitions
	m.state.Directory.Version++
	return Taken
}

// addsRetiring tells whether a node that is to be emptied would become a voter.
func (m *Machine) addsRetiring(from, to []replica.NodeID) bool {
	return slices.ContainsFunc(m.state.Directory.Nodes, func(n protocol.Node) bool {
		return slices.Contains(m.state.Directory.Retiring, n.Name) && slices.Contains(to, n.ID) && !slices.Contains(from, n.ID)
	})
}

func (m *Machine) retire(r *Retirement) Result {
	if slices.Contains(m.state.Directory.Retiring, r.Node) {
		return Taken
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
		return Missing
	case left < r.Least:
		return TooFew
	}
	m.state.Directory.Retiring = append(slices.Clone(m.state.Directory.Retiring), r.Node)
	m.state.Directory.Version++
	return Taken
}

// forget takes a node out of the directory. One that keeps a partition stays.
func (m *Machine) forget(id replica.NodeID) Result {
	for _, p := range m.state.Directory.Partitions {
		if slices.Contains(p.Voters, id) {
			return Conflict
		}
	}
	nodes := slices.DeleteFunc(slices.Clone(m.state.Directory.Nodes), func(n protocol.Node) bool { return n.ID == id })
	if len(nodes) == len(m.state.Directory.Nodes) {
		return Missing
	}
	m.state.Directory.Nodes = nodes
	m.state.Directory.Version++
	return Taken
}

// Configuration returns the newest configuration and its revision, 0: none yet. The
// bytes must not be changed.
func (m *Machine) Configuration() (revision uint64, body []byte) {
	return m.state.Revision, m.body
}

// Since returns the steps that lead from a revision to the newest one, none if it is that. Where
// they are not known any more it is one step without a base.
func (m *Machine) Since(revision uint64) []Step {
	if revision == m.state.Revision {
		return nil
	}
	if chain, ok := m.steps.from(revision); ok {
		return chain
	}
	return []Step{{Revision: m.state.Revision, Patch: m.packed()}}
}

// packed is the body as a patch without a base.
func (m *Machine) packed() []byte {
	if m.state.Packed == nil {
		text, err := patch.Make(nil, m.body)
		if err != nil {
			panic(err) // the body came out of a patch: it isn't too long
		}
		m.state.Packed = text
	}
	return m.state.Packed
}

// Directory returns the directory. What it refers to must not be changed.
func (m *Machine) Directory() protocol.Directory { return m.state.Directory }

// Emptied tells whether no partition is kept by the node any more, nor will be, and whether
// it is known to be retiring. Before the partitions are dealt out it may still get some.
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

// Snapshot returns the state.
func (m *Machine) Snapshot() []byte {
	m.packed()
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
			return errors.Wrap(err, "restore configuration state")
		}
	}
	var body []byte
	if len(next.Packed) > 0 {
		var err error
		if body, err = patch.Apply(nil, next.Packed); err != nil {
			return errors.Wrap(err, "restore configuration")
		}
	}
	m.state, m.body, m.steps = next, body, steps{}
	m.known = make(map[Digest]struct{}, len(next.Taken))
	for _, d := range next.Taken {
		m.known[d] = struct{}{}
	}
	m.changed()
	return nil
}
