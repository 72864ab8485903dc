package node

import (
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/durable"
	"oakseam/internal/tier/hashing"
	"oakseam/internal/tier/protocol"
)

// knownNodesFile is the name under which the known nodes are stored.
const knownNodesFile = "nodes"

// AddressBook holds the addresses of the control plane's nodes. It is stored on disk because
// after a power failure the directory can be read only once a quorum has formed again.
type AddressBook struct {
	store durable.Store

	mu    sync.Mutex
	nodes map[replica.NodeID]protocol.Node
}

// LoadAddressBook reads the known nodes from the store.
func LoadAddressBook(store durable.Store) (*AddressBook, error) {
	a := &AddressBook{store: store, nodes: map[replica.NodeID]protocol.Node{}}
	text, err := store.Read(knownNodesFile)
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, durable.ErrTorn) {
		return a, nil // not essential: the seeds know more
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

// Learn adds nodes and reports whether anything changed. A later incarnation of a machine
// replaces the earlier one.
func (a *AddressBook) Learn(nodes ...protocol.Node) bool {
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

// Digest returns a digest of the known nodes. Address books that hold the same have the same one.
func (a *AddressBook) Digest() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	digest := uint64(0)
	for _, n := range a.nodes {
		digest ^= hashing.Sum64(fmt.Sprintf("%d %d %q %q %q", n.ID, n.Class, n.Name, n.Address, n.Zone))
	}
	return digest
}

// Save stores the known nodes.
func (a *AddressBook) Save() error {
	text, err := cbor.Marshal(a.All())
	if err != nil {
		return errors.Wrap(err, "encode known nodes")
	}
	if err := a.store.Write(knownNodesFile, text); err != nil {
		return errors.Wrap(err, "store known nodes")
	}
	return nil
}

// Find returns a node by its id.
func (a *AddressBook) Find(id replica.NodeID) (protocol.Node, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, ok := a.nodes[id]
	return n, ok
}

// All returns all known nodes, sorted by id.
func (a *AddressBook) All() []protocol.Node {
	a.mu.Lock()
	defer a.mu.Unlock()
	ids := slices.Sorted(maps.Keys(a.nodes))
	nodes := make([]protocol.Node, 0, len(ids))
	for _, id := range ids {
		nodes = append(nodes, a.nodes[id])
	}
	return nodes
}
