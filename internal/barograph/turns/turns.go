// Package turns is the state machine of a partition of the turns: what was said in each
// line of a program, and what the program may still put out. It is pure and
// deterministic, but for the time at which a program was last touched on this node,
// which decides nothing here: it only tells the owner what to propose to forget.
package turns

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Admission reserves a turn's tokens.
type Admission struct {
	Program   string        `cbor:"1,keyasint"`
	Attempt   string        `cbor:"2,keyasint"`
	Previous  string        `cbor:"3,keyasint,omitempty"`
	Imported  bool          `cbor:"4,keyasint,omitempty"`
	Budget    uint64        `cbor:"5,keyasint"`
	MaxTokens uint64        `cbor:"6,keyasint"`
	Retention time.Duration `cbor:"7,keyasint"`
	Token     uint64        `cbor:"8,keyasint"` // drawn by who asks: the same when it asks again
}

// Ending ends a try, and keeps its turn where that was answered whole.
type Completion struct {
	Program   string        `cbor:"1,keyasint"`
	Attempt   string        `cbor:"2,keyasint"`
	Complete  bool          `cbor:"3,keyasint,omitempty"`
	Tokens    uint64        `cbor:"4,keyasint"`
	Previous  string        `cbor:"5,keyasint,omitempty"`
	Imported  []byte        `cbor:"6,keyasint,omitempty"` // all that was said before, kept with the turn
	Input     []byte        `cbor:"7,keyasint,omitempty"`
	Output    []byte        `cbor:"8,keyasint,omitempty"`
	Retention time.Duration `cbor:"9,keyasint"`
	Token     uint64        `cbor:"10,keyasint"` // of the try's admission: no other node ends it
}

// Command is one step of the machine. One of the fields is set.
type Command struct {
	Admit  *Admission    `cbor:"1,keyasint,omitempty"`
	Finish *Completion   `cbor:"2,keyasint,omitempty"`
	Forget []IdleProgram `cbor:"3,keyasint,omitempty"`
}

// Rest is a program that nothing is heard of. It is forgotten unless something has been
// since.
type IdleProgram struct {
	Program string `cbor:"1,keyasint"`
	Steps   uint64 `cbor:"2,keyasint"` // of the program, when it rested
}

// Encode gives a command the form that Apply takes.
func (c *Command) Encode() ([]byte, error) {
	text, err := cbor.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	return text, nil
}

// Result is what came of a command.
type Result uint8

// The results of commands.
const (
	Accepted        Result = iota + 1 // reserved, or ended
	BudgetExhausted                   // the budget holds no further turn
	UnknownTurn                       // the partition holds no such turn
	AttemptClosed                     // the try has ended before, or is another node's
	Unreadable                        // no command
)

// ResultError tells of a result that can't be read.
type ResultError struct{ Length int }

func (e *ResultError) Error() string { return "the result of a command can't be read" }

// ReadResult reads what Apply returned.
func ReadResult(text []byte) (Result, error) {
	if len(text) != 1 || text[0] == 0 || Result(text[0]) >= Unreadable {
		return 0, &ResultError{Length: len(text)}
	}
	return Result(text[0]), nil
}

// turn is a turn that was answered whole.
type turn struct {
	Program  string `cbor:"1,keyasint"`
	Previous string `cbor:"2,keyasint,omitempty"`
	Imported []byte `cbor:"3,keyasint,omitempty"`
	Input    []byte `cbor:"4,keyasint,omitempty"`
	Output   []byte `cbor:"5,keyasint,omitempty"`
}

// program is a program's budget, and which tries count towards it.
type program struct {
	SpentTokens  uint64                 `cbor:"1,keyasint"`
	Reservations map[string]reservation `cbor:"2,keyasint,omitempty"` // by try
	Ended        map[string]struct{}    `cbor:"3,keyasint,omitempty"` // tries that ended
	Turns        []string               `cbor:"4,keyasint,omitempty"`
	Retention    time.Duration          `cbor:"5,keyasint"`
	Steps        uint64                 `cbor:"6,keyasint"` // that concerned it
	lastUsed     time.Duration
}

// hold is what a try that hasn't ended may put out at most, and whose it is.
type reservation struct {
	MaxTokens uint64 `cbor:"1,keyasint"`
	Token     uint64 `cbor:"2,keyasint"`
}

type state struct {
	Programs map[string]*program `cbor:"1,keyasint"`
	Turns    map[string]*turn    `cbor:"2,keyasint"`
}

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	state state
	now   func() time.Duration
}

// New returns an empty Machine. The clock is steady and read only to tell which programs
// rest: see Resting.
func New(now func() time.Duration) *Machine {
	m := &Machine{now: now}
	m.state = emptyState()
	return m
}

func emptyState() state {
	return state{Programs: map[string]*program{}, Turns: map[string]*turn{}}
}

// Apply takes a command and returns its Result.
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

// touch notes that a program goes on.
func (m *Machine) markUsed(p *program) {
	p.Steps++
	p.lastUsed = m.now()
}

