// Package fleet runs a scenario on loopback sockets: real nodes as processes, with
// fakes of the backends, the registry, the load balancer and the clients. The models
// behind the fakes and the checks of the rules are in package emulator.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"oakseam/internal/core"
	"oakseam/internal/emulator"
	"oakseam/internal/fakes"
	"oakseam/internal/membership"
	"oakseam/internal/peers"
	"oakseam/internal/simproto"
)

// Options configures a run.
type Options struct {
	Program   string // path of the node's program
	Sockets   int    // limit on descriptors in a node's configuration
	MemoryMB  int    // limit on memory in a node's configuration, in MiB
	LogDir    string // folder for the nodes' logs; if empty, they are discarded
	KeepState bool   // nodes keep their state on disk until the end of the run, also when they are killed
	Progress  func(at, total time.Duration)
}

const (
	readyTimeout = 15 * time.Second
	stopTimeout  = 6 * time.Second
	// socketSlack is how much later than the rules allow an answer may come on real sockets.
	socketSlack = 50 * time.Millisecond
)

// Run runs a scenario with a seed. It ends all processes that it has started.
func Run(ctx context.Context, sc *emulator.Scenario, seed uint64, opt Options) (*emulator.Result, error) {
	dir, err := os.MkdirTemp("", "oaklab-fleet")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	relaxed := *sc
	relaxed.Rules.AnswerSlackMS.From += float64(socketSlack / time.Millisecond)
	relaxed.Rules.AnswerSlackMS.To += float64(socketSlack / time.Millisecond)
	relaxed.TickMS = emulator.Range{} // real nodes handle events as they arrive
	f := &fleet{opt: opt, dir: dir, live: emulator.NewLiveRun(&relaxed, seed), cuts: map[[2]int]bool{}, quit: make(chan struct{})}
	if f.frontend, err = fakes.NewFrontend("127.0.0.1"); err != nil {
		return nil, err
	}
	f.zones = f.live.NodeZones()
	f.fields = f.live.Settings(0).ReportFields
	defer f.stop()
	for i := range f.zones {
		reservation, err := fakes.ReserveAddress("127.0.0.1")
		if err != nil {
			return nil, err
		}
		registry, err := fakes.NewRegistry("127.0.0.1", &listSource{f, i})
		if err != nil {
			reservation.Close()
			return nil, err
		}
		f.nodes = append(f.nodes, &node{number: i, reservation: reservation, registry: registry})
	}
	if f.live.PeerBytesPerSecond() > 0 {
		var addresses []string
		for _, n := range f.nodes {
			addresses = append(addresses, n.peerAddress())
		}
		if f.relays, err = fakes.NewRelays(addresses, seed); err != nil {
			return nil, err
		}
		f.relays.SetDelivery(f.live.DatagramDelays)
	}
	return f.live.Run(ctx, f, opt.Progress)
}

// fleet implements emulator.Environment with processes and sockets.
type fleet struct {
	opt      Options
	dir      string
	live     *emulator.LiveRun
	zones    []string
	fields   []string // names of the fields of load reports
	nodes    []*node
	frontend *fakes.Frontend
	relays   *fakes.Relays // between the nodes; nil if the nodes don't send each other datagrams
	quit     chan struct{}

	mu         sync.Mutex
	machines   [][]*fakes.Machine // by backend, then by the node that connects there
	cuts       map[[2]int]bool    // by node and backend; true if the node can't reach the backend
	background sync.WaitGroup
}

// node is a node with its process and the clients' idle connections to it.
type node struct {
	number      int
	reservation *fakes.ReservedAddress // keeps the node's address while its process is down
	registry    *fakes.Registry
	running     sync.Mutex // held from the start of a process until it has exited: the next one needs its address

	mu      sync.Mutex
	epoch   int // changes whenever the process is started or ended
	process *fakes.Node
	idle    []idleConnection
}

// stop ends all processes and closes all sockets.
func (f *fleet) stop() {
	close(f.quit)
	f.frontend.Close()
	var stopped sync.WaitGroup
	for _, n := range f.nodes {
		stopped.Go(func() {
			if process := n.detach(); process != nil {
				process.Stop(stopTimeout)
			}
			n.registry.Close()
			n.reservation.Close()
		})
	}
	stopped.Wait()
	if f.relays != nil {
		f.relays.Close()
	}
	f.mu.Lock()
	for _, machines := range f.machines {
		for _, m := range machines {
			m.Close()
		}
	}
	f.mu.Unlock()
	f.background.Wait()
}

