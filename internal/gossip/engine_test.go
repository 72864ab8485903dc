package gossip

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// records draws records of few origins and kinds, so that many share both.
func records(t *rapid.T) []Record {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
		return Record{Kind: Kind(rapid.IntRange(0, 2).Draw(t, "kind")), Origin: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "origin"),
			Incarnation: uint32(rapid.IntRange(1, 3).Draw(t, "incarnation")), Sequence: uint32(rapid.IntRange(1, 3).Draw(t, "sequence")),
			Value: rapid.SliceOfN(rapid.Byte(), 0, 2).Draw(t, "value")}
	}), 0, 20).Draw(t, "records")
}

func merged(sets ...[]Record) *Records {
	s := &Records{}
	for _, rs := range sets {
		for _, r := range rs {
			s.Merge(r)
		}
	}
	return s
}

// same checks that two sets hold the same bytes and the same bucket sums.
func same(t assert.TestingT, want, got *Records, what string) bool {
	for k, h := range want.records {
		r, ok := got.Get(k.kind, k.origin)
		if !ok || !assert.ObjectsAreEqual(h.Record.Value, r.Value) || r.Incarnation != h.Incarnation || r.Sequence != h.Sequence {
			return assert.Fail(t, what, "%v: %v, want %v", k, r, h.Record)
		}
	}
	return assert.Equal(t, want.Len(), got.Len(), what) && assert.Equal(t, want.bucketSums, got.bucketSums, what)
}

// Guards against merges that depend on order or repetition: merging must be commutative,
// associative and idempotent.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := records(t), records(t), records(t)
		want := merged(a, b, c)
		same(t, want, merged(c, b, a), "another order of the sets")
		same(t, want, merged(a, a, b, c, b), "repeats")
		all := slices.Concat(a, b, c)
		slices.Reverse(all)
		same(t, want, merged(all), "reverse order")
		again := &Records{}
		for _, h := range want.records { // merge the result into an empty set, and then into itself
			again.Merge(h.Record)
		}
		same(t, want, again, "only the result")
		for _, h := range again.records {
			changed, err := want.Merge(h.Record)
			assert.False(t, changed)
			assert.NoError(t, err)
		}
	})
}

// fleet is a set of nodes that gossip in virtual time over a faulty network.
type fleet struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	engines  []*Engine
	loss     float64
	blocked  func(from, to int) bool
	inFlight []func() // datagrams in flight, of the last step and of earlier ones
	budget   float64
}

func newFleet(t *testing.T, nodes int, budget float64) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(uint64(nodes), 7)), budget: budget, blocked: func(int, int) bool { return false }}
	for i := range nodes {
		f.engines = append(f.engines, NewEngine(fmt.Sprint("n", i), 1, budget))
		f.engines[i].SetFleetSize(nodes)
	}
	return f
}

// step lets every node send to another one, 5 times a second. Datagrams are lost, duplicated
// and delayed by up to some steps.
func (f *fleet) step() {
	f.now += 200 * time.Millisecond
	f.rng.Shuffle(len(f.inFlight), func(i, j int) { f.inFlight[i], f.inFlight[j] = f.inFlight[j], f.inFlight[i] })
	n := len(f.inFlight) * 3 / 4
	due := f.inFlight[:n]
	f.inFlight = slices.Clone(f.inFlight[n:])
	for _, deliver := range due {
		deliver()
	}
	for i, from := range f.engines {
		to := f.rng.IntN(len(f.engines))
		if to == i {
			continue
		}
		for _, d := range from.DatagramsFor(f.now, fmt.Sprint(to)) {
			require.LessOrEqual(f.t, len(d), MaxDatagram)
			if f.blocked(i, to) || f.rng.Float64() < f.loss {
				continue
			}
			for range 1 + f.rng.IntN(2) {
				f.inFlight = append(f.inFlight, func() { f.engines[to].HandleDatagram(f.now, fmt.Sprint(i), d) })
			}
		}
		require.LessOrEqual(f.t, float64(from.Counts.BytesSent), f.budget*(f.now.Seconds()+1)+MaxDatagram, "bytes sent exceed the budget")
	}
}

