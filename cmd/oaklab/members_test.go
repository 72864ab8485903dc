package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakseam/internal/emulator"
	"oakseam/internal/fakes"
	"oakseam/internal/simproto"
	"oakseam/logic"
)

// peerView holds the states of a node's peers, as the node logs them.
type peerView struct {
	mu      sync.Mutex
	states  map[int]string // last logged state, by the peer's number
	changes map[string]int // number of changes, by "number state"
}

// record records a logged change.
func (v *peerView) record(number int, state string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.states[number] = state
	v.changes[fmt.Sprint(number, " ", state)]++
}

// state returns the state of a peer. The node logs nothing about a peer that was always there.
func (v *peerView) state(number int) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.states[number]; s != "" {
		return s
	}
	return "there"
}

// changeCount returns how often the node logged a change, such as "3 gone".
func (v *peerView) changeCount(change string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changes[change]
}

// gossipFleet runs real nodes that gossip with each other through relays.
type gossipFleet struct {
	t       *testing.T
	program string
	relays  *fakes.Relays
	listen  []string
	nodes   []*fakes.Node
	views   []*peerView
}

// newGossipFleet starts nodes with their relays. The nodes listen on 127.0.0.2 and the relays on
// 127.0.0.1: a relay may have the same port number as a node.
func newGossipFleet(t *testing.T, count int) *gossipFleet {
	dir := t.TempDir()
	f := &gossipFleet{t: t, program: buildNode(t, dir)}
	for range count {
		reservation, err := fakes.ReserveAddress("127.0.0.2") // reserves TCP; the node also uses the same UDP port
		require.NoError(t, err)
		t.Cleanup(func() { reservation.Close() })
		f.listen = append(f.listen, reservation.Addr)
		_, port, err := net.SplitHostPort(reservation.Addr)
		require.NoError(t, err)
		other, err := net.ListenPacket("udp4", net.JoinHostPort("127.0.0.1", port)) // occupies the port that a relay could have, too
		if err == nil {
			t.Cleanup(func() { other.Close() })
		}
	}
	var err error
	f.relays, err = fakes.NewRelays(f.listen, 1)
	require.NoError(t, err)
	t.Cleanup(f.relays.Close)
	f.nodes, f.views = make([]*fakes.Node, count), make([]*peerView, count)
	t.Cleanup(func() {
		for _, n := range f.nodes {
			if n != nil {
				n.Kill()
			}
		}
	})
	for n := range count {
		f.start(n)
	}
	return f
}

// start starts a node without any state of an earlier process.
func (f *gossipFleet) start(n int) {
	f.t.Helper()
	dir := filepath.Join(f.t.TempDir(), fmt.Sprint(n))
	require.NoError(f.t, os.MkdirAll(dir, 0o700))
	optionsFile := filepath.Join(dir, "own.yaml")
	require.NoError(f.t, os.WriteFile(optionsFile, []byte("log: {format: json}\npeers: {bytes_per_s: 2000}\n"), 0o600))
	settings := logic.Settings{Nodes: len(f.listen), Number: n, CanCancel: true, ConnIdle: 5 * time.Second, Classes: []logic.Class{
		{Name: "topup", Effect: logic.Unsafe, Aim: 5 * time.Second, Deadline: 10 * time.Second, Worth: 8}}}
	f.views[n] = &peerView{states: map[int]string{}, changes: map[string]int{}}
	node, err := fakes.StartNode(f.program, dir, map[string]any{"name": fmt.Sprint("n", n), "listen": f.listen[n], "discovery": "127.0.0.1:1",
		"seed": fmt.Sprint(n + 1), "limits": map[string]any{"sockets": 256}, "peer_listen": f.listen[n], "peers": f.relays.Peers(n),
		"known": fakes.List{Revision: 1, Full: true}, "settings": simproto.EncodeSettings(settings, time.Second)}, f.listen[n], "127.0.0.1:1", &fakes.PeerLogWriter{OnChange: f.views[n].record}, "node", "--config", optionsFile)
	require.NoError(f.t, err)
	f.nodes[n] = node
}

// kill kills a node with -9.
func (f *gossipFleet) kill(n int) {
	f.nodes[n].Kill()
	f.nodes[n] = nil
}

