package protocol_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/delta"
	"oakseam/internal/tier/diff"
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
	for _, count := range []int{30, 300, 3000} {
		b.Run(fmt.Sprintf("change/servers=%d", count), func(b *testing.B) { benchmarkEncodedSize(b, serverChange(count)) })
		b.Run(fmt.Sprintf("change/nodes=%d", count), func(b *testing.B) { benchmarkEncodedSize(b, directoryChange(count)) })
	}
	b.Run("hello/same", func(b *testing.B) {
		benchmarkEncodedSize(b, &protocol.HelloReply{Self: scaletest.Directory(1, 1).Nodes[0]})
	})
}

// serverChange returns what a process gets when one of count servers begins to drain.
func serverChange(count int) *protocol.WatchReply {
	before := scaletest.Lists(count)[0]
	after := before
	after.Version++
	after.Servers = slices.Clone(before.Servers)
	after.Servers[0].Draining = true
	return &protocol.WatchReply{
		Vouched: true, Services: [protocol.ServicePartitions]uint64{after.Version},
		ListChanges: []protocol.ServerListChange{diff.Servers(before, after)},
	}
}

// directoryChange returns what a process gets when one partition of a tier with count nodes gets
// another voter.
func directoryChange(count int) *protocol.WatchReply {
	before := *scaletest.Directory(8, count-8)
	after := before
	after.Version++
	after.Partitions = slices.Clone(before.Partitions)
	after.Partitions[0].Change = 9
	after.Partitions[0].Voters = append(slices.Clone(before.Partitions[0].Voters), before.Nodes[9].ID)
	change := diff.Directory(before, after)
	return &protocol.WatchReply{Vouched: true, DirectoryChange: &change}
}

// What one change costs a process must not grow with the fleet.
func TestChangesAreAsSmallInLargeFleets(t *testing.T) {
	for _, change := range []func(int) *protocol.WatchReply{serverChange, directoryChange} {
		small, large := scaletest.EncodedSize(change(30)), scaletest.EncodedSize(change(3000))
		assert.Assert(t, large <= small+16, "%d bytes at 30, %d at 3,000", small, large)
	}
}

func benchmarkEncodedSize(b *testing.B, message any) {
	bytes := 0
	for b.Loop() {
		bytes = scaletest.EncodedSize(message)
	}
	b.ReportMetric(float64(bytes), "wire-bytes")
}
