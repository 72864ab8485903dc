package replica_test

import (
	"encoding/binary"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-faster/errors"

	"pipitmux/internal/barograph/replica"
)

// The bounds of what the client has under way keep its history fit to be judged.
const (
	mostUnfinished = 3
	patience       = 150 * time.Millisecond
)

type operationKind byte

const (
	read operationKind = iota
	write
	compareAndSet
)

// operation is one of the client's, on a register.
type operation struct {
	number     uint64
	kind       operationKind
	expected   uint64 // of compareAndSet
	value      uint64 // to be written, or what was read
	term       uint64 // that it was proposed in
	began      time.Duration
	call, done int64
	known      bool // the outcome is
	failed     bool // certainly not carried out
	succeeded  bool // of compareAndSet
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

// machine is the state machine: a register.
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

// client calls for operations and keeps their history.
type client struct {
	world   *world
	ticks   int64
	history []*operation
	effect  map[uint64]int64 // by number, when any node first applied it
	silent  bool
	turnsAt time.Duration // when silent changes
	seen    uint64        // the value last seen
	doneAt  time.Duration // when an operation was last carried out
}

func (c *client) tick() int64 {
	c.ticks++
	return c.ticks
}

// next starts an operation, at a node that takes itself for the owner most of the time.
func (c *client) next() {
	if !c.world.faulty && c.world.Chance(0.9) {
		return
	}
	nodes := c.world.owners()
	if len(nodes) == 0 || c.world.Chance(0.05) {
		nodes = c.world.running()
	}
	if len(nodes) == 0 {
		return
	}
	n := nodes[c.world.Random.IntN(len(nodes))]
	if c.quiet() || c.world.Chance(0.5) {
		n.act(func() { c.readAt(n) })
		return
	}
	if c.unfinished() >= mostUnfinished {
		return
	}
	number := uint64(len(c.history) + 1)
	o := &operation{number: number, kind: write, value: number, call: c.tick(), began: c.world.Now}
	c.history = append(c.history, o)
	n.act(func() { c.propose(n, o) })
}

// quiet tells whether the client only reads for now: logs stay alike then, so that a node that
// was cut off can win ballots.
func (c *client) quiet() bool {
	if c.world.Now >= c.turnsAt {
		c.silent = c.world.faulty && !c.silent
		c.turnsAt = c.world.Now + c.world.Between(0, 5*simulatedTiming.Election)
	}
	return c.silent
}

// unfinished counts the proposals under way that the client still waits for.
func (c *client) unfinished() int {
	count := 0
	for _, o := range c.history {
		if o.done == 0 && c.effect[o.number] == 0 && c.world.Now-o.began < patience {
			count++
		}
	}
	return count
}

// readAt reads at a node, as a node's process does: under a lease, once all that is committed is applied.
func (c *client) readAt(n *node) {
	if n.replica == nil || !n.replica.Leased(n.clock()) || n.machine.index < n.replica.Commit() {
		return
	}
	call := c.tick()
	c.world.counts.reads++
	c.seen = n.machine.value
	c.history = append(c.history, &operation{kind: read, value: c.seen, call: call, done: c.tick(), known: true})
}

func (c *client) propose(n *node, o *operation) {
	if c.world.Chance(0.6) {
		o.kind, o.expected = compareAndSet, c.seen
	}
	index, term, err := n.replica.Propose(n.clock(), o.encode())
	if err != nil {
		o.failed, o.done = true, c.tick()
		return
	}
	o.term = term
	n.waiting[index] = o
}

// applied notes the outcome of a proposal, by what was committed in its place.
func (c *client) applied(o *operation, entry replica.Entry, succeeded bool) {
	o.known, o.done = true, c.tick()
	if entry.Term != o.term {
		o.failed = true
		return
	}
	o.succeeded = succeeded
	c.world.counts.writes++
	c.doneAt = c.world.Now
	if succeeded {
		c.seen = o.value
	}
}

// registerModel is what a history must fit: one register.
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
		if o.known && o.succeeded != matches {
			return false, value
		}
		if matches {
			return true, o.value
		}
		return true, value
	},
}

var errNotLinearizable = errors.New("history is not linearizable")

// errNotJudged says nothing of the replicas: the check itself took too long.
var errNotJudged = errors.New("history could not be judged in time")

// check judges the history. What nobody knows the outcome of was carried out before any node
// applied it, or not at all.
func (c *client) check() error {
	var history []porcupine.Operation
	for _, o := range c.history {
		done := o.done
		if !o.known {
			done = c.effect[o.number]
		}
		if o.failed || done == 0 {
			continue
		}
		history = append(history, porcupine.Operation{Input: o, Call: o.call, Return: done})
	}
	switch porcupine.CheckOperationsTimeout(registerModel, history, 20*time.Second) {
	case porcupine.Illegal:
		return errors.Wrapf(errNotLinearizable, "seed %d", c.world.Seed)
	case porcupine.Unknown:
		return errors.Wrapf(errNotJudged, "seed %d", c.world.Seed)
	}
	return nil
}
