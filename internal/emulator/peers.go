package emulator

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"oakseam/internal/gossip"
	"oakseam/internal/membership"
	"oakseam/internal/peers"
)

// PeerSettings describes the traffic between the nodes.
type PeerSettings struct {
	BytesPerSecond Range `yaml:"bytes_per_s"` // limit per node; 0: the nodes do not talk
	Loss           Range `yaml:"loss"`        // fraction of the datagrams that are lost
	Duplicates     Range `yaml:"twice"`       // fraction that is delivered twice
	DelayMS        Range `yaml:"delay_ms"`    // one way, in addition to the network's delay
	SpreadMS       Range `yaml:"spread_ms"`   // additional uniform delay, up to this; datagrams may overtake each other
}

// MembershipResult tells how well the nodes knew which of them were alive.
type MembershipResult struct {
	// Time from a node's death, or from the observer's start if that is later, until the observer
	// considered it gone, over all such pairs.
	DetectMSP50 float64 `json:"detect_ms_p50"`
	DetectMSP99 float64 `json:"detect_ms_p99"`
	Detected    int     `json:"detected"`
	Undetected  int     `json:"undetected"` // pairs at the end in which the dead node is not considered gone
	// Nodes that were alive and could be heard, directly or through others, but were considered
	// suspect or gone.
	FalseSuspicions int     `json:"false_suspicions"`
	FalseGone       int     `json:"false_gone"`
	Disagreements   int     `json:"disagree"` // pairs at the end in which a live node is not considered alive
	BytesPerSecond  float64 `json:"bytes_per_s"`
}

// datagramNetwork decides the fate of the datagrams between nodes. It is safe for concurrent use,
// because relays of a live run call it, too.
type datagramNetwork struct {
	zones          []int // zone of each node
	extraDelay     time.Duration
	sameZoneDelay  time.Duration // the network's own delays
	crossZoneDelay time.Duration
	delaySpread    time.Duration
	duplicateShare float64

	mu         sync.Mutex
	rng        *rand.Rand
	loss       float64
	partitions map[[2]int]int // active partitions from zone to zone
}

func newDatagramNetwork(scenario *Scenario, nodes []*node, seed uint64) *datagramNetwork {
	network := &datagramNetwork{extraDelay: scenario.Peers.DelayMS.ms(), sameZoneDelay: scenario.Net.SameMS.ms(), crossZoneDelay: scenario.Net.CrossMS.ms(), delaySpread: scenario.Peers.SpreadMS.ms(),
		duplicateShare: scenario.Peers.Duplicates.From, loss: scenario.Peers.Loss.From, partitions: map[[2]int]int{}, rng: rand.New(rand.NewPCG(seed, 6))}
	for _, n := range nodes {
		network.zones = append(network.zones, n.zone)
	}
	return network
}

// copyDelays returns the delay of each copy of a datagram that arrives; none if it is lost.
func (network *datagramNetwork) copyDelays(from, to int) []time.Duration {
	network.mu.Lock()
	defer network.mu.Unlock()
	at := [2]int{network.zones[from], network.zones[to]}
	if network.rng.Float64() < network.loss || network.partitions[at] > 0 {
		return nil
	}
	takes := func() time.Duration {
		d := network.extraDelay + network.sameZoneDelay
		if at[0] != at[1] {
			d = network.extraDelay + network.crossZoneDelay
		}
		return d + time.Duration(network.rng.Float64()*float64(network.delaySpread))
	}
	if network.rng.Float64() < network.duplicateShare {
		return []time.Duration{takes(), takes()}
	}
	return []time.Duration{takes()}
}

// adjustPartition starts (1) or heals (-1) a partition that drops what one zone sends to another.
func (network *datagramNetwork) adjustPartition(from, to, by int) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.partitions[[2]int{from, to}] += by
}

// addLoss adds to the fraction of datagrams that are lost.
func (network *datagramNetwork) addLoss(by float64) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.loss += by
}

// reachable reports whether messages of a zone reach another, directly or through relayZones.
func (network *datagramNetwork) reachable(from, to int, relayZones []bool) bool {
	network.mu.Lock()
	defer network.mu.Unlock()
	reached := []int{from}
	for i := 0; i < len(reached); i++ {
		for zone, there := range relayZones {
			if there && network.partitions[[2]int{reached[i], zone}] == 0 && !slices.Contains(reached, zone) {
				reached = append(reached, zone)
			}
		}
	}
	return slices.Contains(reached, to)
}

// peerNetwork runs the membership protocol of the nodes and records its results. In a live run the
// nodes run it themselves.
type peerNetwork struct {
	sim            *simulation
	datagrams      *datagramNetwork
	transport      *gossip.MemoryNetwork
	rng            *rand.Rand // a source of its own, so that runs without peers draw the same values
	nodes          []peerState
	bytesSent      int
	pastUptime     time.Duration // of all processes that have ended
	detectionTimes []time.Duration
	totals         MembershipResult
}

// peerState is one node's part in the peer network.
type peerState struct {
	port      *gossip.MemoryTransport
	states    map[int]membership.State // its view of the others, by number
	changedAt time.Duration            // its last start or death
	alive     bool
}

// peerTickInterval is the interval between two ticks of a node, the same as in peers.Run.
const peerTickInterval = 50 * time.Millisecond

