// Package node is what every process of the control plane is made of, whatever it keeps:
// its identity, the nodes it knows, the groups it is a member of and the calls by which
// it reaches their owners.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"pipitmux/internal/barograph/host"
	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/store"
	"pipitmux/internal/durable"
	"pipitmux/internal/station/hashing"
	"pipitmux/internal/station/link"
	"pipitmux/internal/station/protocol"
)

// Timing is what the groups of a class of nodes keep. Followers of turns learn with the next
// message what is committed; news of the configuration go out at once.
func Timing(class protocol.Class) replica.Timing {
	return replica.Timing{
		HeartbeatInterval: 100 * time.Millisecond,
		ElectionTimeout:   400 * time.Millisecond,
		ElectionJitter:    150 * time.Millisecond,
		LeaseDuration:     300 * time.Millisecond,
		LostAfter:         Silent,
		LazyCommit:        class == protocol.Storage,
	}
}

// bulkStale is how long a connection that carries bulk may be silent with calls under way.
const bulkStale = 5 * time.Second

// Silent is how long a member may say nothing before it counts as lost.
const Silent = 1500 * time.Millisecond

// Options are what a Node is made of.
type Options struct {
	Name, Zone string
	Class      protocol.Class
	Address    string // of the net/rpc listener
	DataDir    string
	// First tells that the whole system starts for the first time, with empty disks: ids
	// then follow from addresses, so that all know the first members.
	First   bool
	Seeds   []string // net/rpc addresses of core nodes
	Unknown func(replica.GroupID) bool
}

// Node is one process of the control plane.
type Node struct {
	Self      protocol.Node
	Host      *host.Host
	Addresses *Addresses
	Pool      *link.Pool

	bulk  *link.Pool // for what would hold up heartbeats
	seeds []string
	store store.Store
	start time.Time
}

// FirstID is the id that a node of this class and address has at the first start.
func FirstID(class protocol.Class, address string) replica.NodeID {
	return replica.NodeID(hashing.Sum64(string(rune('0'+class))+"|"+address) | 1)
}

// Open opens the node's disk and takes its identity from there.
func Open(o Options) (*Node, error) {
	n := &Node{seeds: o.Seeds, start: time.Now()}
	disk, err := openStore(o.DataDir)
	if err != nil {
		return nil, errors.Wrap(err, "open store")
	}
	n.store = disk
	id, err := identity(disk, o)
	if err != nil {
		return nil, errors.Wrap(err, "identity")
	}
	n.Self = protocol.Node{ID: id, Name: o.Name, Class: o.Class, Address: o.Address, Zone: o.Zone}
	if n.Addresses, err = LoadAddresses(durable.Directory(o.DataDir)); err != nil {
		klog.ErrorS(err, "The known nodes can't be read: the seeds are asked")
		n.Addresses, _ = LoadAddresses(&durable.MemoryStore{})
		n.Addresses.store = durable.Directory(o.DataDir)
	}
	if o.First {
		for _, seed := range o.Seeds {
			// Their names are learnt when they introduce themselves.
			n.Addresses.Learn(protocol.Node{ID: FirstID(protocol.Core, seed), Name: seed, Class: protocol.Core, Address: seed})
		}
	}
	n.Addresses.Learn(n.Self)
	n.Pool, n.bulk = link.NewPool(link.Options{}), link.NewPool(link.Options{Stale: bulkStale})
	n.Host, err = host.New(host.Options{
		Self: id, Timing: Timing(o.Class), Store: disk, Now: n.Now, Seed: rand.Uint64(), OnUnknownGroup: o.Unknown,
		Transport: &transport{addresses: n.Addresses, prompt: lane{pool: n.Pool}, bulk: lane{pool: n.bulk}},
	})
	if err != nil {
		return nil, errors.Wrap(err, "open groups")
	}
	return n, nil
}

// The pauses between tries to open a store on a full disk.
const (
	openPauseFirst = 50 * time.Millisecond
	openPauseMost  = 2 * time.Second
)

// openStore opens the store in a folder. Where there is none yet and no room for one, it waits.
func openStore(folder string) (store.Store, error) {
	for pause := openPauseFirst; ; pause = min(2*pause, openPauseMost) {
		disk, err := store.Open(folder)
		if err == nil {
			return disk, nil
		}
		if !errors.Is(err, store.ErrFull) {
			return nil, err
		}
		klog.ErrorS(err, "The disk is full: this node starts once there is room", "pause", pause)
		time.Sleep(pause)
	}
}

// identity returns the id that the disk holds, or gives it one. An empty disk means that
// votes and copies are forgotten: the node is another one then.
func identity(disk store.Store, o Options) (replica.NodeID, error) {
	id, held, err := disk.Identity()
	if err != nil || held {
		return id, err
	}
	if id = replica.NodeID(rand.Uint64() | 1); o.First {
		id = FirstID(o.Class, o.Address)
	}
	return id, disk.SetIdentity(id)
}

// Now is the node's steady clock.
func (n *Node) Now() time.Duration { return time.Since(n.start) }

// Serve answers the calls of other nodes and runs the groups until ctx ends or the disk
// fails.
func (n *Node) Serve(ctx context.Context, l net.Listener, services map[string]any) error {
	all := map[string]any{"Replica": &replicaCalls{n}}
	for name, s := range services {
		all[name] = s
	}
	server, err := link.NewServer(all)
	if err != nil {
		return errors.Wrap(err, "calls")
	}
	defer server.Close()
	go server.Serve(l)
	go n.introduce(ctx)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer context.AfterFunc(ctx, func() {
		n.HandOver()
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