func (f *fleet) agree() bool {
	for _, t := range f.engines[1:] {
		if t.bucketSums != f.engines[0].bucketSums || t.Len() != f.engines[0].Len() {
			return false
		}
	}
	return true
}

// settle steps until all nodes hold the same records, and returns how long that took.
func (f *fleet) settle(within time.Duration) time.Duration {
	start := f.now
	for !f.agree() {
		if f.now-start > within {
			require.Fail(f.t, "the nodes don't agree", "after %v", within)
		}
		f.step()
	}
	for _, t := range f.engines {
		same(f.t, &f.engines[0].Records, &t.Records, "all nodes hold the same records")
		require.Zero(f.t, t.Counts.Malformed+t.Counts.ChecksumMismatches+t.Counts.Rejected+t.Counts.Unknown, "%+v", t.Counts)
	}
	return f.now - start
}

// Guards against nodes that stay different after lost, duplicated or late datagrams: values of
// many datagrams, and records published during a partition that outlasts the resending.
func TestAllNodesConvergeDespiteFaults(t *testing.T) {
	f := newFleet(t, 30, 4000)
	f.loss = 0.2
	for i, engine := range f.engines {
		require.NoError(t, engine.Publish(1, []byte{byte(i)}))
		require.NoError(t, engine.Publish(2, bytes.Repeat([]byte{byte(i)}, 20*i))) // up to 580 bytes
	}
	t.Logf("60 records of 30 nodes settled after %v", f.settle(time.Minute))
	f.blocked = func(from, to int) bool { return (from < 10) != (to < 10) }
	for i, engine := range f.engines {
		require.NoError(t, engine.Publish(1, []byte{byte(i), 1}))
	}
	for range 300 {
		f.step()
	}
	assert.False(t, f.agree(), "a partition separates them")
	f.blocked = func(int, int) bool { return false }
	t.Logf("agreed %v after a partition of a minute", f.settle(time.Minute))
	f.blocked = func(from, to int) bool { return from == 3 } // no node receives its datagrams
	require.NoError(t, f.engines[3].Publish(1, []byte("one way")))
	for range 100 {
		f.step()
	}
	f.blocked = func(int, int) bool { return false }
	f.settle(time.Minute)
	r, _ := f.engines[0].Get(1, "n3")
	assert.Equal(t, "one way", string(r.Value))
}

// Guards against a restarted node that is ignored: it starts without state, must adopt a higher
// incarnation when it learns of its previous run, and its new records must win.
func TestRestartedNodeSupersedesItsPreviousRun(t *testing.T) {
	f := newFleet(t, 5, 4000)
	for n := range 7 {
		require.NoError(t, f.engines[2].Publish(1, []byte{byte(n)}))
	}
	require.NoError(t, f.engines[2].Publish(2, []byte("of the first life alone")))
	f.settle(time.Minute)
	f.engines[2] = NewEngine("n2", 1, 4000)
	f.engines[2].SetFleetSize(5)
	require.NoError(t, f.engines[2].Publish(1, []byte("the second life")))
	for range 50 {
		f.step()
	}
	f.settle(time.Minute)
	for _, engine := range f.engines {
		r, _ := engine.Get(1, "n2")
		assert.Equal(t, "the second life", string(r.Value))
		assert.Equal(t, f.engines[2].Incarnation(), r.Incarnation)
	}
	assert.Greater(t, f.engines[2].Incarnation(), uint32(1))
}

// Kinds and forms that this program does not know must be passed on unchanged, and counted.
func TestUnknownKindsArePassedOn(t *testing.T) {
	old, next := NewEngine("old", 1, 1e6), NewEngine("new", 1, 1e6)
	require.NoError(t, next.Publish(200, []byte("of a later program")))
	later, err := encMode.Marshal(entry{Form: 77, Text: []byte("?")})
	require.NoError(t, err)
	unknown, err := encMode.Marshal(entry{Form: 9, Text: []byte("?")})
	require.NoError(t, err)
	later = append(later, unknown...)
	for _, d := range next.DatagramsFor(0, "old") {
		news, notes := old.HandleDatagram(0, "new", append(d, later...))
		assert.Equal(t, []Note{{77, []byte("?")}}, notes, "the note is handed on")
		assert.Equal(t, Kind(200), news[0].Kind)
	}
	assert.Equal(t, 1, old.Counts.Unknown)
	third := NewEngine("third", 1, 1e6)
	for _, d := range old.DatagramsFor(time.Second, "third") {
		third.HandleDatagram(0, "old", d)
	}
	r, ok := third.Get(200, "new")
	assert.True(t, ok)
	assert.Equal(t, "of a later program", string(r.Value))
	news, _ := third.HandleDatagram(0, "x", []byte{protocolVersion + 1, 1, 2, 3})
	assert.Empty(t, news)
	assert.Equal(t, 1, third.Counts.Unknown, "datagram of another version")
}

