// Package tierlab runs the whole serving tier on loopback. The tier's programs run as processes on
// machines with their own addresses, the parties around the tier are fakes, and faults are injected
// during the run. An auditor checks what was observed.
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

	audit "oakseam/internal/audit/tier"
	"oakseam/internal/fakes"
	tierfakes "oakseam/internal/fakes/tier"
	"oakseam/internal/latency"
	"oakseam/internal/tier/rpc"
	"oakseam/internal/tier/settings"
)

// Options configures a run.
type Options struct {
	EdgeProgram    string // path of the data plane's program
	ControlProgram string // path of the control plane's program
	Network        string // first two bytes of all addresses, within 127.0.0.0/8; empty: a network that no other run uses
	Folder         string // for the disks of the machines; empty: a temporary folder
	LogDir         string // for the logs of the processes; empty: logs are discarded
	Seconds        float64
	Edges          int
	Cores          int
	Storages       int
	Agents         int
	Seed           uint64
	Calm           bool // inject no faults
	Harsh          bool // inject more faults, and let servers break off requests
	// Progress is called periodically with the state of the run.
	Progress func(at time.Duration, ended, served, edgesReady int)
}

// Default returns the options of a usual run, without the paths of the programs.
func Default() Options {
	return Options{Seconds: 25, Edges: 2, Cores: 3, Storages: 4, Agents: 24, Seed: 1}
}

// Result is the result of a run.
type Result struct {
	Report  *audit.Report
	History *audit.History
	// Crashed describes the processes that ended without being told to.
	Crashed []string
	// Disk is how long syncing a small write took on the disk that all machines share.
	Disk latency.Quantiles
}

// Clean reports whether all rules were kept and no process crashed.
func (r *Result) Clean() bool { return r.Report.Clean() && len(r.Crashed) == 0 }

// ErrCrashed is the error of a run in which a process ended before the tier was ready.
var ErrCrashed = errors.New("a process crashed at the start")

const (
	// machineLosses is how many machines may be lost at once.
	machineLosses = 1
	// platformDelay is how late the platform lists a change.
	platformDelay = 300 * time.Millisecond
	// startTimeout bounds the start of the tier until it is ready. settleTimeout bounds the
	// completion of pending work at the end.
	startTimeout  = 30 * time.Second
	settleTimeout = 40 * time.Second
	// drainBound and applyBound are the time limits that the tier promises: for a draining server to
	// get no new requests, and for a replaced configuration to be out of use.
	drainBound = 3 * time.Second
	applyBound = 2 * time.Second
	// mergeBound is the time that the tier promises for a tally to hold every add once there is no
	// disruption. contactBound is the time after a disruption in which the tier may still react to it.
	mergeBound   = 3 * time.Second
	contactBound = 3 * time.Second
	// evacuateBound is the time that the tier promises for requests to keep away from an evacuated
	// zone. acknowledgeBound is how long an operator sends an order again.
	evacuateBound    = 2 * time.Second
	acknowledgeBound = 4 * time.Second
	// lateRunWatch is how long after the last answer the servers are still watched for late runs.
	lateRunWatch = 500 * time.Millisecond
	// finalTraffic is how long clients use the tier after all troubles.
	finalTraffic = 2 * time.Second
	// pollInterval is the interval between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// progressInterval is the interval between two progress reports.
	progressInterval = 500 * time.Millisecond
	// serverSubnet is the third byte of the addresses of servers and platform.
	serverSubnet = 9
)

// zones are the zones of machines and servers, assigned in turn.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// lab is the state of one run.
type lab struct {
	opt          Options
	folder       string
	recorder     *audit.Recorder
	platform     *tierfakes.Platform
	balancer     *tierfakes.LoadBalancer
	client       *tierfakes.Client
	operator     *tierfakes.Operator
	evacuator    *tierfakes.Operator // gives the orders about zones
	connections  *rpc.Pool           // to the internal ports of the tier
	machines     []*machine
	logs         []io.Closer
	applications []*tierfakes.Application
	faultShare   float64                 // time per fault, as a fraction of the run
	cancelStart  context.CancelCauseFunc // ends the start if a process crashes

	mu          sync.Mutex
	servers     []*tierfakes.Server
	serverCount int // servers started so far
	crashed     []string
	diskSync    latency.Quantiles
	closed      bool
}

// machine is a machine with its current process.
type machine struct {
	*tierfakes.Machine

	mu      sync.Mutex
	process *fakes.Node
}

// Run executes one run. It ends everything that it has started.
func Run(ctx context.Context, opt Options) (*Result, error) {
	if opt.Network == "" {
		network, reservation, err := ReserveNetwork()
		if err != nil {
			return nil, err
		}
		defer reservation.Close()
		opt.Network = network
	}
	folder, err := os.MkdirTemp(opt.Folder, "oaklab-tier")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	l := &lab{opt: opt, folder: folder, recorder: audit.NewRecorder(), connections: rpc.NewPool(rpc.Options{})}
	defer l.close()
	if err := l.build(); err != nil {
		return nil, err
	}
	if err := l.runScenario(ctx); err != nil {
		return nil, err
	}
	l.close()
	history := l.recorder.History()
	report := audit.Summarize(history, audit.Bounds{Drain: drainBound, Apply: applyBound, Acknowledge: acknowledgeBound, Evacuate: evacuateBound, Contact: contactBound, Merge: mergeBound,
		ColdPerWindow: warmupPerSecond*warmupOverrun + warmupSlack})
	return &Result{Report: report, History: history, Crashed: l.crashed, Disk: l.diskSync}, nil
}

