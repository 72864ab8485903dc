package replica

import "time"

// A snapshot is sent to a member in chunks. Each chunk carries its offset in the state, so a lost chunk does
// not invalidate the others, heartbeats are sent between chunks, and neither side holds more of the state in
// messages than a window. The leader sends the chunks of one unchanging snapshot; the receiver assembles
// them in order and reports after each one how much it holds.
const (
	maxChunkBytes        = 128 << 10       // bytes of the state in one message
	maxUnackedChunks     = 4               // chunks sent and not yet acknowledged
	snapshotRetryTimeout = time.Second     // after this long without progress, also without a reply, everything unacknowledged is sent again
	stalledHeartbeats    = 2               // after this many heartbeat intervals without progress it is sent again if the member replies
	maxPinnedLogBytes    = 32 << 20        // log kept for members that will need it after their snapshot
	pinTimeout           = 4 * time.Second // a transfer without progress for this long no longer keeps the log
)

// snapshotTransfer is a leader's sending of a snapshot to one member.
type snapshotTransfer struct {
	snapshot       Snapshot
	started        bool
	ackedBytes     uint64        // bytes that the member holds
	nextOffset     uint64        // the next byte to send
	lastProgressAt time.Duration // when ackedBytes last changed, or the transfer was last resumed
}

func (t *snapshotTransfer) size() uint64 { return uint64(len(t.snapshot.State)) }

// canSend reports whether another chunk may be sent.
func (t *snapshotTransfer) canSend(window uint64) bool {
	if !t.started {
		return true
	}
	return t.nextOffset < t.size() && t.nextOffset-t.ackedBytes < window
}

// nextChunk returns the next chunk and advances nextOffset.
func (t *snapshotTransfer) nextChunk(bytes uint64) (offset uint64, part Snapshot) {
	offset = t.nextOffset
	end := min(offset+bytes, t.size())
	part = t.snapshot
	part.State = t.snapshot.State[offset:end]
	t.nextOffset, t.started = end, true
	return offset, part
}

// resume goes back to what the member holds.
func (t *snapshotTransfer) resume(now time.Duration, held uint64) {
	t.ackedBytes, t.nextOffset, t.lastProgressAt = held, held, now
	t.started = held > 0
}

// sendSnapshot sends the newest snapshot, or the chunks that are due of the transfer in progress.
func (r *Replica) sendSnapshot(to NodeID, p *progress) {
	if p.snapshotTransfer == nil {
		snapshot := r.snapshotSource()
		if snapshot.Index < p.nextIndex {
			return // the source must be at least as new as what was compacted
		}
		p.snapshotTransfer = &snapshotTransfer{snapshot: snapshot, lastProgressAt: r.now}
	}
	t := p.snapshotTransfer
	if r.now-t.lastProgressAt >= snapshotRetryTimeout {
		t.resume(r.now, t.ackedBytes)
	}
	for t.canSend(maxUnackedChunks * r.chunkBytes) {
		offset, part := t.nextChunk(r.chunkBytes)
		r.sendImmediate(Message{
			To: to, Kind: InstallSnapshot, Index: part.Index, LogTerm: part.Term,
			Snapshot: &part, Offset: offset, Size: t.size(),
		})
	}
}

// handleInstallSnapshotReply continues after the bytes that a member acknowledged, or goes back to them if a
// chunk was lost or the member restarted.
func (r *Replica) handleInstallSnapshotReply(m Message) {
	p := r.recordReply(m)
	if p == nil || p.snapshotTransfer == nil || p.snapshotTransfer.snapshot.Index != m.Index || m.Offset > p.snapshotTransfer.size() {
		return
	}
	t := p.snapshotTransfer
	switch {
	case m.Offset > t.ackedBytes:
		t.ackedBytes, t.nextOffset, t.lastProgressAt = m.Offset, max(t.nextOffset, m.Offset), r.now
	case m.Reject && m.Offset < t.ackedBytes:
		t.resume(r.now, m.Offset)
	case r.now-t.lastProgressAt >= stalledHeartbeats*r.timing.HeartbeatInterval:
		t.resume(r.now, t.ackedBytes)
	}
}

