package node

import (
	"io/fs"
	"maps"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/durable"
	"pipitmux/internal/station/protocol"
)

// addressesName is the name under which the known nodes are kept on disk.
const addressesName = "nodes"

// Addresses knows where the nodes of the control plane are reached. It is kept on disk,
// since after a loss of power the directory can be read only once a quorum has found
// itself again.
type Addresses struct {
	store durable.Store

	mu    sync.Mutex
	nodes map[replica.NodeID]protocol.Node
}

// LoadAddresses returns what the store holds.
func LoadAddresses(store durable.Store) (*Addresses, error) {
	a := &Addresses{store: store, nodes: map[replica.NodeID]protocol.Node{}}
	text, err := store.Read(addressesName)
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, durable.ErrTorn) {
		return a, nil // it is only a help: the seeds know more
	}
	if err != nil {
		return nil, errors.Wrap(err, "read known nodes")
	}
	var nodes []protocol.Node
	if err := cbor.Unmarshal(text, &nodes); err != nil {
		return nil, errors.Wrap(err, "read known nodes")
	}
	for _, n := range nodes {
		a.nodes[n.ID] = n
	}
	return a, nil
}

// Learn takes nodes on and tells whether one of them was new. A later incarnation takes
// the place of an earlier one.
func (a *Addresses) Learn(nodes ...protocol.Node) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := false
	for _, n := range nodes {
		if n.ID == 0 || n.Address == "" || a.nodes[n.ID] == n {
			continue
		}
		maps.DeleteFunc(a.nodes, func(_ replica.NodeID, o protocol.Node) bool { return o.SameNode(n) })
		a.nodes[n.ID] = n
		changed = true
	}
	return changed
}

// Save makes what is known durable.
func (a *Addresses) Save() error {
	text, err := cbor.Marshal(a.All())
	if err != nil {
		return errors.Wrap(err, "encode known nodes")
	}
	if err := a.store.Write(addressesName, text); err != nil {
		return errors.Wrap(err, "keep known nodes")
	}
	return nil
}

// Find returns a node by its id.
func (a *Addresses) Find(id replica.NodeID) (protocol.Node, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, ok := a.nodes[id]
	return n, ok
}

// All returns all known nodes in the order of their ids.
func (a *Addresses) All() []protocol.Node {
	a.mu.Lock()
	defer a.mu.Unlock()
	ids := slices.Sorted(maps.Keys(a.nodes))
	nodes := make([]protocol.Node, 0, len(ids))
	for _, id := range ids {
		nodes = append(nodes, a.nodes[id])
	}
	return nodes
}