// admit reserves the most that a turn may put out. Each try counts at its most until it
// has ended: no node's death gives any of it back. Told again, it has no further effect.
func (m *Machine) admit(a *Admission) Result {
	if a.Previous != "" && !a.Imported {
		before := m.state.Turns[a.Previous]
		if before == nil {
			return UnknownTurn
		}
		m.markUsed(m.state.Programs[before.Program]) // its text is needed until the end of this try
	}
	p := m.program(a.Program, a.Retention)
	if _, ended := p.Ended[a.Attempt]; ended {
		return AttemptClosed
	}
	if held, reserved := p.Reservations[a.Attempt]; reserved {
		if held.Token != a.Token {
			return AttemptClosed // another node has the same try: it would run twice
		}
		return Accepted
	}
	if p.spentAndReserved()+a.MaxTokens > a.Budget {
		return BudgetExhausted
	}
	p.Reservations[a.Attempt] = reservation{MaxTokens: a.MaxTokens, Token: a.Token}
	return Accepted
}

// counted is what was put out, with every open try at its most.
func (p *program) spentAndReserved() uint64 {
	sum := p.SpentTokens
	for _, held := range p.Reservations {
		sum += held.MaxTokens
	}
	return sum
}

// end settles a try to what was handed out, once. A whole turn whose line was forgotten in
// the meantime is not kept, since nobody could go on from it: the try stays open then, to be
// ended with all that was said before, or as one that brought nothing.
func (m *Machine) finish(e *Completion) Result {
	p := m.program(e.Program, e.Retention)
	if _, ended := p.Ended[e.Attempt]; ended {
		if e.Complete && m.state.Turns[e.Attempt] == nil {
			return AttemptClosed
		}
		return Accepted
	}
	if held, reserved := p.Reservations[e.Attempt]; reserved && held.Token != e.Token {
		return AttemptClosed // it goes on at another node
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

// breaks tells whether a turn would be kept without what was said before it.
func (m *Machine) lacksHistory(e *Completion) bool {
	return e.Previous != "" && len(e.Imported) == 0 && m.state.Turns[e.Previous] == nil
}

// keep keeps a turn. What it goes on from may be another program's, which is forgotten at
// a time of its own: then the turn takes the whole text along.
func (m *Machine) storeTurn(p *program, e *Completion) {
	t := &turn{Program: e.Program, Previous: e.Previous, Imported: e.Imported, Input: e.Input, Output: e.Output}
	if before := m.state.Turns[e.Previous]; before != nil && before.Program != e.Program && len(e.Imported) == 0 {
		t.Imported, _ = m.History(e.Previous)
	}
	m.state.Turns[e.Attempt] = t
	p.Turns = append(p.Turns, e.Attempt)
}

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

// History returns what was said up to the end of a turn: the oldest input, the data of
// its events, and so on. It is false where the partition doesn't hold the turn.
func (m *Machine) History(attempt string) ([]byte, bool) {
	var line []*turn
	size := 0
	for id := attempt; id != ""; {
		t := m.state.Turns[id]
		if t == nil {
			return nil, false
		}
		line = append(line, t)
		size += len(t.Imported) + len(t.Input) + len(t.Output)
		if len(t.Imported) > 0 {
			break
		}
		id = t.Previous
	}
	text := make([]byte, 0, size)
	for i := len(line) - 1; i >= 0; i-- {
		text = append(text, line[i].Imported...)
		text = append(text, line[i].Input...)
		text = append(text, line[i].Output...)
	}
	return text, true
}

// Resting returns programs that nothing was heard of for as long as they are kept, and
// slack longer, at most so many.
func (m *Machine) IdlePrograms(slack time.Duration, most int) []IdleProgram {
	var resting []IdleProgram
	now := m.now()
	for name, p := range m.state.Programs {
		if now-p.lastUsed > p.Retention+p.extraRetention()+slack && len(resting) < most {
			resting = append(resting, IdleProgram{Program: name, Steps: p.Steps})
		}
	}
	return resting
}

// openMost is how long a try may be open: no stream takes longer.
const maxAttemptDuration = time.Hour

// open is how much longer a program is kept for the sake of tries that haven't ended.
func (p *program) extraRetention() time.Duration {
	if len(p.Reservations) == 0 {
		return 0
	}
	return maxAttemptDuration
}

// Size is how many turns and programs are held.
func (m *Machine) Size() (turns, programs int) {
	return len(m.state.Turns), len(m.state.Programs)
}

// Snapshot returns the state.
func (m *Machine) Snapshot() []byte {
	text, err := cbor.Marshal(&m.state)
	if err != nil {
		panic(err) // the state is made of plain values only
	}
	return text
}

// Restore takes a state on; an empty one is the state at first. All programs count as
// touched now: they are kept longer, never shorter.
func (m *Machine) Restore(text []byte) error {
	next := emptyState()
	if len(text) > 0 {
		if err := cbor.Unmarshal(text, &next); err != nil {
			return errors.Wrap(err, "restore turns")
		}
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
