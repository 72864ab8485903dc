// Package turns is the state machine of a turn partition: the conversation history of each
// program's turns and each program's token budget. It is pure and deterministic, except for
// the time of a program's last use on this node. That time affects no result: the leader
// alone uses it, to propose which programs to forget.
package turns

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/snapshot"
)

// Admission reserves the tokens of a turn before it starts.
type Admission struct {
	Program   string        `cbor:"1,keyasint"`
	Attempt   string        `cbor:"2,keyasint"`
	Previous  string        `cbor:"3,keyasint,omitempty"`
	Imported  bool          `cbor:"4,keyasint,omitempty"`
	Budget    uint64        `cbor:"5,keyasint"`
	MaxTokens uint64        `cbor:"6,keyasint"`
	Retention time.Duration `cbor:"7,keyasint"`
	Token     uint64        `cbor:"8,keyasint"` // chosen at random by the caller, the same in a repeated call
}

// Completion ends an attempt. It stores the turn if the turn was answered completely.
type Completion struct {
	Program   string        `cbor:"1,keyasint"`
	Attempt   string        `cbor:"2,keyasint"`
	Complete  bool          `cbor:"3,keyasint,omitempty"`
	Tokens    uint64        `cbor:"4,keyasint"`
	Previous  string        `cbor:"5,keyasint,omitempty"`
	Imported  []byte        `cbor:"6,keyasint,omitempty"` // the whole previous history, stored with the turn
	Input     []byte        `cbor:"7,keyasint,omitempty"`
	Output    []byte        `cbor:"8,keyasint,omitempty"`
	Retention time.Duration `cbor:"9,keyasint"`
	Token     uint64        `cbor:"10,keyasint"` // of the attempt's admission, so that no other node can end it
}

// Command is one entry of the partition's log. Exactly one field is set.
type Command struct {
	Admit  *Admission    `cbor:"1,keyasint,omitempty"`
	Finish *Completion   `cbor:"2,keyasint,omitempty"`
	Forget []IdleProgram `cbor:"3,keyasint,omitempty"`
}

// IdleProgram is a program whose retention has passed. It is forgotten unless it was used
// again in the meantime.
type IdleProgram struct {
	Program string `cbor:"1,keyasint"`
	Steps   uint64 `cbor:"2,keyasint"` // of the program when it was found idle
}

// Encode encodes a command for Apply.
func (c *Command) Encode() ([]byte, error) {
	text, err := cbor.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	return text, nil
}

// Result is the outcome of a command.
type Result uint8

// The results of commands. Their values are stored in replies.
const (
	Accepted        Result = iota + 1 // reserved, or ended
	BudgetExhausted                   // the budget does not allow another turn
	UnknownTurn                       // the partition does not hold the turn
	AttemptClosed                     // the attempt has already ended or belongs to another node
	Unreadable                        // the command cannot be decoded
)

// ResultError reports a result that cannot be decoded.
type ResultError struct{ Length int }

func (e *ResultError) Error() string { return "cannot decode the result of a command" }

// ReadResult decodes what Apply returned.
func ReadResult(text []byte) (Result, error) {
	if len(text) != 1 || text[0] == 0 || Result(text[0]) >= Unreadable {
		return 0, &ResultError{Length: len(text)}
	}
	return Result(text[0]), nil
}

// turn is a turn that was answered completely.
type turn struct {
	Program  string `cbor:"1,keyasint"`
	Previous string `cbor:"2,keyasint,omitempty"`
	Imported []byte `cbor:"3,keyasint,omitempty"`
	Input    []byte `cbor:"4,keyasint,omitempty"`
	Output   []byte `cbor:"5,keyasint,omitempty"`
}

// program is a program's budget and its attempts.
type program struct {
	SpentTokens  uint64                 `cbor:"1,keyasint"`
	Reservations map[string]reservation `cbor:"2,keyasint,omitempty"` // by attempt
	Ended        map[string]struct{}    `cbor:"3,keyasint,omitempty"` // attempts that have ended
	Turns        []string               `cbor:"4,keyasint,omitempty"`
	Retention    time.Duration          `cbor:"5,keyasint"`
	Steps        uint64                 `cbor:"6,keyasint"` // commands that concerned the program
	lastUsed     time.Duration
}

