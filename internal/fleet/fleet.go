// Package fleet plays a scenario's day on loopback sockets: real nodes as
// processes, with stand-ins for backends, registry, front and clients. The
// models behind the stand-ins, and the judgement, are package emulator's.
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

	"pipitmux/internal/core"
	"pipitmux/internal/emulator"
	"pipitmux/internal/member"
	"pipitmux/internal/peers"
	"pipitmux/internal/standin"
	"pipitmux/internal/wire"
)

// Options are what a fleet is run with.
type Options struct {
	Program   string // the node's
	Sockets   int    // descriptors and MiB that a node is told to keep to
	MemoryMB  int
	LogDir    string // where the nodes' logs go; "" keeps none
	KeepState bool   // nodes keep their state on disk, through kills, until the day is over
	Progress  func(at, of time.Duration)
}

const (
	readyWithin = 15 * time.Second
	stopWithin  = 6 * time.Second
	// onSockets is how much longer than by the rules an answer may take here.
	onSockets = 50 * time.Millisecond
)

// Run plays a scenario's day of a seed. What it has started it ends.
func Run(ctx context.Context, sc *emulator.Scenario, seed uint64, opt Options) (*emulator.Result, error) {
	dir, err := os.MkdirTemp("", "oaklab-fleet")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	slower := *sc
	slower.Rules.AnswerSlackMS.From += float64(onSockets / time.Millisecond)
	slower.Rules.AnswerSlackMS.To += float64(onSockets / time.Millisecond)
	slower.TickMS = emulator.Range{} // nodes on sockets handle what comes at once
	f := &fleet{opt: opt, dir: dir, day: emulator.NewLiveRun(&slower, seed), cuts: map[[2]int]bool{}, quit: make(chan struct{})}
	if f.front, err = standin.NewFrontend("127.0.0.1"); err != nil {
		return nil, err
	}
	f.zones = f.day.NodeZones()
	f.fields = f.day.Settings(0).ReportFields
	defer f.end()
	for i := range f.zones {
		held, err := standin.ReserveAddress("127.0.0.1")
		if err != nil {
			return nil, err
		}
		d, err := standin.NewRegistry("127.0.0.1", &lists{f, i})
		if err != nil {
			held.Close()
			return nil, err
		}
		f.nodes = append(f.nodes, &node{no: i, held: held, registry: d})
	}
	if f.day.PeerBytesPerSecond() > 0 {
		var at []string
		for _, n := range f.nodes {
			at = append(at, n.peerListen())
		}
		if f.relays, err = standin.NewRelays(at, seed); err != nil {
			return nil, err
		}
		f.relays.SetDelivery(f.day.DatagramDelays)
	}
	return f.day.Run(ctx, f, opt.Progress)
}

// fleet is the Outside of a live day.
type fleet struct {
	opt    Options
	dir    string
	day    *emulator.LiveRun
	zones  []string
	fields []string // of load reports
	nodes  []*node
	front  *standin.Frontend
	relays *standin.Relays // between the nodes, nil where they don't talk
	quit   chan struct{}

	mu       sync.Mutex
	machines [][]*standin.Machine // of each backend, by the node that reaches it there
	cuts     map[[2]int]bool      // by node and backend: no connection comes up
	jobs     sync.WaitGroup
}

// node is a node's process, and the connections that clients hold to it.
type node struct {
	no       int
	held     *standin.ReservedAddress // its address, also while its process is down
	registry *standin.Registry

	mu    sync.Mutex
	epoch int
	run   *standin.Node
	idle  []kept
}

func (f *fleet) end() {
	close(f.quit)
	f.front.Close()
	var stopped sync.WaitGroup
	for _, n := range f.nodes {
		stopped.Go(func() {
			if run := n.drop(); run != nil {
				run.Stop(stopWithin)
			}
			n.registry.Close()
			n.held.Close()
		})
	}
	stopped.Wait()
	if f.relays != nil {
		f.relays.Close()
	}
	f.mu.Lock()
	for _, ms := range f.machines {
		for _, m := range ms {
			m.Close()
		}
	}
	f.mu.Unlock()
	f.jobs.Wait()
}

