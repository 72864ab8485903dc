package events

import (
	"fmt"
	"testing"
)

// BenchmarkCollector measures one event of typical size, by the number of events per stream. Each
// stream has its own Collector, as in a turn. See docs/CAPACITY.md.
func BenchmarkCollector(b *testing.B) {
	event := []byte("id: 117\ndata: {\"choices\":[{\"delta\":{\"content\":\" weather\"}}]}\n\n")
	for _, length := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("events=%d", length), func(b *testing.B) {
			b.ReportAllocs()
			var g Collector
			for i := 0; b.Loop(); i++ {
				if i%length == 0 {
					g = Collector{}
				}
				g.Write(event)
			}
			b.SetBytes(int64(len(event)))
		})
	}
	b.Run("steady", func(b *testing.B) {
		g := Collector{output: make([]byte, 0, 1<<20)}
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
