package servers

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/tier/scaletest"
)

// BenchmarkPublication measures a change of one server in the service that has a fifth of all
// servers: encoding, application and the size of the log entry. The results are in
// docs/CAPACITY.md.
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
			b.Fatal("publication was rejected")
		}
		bytes = len(text)
	}
	b.ReportMetric(float64(bytes), "entry-bytes")
}
