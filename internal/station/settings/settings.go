// Package settings reads the settings file of a tier process: a TOML file that
// says what the node is, where it listens and what bounds it keeps. It reads
// the file and nothing else; names in it are not looked up.
package settings

import (
	"net/netip"
	"os"
	"slices"
	"time"
)

// PathVariable names the environment variable with the settings file's path.
const PathVariable = "OAKSEAM_NODE_FILE"

// Service is a kind of work that a node does.
type Service string

// The services.
const (
	Edge    Service = "edge"    // takes in client traffic
	Control Service = "control" // takes part in the control plane
	Storage Service = "storage" // keeps data on its disk
)

// Discovery says how a node finds others beside its seed nodes.
type Discovery string

// CloudAPIDiscovery finds nodes through the cloud's API at Settings.CloudAPI.
const CloudAPIDiscovery Discovery = "cloud_api"

// EntryMode says how client traffic comes to the edge.
type EntryMode string

// VIPEntry brings client traffic in at a virtual address.
const VIPEntry EntryMode = "vip"

// Settings is what the file says of a node. Slices belong to the Settings.
type Settings struct {
	NodeName          string
	Role              string // free text, for the log
	HardwareClass     string // such as "edge"; empty if not given
	Services          []Service
	ManagementIP      netip.Addr
	Zone              string
	Region            string
	InternalPortRange [2]int   // first and last port, both included
	SeedNodes         []string // host:port each
	Bootstrap         bool     // the node may found the tier
	QuorumMember      bool     // the node votes
	DataDir           string   // absolute; empty where there is no disk
	Discovery         Discovery
	EntryMode         EntryMode
	Heartbeat         time.Duration // over zero
	Contracts         []string
	Zones             []Zone // by name; may be empty
	BindAddresses     BindAddresses
	Limits            Limits
	FaultTolerance    FaultTolerance
	Bounds            Bounds
	CloudAPI          CloudAPI
}

// Zone is a zone of the tier and the region that it lies in.
type Zone struct {
	Name   string
	Region string
}

// BindAddresses are the addresses that the node listens on, host:port each.
type BindAddresses struct {
	Front        string // client traffic; given if the node serves Edge
	Readiness    string // readiness probes; given if the node serves Edge
	ControlPlane string // given if the node serves Control
}

// Limits are what the node may use of its machine. Zero is no figure given.
type Limits struct {
	CPUShare        float64 // of one core
	CoreCount       int
	MemoryMB        int
	FileDescriptors int
	LinkSpeedMbps   float64 // megabits per second
	DiskMB          int
}

// FaultTolerance is how much may be lost at once with the tier still serving.
type FaultTolerance struct {
	MachineLosses int
	Zones         int
	RegionLosses  int
}

// CloudAPI says how to reach the cloud's API.
type CloudAPI struct {
	Address  string   // host:port; given if Discovery is CloudAPIDiscovery
	RatePerS float64  // calls per second that the API takes; zero is no figure
	Duties   []string // what the API does for the tier
	MaxLag   time.Duration
}

// Path returns the settings file's path from the environment, or "".
func Path() string { return os.Getenv(PathVariable) }

// Serves tells whether the node does a service's work.
func (s *Settings) Serves(service Service) bool {
	return slices.Contains(s.Services, service)
}

// HasContract tells whether the node keeps a contract.
func (s *Settings) HasContract(name string) bool {
	return slices.Contains(s.Contracts, name)
}

// SteadyID returns the name that stays with the node over restarts and changes
// of address.
func (s *Settings) SteadyID() string { return s.NodeName }

// RegionOf returns the region that a zone lies in, and whether it is known.
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
