// Package tier provides fakes of the parties that the serving tier talks to, on loopback: the
// platform, the servers of services, an operator, and clients that run programs of turns. It also
// runs the tier's own programs as processes, each on a machine with its own address. The fakes
// report what they saw to a recorder and check nothing.
package tier

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/go-faster/errors"

	"oakseam/internal/fakes"
	"oakseam/internal/tier/settings"
)

// Ports of each machine. Machines differ only by their addresses.
const (
	FrontPort        = 8080
	ReadinessPort    = 8081
	ControlPort      = 8082
	InternalPort     = 8100 // the first of the internal ports
	lastInternalPort = 8149
)

// Resource limits in the settings of the processes.
const (
	coreCount       = 1
	memoryMB        = 192
	fileDescriptors = 2048
)

// Machine is one machine of the tier and the command that starts its process.
type Machine struct {
	Name          string
	Serves        settings.Service
	Program       string // the path of oakseam-edge or oakseam-control
	Command       string // of the program
	IP            string
	Zone          string
	Zones         []string
	Seeds         []string       // addresses of all core machines
	Platform      string         // host:port
	MachineLosses int            // machines that may be lost at once
	TimingBounds  map[string]int // the settings' table of that name
	Folder        string         // holds its settings, its log and its disk
	Log           io.Writer
}

// settingsFile is the content of a settings file.
type settingsFile struct {
	NodeName          string            `toml:"nodeName"`
	Role              string            `toml:"role"`
	Serves            []string          `toml:"serves"`
	ManagementIP      string            `toml:"mgmtIp"`
	Zone              string            `toml:"zone"`
	Region            string            `toml:"region"`
	InternalPortRange []int             `toml:"internalPortRange"`
	SeedNodes         []string          `toml:"seedNodes"`
	Bootstrap         bool              `toml:"bootstrap"`
	QuorumMember      bool              `toml:"quorumMember"`
	DataDir           string            `toml:"dataDir,omitempty"`
	Discovery         string            `toml:"discovery"`
	EntryMode         string            `toml:"entryMode"`
	Zones             map[string]string `toml:"zones"`
	BindAddresses     map[string]string `toml:"bindAddresses"`
	Limits            map[string]int    `toml:"limits"`
	FaultTolerance    map[string]int    `toml:"faultTolerance"`
	CloudAPI          map[string]string `toml:"cloudApi"`
	TimingBounds      map[string]int    `toml:"timingBounds"`
}

// region contains all zones.
const region = "loopback"

func (m *Machine) address(port int) string { return net.JoinHostPort(m.IP, strconv.Itoa(port)) }

// Front is the address for clients of an edge.
func (m *Machine) Front() string { return m.address(FrontPort) }

// Readiness is the address of an edge's readiness check.
func (m *Machine) Readiness() string { return m.address(ReadinessPort) }

// Control is the address for operators of a core machine.
func (m *Machine) Control() string { return m.address(ControlPort) }

// Internal is the address for other processes of the tier, at an offset from the first internal port.
func (m *Machine) Internal(offset int) string { return m.address(InternalPort + offset) }

// Disk is the folder that stands for the machine's disk.
func (m *Machine) Disk() string { return filepath.Join(m.Folder, "disk") }

// WipeDisk deletes the content of the machine's disk.
func (m *Machine) WipeDisk() error { return os.RemoveAll(m.Disk()) }

func (m *Machine) settings(bootstrap bool) *settingsFile {
	f := &settingsFile{
		NodeName: m.Name, Role: m.Command, Serves: []string{string(m.Serves)}, ManagementIP: m.IP, Zone: m.Zone, Region: region,
		InternalPortRange: []int{InternalPort, lastInternalPort}, Bootstrap: bootstrap, QuorumMember: m.Serves == settings.Control,
		Discovery: string(settings.CloudAPIDiscovery), EntryMode: string(settings.VIPEntry), Zones: map[string]string{},
		BindAddresses:  map[string]string{"front": m.Front(), "readiness": m.Readiness(), "controlPlane": m.Control()},
		Limits:         map[string]int{"coreCount": coreCount, "memoryMb": memoryMB, "fileDescriptors": fileDescriptors},
		FaultTolerance: map[string]int{"machineLosses": m.MachineLosses}, CloudAPI: map[string]string{"address": m.Platform},
		TimingBounds: m.TimingBounds,
	}
	for _, zone := range m.Zones {
		f.Zones[zone] = region
	}
	for _, seed := range m.Seeds {
		f.SeedNodes = append(f.SeedNodes, net.JoinHostPort(seed, strconv.Itoa(ControlPort)))
	}
	if m.Serves != settings.Edge {
		f.DataDir = m.Disk()
	}
	return f
}

// WriteSettings writes the settings file of the machine's process and returns its path.
func (m *Machine) WriteSettings(bootstrap bool) (path string, err error) {
	if err := os.MkdirAll(m.Folder, 0o755); err != nil {
		return "", err
	}
	path = filepath.Join(m.Folder, "node.toml")
	text, err := toml.Marshal(m.settings(bootstrap))
	if err != nil {
		return "", errors.Wrap(err, "write settings")
	}
	return path, os.WriteFile(path, text, 0o600)
}

// Start starts the machine's process. The process may not serve yet when Start returns.
func (m *Machine) Start(bootstrap bool) (*fakes.Node, error) {
	if err := os.MkdirAll(m.Disk(), 0o755); err != nil {
		return nil, err
	}
	path, err := m.WriteSettings(bootstrap)
	if err != nil {
		return nil, err
	}
	// env sets the variable and replaces itself with the program, so the process id is that of the
	// program.
	return fakes.StartNode("env", m.Folder, struct{}{}, m.Front(), "", m.Log, settings.PathVariable+"="+path, m.Program, m.Command)
}

// StopTimeout bounds the shutdown of a process.
const StopTimeout = 12 * time.Second

// Terminate ends a process as the platform does, with SIGTERM first.
func Terminate(n *fakes.Node) error {
	if err := n.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return n.Stop(StopTimeout)
}

// EdgeReady checks once whether an edge accepts clients.
func EdgeReady(ctx context.Context, client *http.Client, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/api/readiness", address), nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
