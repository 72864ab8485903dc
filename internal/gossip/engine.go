// Package gossip spreads small records between the nodes of a fleet over datagrams that may be
// lost, so that all nodes come to hold the same records. Engine decides what is sent; it is
// pure: time and randomness are passed in. A Transport carries the datagrams. The package must
// not know what a record means.
package gossip

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
	"time"
)

const (
	protocolVersion  = 1 // of the datagram format; datagrams of other versions are ignored
	pieceBytes       = 128
	maxPartials      = 64              // values that have been received in part
	digestInterval   = 2 * time.Second // how often the bucket sums are sent to some peer
	noteReserveBytes = 160             // bytes of the budget that only notes may use
	maxOwedPeers     = 1 << 12         // peers for which owed records are remembered
)

// The forms of an entry of a datagram. An entry of an unknown form is skipped by its length.
const (
	formRecord = 1
	formPiece  = 2
	formDigest = 3
)

// FirstNoteForm is the lowest form of entries that are not records. Engine hands these on
// unread; their senders define them.
const FirstNoteForm = 64

// Note is an entry that is sent once to one peer, ahead of all records.
type Note struct {
	Form    uint8
	Payload []byte
}

// entry is a part of a datagram: its form, and bytes to be read according to the form.
type entry struct {
	_    struct{} `cbor:",toarray"`
	Form uint8
	Text []byte
}

// piece is a part of a record whose value does not fit into one datagram: the record Of with
// an empty value, the length and CRC-32 of the whole value, and the bytes Part from offset At.
type piece struct {
	_      struct{} `cbor:",toarray"`
	Of     Record   // without its value
	Length uint16
	Sum    uint32
	At     uint16
	Part   []byte
}

// partial is a value of which some pieces have been received.
type partial struct {
	Record
	sum       uint32
	pieces    [][]byte
	missing   int
	updatedAt time.Duration
}

// Counts are the counts of traffic and of input that could not be used.
type Counts struct {
	DatagramsSent      int
	DatagramsReceived  int
	BytesSent          int
	Malformed          int // datagrams or entries that cannot be decoded
	Unknown            int // entries of unknown forms and datagrams of unknown versions
	Rejected           int // records over a limit
	ChecksumMismatches int // values whose pieces do not match their checksum
}

// Engine is one node's gossip state. It is not safe for concurrent use.
type Engine struct {
	Records
	Counts       Counts
	self         string
	incarnation  uint32
	budget       float64 // bytes per second
	tokens       float64 // bytes that may be sent now
	refilledAt   time.Duration
	maxSends     int // how often a changed record is sent
	partials     map[key]*partial
	owedBuckets  map[string]uint16 // bit set of the buckets that differ at a peer
	nextOwed     int               // index of the record to start with for owed buckets
	digestSentAt time.Duration     // when the bucket sums were last sent
}

// NewEngine returns the engine of the named node with a budget in bytes per second. The
// incarnation is 1, or one more than that of the node's previous run if that is known.
func NewEngine(self string, incarnation uint32, budget float64) *Engine {
	g := &Engine{self: self, incarnation: max(incarnation, 1), budget: budget, tokens: MaxDatagram,
		partials: map[key]*partial{}, owedBuckets: map[string]uint16{}, digestSentAt: -digestInterval}
	g.SetFleetSize(1)
	return g
}

// Incarnation returns the current incarnation of this node.
func (g *Engine) Incarnation() uint32 { return g.incarnation }

// SetFleetSize sets the number of nodes. Changed records are sent more often in a larger fleet.
func (g *Engine) SetFleetSize(nodes int) {
	g.maxSends = int(math.Ceil(2 * math.Log2(float64(nodes)+1)))
}

// Publish sets this node's record of a kind and replaces the previous one.
func (g *Engine) Publish(kind Kind, value []byte) error {
	r := Record{Kind: kind, Origin: g.self, Incarnation: g.incarnation, Sequence: 1, Value: bytes.Clone(value)}
	if stored, ok := g.Get(kind, g.self); ok {
		if bytes.Equal(stored.Value, value) && stored.Incarnation == g.incarnation {
			return nil
		}
		r.Sequence = stored.Sequence + 1
	}
	_, err := g.Merge(r)
	return err
}

