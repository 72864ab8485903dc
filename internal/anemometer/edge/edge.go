// Package edge is a node of the data plane: it takes clients' connections, follows the
// control plane, and says whether it is ready for more.
package edge

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"pipitmux/internal/anemometer/dispatch"
	"pipitmux/internal/anemometer/gateway"
	"pipitmux/internal/anemometer/turnclient"
	"pipitmux/internal/counters"
	"pipitmux/internal/ingress"
	"pipitmux/internal/lifecycle"
	"pipitmux/internal/message"
	"pipitmux/internal/station/follow"
	"pipitmux/internal/station/link"
	"pipitmux/internal/station/platform"
	"pipitmux/internal/station/protocol"
	"pipitmux/internal/station/routing"
	"pipitmux/internal/station/settings"
)

const (
	// Of the descriptors some are kept spare for files and the control plane; of the rest
	// these parts go to clients and to servers.
	spareDescriptors = 300
	clientShare      = 0.5
	serverShare      = 0.45
	// overflow is how many connections beyond the limit are taken while others are shed.
	overflow = 32
	// bodyShare is the part of the memory that bodies may take.
	bodyShare = 0.35
	// openMost bounds the requests that are open at once.
	openMost = 1500
	// writeWithin is how long a client may take nothing of its answer.
	writeWithin = 15 * time.Second
	// answerBy is how long before its end a node answers what is open.
	answerBy = 150 * time.Millisecond
	// graceSlack is kept of the grace period for the exit.
	graceSlack = 500 * time.Millisecond
	// aloneAfter is how old what core nodes vouch for may be before this node asks the platform
	// itself, every aloneEvery.
	aloneAfter = 2500 * time.Millisecond
	aloneEvery = 2 * time.Second
)

// Node is a node of the data plane.
type Node struct {
	settings   *settings.Settings
	dispatcher *dispatch.Dispatcher
	turns      *turnclient.Client
	gateway    *gateway.Gateway
	follower   *follow.Follower
	platform   *platform.Client
	server     *ingress.Server
	listener   net.Listener
	count      *counters.Set

	mu     sync.Mutex
	ending bool
}

// New listens for clients and makes the node ready to run.
func New(s *settings.Settings, seeds []string, log *slog.Logger) (*Node, error) {
	l, err := net.Listen("tcp", s.BindAddresses.Front)
	if err != nil {
		return nil, errors.Wrap(err, "listen for clients")
	}
	n := &Node{settings: s, listener: l, count: counters.New(), platform: platform.New(s.CloudAPI.Address)}
	descriptors := float64(max(s.Limits.FileDescriptors-spareDescriptors, 128))
	budget := message.NewBudget(int64(bodyShare * float64(max(s.Limits.MemoryMB, 64)) * (1 << 20)))
	pool := link.NewPool(link.Options{})
	n.dispatcher = dispatch.New(dispatch.Options{Zone: s.Zone, Name: s.NodeName, Conns: int(serverShare * descriptors), Budget: budget, Count: n.count, Log: log})
	n.turns = turnclient.New(pool)
	n.gateway = gateway.New(gateway.Options{Dispatcher: n.dispatcher, Turns: n.turns, Budget: budget, Count: n.count, MaxOpen: openMost, Current: n.current})
	n.follower = follow.New(follow.Options{Name: s.NodeName, Seeds: seeds, ConcurrentCalls: s.FaultTolerance.MachineLosses + 1, Pool: pool, OnUpdate: n.told})
	n.server = ingress.New(ingress.Options{
		Handler: n.gateway.Handle, RejectAmbiguous: doubtful,
		MaxSessions: int(clientShare * descriptors), Overflow: overflow,
		HeaderTimeout: routing.DefaultHeaderTimeout, BodyTimeout: routing.DefaultHeaderTimeout, IdleTimeout: routing.DefaultIdleTimeout,
		WriteTimeout: writeWithin, RespondNowMargin: answerBy, MaxHeaderBytes: 4 * routing.DefaultMaxHeaderBytes, Lifecycle: lifecycle.TierTiming,
	}, l, n.count)
	return n, nil
}

func doubtful(w http.ResponseWriter) {
	http.Error(w, "it is in doubt where the request ends", http.StatusBadRequest)
}

// Run serves until ctx ends, then answers what was taken and returns.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer n.dispatcher.Close()
	ready, err := net.Listen("tcp", n.settings.BindAddresses.Readiness)
	if err != nil {
		return errors.Wrap(err, "listen for the readiness question")
	}
	go n.answerReadiness(ready)
	go n.follower.Run(background)
	go n.lookAlone(background)
	served := make(chan error, 1)
	go func() { served <- n.server.Serve() }()
	klog.InfoS("Serves clients", "address", n.settings.BindAddresses.Front)
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	n.mu.Lock()
	n.ending = true
	n.mu.Unlock()
	klog.InfoS("Ends: clients are sent to other nodes")
	err = n.server.Shutdown(max(n.settings.Bounds.Grace-graceSlack, n.settings.Bounds.Grace/2))
	klog.InfoS("Ended", "cause", err)
	return nil
}

// told takes news of the control plane.
func (n *Node) told(news follow.Update) {
	switch {
	case news.Configuration != nil:
		n.configure(news.Configuration)
	case news.Directory != nil:
		n.turns.Learn(*news.Directory)
	default:
		n.dispatcher.Servers(news.Partition, news.Lists)
	}
}

func (n *Node) configure(body []byte) {
	c, err := routing.Parse(body)
	if err != nil {
		klog.ErrorS(err, "A configuration that was taken can't be read")
		return
	}
	// Services first: a route must not lead to one that isn't open yet.
	n.dispatcher.Configure(c)
	n.gateway.Configure(c)
	n.server.SetTimeouts(c.Limits.HeaderTimeout, c.Limits.IdleTimeout)
	n.server.SetMaxHeaderBytes(int(c.Limits.MaxHeaderBytes))
	klog.InfoS("Configuration in force", "revision", c.Revision, "routes", len(c.Routes))
}

// answerReadiness answers the balancer's question whether this node takes clients.
func (n *Node) answerReadiness(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := http.Server{Handler: mux, ReadTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	if err := server.Serve(l); err != nil {
		klog.ErrorS(err, "The readiness question is answered no more")
	}
}

func (n *Node) ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.ending && n.gateway.Configured() && n.dispatcher.Ready() && n.turns.Ready()
}

// current tells whether the configuration is recent enough to say of a route that there is none.
func (n *Node) current() bool { return n.follower.Staleness() <= n.settings.Bounds.ConfigApply }

// lookAlone asks the platform for the servers while no core node vouches for its lists.
func (n *Node) lookAlone(ctx context.Context) {
	tick := time.NewTicker(aloneEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if n.follower.Staleness() < aloneAfter {
			continue
		}
		lists, err := n.platform.List(ctx)
		if err != nil {
			klog.V(1).InfoS("Neither the core nodes nor the platform can tell the servers", "cause", err)
			continue
		}
		n.takeAlone(lists)
	}
}

func (n *Node) takeAlone(lists map[string][]protocol.Server) {
	var partitions [protocol.ServicePartitions][]protocol.ServerList
	for name, servers := range lists {
		p := protocol.ServicePartition(name)
		partitions[p] = append(partitions[p], protocol.ServerList{Service: name, Servers: servers})
	}
	for p, l := range partitions {
		n.dispatcher.Servers(p, l)
	}
	n.follower.RefreshLists()
}
