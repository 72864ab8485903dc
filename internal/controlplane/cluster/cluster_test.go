// Package cluster judges several core nodes in one process by what their callers see: HTTP at the
// admin API of each node, and at an edge that follows them. The nodes keep their state on disk and
// speak over loopback; links between them can be cut, and nodes can be killed and lose their disks.
package cluster

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/adminapi"
	"oakseam/internal/controlplane/coordinator"
	"oakseam/internal/controlplane/node"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/store"
	"oakseam/internal/controlplane/tallysync"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/rpc"
	"oakseam/internal/wait"
)

// Bounds of the apart deployments' settings.
const (
	recoveryBound = 15 * time.Second // recoveryS
	configApply   = 2500 * time.Millisecond
	drainBound    = 4 * time.Second
)

const (
	// silenceLimit is after how long without an answer a caller turns to another node.
	silenceLimit = time.Second
	// pollInterval is the time between two tries.
	pollInterval = 20 * time.Millisecond
)

// zoneNames are the zones of the clusters of these tests, one node each.
var zoneNames = []string{"zone-a", "zone-b", "zone-c", "zone-d", "zone-e"}

// toleratedLosses is how many of their nodes may lose their disks at once.
const toleratedLosses = 2

// seedCount is how many nodes are told to each process as seeds.
const seedCount = 3

// cluster is a set of core nodes.
type cluster struct {
	*testing.T
	toleratedLosses int
	platform        staticPlatform
	network         *network
	nodes           []*coreNode
	seeds           []string
}

// coreNode is a machine of the core, with its process while it runs.
type coreNode struct {
	name    string
	zone    string
	address string // of calls between processes
	api     string // of the admin API
	folder  string
	process *node.Node // nil while no process runs
	kill    func()
}

// staticPlatform is a list of servers that never changes.
type staticPlatform map[string][]protocol.Server

// List implements lister.Platform.
func (p staticPlatform) List(context.Context) (map[string][]protocol.Server, error) { return p, nil }

// startCluster starts one core node in each of the zones for the first time, and waits until each
// group has its voters.
func startCluster(t *testing.T, toleratedLosses int, platform staticPlatform, zones ...string) *cluster {
	t.Helper()
	closed, closeNetwork := context.WithCancel(context.Background())
	c := &cluster{T: t, toleratedLosses: toleratedLosses, platform: platform, network: newNetwork(closed)}
	folder, err := os.MkdirTemp(diskRoot(), "cluster")
	assert.NilError(t, err)
	t.Cleanup(func() {
		closeNetwork()
		c.killAll()
		os.RemoveAll(folder)
	})
	for i, zone := range zones {
		name := fmt.Sprintf("core-%s-%d", zone, i+1)
		c.nodes = append(c.nodes, &coreNode{name: name, zone: zone, address: freeAddress(t), api: freeAddress(t), folder: filepath.Join(folder, name)})
	}
	for _, n := range c.nodes[:min(seedCount, len(c.nodes))] {
		c.seeds = append(c.seeds, n.address)
	}
	for _, n := range c.nodes {
		c.start(n, true)
	}
	for _, group := range coordinator.Groups() {
		c.awaitVoters(group)
	}
	return c
}

// awaitVoters waits until the leader of a group has as many voters as the group needs.
func (c *cluster) awaitVoters(group replica.GroupID) {
	c.Helper()
	wanted := coordinator.FeasibleVoters(c.toleratedLosses, len(c.nodes))
	for deadline := time.Now().Add(recoveryBound); ; wait.For(c.Context(), pollInterval) {
		for _, n := range c.nodes {
			status, err := n.process.Host.Status(group)
			if err == nil && status.LeaderReady && len(status.Members.Voters) == wanted {
				return
			}
		}
		assert.Assert(c, time.Now().Before(deadline), "group %s has no %d voters within %v", group, wanted, recoveryBound)
	}
}

// memoryDisk is a folder that is kept in memory, on systems that have one.
const memoryDisk = "/dev/shm"

// diskRoot returns the folder for the nodes' disks. Kept in memory, a sync takes no time: a busy
// machine's own disk would add to the bounds, and no test here takes the power away.
func diskRoot() string {
	if stat, err := os.Stat(memoryDisk); err == nil && stat.IsDir() {
		return memoryDisk
	}
	return ""
}

// addressCount is how many addresses freeAddress has returned.
var addressCount atomic.Uint32

