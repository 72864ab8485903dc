package replica_test

import (
	"encoding/binary"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/replica"
)

// The client's concurrency is bounded so that its history can be checked in reasonable time.
const (
	maxUnfinished    = 3                      // proposals in flight
	operationTimeout = 150 * time.Millisecond // the client stops waiting for a proposal after this
)

type operationKind byte

const (
	read operationKind = iota
	write
	compareAndSet
)

// operation is one operation of the client on a register.
type operation struct {
	number       uint64
	kind         operationKind
	expected     uint64 // of compareAndSet
	value        uint64 // the value written or read
	term         uint64 // the term in which it was proposed
	startedAt    time.Duration
	call         int64
	done         int64
	outcomeKnown bool
	failed       bool // certainly had no effect
	succeeded    bool // of compareAndSet
}

func (o *operation) encode() []byte {
	data := []byte{byte(o.kind)}
	data = binary.BigEndian.AppendUint64(data, o.number)
	data = binary.BigEndian.AppendUint64(data, o.expected)
	return binary.BigEndian.AppendUint64(data, o.value)
}

func decodeOperation(data []byte) operation {
	return operation{
		kind:     operationKind(data[0]),
		number:   binary.BigEndian.Uint64(data[1:]),
		expected: binary.BigEndian.Uint64(data[9:]),
		value:    binary.BigEndian.Uint64(data[17:]),
	}
}

// machine is the replicated state machine: a register.
type machine struct{ index, term, value uint64 }

func (m *machine) apply(entry replica.Entry) (succeeded bool) {
	m.index, m.term = entry.Index, entry.Term
	if entry.Kind != replica.Command {
		return false
	}
	o := decodeOperation(entry.Data)
	if o.kind == compareAndSet && o.expected != m.value {
		return false
	}
	m.value = o.value
	return true
}

func (m *machine) encode() []byte { return binary.BigEndian.AppendUint64(nil, m.value) }

func decodeMachine(snapshot replica.Snapshot) machine {
	m := machine{index: snapshot.Index, term: snapshot.Term}
	if len(snapshot.State) > 0 {
		m.value = binary.BigEndian.Uint64(snapshot.State)
	}
	return m
}

// client issues operations and records their history.
type client struct {
	simulation    *simulation
	lastTimestamp int64
	history       []*operation
	effectAt      map[uint64]int64 // by number, when any node first applied it
	readOnly      bool
	modeChangeAt  time.Duration // when readOnly changes next
	lastValue     uint64        // the value last seen
	lastWriteAt   time.Duration // when a proposal last took effect
}

func (c *client) timestamp() int64 {
	c.lastTimestamp++
	return c.lastTimestamp
}

// startOperation starts an operation, most of the time at a node that considers itself the leader.
func (c *client) startOperation() {
	if !c.simulation.faultsActive && c.simulation.Chance(0.9) {
		return
	}
	nodes := c.simulation.leaders()
	if len(nodes) == 0 || c.simulation.Chance(0.05) {
		nodes = c.simulation.running()
	}
	if len(nodes) == 0 {
		return
	}
	n := nodes[c.simulation.Random.IntN(len(nodes))]
	if c.isReadOnly() || c.simulation.Chance(0.5) {
		n.do(func() { c.readAt(n) })
		return
	}
	if c.unfinished() >= maxUnfinished {
		return
	}
	number := uint64(len(c.history) + 1)
	o := &operation{number: number, kind: write, value: number, call: c.timestamp(), startedAt: c.simulation.Now}
	c.history = append(c.history, o)
	n.do(func() { c.propose(n, o) })
}

// isReadOnly reports whether the client currently only reads. Logs stay equal meanwhile, so a node that was
// partitioned away can win elections.
func (c *client) isReadOnly() bool {
	if c.simulation.Now >= c.modeChangeAt {
		c.readOnly = c.simulation.faultsActive && !c.readOnly
		c.modeChangeAt = c.simulation.Now + c.simulation.Between(0, 5*simulatedTiming.ElectionTimeout)
	}
	return c.readOnly
}

// unfinished counts the proposals in flight that the client still waits for.
func (c *client) unfinished() int {
	count := 0
	for _, o := range c.history {
		if o.done == 0 && c.effectAt[o.number] == 0 && c.simulation.Now-o.startedAt < operationTimeout {
			count++
		}
	}
	return count
}

// readAt reads at a node as a real process does: under a lease, once everything committed is applied.
func (c *client) readAt(n *node) {
	if n.replica == nil || !n.replica.HasLease(n.clock()) || n.machine.index < n.replica.CommitIndex() {
		return
	}
	call := c.timestamp()
	c.simulation.counts.reads++
	c.lastValue = n.machine.value
	c.history = append(c.history, &operation{kind: read, value: c.lastValue, call: call, done: c.timestamp(), outcomeKnown: true})
}

func (c *client) propose(n *node, o *operation) {
	if c.simulation.Chance(0.6) {
		o.kind, o.expected = compareAndSet, c.lastValue
	}
	index, term, err := n.replica.Propose(n.clock(), o.encode())
	if err != nil {
		o.failed, o.done = true, c.timestamp()
		return
	}
	o.term = term
	n.proposals[index] = o
}

// applied records the outcome of a proposal by the entry that was committed at its index.
func (c *client) applied(o *operation, entry replica.Entry, succeeded bool) {
	o.outcomeKnown, o.done = true, c.timestamp()
	if entry.Term != o.term {
		o.failed = true
		return
	}
	o.succeeded = succeeded
	c.simulation.counts.writes++
	c.lastWriteAt = c.simulation.Now
	if succeeded {
		c.lastValue = o.value
	}
}

// registerModel is the sequential specification of one register.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		value, o := state.(uint64), input.(*operation)
		switch o.kind {
		case read:
			return o.value == value, value
		case write:
			return true, o.value
		}
		matches := o.expected == value
		if o.outcomeKnown && o.succeeded != matches {
			return false, value
		}
		if matches {
			return true, o.value
		}
		return true, value
	},
}

var errNotLinearizable = errors.New("history is not linearizable")

// errCheckTimeout says nothing about the replicas: the linearizability check itself took too long.
var errCheckTimeout = errors.New("linearizability check timed out")

// check checks that the history is linearizable. An operation with unknown outcome took effect before any
// node applied it, or not at all.
func (c *client) check() error {
	var history []porcupine.Operation
	for _, o := range c.history {
		done := o.done
		if !o.outcomeKnown {
			done = c.effectAt[o.number]
		}
		if o.failed || done == 0 {
			continue
		}
		history = append(history, porcupine.Operation{Input: o, Call: o.call, Return: done})
	}
	switch porcupine.CheckOperationsTimeout(registerModel, history, 20*time.Second) {
	case porcupine.Illegal:
		return errors.Wrapf(errNotLinearizable, "seed %d", c.simulation.Seed)
	case porcupine.Unknown:
		return errors.Wrapf(errCheckTimeout, "seed %d", c.simulation.Seed)
	}
	return nil
}
