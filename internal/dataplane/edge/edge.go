// Package edge runs a node of the data plane. It accepts client connections, follows the control
// plane and reports whether it is ready for more clients.
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

	"oakseam/internal/counters"
	"oakseam/internal/dataplane/dispatch"
	"oakseam/internal/dataplane/gateway"
	"oakseam/internal/dataplane/turnclient"
	"oakseam/internal/ingress"
	"oakseam/internal/lifecycle"
	"oakseam/internal/message"
	"oakseam/internal/tier/platform"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/routing"
	"oakseam/internal/tier/rpc"
	"oakseam/internal/tier/settings"
	"oakseam/internal/tier/watch"
)

const (
	// spareDescriptors file descriptors are reserved for files and the control plane. The rest is
	// divided between client and server connections by these shares.
	spareDescriptors = 300
	clientShare      = 0.5
	serverShare      = 0.45
	// overflow is how many connections beyond the limit are accepted while others are shed.
	overflow = 32
	// bodyShare is the fraction of the memory that bodies may take.
	bodyShare = 0.35
	// maxOpenRequests bounds the requests that are open at once.
	maxOpenRequests = 1500
	// writeTimeout is how long a client may read nothing of its response.
	writeTimeout = 15 * time.Second
	// respondMargin is how long before its end a node answers the requests that are still open.
	respondMargin = 150 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit of the process.
	exitMargin = 500 * time.Millisecond
	// reportMargin is the part of it in which ended turns are no longer reported to their partitions.
	reportMargin = 150 * time.Millisecond
	// standaloneAfter is the age of the control plane's state from which this node lists the servers
	// from the platform itself, once per standaloneInterval.
	standaloneAfter    = 2500 * time.Millisecond
	standaloneInterval = 2 * time.Second
)

// Node is one node of the data plane.
type Node struct {
	settings   *settings.Settings
	pool       *rpc.Pool
	dispatcher *dispatch.Dispatcher
	turns      *turnclient.Client
	isolation  *turnclient.Isolation
	gateway    *gateway.Gateway
	follower   *watch.Follower
	platform   *platform.Client
	server     *ingress.Server
	listener   net.Listener
	readiness  net.Listener
	counters   *counters.Set

	mu           sync.Mutex
	shuttingDown bool
}

// New opens the listeners and returns a node that is ready to run. Run closes them.
func New(s *settings.Settings, seeds []string, log *slog.Logger) (*Node, error) {
	l, ready, err := listen(s.BindAddresses)
	if err != nil {
		return nil, err
	}
	n := &Node{settings: s, listener: l, readiness: ready, counters: counters.New(), platform: platform.New(s.CloudAPI.Address)}
	descriptors := float64(max(s.Limits.FileDescriptors-spareDescriptors, 128))
	budget := message.NewBudget(int64(bodyShare * float64(max(s.Limits.MemoryMB, 64)) * (1 << 20)))
	pool := rpc.NewPool(rpc.Options{})
	n.pool = pool
	n.dispatcher = dispatch.New(dispatch.Options{Zone: s.Zone, Name: s.NodeName, MaxConns: int(serverShare * descriptors), Budget: budget, Counters: n.counters, Log: log, Warmup: s.Warmup})
	n.isolation = turnclient.NewIsolation(pool, s.Zone)
	n.turns = turnclient.New(pool, n.isolation)
	n.gateway = gateway.New(gateway.Options{Dispatcher: n.dispatcher, Turns: n.turns, Budget: budget, Counters: n.counters, MaxOpenRequests: maxOpenRequests, Current: n.current, Isolated: n.isolation.Isolated})
	n.follower = watch.New(watch.Options{Name: s.NodeName, Zone: s.Zone, Seeds: seeds, ConcurrentCalls: s.FaultTolerance.MachineLosses + 1, Pool: pool, OnUpdate: n.handleUpdate})
	n.server = ingress.New(ingress.Options{
		Handler: n.gateway.Handle, RejectAmbiguous: rejectAmbiguous,
		MaxSessions: int(clientShare * descriptors), Overflow: overflow,
		HeaderTimeout: routing.DefaultHeaderTimeout, BodyTimeout: routing.DefaultHeaderTimeout, IdleTimeout: routing.DefaultIdleTimeout,
		WriteTimeout: writeTimeout, RespondNowMargin: respondMargin, MaxHeaderBytes: 4 * routing.DefaultMaxHeaderBytes, Lifecycle: lifecycle.TierTiming,
	}, l, n.counters)
	return n, nil
}

// listen listens for clients and for readiness checks.
func listen(addresses settings.BindAddresses) (front, readiness net.Listener, err error) {
	front, err = net.Listen("tcp", addresses.Front)
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for clients")
	}
	readiness, err = net.Listen("tcp", addresses.Readiness)
	if err != nil {
		return nil, nil, errors.Join(errors.Wrap(err, "listen for readiness checks"), front.Close())
	}
	return front, readiness, nil
}

