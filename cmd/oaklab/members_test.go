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

	"pipitmux/internal/emulator"
	"pipitmux/internal/standin"
	"pipitmux/internal/wire"
	"pipitmux/logic"
)

// view is what a node takes each peer for, by its log.
type view struct {
	mu   sync.Mutex
	of   map[int]string
	seen map[string]int // changes, as "number state"
}

func (v *view) changed(number int, state string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.of[number] = state
	v.seen[fmt.Sprint(number, " ", state)]++
}

// takes tells what the node takes a peer for; it says nothing of one that was there all along.
func (v *view) takes(number int) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.of[number]; s != "" {
		return s
	}
	return "there"
}

func (v *view) saw(change string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seen[change]
}

// tier is real nodes that talk to each other by way of relays.
type tier struct {
	t       *testing.T
	program string
	relays  *standin.Relays
	listen  []string
	nodes   []*standin.Node
	views   []*view
}

func newTier(t *testing.T, count int) *tier {
	dir := t.TempDir()
	f := &tier{t: t, program: buildNode(t, dir)}
	for range count {
		held, err := standin.ReserveAddress("127.0.0.2") // for its number: the datagrams come to the same port,
		require.NoError(t, err)
		t.Cleanup(func() { held.Close() })
		f.listen = append(f.listen, held.Addr)
		_, port, err := net.SplitHostPort(held.Addr)
		require.NoError(t, err)
		other, err := net.ListenPacket("udp4", net.JoinHostPort("127.0.0.1", port)) // which a relay may have as well
		if err == nil {
			t.Cleanup(func() { other.Close() })
		}
	}
	var err error
	f.relays, err = standin.NewRelays(f.listen, 1)
	require.NoError(t, err)
	t.Cleanup(f.relays.Close)
	f.nodes, f.views = make([]*standin.Node, count), make([]*view, count)
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

// start starts a node that knows nothing of an earlier life.
func (f *tier) start(n int) {
	f.t.Helper()
	dir := filepath.Join(f.t.TempDir(), fmt.Sprint(n))
	require.NoError(f.t, os.MkdirAll(dir, 0o700))
	own := filepath.Join(dir, "own.yaml")
	require.NoError(f.t, os.WriteFile(own, []byte("log: {format: json}\npeers: {bytes_per_s: 2000}\n"), 0o600))
	settings := logic.Settings{Nodes: len(f.listen), Number: n, CanCancel: true, ConnIdle: 5 * time.Second, Classes: []logic.Class{
		{Name: "topup", Effect: logic.Unsafe, Aim: 5 * time.Second, Deadline: 10 * time.Second, Worth: 8}}}
	f.views[n] = &view{of: map[int]string{}, seen: map[string]int{}}
	node, err := standin.StartNode(f.program, dir, map[string]any{"name": fmt.Sprint("n", n), "listen": f.listen[n], "discovery": "127.0.0.1:1",
		"seed": fmt.Sprint(n + 1), "limits": map[string]any{"sockets": 256}, "peer_listen": f.listen[n], "peers": f.relays.Peers(n),
		"known": standin.List{Revision: 1, Full: true}, "settings": wire.EncodeSettings(settings, time.Second)}, f.listen[n], "127.0.0.1:1", &standin.PeerLogWriter{OnChange: f.views[n].changed}, "node", "--config", own)
	require.NoError(f.t, err)
	f.nodes[n] = node
}

// kill kills a node with -9.
func (f *tier) kill(n int) {
	f.nodes[n].Kill()
	f.nodes[n] = nil
}

// all waits until every living node takes each of some for what is wanted.
func (f *tier) all(of []int, want string) {
	f.t.Helper()
	began := time.Now()
	require.Eventually(f.t, func() bool {
		for by, n := range f.nodes {
			for _, m := range of {
				if n != nil && by != m && f.views[by].takes(m) != want {
					return false
				}
			}
		}
		return true
	}, time.Minute, 20*time.Millisecond, "%v %s to all", of, want)
	f.t.Logf("%v %s to all after %v", of, want, time.Since(began).Round(10*time.Millisecond))
}

// TestMembersProcesses: six real nodes in three sites of two, 20% of the datagrams between
// them lost. One is killed with -9 and started from nothing; a path is cut one way; a site is
// cut off both ways and comes back; all lose power at once. Each time all that live come to
// agree on who is there, and none that lives and is heard by any is ever gone.
func TestMembersProcesses(t *testing.T) {
	f := newTier(t, 6)
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
	}, time.Minute, 20*time.Millisecond, "all talk to all")

	f.kill(3)
	f.all([]int{3}, "gone")
	f.start(3)
	f.all(everyone, "there")

	// One way is cut: the others go round it. As many datagrams as a suspicion would take
	// pass meanwhile.
	f.relays.SetFaults(0.2, func(from, to int) bool { return from == 1 && to == 4 })
	before := f.relays.Forwarded(4, 1)
	require.Eventually(t, func() bool { return f.relays.Forwarded(4, 1) > before+12 }, time.Minute, 20*time.Millisecond)
	f.relays.SetFaults(0.2, nil)
	f.all(everyone, "there")
	for by, v := range f.views {
		for _, m := range []int{0, 1, 2, 4, 5} {
			assert.Zero(t, v.saw(fmt.Sprint(m, " gone")), "%d, to %d: it lives and is heard", m, by)
		}
	}

	site := func(n int) bool { return n < 2 } // cut off: both sides go on
	f.relays.SetFaults(0.2, func(from, to int) bool { return site(from) != site(to) })
	for by := range f.nodes {
		for m := range f.nodes {
			if site(by) != site(m) {
				require.Eventually(t, func() bool { return f.views[by].takes(m) == "gone" }, time.Minute, 20*time.Millisecond, "%d to %d, who is cut off", m, by)
			}
		}
	}
	assert.Equal(t, "there", f.views[0].takes(1))
	f.relays.SetFaults(0.2, nil)
	f.all(everyone, "there")

	for n := range f.nodes { // power loss: all at once, from nothing
		f.kill(n)
	}
	for n := range f.nodes {
		f.start(n)
	}
	f.kill(5)
	f.all([]int{5}, "gone")
	f.all([]int{0, 1, 2, 3, 4}, "there")
	for _, n := range f.nodes[:5] {
		assert.NoError(t, n.Stop(20*time.Second))
	}
	clear(f.nodes)
}

// The lab plays a day in which real nodes talk, by the scenario: a site is lost with its nodes
// for good, and the result tells that the others came to know it.
func TestMembersOfRealNodes(t *testing.T) {
	sc, err := emulator.Read("../../deploy/lab/members.yaml")
	require.NoError(t, err)
	sc.Seconds, sc.Troubles = stated(18), sc.Troubles[:2]
	sc.Troubles[0].AtS, sc.Troubles[0].DurationS = stated(1), stated(4)
	sc.Troubles[1].AtS, sc.Troubles[1].DurationS = stated(2), stated(60)
	m := playProcesses(t, sc).Membership
	require.NotNil(t, m)
	assert.Equal(t, 8, m.Detected, "each of four takes each of two for gone")
	assert.Zero(t, m.Undetected)
	assert.Zero(t, m.FalseGone)
	assert.Zero(t, m.Disagreements)
	assert.Positive(t, m.DetectMSP50)
	assert.Less(t, m.BytesPerSecond, 512.0)
	assert.Positive(t, m.BytesPerSecond)
	t.Logf("%+v", *m)
}
