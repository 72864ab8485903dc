package replica

import (
	"slices"

	"github.com/gammazero/deque"
)

// entryOverhead is what an entry takes beside its data, in bytes, on the wire and in memory.
const entryOverhead = 48

// Size is the room that an entry takes, in bytes, about.
func (e Entry) Size() int { return len(e.Data) + entryOverhead }

// Bytes is the room that what a message carries takes, in bytes, about: nothing for a heartbeat.
func (m *Message) Bytes() int {
	size := 0
	for _, entry := range m.Entries {
		size += entry.Size()
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.State) + entryOverhead
	}
	return size
}

// placedMembers are the members in force from Index on.
type placedMembers struct {
	Index   uint64
	Members Members
}

// entryLog holds the entries after base, and the members at and after base.
type entryLog struct {
	base, baseTerm uint64 // of the entry before the first one held
	entries        deque.Deque[Entry]
	changes        []placedMembers // ascending; the first one's Index is at most base
}

func newLog(stored Stored) *entryLog {
	l := &entryLog{}
	l.reset(stored.Snapshot)
	for _, entry := range stored.Entries {
		if entry.Index == l.last()+1 {
			l.append(entry)
		}
	}
	return l
}

// reset drops all entries and starts after the snapshot.
func (l *entryLog) reset(snapshot Snapshot) {
	l.base, l.baseTerm = snapshot.Index, snapshot.Term
	l.entries.Clear()
	l.changes = []placedMembers{{snapshot.Index, snapshot.Members.Clone()}}
}

func (l *entryLog) last() uint64 { return l.base + uint64(l.entries.Len()) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, and whether that is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.at(index).Term, true
}

// at returns the entry at an index that is held.
func (l *entryLog) at(index uint64) Entry { return l.entries.At(int(index - l.base - 1)) }

// matches tells whether the log holds an entry of that term at index.
func (l *entryLog) matches(index, term uint64) bool {
	held, known := l.term(index)
	return known && held == term
}

// append takes an entry whose index is the one after the last. A Change whose data is
// unreadable is kept without effect: its proposer checked it, so every member does the same.
func (l *entryLog) append(entry Entry) {
	l.entries.PushBack(entry)
	if entry.Kind != Change {
		return
	}
	if members, err := DecodeMembers(entry.Data); err == nil {
		l.changes = append(l.changes, placedMembers{entry.Index, members})
	}
}

// truncate drops the entries at and after index, which is after base.
func (l *entryLog) truncate(index uint64) {
	for l.last() >= index {
		l.entries.PopBack()
	}
	for len(l.changes) > 1 && l.changes[len(l.changes)-1].Index >= index {
		l.changes = l.changes[:len(l.changes)-1]
	}
}

// compact drops the entries up to index, which the log holds.
func (l *entryLog) compact(index uint64) {
	term, known := l.term(index)
	if !known || index <= l.base {
		return
	}
	for l.base < index {
		l.entries.PopFront()
		l.base++
	}
	l.baseTerm = term
	keep := l.change(index)
	l.changes = slices.Delete(l.changes, 0, keep)
}

// change returns the place in changes of the members in force at index.
func (l *entryLog) change(index uint64) int {
	place := len(l.changes) - 1
	for place > 0 && l.changes[place].Index > index {
		place--
	}
	return place
}

// newest returns the members in force and since which index.
func (l *entryLog) newest() placedMembers { return l.changes[len(l.changes)-1] }

// slice copies the entries of [from, to], as many as count and bytes allow, one at least.
func (l *entryLog) slice(from, to uint64, count, bytes int) []Entry {
	to = min(to, l.last())
	if from > to {
		return nil
	}
	var entries []Entry
	for index := from; index <= to && len(entries) < count; index++ {
		entry := l.at(index)
		bytes -= entry.Size()
		if bytes < 0 && len(entries) > 0 {
			break
		}
		entries = append(entries, entry)
	}
	return entries
}

// guess returns the newest index up to limit whose term is at most term: what a log with
// that term at limit may have in common with this one.
func (l *entryLog) guess(limit, term uint64) (index, held uint64) {
	index = min(limit, l.last())
	for index > l.base {
		if held, _ = l.term(index); held <= term {
			return index, held
		}
		index--
	}
	if index < l.base {
		return index, 0
	}
	return index, l.baseTerm
}
