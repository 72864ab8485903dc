// Package fleet plays a scenario's day on loopback sockets: real nodes as
// processes, with stand-ins for backends, registry, front and clients. The
// models behind the stand-ins, and the judgement, are package emulator's.
package fleet

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"pipitmux/internal/audit"
	"pipitmux/internal/core"
	"pipitmux/internal/discovery"
	"pipitmux/internal/emulator"
	"pipitmux/internal/member"
	"pipitmux/internal/peers"
	"pipitmux/internal/standin"
	"pipitmux/internal/wire"
	"pipitmux/logic"
)

// Options are what a fleet is run with.
type Options struct {
	Program  string // the node's
	Sockets  int    // descriptors and MiB that a node is told to keep to
	MemoryMB int
	LogDir   string // where the nodes' logs go; "" keeps none
	Keep     bool   // nodes keep their state on disk, through kills, until the day is over
	Progress func(at, of time.Duration)
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
	slower.TickMS = emulator.Span{} // nodes on sockets handle what comes at once
	f := &fleet{opt: opt, dir: dir, day: emulator.NewLive(&slower, seed), cuts: map[[2]int]bool{}, quit: make(chan struct{})}
	if f.front, err = standin.NewFront("127.0.0.1"); err != nil {
		return nil, err
	}
	f.zones = f.day.Nodes()
	f.fields = f.day.Settings(0).ReportFields
	defer f.end()
	for i := range f.zones {
		held, err := standin.Hold("127.0.0.1")
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
	if f.day.Talk() > 0 {
		var at []string
		for _, n := range f.nodes {
			at = append(at, n.peerListen())
		}
		if f.relays, err = standin.NewRelays(at, seed); err != nil {
			return nil, err
		}
		f.relays.Rule(f.day.Passes)
	}
	return f.day.Run(ctx, f, opt.Progress)
}

// fleet is the Outside of a live day.
type fleet struct {
	opt    Options
	dir    string
	day    *emulator.Live
	zones  []string
	fields []string // of load reports
	nodes  []*node
	front  *standin.Front
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
	held     *standin.Held // its address, also while its process is down
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
func (f *fleet) Start(no int, rev int64, known []core.Entry) {
	n := f.nodes[no]
	n.mu.Lock()
	n.epoch++
	epoch := n.epoch
	n.mu.Unlock()
	c := standin.NodeConfig{
		Name: fmt.Sprint("n", no), Listen: n.held.Addr, Discovery: n.registry.Addr, Seed: strconv.FormatUint(uint64(no+1)*0x9e3779b97f4a7c15+uint64(epoch), 16),
		Limits:   map[string]any{"cores": 1.0, "memory_mb": f.opt.MemoryMB, "sockets": f.opt.Sockets},
		Known:    f.list(no, emulator.ListChanges{Rev: rev, All: true, Entries: known}),
		Settings: wire.Encode(f.day.Settings(no), f.day.Connect()),
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
		if err := run.Ready(readyWithin); err != nil {
			f.day.Fail(fmt.Errorf("node %d: %w", no, err))
			return
		}
		f.day.Up(no)
		f.jobs.Go(func() {
			<-run.Ended()
			n.mu.Lock()
			own := n.epoch == epoch
			n.mu.Unlock()
			if own { // nobody killed it
				f.day.Crashed(no, errors.Join(run.Err(), errors.New("see its log")))
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
	if f.opt.Keep {
		own = fmt.Appendf(own, "state: {dir: %q}\n", f.dir)
	}
	if f.relays != nil {
		own = fmt.Appendf(own, "peers: {bytes_per_s: %g}\nlog: {format: json}\n", f.day.Talk())
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
		log = &standin.PeerLog{Log: log, Changed: func(about int, state string) { f.takes(n.no, about, state) }}
	}
	run, err := standin.StartNode(f.opt.Program, dir, c, n.held.Addr, n.registry.Addr, log, args...)
	if err != nil {
		done()
		return nil, err
	}
	f.jobs.Go(func() { // what it wrote is copied until then
		<-run.Ended()
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
	for _, s := range []member.State{member.There, member.Suspected, member.Gone} {
		if peers.StateName(s) == state {
			f.day.Takes(by, about, s)
		}
	}
}

// Kill is emulator.Outside.
func (f *fleet) Kill(no int) {
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

// Backend is emulator.Outside.
func (f *fleet) Backend(no int, how emulator.Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.machines) <= no {
		at := len(f.machines)
		var ms []*standin.Machine
		for i := range f.nodes {
			m, err := standin.NewMachine("127.0.0.1", func(c net.Conn) { f.serve(c, at, i) })
			if err != nil {
				f.day.Fail(err)
				return
			}
			ms = append(ms, m)
		}
		f.machines = append(f.machines, ms)
	}
	for i, m := range f.machines[no] {
		switch how {
		case emulator.Up:
			if err := m.Up(); err != nil {
				f.day.Fail(fmt.Errorf("backend %d comes back: %w", no, err))
			}
			if f.cuts[[2]int{i, no}] {
				f.jobs.Go(m.Vanish)
			}
		case emulator.Down:
			m.Down()
		case emulator.Silent:
			f.jobs.Go(m.Vanish) // it fills a queue, which takes a moment
		}
	}
}

// Cut is emulator.Outside.
func (f *fleet) Cut(node, backend int, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := [2]int{node, backend}
	if f.cuts[at] == cut || backend >= len(f.machines) {
		return
	}
	m := f.machines[backend][node]
	if f.cuts[at] = cut; cut {
		f.jobs.Go(m.Vanish)
	} else if f.day.Serves(backend) {
		if err := m.Up(); err != nil {
			f.day.Fail(fmt.Errorf("backend %d can be reached again: %w", backend, err))
		}
	}
}

// serve is a backend's side of one connection.
func (f *fleet) serve(c net.Conn, backend, node int) {
	f.day.Conns(backend, 1)
	defer f.day.Conns(backend, -1)
	requests := make(chan string, 1) // ids
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		defer close(requests)
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			select {
			case requests <- r.Header.Get("X-Correlation-Id"):
			case <-stop:
				return
			}
		}
	}()
	fresh := true
	for id := range requests {
		done := make(chan []byte, 1)
		gone := f.day.Arrived(backend, node, id, fresh, func(r logic.Result, report []float64) { done <- answer(id, r, report, f.fields) })
		fresh = false
		select {
		case text := <-done:
			if text == nil {
				if t, ok := c.(*net.TCPConn); ok {
					t.SetLinger(0)
				}
				return
			}
			if _, err := c.Write(text); err != nil {
				return
			}
		case <-requests: // the connection has ended, or was used against the protocol
			gone()
			return
		case <-f.quit:
			return
		}
	}
}

// answer is what a backend says; nil stands for a reset.
func answer(id string, r logic.Result, report []float64, fields []string) []byte {
	var head strings.Builder
	if report != nil {
		head.WriteString("X-Backend-Load: ")
		for i, v := range report {
			if i > 0 {
				head.WriteByte(',')
			}
			name := fields[i]
			switch name {
			case "pending":
				name = "queue"
			case logic.ReportHeld:
				name = "inflight"
			}
			fmt.Fprintf(&head, "%s=%g", name, v)
		}
		head.WriteString("\r\n")
	}
	body := "for " + id
	switch r {
	case logic.OK:
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head.String(), len(body), body)
	case logic.QueueFull:
		return fmt.Appendf(nil, "HTTP/1.1 503 Full\r\n%sX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", head.String())
	case logic.Failed:
		return fmt.Appendf(nil, "HTTP/1.1 500 Failed\r\n%sContent-Length: 0\r\n\r\n", head.String())
	}
	return nil
}

// list puts a list into the registry's form, with the endpoints of one node.
func (f *fleet) list(node int, l emulator.ListChanges) standin.List {
	var entries []core.Entry
	for _, e := range l.Entries {
		no, err := f.day.BackendNo(e.Endpoint)
		if err != nil {
			continue
		}
		f.mu.Lock()
		e.Endpoint = ""
		if no < len(f.machines) {
			e.Endpoint = f.machines[no][node].Addr
		}
		f.mu.Unlock()
		entries = append(entries, e)
	}
	return discovery.ListOf(l.Rev, l.All, entries)
}

// lists is one node's side of the registry.
type lists struct {
	f    *fleet
	node int
}

// Call is standin.Lists.
func (l *lists) Call() (standin.List, bool) {
	got, ok := l.f.day.List(l.node)
	if !ok {
		return standin.List{}, false
	}
	return l.f.list(l.node, got), true
}

// Next is standin.Lists.
func (l *lists) Next(rev int64, stop <-chan struct{}) (standin.List, bool) {
	got, ok := l.f.day.Next(l.node, rev, stop)
	if !ok {
		return standin.List{}, false
	}
	return l.f.list(l.node, got), true
}

// Told is standin.Lists.
func (l *lists) Told(list standin.List) {
	entries, err := list.Entries()
	if err != nil {
		l.f.day.Fail(err)
		return
	}
	for i, e := range entries { // the day's endpoint is the id without its generation
		entries[i].Endpoint, _, _ = strings.Cut(string(e.ID), ".")
	}
	l.f.day.Told(l.node, emulator.ListChanges{Rev: list.Rev, All: list.All, Entries: entries})
}

// Send is emulator.Outside: the front has picked the node, the client sends.
func (f *fleet) Send(t emulator.Try) {
	f.jobs.Go(func() { f.day.Done(t.ID, f.client(t)) })
}

// client sends a request over a kept connection or a new one, and waits for its
// answer until it is out of patience.
func (f *fleet) client(t emulator.Try) emulator.Verdict {
	n := f.nodes[t.Node]
	until := time.Now().Add(t.Patience + onSockets + 20*time.Millisecond)
	process := n.process()
	c := n.take()
	kept := c != nil
	for {
		if c == nil {
			var err error
			if c, err = f.front.Dial(n.held.Addr, until); err != nil {
				return emulator.Verdict{Answer: audit.None}
			}
		}
		v, crossed := f.talk(n, c, t, until)
		// A close that crossed the request: the node has not read it, so it goes once more. One
		// that was killed may have.
		if !crossed || !kept || n.process() != process {
			return v
		}
		c, kept = nil, false
	}
}

func (f *fleet) talk(n *node, c net.Conn, t emulator.Try, until time.Time) (v emulator.Verdict, crossed bool) {
	c.SetDeadline(until)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-f.quit:
			c.SetDeadline(time.Unix(1, 0))
		case <-stop:
		}
	}()
	var b bytes.Buffer
	method := http.MethodPost
	if t.Class.Effect == logic.Safe {
		method = http.MethodGet
	}
	fmt.Fprintf(&b, "%s /api HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Time-Left: %du\r\n",
		method, t.ID, t.Class.Name, max(t.Patience.Microseconds(), 1))
	if t.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", t.Key)
	}
	if t.Repeat {
		b.WriteString("X-Repeat: 1\r\n")
	}
	if method == http.MethodPost {
		b.WriteString("Content-Length: 0\r\n")
	}
	b.WriteString("\r\n")
	f.day.Sending(t.ID, t.Patience)
	if _, err := c.Write(b.Bytes()); err != nil {
		c.Close()
		return emulator.Verdict{Answer: audit.None}, true
	}
	in := bufio.NewReader(c)
	if _, err := in.Peek(1); err != nil {
		c.Close()
		return emulator.Verdict{Answer: audit.None, Taken: true, Patient: late(err)}, !late(err)
	}
	res, err := http.ReadResponse(in, &http.Request{Method: method})
	var body []byte
	if err == nil {
		body, err = io.ReadAll(res.Body)
	}
	if err != nil {
		c.Close()
		return emulator.Verdict{Answer: audit.None, Taken: true, Patient: late(err)}, false
	}
	if res.Close || in.Buffered() > 0 {
		c.Close()
	} else {
		n.give(c)
	}
	switch {
	case res.StatusCode == http.StatusOK && string(body) == "for "+t.ID:
		v.Answer = audit.Served
	case res.StatusCode == http.StatusOK:
		v.Answer, v.Taken = audit.None, true // served with what nobody made for it
	case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests:
		v.Answer = audit.Refused
		if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
			v.RetryAfter = time.Duration(s * float64(time.Second))
		}
	default:
		v.Answer = audit.Failed
	}
	return v, false
}

func late(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// keptFor is how long a client keeps a connection without a request: a little less
// than nodes do.
const keptFor = 1500 * time.Millisecond

type kept struct {
	net.Conn
	since time.Time
}

// process tells the node's processes apart.
func (n *node) process() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.epoch
}

func (n *node) take() net.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	for len(n.idle) > 0 {
		c := n.idle[len(n.idle)-1]
		n.idle = n.idle[:len(n.idle)-1]
		if time.Since(c.since) < keptFor {
			return c.Conn
		}
		c.Close()
	}
	return nil
}

func (n *node) give(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.run == nil {
		c.Close()
		return
	}
	n.idle = append(n.idle, kept{c, time.Now()})
}