// StartNode implements emulator.Environment. It starts a node's process in the background.
func (f *fleet) StartNode(number int, rev int64, known []core.Backend) {
	n := f.nodes[number]
	n.mu.Lock()
	n.epoch++
	epoch := n.epoch
	n.mu.Unlock()
	c := fakes.NodeConfig{
		Name: fmt.Sprint("n", number), Listen: n.reservation.Addr, Discovery: n.registry.Addr, Seed: strconv.FormatUint(uint64(number+1)*0x9e3779b97f4a7c15+uint64(epoch), 16),
		Limits:   map[string]any{"cores": 1.0, "memory_mb": f.opt.MemoryMB, "sockets": f.opt.Sockets},
		Known:    f.convertList(number, emulator.ListUpdate{Revision: rev, Full: true, Backends: known}),
		Settings: simproto.EncodeSettings(f.live.Settings(number), f.live.ConnectTimeout()),
	}
	if f.relays != nil {
		c.PeerListen, c.Peers = n.peerAddress(), f.relays.Peers(number)
	}
	f.background.Go(func() {
		n.running.Lock()
		process, err := f.launch(n, c)
		if err != nil {
			n.running.Unlock()
			f.live.Fail(err)
			return
		}
		f.background.Go(func() {
			<-process.Exited()
			n.running.Unlock()
		})
		n.mu.Lock()
		if n.epoch != epoch {
			n.mu.Unlock()
			process.Kill()
			return
		}
		n.process = process
		n.mu.Unlock()
		if err := process.WaitReady(readyTimeout); err != nil {
			f.live.Fail(fmt.Errorf("node %d: %w", number, err))
			return
		}
		f.live.NodeReady(number)
		f.background.Go(func() {
			<-process.Exited()
			n.mu.Lock()
			current := n.epoch == epoch
			n.mu.Unlock()
			if current { // the run did not end it
				f.live.NodeCrashed(number, errors.Join(process.Err(), errors.New("see its log")))
			}
		})
	})
}

// launch writes a node's files and starts its process.
func (f *fleet) launch(n *node, c fakes.NodeConfig) (*fakes.Node, error) {
	dir, err := os.MkdirTemp(f.dir, "node")
	if err != nil {
		return nil, err
	}
	var options []byte
	if f.opt.KeepState {
		options = fmt.Appendf(options, "state: {dir: %q}\n", f.dir)
	}
	if f.relays != nil {
		options = fmt.Appendf(options, "peers: {bytes_per_s: %g}\nlog: {format: json}\n", f.live.PeerBytesPerSecond())
	}
	var args []string
	if options != nil {
		name := filepath.Join(dir, "own.yaml")
		if err := os.WriteFile(name, options, 0o600); err != nil {
			return nil, err
		}
		args = []string{"node", "--config", name}
	}
	var log io.Writer
	closeLog := func() {}
	if f.opt.LogDir != "" {
		file, err := os.OpenFile(filepath.Join(f.opt.LogDir, c.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, err
		}
		log, closeLog = file, func() { file.Close() }
	}
	if f.relays != nil {
		log = &fakes.PeerLogWriter{Log: log, OnChange: func(peer int, state string) { f.recordPeerState(n.number, peer, state) }}
	}
	process, err := fakes.StartNode(f.opt.Program, dir, c, n.reservation.Addr, n.registry.Addr, log, args...)
	if err != nil {
		closeLog()
		return nil, err
	}
	f.background.Go(func() { // the process's output is copied until it exits
		<-process.Exited()
		closeLog()
	})
	return process, nil
}

// peerAddress returns the address on which the node receives datagrams of other nodes. It has the port
// of the node's own address, on a host address that no relay uses.
func (n *node) peerAddress() string {
	_, port, _ := net.SplitHostPort(n.reservation.Addr) // always a valid address
	return net.JoinHostPort("127.0.0.3", port)
}

// recordPeerState passes on the state of a peer that a node has logged.
func (f *fleet) recordPeerState(by, peer int, state string) {
	for _, s := range []membership.State{membership.Alive, membership.Suspected, membership.Dead} {
		if peers.StateName(s) == state {
			f.live.RecordPeerState(by, peer, s)
		}
	}
}

// KillNode implements emulator.Environment. It kills a node's process.
func (f *fleet) KillNode(number int) {
	if process := f.nodes[number].detach(); process != nil {
		process.Signal(os.Kill)
	}
}

// detach closes the clients' idle connections and returns the node's process, which no longer belongs
// to the node.
func (n *node) detach() *fakes.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.epoch++
	process := n.process
	for _, c := range n.idle {
		c.Close()
	}
	n.process, n.idle = nil, nil
	return process
}
