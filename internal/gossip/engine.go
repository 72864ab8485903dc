// Package gossip carries small records between the nodes of a fleet, in datagrams that may be
// lost, so that all come to hold the same. Talk decides what is said and is pure: time and
// randomness are handed in. A Transport carries it. It must not know what a record means.
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
	protocolVersion  = 1 // of a datagram's form; another's is not read
	pieceBytes       = 128
	maxPartials      = 64              // values of which pieces have come, not all
	digestInterval   = 2 * time.Second // the sums are told to one or another
	noteReserveBytes = 160             // bytes of the budget that are kept for notes
	maxOwedPeers     = 1 << 12         // that are owed records
)

// What an entry of a datagram is. One of another form is skipped by its length.
const (
	formRecord = 1
	formPiece  = 2
	formDigest = 3
)

// FormNote is the form of the first of the entries that are not records: who sends them reads
// them, Talk hands them on. Forms from it on are theirs.
const FirstNoteForm = 64

// Note is an entry that is told to one peer once, ahead of all records.
type Note struct {
	Form    uint8
	Payload []byte
}

// entry is a part of a datagram: its form, and bytes that only who knows the form reads.
type entry struct {
	_    struct{} `cbor:",toarray"`
	Form uint8
	Text []byte
}

// piece is a part of a record whose value does not fit a datagram.
type piece struct {
	_      struct{} `cbor:",toarray"`
	Of     Record   // without its value
	Length uint16
	Sum    uint32
	At     uint16
	Part   []byte
}

// partial is a value of which some pieces have come.
type partial struct {
	Record
	sum       uint32
	pieces    [][]byte
	missing   int
	updatedAt time.Duration
}

// Counts tell what has been said and what could not be used.
type Counts struct {
	DatagramsSent      int
	DatagramsReceived  int
	BytesSent          int
	Malformed          int // datagrams or entries that can't be read
	Unknown            int // entries of forms, datagrams of versions that are not known
	Rejected           int // records over a bound
	ChecksumMismatches int // values whose pieces don't fit their checksum
}

// Talk is what one node says and has heard. It is not safe for concurrent use.
type Engine struct {
	Records
	Counts       Counts
	self         string
	incarnation  uint32
	budget       float64 // bytes a second,
	tokens       float64 // and what may be sent now
	refilledAt   time.Duration
	maxSends     int // times that news is told
	partials     map[key]*partial
	owedBuckets  map[string]uint16 // buckets that a peer holds differently
	nextOwed     int               // which record goes first to one who is owed some
	digestSentAt time.Duration     // when the sums were last told
}

// NewTalk returns the talk of the node of a name, which may send so many bytes a second. The
// incarnation is 1, or one over that of its last life where it is known.
func NewEngine(self string, incarnation uint32, budget float64) *Engine {
	t := &Engine{self: self, incarnation: max(incarnation, 1), budget: budget, tokens: MaxDatagram,
		partials: map[key]*partial{}, owedBuckets: map[string]uint16{}, digestSentAt: -digestInterval}
	t.SetFleetSize(1)
	return t
}

// Incarnation is that of this node, now.
func (t *Engine) Incarnation() uint32 { return t.incarnation }

// Fleet tells how many nodes there are: news is told the more often the more there are.
func (t *Engine) SetFleetSize(nodes int) {
	t.maxSends = int(math.Ceil(2 * math.Log2(float64(nodes)+1)))
}

// Put says something on a subject, in place of what this node has said on it.
func (t *Engine) Publish(kind Kind, value []byte) error {
	r := Record{Kind: kind, Origin: t.self, Incarnation: t.incarnation, Sequence: 1, Value: bytes.Clone(value)}
	if h, ok := t.Get(kind, t.self); ok {
		if bytes.Equal(h.Value, value) && h.Incarnation == t.incarnation {
			return nil
		}
		r.Sequence = h.Sequence + 1
	}
	_, err := t.Merge(r)
	return err
}

