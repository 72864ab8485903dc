package replica

import "time"

// never is a time long before all others.
const never = time.Duration(-1 << 62)

// progress is what an owner knows of one other member.
type progress struct {
	matched  uint64        // the member holds the log up to here
	next     uint64        // the next entry to send
	probing  bool          // where the logs part is not known, or an answer is overdue
	flight   []uint64      // the last index of each append that is unanswered
	moved    time.Duration // when the flight last began or got shorter
	heard    time.Duration // when the member was last heard from
	answered time.Duration // the sending time of the newest message that it answered
	told     uint64        // the commit index that it was sent
	probe    uint64        // the index before the entries of the newest append, while probing
	transfer *transfer     // the snapshot that is on the way; nil: none
	asked    time.Duration // the member's own time in its newest answer
	life     uint64        // of the member, that this time belongs to; 0: none
}

func newProgress(now time.Duration, next uint64) *progress {
	return &progress{next: next, probing: true, moved: now, heard: now, answered: never}
}

// open tells whether another append may be sent.
func (p *progress) open() bool {
	if p.probing {
		return len(p.flight) == 0
	}
	return len(p.flight) < maxFlight
}

// sent notes an append of the entries from next up to last.
func (p *progress) sent(now time.Duration, last uint64) {
	if len(p.flight) == 0 {
		p.moved = now
	}
	p.probe = p.next - 1
	p.flight = append(p.flight, last)
	p.next = last + 1
}

// match notes that the member holds the log up to index.
func (p *progress) match(now time.Duration, index uint64) {
	if index > p.matched {
		p.moved = now
		p.probing = false
	}
	p.matched = max(p.matched, index)
	p.next = max(p.next, p.matched+1)
	if p.transfer != nil && p.transfer.snapshot.Index <= p.matched {
		p.transfer = nil
	}
	for len(p.flight) > 0 && p.flight[0] <= p.matched {
		p.flight = p.flight[1:]
	}
}

// stale tells whether a rejection of the entries after index was overtaken by news.
func (p *progress) stale(index uint64) bool {
	return index <= p.matched || p.probing && index != p.probe
}

// restart begins anew from next, one append at a time.
func (p *progress) restart(now time.Duration, next uint64) {
	p.next = max(next, p.matched+1)
	p.probing = true
	p.flight = nil
	p.moved = now
}
