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