// HandleDatagram handles a datagram from a peer. It returns the records that replaced older
// ones and the notes to this node, in the order of the datagram.
func (g *Engine) HandleDatagram(now time.Duration, from string, datagram []byte) (news []Record, notes []Note) {
	g.Counts.DatagramsReceived++
	if len(datagram) > MaxDatagram {
		g.Counts.Malformed++
		return nil, nil
	}
	var v uint8
	rest, err := decMode.UnmarshalFirst(datagram, &v)
	if err != nil {
		g.Counts.Malformed++
		return nil, nil
	}
	if v != protocolVersion {
		g.Counts.Unknown++
		return nil, nil
	}
	for len(rest) > 0 {
		var e entry
		if rest, err = decMode.UnmarshalFirst(rest, &e); err != nil {
			g.Counts.Malformed++
			return news, notes
		}
		var r *Record
		switch e.Form {
		case formRecord:
			r = &Record{}
			if err = decMode.Unmarshal(e.Text, r); err != nil {
				r = nil
			}
		case formPiece:
			var p piece
			if err = decMode.Unmarshal(e.Text, &p); err == nil {
				r = g.addPiece(now, &p)
			}
		case formDigest:
			var bucketSums []byte
			if err = decMode.Unmarshal(e.Text, &bucketSums); err == nil {
				g.compareDigest(from, bucketSums)
			}
		default:
			if e.Form >= FirstNoteForm {
				notes = append(notes, Note{e.Form, e.Text})
			} else {
				g.Counts.Unknown++
			}
		}
		if err != nil {
			g.Counts.Malformed++
		}
		if r != nil && g.mergeReceived(*r) {
			news = append(news, *r)
		}
	}
	return news, notes
}

// RaiseIncarnation adopts a higher incarnation and publishes all records of this node again in it.
func (g *Engine) RaiseIncarnation(incarnation uint32) {
	if incarnation <= g.incarnation {
		return
	}
	g.incarnation = incarnation
	for k, stored := range g.records { // the order does not matter: the records are independent
		if k.origin == g.self {
			again := stored.Record
			again.Incarnation = g.incarnation
			g.Merge(again)
		}
	}
}

// mergeReceived merges a received record. A record under this node's name that supersedes its
// own comes from a previous run or from another node with the same name; this node answers it
// with a higher incarnation.
func (g *Engine) mergeReceived(r Record) bool {
	if r.Origin == g.self && r.Incarnation >= g.incarnation {
		own, ok := g.Get(r.Kind, g.self)
		if ok && !r.Supersedes(&own) {
			return false
		}
		if r.Incarnation == math.MaxUint32 {
			g.Counts.Rejected++ // forged: no incarnation could follow it
			return false
		}
		g.RaiseIncarnation(r.Incarnation + 1)
	}
	held, err := g.Merge(r)
	if err != nil {
		g.Counts.Rejected++
	}
	return held
}

// addPiece stores a piece and returns the record once its value is complete.
func (g *Engine) addPiece(now time.Duration, p *piece) *Record {
	count := (int(p.Length) + pieceBytes - 1) / pieceBytes
	i := int(p.At) / pieceBytes
	if p.Of.check() != nil || p.Length > MaxValue || int(p.At)%pieceBytes != 0 || i >= count ||
		len(p.Part) != min(pieceBytes, int(p.Length)-int(p.At)) {
		g.Counts.Malformed++
		return nil
	}
	k := p.Of.key()
	if stored := g.records[k]; stored != nil && p.Of.compareVersion(&stored.Record) < 0 {
		return nil
	}
	pending := g.partials[k]
	if pending == nil || p.Of.compareVersion(&pending.Record) != 0 || pending.sum != p.Sum || len(pending.pieces) != count {
		if pending != nil && p.Of.compareVersion(&pending.Record) < 0 {
			return nil
		}
		pending = &partial{Record: p.Of, sum: p.Sum, pieces: make([][]byte, count), missing: count}
		if len(g.partials) >= maxPartials {
			g.evictOldestPartial()
		}
		g.partials[k] = pending
	}
	pending.updatedAt = now
	if pending.pieces[i] == nil {
		pending.pieces[i] = p.Part
		pending.missing--
	}
	if pending.missing > 0 {
		return nil
	}
	delete(g.partials, k)
	r := pending.Record
	if r.Value = bytes.Join(pending.pieces, nil); crc32.ChecksumIEEE(r.Value) != pending.sum {
		g.Counts.ChecksumMismatches++
		return nil
	}
	return &r
}

// evictOldestPartial drops the value whose latest piece is the oldest; its pieces are sent again.
func (g *Engine) evictOldestPartial() {
	var oldest key
	first := true
	for k, pending := range g.partials {
		if o := g.partials[oldest]; first || pending.updatedAt < o.updatedAt || pending.updatedAt == o.updatedAt && k.origin < oldest.origin {
			oldest, first = k, false
		}
	}
	delete(g.partials, oldest)
}

// compareDigest compares a peer's bucket sums with this node's. Records of the buckets that
// differ are owed to the peer. The peer does the same when it receives this node's sums.
func (g *Engine) compareDigest(from string, bucketSums []byte) {
	if len(bucketSums) != 8*bucketCount {
		g.Counts.Malformed++
		return
	}
	differ := uint16(0)
	for i := range g.bucketSums {
		if binary.BigEndian.Uint64(bucketSums[8*i:]) != g.bucketSums[i] {
			differ |= 1 << i
		}
	}
	if differ != 0 && (len(g.owedBuckets) < maxOwedPeers || g.owedBuckets[from] != 0) {
		g.owedBuckets[from] |= differ
	} else if differ == 0 {
		delete(g.owedBuckets, from)
	}
}

