package events

import (
	"fmt"
	"testing"
)

// BenchmarkGatherer is one event of a usual size of a stream of so many, in a Gatherer of
// its own for each stream, as a turn has it: docs/CAPACITY.md.
func BenchmarkGatherer(b *testing.B) {
	event := []byte("id: 117\ndata: {\"choices\":[{\"delta\":{\"content\":\" weather\"}}]}\n\n")
	for _, length := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("events=%d", length), func(b *testing.B) {
			b.ReportAllocs()
			var g Gatherer
			for i := 0; b.Loop(); i++ {
				if i%length == 0 {
					g = Gatherer{}
				}
				g.Write(event)
			}
			b.SetBytes(int64(len(event)))
		})
	}
	b.Run("steady", func(b *testing.B) {
		g := Gatherer{output: make([]byte, 0, 1<<20)}
		g.Write(event)
		b.ReportAllocs()
		for b.Loop() {
			if len(g.output)+len(event) > cap(g.output) {
				g.output = g.output[:0]
			}
			g.Write(event)
		}
	})
}
