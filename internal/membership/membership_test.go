package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// announcement is what a node publishes about itself, as a gossip record would carry it.
type announcement struct {
	incarnation uint32
	number      int
	suspects    map[ID]uint32
}

// cluster runs nodes in virtual time. Messages take up to 12 ms and may be lost. Every 200 ms
// each node passes the announcements that it knows on to three random nodes.
type cluster struct {
	rng           *rand.Rand
	now           time.Duration
	ids           []ID
	nodes         map[ID]*List // nil: killed
	announcements map[ID]map[ID]announcement
	inFlight      []delivery
	loss          float64
	blocked       func(from, to ID) bool
}

type delivery struct {
	at       time.Duration
	from, to ID
	message  Message
}

const step = 20 * time.Millisecond

func newCluster(nodes int, seed uint64) *cluster {
	w := &cluster{rng: rand.New(rand.NewPCG(seed, 3)), nodes: map[ID]*List{}, announcements: map[ID]map[ID]announcement{}, blocked: func(ID, ID) bool { return false }}
	for i := range nodes {
		w.ids = append(w.ids, ID(fmt.Sprintf("n%03d", i)))
	}
	for _, id := range w.ids {
		w.start(id)
	}
	return w
}

// start starts a node that knows only the IDs of the others.
func (w *cluster) start(id ID) {
	w.nodes[id] = New(id, w.ids, Options{}, rand.New(rand.NewPCG(w.rng.Uint64(), 1)))
	w.announcements[id] = map[ID]announcement{}
}

func (w *cluster) drops(from, to ID) bool {
	return w.nodes[to] == nil || w.blocked(from, to) || w.rng.Float64() < w.loss
}

func (w *cluster) send(from ID, out []Send) {
	for _, s := range out {
		if !w.drops(from, s.To) {
			w.inFlight = append(w.inFlight, delivery{w.now + time.Duration(1200+w.rng.IntN(10800))*time.Microsecond, from, s.To, s.Message})
		}
	}
}

// receive delivers an announcement: a node's own may raise its incarnation, others update its list.
func (w *cluster) receive(to, origin ID, s announcement) {
	n, was := w.nodes[to], w.announcements[to][origin]
	if origin == to {
		if s.incarnation > n.Incarnation() {
			n.RaiseIncarnation(s.incarnation + 1) // its own, from before a restart
		}
		return
	}
	if s.incarnation < was.incarnation || s.incarnation == was.incarnation && s.number <= was.number {
		return
	}
	w.announcements[to][origin] = s
	n.UpdateIncarnation(w.now, origin, s.incarnation)
	n.UpdateSuspicions(w.now, origin, s.suspects)
}

func (w *cluster) run(span time.Duration, each func()) {
	for end := w.now + span; w.now < end; {
		w.now += step
		slices.SortStableFunc(w.inFlight, func(a, b delivery) int { return int(a.at - b.at) })
		n := 0
		for ; n < len(w.inFlight) && w.inFlight[n].at <= w.now; n++ {
			if u := w.inFlight[n]; w.nodes[u.to] != nil {
				w.send(u.to, w.nodes[u.to].HandleMessage(w.now, u.from, u.message))
			}
		}
		w.inFlight = slices.Clone(w.inFlight[n:])
		for _, id := range w.ids {
			node := w.nodes[id]
			if node == nil {
				continue
			}
			w.send(id, node.Tick(w.now))
			own, sus := w.announcements[id][id], node.Suspects()
			if own.incarnation != node.Incarnation() || !maps.Equal(own.suspects, sus) {
				w.announcements[id][id] = announcement{node.Incarnation(), own.number + 1, sus}
			}
			if w.now%(200*time.Millisecond) == 0 {
				for range 3 {
					to := w.ids[w.rng.IntN(len(w.ids))]
					if to == id || w.drops(id, to) {
						continue
					}
					for _, origin := range w.ids {
						if s, ok := w.announcements[id][origin]; ok {
							w.receive(to, origin, s)
						}
					}
				}
			}
		}
		if each != nil && w.now%(100*time.Millisecond) == 0 {
			each()
		}
	}
}

// countStates counts the states in which live nodes see others, over the selected pairs.
func (w *cluster) countStates(selected func(by, id ID) bool) (out [3]int) {
	for by, n := range w.nodes {
		if n == nil {
			continue
		}
		for _, p := range n.peers {
			if selected(by, p.id) {
				out[p.state]++
			}
		}
	}
	return out
}

func (w *cluster) anyPair(by, id ID) bool { return true }

