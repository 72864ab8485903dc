package emulator

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"pipitmux/internal/gossip"
	"pipitmux/internal/member"
	"pipitmux/internal/peers"
)

// Peers is how the nodes talk to each other.
type PeerNetwork struct {
	BytesPerSecond Range `yaml:"bytes_per_s"` // that a node may send; 0: they don't talk
	Loss           Range `yaml:"loss"`        // part of the datagrams
	Duplicates     Range `yaml:"twice"`       // part that comes twice
	DelayMS        Range `yaml:"delay_ms"`    // one way, beside the network's own
	SpreadMS       Range `yaml:"spread_ms"`   // and up to so much more, evenly: later ones overtake
}

// MembersResult is how well the nodes knew who was there.
type MembershipResult struct {
	// From a node's death, or the other's start if that is later, until the other took it for
	// gone, over those pairs.
	DetectMSP50 float64 `json:"detect_ms_p50"`
	DetectMSP99 float64 `json:"detect_ms_p99"`
	Detected    int     `json:"detected"`
	Undetected  int     `json:"undetected"` // pairs in which the dead one is not gone at the end
	// Nodes that lived and could be heard, on whatever way, taken for suspect or gone.
	FalseSuspicions int     `json:"false_suspicions"`
	FalseGone       int     `json:"false_gone"`
	Disagreements   int     `json:"disagree"` // pairs at the end in which a living one is not there
	BytesPerSecond  float64 `json:"bytes_per_s"`
}

// ways is what becomes of the datagrams between nodes. Relays ask it as well: it is safe for
// concurrent use.
type ways struct {
	zones []int // of the nodes
	least time.Duration
	same  time.Duration // the network's own
	cross time.Duration
	more  time.Duration
	twice float64

	mu   sync.Mutex
	rng  *rand.Rand
	loss float64
	cuts map[[2]int]int // from zone to zone
}

func newWays(sc *Scenario, nodes []*node, seed uint64) *ways {
	w := &ways{least: sc.Peers.DelayMS.ms(), same: sc.Net.SameMS.ms(), cross: sc.Net.CrossMS.ms(), more: sc.Peers.SpreadMS.ms(),
		twice: sc.Peers.Duplicates.From, loss: sc.Peers.Loss.From, cuts: map[[2]int]int{}, rng: rand.New(rand.NewPCG(seed, 6))}
	for _, n := range nodes {
		w.zones = append(w.zones, n.zone)
	}
	return w
}

// fate tells what becomes of a datagram: how long each copy takes, none: it is lost.
func (w *ways) fate(from, to int) []time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := [2]int{w.zones[from], w.zones[to]}
	if w.rng.Float64() < w.loss || w.cuts[at] > 0 {
		return nil
	}
	takes := func() time.Duration {
		d := w.least + w.same
		if at[0] != at[1] {
			d = w.least + w.cross
		}
		return d + time.Duration(w.rng.Float64()*float64(w.more))
	}
	if w.rng.Float64() < w.twice {
		return []time.Duration{takes(), takes()}
	}
	return []time.Duration{takes()}
}

// cut begins (1) or heals (-1) a cut of what one zone sends to another.
func (w *ways) cut(from, to, by int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]int{from, to}] += by
}

// lossy adds to the part that is lost.
func (w *ways) lossy(by float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loss += by
}

// hears tells whether what a zone says can come to another, by way of the zones of some.
func (w *ways) hears(from, to int, by []bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	reached := []int{from}
	for i := 0; i < len(reached); i++ {
		for z, there := range by {
			if there && w.cuts[[2]int{reached[i], z}] == 0 && !slices.Contains(reached, z) {
				reached = append(reached, z)
			}
		}
	}
	return slices.Contains(reached, to)
}

// tier is the nodes' talk and what came of it. In a live day the nodes themselves talk.
type tier struct {
	w     *world
	ways  *ways
	net   *gossip.Network
	rng   *rand.Rand // a source of its own: without talk a day stays what it is
	nodes []talker
	bytes int
	alive time.Duration // of all nodes that have died since
	took  []time.Duration
	sum   MembershipResult
}

// talker is one node's part in it.
type talker struct {
	port  *gossip.Memory
	takes map[int]member.State // by number, of the others
	since time.Duration        // when it began or died
	alive bool
}

// tellEvery is how often a node looks at what is due, as peers.Run does.
const tellEvery = 50 * time.Millisecond