// reservation is the most an open attempt may produce, and the token of its admission.
type reservation struct {
	MaxTokens uint64 `cbor:"1,keyasint"`
	Token     uint64 `cbor:"2,keyasint"`
}

// state is the content of a snapshot.
type state struct {
	Programs map[string]*program `cbor:"1,keyasint"`
	Turns    map[string]*turn    `cbor:"2,keyasint"`
}

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	state state
	now   func() time.Duration
}

// New returns an empty Machine. now is a monotonic clock. It only determines which programs
// are idle: see IdlePrograms.
func New(now func() time.Duration) *Machine {
	m := &Machine{now: now}
	m.state = emptyState()
	return m
}

func emptyState() state {
	return state{Programs: map[string]*program{}, Turns: map[string]*turn{}}
}

// Apply applies an encoded command and returns its encoded Result.
func (m *Machine) Apply(text []byte) []byte {
	var c Command
	if err := cbor.Unmarshal(text, &c); err != nil {
		return []byte{byte(Unreadable)}
	}
	return []byte{byte(m.apply(&c))}
}

func (m *Machine) apply(c *Command) Result {
	switch {
	case c.Admit != nil:
		return m.admit(c.Admit)
	case c.Finish != nil:
		return m.finish(c.Finish)
	}
	for _, r := range c.Forget {
		m.forget(r)
	}
	return Accepted
}

// program returns the named program and marks it as used. It creates the program if needed.
func (m *Machine) program(name string, retention time.Duration) *program {
	p := m.state.Programs[name]
	if p == nil {
		p = &program{Reservations: map[string]reservation{}, Ended: map[string]struct{}{}}
		m.state.Programs[name] = p
	}
	p.Retention = max(p.Retention, retention)
	m.markUsed(p)
	return p
}

// markUsed records that a program is still in use.
func (m *Machine) markUsed(p *program) {
	p.Steps++
	p.lastUsed = m.now()
}

// admit reserves the most a turn may produce. Each attempt counts with its maximum until it
// has ended, so the failure of a node returns nothing to the budget. A repeated admission has
// no further effect.
func (m *Machine) admit(a *Admission) Result {
	if a.Previous != "" && !a.Imported {
		before := m.state.Turns[a.Previous]
		if before == nil {
			return UnknownTurn
		}
		m.markUsed(m.state.Programs[before.Program]) // its text is needed until this attempt ends
	}
	p := m.program(a.Program, a.Retention)
	if _, ended := p.Ended[a.Attempt]; ended {
		return AttemptClosed
	}
	if held, reserved := p.Reservations[a.Attempt]; reserved {
		if held.Token != a.Token {
			return AttemptClosed // another node runs the same attempt: it would run twice
		}
		return Accepted
	}
	if p.spentAndReserved()+a.MaxTokens > a.Budget {
		return BudgetExhausted
	}
	p.Reservations[a.Attempt] = reservation{MaxTokens: a.MaxTokens, Token: a.Token}
	return Accepted
}

// spentAndReserved returns the tokens produced, with each open attempt at its maximum.
func (p *program) spentAndReserved() uint64 {
	sum := p.SpentTokens
	for _, held := range p.Reservations {
		sum += held.MaxTokens
	}
	return sum
}

// finish settles an attempt to the tokens that were produced, once. A complete turn whose
// history was forgotten in the meantime is not stored, since no turn could continue it. The
// attempt then stays open, to be finished with the whole history or as a failed one.
func (m *Machine) finish(e *Completion) Result {
	p := m.program(e.Program, e.Retention)
	if _, ended := p.Ended[e.Attempt]; ended {
		if e.Complete && m.state.Turns[e.Attempt] == nil {
			return AttemptClosed
		}
		return Accepted
	}
	if held, reserved := p.Reservations[e.Attempt]; reserved && held.Token != e.Token {
		return AttemptClosed // another node runs the attempt
	}
	if e.Complete && m.lacksHistory(e) {
		return UnknownTurn
	}
	p.Ended[e.Attempt] = struct{}{}
	delete(p.Reservations, e.Attempt)
	p.SpentTokens += e.Tokens
	if e.Complete {
		m.storeTurn(p, e)
	}
	return Accepted
}

