package replica

import (
	"slices"

	"github.com/gammazero/deque"
)

// entryOverheadBytes is what an entry takes besides its data on the wire and in memory.
const entryOverheadBytes = 48

// Size returns the approximate size of an entry in bytes.
func (e Entry) Size() int { return len(e.Data) + entryOverheadBytes }

// PayloadSize returns the approximate size in bytes of a message's entries and snapshot chunk. It is 0
// for a heartbeat.
func (m *Message) PayloadSize() int {
	size := 0
	for _, entry := range m.Entries {
		size += entry.Size()
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.State) + entryOverheadBytes
	}
	return size
}

// indexedMembers are the members in force from Index on.
type indexedMembers struct {
	Index   uint64
	Members Members
}

// entryLog holds the entries after baseIndex, and the members in force at and after baseIndex.
type entryLog struct {
	baseIndex     uint64 // of the entry before the first one held
	baseTerm      uint64 // of the same entry
	entries       deque.Deque[Entry]
	memberHistory []indexedMembers // ascending; the first one's Index is at most baseIndex
}

func newLog(stored PersistentState) *entryLog {
	l := &entryLog{}
	l.reset(stored.Snapshot)
	for _, entry := range stored.Entries {
		if entry.Index == l.lastIndex()+1 {
			l.append(entry)
		}
	}
	return l
}

// reset drops all entries and restarts the log after the snapshot.
func (l *entryLog) reset(snapshot Snapshot) {
	l.baseIndex, l.baseTerm = snapshot.Index, snapshot.Term
	l.entries.Clear()
	l.memberHistory = []indexedMembers{{snapshot.Index, snapshot.Members.Clone()}}
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(l.entries.Len()) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.termAt(l.lastIndex())
	return term
}

// termAt returns the term of the entry at index, and whether it is known.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entryAt(index).Term, true
}

// entryAt returns the entry at an index that the log holds.
func (l *entryLog) entryAt(index uint64) Entry { return l.entries.At(int(index - l.baseIndex - 1)) }

// matches reports whether the log holds an entry of that term at index.
func (l *entryLog) matches(index, term uint64) bool {
	held, known := l.termAt(index)
	return known && held == term
}

// append adds an entry whose index follows the last one. A MembershipChange with unreadable data is
// kept without effect. Its proposer validated it, and every member treats it in the same way.
func (l *entryLog) append(entry Entry) {
	l.entries.PushBack(entry)
	if entry.Kind != MembershipChange {
		return
	}
	if members, err := DecodeMembers(entry.Data); err == nil {
		l.memberHistory = append(l.memberHistory, indexedMembers{entry.Index, members})
	}
}

// truncate drops the entries at and after index, which is after baseIndex.
func (l *entryLog) truncate(index uint64) {
	for l.lastIndex() >= index {
		l.entries.PopBack()
	}
	for len(l.memberHistory) > 1 && l.memberHistory[len(l.memberHistory)-1].Index >= index {
		l.memberHistory = l.memberHistory[:len(l.memberHistory)-1]
	}
}

// compact drops the entries up to index, which the log holds.
func (l *entryLog) compact(index uint64) {
	term, known := l.termAt(index)
	if !known || index <= l.baseIndex {
		return
	}
	for l.baseIndex < index {
		l.entries.PopFront()
		l.baseIndex++
	}
	l.baseTerm = term
	keep := l.membersPosition(index)
	l.memberHistory = slices.Delete(l.memberHistory, 0, keep)
}

// membersPosition returns the position in memberHistory of the members in force at index.
func (l *entryLog) membersPosition(index uint64) int {
	position := len(l.memberHistory) - 1
	for position > 0 && l.memberHistory[position].Index > index {
		position--
	}
	return position
}

// currentMembers returns the members in force and the index of the entry that they come from.
func (l *entryLog) currentMembers() indexedMembers { return l.memberHistory[len(l.memberHistory)-1] }

// slice copies entries of [from, to]: as many as count and bytes allow, but at least one.
func (l *entryLog) slice(from, to uint64, count, bytes int) []Entry {
	to = min(to, l.lastIndex())
	if from > to {
		return nil
	}
	var entries []Entry
	for index := from; index <= to && len(entries) < count; index++ {
		entry := l.entryAt(index)
		bytes -= entry.Size()
		if bytes < 0 && len(entries) > 0 {
			break
		}
		entries = append(entries, entry)
	}
	return entries
}

// lastPossibleMatch returns the newest index up to limit whose term is at most term: the most that a log
// with that term at limit can have in common with this one.
func (l *entryLog) lastPossibleMatch(limit, term uint64) (index, held uint64) {
	index = min(limit, l.lastIndex())
	for index > l.baseIndex {
		if held, _ = l.termAt(index); held <= term {
			return index, held
		}
		index--
	}
	if index < l.baseIndex {
		return index, 0
	}
	return index, l.baseTerm
}