// DatagramsFor returns the datagrams to send to a peer now, the notes first. It returns nil
// when there is nothing to send or no budget left: in any period at most the budget of that
// period and of one more second is sent. Notes that exceed the budget are dropped.
func (g *Engine) DatagramsFor(now time.Duration, to string, notes ...Note) [][]byte {
	g.tokens = min(g.tokens+g.budget*max(now-g.refilledAt, 0).Seconds(), max(g.budget, MaxDatagram))
	g.refilledAt = max(now, g.refilledAt)
	var out [][]byte
	datagram := []byte{protocolVersion}
	flush := func() {
		if len(datagram) > 1 {
			out = append(out, datagram)
			g.tokens -= float64(len(datagram))
			g.Counts.DatagramsSent++
			g.Counts.BytesSent += len(datagram)
		}
		datagram = []byte{protocolVersion}
	}
	// addEntry adds an entry to this datagram or to the next one; false when the budget is used up.
	addEntry := func(form uint8, v any) bool {
		e, raw := v.([]byte)
		var err error
		if !raw || form < FirstNoteForm {
			e, err = encMode.Marshal(v)
		}
		if err == nil {
			e, err = encMode.Marshal(entry{Form: form, Text: e})
		}
		if err != nil || 1+len(e) > MaxDatagram {
			return err == nil // no entry of this program is that long
		}
		if len(datagram)+len(e) > MaxDatagram {
			flush()
		}
		reserved := noteReserveBytes
		if form >= FirstNoteForm {
			reserved = 0
		}
		if g.tokens < float64(len(datagram)+len(e)+reserved) {
			return false
		}
		datagram = append(datagram, e...)
		return true
	}
	// addRecord adds a record or its next pieces; false when the budget is used up.
	addRecord := func(stored *storedRecord) bool {
		if len(stored.Value) <= pieceBytes {
			return addEntry(formRecord, stored.Record)
		}
		sum, count := crc32.ChecksumIEEE(stored.Value), (len(stored.Value)+pieceBytes-1)/pieceBytes
		for range count {
			at := stored.nextPiece % count * pieceBytes
			p := piece{Of: stored.Record, Length: uint16(len(stored.Value)), Sum: sum, At: uint16(at),
				Part: stored.Value[at:min(at+pieceBytes, len(stored.Value))]}
			p.Of.Value = nil
			if !addEntry(formPiece, p) {
				return false
			}
			if stored.nextPiece++; stored.nextPiece%count == 0 {
				break
			}
		}
		return true
	}
	for _, n := range notes {
		addEntry(n.Form, n.Payload)
	}
	slices.SortStableFunc(g.recent, func(a, b *storedRecord) int {
		return cmp.Or(cmp.Compare(min(a.Kind, FirstOrdinaryKind), min(b.Kind, FirstOrdinaryKind)), cmp.Compare(a.sentCount, b.sentCount), cmp.Compare(a.Kind, b.Kind))
	})
	g.recent = slices.DeleteFunc(g.recent, func(stored *storedRecord) bool {
		stored.queued = stored.sentCount < g.maxSends
		return !stored.queued
	})
	full := false
	for _, stored := range g.recent {
		if full = !addRecord(stored); full {
			break
		}
		stored.sentCount++
	}
	if owedBuckets := g.owedBuckets[to]; owedBuckets != 0 && !full {
		all := g.sortedRecords()
		from := g.nextOwed // when the budget does not suffice for all, the rest is sent first the next time
		for i := range all {
			stored := all[(from+i)%len(all)]
			if owedBuckets&(1<<stored.bucket) == 0 {
				continue
			}
			if full = !addRecord(stored); full {
				g.nextOwed = (from + i) % len(all)
				break
			}
		}
		delete(g.owedBuckets, to) // the next digest shows what is still missing
	}
	if !full && now-g.digestSentAt >= digestInterval {
		bucketSums := make([]byte, 0, 8*bucketCount)
		for _, s := range g.bucketSums {
			bucketSums = binary.BigEndian.AppendUint64(bucketSums, s)
		}
		if addEntry(formDigest, bucketSums) {
			g.digestSentAt = now
		}
	}
	flush()
	return out
}

// sortedRecords returns all stored records in a fixed order.
func (g *Engine) sortedRecords() []*storedRecord {
	all := make([]*storedRecord, 0, len(g.records))
	for _, stored := range g.records {
		all = append(all, stored)
	}
	slices.SortFunc(all, func(a, b *storedRecord) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Origin, b.Origin))
	})
	return all
}
