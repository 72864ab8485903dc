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

// The largest settings file that is read. Bounding lines and braces keeps the
// TOML package from nesting tables so deep that its memory runs away.
const (
	MaxFileBytes = 64 << 10
	maxLineBytes = 8 << 10
	maxBraces    = 256
)

// Read reads the settings file at a path. Where the file is at fault, the
// error is one or several joined *FieldError, and ErrTooLarge or ErrSyntax is
// found in it by errors.Is.
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

// Parse reads settings from the text of a file; the path is for its errors,
// which are those of Read.
func Parse(path string, data []byte) (*Settings, error) {
	if tooLarge(data) {
		return nil, &FieldError{File: path, Reason: ErrTooLarge.Error(), cause: ErrTooLarge}
	}
	values := make(map[string]any)
	if err := toml.Unmarshal(data, &values); err != nil {
		return nil, &FieldError{File: path, Reason: err.Error(), cause: ErrSyntax}
	}
	doc := &document{file: path}
	root := table{document: doc, values: values}
	settings := root.settings()
	doc.check(settings)
	if err := doc.err(); err != nil {
		return nil, err
	}
	return settings, nil
}

// tooLarge tells whether a file is over one of the bounds.
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

// settings reads all that the file says.
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
	return s
}

func (t table) services(key string) []Service {
	var services []Service
	for _, name := range t.texts(key) {
		services = append(services, Service(name))
	}
	return services
}

// ip reads an address; the zero one stands for none.
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
	ports := t.wholes(key)
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
		CoreCount:       t.whole("coreCount"),
		MemoryMB:        t.whole("memoryMb"),
		FileDescriptors: t.whole("fileDescriptors"),
		LinkSpeedMbps:   linkSpeed,
		DiskMB:          t.whole("diskMb"),
	}
}

func (t table) faultTolerance() FaultTolerance {
	return FaultTolerance{
		MachineLosses: t.whole("machineLosses"),
		Zones:         t.whole("zones"),
		RegionLosses:  t.whole("regionLosses"),
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
