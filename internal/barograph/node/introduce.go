package node

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"pipitmux/internal/station/protocol"
	"pipitmux/internal/wait"
)

const (
	// helloWithin bounds one introduction.
	helloWithin = 500 * time.Millisecond
	// helloPause is between two rounds of introductions until the node has met a core node,
	// and helloRest from then on: a node that came back elsewhere makes itself known sooner.
	helloPause = 100 * time.Millisecond
	helloRest  = 10 * time.Second
)

// learn takes a node's address on, and keeps it where it is news.
func (n *Node) learn(nodes ...protocol.Node) {
	if !n.Addresses.Learn(nodes...) {
		return
	}
	if err := n.Addresses.Save(); err != nil {
		klog.ErrorS(err, "The known nodes can't be kept")
	}
}

// Learn takes the directory's nodes on.
func (n *Node) Learn(d protocol.Directory) { n.learn(d.Nodes...) }

// introduce tells the seeds and all known nodes who this one is, until ctx ends. After a
// start it goes on until one has answered.
func (n *Node) introduce(ctx context.Context) {
	for {
		rest := helloPause
		for _, address := range n.elsewhere() {
			if n.hello(ctx, address) {
				rest = helloRest
			}
		}
		if !wait.For(ctx, rest) {
			return
		}
	}
}

// elsewhere lists the addresses of the seeds and of the known nodes, without this one's.
func (n *Node) elsewhere() []string {
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

func (n *Node) hello(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, helloWithin)
	defer cancel()
	args := protocol.HelloArgs{Self: n.Self}
	var reply protocol.HelloReply
	if err := n.Pool.Call(ctx, address, "Replica.Hello", &args, &reply); err != nil {
		return false
	}
	for _, o := range reply.Nodes {
		// Who is told of by others may be of the past: only the unknown is taken on.
		if _, known := n.Addresses.Find(o.ID); !known && !n.contradicts(o) {
			n.learn(o)
		}
	}
	n.learn(reply.Self)
	return true
}

// contradicts tells whether another incarnation of a node is known already.
func (n *Node) contradicts(o protocol.Node) bool {
	for _, known := range n.Addresses.All() {
		if known.SameNode(o) {
			return true
		}
	}
	return false
}
