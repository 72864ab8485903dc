package tallies

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// randomLogs returns logs in which ids repeat, also with other amounts.
func randomLogs(random *rand.Rand) []Run {
	var logs []Run
	for origin := range Origin(1 + random.IntN(4)) {
		log := Run{Origin: origin + 1, First: 1}
		for range random.IntN(30) {
			log.Entries = append(log.Entries, Entry{
				Tally: fmt.Sprint("t", random.IntN(3)), Member: fmt.Sprint("m", random.IntN(25)), Amount: int64(random.IntN(3)),
			})
		}
		logs = append(logs, log)
	}
	return logs
}

// part returns a random part of a log, which may be one that cannot be applied yet.
func part(random *rand.Rand, log Run) Run {
	from := random.IntN(len(log.Entries) + 1)
	to := from + random.IntN(len(log.Entries)-from+1)
	return Run{Origin: log.Origin, First: uint64(from) + 1, Entries: log.Entries[from:to]}
}

// expected returns the totals of logs: the smallest amount of each id.
func expected(logs []Run) map[string]int64 {
	amounts := map[[2]string]int64{}
	for _, log := range logs {
		for _, e := range log.Entries {
			key := [2]string{e.Tally, e.Member}
			if amount, known := amounts[key]; !known || e.Amount < amount {
				amounts[key] = e.Amount
			}
		}
	}
	totals := map[string]int64{}
	for key, amount := range amounts {
		totals[key[0]] += amount
	}
	return totals
}

// States must not depend on the order, the repetitions and the parts in which entries arrive, nor on
// the node that holds them.
func TestOrderRepetitionAndPartsDoNotChangeTheState(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		logs := randomLogs(random)
		state := New(Origin(random.IntN(6)))
		for range 20 {
			_, _ = state.Apply(part(random, logs[random.IntN(len(logs))])) // may leave a gap
		}
		random.Shuffle(len(logs), func(i, j int) { logs[i], logs[j] = logs[j], logs[i] })
		for _, log := range append(logs, logs...) {
			_, err := state.Apply(log)
			assert.NilError(t, err)
		}
		for name, total := range expected(logs) {
			assert.Equal(t, state.Total(name), total, "seed %d", seed)
		}
		assert.Equal(t, state.Digest(), state.Vector().Digest(), "seed %d", seed)
	}
}

// Two nodes that send each other what the other one lacks must end with the same state.
func TestExchangeInPartsDoesNotLeaveADifference(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 2))
		logs := randomLogs(random)
		nodes := []*State{New(1), New(2)}
		for range 20 {
			_, _ = nodes[random.IntN(2)].Apply(part(random, logs[random.IntN(len(logs))]))
		}
		for nodes[0].Digest() != nodes[1].Digest() {
			progress := false
			for i, to := range nodes {
				for _, run := range nodes[1-i].Since(to.Vector(), 1+random.IntN(100)) {
					_, err := to.Apply(run)
					assert.NilError(t, err)
					progress = true
				}
			}
			assert.Assert(t, progress, "seed %d", seed)
		}
		assert.DeepEqual(t, nodes[0].Vector(), nodes[1].Vector())
		for name := range expected(logs) {
			assert.Equal(t, nodes[0].Total(name), nodes[1].Total(name), "seed %d", seed)
		}
	}
}

// A vector must never claim an entry that is missing.
func TestGapIsRefused(t *testing.T) {
	state := New(1)
	_, err := state.Apply(Run{Origin: 2, First: 2, Entries: []Entry{{Tally: "t", Member: "m", Amount: 1}}})
	assert.ErrorIs(t, err, ErrGap)
	_, err = state.Apply(Run{Origin: 2, First: 0, Entries: []Entry{{Tally: "t", Member: "m", Amount: 1}}})
	assert.ErrorIs(t, err, ErrGap)
	_, err = state.Apply(Run{Origin: 2, First: 1, Entries: []Entry{{Tally: "t", Member: "m", Amount: -1}}})
	assert.ErrorIs(t, err, ErrInvalid)
	assert.Equal(t, len(state.Vector()), 0)
	assert.Equal(t, state.Total("t"), int64(0))
}

// Merged amounts cannot be refused, and must not wrap around.
func TestMergedTotalDoesNotWrapAround(t *testing.T) {
	state := New(1)
	for origin := range Origin(3) {
		_, err := state.Apply(Run{Origin: origin + 1, First: 1, Entries: []Entry{{Tally: "t", Member: fmt.Sprint(origin), Amount: math.MaxInt64}}})
		assert.NilError(t, err)
	}
	assert.Equal(t, state.Total("t"), int64(math.MaxInt64))
	for origin := range Origin(3) {
		conflicts, err := state.Apply(Run{Origin: origin + 10, First: 1, Entries: []Entry{{Tally: "t", Member: fmt.Sprint(origin), Amount: 2}}})
		assert.NilError(t, err)
		assert.DeepEqual(t, conflicts, []Conflict{{Tally: "t", Member: fmt.Sprint(origin), Counted: 2, Ignored: math.MaxInt64}})
	}
	assert.Equal(t, state.Total("t"), int64(6))
}

// A repeat must wait for the copies of this node's entry, which this node pushes to the others.
func TestRecordPrefersTheOwnLog(t *testing.T) {
	state := New(1)
	entries := []Entry{{Tally: "t", Member: "m", Amount: 1}}
	for _, origin := range []Origin{2, 1, 3} {
		_, err := state.Apply(Run{Origin: origin, First: 1, Entries: entries})
		assert.NilError(t, err)
	}
	record, known := state.Find("t", "m")
	assert.Assert(t, known)
	assert.Equal(t, record, Record{Amount: 1, Position: Position{Origin: 1, Sequence: 1}})
}

// Vectors that differ must be told apart.
func TestDigestOfVectors(t *testing.T) {
	seen := map[uint64]Vector{}
	for a := range uint64(30) {
		for b := range uint64(30) {
			v := Vector{1: a, 2: b}
			other, known := seen[v.Digest()]
			assert.Assert(t, !known, "%v and %v", v, other)
			seen[v.Digest()] = v
		}
	}
	assert.Equal(t, Vector{}.Digest(), Vector{5: 0}.Digest())
}

// BenchmarkApply adds entries one by one.
func BenchmarkApply(b *testing.B) {
	state := New(1)
	b.ReportAllocs()
	for i := range b.N {
		_, err := state.Apply(Run{Origin: 1, First: uint64(i + 1), Entries: []Entry{{Tally: "t", Member: fmt.Sprintf("%016x", i), Amount: 1}}})
		assert.NilError(b, err)
	}
}
