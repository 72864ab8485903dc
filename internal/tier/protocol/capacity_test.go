package protocol_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/delta"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/scaletest"
)

// BenchmarkWatch encodes the messages that a process gets on a change, twice each, and
// reports the bytes of one on the wire. The figures are in docs/CAPACITY.md.
func BenchmarkWatch(b *testing.B) {
	b.Run("nothing", func(b *testing.B) { benchmarkEncodedSize(b, &protocol.WatchReply{}) })
	heartbeat := replica.Message{
		Group: protocol.TurnGroup(700), From: 1 << 63, To: 1 << 62, Kind: replica.Append, Term: 9, Index: 1e6, LogTerm: 9, Commit: 1e6, Sent: time.Hour,
	}
	b.Run("heartbeat", func(b *testing.B) {
		benchmarkEncodedSize(b, &protocol.DeliverArgs{Messages: []replica.Message{heartbeat}})
	})
	b.Run("request", func(b *testing.B) {
		benchmarkEncodedSize(b, &protocol.WatchArgs{Node: "node-0001", Revision: 9, Directory: 9, Wait: 9e8})
	})
	for _, count := range []int{10, 100, 1000, 3900} {
		reply := &protocol.WatchReply{Services: [protocol.ServicePartitions]uint64{1}, Lists: scaletest.Lists(count)}
		b.Run(fmt.Sprintf("servers=%d", count), func(b *testing.B) { benchmarkEncodedSize(b, reply) })
	}
	for _, count := range []int{15, 1000, 6700} {
		text, err := delta.Make(scaletest.Configuration(8, count), scaletest.Configuration(9, count))
		assert.NilError(b, err)
		reply := &protocol.WatchReply{Revision: 9, Steps: []protocol.ConfigurationStep{{Base: 8, Revision: 9, Patch: text}}}
		b.Run(fmt.Sprintf("routes=%d", count), func(b *testing.B) { benchmarkEncodedSize(b, reply) })
	}
	for _, count := range []int{30, 100, 380} {
		reply := &protocol.WatchReply{Directory: scaletest.Directory(8, count-8)}
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) { benchmarkEncodedSize(b, reply) })
		hello := &protocol.HelloReply{Self: reply.Directory.Nodes[0], Nodes: reply.Directory.Nodes}
		b.Run(fmt.Sprintf("hello/nodes=%d", count), func(b *testing.B) { benchmarkEncodedSize(b, hello) })
	}
}

func benchmarkEncodedSize(b *testing.B, message any) {
	bytes := 0
	for b.Loop() {
		bytes = scaletest.EncodedSize(message)
	}
	b.ReportMetric(float64(bytes), "wire-bytes")
}