// Guards against failures that are detected late or not by all nodes, and against live nodes
// that are declared dead when messages are lost.
func TestDeadNodeIsDetectedByAll(t *testing.T) {
	for _, tt := range []struct {
		nodes        int
		loss         float64
		maxDetection time.Duration // until all nodes know
	}{{3, 0, 15 * time.Second}, {3, 0.2, 25 * time.Second}, {30, 0, 20 * time.Second}, {30, 0.2, 25 * time.Second}, {200, 0.2, 25 * time.Second}} {
		if tt.nodes == 200 && testing.Short() {
			continue
		}
		t.Run(fmt.Sprintf("%d nodes, %.0f%% lost", tt.nodes, 100*tt.loss), func(t *testing.T) {
			t.Parallel()
			w := newCluster(tt.nodes, 1)
			w.loss = tt.loss
			falseDead := 0
			live := func(_, id ID) bool { return w.nodes[id] != nil }
			w.run(20*time.Second, func() { falseDead = max(falseDead, w.countStates(live)[Dead]) })
			assert.Zero(t, falseDead, "live nodes declared dead")
			dead := w.ids[1]
			w.nodes[dead] = nil
			killed, first := w.now, time.Duration(0)
			for w.countStates(func(_, id ID) bool { return id == dead })[Dead] < tt.nodes-1 {
				w.run(step, nil)
				if first == 0 && w.countStates(func(_, id ID) bool { return id == dead })[Dead] > 0 {
					first = w.now - killed
				}
				require.Less(t, w.now-killed, tt.maxDetection, "not detected by all nodes")
			}
			t.Logf("declared dead by the first after %v, by all after %v", first, w.now-killed)
			assert.Zero(t, w.countStates(live)[Dead], "live nodes declared dead")

			w.start(dead) // restarted without state, under the same ID
			back := w.now
			for w.countStates(func(_, id ID) bool { return id == dead })[Alive] < tt.nodes-1 {
				w.run(step, nil)
				require.Less(t, w.now-back, 15*time.Second, "not alive to all nodes again")
			}
			t.Logf("alive to all %v after its return", w.now-back)
			assert.Zero(t, w.countStates(w.anyPair)[Dead], "declared dead after its return")
		})
	}
}

// Guards against partitions that leave nodes dead: both sides keep running as fleets of their
// own and become one again when the partition ends, without help from outside.
func TestPartitionHeals(t *testing.T) {
	for name, oneWay := range map[string]bool{"both ways": false, "one way": true} {
		t.Run(name, func(t *testing.T) {
			w := newCluster(12, 5)
			w.loss = 0.05
			side := func(id ID) bool { return id < "n004" }
			w.run(10*time.Second, nil)
			w.blocked = func(from, to ID) bool { return side(from) != side(to) && (!oneWay || side(from)) }
			w.run(time.Minute, nil)
			across := w.countStates(func(by, id ID) bool { return side(by) != side(id) })
			within := w.countStates(func(by, id ID) bool { return side(by) == side(id) })
			assert.Zero(t, within[Dead], "on the same side: %v", within)
			if !oneWay {
				assert.Equal(t, 2*4*8, across[Dead], "on the other side: %v", across)
			}
			w.blocked = func(ID, ID) bool { return false }
			w.run(30*time.Second, nil)
			assert.Equal(t, [3]int{12 * 11, 0, 0}, w.countStates(w.anyPair), "alive, suspected, dead after healing")
		})
	}
}

// A broken path between two live nodes must be covered by indirect probes through the others.
func TestBrokenPathDoesNotKillNode(t *testing.T) {
	w := newCluster(6, 2)
	w.blocked = func(from, to ID) bool { return from == "n000" && to == "n001" || from == "n001" && to == "n000" }
	worst := 0
	w.run(time.Minute, func() { worst = max(worst, w.countStates(w.anyPair)[Dead]) })
	assert.Zero(t, worst)
}

// A node with a bad network must raise its health score, wait longer and recover later. The
// other nodes must not be declared dead on its reports.
func TestUnhealthyNodeRaisesItsHealthScore(t *testing.T) {
	w := newCluster(20, 4)
	w.run(10*time.Second, nil)
	w.blocked = func(from, to ID) bool { return to == "n000" && w.rng.Float64() < 0.8 } // it receives little
	health, wrong := 0, 0
	w.run(time.Minute, func() {
		health = max(health, w.nodes["n000"].HealthScore())
		wrong = max(wrong, w.countStates(func(by, id ID) bool { return by != "n000" && id != "n000" })[Dead])
	})
	assert.GreaterOrEqual(t, health, 2)
	assert.Zero(t, wrong)
	w.blocked = func(ID, ID) bool { return false }
	w.run(time.Minute, nil)
	assert.Equal(t, [3]int{20 * 19, 0, 0}, w.countStates(w.anyPair))
	assert.LessOrEqual(t, w.nodes["n000"].HealthScore(), 1)
}

