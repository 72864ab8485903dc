package events

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestCollectorKeepsDataOfWholeEventsOnly(t *testing.T) {
	for _, tt := range []struct {
		name, stream, output string
		count, started       uint64
	}{
		{"none", "", "", 0, 0},
		{"two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "a\nb\n", 2, 2},
		{"version first", "versions: 4\nid: 1\ndata: a\n\n", "a\n", 1, 1},
		{"without a space", "data:a\n\n", "a\n", 1, 1},
		{"only the first space is removed", "data:  a\n\n", " a\n", 1, 1},
		{"carriage returns", "data: a\r\n\r\n", "a\n", 1, 1},
		{"two lines of data", "data: a\ndata: b\n\n", "a\nb\n", 1, 1},
		{"comment", ": hello\n\ndata: a\n\n", "a\n", 1, 1},
		{"broken off in an event", "data: a\n\nid: 2\ndata: b", "a\n", 1, 2},
		{"broken off after a line", "data: a\n\ndata: b\n", "a\n", 1, 2},
		{"empty data", "data:\n\n", "\n", 1, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var g Collector
			g.Write([]byte(tt.stream))
			assert.Equal(t, string(g.Output()), tt.output)
			assert.Equal(t, g.Count(), tt.count)
			assert.Equal(t, g.Started(), tt.started)
		})
	}
}

// However a stream is divided into writes, the Collector must collect the same.
func TestCollectorResultIndependentOfWriteSizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := rapid.SliceOf(rapid.SampledFrom([]byte("ad:\r\n t"))).Draw(t, "stream")
		var whole, pieces Collector
		whole.Write(stream)
		for rest := stream; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			pieces.Write(rest[:n])
			rest = rest[n:]
		}
		assert.Equal(t, string(pieces.Output()), string(whole.Output()))
		assert.Equal(t, pieces.Started(), whole.Started())
	})
}
