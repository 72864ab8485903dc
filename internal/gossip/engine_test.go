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

// records draws records of few names, so that they meet on one subject.
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

// same tells whether two hold the same bytes, and the same sums of them.
func same(t assert.TestingT, want, got *Records, what string) bool {
	for k, h := range want.records {
		r, ok := got.Get(k.kind, k.origin)
		if !ok || !assert.ObjectsAreEqual(h.Record.Value, r.Value) || r.Incarnation != h.Incarnation || r.Sequence != h.Sequence {
			return assert.Fail(t, what, "%v: %v, want %v", k, r, h.Record)
		}
	}
	return assert.Equal(t, want.Len(), got.Len(), what) && assert.Equal(t, want.bucketSums, got.bucketSums, what)
}

// Merging is commutative, associative and idempotent, so any order and any repeats end alike.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := records(t), records(t), records(t)
		want := merged(a, b, c)
		same(t, want, merged(c, b, a), "another order of the sets")
		same(t, want, merged(a, a, b, c, b), "repeats")
		all := slices.Concat(a, b, c)
		slices.Reverse(all)
		same(t, want, merged(all), "each the other way round")
		again := &Records{}
		for _, h := range want.records { // what holds, merged into nothing and into itself
			again.Merge(h.Record)
		}
		same(t, want, again, "what holds, alone")
		for _, h := range again.records {
			changed, err := want.Merge(h.Record)
			assert.False(t, changed)
			assert.NoError(t, err)
		}
	})
}

// fleet is nodes that talk in virtual time over a net with faults.
type fleet struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Duration
	talks  []*Engine
	loss   float64
	cut    func(from, to int) bool
	late   []func() // datagrams under way, of the last step and of those before it
	budget float64
}

func newFleet(t *testing.T, nodes int, budget float64) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(uint64(nodes), 7)), budget: budget, cut: func(int, int) bool { return false }}
	for i := range nodes {
		f.talks = append(f.talks, NewEngine(fmt.Sprint("n", i), 1, budget))
		f.talks[i].SetFleetSize(nodes)
	}
	return f
}

// step lets every node tell another one, 5 times a second; datagrams are lost, doubled and
// late by up to some steps.
func (f *fleet) step() {
	f.now += 200 * time.Millisecond
	f.rng.Shuffle(len(f.late), func(i, j int) { f.late[i], f.late[j] = f.late[j], f.late[i] })
	n := len(f.late) * 3 / 4
	due := f.late[:n]
	f.late = slices.Clone(f.late[n:])
	for _, deliver := range due {
		deliver()
	}
	for i, from := range f.talks {
		to := f.rng.IntN(len(f.talks))
		if to == i {
			continue
		}
		for _, d := range from.DatagramsFor(f.now, fmt.Sprint(to)) {
			require.LessOrEqual(f.t, len(d), MaxDatagram)
			if f.cut(i, to) || f.rng.Float64() < f.loss {
				continue
			}
			for range 1 + f.rng.IntN(2) {
				f.late = append(f.late, func() { f.talks[to].HandleDatagram(f.now, fmt.Sprint(i), d) })
			}
		}
		require.LessOrEqual(f.t, float64(from.Counts.BytesSent), f.budget*(f.now.Seconds()+1)+MaxDatagram, "bytes sent within the budget")
	}
}

func (f *fleet) agree() bool {
	for _, t := range f.talks[1:] {
		if t.bucketSums != f.talks[0].bucketSums || t.Len() != f.talks[0].Len() {
			return false
		}
	}
	return true
}

// settle steps until all hold the same, and returns how long that took.
func (f *fleet) settle(within time.Duration) time.Duration {
	start := f.now
	for !f.agree() {
		if f.now-start > within {
			require.Fail(f.t, "the nodes don't agree", "after %v", within)
		}
		f.step()
	}
	for _, t := range f.talks {
		same(f.t, &f.talks[0].Records, &t.Records, "all hold the same")
		require.Zero(f.t, t.Counts.Malformed+t.Counts.ChecksumMismatches+t.Counts.Rejected+t.Counts.Unknown, "%+v", t.Counts)
	}
	return f.now - start
}

// Whatever is lost, doubled or late, all nodes come to hold the same; also values of many
// datagrams, and what was said while a part of them was cut off, long after news is told.
func TestFleetComesToAgree(t *testing.T) {
	f := newFleet(t, 30, 4000)
	f.loss = 0.2
	for i, talk := range f.talks {
		require.NoError(t, talk.Publish(1, []byte{byte(i)}))
		require.NoError(t, talk.Publish(2, bytes.Repeat([]byte{byte(i)}, 20*i))) // up to 580 bytes
	}
	t.Logf("60 records of 30 nodes settled after %v", f.settle(time.Minute))
	f.cut = func(from, to int) bool { return (from < 10) != (to < 10) }
	for i, talk := range f.talks {
		require.NoError(t, talk.Publish(1, []byte{byte(i), 1}))
	}
	for range 300 {
		f.step()
	}
	assert.False(t, f.agree(), "they are cut off")
	f.cut = func(int, int) bool { return false }
	t.Logf("a cut of a minute healed after %v", f.settle(time.Minute))
	f.cut = func(from, to int) bool { return from == 3 } // heard by nobody
	require.NoError(t, f.talks[3].Publish(1, []byte("one way")))
	for range 100 {
		f.step()
	}
	f.cut = func(int, int) bool { return false }
	f.settle(time.Minute)
	r, _ := f.talks[0].Get(1, "n3")
	assert.Equal(t, "one way", string(r.Value))
}