func newTier(w *world, seed uint64) *tier {
	if w.sc.Peers.BytesPerSecond.From == 0 {
		return nil
	}
	t := &tier{w: w, ways: newWays(w.sc, w.nodes, seed), rng: rand.New(rand.NewPCG(seed, 7)), nodes: make([]talker, len(w.nodes))}
	t.net = gossip.NewNetwork(nil)
	t.net.Pace(func(from, to string) []time.Duration { return t.ways.fate(nodeNo(from), nodeNo(to)) }, w.after)
	return t
}

func nodeNo(addr string) int {
	n, _ := strconv.Atoi(addr) // the tier's own addresses
	return n
}

// began has a node talk that has started, from nothing. A nil tier is a day without talk.
func (t *tier) began(n *node) {
	if t == nil {
		return
	}
	k := &t.nodes[n.no]
	*k = talker{takes: map[int]member.State{}, since: t.w.now, alive: true}
	if t.w.live != nil {
		return
	}
	circle, were := peers.NewCircle(n.no, len(t.nodes), t.w.sc.Peers.BytesPerSecond.From, rand.New(rand.NewPCG(t.rng.Uint64(), 1))), map[member.ID]member.State{}
	k.port = t.net.ListenFunc(strconv.Itoa(n.no), func(from string, text []byte) {
		t.say(n.no, circle.Heard(t.w.now, nodeNo(from), text))
	})
	epoch := n.epoch
	var tick func()
	tick = func() {
		if n.epoch != epoch {
			return
		}
		t.say(n.no, circle.Tick(t.w.now))
		for _, c := range circle.Changes(were) {
			t.takes(n.no, c.Number, c.State)
		}
		t.w.after(tellEvery, tick)
	}
	t.w.after(time.Duration(t.rng.Float64()*float64(tellEvery)), tick)
}

// say sends what a node has to say.
func (t *tier) say(from int, all []peers.Datagram) {
	for _, d := range all {
		t.sent(len(d.Text))
		t.nodes[from].port.Send(strconv.Itoa(d.To), d.Text)
	}
}

// sent counts bytes that a node sent.
func (t *tier) sent(bytes int) { t.bytes += bytes }

// died ends a node's talk.
func (t *tier) died(n *node) {
	if t == nil {
		return
	}
	k := &t.nodes[n.no]
	if k.alive {
		t.alive += t.w.now - k.since
	}
	if k.port != nil {
		k.port.Close()
	}
	*k = talker{since: t.w.now}
}

// takes tells what a node now takes another for.
func (t *tier) takes(by, about int, s member.State) {
	if by == about || by >= len(t.nodes) || about >= len(t.nodes) || about < 0 || !t.nodes[by].alive {
		return
	}
	t.nodes[by].takes[about] = s
	if s == member.There {
		return
	}
	if k := &t.nodes[about]; !k.alive {
		if s == member.Gone && k.since > 0 {
			t.took = append(t.took, t.w.now-max(k.since, t.nodes[by].since))
		}
		return
	}
	there := make([]bool, len(t.w.sc.Zones)) // zones with a node that could pass it on
	for no := range t.nodes {
		there[t.ways.zones[no]] = there[t.ways.zones[no]] || t.nodes[no].alive
	}
	if a, b := t.ways.zones[about], t.ways.zones[by]; !t.ways.hears(a, b, there) || !t.ways.hears(b, a, there) {
		return
	}
	if s == member.Gone {
		t.sum.FalseGone++
	} else {
		t.sum.FalseSuspicions++
	}
}

// result sums up.
func (t *tier) result() *MembershipResult {
	if t == nil {
		return nil
	}
	r := t.sum
	alive := t.alive
	for by := range t.nodes {
		if !t.nodes[by].alive {
			continue
		}
		alive += t.w.now - t.nodes[by].since
		for about := range t.nodes {
			s := t.nodes[by].takes[about]
			switch k := &t.nodes[about]; {
			case about == by:
			case !k.alive && s != member.Gone:
				r.Undetected++
			case k.alive && s != member.There:
				r.Disagreements++
			}
		}
	}
	if r.Detected = len(t.took); r.Detected > 0 {
		slices.Sort(t.took)
		at := func(q float64) float64 {
			return float64(t.took[int(q*float64(len(t.took)-1))].Milliseconds())
		}
		r.DetectMSP50, r.DetectMSP99 = at(0.5), at(0.99)
	}
	if alive > 0 {
		r.BytesPerSecond = round6(float64(t.bytes) / alive.Seconds())
	}
	return &r
}
