package logic

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkBalancer is one decision, by the number of servers that the node knows, with so
// many requests in hand: a request, its send and its outcome. "list" is one change among
// the servers, told as the whole list. docs/CAPACITY.md.
func BenchmarkBalancer(b *testing.B) {
	for _, servers := range []int{10, 100, 1000, 3900} {
		for _, held := range []int{0, 200} {
			b.Run(fmt.Sprintf("decide/servers=%d/held=%d", servers, held), func(b *testing.B) { benchmarkDecide(b, servers, held) })
		}
		b.Run(fmt.Sprintf("list/servers=%d", servers), func(b *testing.B) { benchmarkList(b, servers) })
	}
}

func fullList(servers int) ServerList {
	l := ServerList{Kind: ListFull}
	for i := range servers {
		l.Servers = append(l.Servers, testServer(i))
	}
	return l
}

func newBalancer(b *testing.B) *Balancer {
	settings := testSettings()
	settings.Nodes = 380
	balancer, err := New(settings, 1)
	if err != nil {
		b.Fatal(err)
	}
	return balancer
}

func benchmarkDecide(b *testing.B, servers, held int) {
	balancer := newBalancer(b)
	balancer.Handle(0, fullList(servers))
	open := map[RequestID]Send{}
	var order []RequestID
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := time.Duration(i) * ms
		id := RequestID(fmt.Sprint(i))
		for _, s := range of[Send](balancer.Handle(now, Request{ID: id, Class: "safe", ClientTimeout: time.Hour})) {
			open[s.ID] = s
			order = append(order, s.ID)
		}
		if len(order) > held {
			s := open[order[0]]
			delete(open, s.ID)
			order = order[1:]
			balancer.Handle(now, Outcome{ID: s.ID, Result: OK, Final: true, Server: s.Server, Latency: 20 * ms})
		}
	}
}

func benchmarkList(b *testing.B, servers int) {
	balancer := newBalancer(b)
	l := fullList(servers)
	balancer.Handle(0, l)
	for i := 0; b.Loop(); i++ {
		l.Servers[i%servers].State = Draining - l.Servers[i%servers].State
		balancer.Handle(time.Duration(i)*time.Second, l)
	}
}