// lacksHistory reports whether a turn would be stored without its history.
func (m *Machine) lacksHistory(e *Completion) bool {
	return e.Previous != "" && len(e.Imported) == 0 && m.state.Turns[e.Previous] == nil
}

// storeTurn stores a turn. Its previous turn may belong to another program, which may be
// forgotten earlier: the turn is then stored with its whole history.
func (m *Machine) storeTurn(p *program, e *Completion) {
	t := &turn{Program: e.Program, Previous: e.Previous, Imported: e.Imported, Input: e.Input, Output: e.Output}
	if before := m.state.Turns[e.Previous]; before != nil && before.Program != e.Program && len(e.Imported) == 0 {
		t.Imported, _ = m.History(e.Previous)
	}
	m.state.Turns[e.Attempt] = t
	p.Turns = append(p.Turns, e.Attempt)
}

// forget drops a program and its turns, unless it was used since it was found idle.
func (m *Machine) forget(r IdleProgram) {
	name := r.Program
	p := m.state.Programs[name]
	if p == nil || p.Steps != r.Steps {
		return
	}
	for _, id := range p.Turns {
		delete(m.state.Turns, id)
	}
	delete(m.state.Programs, name)
}

// History returns the conversation up to the end of a turn: input and output of each turn,
// oldest first. It returns false if the partition does not hold the whole history.
func (m *Machine) History(attempt string) ([]byte, bool) {
	var chain []*turn
	size := 0
	for id := attempt; id != ""; {
		t := m.state.Turns[id]
		if t == nil {
			return nil, false
		}
		chain = append(chain, t)
		size += len(t.Imported) + len(t.Input) + len(t.Output)
		if len(t.Imported) > 0 {
			break
		}
		id = t.Previous
	}
	text := make([]byte, 0, size)
	for i := len(chain) - 1; i >= 0; i-- {
		text = append(text, chain[i].Imported...)
		text = append(text, chain[i].Input...)
		text = append(text, chain[i].Output...)
	}
	return text, true
}

// IdlePrograms returns at most limit programs that were not used for their retention plus
// slack.
func (m *Machine) IdlePrograms(slack time.Duration, limit int) []IdleProgram {
	var idle []IdleProgram
	now := m.now()
	for name, p := range m.state.Programs {
		if now-p.lastUsed > p.Retention+p.extraRetention()+slack && len(idle) < limit {
			idle = append(idle, IdleProgram{Program: name, Steps: p.Steps})
		}
	}
	return idle
}

// maxAttemptDuration is how long an attempt may be open: no stream takes longer.
const maxAttemptDuration = time.Hour

// extraRetention is how much longer a program is kept because it has open attempts.
func (p *program) extraRetention() time.Duration {
	if len(p.Reservations) == 0 {
		return 0
	}
	return maxAttemptDuration
}

// Size returns the number of turns and programs held.
func (m *Machine) Size() (turns, programs int) {
	return len(m.state.Turns), len(m.state.Programs)
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() []byte {
	return snapshot.Encode(&m.state)
}

// Restore replaces the state with a snapshot. An empty snapshot is the initial state. All
// programs count as used now, so they are kept longer, never shorter.
func (m *Machine) Restore(text []byte) error {
	next := emptyState()
	if err := snapshot.Decode(text, &next); err != nil {
		return errors.Wrap(err, "restore turns")
	}
	now := m.now()
	for _, p := range next.Programs {
		p.lastUsed = now
		if p.Reservations == nil {
			p.Reservations = map[string]reservation{}
		}
		if p.Ended == nil {
			p.Ended = map[string]struct{}{}
		}
	}
	m.state = next
	return nil
}
