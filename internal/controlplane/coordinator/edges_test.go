package coordinator

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/rpc"
)

// A grant to an edge that is gone would be lost for the whole warm-up.
func TestEdgeWithoutRecentCallIsForgotten(t *testing.T) {
	var r edgeRegistry
	start := time.Now()
	assert.Equal(t, len(r.all(start)), 0)
	r.record("edge-2", "z2", start)
	r.record("edge-1", "z1", start)
	assert.DeepEqual(t, r.all(start), []protocol.EdgeNode{{Name: "edge-1", Zone: "z1"}, {Name: "edge-2", Zone: "z2"}})
	r.record("edge-2", "", start.Add(edgeTimeout))
	assert.DeepEqual(t, r.all(start.Add(edgeTimeout+time.Millisecond)), []protocol.EdgeNode{{Name: "edge-2", Zone: "z2"}})
	assert.Equal(t, len(r.edges), 1)
}

// Two core nodes must not keep an edge that is gone alive by telling each other of it.
func TestEdgesOfOtherNodesAreNotPassedOn(t *testing.T) {
	var r edgeRegistry
	start := time.Now()
	r.record("edge-1", "z1", start)
	r.recordOthers([]protocol.EdgeNode{{Name: "edge-1", Zone: "z1"}, {Name: "edge-2", Zone: "z2"}}, start.Add(time.Second))
	assert.Equal(t, len(r.all(start.Add(time.Second))), 2)
	assert.DeepEqual(t, r.here(start.Add(time.Second)), []protocol.EdgeNode{{Name: "edge-1", Zone: "z1"}})
	late := start.Add(edgeTimeout + time.Millisecond)
	assert.Equal(t, len(r.here(late)), 0)
	assert.Equal(t, len(r.all(late)), 2)
	assert.Equal(t, len(r.all(late.Add(time.Second))), 0)
}

// The node that lists must also know the edges that follow other core nodes, and take no storage node for one.
func TestEdgesOfAnotherCoreNodeAreCollected(t *testing.T) {
	lists, other := newSingleNode(t, false), newSingleNode(t, false)
	for _, args := range []protocol.WatchArgs{{Node: "edge-1", Zone: "z1"}, {Node: "storage-1", DirectoryOnly: true}} {
		args.Wait = time.Millisecond
		watch(t, other, args)
	}
	server, err := rpc.NewServer(map[string]any{"Control": &controlService{other}})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, server.Close()) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go server.Serve(listener)
	lists.collectEdgesFrom(t.Context(), listener.Addr().String())
	assert.DeepEqual(t, (&listerTask{lists}).Edges(), []protocol.EdgeNode{{Name: "edge-1", Zone: "z1"}})
}
