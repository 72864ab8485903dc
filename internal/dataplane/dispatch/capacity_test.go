package dispatch

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/counters"
	"oakseam/internal/message"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/routing"
	"oakseam/internal/tier/scaletest"
)

func newDispatcher(b *testing.B) *Dispatcher {
	d := New(Options{
		Zone: "region-0-zone-0", MaxConns: 100, Budget: message.NewBudget(1 << 20), Counters: counters.New(),
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	b.Cleanup(d.Close)
	return d
}

// BenchmarkPreferredServers measures the choice of the servers that a program's turn sticks to,
// by the number of servers of its service. It runs once per turn. See docs/CAPACITY.md.
func BenchmarkPreferredServers(b *testing.B) {
	for _, count := range []int{10, 100, 780, 3900} {
		b.Run(fmt.Sprintf("servers=%d", count), func(b *testing.B) {
			d := newDispatcher(b)
			d.services[scaletest.Service(0)] = &service{servers: candidates(scaletest.Servers(count), nil, "region-0-zone-0")}
			b.Cleanup(func() { clear(d.services) })
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				assert.Equal(b, len(d.PreferredServers(scaletest.Service(0), fmt.Sprint(i))), min(maxPreferred, count))
			}
		})
	}
}

// BenchmarkApplyUpdate measures what an edge node does with one update: a configuration by its
// number of routes, and server lists by their total number of servers.
func BenchmarkApplyUpdate(b *testing.B) {
	for _, routes := range []int{15, 1000, 6700} {
		configuration, err := routing.Parse(scaletest.Configuration(9, routes))
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("classes/routes=%d", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				assert.Equal(b, len(classesByService(configuration)), scaletest.ServiceCount)
			}
		})
	}
	for _, count := range []int{100, 1000, 3900} {
		b.Run(fmt.Sprintf("list/servers=%d", count), func(b *testing.B) { benchmarkServerLists(b, count) })
	}
}

func benchmarkServerLists(b *testing.B, count int) {
	d := newDispatcher(b)
	configuration, err := routing.Parse(scaletest.Configuration(9, 15))
	assert.NilError(b, err)
	d.Configure(configuration)
	var partitions [protocol.ServicePartitions][]protocol.ServerList
	for _, list := range scaletest.Lists(count) {
		partition := protocol.ServicePartition(list.Service)
		partitions[partition] = append(partitions[partition], list)
	}
	b.ReportAllocs()
	for b.Loop() {
		for partition, lists := range partitions {
			d.UpdateServers(partition, lists)
		}
	}
}