// Heard takes a datagram from a peer and returns the records that hold from now on, and the
// notes to this node. They are in the order in which they came.
func (t *Engine) HandleDatagram(now time.Duration, from string, datagram []byte) (news []Record, notes []Note) {
	t.Counts.DatagramsReceived++
	if len(datagram) > MaxDatagram {
		t.Counts.Malformed++
		return nil, nil
	}
	var v uint8
	rest, err := decMode.UnmarshalFirst(datagram, &v)
	if err != nil {
		t.Counts.Malformed++
		return nil, nil
	}
	if v != protocolVersion {
		t.Counts.Unknown++
		return nil, nil
	}
	for len(rest) > 0 {
		var e entry
		if rest, err = decMode.UnmarshalFirst(rest, &e); err != nil {
			t.Counts.Malformed++
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
				r = t.addPiece(now, &p)
			}
		case formDigest:
			var bucketSums []byte
			if err = decMode.Unmarshal(e.Text, &bucketSums); err == nil {
				t.compareDigest(from, bucketSums)
			}
		default:
			if e.Form >= FirstNoteForm {
				notes = append(notes, Note{e.Form, e.Text})
			} else {
				t.Counts.Unknown++
			}
		}
		if err != nil {
			t.Counts.Malformed++
		}
		if r != nil && t.mergeReceived(*r) {
			news = append(news, *r)
		}
	}
	return news, notes
}

// Raise takes on a later incarnation, and says all again in it.
func (t *Engine) RaiseIncarnation(incarnation uint32) {
	if incarnation <= t.incarnation {
		return
	}
	t.incarnation = incarnation
	for k, h := range t.records { // in any order: each stands for itself
		if k.origin == t.self {
			again := h.Record
			again.Incarnation = t.incarnation
			t.Merge(again)
		}
	}
}

// take merges a record that came. One of this node itself, of an earlier life or of another
// node under its name, that holds against its own is answered by a new incarnation.
func (t *Engine) mergeReceived(r Record) bool {
	if r.Origin == t.self && r.Incarnation >= t.incarnation {
		own, ok := t.Get(r.Kind, t.self)
		if ok && !r.Supersedes(&own) {
			return false
		}
		if r.Incarnation == math.MaxUint32 {
			t.Counts.Rejected++ // a lie: no life comes after it
			return false
		}
		t.RaiseIncarnation(r.Incarnation + 1)
	}
	held, err := t.Merge(r)
	if err != nil {
		t.Counts.Rejected++
	}
	return held
}

// piece takes a part of a value and returns the record once it is whole.
func (t *Engine) addPiece(now time.Duration, p *piece) *Record {
	count := (int(p.Length) + pieceBytes - 1) / pieceBytes
	i := int(p.At) / pieceBytes
	if p.Of.check() != nil || p.Length > MaxValue || int(p.At)%pieceBytes != 0 || i >= count ||
		len(p.Part) != min(pieceBytes, int(p.Length)-int(p.At)) {
		t.Counts.Malformed++
		return nil
	}
	k := p.Of.key()
	if h := t.records[k]; h != nil && p.Of.compareVersion(&h.Record) < 0 {
		return nil
	}
	q := t.partials[k]
	if q == nil || p.Of.compareVersion(&q.Record) != 0 || q.sum != p.Sum || len(q.pieces) != count {
		if q != nil && p.Of.compareVersion(&q.Record) < 0 {
			return nil
		}
		q = &partial{Record: p.Of, sum: p.Sum, pieces: make([][]byte, count), missing: count}
		if len(t.partials) >= maxPartials {
			t.evictOldestPartial()
		}
		t.partials[k] = q
	}
	q.updatedAt = now
	if q.pieces[i] == nil {
		q.pieces[i] = p.Part
		q.missing--
	}
	if q.missing > 0 {
		return nil
	}
	delete(t.partials, k)
	r := q.Record
	if r.Value = bytes.Join(q.pieces, nil); crc32.ChecksumIEEE(r.Value) != q.sum {
		t.Counts.ChecksumMismatches++
		return nil
	}
	return &r
}

// forgetPartial drops the value whose last piece came longest ago; its pieces are told again.
func (t *Engine) evictOldestPartial() {
	var oldest key
	first := true
	for k, q := range t.partials {
		if o := t.partials[oldest]; first || q.updatedAt < o.updatedAt || q.updatedAt == o.updatedAt && k.origin < oldest.origin {
			oldest, first = k, false
		}
	}
	delete(t.partials, oldest)
}

