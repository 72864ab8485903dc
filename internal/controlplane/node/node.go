// Package node is the common part of every control plane process: its identity, the nodes it
// knows, the groups it is a member of, and the calls to the leaders of groups.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"oakseam/internal/controlplane/host"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/store"
	"oakseam/internal/durable"
	"oakseam/internal/tier/hashing"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/rpc"
)

// Timing returns the timing of the groups of a class of nodes. Followers of turn groups learn
// the commit index with the next message; configuration changes are sent at once.
func Timing(class protocol.Class) replica.Timing {
	return replica.Timing{
		HeartbeatInterval: 100 * time.Millisecond,
		ElectionTimeout:   400 * time.Millisecond,
		ElectionJitter:    150 * time.Millisecond,
		LeaseDuration:     300 * time.Millisecond,
		LostAfter:         MemberLostAfter,
		LazyCommit:        class == protocol.Storage,
	}
}

// bulkStaleTimeout is how long a connection for bulk data may be silent with calls in flight.
const bulkStaleTimeout = 5 * time.Second

// MemberLostAfter is how long a member may be silent before it counts as lost.
const MemberLostAfter = 1500 * time.Millisecond

// Options configure a Node.
type Options struct {
	Name    string
	Zone    string
	Class   protocol.Class
	Address string // of the net/rpc listener
	DataDir string
	// Bootstrap states that the whole system starts for the first time, with empty disks. Node
	// ids are then derived from addresses, so that all nodes know the first members.
	Bootstrap      bool
	Seeds          []string // net/rpc addresses of core nodes
	OnUnknownGroup func(replica.GroupID) bool
	// Dial connects to another node; TCP by default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Node is one process of the control plane.
type Node struct {
	Self      protocol.Node
	Host      *host.Host
	Addresses *AddressBook
	Pool      *rpc.Pool

	bulk  *rpc.Pool // for data that would delay heartbeats
	seeds []string
	store store.Store
	start time.Time
}

// BootstrapID returns the id that a node with this class and address has at the first start.
func BootstrapID(class protocol.Class, address string) replica.NodeID {
	return replica.NodeID(hashing.Sum64(string(rune('0'+class))+"|"+address) | 1)
}

// Open opens the node's disk and reads its identity.
func Open(options Options) (*Node, error) {
	n := &Node{seeds: options.Seeds, start: time.Now()}
	disk, err := store.Open(options.DataDir)
	if err != nil {
		return nil, errors.Wrap(err, "open store")
	}
	n.store = disk
	if err := n.open(disk, options); err != nil {
		return nil, errors.Join(err, disk.Close())
	}
	return n, nil
}

// open reads the identity, the known nodes and the groups from the disk.
func (n *Node) open(disk store.Store, options Options) error {
	id, err := identity(disk, options)
	if err != nil {
		return errors.Wrap(err, "identity")
	}
	n.Self = protocol.Node{ID: id, Name: options.Name, Class: options.Class, Address: options.Address, Zone: options.Zone}
	if n.Addresses, err = LoadAddressBook(durable.Directory(options.DataDir)); err != nil {
		klog.ErrorS(err, "Reading the known nodes failed; relying on the seeds")
		n.Addresses, _ = LoadAddressBook(&durable.MemoryStore{})
		n.Addresses.store = durable.Directory(options.DataDir)
	}
	if options.Bootstrap {
		for _, seed := range options.Seeds {
			// Their names become known with their Hello calls.
			n.Addresses.Learn(protocol.Node{ID: BootstrapID(protocol.Core, seed), Name: seed, Class: protocol.Core, Address: seed})
		}
	}
	n.Addresses.Learn(n.Self)
	n.Pool, n.bulk = rpc.NewPool(rpc.Options{Dial: options.Dial}), rpc.NewPool(rpc.Options{StaleAfter: bulkStaleTimeout, Dial: options.Dial})
	n.Host, err = host.New(host.Options{
		Self: id, Timing: Timing(options.Class), Store: disk, Now: n.Now, Seed: rand.Uint64(), OnUnknownGroup: options.OnUnknownGroup,
		Transport: &transport{addresses: n.Addresses, regular: lane{pool: n.Pool}, bulk: lane{pool: n.bulk}},
	})
	if err != nil {
		return errors.Wrap(err, "open groups")
	}
	return nil
}

// identity returns the id stored on the disk, or creates one. An empty disk means that votes
// and copies are lost, so the node gets a new identity.
func identity(disk store.Store, options Options) (replica.NodeID, error) {
	id, held, err := disk.Identity()
	if err != nil || held {
		return id, err
	}
	if id = replica.NodeID(rand.Uint64() | 1); options.Bootstrap {
		id = BootstrapID(options.Class, options.Address)
	}
	return id, disk.SetIdentity(id)
}

// Now is the node's monotonic clock.
func (n *Node) Now() time.Duration { return time.Since(n.start) }

// Serve serves the calls of other nodes and runs the groups until ctx ends or the disk fails.
func (n *Node) Serve(ctx context.Context, l net.Listener, services map[string]any) error {
	all := map[string]any{"Replica": &replicaService{n}}
	for name, s := range services {
		all[name] = s
	}
	server, err := rpc.NewServer(all)
	if err != nil {
		return errors.Wrap(err, "calls")
	}
	defer server.Close()
	go server.Serve(l)
	go n.introduce(ctx)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer context.AfterFunc(ctx, func() {
		n.TransferLeaderships()
		stop()
	})()
	return n.Host.Run(running)
}

// Close closes the connections and the disk.
func (n *Node) Close() error {
	n.Pool.Close()
	n.bulk.Close()
	return n.store.Close()
}
