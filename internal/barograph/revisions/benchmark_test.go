package revisions

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"pipitmux/internal/station/scaletest"
)

// BenchmarkApply is one change of the configuration, and the state's snapshot after a day's
// changes, by the number of routes: docs/CAPACITY.md.
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
		change, err := m.Change(revision, revision+1, scaletest.Configuration(int(revision+1), routes))
		assert.NilError(b, err)
		command := Command{Change: change}
		text, err := command.Encode()
		assert.NilError(b, err)
		if m.Apply(text)[0] != byte(Accepted) {
			b.Fatal("not taken")
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
