package routing_test

import (
	"fmt"
	"testing"

	"oakseam/internal/tier/routing"
	"oakseam/internal/tier/scaletest"
)

// tenantCounts are numbers of routes, one per tenant. The figures are in
// docs/CAPACITY.md.
var tenantCounts = []int{15, 1000, 6700}

// BenchmarkTenants measures the work of a process with a configuration, by its number of
// routes.
func BenchmarkTenants(b *testing.B) {
	for _, count := range tenantCounts {
		body := scaletest.Configuration(9, count)
		configuration, err := routing.Parse(body)
		if err != nil {
			b.Fatal(err)
		}
		table := routing.NewTable(configuration)
		b.Run(fmt.Sprintf("parse/routes=%d", count), func(b *testing.B) { benchmarkParse(b, body) })
		b.Run(fmt.Sprintf("table/routes=%d", count), func(b *testing.B) { benchmarkTable(b, configuration) })
		b.Run(fmt.Sprintf("match/routes=%d", count), func(b *testing.B) { benchmarkMatch(b, table) })
	}
}

func benchmarkParse(b *testing.B, body []byte) {
	b.ReportAllocs()
	for b.Loop() {
		if _, err := routing.Parse(body); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(body)), "body-bytes")
}

func benchmarkTable(b *testing.B, configuration *routing.Configuration) {
	b.ReportAllocs()
	for b.Loop() {
		routing.NewTable(configuration)
	}
}

func benchmarkMatch(b *testing.B, table *routing.Table) {
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := table.Match("tenant-00007.example:443", "/v1/chat/completions"); !ok {
			b.Fatal("no route")
		}
	}
}