// A node that starts from nothing under its name takes up a later incarnation as soon as it
// hears of its earlier life, and what it says now holds.
func TestAnEarlierLifeIsLeftBehind(t *testing.T) {
	f := newFleet(t, 5, 4000)
	for n := range 7 {
		require.NoError(t, f.talks[2].Publish(1, []byte{byte(n)}))
	}
	require.NoError(t, f.talks[2].Publish(2, []byte("of the first life alone")))
	f.settle(time.Minute)
	f.talks[2] = NewEngine("n2", 1, 4000)
	f.talks[2].SetFleetSize(5)
	require.NoError(t, f.talks[2].Publish(1, []byte("the second life")))
	for range 50 {
		f.step()
	}
	f.settle(time.Minute)
	for _, talk := range f.talks {
		r, _ := talk.Get(1, "n2")
		assert.Equal(t, "the second life", string(r.Value))
		assert.Equal(t, f.talks[2].Incarnation(), r.Incarnation)
	}
	assert.Greater(t, f.talks[2].Incarnation(), uint32(1))
}

// Kinds and forms that a program does not know pass through it untouched, and are counted.
func TestWhatIsNotKnownIsCarriedOn(t *testing.T) {
	old, next := NewEngine("old", 1, 1e6), NewEngine("new", 1, 1e6)
	require.NoError(t, next.Publish(200, []byte("of a later program")))
	later, err := encMode.Marshal(entry{Form: 77, Text: []byte("?")})
	require.NoError(t, err)
	unknown, err := encMode.Marshal(entry{Form: 9, Text: []byte("?")})
	require.NoError(t, err)
	later = append(later, unknown...)
	for _, d := range next.DatagramsFor(0, "old") {
		news, notes := old.HandleDatagram(0, "new", append(d, later...))
		assert.Equal(t, []Note{{77, []byte("?")}}, notes, "for who knows its form")
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
	assert.Equal(t, 1, third.Counts.Unknown, "a datagram of another version")
}

// A flood, a lie or noise harms its origin alone and costs bounded memory.
func TestLiesAreBounded(t *testing.T) {
	talk := NewEngine("n", 1, 1e6)
	require.NoError(t, talk.Publish(1, []byte("mine")))
	say := func(r Record) { // as a peer would
		e, err := encMode.Marshal(r)
		require.NoError(t, err)
		e, err = encMode.Marshal(entry{Form: formRecord, Text: e})
		require.NoError(t, err)
		talk.HandleDatagram(0, "liar", append([]byte{protocolVersion}, e...))
	}
	for i := range 256 {
		say(Record{Kind: Kind(i), Origin: "flood", Incarnation: 1})
	}
	assert.Equal(t, maxRecordsPerOrigin, talk.countByOrigin["flood"])
	for i := range 2 * MaxRecords {
		say(Record{Origin: fmt.Sprint("x", i), Incarnation: 1})
	}
	assert.Equal(t, MaxRecords, talk.Len())
	say(Record{Kind: 1, Origin: "n", Incarnation: math.MaxUint32, Value: []byte("future")})
	r, _ := talk.Get(1, "n")
	assert.Equal(t, "mine", string(r.Value), "the last of all incarnations is no life")
	say(Record{Kind: 1, Origin: "n", Incarnation: 9, Sequence: 9, Value: []byte("not mine")})
	r, _ = talk.Get(1, "n")
	assert.Equal(t, "mine", string(r.Value))
	assert.EqualValues(t, 10, talk.Incarnation())
	refused := talk.Counts.Rejected
	say(Record{Origin: "a name that is far longer than the forty-eight bytes allowed", Incarnation: 1})
	assert.Equal(t, refused+1, talk.Counts.Rejected)
	for i := range 3 * maxPartials { // pieces that never become whole
		e, err := encMode.Marshal(piece{Of: Record{Origin: fmt.Sprint("x", i), Incarnation: 2}, Length: 300, Part: make([]byte, pieceBytes)})
		require.NoError(t, err)
		e, err = encMode.Marshal(entry{Form: formPiece, Text: e})
		require.NoError(t, err)
		talk.HandleDatagram(time.Duration(i), "liar", append([]byte{protocolVersion}, e...))
	}
	assert.Len(t, talk.partials, maxPartials)
}

// FuzzHeard: no datagram harms who hears it, and what it says next can be read.
func FuzzHeard(f *testing.F) {
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
			t.Fatalf("its own record is %q", r.Value)
		}
	})
}