// newPeerNetwork returns the peer network of a run, nil if the nodes do not talk.
func newPeerNetwork(sim *simulation, seed uint64) *peerNetwork {
	if sim.scenario.Peers.BytesPerSecond.From == 0 {
		return nil
	}
	p := &peerNetwork{sim: sim, datagrams: newDatagramNetwork(sim.scenario, sim.nodes, seed), rng: rand.New(rand.NewPCG(seed, 7)), nodes: make([]peerState, len(sim.nodes))}
	p.transport = gossip.NewMemoryNetwork(nil)
	p.transport.SetDelivery(func(from, to string) []time.Duration { return p.datagrams.copyDelays(nodeNumber(from), nodeNumber(to)) }, sim.scheduleAfter)
	return p
}

// nodeNumber returns the number of the node at an address.
func nodeNumber(addr string) int {
	n, _ := strconv.Atoi(addr) // addresses are assigned here, so they are always numbers
	return n
}

// nodeStarted starts the protocol of a node without any state. A nil peerNetwork does nothing.
func (p *peerNetwork) nodeStarted(n *node) {
	if p == nil {
		return
	}
	peer := &p.nodes[n.number]
	*peer = peerState{states: map[int]membership.State{}, changedAt: p.sim.now, alive: true}
	if p.sim.live != nil {
		return
	}
	engine, lastStates := peers.NewEngine(n.number, len(p.nodes), p.sim.scenario.Peers.BytesPerSecond.From, rand.New(rand.NewPCG(p.rng.Uint64(), 1))), map[membership.ID]membership.State{}
	peer.port = p.transport.ListenFunc(strconv.Itoa(n.number), func(from string, text []byte) {
		p.send(n.number, engine.HandleDatagram(p.sim.now, nodeNumber(from), text))
	})
	epoch := n.epoch
	var tick func()
	tick = func() {
		if n.epoch != epoch {
			return
		}
		p.send(n.number, engine.Tick(p.sim.now))
		for _, c := range engine.Changes(lastStates) {
			p.recordState(n.number, c.Number, c.State)
		}
		p.sim.scheduleAfter(peerTickInterval, tick)
	}
	p.sim.scheduleAfter(time.Duration(p.rng.Float64()*float64(peerTickInterval)), tick)
}

// send sends a node's datagrams.
func (p *peerNetwork) send(from int, all []peers.Datagram) {
	for _, d := range all {
		p.countBytes(len(d.Payload))
		p.nodes[from].port.Send(strconv.Itoa(d.To), d.Payload)
	}
}

// countBytes counts bytes that a node sent.
func (p *peerNetwork) countBytes(bytes int) { p.bytesSent += bytes }

// nodeDied ends the protocol of a node.
func (p *peerNetwork) nodeDied(n *node) {
	if p == nil {
		return
	}
	peer := &p.nodes[n.number]
	if peer.alive {
		p.pastUptime += p.sim.now - peer.changedAt
	}
	if peer.port != nil {
		peer.port.Close()
	}
	*peer = peerState{changedAt: p.sim.now}
}

// recordState records that a node considers another to be in a state.
func (p *peerNetwork) recordState(by, about int, s membership.State) {
	if by == about || by >= len(p.nodes) || about >= len(p.nodes) || about < 0 || !p.nodes[by].alive {
		return
	}
	p.nodes[by].states[about] = s
	if s == membership.Alive {
		return
	}
	if peer := &p.nodes[about]; !peer.alive {
		if s == membership.Dead && peer.changedAt > 0 {
			p.detectionTimes = append(p.detectionTimes, p.sim.now-max(peer.changedAt, p.nodes[by].changedAt))
		}
		return
	}
	zoneAlive := make([]bool, len(p.sim.scenario.Zones)) // zones with a live node, which can relay
	for number := range p.nodes {
		zoneAlive[p.datagrams.zones[number]] = zoneAlive[p.datagrams.zones[number]] || p.nodes[number].alive
	}
	if a, b := p.datagrams.zones[about], p.datagrams.zones[by]; !p.datagrams.reachable(a, b, zoneAlive) || !p.datagrams.reachable(b, a, zoneAlive) {
		return
	}
	if s == membership.Dead {
		p.totals.FalseGone++
	} else {
		p.totals.FalseSuspicions++
	}
}

// result returns the totals, nil if the nodes do not talk.
func (p *peerNetwork) result() *MembershipResult {
	if p == nil {
		return nil
	}
	r := p.totals
	alive := p.pastUptime
	for by := range p.nodes {
		if !p.nodes[by].alive {
			continue
		}
		alive += p.sim.now - p.nodes[by].changedAt
		for about := range p.nodes {
			s := p.nodes[by].states[about]
			switch peer := &p.nodes[about]; {
			case about == by:
			case !peer.alive && s != membership.Dead:
				r.Undetected++
			case peer.alive && s != membership.Alive:
				r.Disagreements++
			}
		}
	}
	if r.Detected = len(p.detectionTimes); r.Detected > 0 {
		slices.Sort(p.detectionTimes)
		at := func(q float64) float64 {
			return float64(p.detectionTimes[int(q*float64(len(p.detectionTimes)-1))].Milliseconds())
		}
		r.DetectMSP50, r.DetectMSP99 = at(0.5), at(0.99)
	}
	if alive > 0 {
		r.BytesPerSecond = round6(float64(p.bytesSent) / alive.Seconds())
	}
	return &r
}
