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

// introduce sends Hello to the seeds and all known nodes periodically until ctx ends. Rounds
// are frequent until a node has responded.
func (n *Node) introduce(ctx context.Context) {
	for {
		interval := helloRetryInterval
		for _, address := range n.peerAddresses() {
			if n.hello(ctx, address) {
				interval = helloInterval
			}
		}
		if !wait.For(ctx, interval) {
			return
		}
	}
}

// peerAddresses returns the addresses of the seeds and the known nodes, except this node's.
func (n *Node) peerAddresses() []string {
	var addresses []string
	seen := map[string]bool{n.Self.Address: true}
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, s := range n.seeds {
		add(s)
	}
	for _, o := range n.Addresses.All() {
		add(o.Address)
	}
	return addresses
}

// hello exchanges identities with the process at an address, and reports whether it responded.
func (n *Node) hello(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	args := protocol.HelloArgs{Self: n.Self}
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
