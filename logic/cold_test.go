package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// coldDay is a fleet that shares servers of which some start cold.
type coldDay struct {
	nodes, servers, cold int           // so many of the servers start anew at the switch
	each                 float64       // requests a second that a warm server can do
	load                 float64       // of that for all
	first                bool          // the nodes start then, too
	restarts             int           // nodes that start anew afterwards
	shift                bool          // traffic moves between two halves of the nodes
	fail                 bool          // the warm servers fail from then on
	window               time.Duration // in which too much fells a server
}

// coldSends plays a day and returns the most that a cold server was sent in any window, above
// what the settings allow it then and twice the root of that and two, and how many sends cold
// servers got in all.
func coldSends(t *testing.T, d coldDay, seed uint64) (over float64, sends int) {
	over = math.Inf(-1)
	cfg := testSettings()
	cfg.Nodes, cfg.FallAfter, cfg.FallMultiple, cfg.ColdFrom, cfg.WarmWithin = d.nodes, d.window, 2.5, 0.15, 12*time.Second
	const at, end = 25 * time.Second, 40 * time.Second
	w := newWorld(t, cfg, d.nodes, seed)
	w.sound = true
	w.broken = func(now time.Duration, s Server) bool { return d.fail && now >= at && s.StartedAt == 0 }
	rng := rand.New(rand.NewPCG(seed, 9))
	for i := range w.nodes {
		c := cfg
		c.Number = i
		w.nodes[i], _ = New(c, seed*100+uint64(i))
	}
	sent := map[ServerID][]time.Duration{}
	w.onSend = func(now time.Duration, _ int, s Server) {
		if s.StartedAt == 0 || now >= s.StartedAt+cfg.WarmWithin {
			return // warm
		}
		sends++
		list := append(sent[s.ID], now)
		for list[0] <= now-d.window {
			list = list[1:]
		}
		sent[s.ID] = list
		share := cfg.ColdFrom + (1-cfg.ColdFrom)*float64(now-s.StartedAt)/float64(cfg.WarmWithin)
		n := cfg.FallMultiple * share * d.each * d.window.Seconds()
		over = max(over, float64(len(list))-(n+2*math.Sqrt(n)+2))
	}
	var before, after, changes []Server
	for i := range d.servers {
		s := Server{ID: ServerID(fmt.Sprint("s", i)), Capacity: 1, Zone: fmt.Sprint("z", i%2)}
		before = append(before, s)
		if i < d.cold {
			s.ID, s.StartedAt = ServerID(fmt.Sprint("c", i)), at+time.Duration(rng.IntN(500))*ms
			changes = append(changes, Server{ID: before[i].ID, State: Gone}, s)
		}
		after = append(after, s)
	}
	share, sum := make([]float64, d.nodes), 0.0
	for i := range share { // some get several times the mean
		share[i] = math.Exp(rng.NormFloat64() * 0.8)
		sum += share[i]
	}
	class := cfg.Classes[3]
	for node := range d.nodes {
		if !d.first {
			w.tell(0, node, ServerList{Kind: ListFull, Servers: before})
		}
		told := at + 600*ms + time.Duration(rng.IntN(200))*ms
		if d.first {
			w.tell(told, node, ServerList{Kind: ListFull, Servers: after})
		} else {
			w.tell(told, node, ServerList{Kind: ListChanges, Servers: changes})
		}
		if node < d.restarts {
			again := told + time.Second + time.Duration(rng.IntN(8000))*ms
			w.at(again, node, func() Event {
				c := cfg
				c.Number = node
				w.nodes[node], _ = New(c, seed*100+uint64(node)+50)
				w.checks[node] = newChecker(cfg)
				w.checks[node].hear(again, ServerList{Kind: ListFull, Servers: after})
				return ServerList{Kind: ListFull, Servers: after}
			})
		}
		mean := d.load * d.each * float64(d.servers) * share[node] / sum
		begin := time.Duration(0)
		if d.first {
			begin = told
		}
		for now, i := begin, 0; now < end; i++ {
			rate := mean
			if d.shift { // each half has three times as much as the other, in turn
				if (now/(7*time.Second))%2 == time.Duration(node%2) {
					rate *= 1.5
				} else {
					rate *= 0.5
				}
			}
			now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			w.ask(now, node, Request{ID: RequestID(fmt.Sprint(node, "/", i)), Class: class.Name, ClientTimeout: class.Deadline}, class)
		}
	}
	w.run(end)
	return over, sends
}

// What all processes send a cold server stays within its budget N and 2 x root of N + 2,
// where one process sends it next to nothing: 20 and 30 of them with uneven traffic that
// moves, some starting anew, upon a third of the servers, most or all, nodes and servers cold
// together as well.
func TestColdServersUnderTheSumOfAll(t *testing.T) {
	for name, d := range map[string]coldDay{
		"a third start anew":          {nodes: 30, cold: 4, each: 6, restarts: 15},
		"most, and traffic moves":     {nodes: 20, cold: 10, each: 12, shift: true, restarts: 10},
		"all":                         {nodes: 30, cold: 12, each: 12},
		"all, and traffic moves":      {nodes: 20, cold: 12, each: 6, shift: true, restarts: 10},
		"all with all nodes":          {nodes: 30, cold: 12, each: 30, first: true},
		"all with all nodes, thinly":  {nodes: 20, cold: 12, each: 6, first: true, restarts: 10},
		"the warm ones fail":          {nodes: 30, cold: 4, each: 60, fail: true},
		"they fail, few reqs":         {nodes: 30, cold: 4, each: 6, fail: true, restarts: 10},
		"all, and half the nodes die": {nodes: 30, cold: 12, each: 30, shift: true, restarts: 15},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d.servers, d.load, d.window = 12, 0.75, 1500*ms
			for seed := range uint64(4) {
				over, sends := coldSends(t, d, seed+1)
				if over > 0 {
					t.Errorf("seed %d: %.1f sends in a window beyond the budget and its chance", seed+1, over)
				}
				if least := d.cold * int(d.each); sends < least {
					t.Errorf("seed %d: cold servers got %d sends while they warmed up, fewer than %d", seed+1, sends, least)
				}
			}
		})
	}
}
