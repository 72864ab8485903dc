package settings

import (
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"

	"github.com/go-faster/errors"
	validation "github.com/go-ozzo/ozzo-validation/v4"
)

// maxNameBytes limits the names of nodes, zones, roles and other items.
const maxNameBytes = 128

// maxListLength limits the lists in the file.
const maxListLength = 1024

// namePattern matches a name: no spaces, no control characters.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)

// hostPattern matches a host name in an address.
var hostPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9.-]*[A-Za-z0-9])?$`)

// Rules shared by several fields.
var (
	nameRules    = []validation.Rule{validation.Length(1, maxNameBytes), validation.Match(namePattern)}
	addressRules = []validation.Rule{validation.By(checkAddress)}
	countRules   = []validation.Rule{validation.Min(0)}
	numberRules  = []validation.Rule{validation.Min(0.0)}
	listRules    = []validation.Rule{validation.Length(0, maxListLength)}
)

// required prepends the rule that a value must be present.
func required(rules []validation.Rule) []validation.Rule {
	return requiredIf(true, rules)
}

// requiredIf is like required if a condition holds.
func requiredIf(condition bool, rules []validation.Rule) []validation.Rule {
	return slices.Concat([]validation.Rule{validation.Required.When(condition)}, rules)
}

// checks collects the errors of fields in a document.
type checks struct{ document *document }

func (c checks) field(key string, value any, rules ...validation.Rule) {
	if err := validation.Validate(value, rules...); err != nil {
		c.document.fail(key, err.Error())
	}
}

// elements checks the length of a list and each element.
func (c checks) elements(key string, list []string, rules []validation.Rule) {
	c.field(key, list, listRules...)
	for i, element := range list {
		c.field(fmt.Sprintf("%s[%d]", key, i), element, rules...)
	}
}

// check validates the fields and adds errors for invalid ones. It skips fields
// that already have an error from reading, so that each is reported once.
func (d *document) check(s *Settings) {
	found := &document{file: d.file}
	c := checks{document: found}
	c.identity(s)
	c.place(s)
	c.addresses(s)
	c.numbers(s)
	for _, failure := range found.failures {
		d.addOnce(failure.(*FieldError))
	}
}

// addOnce adds an error unless its key already has one.
func (d *document) addOnce(failure *FieldError) {
	same := func(known error) bool { return known.(*FieldError).Key == failure.Key }
	if !slices.ContainsFunc(d.failures, same) {
		d.failures = append(d.failures, failure)
	}
}

func (c checks) identity(s *Settings) {
	c.field("nodeName", s.NodeName, required(nameRules)...)
	c.field("role", s.Role, nameRules...)
	c.field("hardwareClass", s.HardwareClass, nameRules...)
	c.field("serves", s.Services, required(listRules)...)
	for i, service := range s.Services {
		c.field(fmt.Sprintf("serves[%d]", i), service, required([]validation.Rule{validation.In(Edge, Control, Storage)})...)
	}
	c.field("discovery", string(s.Discovery), nameRules...)
	c.field("entryMode", string(s.EntryMode), nameRules...)
	c.elements("contracts", s.Contracts, required(nameRules))
	c.elements("cloudApi.duties", s.CloudAPI.Duties, required(nameRules))
}

func (c checks) place(s *Settings) {
	c.field("zone", s.Zone, required(nameRules)...)
	c.field("region", s.Region, required(nameRules)...)
	c.field("zones", s.Zones, listRules...)
	for _, zone := range s.Zones {
		c.field("zones", zone.Name, required(nameRules)...)
		c.field("zones."+zone.Name, zone.Region, required(nameRules)...)
	}
	region, known := s.RegionOf(s.Zone)
	if known && region != s.Region {
		c.document.fail("zones."+s.Zone, "must be the region of the node's own zone, "+s.Region)
	}
	storage := s.Serves(Storage)
	c.field("dataDir", s.DataDir, requiredIf(storage, []validation.Rule{validation.By(checkAbsolute)})...)
}

func (c checks) addresses(s *Settings) {
	if !s.ManagementIP.IsValid() {
		c.document.fail("mgmtIp", "cannot be blank")
	}
	c.field("internalPortRange", s.InternalPortRange, validation.By(checkPortRange))
	c.elements("seedNodes", s.SeedNodes, required(addressRules))
	edge, control := s.Serves(Edge), s.Serves(Control)
	c.field("bindAddresses.front", s.BindAddresses.Front, requiredIf(edge, addressRules)...)
	c.field("bindAddresses.readiness", s.BindAddresses.Readiness, requiredIf(edge, addressRules)...)
	c.field("bindAddresses.controlPlane", s.BindAddresses.ControlPlane, requiredIf(control, addressRules)...)
	cloud := s.Discovery == CloudAPIDiscovery
	c.field("cloudApi.address", s.CloudAPI.Address, requiredIf(cloud, addressRules)...)
}

func (c checks) numbers(s *Settings) {
	c.field("heartbeatMs", int64(s.Heartbeat), validation.Required.Error("must be over 0"))
	c.field("limits.cpuShare", s.Limits.CPUShare, numberRules...)
	c.field("limits.coreCount", s.Limits.CoreCount, countRules...)
	c.field("limits.memoryMb", s.Limits.MemoryMB, countRules...)
	c.field("limits.fileDescriptors", s.Limits.FileDescriptors, countRules...)
	c.field("limits.linkSpeedMbps", s.Limits.LinkSpeedMbps, numberRules...)
	c.field("limits.diskMb", s.Limits.DiskMB, countRules...)
	c.field("faultTolerance.machineLosses", s.FaultTolerance.MachineLosses, countRules...)
	c.field("faultTolerance.zones", s.FaultTolerance.Zones, countRules...)
	c.field("faultTolerance.regionLosses", s.FaultTolerance.RegionLosses, countRules...)
	c.field("cloudApi.ratePerS", s.CloudAPI.RatePerS, numberRules...)
	c.field("timingBounds.warmupOverrun", s.Warmup.Overrun, numberRules...)
	c.field("timingBounds.warmupSlack", s.Warmup.Slack, numberRules...)
}

// Errors of this package's own rules.
var (
	errAddress   = errors.New("must be host:port, with a port of 1 to 65535")
	errAbsolute  = errors.New("must be an absolute path")
	errPortRange = errors.New("must be the first and the last port, of 1 to 65535 and in order")
)

// checkAddress accepts host:port, where the host is an IP address or a name.
func checkAddress(value any) error {
	address, _ := value.(string)
	if address == "" {
		return nil
	}
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return errAddress
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil || port == 0 {
		return errAddress
	}
	if _, err := netip.ParseAddr(host); err != nil && !hostPattern.MatchString(host) {
		return errAddress
	}
	return nil
}

func checkAbsolute(value any) error {
	path, _ := value.(string)
	if path != "" && !filepath.IsAbs(path) {
		return errAbsolute
	}
	return nil
}

func checkPortRange(value any) error {
	ports, _ := value.([2]int)
	if ports[0] < 1 || ports[0] > ports[1] || ports[1] > 65535 {
		return errPortRange
	}
	return nil
}
