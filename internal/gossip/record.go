package gossip

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Kind is a subject of talk. This package knows none of them.
type Kind uint8

// Urgent is the first kind that waits for all below it, which are told in their order.
const FirstOrdinaryKind Kind = 16

// Bounds of what a record may hold, so that memory is bounded and a lie harms only its origin.
const (
	MaxOrigin           = 48      // bytes of a name
	MaxValue            = 4 << 10 // bytes of a value
	MaxRecords          = 1 << 13 // in all
	maxRecordsPerOrigin = 64      // of one origin
)

// Record is what a node of a name says on a subject. Of two on one subject by one name the
// later one holds; that is a total order, so whoever has heard the same records holds the same.
type Record struct {
	_           struct{} `cbor:",toarray"`
	Kind        Kind
	Origin      string
	Incarnation uint32 // of the origin: raised when it hears of a later life of itself
	Sequence    uint32 // of the record within it
	Value       []byte
}

// Later tells whether a record holds against another on its subject by its name. Two lives
// under one name may say different things under one number: then the higher bytes hold.
func (r *Record) Supersedes(o *Record) bool {
	return cmp.Or(r.compareVersion(o), bytes.Compare(r.Value, o.Value)) > 0
}

// order compares what two records are numbered by, whatever they say.
func (r *Record) compareVersion(o *Record) int {
	return cmp.Or(cmp.Compare(r.Incarnation, o.Incarnation), cmp.Compare(r.Sequence, o.Sequence))
}

type key struct {
	origin string
	kind   Kind
}

func (r *Record) key() key { return key{r.Origin, r.Kind} }

// ErrBounds refuses a record over a bound.
var ErrLimit = errors.New("over a bound")

func (r *Record) check() error {
	switch {
	case r.Origin == "" || len(r.Origin) > MaxOrigin:
		return fmt.Errorf("%w: a name of %d bytes", ErrLimit, len(r.Origin))
	case len(r.Value) > MaxValue:
		return fmt.Errorf("%w: a value of %d bytes", ErrLimit, len(r.Value))
	}
	return nil
}

// buckets are the parts in which two nodes compare what they hold.
const bucketCount = 16

// held is a record with how often it was told since it came.
type storedRecord struct {
	Record
	sentCount int
	queued    bool // among those told lately
	nextPiece int  // of a long value: which is told next
	bucket    int
	hash      uint64
}

// Records are what has been heard, merged. The zero value is empty.
type Records struct {
	records       map[key]*storedRecord
	countByOrigin map[string]int // records by origin
	bucketSums    [bucketCount]uint64
	recent        []*storedRecord // changed, and told fewer times than is enough
}

// Len is the count of records.
func (s *Records) Len() int { return len(s.records) }

// Get returns what a name says on a subject.
func (s *Records) Get(kind Kind, origin string) (Record, bool) {
	if h := s.records[key{origin, kind}]; h != nil {
		return h.Record, true
	}
	return Record{}, false
}

// Merge takes a record and tells whether it holds against what was held. It keeps the value.
func (s *Records) Merge(r Record) (bool, error) {
	if err := r.check(); err != nil {
		return false, err
	}
	if s.records == nil {
		s.records, s.countByOrigin = map[key]*storedRecord{}, map[string]int{}
	}
	h := s.records[r.key()]
	switch {
	case h != nil && !r.Supersedes(&h.Record):
		return false, nil
	case h == nil && (len(s.records) >= MaxRecords || s.countByOrigin[r.Origin] >= maxRecordsPerOrigin):
		return false, fmt.Errorf("%w: %d records, %d of %s", ErrLimit, len(s.records), s.countByOrigin[r.Origin], r.Origin)
	case h == nil:
		h = &storedRecord{bucket: int(xxhash.Sum64String(string(rune(r.Kind))+r.Origin) % bucketCount)}
		s.records[r.key()] = h
		s.countByOrigin[r.Origin]++
	}
	if h.hash != 0 {
		s.bucketSums[h.bucket] -= h.hash
	}
	if !h.queued {
		s.recent, h.queued = append(s.recent, h), true
	}
	text, err := encMode.Marshal(r)
	if err != nil {
		return false, err
	}
	h.Record, h.sentCount, h.nextPiece, h.hash = r, 0, 0, xxhash.Sum64(text)|1
	s.bucketSums[h.bucket] += h.hash
	return true, nil
}

// The form of all that is sent: canonical, so that equal records have equal bytes; and
// bounded, so that no datagram can ask for more than it brings.
var (
	encMode = must(cbor.CanonicalEncOptions().EncMode())
	decMode = must(cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: MaxValue / 2,
		IndefLength: cbor.IndefLengthForbidden}.DecMode())
)

// Encode puts a value into the form of all that is sent. Equal values have equal bytes.
func Encode(v any) ([]byte, error) { return encMode.Marshal(v) }

// Decode reads what Encode wrote, from whoever it comes.
func Decode(text []byte, v any) error { return decMode.Unmarshal(text, v) }

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options are written above
	}
	return v
}