// A flood of records, forged records or noise must harm only their origin and need bounded memory.
func TestForgedRecordsAreBounded(t *testing.T) {
	engine := NewEngine("n", 1, 1e6)
	require.NoError(t, engine.Publish(1, []byte("mine")))
	injectRecord := func(r Record) { // as a peer would send it
		e, err := encMode.Marshal(r)
		require.NoError(t, err)
		e, err = encMode.Marshal(entry{Form: formRecord, Text: e})
		require.NoError(t, err)
		engine.HandleDatagram(0, "forger", append([]byte{protocolVersion}, e...))
	}
	for i := range 256 {
		injectRecord(Record{Kind: Kind(i), Origin: "flood", Incarnation: 1})
	}
	assert.Equal(t, maxRecordsPerOrigin, engine.countByOrigin["flood"])
	for i := range 2 * MaxRecords {
		injectRecord(Record{Origin: fmt.Sprint("x", i), Incarnation: 1})
	}
	assert.Equal(t, MaxRecords, engine.Len())
	injectRecord(Record{Kind: 1, Origin: "n", Incarnation: math.MaxUint32, Value: []byte("future")})
	r, _ := engine.Get(1, "n")
	assert.Equal(t, "mine", string(r.Value), "the highest incarnation must be rejected")
	injectRecord(Record{Kind: 1, Origin: "n", Incarnation: 9, Sequence: 9, Value: []byte("not mine")})
	r, _ = engine.Get(1, "n")
	assert.Equal(t, "mine", string(r.Value))
	assert.EqualValues(t, 10, engine.Incarnation())
	refused := engine.Counts.Rejected
	injectRecord(Record{Origin: "a name that is far longer than the forty-eight bytes allowed", Incarnation: 1})
	assert.Equal(t, refused+1, engine.Counts.Rejected)
	for i := range 3 * maxPartials { // values whose other pieces never arrive
		e, err := encMode.Marshal(piece{Of: Record{Origin: fmt.Sprint("x", i), Incarnation: 2}, Length: 300, Part: make([]byte, pieceBytes)})
		require.NoError(t, err)
		e, err = encMode.Marshal(entry{Form: formPiece, Text: e})
		require.NoError(t, err)
		engine.HandleDatagram(time.Duration(i), "forger", append([]byte{protocolVersion}, e...))
	}
	assert.Len(t, engine.partials, maxPartials)
}

// FuzzHandleDatagram checks that no datagram harms its receiver, and that what it sends next is valid.
func FuzzHandleDatagram(f *testing.F) {
	a := NewEngine("a", 1, 1e6)
	a.Publish(1, []byte("short"))
	a.Publish(2, make([]byte, 600))
	for _, d := range a.DatagramsFor(0, "b") {
		f.Add(d)
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		b, c := NewEngine("b", 1, 1e6), NewEngine("c", 1, 1e6)
		b.Publish(1, []byte("b's"))
		b.HandleDatagram(0, "a", datagram)
		for _, d := range b.DatagramsFor(time.Second, "c") {
			if len(d) > MaxDatagram {
				t.Fatalf("%d bytes", len(d))
			}
			c.HandleDatagram(0, "b", d)
		}
		if c.Counts.Malformed+c.Counts.Unknown+c.Counts.Rejected+c.Counts.ChecksumMismatches > 0 {
			t.Fatalf("%+v", c.Counts)
		}
		if r, _ := b.Get(1, "b"); string(r.Value) != "b's" {
			t.Fatalf("the node's own record is %q", r.Value)
		}
	})
}
