package replica

import "time"

// never is a time long before all others.
const never = time.Duration(-1 << 62)

// progress is what a leader knows about one other member.
type progress struct {
	matchIndex       uint64            // the member holds the log durably up to here
	nextIndex        uint64            // the next entry to send
	probing          bool              // the last matching entry is unknown, or a reply is overdue: one append at a time
	inFlight         []uint64          // the last index of each unanswered append
	lastProgressAt   time.Duration     // when inFlight last became non-empty or matchIndex last advanced
	lastHeard        time.Duration     // when the member was last heard from
	answeredSendTime time.Duration     // the send time of the newest message that it answered
	sentCommitIndex  uint64            // the newest commit index sent to it
	probeIndex       uint64            // the index before the entries of the newest append, while probing
	snapshotTransfer *snapshotTransfer // the snapshot being sent; nil: none
	memberTime       time.Duration     // the member's own clock in its newest reply
	incarnation      uint64            // the member's incarnation that memberTime belongs to; 0: none
}

func newProgress(now time.Duration, next uint64) *progress {
	return &progress{nextIndex: next, probing: true, lastProgressAt: now, lastHeard: now, answeredSendTime: never}
}

// canSend reports whether another append may be sent.
func (p *progress) canSend() bool {
	if p.probing {
		return len(p.inFlight) == 0
	}
	return len(p.inFlight) < maxInFlightAppends
}

// recordSent records an append of the entries from nextIndex up to last.
func (p *progress) recordSent(now time.Duration, last uint64) {
	if len(p.inFlight) == 0 {
		p.lastProgressAt = now
	}
	p.probeIndex = p.nextIndex - 1
	p.inFlight = append(p.inFlight, last)
	p.nextIndex = last + 1
}

// recordMatch records that the member holds the log up to index.
func (p *progress) recordMatch(now time.Duration, index uint64) {
	if index > p.matchIndex {
		p.lastProgressAt = now
		p.probing = false
	}
	p.matchIndex = max(p.matchIndex, index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	if p.snapshotTransfer != nil && p.snapshotTransfer.snapshot.Index <= p.matchIndex {
		p.snapshotTransfer = nil
	}
	for len(p.inFlight) > 0 && p.inFlight[0] <= p.matchIndex {
		p.inFlight = p.inFlight[1:]
	}
}

// isStaleReject reports whether newer replies have superseded a rejection of the entries after index.
func (p *progress) isStaleReject(index uint64) bool {
	return index <= p.matchIndex || p.probing && index != p.probeIndex
}

// resetToProbe starts again from next, one append at a time.
func (p *progress) resetToProbe(now time.Duration, next uint64) {
	p.nextIndex = max(next, p.matchIndex+1)
	p.probing = true
	p.inFlight = nil
	p.lastProgressAt = now
}
