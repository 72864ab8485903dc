package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"oakseam/internal/fakes"
	tierfakes "oakseam/internal/fakes/tier"
	"oakseam/internal/tier/settings"
	"oakseam/internal/tierlab"
)

// lab holds the machines and the platform of one case, and its record.
type lab struct {
	trouble  bool
	programs string
	network  string // first two bytes of all addresses
	folder   string // temporary; holds the machines' disks
	platform *tierfakes.Platform
	started  time.Time
	release  io.Closer // of the network

	mu       sync.Mutex
	record   io.Writer
	machines []*machine
}

// machine is a machine of the tier with its process, if one runs.
type machine struct {
	*tierfakes.Machine
	cores   int  // processors that it shows; 0: one
	warmup  bool // the bounds of cold servers are stated
	process *fakes.Node
}

func newLab(record io.Writer, programs string, trouble bool) (*lab, error) {
	programs, err := filepath.Abs(programs)
	if err != nil {
		return nil, err
	}
	network, release, err := tierlab.ReserveNetwork()
	if err != nil {
		return nil, err
	}
	l := &lab{trouble: trouble, programs: programs, network: network, started: time.Now(), release: release, record: record}
	if l.folder, err = os.MkdirTemp("", "review-lab2-"); err != nil {
		return nil, err
	}
	l.platform, err = tierfakes.NewPlatform(l.address(9, 1), 800*time.Millisecond, func(tierfakes.Member) {})
	if err != nil {
		return nil, err
	}
	l.note("trouble: %v; all addresses lie in %s.0.0/16", trouble, network)
	return l, nil
}

// address returns an address of the case's loopback network.
func (l *lab) address(third, fourth int) string {
	return fmt.Sprintf("%s.%d.%d", l.network, third, fourth)
}

// note writes a line into the record, with the seconds since the start.
func (l *lab) note(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, values...))
}

// close ends all processes and removes the temporary folder.
func (l *lab) close() {
	for _, m := range l.machines {
		l.kill(m)
	}
	l.platform.Close()
	l.release.Close()
	os.RemoveAll(l.folder)
}

// settingsOf are the settings that the machines of a case share.
type settingsOf struct {
	losses int
	cores  int // processors that a machine shows; 0: one
	zones  []string
	seeds  []string
	bounds map[string]int
	warmup bool // the bounds of cold servers are stated too
}

// add adds a machine that runs one role of the deploy file.
func (l *lab) add(name string, serves settings.Service, zone string, s settingsOf) *machine {
	program, command := "oakseam-edge", "serve"
	switch serves {
	case settings.Control:
		program, command = "oakseam-control", "coordinate"
	case settings.Storage:
		program, command = "oakseam-control", "keep"
	}
	m := &machine{cores: s.cores, warmup: s.warmup, Machine: &tierfakes.Machine{
		Name: name, Serves: serves, Program: filepath.Join(l.programs, program), Command: command, IP: l.address(0, len(l.machines)+1),
		Zone: zone, Zones: s.zones, Seeds: s.seeds, Platform: l.platform.Address, MachineLosses: s.losses, TimingBounds: s.bounds,
		Folder: filepath.Join(l.folder, name), Log: io.Discard,
	}}
	l.machines = append(l.machines, m)
	return m
}

func (l *lab) start(m *machine, bootstrap bool) error {
	if err := m.startProcess(bootstrap); err != nil {
		return err
	}
	l.note("%s is started at %s, bootstrap = %v", m.Name, m.IP, bootstrap)
	return nil
}

// startProcess starts the machine's process with the command of the deploy file.
func (m *machine) startProcess(bootstrap bool) error {
	if err := os.MkdirAll(m.Disk(), 0o755); err != nil {
		return err
	}
	path, err := m.WriteSettings(bootstrap)
	if err != nil {
		return err
	}
	if err := m.adjustSettings(path); err != nil {
		return err
	}
	m.process, err = fakes.StartNode("env", m.Folder, struct{}{}, m.Front(), "", m.Log, settings.PathVariable+"="+path, m.Program, m.Command)
	return err
}

// adjustSettings writes the settings that the project's stand-in of a machine has no field for.
func (m *machine) adjustSettings(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if m.cores > 0 {
		text = bytes.Replace(text, []byte("coreCount = 1\n"), fmt.Appendf(nil, "coreCount = %d\n", m.cores), 1)
	}
	if m.warmup {
		text = bytes.Replace(text, []byte("[timingBounds]\n"), fmt.Appendf(nil, "[timingBounds]\nwarmupOverrun = %v\nwarmupSlack = %v\n", coldOverrun, coldSlack), 1)
	}
	return os.WriteFile(path, text, 0o600)
}

func (l *lab) kill(m *machine) {
	if m.process == nil {
		return
	}
	_ = m.process.Signal(syscall.SIGCONT) // a stopped process is killed as well
	m.process.Kill()
	m.process = nil
}

// lose kills a machine's process as a loss of power does. Everything that was synced stays on its disk,
// unless the disk is lost.
func (l *lab) lose(m *machine, disk bool) error {
	l.kill(m)
	if !disk {
		l.note("%s loses power; its disk stays", m.Name)
		return nil
	}
	l.note("%s loses power and its disk", m.Name)
	return m.WipeDisk()
}

// callTimeout is the silence after which callers of the operators' API turn to another node.
const callTimeout = time.Second

// call makes one call of the operators' API. Status 0: no complete answer came within a second.
func call(ctx context.Context, method, url, body string) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// addTally adds to a tally at one machine and records the answer.
func (l *lab) addTally(ctx context.Context, m *machine, tally, member string, amount int) int {
	status, _ := call(ctx, http.MethodPost, "http://"+m.Control()+"/api/Tallies.Modify/"+tally, fmt.Sprintf(`{"memberId":%q,"heldBy":%d}`, member, amount))
	l.note("%s: add %d to %s as %s: status %d", m.Name, amount, tally, member, status)
	return status
}

// readTally reads a tally at one machine and records the answer.
func (l *lab) readTally(ctx context.Context, m *machine, tally string) (status, total int) {
	status, body := call(ctx, http.MethodGet, "http://"+m.Control()+"/api/Tallies.Show/"+tally, "")
	var shown struct{ Total int }
	if status == http.StatusOK && json.Unmarshal(body, &shown) != nil {
		status = 0
	}
	l.note("%s: read %s: status %d, total %d", m.Name, tally, status, shown.Total)
	return status, shown.Total
}

// sleep waits, or returns the context's error.
func sleep(ctx context.Context, span time.Duration) error {
	select {
	case <-time.After(span):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