// TestEveryInterleaving runs every order of losses, deliveries, a restart and clock steps on
// three nodes up to a depth, and then lets the network work. Incarnations must only grow, and
// in the end all nodes must see each other alive, whatever came before.
func TestEveryInterleaving(t *testing.T) {
	depth := 6
	if testing.Short() {
		depth = 5
	}
	played := 0
	var play func(prefix []int)
	play = func(prefix []int) {
		m := newModel()
		for _, c := range prefix {
			if !m.apply(t, c) {
				return // no message in flight to deliver or drop
			}
		}
		if len(prefix) < depth {
			for c := range actions {
				play(append(slices.Clone(prefix), c))
			}
			return
		}
		played++
		m.settle(t, prefix)
	}
	play(nil)
	t.Logf("%d interleavings", played)
	assert.Greater(t, played, 1000)
}

// The actions of the model: 1.5 s pass at one of the three nodes; the oldest message in flight
// is delivered or dropped; the first node announces what it knows; the first node restarts.
const actions = 7

type model struct {
	*cluster
	times map[ID]time.Duration
}

func newModel() *model {
	w := newCluster(3, 9)
	return &model{w, map[ID]time.Duration{}}
}

func (m *model) apply(t *testing.T, c int) bool {
	before := map[ID]uint32{}
	for id, n := range m.nodes {
		before[id] = n.Incarnation()
	}
	switch {
	case c < 3:
		id := m.ids[c]
		m.times[id] += 1500 * time.Millisecond
		for _, s := range m.nodes[id].Tick(m.times[id]) {
			m.inFlight = append(m.inFlight, delivery{0, id, s.To, s.Message})
		}
	case c < 5:
		if len(m.inFlight) == 0 {
			return false
		}
		u := m.inFlight[0]
		m.inFlight = m.inFlight[1:]
		if c == 3 {
			for _, s := range m.nodes[u.to].HandleMessage(m.times[u.to], u.from, u.message) {
				m.inFlight = append(m.inFlight, delivery{0, u.to, s.To, s.Message})
			}
		}
	case c == 5:
		m.announce(m.ids[0])
	default:
		m.start(m.ids[0])
		delete(before, m.ids[0])
	}
	for id, was := range before {
		require.GreaterOrEqual(t, m.nodes[id].Incarnation(), was, "an incarnation of %s", id)
	}
	return true
}

// announce has a node send the announcements that it knows to both others.
func (m *model) announce(id ID) {
	n := m.nodes[id]
	own := m.announcements[id][id]
	m.announcements[id][id] = announcement{n.Incarnation(), own.number + 1, n.Suspects()}
	for _, to := range m.ids {
		if to != id {
			m.now = m.times[to]
			for _, origin := range m.ids {
				if s, ok := m.announcements[id][origin]; ok {
					m.receive(to, origin, s)
				}
			}
		}
	}
}

func (m *model) settle(t *testing.T, prefix []int) {
	for i := 0; i < 60 && (i < 4 || m.countStates(m.anyPair) != [3]int{6, 0, 0}); i++ {
		for _, id := range m.ids {
			m.times[id] += 500 * time.Millisecond
			for _, s := range m.nodes[id].Tick(m.times[id]) {
				m.inFlight = append(m.inFlight, delivery{0, id, s.To, s.Message})
			}
			for len(m.inFlight) > 0 {
				m.apply(t, 3)
			}
			m.announce(id)
		}
	}
	if got := m.countStates(m.anyPair); got != [3]int{6, 0, 0} {
		require.Fail(t, "not all nodes see each other alive", "%v after %v", got, prefix)
	}
}

// Guards against declaring a node dead on the reports of others while it still sends messages
// to this node or answers through a relay. A node that does neither must be declared dead.
func TestNodeHeardFromIsNotDeclaredDead(t *testing.T) {
	for name, answer := range map[string]func(l *List, now time.Duration, out []Send){
		"silent": func(*List, time.Duration, []Send) {},
		"heard":  func(l *List, now time.Duration, _ []Send) { l.RecordContact(now, "x") },
		"answers through a relay": func(l *List, now time.Duration, out []Send) {
			for _, s := range out {
				if s.Kind == PingRequest && s.Target == "x" {
					l.HandleMessage(now, s.To, Message{Kind: Ack, Probe: s.Probe})
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			names := []ID{"a", "b", "c", "d", "e", "me", "x"}
			l := New("me", names, Options{ProbePeriod: time.Hour}, rand.New(rand.NewPCG(1, 1)))
			l.nextProbe = time.Hour // no probes of its own
			for _, by := range names[:5] {
				l.UpdateSuspicions(0, by, map[ID]uint32{"x": 0})
			}
			state := func() State { return l.Members()[5].State }
			assert.Equal(t, Suspected, state())
			deadAt := time.Duration(0)
			for now := step; now <= 20*time.Second && deadAt == 0; now += step {
				answer(l, now, l.Tick(now))
				if state() == Dead {
					deadAt = now
				}
			}
			if name == "silent" {
				assert.Equal(t, 3*time.Second, deadAt)
			} else {
				assert.Zero(t, deadAt)
			}
		})
	}
}
