package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// coldScenario describes a fleet with shared servers, some of which start cold.
type coldScenario struct {
	nodes, servers, cold int           // cold: servers restarted at the switch
	rate                 float64       // requests per second that a warm server can do
	load                 float64       // offered load as a share of the total capacity
	nodesToo             bool          // the nodes start at the switch, too
	restarts             int           // nodes that restart after the switch
	shift                bool          // traffic shifts between two halves of the nodes
	fail                 bool          // the warm servers fail from the switch on
	window               time.Duration // in which overload brings a server down
}

// runColdScenario simulates a scenario. It returns by how much the sends to a cold server in any window exceeded the
// allowed number n plus chance, 2·√n + 2, and how many sends cold servers got in all.
func runColdScenario(t *testing.T, d coldScenario, seed uint64) (over float64, sends int) {
	over = math.Inf(-1)
	cfg := testSettings()
	cfg.Nodes, cfg.FallAfter, cfg.FallMultiple, cfg.ColdFrom, cfg.WarmWithin = d.nodes, d.window, 2.5, 0.15, 12*time.Second
	const at, end = 25 * time.Second, 40 * time.Second
	w := newSimulation(t, cfg, d.nodes, seed)
	w.healthy = true
	w.failing = func(now time.Duration, s Server) bool { return d.fail && now >= at && s.StartedAt == 0 }
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
		n := cfg.FallMultiple * share * d.rate * d.window.Seconds()
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
	for i := range share { // some nodes get several times the mean
		share[i] = math.Exp(rng.NormFloat64() * 0.8)
		sum += share[i]
	}
	class := cfg.Classes[3]
	for node := range d.nodes {
		if !d.nodesToo {
			w.sendList(0, node, ServerList{Kind: ListFull, Servers: before})
		}
		listedAt := at + 600*ms + time.Duration(rng.IntN(200))*ms
		if d.nodesToo {
			w.sendList(listedAt, node, ServerList{Kind: ListFull, Servers: after})
		} else {
			w.sendList(listedAt, node, ServerList{Kind: ListChanges, Servers: changes})
		}
		if node < d.restarts {
			restartAt := listedAt + time.Second + time.Duration(rng.IntN(8000))*ms
			w.schedule(restartAt, node, func() Event {
				c := cfg
				c.Number = node
				w.nodes[node], _ = New(c, seed*100+uint64(node)+50)
				w.checkers[node] = newChecker(cfg)
				w.checkers[node].noteList(restartAt, ServerList{Kind: ListFull, Servers: after})
				return ServerList{Kind: ListFull, Servers: after}
			})
		}
		mean := d.load * d.rate * float64(d.servers) * share[node] / sum
		start := time.Duration(0)
		if d.nodesToo {
			start = listedAt
		}
		for now, i := start, 0; now < end; i++ {
			rate := mean
			if d.shift { // the halves take turns at three times the other's traffic
				if (now/(7*time.Second))%2 == time.Duration(node%2) {
					rate *= 1.5
				} else {
					rate *= 0.5
				}
			}
			now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			w.sendRequest(now, node, Request{ID: RequestID(fmt.Sprint(node, "/", i)), Class: class.Name, ClientTimeout: class.Deadline}, class)
		}
	}
	w.run(end)
	return over, sends
}

// All nodes together keep each cold server within its budget N plus 2·√N + 2, although each node alone sends it next
// to nothing: 20 and 30 nodes with uneven, shifting traffic, some restarting, when a third, most or all of the
// servers start cold, also together with the nodes.
func TestColdServersAreNotOverloadedInScenarios(t *testing.T) {
	for name, d := range map[string]coldScenario{
		"a third restart":                  {nodes: 30, cold: 4, rate: 6, restarts: 15},
		"most, shifting traffic":           {nodes: 20, cold: 10, rate: 12, shift: true, restarts: 10},
		"all":                              {nodes: 30, cold: 12, rate: 12},
		"all, shifting traffic":            {nodes: 20, cold: 12, rate: 6, shift: true, restarts: 10},
		"all, with all nodes":              {nodes: 30, cold: 12, rate: 30, nodesToo: true},
		"all, with all nodes, low traffic": {nodes: 20, cold: 12, rate: 6, nodesToo: true, restarts: 10},
		"warm servers fail":                {nodes: 30, cold: 4, rate: 60, fail: true},
		"warm servers fail, low traffic":   {nodes: 30, cold: 4, rate: 6, fail: true, restarts: 10},
		"all, half the nodes restart":      {nodes: 30, cold: 12, rate: 30, shift: true, restarts: 15},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d.servers, d.load, d.window = 12, 0.75, 1500*ms
			for seed := range uint64(4) {
				over, sends := runColdScenario(t, d, seed+1)
				if over > 0 {
					t.Errorf("seed %d: %.1f sends in a window beyond the budget plus chance", seed+1, over)
				}
				if least := d.cold * int(d.rate); sends < least {
					t.Errorf("seed %d: cold servers got %d sends while they warmed up, fewer than %d", seed+1, sends, least)
				}
			}
		})
	}
}
