package turns

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Sizes of the turns in the benchmarks. docs/CAPACITY.md gives the reasons.
const (
	inputBytes       = 2000
	outputBytes      = 600
	longProgramTurns = 570 // turns of the longest programs
)

// newFilledMachine returns a machine with programs of turnsEach turns.
func newFilledMachine(b *testing.B, programs, turnsEach int) *Machine {
	m := New(zeroClock)
	for p := range programs {
		previous := ""
		for i := range turnsEach {
			id := fmt.Sprintf("program-%05d-turn-%04d", p, i)
			m.apply(&Command{Finish: &Completion{
				Program: fmt.Sprintf("program-%05d", p), Attempt: id, Complete: true, Tokens: 100, Previous: previous,
				Input: make([]byte, inputBytes), Output: make([]byte, outputBytes), Retention: time.Minute,
			}})
			previous = id
		}
	}
	return m
}

// BenchmarkTurn measures encoding and applying the two commands of a turn, by the number of
// earlier turns of its program.
func BenchmarkTurn(b *testing.B) {
	for _, behind := range []int{1, 57, longProgramTurns} {
		b.Run(fmt.Sprintf("behind=%d", behind), func(b *testing.B) { benchmarkTurn(b, behind) })
	}
}

func benchmarkTurn(b *testing.B, behind int) {
	m := newFilledMachine(b, 1, behind)
	previous := fmt.Sprintf("program-00000-turn-%04d", behind-1)
	input, output := make([]byte, inputBytes), make([]byte, outputBytes)
	bytes := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := fmt.Sprintf("program-00000-more-%07d", i)
		admission := Command{Admit: &Admission{Program: "program-00000", Attempt: id, Previous: previous, Budget: 1 << 62, MaxTokens: 200, Retention: time.Minute}}
		completion := Command{Finish: &Completion{
			Program: "program-00000", Attempt: id, Complete: true, Tokens: 150, Previous: previous, Input: input, Output: output, Retention: time.Minute,
		}}
		bytes = 0
		for _, c := range []Command{admission, completion} {
			text, err := c.Encode()
			assert.NilError(b, err)
			bytes += len(text)
			if result, _ := ReadResult(m.Apply(text)); result != Accepted {
				b.Fatal(result)
			}
		}
		if i%1000 == 999 {
			b.StopTimer()
			m = newFilledMachine(b, 1, behind)
			b.StartTimer()
		}
	}
	b.ReportMetric(float64(bytes), "entry-bytes")
}

// BenchmarkHistory measures assembling the history of a turn.
func BenchmarkHistory(b *testing.B) {
	for _, length := range []int{1, 57, longProgramTurns} {
		b.Run(fmt.Sprintf("turns=%d", length), func(b *testing.B) {
			m := newFilledMachine(b, 1, length)
			last := fmt.Sprintf("program-00000-turn-%04d", length-1)
			b.ReportAllocs()
			bytes := 0
			for b.Loop() {
				text, found := m.History(last)
				if !found {
					b.Fatal("not found")
				}
				bytes = len(text)
			}
			b.SetBytes(int64(bytes))
			b.ReportMetric(float64(bytes), "history-bytes")
		})
	}
}

// BenchmarkSnapshot measures writing and reading the whole state of a partition, by its
// number of turns. The partition's calls wait meanwhile.
func BenchmarkSnapshot(b *testing.B) {
	for _, programs := range []int{10, 100, 1000} {
		const turnsEach = 20
		b.Run(fmt.Sprintf("turns=%d", programs*turnsEach), func(b *testing.B) {
			before := heap()
			m := newFilledMachine(b, programs, turnsEach)
			held := heap() - before
			bytes := 0
			for b.Loop() {
				bytes = len(m.Snapshot())
			}
			b.SetBytes(int64(bytes))
			b.ReportMetric(float64(bytes), "state-bytes")
			b.ReportMetric(float64(held), "heap-bytes")
			runtime.KeepAlive(m)
		})
		b.Run(fmt.Sprintf("restore/turns=%d", programs*turnsEach), func(b *testing.B) {
			text := newFilledMachine(b, programs, turnsEach).Snapshot()
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				assert.NilError(b, New(zeroClock).Restore(text))
			}
		})
	}
}

// heap returns the bytes of live heap objects.
func heap() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
