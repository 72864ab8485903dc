// Package settings reads the settings file of a tier process. The TOML file
// defines what the node is, where it listens and which time limits it keeps. The
// package only reads the file; it does not resolve names in it.
package settings

import (
	"net/netip"
	"os"
	"slices"
	"time"
)

// PathVariable is the environment variable that holds the path of the settings
// file.
const PathVariable = "OAKSEAM_NODE_FILE"

// Service is a kind of work that a node performs.
type Service string

// The services.
const (
	Edge    Service = "edge"    // accepts client traffic
	Control Service = "control" // is a control plane node
	Storage Service = "storage" // stores data on its disk
)

// Discovery is how a node finds other nodes besides its seed nodes.
type Discovery string

// CloudAPIDiscovery finds nodes with the cloud's API at Settings.CloudAPI.
const CloudAPIDiscovery Discovery = "cloud_api"

// EntryMode is how client traffic reaches the edge.
type EntryMode string

// VIPEntry receives client traffic at a virtual IP address.
const VIPEntry EntryMode = "vip"

// Settings holds the content of the settings file of a node. It owns its slices.
type Settings struct {
	NodeName          string
	Role              string // free text, for the log
	HardwareClass     string // such as "edge"; empty if not stated
	Services          []Service
	ManagementIP      netip.Addr
	Zone              string
	Region            string
	InternalPortRange [2]int   // first and last port, both included
	SeedNodes         []string // host:port each
	Bootstrap         bool     // the node may create the tier
	QuorumMember      bool     // the node is a voter
	DataDir           string   // absolute; empty if there is no disk
	Discovery         Discovery
	EntryMode         EntryMode
	Heartbeat         time.Duration // greater than zero
	Contracts         []string
	Zones             []Zone // sorted by name; may be empty
	BindAddresses     BindAddresses
	Limits            Limits
	FaultTolerance    FaultTolerance
	Bounds            Bounds
	Warmup            Warmup
	CloudAPI          CloudAPI
}

// Zone is a zone of the tier and its region.
type Zone struct {
	Name   string
	Region string
}

// BindAddresses are the addresses that the node listens on, each host:port.
type BindAddresses struct {
	Front        string // client traffic; required for Edge
	Readiness    string // readiness probes; required for Edge
	ControlPlane string // required for Control
}

// Limits are the machine resources that the node may use. Zero means not stated.
type Limits struct {
	CPUShare        float64 // of one core
	CoreCount       int
	MemoryMB        int
	FileDescriptors int
	LinkSpeedMbps   float64 // megabits per second
	DiskMB          int
}

// FaultTolerance is how many losses at the same time the tier must survive.
type FaultTolerance struct {
	MachineLosses int
	Zones         int
	RegionLosses  int
}

// CloudAPI describes the cloud's API.
type CloudAPI struct {
	Address  string        // host:port; required for CloudAPIDiscovery
	RatePerS float64       // calls per second that the API accepts; zero means not stated
	Duties   []string      // tasks that the API performs for the tier
	MaxLag   time.Duration // maxLagMs; DefaultMaxLag if not stated
}

// Path returns the path of the settings file from the environment, or "".
func Path() string { return os.Getenv(PathVariable) }

// Serves reports whether the node provides a service.
func (s *Settings) Serves(service Service) bool {
	return slices.Contains(s.Services, service)
}

// HasContract reports whether the settings list a contract.
func (s *Settings) HasContract(name string) bool {
	return slices.Contains(s.Contracts, name)
}

// StableID returns the name that identifies the node across restarts and address
// changes.
func (s *Settings) StableID() string { return s.NodeName }

// RegionOf returns the region of a zone and whether the zone is known.
func (s *Settings) RegionOf(zone string) (region string, ok bool) {
	for _, known := range s.Zones {
		if known.Name == zone {
			return known.Region, true
		}
	}
	if zone == s.Zone {
		return s.Region, true
	}
	return "", false
}