// rejectAmbiguous answers a request whose end cannot be determined safely.
func rejectAmbiguous(w http.ResponseWriter) {
	http.Error(w, "it is in doubt where the request ends", http.StatusBadRequest)
}

// Run serves until ctx ends, then answers the accepted requests and returns.
func (n *Node) Run(ctx context.Context) error {
	defer n.close()
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	go n.serveReadiness(n.readiness)
	go n.follower.Run(background)
	go n.pollPlatform(background)
	go n.isolation.Run(background)
	served := make(chan error, 1)
	go func() { served <- n.server.Serve() }()
	klog.InfoS("Serving clients", "address", n.settings.BindAddresses.Front)
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	n.mu.Lock()
	n.shuttingDown = true
	n.mu.Unlock()
	klog.InfoS("Shutting down, clients are sent to other nodes")
	mustExit := time.Now().Add(n.settings.Bounds.Grace)
	err := n.server.Shutdown(max(n.settings.Bounds.Grace-exitMargin, n.settings.Bounds.Grace/2))
	reports, cancelReports := context.WithDeadline(background, mustExit.Add(-reportMargin))
	defer cancelReports()
	klog.InfoS("Shut down", "cause", err, "unreported", n.gateway.AwaitReports(reports))
	return nil
}

// close closes all listeners and connections.
func (n *Node) close() {
	_ = n.server.Close() // closes the listener for clients
	_ = n.listener.Close()
	_ = n.readiness.Close()
	n.dispatcher.Close()
	n.pool.Close()
}

// handleUpdate applies an update from the control plane.
func (n *Node) handleUpdate(update watch.Update) {
	switch {
	case update.Configuration != nil:
		n.configure(update.Configuration)
	case update.Directory != nil:
		n.dispatcher.AddReturnedZones(update.ReturnedZones) // first: their servers must be cold before they get requests again
		n.dispatcher.SetEvacuatedZones(update.Directory.EvacuatedZones)
		n.turns.SetDirectory(*update.Directory)
		n.isolation.SetDirectory(*update.Directory)
	default:
		n.dispatcher.UpdateServers(update.Partition, update.Lists)
	}
}

func (n *Node) configure(body []byte) {
	c, err := routing.Parse(body)
	if err != nil {
		klog.ErrorS(err, "Cannot parse a configuration from the control plane")
		return
	}
	// Services first: a route must not lead to a service that has no event loop yet.
	n.dispatcher.Configure(c)
	n.gateway.Configure(c)
	n.server.SetTimeouts(c.Limits.HeaderTimeout, c.Limits.IdleTimeout)
	n.server.SetMaxHeaderBytes(int(c.Limits.MaxHeaderBytes))
	klog.InfoS("Configuration in force", "revision", c.Revision, "routes", len(c.Routes))
}

// serveReadiness answers the load balancer's check whether this node accepts clients.
func (n *Node) serveReadiness(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := http.Server{Handler: mux, ReadTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	if err := server.Serve(l); !errors.Is(err, net.ErrClosed) {
		klog.ErrorS(err, "Readiness checks are no longer answered")
	}
}

// ready reports whether clients should come to this node. Those of a zone that is cut off are better
// served in other zones: most turns wait there for a leader that cannot be reached.
func (n *Node) ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.shuttingDown && n.gateway.Configured() && n.dispatcher.Ready() && n.turns.Ready() && !n.isolation.Isolated()
}

// current reports whether the configuration is recent enough to say that a route does not exist.
func (n *Node) current() bool { return n.follower.Staleness() <= n.settings.Bounds.ConfigApply }

// pollPlatform lists the servers from the platform while no core node vouches for its lists.
func (n *Node) pollPlatform(ctx context.Context) {
	tick := time.NewTicker(standaloneInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if n.follower.Staleness() < standaloneAfter {
			continue
		}
		lists, err := n.platform.List(ctx)
		if err != nil {
			klog.V(1).InfoS("Cannot list the servers, neither from the core nodes nor from the platform", "cause", err)
			continue
		}
		n.applyPlatformLists(lists)
	}
}

// applyPlatformLists applies the platform's lists. The follower forgets its own lists, so that the
// core nodes send them in full again.
func (n *Node) applyPlatformLists(lists map[string][]protocol.Server) {
	var partitions [protocol.ServicePartitions][]protocol.ServerList
	for name, servers := range lists {
		p := protocol.ServicePartition(name)
		partitions[p] = append(partitions[p], protocol.ServerList{Service: name, Servers: servers})
	}
	for p, l := range partitions {
		n.dispatcher.UpdateServers(p, l)
	}
	n.follower.RefreshLists()
}
