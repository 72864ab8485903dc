package settings

import (
	"bytes"
	"io"
	"maps"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/go-faster/errors"
)

// Limits of the settings file. Limiting the line length and the number of braces
// keeps the TOML package from nesting tables so deeply that it exhausts memory.
const (
	MaxFileBytes = 64 << 10
	maxLineBytes = 8 << 10
	maxBraces    = 256
)

// Read reads the settings file at a path. If the content of the file is invalid,
// the error is one or several joined *FieldError, which match ErrTooLarge or
// ErrSyntax with errors.Is.
func Read(path string) (*Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open settings file")
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "read settings file %s", path)
	}
	return Parse(path, data)
}

// Parse reads settings from the content of a file. The path appears in its
// errors, which are those of Read.
func Parse(path string, data []byte) (*Settings, error) {
	if tooLarge(data) {
		return nil, &FieldError{File: path, Reason: ErrTooLarge.Error(), cause: ErrTooLarge}
	}
	values := make(map[string]any)
	if err := toml.Unmarshal(data, &values); err != nil {
		return nil, &FieldError{File: path, Reason: err.Error(), cause: ErrSyntax}
	}
	parsed := &document{file: path}
	root := table{document: parsed, values: values}
	settings := root.settings()
	parsed.check(settings)
	if err := parsed.err(); err != nil {
		return nil, err
	}
	return settings, nil
}

// tooLarge reports whether a file exceeds one of the limits.
func tooLarge(data []byte) bool {
	if len(data) > MaxFileBytes || bytes.Count(data, []byte("{")) > maxBraces {
		return true
	}
	for line := range bytes.Lines(data) {
		if len(line) > maxLineBytes {
			return true
		}
	}
	return false
}

// settings reads all keys of the root table.
func (t table) settings() *Settings {
	s := &Settings{
		NodeName:          t.text("nodeName"),
		Role:              t.text("role"),
		HardwareClass:     t.text("hardwareClass"),
		Services:          t.services("serves"),
		ManagementIP:      t.ip("mgmtIp"),
		Zone:              t.text("zone"),
		Region:            t.text("region"),
		InternalPortRange: t.portRange("internalPortRange"),
		SeedNodes:         t.texts("seedNodes"),
		Bootstrap:         t.flag("bootstrap"),
		QuorumMember:      t.flag("quorumMember"),
		DataDir:           t.text("dataDir"),
		Discovery:         Discovery(t.text("discovery")),
		EntryMode:         EntryMode(t.text("entryMode")),
		Heartbeat:         t.duration("heartbeatMs", time.Millisecond, DefaultHeartbeat),
		Contracts:         t.texts("contracts"),
		Zones:             t.sub("zones").zones(),
		BindAddresses:     t.sub("bindAddresses").bindAddresses(),
		Limits:            t.sub("limits").limits(),
		FaultTolerance:    t.sub("faultTolerance").faultTolerance(),
		CloudAPI:          t.sub("cloudApi").cloudAPI(),
	}
	bounds := t.sub("timingBounds")
	for _, bound := range s.Bounds.list() {
		*bound.field = bounds.duration(bound.key, bound.unit, bound.fallback)
	}
	s.Warmup = bounds.warmup()
	return s
}

func (t table) services(key string) []Service {
	var services []Service
	for _, name := range t.texts(key) {
		services = append(services, Service(name))
	}
	return services
}

// ip reads an IP address; the zero Addr means none.
func (t table) ip(key string) netip.Addr {
	text := t.text(key)
	if text == "" {
		return netip.Addr{}
	}
	address, err := netip.ParseAddr(text)
	if err != nil {
		t.fail(key, "must be an IP address")
	}
	return address
}

// portRange reads the first and the last port.
func (t table) portRange(key string) [2]int {
	ports := t.integers(key)
	if len(ports) == 0 {
		return [2]int{}
	}
	if len(ports) != 2 {
		t.fail(key, "must be the first and the last port")
		return [2]int{}
	}
	return [2]int{ports[0], ports[1]}
}

func (t table) zones() []Zone {
	var zones []Zone
	for _, name := range slices.Sorted(maps.Keys(t.values)) {
		zones = append(zones, Zone{Name: name, Region: t.text(name)})
	}
	return zones
}

func (t table) bindAddresses() BindAddresses {
	return BindAddresses{
		Front:        t.text("front"),
		Readiness:    t.text("readiness"),
		ControlPlane: t.text("controlPlane"),
	}
}

func (t table) limits() Limits {
	cpuShare, _ := t.number("cpuShare")
	linkSpeed, _ := t.number("linkSpeedMbps")
	return Limits{
		CPUShare:        cpuShare,
		CoreCount:       t.integer("coreCount"),
		MemoryMB:        t.integer("memoryMb"),
		FileDescriptors: t.integer("fileDescriptors"),
		LinkSpeedMbps:   linkSpeed,
		DiskMB:          t.integer("diskMb"),
	}
}

func (t table) faultTolerance() FaultTolerance {
	return FaultTolerance{
		MachineLosses: t.integer("machineLosses"),
		Zones:         t.integer("zones"),
		RegionLosses:  t.integer("regionLosses"),
	}
}

func (t table) cloudAPI() CloudAPI {
	rate, _ := t.number("ratePerS")
	return CloudAPI{
		Address:  t.text("address"),
		RatePerS: rate,
		Duties:   t.texts("duties"),
		MaxLag:   t.duration("maxLagMs", time.Millisecond, DefaultMaxLag),
	}
}