// build creates the machines and the fakes.
func (l *lab) build() error {
	var err error
	if l.platform, err = tierfakes.NewPlatform(l.serverHost(), platformDelay, l.recordDraining); err != nil {
		return errors.Wrap(err, "platform")
	}
	var seeds []string
	for i := range l.opt.Cores {
		seeds = append(seeds, l.ip(l.opt.Edges+i))
	}
	for i := range l.opt.Edges {
		l.addMachine(fmt.Sprintf("edge-%d", i+1), settings.Edge, l.opt.EdgeProgram, "serve", seeds)
	}
	for i := range l.opt.Cores {
		l.addMachine(fmt.Sprintf("core-%d", i+1), settings.Control, l.opt.ControlProgram, "coordinate", seeds)
	}
	for i := range l.opt.Storages {
		l.addMachine(fmt.Sprintf("storage-%d", i+1), settings.Storage, l.opt.ControlProgram, "keep", seeds)
	}
	var cores []string
	for _, m := range l.machinesOf(settings.Control) {
		cores = append(cores, m.Control())
	}
	var edges []*tierfakes.Machine
	for _, m := range l.machinesOf(settings.Edge) {
		edges = append(edges, m.Machine)
	}
	l.operator = tierfakes.NewOperator(cores, l.recorder)
	l.evacuator = tierfakes.NewOperator(cores, l.recorder)
	l.balancer = tierfakes.NewLoadBalancer(edges, l.recorder)
	l.client = tierfakes.NewClient(l.balancer, l.recorder)
	l.buildApplications()
	return l.startServers()
}

// Requests that a cold server may get: a second, and beyond that in any second.
const (
	warmupPerSecond = 4
	warmupOverrun   = 1
	warmupSlack     = 4
)

// timingBounds returns the settings' table of the bounds by which the run is judged.
func timingBounds() map[string]int {
	table := map[string]int{}
	for key, bound := range map[string]time.Duration{"drainMs": drainBound, "configApplyMs": applyBound, "mergeMs": mergeBound,
		"contactMs": contactBound, "evacuateMs": evacuateBound, "ackMs": acknowledgeBound} {
		table[key] = int(bound.Milliseconds())
	}
	table["warmupOverrun"], table["warmupSlack"] = warmupOverrun, warmupSlack
	return table
}

// ip returns the address of the machine with a number, counted from 0.
func (l *lab) ip(number int) string { return fmt.Sprintf("%s.0.%d", l.opt.Network, number+1) }

func (l *lab) serverHost() string { return fmt.Sprintf("%s.%d.1", l.opt.Network, serverSubnet) }

func (l *lab) addMachine(name string, serves settings.Service, program, command string, seeds []string) {
	number := len(l.machines)
	m := &tierfakes.Machine{
		Name: name, Serves: serves, Program: program, Command: command, IP: l.ip(number), Zone: zones[number%len(zones)], Zones: zones,
		Seeds: seeds, Platform: l.platform.Address, MachineLosses: machineLosses, TimingBounds: timingBounds(), Folder: filepath.Join(l.folder, name), Log: io.Discard,
	}
	l.machines = append(l.machines, &machine{Machine: m})
}

// machinesOf returns the machines of a service.
func (l *lab) machinesOf(service settings.Service) []*machine {
	var machines []*machine
	for _, m := range l.machines {
		if m.Serves == service {
			machines = append(machines, m)
		}
	}
	return machines
}

// recordDraining records when the platform lists a server as draining.
func (l *lab) recordDraining(m tierfakes.Member) {
	if m.MemberState == tierfakes.Draining {
		l.recorder.RecordDraining(m.MemberID)
	}
}

// start starts a machine's process, and records a crash if the process ends by itself.
func (l *lab) start(m *machine, bootstrap bool) error {
	if l.opt.LogDir != "" && m.Log == io.Discard {
		file, err := os.OpenFile(filepath.Join(l.opt.LogDir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		m.Log = file
		l.logs = append(l.logs, file)
	}
	l.recorder.RecordStart(m.Name)
	process, err := m.Start(bootstrap)
	if err != nil {
		return errors.Wrap(err, m.Name)
	}
	m.mu.Lock()
	m.process = process
	m.mu.Unlock()
	go func() {
		<-process.Exited()
		if m.currentProcess() == process {
			l.recordCrash(fmt.Sprintf("%s ended unexpectedly at %s: %v", m.Name, l.elapsed(), process.Err()))
		}
	}()
	return nil
}

func (l *lab) recordCrash(description string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.crashed = append(l.crashed, description)
	l.cancelStart(errors.Wrap(ErrCrashed, description))
}

func (l *lab) elapsed() string { return fmt.Sprintf("%.1f s", l.recorder.Now().Seconds()) }

func (m *machine) currentProcess() *fakes.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// takeProcess detaches the process from its machine, so that its end does not count as a crash.
func (m *machine) takeProcess() *fakes.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	process := m.process
	m.process = nil
	return process
}

// kill ends a machine's process with SIGKILL.
func (m *machine) kill() {
	if process := m.takeProcess(); process != nil {
		process.Kill()
	}
}

// waitUntil polls until a condition holds or ctx ends.
func waitUntil(ctx context.Context, description string, holds func() bool) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Wrap(context.Cause(ctx), description)
		}
	}
	return nil
}

// close ends everything that was started. Further calls do nothing.
func (l *lab) close() {
	l.mu.Lock()
	wasClosed := l.closed
	l.closed = true
	servers := l.servers
	l.mu.Unlock()
	if wasClosed {
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
	l.connections.Close()
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
