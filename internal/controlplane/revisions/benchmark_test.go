package revisions

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/tier/scaletest"
)

// BenchmarkApply measures one configuration change by the number of routes, and the snapshot
// of the state by the number of remembered changes. The results are in docs/CAPACITY.md.
func BenchmarkApply(b *testing.B) {
	for _, routes := range []int{15, 1000, 6700} {
		b.Run(fmt.Sprintf("change/routes=%d", routes), func(b *testing.B) { benchmarkChange(b, routes) })
	}
	for _, taken := range []int{0, 7900, maxRememberedChanges} {
		b.Run(fmt.Sprintf("snapshot/taken=%d", taken), func(b *testing.B) { benchmarkSnapshot(b, taken) })
	}
}

func benchmarkChange(b *testing.B, routes int) {
	m := New(nil)
	bytes := 0
	revision := uint64(0)
	for b.Loop() {
		change, err := m.NewChange(revision, revision+1, scaletest.Configuration(int(revision+1), routes))
		assert.NilError(b, err)
		command := Command{Change: change}
		text, err := command.Encode()
		assert.NilError(b, err)
		if m.Apply(text)[0] != byte(Accepted) {
			b.Fatal("change was not accepted")
		}
		revision++
		bytes = len(text)
	}
	b.ReportMetric(float64(bytes), "entry-bytes")
}

func benchmarkSnapshot(b *testing.B, taken int) {
	m := New(nil)
	m.body = scaletest.Configuration(9, 6700)
	m.state.AcceptedChanges = make([]Digest, taken)
	bytes := 0
	for b.Loop() {
		bytes = len(m.Snapshot())
	}
	b.ReportMetric(float64(bytes), "state-bytes")
}