// waitForState waits until every running node sees each of the peers in the wanted state.
func (f *gossipFleet) waitForState(peers []int, want string) {
	f.t.Helper()
	began := time.Now()
	require.Eventually(f.t, func() bool {
		for by, n := range f.nodes {
			for _, peer := range peers {
				if n != nil && by != peer && f.views[by].state(peer) != want {
					return false
				}
			}
		}
		return true
	}, time.Minute, 20*time.Millisecond, "%v %s in the view of all", peers, want)
	f.t.Logf("%v %s in the view of all after %v", peers, want, time.Since(began).Round(10*time.Millisecond))
}

// TestRealNodesAgreeOnMembership guards against nodes that don't agree on who is alive, or that take a
// reachable node for gone. Six real nodes in three sites of two lose 20% of the datagrams between them.
// One is killed with -9 and restarted without state, a path is cut in one direction, a site is
// partitioned and comes back, and all lose power at the same time.
func TestRealNodesAgreeOnMembership(t *testing.T) {
	f := newGossipFleet(t, 6)
	everyone := []int{0, 1, 2, 3, 4, 5}
	f.relays.SetFaults(0.2, nil)
	require.Eventually(t, func() bool {
		for from := range 6 {
			for to := range 6 {
				if from != to && f.relays.Forwarded(from, to) < 2 {
					return false
				}
			}
		}
		return true
	}, time.Minute, 20*time.Millisecond, "every node sends to every other")

	f.kill(3)
	f.waitForState([]int{3}, "gone")
	f.start(3)
	f.waitForState(everyone, "there")

	// One direction is cut: probes through other nodes must go around it. Meanwhile as many datagrams
	// pass as a suspicion would take.
	f.relays.SetFaults(0.2, func(from, to int) bool { return from == 1 && to == 4 })
	before := f.relays.Forwarded(4, 1)
	require.Eventually(t, func() bool { return f.relays.Forwarded(4, 1) > before+12 }, time.Minute, 20*time.Millisecond)
	f.relays.SetFaults(0.2, nil)
	f.waitForState(everyone, "there")
	for by, v := range f.views {
		for _, peer := range []int{0, 1, 2, 4, 5} {
			assert.Zero(t, v.changeCount(fmt.Sprint(peer, " gone")), "%d in the view of %d: it is alive and reachable", peer, by)
		}
	}

	inSite := func(n int) bool { return n < 2 } // the partitioned site; both sides keep running
	f.relays.SetFaults(0.2, func(from, to int) bool { return inSite(from) != inSite(to) })
	for by := range f.nodes {
		for peer := range f.nodes {
			if inSite(by) != inSite(peer) {
				require.Eventually(t, func() bool { return f.views[by].state(peer) == "gone" }, time.Minute, 20*time.Millisecond, "%d in the view of %d, which is partitioned from it", peer, by)
			}
		}
	}
	assert.Equal(t, "there", f.views[0].state(1))
	f.relays.SetFaults(0.2, nil)
	f.waitForState(everyone, "there")

	for n := range f.nodes { // power loss: all are killed and restart without state
		f.kill(n)
	}
	for n := range f.nodes {
		f.start(n)
	}
	f.kill(5)
	f.waitForState([]int{5}, "gone")
	f.waitForState([]int{0, 1, 2, 3, 4}, "there")
	for _, n := range f.nodes[:5] {
		assert.NoError(t, n.Stop(20*time.Second))
	}
	clear(f.nodes)
}

// TestRealNodesDetectLostSite guards against a lost site that the other nodes don't detect, and against
// live nodes that are taken for gone. A site of the scenario is lost for good with its nodes.
func TestRealNodesDetectLostSite(t *testing.T) {
	sc, err := emulator.Read("../../deploy/lab/members.yaml")
	require.NoError(t, err)
	sc.Seconds, sc.Troubles = fixed(18), sc.Troubles[:2]
	sc.Troubles[0].AtS, sc.Troubles[0].DurationS = fixed(1), fixed(4)
	sc.Troubles[1].AtS, sc.Troubles[1].DurationS = fixed(2), fixed(60)
	m := runProcesses(t, sc).Membership
	require.NotNil(t, m)
	assert.Equal(t, 8, m.Detected, "each of four nodes detects that each of two is gone")
	assert.Zero(t, m.Undetected)
	assert.Zero(t, m.FalseGone)
	assert.Zero(t, m.Disagreements)
	assert.Positive(t, m.DetectMSP50)
	assert.Less(t, m.BytesPerSecond, 512.0)
	assert.Positive(t, m.BytesPerSecond)
	t.Logf("%+v", *m)
}
