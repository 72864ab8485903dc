package servers

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"pipitmux/internal/station/scaletest"
)

// BenchmarkPublication is one server's change in a service that has a fifth of so many
// servers: its encoding, its application and the bytes of its entry. docs/CAPACITY.md.
func BenchmarkPublication(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 3900} {
		b.Run(fmt.Sprintf("servers=%d", count), func(b *testing.B) { benchmarkPublication(b, count) })
	}
}

func benchmarkPublication(b *testing.B, count int) {
	m := New(nil)
	list := scaletest.Lists(count)[0]
	bytes := 0
	for i := uint64(1); b.Loop(); i++ {
		p := Publication{Epoch: 1, Sequence: i, Services: []Service{{Name: list.Service, Servers: list.Servers}}}
		text, err := p.Encode()
		assert.NilError(b, err)
		if m.Apply(text)[0] != Applied[0] {
			b.Fatal("refused")
		}
		bytes = len(text)
	}
	b.ReportMetric(float64(bytes), "entry-bytes")
}
