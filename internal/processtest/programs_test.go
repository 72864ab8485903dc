package processtest

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierfakes "oakseam/internal/fakes/tier"
	"oakseam/internal/tier/settings"
	"oakseam/internal/tierlab"
)

const (
	// startTimeout bounds the start of the tier, and settleTime is how long a process is watched that
	// must not end.
	startTimeout = 20 * time.Second
	settleTime   = 300 * time.Millisecond
	// stopTimeout bounds the end of a process that was sent SIGTERM.
	stopTimeout  = 10 * time.Second
	pollInterval = 10 * time.Millisecond
	// callTimeout bounds a call to a process.
	callTimeout = 2 * time.Second
	// machineLosses is how many machines may be lost at once.
	machineLosses = 1
)

// programFolder holds the programs, built as the deploy file builds them.
var programFolder string

func TestMain(m *testing.M) {
	os.Exit(runWithPrograms(m))
}

func runWithPrograms(m *testing.M) int {
	folder, err := os.MkdirTemp("", "processtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", folder, "../../cmd/oakseam-edge", "../../cmd/oakseam-control")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, output)
		return 1
	}
	programFolder = folder
	return m.Run()
}

// tier is a set of machines on a loopback network of their own.
type tier struct {
	t        *testing.T
	folder   string
	network  string
	platform *tierfakes.Platform
	cores    []*machine
	stores   []*machine
	edges    []*machine
}

// machine is a machine of the tier with its current process.
type machine struct {
	*tierfakes.Machine
	t       *testing.T
	process *process
}

// newTier returns machines of each class, without processes.
func newTier(t *testing.T, cores, stores, edges int) *tier {
	t.Helper()
	network, reservation, err := tierlab.ReserveNetwork()
	assert.NilError(t, err)
	t.Cleanup(func() { reservation.Close() })
	c := &tier{t: t, folder: t.TempDir(), network: network}
	platform, err := tierfakes.NewPlatform(c.address(200), 0, func(tierfakes.Member) {})
	assert.NilError(t, err)
	t.Cleanup(platform.Close)
	c.platform = platform
	platform.Put(tierfakes.Member{MemberID: "m", PoolName: "p", Address: c.address(201) + ":8080", Zone: "zone-a", Capacity: 1, MemberState: "in_service"})
	var seeds []string
	for i := range min(cores, 3) {
		seeds = append(seeds, c.address(i))
	}
	add := func(name string, serves settings.Service, program, command string, number int) *machine {
		m := &machine{t: t, Machine: &tierfakes.Machine{
			Name: name, Serves: serves, Program: filepath.Join(programFolder, program), Command: command, IP: c.address(number),
			Zone: "zone-a", Zones: []string{"zone-a"}, Seeds: seeds, Platform: platform.Address, MachineLosses: machineLosses,
			TimingBounds: map[string]int{"graceS": 3}, Folder: filepath.Join(c.folder, name),
		}}
		assert.NilError(t, os.MkdirAll(m.Disk(), 0o755))
		return m
	}
	for i := range cores {
		c.cores = append(c.cores, add(fmt.Sprintf("core-%d", i+1), settings.Control, "oakseam-control", "coordinate", i))
	}
	for i := range stores {
		c.stores = append(c.stores, add(fmt.Sprintf("storage-%d", i+1), settings.Storage, "oakseam-control", "keep", cores+i))
	}
	for i := range edges {
		c.edges = append(c.edges, add(fmt.Sprintf("edge-%d", i+1), settings.Edge, "oakseam-edge", "serve", cores+stores+i))
	}
	return c
}

// address returns the IP address of the machine with a number, counted from 0.
func (c *tier) address(number int) string { return fmt.Sprintf("%s.0.%d", c.network, number+1) }

// all returns all machines.
func (c *tier) all() []*machine {
	var machines []*machine
	machines = append(machines, c.cores...)
	machines = append(machines, c.stores...)
	return append(machines, c.edges...)
}

// startAll starts processes for the first start of the tier.
func startAll(machines ...*machine) {
	for _, m := range machines {
		m.start(true)
	}
}

// process is a running process and what it wrote.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
	log     *lockedBuffer
}

// lockedBuffer collects output that is read while a process still writes.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns what was written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// in returns the machine for use in a subtest.
func (m *machine) in(t *testing.T) *machine { return &machine{t: t, Machine: m.Machine} }