// compactionLimit returns the index up to which the log may be compacted without cutting off a member that is
// receiving a snapshot: it will need the entries after that snapshot from the log.
func (r *Replica) compactionLimit(index uint64) uint64 {
	if r.role != leader {
		return index
	}
	kept := index
	for _, p := range r.progress {
		if t := p.snapshotTransfer; t != nil && r.now-t.lastProgressAt < pinTimeout {
			kept = min(kept, t.snapshot.Index)
		}
	}
	bytes := 0
	for index > kept && index > r.log.baseIndex {
		if bytes += r.log.entryAt(index).Size(); bytes > maxPinnedLogBytes {
			break
		}
		index--
	}
	return index
}

// snapshotAssembly is a snapshot that a member is receiving.
type snapshotAssembly struct {
	from       NodeID
	term       uint64 // of the leader that sends it
	size       uint64
	snapshot   Snapshot // State holds the bytes received without a gap
	outOfOrder []chunk  // received ahead of others, at most maxUnackedChunks
}

// chunk is a range of bytes of a state.
type chunk struct {
	offset uint64
	data   []byte
}

// accepts reports whether a message carries a chunk of this snapshot.
func (a *snapshotAssembly) accepts(m Message) bool {
	return a != nil && a.from == m.From && a.term == m.Term && a.size == m.Size &&
		a.snapshot.Index == m.Snapshot.Index && a.snapshot.Term == m.Snapshot.Term
}

func (a *snapshotAssembly) receivedBytes() uint64 { return uint64(len(a.snapshot.State)) }

// addChunk adds a chunk, and those received earlier that now follow without a gap.
func (a *snapshotAssembly) addChunk(p chunk) {
	if p.offset+uint64(len(p.data)) > a.size {
		return
	}
	if p.offset > a.receivedBytes() {
		if len(a.outOfOrder) < maxUnackedChunks {
			a.outOfOrder = append(a.outOfOrder, p)
		}
		return
	}
	a.appendChunk(p)
	for i := 0; i < len(a.outOfOrder); i++ {
		if early := a.outOfOrder[i]; early.offset <= a.receivedBytes() {
			a.appendChunk(early)
			a.outOfOrder = append(a.outOfOrder[:i:i], a.outOfOrder[i+1:]...)
			i = -1 // chunks that were skipped may follow now
		}
	}
}

// appendChunk appends the new bytes of a chunk that leaves no gap.
func (a *snapshotAssembly) appendChunk(p chunk) {
	if known := a.receivedBytes() - p.offset; known < uint64(len(p.data)) {
		a.snapshot.State = append(a.snapshot.State, p.data[known:]...)
	}
}

// assembleSnapshot adds a chunk and returns the snapshot once it is complete; until then it replies how many
// bytes it holds. A leader whose chunk is not the first learns from the reply if this node knows nothing of
// the ones before.
func (r *Replica) assembleSnapshot(m Message) (Snapshot, bool) {
	unknown := !r.snapshotAssembly.accepts(m)
	if unknown {
		r.snapshotAssembly = &snapshotAssembly{from: m.From, term: m.Term, size: m.Size, snapshot: *m.Snapshot}
		r.snapshotAssembly.snapshot.State = nil
	}
	a := r.snapshotAssembly
	a.addChunk(chunk{m.Offset, m.Snapshot.State})
	if a.receivedBytes() < a.size {
		r.replyToLeader(m, Message{Kind: InstallSnapshotReply, Index: m.Index, Offset: a.receivedBytes(), Reject: unknown && m.Offset > 0})
		return Snapshot{}, false
	}
	r.snapshotAssembly = nil
	return a.snapshot, true
}
