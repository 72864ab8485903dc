package replica

import "time"

// A snapshot goes to a member in parts, each with its place in the state, so that what was
// received counts though a part is lost, heartbeats come between the parts, and neither side
// holds more of it in messages than a window. The owner sends the parts of one snapshot, which
// stays as it is; the receiver takes them in order and tells after each how far it has come.
const (
	partBytes    = 128 << 10       // of a state, in one message
	windowParts  = 4               // sent and not yet acknowledged
	installRetry = time.Second     // without progress or answer for this long, all that isn't acknowledged is sent again
	partRetry    = 2               // heartbeats without progress, while the member answers, after which it is
	pinnedBytes  = 32 << 20        // of the log, kept for those who will need it after their snapshot
	pinnedFor    = 4 * time.Second // without progress a transfer keeps nothing any more
)

// transfer is an owner's sending of a snapshot to one member.
type transfer struct {
	snapshot Snapshot
	begun    bool
	acked    uint64        // bytes that the member holds
	next     uint64        // the next byte to be sent
	moved    time.Duration // when acked changed last
}

func (t *transfer) size() uint64 { return uint64(len(t.snapshot.State)) }

// open tells whether another part may be sent.
func (t *transfer) open(window uint64) bool {
	if !t.begun {
		return true
	}
	return t.next < t.size() && t.next-t.acked < window
}

// part takes the next part.
func (t *transfer) part(bytes uint64) (offset uint64, part Snapshot) {
	offset = t.next
	end := min(offset+bytes, t.size())
	part = t.snapshot
	part.State = t.snapshot.State[offset:end]
	t.next, t.begun = end, true
	return offset, part
}

// resume goes back to what the member holds.
func (t *transfer) resume(now time.Duration, held uint64) {
	t.acked, t.next, t.moved = held, held, now
	t.begun = held > 0
}

// sendInstall sends the newest snapshot, or what is due of the one that is on the way.
func (r *Replica) sendInstall(to NodeID, p *progress) {
	if p.transfer == nil {
		snapshot := r.source()
		if snapshot.Index < p.next {
			return // the source must be as new as what was compacted
		}
		p.transfer = &transfer{snapshot: snapshot, moved: r.now}
	}
	t := p.transfer
	if r.now-t.moved >= installRetry {
		t.resume(r.now, t.acked)
	}
	for t.open(windowParts * r.part) {
		offset, part := t.part(r.part)
		r.sendEarly(Message{
			To: to, Kind: Install, Index: part.Index, LogTerm: part.Term,
			Snapshot: &part, Offset: offset, Size: t.size(),
		})
	}
}

// onInstallReply goes on after what a member acknowledged, or back to it where a part was lost
// or the member started anew.
func (r *Replica) onInstallReply(m Message) {
	p := r.hearFrom(m)
	if p == nil || p.transfer == nil || p.transfer.snapshot.Index != m.Index || m.Offset > p.transfer.size() {
		return
	}
	t := p.transfer
	switch {
	case m.Offset > t.acked:
		t.acked, t.next, t.moved = m.Offset, max(t.next, m.Offset), r.now
	case m.Reject && m.Offset < t.acked:
		t.resume(r.now, m.Offset)
	case r.now-t.moved >= partRetry*r.timing.Heartbeat:
		t.resume(r.now, t.acked)
	}
}

// pinned is the index up to which the log may be compacted without cutting off a member that
// is receiving a snapshot: what follows that it needs from the log.
func (r *Replica) pinned(index uint64) uint64 {
	if r.role != owner {
		return index
	}
	kept := index
	for _, p := range r.progress {
		if t := p.transfer; t != nil && r.now-t.moved < pinnedFor {
			kept = min(kept, t.snapshot.Index)
		}
	}
	bytes := 0
	for index > kept && index > r.log.base {
		if bytes += r.log.at(index).Size(); bytes > pinnedBytes {
			break
		}
		index--
	}
	return index
}

// assembly is a snapshot that is on its way to a member.
type assembly struct {
	from     NodeID
	term     uint64 // of the owner that sends it
	size     uint64
	snapshot Snapshot // State holds what has come without a gap
	early    []part   // came ahead of others, windowParts at most
}

// part is some bytes of a state.
type part struct {
	offset uint64
	bytes  []byte
}

// belongs tells whether a message brings a part of this snapshot.
func (a *assembly) belongs(m Message) bool {
	return a != nil && a.from == m.From && a.term == m.Term && a.size == m.Size &&
		a.snapshot.Index == m.Snapshot.Index && a.snapshot.Term == m.Snapshot.Term
}

func (a *assembly) held() uint64 { return uint64(len(a.snapshot.State)) }

// take takes a part in, and those that came early and follow on it.
func (a *assembly) take(p part) {
	if p.offset+uint64(len(p.bytes)) > a.size {
		return
	}
	if p.offset > a.held() {
		if len(a.early) < windowParts {
			a.early = append(a.early, p)
		}
		return
	}
	a.append(p)
	for i := 0; i < len(a.early); i++ {
		if early := a.early[i]; early.offset <= a.held() {
			a.append(early)
			a.early = append(a.early[:i:i], a.early[i+1:]...)
			i = -1 // what was passed over may follow now
		}
	}
}

// append adds what is new of a part that leaves no gap.
func (a *assembly) append(p part) {
	if known := a.held() - p.offset; known < uint64(len(p.bytes)) {
		a.snapshot.State = append(a.snapshot.State, p.bytes[known:]...)
	}
}

// assemble takes a part in and returns the snapshot once it is whole, else it answers how far
// it goes. An owner that sends what is not the first part learns when this node knows nothing
// of those before.
func (r *Replica) assemble(m Message) (Snapshot, bool) {
	unknown := !r.assembly.belongs(m)
	if unknown {
		r.assembly = &assembly{from: m.From, term: m.Term, size: m.Size, snapshot: *m.Snapshot}
		r.assembly.snapshot.State = nil
	}
	a := r.assembly
	a.take(part{m.Offset, m.Snapshot.State})
	if a.held() < a.size {
		r.answer(m, Message{Kind: InstallReply, Index: m.Index, Offset: a.held(), Reject: unknown && m.Offset > 0})
		return Snapshot{}, false
	}
	r.assembly = nil
	return a.snapshot, true
}