// start starts the machine's process with a log that the test reads.
func (m *machine) start(bootstrap bool) *process {
	m.t.Helper()
	return m.startWith(bootstrap, nil, m.Program, m.Command)
}

// startWith starts a command line as the machine's process. Its standard error goes to the given file,
// or to the process's log if it is nil.
func (m *machine) startWith(bootstrap bool, standardError *os.File, name string, arguments ...string) *process {
	m.t.Helper()
	path, err := m.WriteSettings(bootstrap)
	assert.NilError(m.t, err)
	p := &process{command: exec.Command(name, arguments...), exited: make(chan struct{}), log: &lockedBuffer{}}
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), settings.PathVariable + "=" + path}
	p.command.Stderr = p.log
	if standardError != nil {
		p.command.Stderr = standardError
	}
	assert.NilError(m.t, p.command.Start())
	go func() {
		_ = p.command.Wait() // how it ended is in ProcessState
		close(p.exited)
	}()
	m.process = p
	m.t.Cleanup(func() {
		p.kill()
		if m.t.Failed() {
			m.t.Logf("%s ended with %v:\n%s", m.Name, p.command.ProcessState, p.log)
		}
	})
	return p
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Kill() // it may have ended already
	<-p.exited
}

// signal sends the process a signal.
func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// requireAlive fails the test if the process ends within the given time.
func (m *machine) requireAlive(within time.Duration, after string) {
	m.t.Helper()
	select {
	case <-m.process.exited:
		m.t.Fatalf("%s ended by itself %s: %v", m.Name, after, m.process.command.ProcessState)
	case <-time.After(within):
	}
}

// Lines of the log that tell how far a process has come. From processStarted on it takes SIGTERM.
const (
	processStarted = "Process started"
	roleFailed     = "The role failed"
)

// awaitLog waits until the process has logged a line, or has ended.
func (m *machine) awaitLog(line string) {
	m.t.Helper()
	await(m.t, startTimeout, m.Name+" logs "+line, func() bool {
		return m.process.ended() || strings.Contains(m.process.log.String(), line)
	})
}

// requireStops sends SIGTERM and fails the test unless the process ends with exit code 0 in time.
func (m *machine) requireStops() {
	m.t.Helper()
	m.process.signal(syscall.SIGTERM)
	select {
	case <-m.process.exited:
		assert.Equal(m.t, m.process.command.ProcessState.ExitCode(), 0, m.Name)
	case <-time.After(stopTimeout):
		m.t.Errorf("%s has not ended %v after SIGTERM", m.Name, stopTimeout)
	}
}

// serves reports whether the process answers at an address that only a running role listens on.
func (m *machine) serves() bool {
	switch m.Serves {
	case settings.Control:
		return get(m.Control(), "/api/Configuration.Show") != 0
	case settings.Edge:
		return get(m.Readiness(), "/api/readiness") != 0
	}
	return greets(m.Internal(1))
}

// await polls until a condition holds and fails the test if it does not in time.
func await(t *testing.T, within time.Duration, description string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(within); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", within, description)
		}
	}
}

// awaitServing waits until the processes of all machines answer.
func awaitServing(t *testing.T, machines ...*machine) {
	t.Helper()
	for _, m := range machines {
		await(t, startTimeout, m.Name+" serves", m.serves)
	}
}

// client makes calls on connections of their own.
var client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// get returns the status of a GET, 0 if there is no answer.
func get(address, path string) int {
	response, err := client.Get("http://" + address + path)
	return statusOf(response, err)
}

// statusOf returns the status of an answer that is read whole, otherwise 0.
func statusOf(response *http.Response, err error) int {
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// firstConfiguration routes nothing: an edge is ready once it has it.
const firstConfiguration = `{"configRevision":1,"virtualServers":[{"name":"r","hostHeader":"h.example","pathPrefix":"/","trafficClass":"idempotent","timeoutMs":1000,"priority":1,"poolName":"p","retryLimit":1}],"pools":[{"name":"p","protocol":"h1"}]}`

// takesConfiguration reports whether a core machine acknowledges the first configuration.
func (m *machine) takesConfiguration() bool {
	response, err := client.Post("http://"+m.Control()+"/api/Configuration.Replace", "application/json", strings.NewReader(firstConfiguration))
	return statusOf(response, err) == http.StatusOK
}
