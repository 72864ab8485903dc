// Package tierlab plays the whole serving tier on loopback: its programs as processes on
// machines of their own addresses, with stand-ins for all that the tier talks to, and with
// troubles under way. An auditor judges what was seen.
package tierlab

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	audit "pipitmux/internal/audit/tier"
	"pipitmux/internal/latency"
	"pipitmux/internal/standin"
	play "pipitmux/internal/standin/tier"
	"pipitmux/internal/station/link"
	"pipitmux/internal/station/settings"
)

// Options are what a run is played with.
type Options struct {
	Anemometer string // path of the data plane's program
	Barograph  string // path of the control plane's program
	Network    string // the first two numbers of all addresses, of 127.0.0.0/8
	Folder     string // for the machines' disks; empty: a temporary one
	LogDir     string // where the processes' logs go; empty keeps none
	Seconds    float64
	Edges      int
	Cores      int
	Storages   int
	Agents     int
	Seed       uint64
	Calm       bool // no troubles
	Harsh      bool // more of them, and servers that break requests off
	// Progress is told now and then how far the run is.
	Progress func(at time.Duration, ended, served, edgesReady int)
}

// Default returns the options of a usual run, without programs.
func Default() Options {
	return Options{Network: "127.20", Seconds: 25, Edges: 2, Cores: 3, Storages: 4, Agents: 24, Seed: 1}
}

// Result is what came of a run.
type Result struct {
	Report  *audit.Report
	History *audit.History
	// Crashed are the processes that ended without being told to.
	Crashed []string
	// Disk is how long a small write took to be synced to the disk that all machines share.
	Disk latency.Quantiles
}

// Clean tells that all rules were kept and no process crashed.
func (r *Result) Clean() bool { return r.Report.Clean() && len(r.Crashed) == 0 }

// ErrCrashed tells of a process that ended before the run had begun.
var ErrCrashed = errors.New("a process crashed at the start")

const (
	// losses is how many machines may be lost at once.
	losses = 1
	// lag is how late the platform lists a change.
	lag = 300 * time.Millisecond
	// startWithin is how long all may take to be ready, and settleWithin what is under way at
	// the end.
	startWithin  = 30 * time.Second
	settleWithin = 40 * time.Second
	// drainWithin and applyWithin are the tier's bounds for a server that drains and for a
	// configuration that was replaced.
	drainWithin = 3 * time.Second
	applyWithin = 2 * time.Second
	// lateAfter is how long after the last answer servers are watched for what comes late.
	lateAfter = 500 * time.Millisecond
	// lookEvery is the pause between two looks at a condition.
	lookEvery = 20 * time.Millisecond
	// progressEvery is the pause between two reports of the progress.
	progressEvery = 500 * time.Millisecond
	// serverSubnet is where servers and platform are.
	serverSubnet = 9
)

// zones are those that machines and servers are spread over.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// lab is one run.
type lab struct {
	opt      Options
	folder   string
	record   *audit.Recorder
	platform *play.Platform
	edges    *play.Edges
	clients  *play.Clients
	operator *play.Operator
	calls    *link.Pool
	machines []*machine
	logs     []io.Closer
	slot     float64                 // the time of one trouble, as a part of the run
	stop     context.CancelCauseFunc // ends the start where a process crashes

	mu      sync.Mutex
	servers []*play.Server
	numbers int // of servers so far
	crashed []string
	disk    latency.Quantiles
	over    bool
}

// machine is a machine with its process.
type machine struct {
	*play.Machine

	mu      sync.Mutex
	process *standin.Node
}

// Run plays a run. What it has started it ends.
func Run(ctx context.Context, opt Options) (*Result, error) {
	folder, err := os.MkdirTemp(opt.Folder, "oaklab-tier")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	l := &lab{opt: opt, folder: folder, record: audit.NewRecorder(), calls: link.NewPool(link.Options{})}
	defer l.end()
	if err := l.build(); err != nil {
		return nil, err
	}
	if err := l.play(ctx); err != nil {
		return nil, err
	}
	l.end()
	history := l.record.History()
	report := audit.Sum(history, audit.Bounds{Drain: drainWithin, Apply: applyWithin})
	return &Result{Report: report, History: history, Crashed: l.crashed, Disk: l.disk}, nil
}

