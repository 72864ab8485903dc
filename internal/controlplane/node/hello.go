package node

import (
	"context"
	"math/rand/v2"
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
	// helloFanout is how many randomly chosen nodes beside the core nodes a round calls once a node has
	// responded. The directory tells the rest.
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
	for {
		interval := helloRetryInterval
		for _, address := range n.peerAddresses(responded) {
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

// peerAddresses returns the addresses of the seeds and the known nodes, except this node's; if sampled
// only those of the seeds, the core nodes and helloFanout others.
func (n *Node) peerAddresses(sampled bool) []string {
	seen := map[string]bool{n.Self.Address: true}
	var addresses, others []string
	add := func(list *[]string, address string) {
		if !seen[address] {
			seen[address] = true
			*list = append(*list, address)
		}
	}
	for _, s := range n.seeds {
		add(&addresses, s)
	}
	for _, o := range n.Addresses.All() {
		if o.Class == protocol.Core {
			add(&addresses, o.Address)
		} else {
			add(&others, o.Address)
		}
	}
	if sampled && len(others) > helloFanout {
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		others = others[:helloFanout]
	}
	return append(addresses, others...)
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
