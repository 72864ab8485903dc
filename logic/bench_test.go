package logic

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecision is a request with its outcome, by the size of the fleet.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := ServerList{Kind: ListFull}
			for i := range n {
				l.Servers = append(l.Servers, testServer(i))
			}
			bal, err := New(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			bal.Handle(0, l)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * ms
				for _, s := range of[Send](bal.Handle(now, Request{ID: RequestID(fmt.Sprint(i)), Class: "safe", ClientTimeout: 300 * ms})) {
					bal.Handle(now, Outcome{ID: s.ID, Result: OK, Final: true, Server: s.Server, Latency: 20 * ms})
				}
			}
		})
	}
}
