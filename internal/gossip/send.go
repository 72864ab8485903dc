package gossip

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"slices"
	"time"
)

// DatagramsFor returns the datagrams to send to a peer now, the notes first. It returns nil
// when there is nothing to send or no budget left: in any period at most the budget of that
// period and of one more second is sent. Notes that exceed the budget are dropped.
func (g *Engine) DatagramsFor(now time.Duration, to string, notes ...Note) [][]byte {
	g.refillTokens(now)
	p := newPacker(g)
	for _, n := range notes {
		p.add(n.Form, n.Payload)
	}
	if g.packRecent(p) && g.packOwed(p, to) {
		g.packDigest(p, now)
	}
	p.flush()
	return p.datagrams
}

// refillTokens adds the bytes that may be sent since the last call, up to a second's or a datagram's.
func (g *Engine) refillTokens(now time.Duration) {
	added := g.budget * max(now-g.refilledAt, 0).Seconds()
	g.tokens = min(g.tokens+added, max(g.budget, MaxDatagram))
	g.refilledAt = max(now, g.refilledAt)
}

// packRecent packs the records that changed lately, those that were sent least often first. It returns
// false when the budget is used up.
func (g *Engine) packRecent(p *packer) bool {
	slices.SortStableFunc(g.recent, compareUrgency)
	g.recent = slices.DeleteFunc(g.recent, func(stored *storedRecord) bool {
		stored.queued = stored.sentCount < g.maxSends
		return !stored.queued
	})
	for _, stored := range g.recent {
		if !p.addRecord(stored) {
			return false
		}
		stored.sentCount++
	}
	return true
}

// compareUrgency orders records by the order in which they are sent.
func compareUrgency(a, b *storedRecord) int {
	return cmp.Or(
		cmp.Compare(min(a.Kind, FirstOrdinaryKind), min(b.Kind, FirstOrdinaryKind)),
		cmp.Compare(a.sentCount, b.sentCount),
		cmp.Compare(a.Kind, b.Kind),
	)
}

// packOwed packs the records in the buckets that differ at a peer. It returns false when the budget is
// used up; the records that were left out come first the next time that any are owed.
func (g *Engine) packOwed(p *packer, to string) bool {
	owedBuckets := g.owedBuckets[to]
	if owedBuckets == 0 {
		return true
	}
	delete(g.owedBuckets, to) // the next digest shows what is still missing
	all := g.sortedRecords()
	first := g.nextOwed
	for i := range all {
		index := (first + i) % len(all)
		stored := all[index]
		if owedBuckets&(1<<stored.bucket) != 0 && !p.addRecord(stored) {
			g.nextOwed = index
			return false
		}
	}
	return true
}

// packDigest packs the bucket sums if they are due.
func (g *Engine) packDigest(p *packer, now time.Duration) {
	if now-g.digestSentAt < digestInterval {
		return
	}
	bucketSums := make([]byte, 0, 8*bucketCount)
	for _, s := range g.bucketSums {
		bucketSums = binary.BigEndian.AppendUint64(bucketSums, s)
	}
	if p.add(formDigest, bucketSums) {
		g.digestSentAt = now
	}
}

// packer fills datagrams with entries, within the engine's budget.
type packer struct {
	engine    *Engine
	datagrams [][]byte // complete ones
	current   []byte
}

func newPacker(g *Engine) *packer { return &packer{engine: g, current: []byte{protocolVersion}} }

// flush completes the current datagram if it has any entry.
func (p *packer) flush() {
	if len(p.current) > 1 {
		p.datagrams = append(p.datagrams, p.current)
		p.engine.tokens -= float64(len(p.current))
		p.engine.Counts.DatagramsSent++
		p.engine.Counts.BytesSent += len(p.current)
	}
	p.current = []byte{protocolVersion}
}

// add adds an entry to the current datagram or to the next one. It returns false when the budget is
// used up.
func (p *packer) add(form uint8, value any) bool {
	encoded, err := encodeEntry(form, value)
	if err != nil || 1+len(encoded) > MaxDatagram {
		return err == nil // no entry of this program is that long
	}
	if len(p.current)+len(encoded) > MaxDatagram {
		p.flush()
	}
	reserved := noteReserveBytes
	if form >= FirstNoteForm {
		reserved = 0
	}
	if p.engine.tokens < float64(len(p.current)+len(encoded)+reserved) {
		return false
	}
	p.current = append(p.current, encoded...)
	return true
}

// encodeEntry encodes an entry. The payload of a note is taken as it is.
func encodeEntry(form uint8, value any) ([]byte, error) {
	text, raw := value.([]byte)
	if !raw || form < FirstNoteForm {
		var err error
		if text, err = encMode.Marshal(value); err != nil {
			return nil, err
		}
	}
	return encMode.Marshal(entry{Form: form, Text: text})
}

// addRecord adds a record or, if it is long, its next pieces. It returns false when the budget is used
// up.
func (p *packer) addRecord(stored *storedRecord) bool {
	if len(stored.Value) <= pieceBytes {
		return p.add(formRecord, stored.Record)
	}
	sum := crc32.ChecksumIEEE(stored.Value)
	count := (len(stored.Value) + pieceBytes - 1) / pieceBytes
	for range count {
		if !p.add(formPiece, stored.pieceAt(stored.nextPiece%count*pieceBytes, sum)) {
			return false
		}
		if stored.nextPiece++; stored.nextPiece%count == 0 {
			break
		}
	}
	return true
}

// pieceAt returns the piece of the value that begins at an offset. The sum is that of the whole value.
func (r *storedRecord) pieceAt(offset int, sum uint32) piece {
	of := r.Record
	of.Value = nil
	end := min(offset+pieceBytes, len(r.Value))
	return piece{Of: of, Length: uint16(len(r.Value)), Sum: sum, At: uint16(offset), Part: r.Value[offset:end]}
}
