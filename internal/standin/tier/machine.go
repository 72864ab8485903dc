// Package tier plays on loopback the parties that the serving tier talks to: the platform,
// the servers of services, an operator and clients with programs of turns. It also runs
// the tier's own programs as processes, each on a machine with an address of its own.
// Stand-ins tell a recorder what they saw, and judge nothing.
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

	"pipitmux/internal/standin"
	"pipitmux/internal/station/settings"
)

// The ports of each machine, which differ by their addresses alone.
const (
	FrontPort     = 8080
	ReadinessPort = 8081
	ControlPort   = 8082
	InternalPort  = 8100 // the first of the internal ports
	internalLast  = 8149
)

// Limits that the processes are told to keep to.
const (
	coreCount       = 1
	memoryMB        = 192
	fileDescriptors = 2048
)

// Machine is one machine of the tier, and how its process is started.
type Machine struct {
	Name     string
	Serves   settings.Service
	Program  string // the path of anemometer or barograph
	Command  string // of the program
	IP       string
	Zone     string
	Zones    []string
	Seeds    []string // addresses of all core machines
	Platform string   // host:port
	Losses   int      // machines that may be lost at once
	Folder   string   // for its settings, its log and its disk
	Log      io.Writer
}

// file is a settings file.
type file struct {
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
}

// region is the one that all zones lie in.
const region = "loopback"

func (m *Machine) at(port int) string { return net.JoinHostPort(m.IP, strconv.Itoa(port)) }

// Front is where clients reach an edge.
func (m *Machine) Front() string { return m.at(FrontPort) }

// Readiness is where an edge is asked whether it takes clients.
func (m *Machine) Readiness() string { return m.at(ReadinessPort) }

// Control is where operators reach a core machine.
func (m *Machine) Control() string { return m.at(ControlPort) }

// Internal is where other processes of the tier reach the machine.
func (m *Machine) Internal(offset int) string { return m.at(InternalPort + offset) }

// disk is the folder that is lost with the machine's disk.
func (m *Machine) disk() string { return filepath.Join(m.Folder, "disk") }

// WipeDisk loses what the machine's disk held.
func (m *Machine) WipeDisk() error { return os.RemoveAll(m.disk()) }

func (m *Machine) settings(bootstrap bool) *file {
	f := &file{
		NodeName: m.Name, Role: m.Command, Serves: []string{string(m.Serves)}, ManagementIP: m.IP, Zone: m.Zone, Region: region,
		InternalPortRange: []int{InternalPort, internalLast}, Bootstrap: bootstrap, QuorumMember: m.Serves == settings.Control,
		Discovery: string(settings.CloudAPIDiscovery), EntryMode: string(settings.VIPEntry), Zones: map[string]string{},
		BindAddresses:  map[string]string{"front": m.Front(), "readiness": m.Readiness(), "controlPlane": m.Control()},
		Limits:         map[string]int{"coreCount": coreCount, "memoryMb": memoryMB, "fileDescriptors": fileDescriptors},
		FaultTolerance: map[string]int{"machineLosses": m.Losses}, CloudAPI: map[string]string{"address": m.Platform},
	}
	for _, zone := range m.Zones {
		f.Zones[zone] = region
	}
	for _, seed := range m.Seeds {
		f.SeedNodes = append(f.SeedNodes, net.JoinHostPort(seed, strconv.Itoa(ControlPort)))
	}
	if m.Serves != settings.Edge {
		f.DataDir = m.disk()
	}
	return f
}

// Start starts the machine's process. It may not serve yet.
func (m *Machine) Start(bootstrap bool) (*standin.Node, error) {
	if err := os.MkdirAll(m.disk(), 0o755); err != nil {
		return nil, err
	}
	path := filepath.Join(m.Folder, "node.toml")
	text, err := toml.Marshal(m.settings(bootstrap))
	if err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	// env hands the process over to the program, which has the environment of its own then.
	return standin.StartNode("env", m.Folder, struct{}{}, m.Front(), "", m.Log, settings.PathVariable+"="+path, m.Program, m.Command)
}

// Stop is how long a process may take to end.
const Stop = 12 * time.Second

// End ends a process as its platform does, with SIGTERM first.
func End(n *standin.Node) error {
	if err := n.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return n.Stop(Stop)
}

// Ready asks an edge once whether it takes clients.
func Ready(ctx context.Context, client *http.Client, address string) bool {
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
