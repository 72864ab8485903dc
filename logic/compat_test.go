package logic

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// earlierState returns the saved state of a module as the build before identifiers were renamed
// wrote it. It must not be regenerated: JSON goes by the names of the Go fields here, and a node
// reads what the build before it left on disk or hands over.
func earlierState(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "earlier_build", "learned.json"))
	require.NoError(t, err)
	return text
}

// earlierBins returns the bins of a histogram: first, first + 1/4, first + 2/4, ...
func earlierBins(first float64) []float64 {
	bins := make([]float64, 33)
	for i := range bins {
		bins[i] = first + float64(i)/4
	}
	return bins
}

// earlierBalancer returns a module that has the class and the server of the saved state.
func earlierBalancer(t *testing.T) *Balancer {
	t.Helper()
	b, err := New(Settings{Classes: []Class{{Name: "class", Aim: time.Second, Deadline: 2 * time.Second, Effect: Unsafe}}, Nodes: 1}, 1)
	require.NoError(t, err)
	b.Handle(time.Hour, ServerList{Kind: ListFull, Servers: []Server{{ID: "server", Capacity: 1, Kind: "kind", StartedAt: 3 * time.Second}}})
	return b
}

// Every value of a saved state must be found under the name that the earlier build gave it.
func TestDecodesStateOfEarlierBuild(t *testing.T) {
	decoder := json.NewDecoder(bytes.NewReader(earlierState(t)))
	decoder.DisallowUnknownFields()
	var got learned
	require.NoError(t, decoder.Decode(&got))
	assert.Equal(t, learned{
		Peak: 1.5, Full: 2.5, Usual: 0.75, Missed: 0.125, Worth: 3.5, Held: 4.5, Cov: -5.5, Sq: 6.5, Common: 7.5,
		Served: savedRate{Sum: 8.5, At: 59 * time.Minute}, Span: savedRate{Sum: 9.5, At: 58 * time.Minute},
		Asked: savedRate{Sum: 10.5, At: 57 * time.Minute},
		Classes: map[string]savedClass{"class": {Scale: 11.5, Seen: 12.5, Hint: 13.5, Usual: 14 * time.Millisecond, Votes: 15,
			Brief: 0.25, Lost: 0.5}},
		Kinds: map[string]savedCurve{"kind": {Done: earlierBins(16), Cut: earlierBins(17), Aged: 56 * time.Minute}},
		Servers: map[ServerID]savedServer{"server": {Born: 3 * time.Second, Until: 61 * time.Minute, Judged: 55 * time.Minute,
			Stats: savedCurve{Done: earlierBins(18), Cut: earlierBins(19), Aged: 54 * time.Minute}, Bad: 20, BadPart: 0.375}},
	}, got)
}

// A successor must take over each value of an earlier build's state in its place, and export the
// same bytes.
func TestImportsStateOfEarlierBuild(t *testing.T) {
	b := earlierBalancer(t)
	require.NoError(t, b.ImportLearned(earlierState(t)))
	assert.Equal(t, []float64{1.5, 2.5, 0.75, 0.125, 3.5, 4.5},
		[]float64{b.peakRate, b.fullCapacity, b.onTimeShare, b.missedShare, b.meanWorth, b.meanReport})
	assert.Equal(t, reportModel{covariance: -5.5, meanSquare: 6.5}, b.reports)
	assert.Equal(t, 7.5, b.typicalFailures)
	assert.Equal(t, rate{sum: 8.5, updatedAt: 59 * time.Minute}, b.servedWork)
	assert.Equal(t, rate{sum: 9.5, updatedAt: 58 * time.Minute}, b.capacityTime)
	assert.Equal(t, rate{sum: 10.5, updatedAt: 57 * time.Minute}, b.demand)
	checkEarlierLatencies(t, b)
	text, err := b.ExportLearned()
	require.NoError(t, err)
	assert.Equal(t, string(earlierState(t)), string(text))
}

// After a restart the latencies and ejections of an earlier build's state must be taken over, and
// the load must not.
func TestImportsStateOfEarlierBuildAfterRestart(t *testing.T) {
	b, untouched := earlierBalancer(t), earlierBalancer(t)
	require.NoError(t, b.ImportAfterRestart(earlierState(t)))
	checkEarlierLatencies(t, b)
	assert.Equal(t, untouched.peakRate, b.peakRate)
	assert.Equal(t, untouched.missedShare, b.missedShare)
	assert.Equal(t, untouched.servedWork, b.servedWork)
	assert.Equal(t, untouched.demand, b.demand)
}

// checkEarlierLatencies checks what is kept by class, by kind of server and by server.
func checkEarlierLatencies(t *testing.T, b *Balancer) {
	t.Helper()
	c := b.classes["class"]
	assert.Equal(t, []float64{11.5, 12.5, 13.5, 0.25, 0.5}, []float64{c.median, c.samples, c.meanHint, c.lateTryShare, c.unservedShare})
	assert.Equal(t, 14*time.Millisecond, c.usualTimeout)
	assert.Equal(t, 15, c.usualVotes)
	kind := b.kinds["kind"]
	assert.Equal(t, earlierBins(16), kind.answered[:])
	assert.Equal(t, earlierBins(17), kind.censored[:])
	assert.Equal(t, 56*time.Minute, kind.agedAt)
	s := b.servers["server"]
	assert.Equal(t, 61*time.Minute, s.ejectedUntil)
	assert.Equal(t, 55*time.Minute, s.ejectedAt)
	assert.Equal(t, earlierBins(18), s.latencies.answered[:])
	assert.Equal(t, earlierBins(19), s.latencies.censored[:])
	assert.Equal(t, 54*time.Minute, s.latencies.agedAt)
	assert.Equal(t, 20, s.failures)
	assert.Equal(t, 0.375, s.failureShare)
}
