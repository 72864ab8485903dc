package node

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"oakseam/internal/tier/protocol"
	"oakseam/internal/wait"
)

const (
	// helloTimeout bounds one Hello call.
	helloTimeout = 500 * time.Millisecond
	// helloRetryInterval is the time between two rounds of Hello calls until a node has responded,
	// helloInterval the time from then on. A node that came back at another address calls sooner
	// by itself.
	helloRetryInterval = 100 * time.Millisecond
	helloInterval      = 10 * time.Second
	// helloFanout is how many nodes beside the core nodes a round calls once a node has responded. The
	// directory tells the rest.
	helloFanout = 4
)

// learnNodes adds nodes to the address book and stores it if it changed.
func (n *Node) learnNodes(nodes ...protocol.Node) {
	if !n.Addresses.Learn(nodes...) {
		return
	}
	if err := n.Addresses.Save(); err != nil {
		klog.ErrorS(err, "Storing the known nodes failed")
	}
}

// Learn adds the directory's nodes to the address book.
func (n *Node) Learn(d protocol.Directory) { n.learnNodes(d.Nodes...) }

// introduce sends Hello periodically until ctx ends: to the seeds and all known nodes, frequently,
// until a node has responded, and from then on to some of them.
func (n *Node) introduce(ctx context.Context) {
	responded := false
	var rotation helloRotation
	for {
		interval := helloRetryInterval
		core, others := n.peerAddresses()
		if responded {
			others = rotation.next(others)
		}
		for _, address := range append(core, others...) {
			if n.hello(ctx, address) {
				interval = helloInterval
			}
		}
		responded = interval == helloInterval
		if !wait.For(ctx, interval) {
			return
		}
	}
}

// peerAddresses returns the addresses of the seeds and the known core nodes, and those of the other
// known nodes, each without this node's.
func (n *Node) peerAddresses() (core, others []string) {
	seen := map[string]bool{n.Self.Address: true}
	add := func(list *[]string, address string) {
		if !seen[address] {
			seen[address] = true
			*list = append(*list, address)
		}
	}
	for _, s := range n.seeds {
		add(&core, s)
	}
	for _, o := range n.Addresses.All() {
		if o.Class == protocol.Core {
			add(&core, o.Address)
		} else {
			add(&others, o.Address)
		}
	}
	return core, others
}

// hello exchanges identities with the process at an address, and reports whether it responded.
func (n *Node) hello(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	args := protocol.HelloArgs{Self: n.Self, KnownNodes: n.Addresses.Digest()}
	var reply protocol.HelloReply
	if err := n.Pool.Call(ctx, address, "Replica.Hello", &args, &reply); err != nil {
		return false
	}
	for _, o := range reply.Nodes {
		// What others know may be outdated, so only unknown machines are added.
		if _, known := n.Addresses.Find(o.ID); !known && !n.knowsOtherIncarnation(o) {
			n.learnNodes(o)
		}
	}
	n.learnNodes(reply.Self)
	return true
}

// knowsOtherIncarnation reports whether an incarnation of the same machine is known.
func (n *Node) knowsOtherIncarnation(o protocol.Node) bool {
	for _, known := range n.Addresses.All() {
		if known.SameNode(o) {
			return true
		}
	}
	return false
}
