package edge

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/rpc"
	"oakseam/internal/tier/settings"
	"oakseam/internal/tier/watch"
)

const (
	ownZone   = "zone-a"
	otherZone = "zone-b"
	thirdZone = "zone-c"
	// readinessBound is how long a change of readiness may take: a turn waits this long for its leader.
	readinessBound = 2 * time.Second
	// contactTimeout bounds the wait for an edge that reaches a storage node.
	contactTimeout = 20 * time.Second
	// checkInterval is how often a test asks for the readiness.
	checkInterval = 20 * time.Millisecond
)

const isolationConfiguration = `{"configRevision":1,"virtualServers":[
{"name":"turns","hostHeader":"h","pathPrefix":"/turns/","trafficClass":"streaming","timeoutMs":5000,"targetLatencyMs":250,"priority":1,"poolName":"llm","retryLimit":2,"retained":true,"retentionS":60}],
"pools":[{"name":"llm"}],"limits":{"maxBodyBytes":1000}}`

// storageNode answers searches for turns.
type storageNode struct{ searches atomic.Int64 }

// Find implements the call Turns.Find.
func (s *storageNode) Find(*protocol.FindArgs, *protocol.FindReply) error {
	s.searches.Add(1)
	return nil
}

// awaitContact waits until the node has answered at least one search: a second one has arrived.
func (s *storageNode) awaitContact(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if searches := s.searches.Load(); searches < 2 {
			return poll.Continue("%d searches", searches)
		}
		return poll.Success()
	}, poll.WithTimeout(contactTimeout), poll.WithDelay(checkInterval))
}

// serveStorage starts a storage node at an address and returns it, its address and how to stop it.
func serveStorage(t *testing.T, address string) (node *storageNode, at string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	node = &storageNode{}
	server, err := rpc.NewServer(map[string]any{"Turns": node})
	assert.NilError(t, err)
	go server.Serve(listener)
	stop = func() { server.Close() }
	t.Cleanup(stop)
	return node, listener.Addr().String(), stop
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// startEdge starts an edge of ownZone that knows the given storage nodes, one for each zone, and
// returns the address of its readiness check.
func startEdge(t *testing.T, storageByZone map[string]string) (readiness string) {
	t.Helper()
	s := &settings.Settings{NodeName: "edge-1", Zone: ownZone}
	s.BindAddresses.Front, s.BindAddresses.Readiness = "127.0.0.1:0", freeAddress(t)
	s.Bounds.Grace = time.Second
	n, err := New(s, nil, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	n.handleUpdate(watch.Update{Configuration: []byte(isolationConfiguration)})
	n.handleUpdate(watch.Update{Partition: protocol.ServicePartition("llm"), Lists: []protocol.ServerList{
		{Service: "llm", Version: 1, Servers: []protocol.Server{{ID: "i-1", Address: freeAddress(t), Zone: ownZone, Capacity: 8}}},
	}})
	directory := protocol.Directory{Version: 1}
	var voters []replica.NodeID
	for zone, address := range storageByZone {
		id := replica.NodeID(len(voters) + 1)
		directory.Nodes = append(directory.Nodes, protocol.Node{ID: id, Class: protocol.Storage, Address: address, Zone: zone})
		voters = append(voters, id)
	}
	directory.Partitions = []protocol.PartitionMembers{{Voters: voters}}
	n.handleUpdate(watch.Update{Directory: &directory})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return s.BindAddresses.Readiness
}

// awaitReadiness waits until the readiness check answers with a status.
func awaitReadiness(t *testing.T, address string, status int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		response, err := http.Get("http://" + address + "/api/readiness")
		if err != nil {
			return poll.Continue("no answer: %v", err)
		}
		defer response.Body.Close()
		if response.StatusCode != status {
			return poll.Continue("status %d", response.StatusCode)
		}
		return poll.Success()
	}, poll.WithTimeout(readinessBound), poll.WithDelay(checkInterval))
}

// An edge whose zone is cut off from all others must not attract clients: it reaches no leader, so
// their turns wait and fail.
func TestEdgeOfZoneThatIsCutOffIsNotReady(t *testing.T) {
	_, own, _ := serveStorage(t, "127.0.0.1:0")
	node, other, cut := serveStorage(t, "127.0.0.1:0")
	_, third, cutThird := serveStorage(t, "127.0.0.1:0")
	readiness := startEdge(t, map[string]string{ownZone: own, otherZone: other, thirdZone: third})
	awaitReadiness(t, readiness, http.StatusOK)
	node.awaitContact(t)
	cut()
	cutThird()
	awaitReadiness(t, readiness, http.StatusServiceUnavailable)
	serveStorage(t, other)
	awaitReadiness(t, readiness, http.StatusOK)
}

// An edge that has just started cannot tell a cut from nodes of other zones that start later than its
// own, as after a loss of all power.
func TestEdgeThatStartsBeforeOtherZonesIsReady(t *testing.T) {
	node, own, _ := serveStorage(t, "127.0.0.1:0")
	readiness := startEdge(t, map[string]string{ownZone: own, otherZone: freeAddress(t), thirdZone: freeAddress(t)})
	node.awaitContact(t)
	awaitReadiness(t, readiness, http.StatusOK)
}