// compare takes a peer's sums: what it holds differently it is owed, and whoever lacks what
// it has is owed that in turn once it hears our sums.
func (t *Engine) compareDigest(from string, bucketSums []byte) {
	if len(bucketSums) != 8*bucketCount {
		t.Counts.Malformed++
		return
	}
	differ := uint16(0)
	for i := range t.bucketSums {
		if binary.BigEndian.Uint64(bucketSums[8*i:]) != t.bucketSums[i] {
			differ |= 1 << i
		}
	}
	if differ != 0 && (len(t.owedBuckets) < maxOwedPeers || t.owedBuckets[from] != 0) {
		t.owedBuckets[from] |= differ
	} else if differ == 0 {
		delete(t.owedBuckets, from)
	}
}

// Next returns what a peer is told now, the notes first; nil where there is nothing to say or
// no room for it within the budget: in any time at most that many bytes are sent, and one
// second's more. Notes for which there is no room are lost.
func (t *Engine) DatagramsFor(now time.Duration, to string, notes ...Note) [][]byte {
	t.tokens = min(t.tokens+t.budget*max(now-t.refilledAt, 0).Seconds(), max(t.budget, MaxDatagram))
	t.refilledAt = max(now, t.refilledAt)
	var out [][]byte
	text := []byte{protocolVersion}
	flush := func() {
		if len(text) > 1 {
			out = append(out, text)
			t.tokens -= float64(len(text))
			t.Counts.DatagramsSent++
			t.Counts.BytesSent += len(text)
		}
		text = []byte{protocolVersion}
	}
	// add puts an entry into the datagram, or into the next one; false where there is no room.
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
			return err == nil // nothing of ours is that long
		}
		if len(text)+len(e) > MaxDatagram {
			flush()
		}
		reserved := noteReserveBytes
		if form >= FirstNoteForm {
			reserved = 0
		}
		if t.tokens < float64(len(text)+len(e)+reserved) {
			return false
		}
		text = append(text, e...)
		return true
	}
	// tell puts a record, or the pieces of it that are next; false where there is no room.
	addRecord := func(h *storedRecord) bool {
		if len(h.Value) <= pieceBytes {
			return addEntry(formRecord, h.Record)
		}
		sum, count := crc32.ChecksumIEEE(h.Value), (len(h.Value)+pieceBytes-1)/pieceBytes
		for range count {
			at := h.nextPiece % count * pieceBytes
			p := piece{Of: h.Record, Length: uint16(len(h.Value)), Sum: sum, At: uint16(at),
				Part: h.Value[at:min(at+pieceBytes, len(h.Value))]}
			p.Of.Value = nil
			if !addEntry(formPiece, p) {
				return false
			}
			if h.nextPiece++; h.nextPiece%count == 0 {
				break
			}
		}
		return true
	}
	for _, n := range notes {
		addEntry(n.Form, n.Payload)
	}
	slices.SortStableFunc(t.recent, func(a, b *storedRecord) int {
		return cmp.Or(cmp.Compare(min(a.Kind, FirstOrdinaryKind), min(b.Kind, FirstOrdinaryKind)), cmp.Compare(a.sentCount, b.sentCount), cmp.Compare(a.Kind, b.Kind))
	})
	t.recent = slices.DeleteFunc(t.recent, func(h *storedRecord) bool {
		h.queued = h.sentCount < t.maxSends
		return !h.queued
	})
	full := false
	for _, h := range t.recent {
		if full = !addRecord(h); full {
			break
		}
		h.sentCount++
	}
	if owedBuckets := t.owedBuckets[to]; owedBuckets != 0 && !full {
		all := t.sortedRecords()
		from := t.nextOwed // where there is no room for all, the rest comes first the next time
		for i := range all {
			h := all[(from+i)%len(all)]
			if owedBuckets&(1<<h.bucket) == 0 {
				continue
			}
			if full = !addRecord(h); full {
				t.nextOwed = (from + i) % len(all)
				break
			}
		}
		delete(t.owedBuckets, to) // the next sums tell what is missing yet
	}
	if !full && now-t.digestSentAt >= digestInterval {
		bucketSums := make([]byte, 0, 8*bucketCount)
		for _, s := range t.bucketSums {
			bucketSums = binary.BigEndian.AppendUint64(bucketSums, s)
		}
		if addEntry(formDigest, bucketSums) {
			t.digestSentAt = now
		}
	}
	flush()
	return out
}

// sorted returns all that is held in a fixed order.
func (t *Engine) sortedRecords() []*storedRecord {
	all := make([]*storedRecord, 0, len(t.records))
	for _, h := range t.records {
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b *storedRecord) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Origin, b.Origin))
	})
	return all
}
