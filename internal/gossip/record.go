package gossip

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Kind is the subject of a record. This package does not interpret it.
type Kind uint8

// FirstOrdinaryKind is the first kind without priority. Records of lower kinds are sent before
// all others, in the order of their kinds.
const FirstOrdinaryKind Kind = 16

// Limits of the records. They bound the memory, and a node that sends false records harms only
// the records under the names it uses.
const (
	MaxOrigin           = 48      // bytes of a name
	MaxValue            = 4 << 10 // bytes of a value
	MaxRecords          = 1 << 13 // stored records
	maxRecordsPerOrigin = 64      // stored records of one origin
)

// Record is what a node publishes under its name for one kind. Of two records with the same
// origin and kind one supersedes the other. That order is total, so nodes that have received
// the same records hold the same.
type Record struct {
	_           struct{} `cbor:",toarray"`
	Kind        Kind
	Origin      string
	Incarnation uint32 // of the origin; raised when the origin learns of a later incarnation of its name
	Sequence    uint32 // of the record within the incarnation
	Value       []byte
}

// Supersedes reports whether r replaces o, a record of the same origin and kind. Two runs under
// one name may publish different values under the same numbers; then the higher bytes win.
func (r *Record) Supersedes(o *Record) bool {
	return cmp.Or(r.compareVersion(o), bytes.Compare(r.Value, o.Value)) > 0
}

// compareVersion compares incarnation and sequence, without the values.
func (r *Record) compareVersion(o *Record) int {
	return cmp.Or(cmp.Compare(r.Incarnation, o.Incarnation), cmp.Compare(r.Sequence, o.Sequence))
}

type key struct {
	origin string
	kind   Kind
}

func (r *Record) key() key { return key{r.Origin, r.Kind} }

// ErrLimit is returned for a record that exceeds a limit.
var ErrLimit = errors.New("record over a limit")

func (r *Record) check() error {
	switch {
	case r.Origin == "" || len(r.Origin) > MaxOrigin:
		return fmt.Errorf("%w: origin of %d bytes", ErrLimit, len(r.Origin))
	case len(r.Value) > MaxValue:
		return fmt.Errorf("%w: value of %d bytes", ErrLimit, len(r.Value))
	}
	return nil
}

// bucketCount is the number of buckets whose sums two nodes compare.
const bucketCount = 16

// storedRecord is a record and how often it was sent since it arrived.
type storedRecord struct {
	Record
	sentCount int
	queued    bool // contained in Records.recent
	nextPiece int  // the next piece of a long value to send
	bucket    int
	hash      uint64
}

// Records holds the merged records. The zero value is empty.
type Records struct {
	records       map[key]*storedRecord
	countByOrigin map[string]int // records by origin
	bucketSums    [bucketCount]uint64
	recent        []*storedRecord // changed records that were sent fewer times than required
}

// Len returns the number of records.
func (s *Records) Len() int { return len(s.records) }

// Get returns the record of an origin and a kind.
func (s *Records) Get(kind Kind, origin string) (Record, bool) {
	if stored := s.records[key{origin, kind}]; stored != nil {
		return stored.Record, true
	}
	return Record{}, false
}

// Merge stores a record and reports whether it replaced the stored one. It keeps the value.
func (s *Records) Merge(r Record) (bool, error) {
	if err := r.check(); err != nil {
		return false, err
	}
	if s.records == nil {
		s.records, s.countByOrigin = map[key]*storedRecord{}, map[string]int{}
	}
	stored := s.records[r.key()]
	switch {
	case stored != nil && !r.Supersedes(&stored.Record):
		return false, nil
	case stored == nil && (len(s.records) >= MaxRecords || s.countByOrigin[r.Origin] >= maxRecordsPerOrigin):
		return false, fmt.Errorf("%w: %d records, %d of origin %s", ErrLimit, len(s.records), s.countByOrigin[r.Origin], r.Origin)
	case stored == nil:
		stored = &storedRecord{bucket: int(xxhash.Sum64String(string(rune(r.Kind))+r.Origin) % bucketCount)}
		s.records[r.key()] = stored
		s.countByOrigin[r.Origin]++
	}
	if stored.hash != 0 {
		s.bucketSums[stored.bucket] -= stored.hash
	}
	if !stored.queued {
		s.recent, stored.queued = append(s.recent, stored), true
	}
	text, err := encMode.Marshal(r)
	if err != nil {
		return false, err
	}
	stored.Record, stored.sentCount, stored.nextPiece, stored.hash = r, 0, 0, xxhash.Sum64(text)|1
	s.bucketSums[stored.bucket] += stored.hash
	return true, nil
}

// The encoding of everything that is sent. It is canonical, so that equal records have equal
// bytes, and limited, so that no datagram causes larger allocations than its size justifies.
var (
	encMode = must(cbor.CanonicalEncOptions().EncMode())
	decMode = must(cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: MaxValue / 2,
		IndefLength: cbor.IndefLengthForbidden}.DecMode())
)

// Encode encodes a value canonically: equal values have equal bytes.
func Encode(v any) ([]byte, error) { return encMode.Marshal(v) }

// Decode decodes the output of Encode. The input may come from an untrusted sender.
func Decode(text []byte, v any) error { return decMode.Unmarshal(text, v) }

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return v
}
