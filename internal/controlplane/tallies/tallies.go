// Package tallies is the replicated state of tallies: sums of amounts that are added under ids,
// each of which counts once. The state is a union of append-only logs, one per origin, so nodes
// that received the same entries hold the same state, whatever the order, the repetitions and the
// parts in which the entries arrived. The package does no I/O and reads no clock.
package tallies

import (
	"math"
	"math/bits"
	"slices"

	"github.com/go-faster/errors"
)

// Origin identifies the single writer of a log: one life of one disk.
type Origin uint64

// Entry adds an amount to a tally under an id. An id counts once in a tally.
type Entry struct {
	Tally  string
	Member string // id of the add within the tally
	Amount int64  // at least 0
}

// Run is a sequence of consecutive entries of one log.
type Run struct {
	Origin  Origin
	First   uint64 // sequence number of the first entry; a log starts with 1
	Entries []Entry
}

// Position is the place of an entry: the log and the sequence number in it.
type Position struct {
	Origin   Origin
	Sequence uint64
}

// Vector tells how much of each log a node holds: all entries up to a sequence number. Vectors that
// State returns are shared and must not be changed.
type Vector map[Origin]uint64

// Lacks reports whether other contains entries that v does not.
func (v Vector) Lacks(other Vector) bool {
	for origin, last := range other {
		if last > v[origin] {
			return true
		}
	}
	return false
}

// Holds reports whether v contains an entry.
func (v Vector) Holds(position Position) bool { return v[position.Origin] >= position.Sequence }

// Digest returns a hash of the vector. Equal vectors have the same digest.
func (v Vector) Digest() uint64 {
	digest := uint64(0)
	for origin, last := range v {
		digest += positionHash(Position{Origin: origin, Sequence: last})
	}
	return digest
}

// Errors of operations on a State.
var (
	// ErrGap: a run starts after the end of its log.
	ErrGap = errors.New("the run leaves a gap in its log")
	// ErrInvalid: a run contains an entry that no node may write.
	ErrInvalid = errors.New("the run contains an invalid entry")
)

// Conflict reports that an id came with two amounts. The smaller one counts.
type Conflict struct {
	Tally, Member    string
	Counted, Ignored int64
}

// Record is what a State holds for an id of a tally.
type Record struct {
	Amount   int64    // the smallest amount that came with the id
	Position Position // one of the id's entries, that of the own log if there is one
}

// State is the union of all logs that a node holds. It is not safe for concurrent use.
type State struct {
	own     Origin // origin of this node's entries
	logs    map[Origin][]Entry
	tallies map[string]*tally
	vector  Vector // snapshot that Vector returned; nil after a change
	digest  uint64 // of the vector
	entries int
}

// tally is the sum of the amounts of its ids. The sum has 128 bits: nodes that merge two sides of a
// cut cannot refuse an amount.
type tally struct {
	name      string
	records   map[string]Record
	high, low uint64
}

// New returns an empty State of the node that writes the log own.
func New(own Origin) *State {
	return &State{own: own, logs: map[Origin][]Entry{}, tallies: map[string]*tally{}}
}

// Own returns the origin of this node's entries.
func (s *State) Own() Origin { return s.own }

// Last returns the sequence number of the last entry held of a log, 0 if there is none.
func (s *State) Last(origin Origin) uint64 { return uint64(len(s.logs[origin])) }

// Entries returns the number of entries of all logs.
func (s *State) Entries() int { return s.entries }

// Vector returns how much of each log the state holds. It must not be changed.
func (s *State) Vector() Vector {
	if s.vector == nil {
		s.vector = make(Vector, len(s.logs))
		for origin, log := range s.logs {
			s.vector[origin] = uint64(len(log))
		}
	}
	return s.vector
}

// Digest returns the digest of Vector.
func (s *State) Digest() uint64 { return s.digest }

// Total returns the sum of a tally, 0 for an unknown one, and math.MaxInt64 if the sum is greater.
func (s *State) Total(name string) int64 {
	t := s.tallies[name]
	switch {
	case t == nil:
		return 0
	case t.high > 0 || t.low > math.MaxInt64:
		return math.MaxInt64
	}
	return int64(t.low)
}

// Find returns the record of an id.
func (s *State) Find(name, member string) (Record, bool) {
	if t := s.tallies[name]; t != nil {
		record, ok := t.records[member]
		return record, ok
	}
	return Record{}, false
}