// Start is emulator.Outside.
func (f *fleet) StartNode(no int, rev int64, known []core.Backend) {
	n := f.nodes[no]
	n.mu.Lock()
	n.epoch++
	epoch := n.epoch
	n.mu.Unlock()
	c := standin.NodeConfig{
		Name: fmt.Sprint("n", no), Listen: n.held.Addr, Discovery: n.registry.Addr, Seed: strconv.FormatUint(uint64(no+1)*0x9e3779b97f4a7c15+uint64(epoch), 16),
		Limits:   map[string]any{"cores": 1.0, "memory_mb": f.opt.MemoryMB, "sockets": f.opt.Sockets},
		Known:    f.list(no, emulator.ListUpdate{Revision: rev, Full: true, Backends: known}),
		Settings: wire.EncodeSettings(f.day.Settings(no), f.day.ConnectTimeout()),
	}
	if f.relays != nil {
		c.PeerListen, c.Peers = n.peerListen(), f.relays.Peers(no)
	}
	f.jobs.Go(func() {
		run, err := f.launch(n, c)
		if err != nil {
			f.day.Fail(err)
			return
		}
		n.mu.Lock()
		if n.epoch != epoch {
			n.mu.Unlock()
			run.Kill()
			return
		}
		n.run = run
		n.mu.Unlock()
		if err := run.WaitReady(readyWithin); err != nil {
			f.day.Fail(fmt.Errorf("node %d: %w", no, err))
			return
		}
		f.day.NodeReady(no)
		f.jobs.Go(func() {
			<-run.Exited()
			n.mu.Lock()
			own := n.epoch == epoch
			n.mu.Unlock()
			if own { // nobody killed it
				f.day.NodeCrashed(no, errors.Join(run.Err(), errors.New("see its log")))
			}
		})
	})
}

func (f *fleet) launch(n *node, c standin.NodeConfig) (*standin.Node, error) {
	dir, err := os.MkdirTemp(f.dir, "node")
	if err != nil {
		return nil, err
	}
	var own []byte
	if f.opt.KeepState {
		own = fmt.Appendf(own, "state: {dir: %q}\n", f.dir)
	}
	if f.relays != nil {
		own = fmt.Appendf(own, "peers: {bytes_per_s: %g}\nlog: {format: json}\n", f.day.PeerBytesPerSecond())
	}
	var args []string
	if own != nil {
		name := filepath.Join(dir, "own.yaml")
		if err := os.WriteFile(name, own, 0o600); err != nil {
			return nil, err
		}
		args = []string{"node", "--config", name}
	}
	var log io.Writer
	done := func() {}
	if f.opt.LogDir != "" {
		file, err := os.OpenFile(filepath.Join(f.opt.LogDir, c.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, err
		}
		log, done = file, func() { file.Close() }
	}
	if f.relays != nil {
		log = &standin.PeerLogWriter{Log: log, OnChange: func(about int, state string) { f.takes(n.no, about, state) }}
	}
	run, err := standin.StartNode(f.opt.Program, dir, c, n.held.Addr, n.registry.Addr, log, args...)
	if err != nil {
		done()
		return nil, err
	}
	f.jobs.Go(func() { // what it wrote is copied until then
		<-run.Exited()
		done()
	})
	return run, nil
}

// peerListen is where the node hears others: at its own number, on an address that no relay has.
func (n *node) peerListen() string {
	_, port, _ := net.SplitHostPort(n.held.Addr) // an address of ours
	return net.JoinHostPort("127.0.0.3", port)
}

// takes tells the day what a node takes another for, by its log.
func (f *fleet) takes(by, about int, state string) {
	for _, s := range []member.State{member.Alive, member.Suspected, member.Dead} {
		if peers.StateName(s) == state {
			f.day.RecordPeerState(by, about, s)
		}
	}
}

// Kill is emulator.Outside.
func (f *fleet) KillNode(no int) {
	if run := f.nodes[no].drop(); run != nil {
		run.Signal(os.Kill)
	}
}

// drop gives up the node's process, which it returns, and what clients hold to it.
func (n *node) drop() *standin.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.epoch++
	run := n.run
	for _, c := range n.idle {
		c.Close()
	}
	n.run, n.idle = nil, nil
	return run
}