// build makes machines and stand-ins.
func (l *lab) build() error {
	var err error
	if l.platform, err = play.NewPlatform(l.serverHost(), lag, l.listed); err != nil {
		return errors.Wrap(err, "platform")
	}
	var seeds []string
	for i := range l.opt.Cores {
		seeds = append(seeds, l.ip(l.opt.Edges+i))
	}
	for i := range l.opt.Edges {
		l.add(fmt.Sprintf("edge-%d", i+1), settings.Edge, l.opt.Anemometer, "serve", seeds)
	}
	for i := range l.opt.Cores {
		l.add(fmt.Sprintf("core-%d", i+1), settings.Control, l.opt.Barograph, "coordinate", seeds)
	}
	for i := range l.opt.Storages {
		l.add(fmt.Sprintf("storage-%d", i+1), settings.Storage, l.opt.Barograph, "keep", seeds)
	}
	var cores []string
	for _, m := range l.of(settings.Control) {
		cores = append(cores, m.Control())
	}
	var edges []*play.Machine
	for _, m := range l.of(settings.Edge) {
		edges = append(edges, m.Machine)
	}
	l.operator = play.NewOperator(cores, l.record)
	l.edges = play.NewEdges(edges)
	l.clients = play.NewClients(l.edges, l.record)
	return l.openServers()
}

// ip is the address of the machine of a number, from 0.
func (l *lab) ip(number int) string { return fmt.Sprintf("%s.0.%d", l.opt.Network, number+1) }

func (l *lab) serverHost() string { return fmt.Sprintf("%s.%d.1", l.opt.Network, serverSubnet) }

func (l *lab) add(name string, serves settings.Service, program, command string, seeds []string) {
	number := len(l.machines)
	m := &play.Machine{
		Name: name, Serves: serves, Program: program, Command: command, IP: l.ip(number), Zone: zones[number%len(zones)], Zones: zones,
		Seeds: seeds, Platform: l.platform.Address, Losses: losses, Folder: filepath.Join(l.folder, name), Log: io.Discard,
	}
	l.machines = append(l.machines, &machine{Machine: m})
}

// of lists the machines of a service.
func (l *lab) of(service settings.Service) []*machine {
	var some []*machine
	for _, m := range l.machines {
		if m.Serves == service {
			some = append(some, m)
		}
	}
	return some
}

// listed is told of each change that the platform lists.
func (l *lab) listed(m play.Member) {
	if m.MemberState == play.Draining {
		l.record.ListedDraining(m.MemberID)
	}
}

// start starts a machine's process, and notes where it ends by itself.
func (l *lab) start(m *machine, bootstrap bool) error {
	if l.opt.LogDir != "" && m.Log == io.Discard {
		file, err := os.OpenFile(filepath.Join(l.opt.LogDir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		m.Log = file
		l.logs = append(l.logs, file)
	}
	process, err := m.Start(bootstrap)
	if err != nil {
		return errors.Wrap(err, m.Name)
	}
	m.mu.Lock()
	m.process = process
	m.mu.Unlock()
	go func() {
		<-process.Ended()
		if m.running() == process {
			l.crash(fmt.Sprintf("%s ended by itself at %s: %v", m.Name, l.clock(), process.Err()))
		}
	}()
	return nil
}

func (l *lab) crash(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return
	}
	l.crashed = append(l.crashed, what)
	l.stop(errors.Wrap(ErrCrashed, what))
}

func (l *lab) clock() string { return fmt.Sprintf("%.1f s", l.record.Now().Seconds()) }

func (m *machine) running() *standin.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// drop takes the process from a machine, so that it may end.
func (m *machine) drop() *standin.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	process := m.process
	m.process = nil
	return process
}

// kill ends a machine's process with SIGKILL.
func (m *machine) kill() {
	if process := m.drop(); process != nil {
		process.Kill()
	}
}

// await looks until a condition holds.
func await(ctx context.Context, what string, holds func() bool) error {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Wrap(context.Cause(ctx), what)
		}
	}
	return nil
}

// end ends all that was started.
func (l *lab) end() {
	l.mu.Lock()
	over := l.over
	l.over = true
	servers := l.servers
	l.mu.Unlock()
	if over {
		return
	}
	for _, m := range l.machines {
		m.kill()
	}
	for _, s := range servers {
		s.Close()
	}
	if l.platform != nil {
		l.platform.Close()
	}
	l.calls.Close()
	for _, file := range l.logs {
		file.Close()
	}
}

// Print writes the result as tables.
func (r *Result) Print(to io.Writer) {
	r.Report.Print(to)
	fmt.Fprintf(to, "sync of a small write to the machines' disk: p50 %.1f ms, p99 %.1f ms, max %.1f ms\n", r.Disk.P50, r.Disk.P99, r.Disk.Max)
	if len(r.Crashed) > 0 {
		fmt.Fprintf(to, "crashed: %s\n", strings.Join(r.Crashed, "; "))
	}
}