// freeAddress returns an address that stays free until it is listened on, also between two starts of a
// node. Its host is told by this process's id and a count, so that outgoing connections, which have
// 127.0.0.1, and the tests of other packages don't take its port.
func freeAddress(t *testing.T) string {
	t.Helper()
	id, count := os.Getpid(), addressCount.Add(1)
	host := netip.AddrFrom4([4]byte{127, byte(64 + id>>8&63), byte(id), byte(1 + count%250)})
	l, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// start starts the process of a node as `oakseam-control coordinate` does.
func (c *cluster) start(machine *coreNode, bootstrap bool) {
	c.Helper()
	assert.NilError(c, os.MkdirAll(machine.folder, 0o755))
	n, err := node.Open(node.Options{
		Name: machine.name, Zone: machine.zone, Class: protocol.Core, Address: machine.address, DataDir: machine.folder,
		Bootstrap: bootstrap, Seeds: c.seeds, Dial: c.network.dialFrom(machine.address),
	})
	assert.NilError(c, err)
	disk, err := store.OpenTallies(machine.folder)
	assert.NilError(c, err)
	transport := tallysync.NewPoolTransport(c.network.dialFrom(machine.address))
	tallies, err := tallysync.New(tallysync.Options{
		Self: n.Self, ToleratedLosses: c.toleratedLosses, Store: disk, Transport: transport, Members: n.Addresses.All, MergeBound: mergeBound,
	})
	assert.NilError(c, err)
	core, err := coordinator.New(coordinator.Options{
		Tallies: tallies, Node: n, ToleratedLosses: c.toleratedLosses, Zones: zoneNames, Bootstrap: bootstrap, Seeds: c.seeds, ConfigApply: configApply, DrainBound: drainBound,
	})
	assert.NilError(c, err)
	api, err := net.Listen("tcp", machine.api)
	assert.NilError(c, err)
	calls, err := rpc.Listen(machine.address)
	assert.NilError(c, err)
	server := adminapi.NewServer(adminapi.Options{Authority: core, Tallies: coordinator.TalliesAPI{Node: tallies}})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { server.Serve(api) })
	running.Go(func() { core.Run(ctx, calls, c.platform) })
	machine.process = n
	machine.kill = func() {
		server.Close()
		cancel()
		running.Wait()
		n.Close()
		transport.Close()
		disk.Close()
	}
}

// killAll ends all processes at the same time.
func (c *cluster) killAll() {
	c.kill(c.nodes...)
}

// kill ends the processes of some nodes at the same time.
func (c *cluster) kill(nodes ...*coreNode) {
	var ending sync.WaitGroup
	for _, n := range nodes {
		if n.process != nil {
			ending.Go(n.kill)
			n.process = nil
		}
	}
	ending.Wait()
}

// restartAll starts all processes again after killAll and waits for a leader. Nodes in lost start
// with an empty disk.
func (c *cluster) restartAll(lost ...*coreNode) {
	c.Helper()
	for _, n := range lost {
		assert.NilError(c, os.RemoveAll(n.folder))
	}
	for _, n := range c.nodes {
		c.start(n, false)
	}
	c.awaitLeader()
}

// awaitLeader waits until a configuration can be read: 200, or 404 if there is none yet.
func (c *cluster) awaitLeader() {
	c.Helper()
	operator := newCaller(c.nodes...)
	operator.until(c.T, recoveryBound, http.MethodGet, "/api/Configuration.Show", "", http.StatusOK, http.StatusNotFound)
}

// separate cuts all links between two sets of nodes.
func (c *cluster) separate(side, other []*coreNode) {
	addresses := func(nodes []*coreNode) (all []string) {
		for _, n := range nodes {
			all = append(all, n.address)
		}
		return all
	}
	c.network.separate(addresses(side), addresses(other))
}

// caller calls the admin API of some nodes as the operators and their applications do: the first
// one, and the next one after a failure, a 5xx, a 429 or a second of silence.
type caller struct {
	nodes  []*coreNode
	client http.Client
	header http.Header
}

func newCaller(nodes ...*coreNode) *caller {
	return &caller{nodes: nodes, client: http.Client{Timeout: silenceLimit, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call makes one call to a node. The status is 0 if there is no answer.
func (c *caller) call(n *coreNode, method, path, body string) (status int, reply []byte) {
	request, err := http.NewRequest(method, "http://"+n.api+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil
	}
	request.Header = c.header.Clone()
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	if reply, err = io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, reply
}

// until calls until an answer has one of the wanted statuses, and returns the node that gave it and
// the answer's body. Another answer below 500 but 429 fails the test, as does the end of the time.
func (c *caller) until(t *testing.T, limit time.Duration, method, path, body string, wanted ...int) (*coreNode, []byte) {
	t.Helper()
	last := 0
	for deadline, try := time.Now().Add(limit), 0; time.Now().Before(deadline); try++ {
		n := c.nodes[try%len(c.nodes)]
		status, reply := c.call(n, method, path, body)
		for _, w := range wanted {
			if status == w {
				return n, reply
			}
		}
		if status != 0 && status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
			t.Fatalf("%s %s at %s: status %d, want %v: %s", method, path, n.name, status, wanted, reply)
		}
		last = status
		wait.For(t.Context(), pollInterval)
	}
	t.Fatalf("%s %s: no status of %v within %v, last was %d", method, path, wanted, limit, last)
	return nil, nil
}