// Apply adds the entries of a run that the state does not hold yet. It returns the ids that came
// with another amount than before. If it returns an error, nothing has changed.
func (s *State) Apply(run Run) ([]Conflict, error) {
	run, err := s.Clip(run)
	if err != nil || len(run.Entries) == 0 {
		return nil, err
	}
	var conflicts []Conflict
	log := s.logs[run.Origin]
	if len(log) > 0 {
		s.digest -= positionHash(Position{Origin: run.Origin, Sequence: uint64(len(log))})
	}
	for _, entry := range run.Entries {
		t := s.tallyNamed(entry.Tally)
		entry.Tally = t.name // all entries of a tally share its name's memory
		log = append(log, entry)
		if conflict, found := t.add(entry, Position{Origin: run.Origin, Sequence: uint64(len(log))}, run.Origin == s.own); found {
			conflicts = append(conflicts, conflict)
		}
	}
	s.logs[run.Origin] = log
	s.digest += positionHash(Position{Origin: run.Origin, Sequence: uint64(len(log))})
	s.entries += len(run.Entries)
	s.vector = nil
	return conflicts, nil
}

// Clip returns the part of a run that the state does not hold yet, or an error if the run cannot be
// applied.
func (s *State) Clip(run Run) (Run, error) { return ClipAfter(run, s.Last(run.Origin)) }

// ClipAfter returns the part of a run after the sequence number last, the end of the log that the
// run is to be appended to.
func ClipAfter(run Run, last uint64) (Run, error) {
	if run.First == 0 || run.First > last+1 {
		return Run{}, errors.Wrapf(ErrGap, "entry %d after %d", run.First, last)
	}
	held := last + 1 - run.First
	if held >= uint64(len(run.Entries)) {
		return Run{Origin: run.Origin, First: last + 1}, nil
	}
	run.First, run.Entries = last+1, run.Entries[held:]
	negative := func(e Entry) bool { return e.Amount < 0 }
	if slices.ContainsFunc(run.Entries, negative) {
		return Run{}, errors.Wrap(ErrInvalid, "negative amount")
	}
	return run, nil
}

func (s *State) tallyNamed(name string) *tally {
	t := s.tallies[name]
	if t == nil {
		t = &tally{name: name, records: map[string]Record{}}
		s.tallies[name] = t
	}
	return t
}

// add counts an entry. If the id came before, the smaller amount counts.
func (t *tally) add(entry Entry, position Position, own bool) (Conflict, bool) {
	record, known := t.records[entry.Member]
	if !known {
		t.records[entry.Member] = Record{Amount: entry.Amount, Position: position}
		t.increase(entry.Amount)
		return Conflict{}, false
	}
	if own {
		record.Position = position
	}
	conflict := Conflict{Tally: t.name, Member: entry.Member, Counted: min(record.Amount, entry.Amount), Ignored: max(record.Amount, entry.Amount)}
	if entry.Amount < record.Amount {
		t.decrease(record.Amount - entry.Amount)
		record.Amount = entry.Amount
	}
	t.records[entry.Member] = record
	return conflict, conflict.Counted != conflict.Ignored
}

func (t *tally) increase(amount int64) {
	var carry uint64
	t.low, carry = bits.Add64(t.low, uint64(amount), 0)
	t.high += carry
}

func (t *tally) decrease(amount int64) {
	var borrow uint64
	t.low, borrow = bits.Sub64(t.low, uint64(amount), 0)
	t.high -= borrow
}

// entryOverheadBytes is the estimated size of an entry without its texts.
const entryOverheadBytes = 12

// After returns the entries of a log after a sequence number, up to about maxBytes, and whether more
// follow. At least one entry is returned if there is any. The entries must not be changed.
func (s *State) After(origin Origin, last uint64, maxBytes int) (run Run, more bool) {
	log := s.logs[origin]
	run = Run{Origin: origin, First: last + 1}
	if last >= uint64(len(log)) {
		return run, false
	}
	rest := log[last:]
	count, size := 0, 0
	for count < len(rest) && (count == 0 || size < maxBytes) {
		size += rest[count].Bytes()
		count++
	}
	run.Entries = rest[:count:count]
	return run, count < len(rest)
}

// Since returns entries of all logs that a node with the given vector lacks, up to about maxBytes.
func (s *State) Since(vector Vector, maxBytes int) []Run {
	var runs []Run
	origins := make([]Origin, 0, len(s.logs))
	for origin, log := range s.logs {
		if vector[origin] < uint64(len(log)) {
			origins = append(origins, origin)
		}
	}
	slices.Sort(origins)
	for _, origin := range origins {
		run, _ := s.After(origin, vector[origin], maxBytes)
		runs = append(runs, run)
		if maxBytes -= run.Bytes(); maxBytes <= 0 {
			break
		}
	}
	return runs
}

// Bytes estimates the size of an entry in a message.
func (e *Entry) Bytes() int { return entryOverheadBytes + len(e.Tally) + len(e.Member) }

// Bytes estimates the size of a run in a message.
func (r Run) Bytes() int {
	size := 0
	for i := range r.Entries {
		size += r.Entries[i].Bytes()
	}
	return size
}

// positionHash returns the contribution of a log to the digest of a vector. The finalizer is that of
// SplitMix64.
func positionHash(position Position) uint64 {
	if position.Sequence == 0 {
		return 0
	}
	return mix(mix(uint64(position.Origin)) + position.Sequence)
}

func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
