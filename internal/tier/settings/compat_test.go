package settings_test

import (
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"oakseam/internal/tier/settings"
)

// The settings file of a machine must be read as the build before identifiers were renamed read it.
// The fixture gives every key of that build, each with another value than its default; it was loaded
// by that build to the values below, and must not be adapted to a later one.
func TestReadsSettingsOfEarlierBuild(t *testing.T) {
	const ms, s = time.Millisecond, time.Second
	got, err := settings.Read(filepath.Join("testdata", "earlier_build", "node.toml"))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, &settings.Settings{
		NodeName: "node-1", Role: "a-role", HardwareClass: "a-class",
		Services:     []settings.Service{"edge", "control", "storage"},
		ManagementIP: netip.MustParseAddr("10.1.0.30"), Zone: "zone-a", Region: "region-a",
		InternalPortRange: [2]int{7380, 7395}, SeedNodes: []string{"10.1.0.33:8144", "core-2.example:8145"},
		Bootstrap: true, QuorumMember: true, DataDir: "/data/node-1", Discovery: "cloud_api", EntryMode: "vip",
		Heartbeat: 1201 * ms, Contracts: []string{"base", "drain"},
		Zones: []settings.Zone{{Name: "zone-a", Region: "region-a"}, {Name: "zone-b", Region: "region-b"}},
		BindAddresses: settings.BindAddresses{
			Front: "10.1.0.30:8149", Readiness: "10.1.0.30:8141", ControlPlane: "10.1.0.30:8144"},
		Limits: settings.Limits{
			CPUShare: 0.4, CoreCount: 2, MemoryMB: 284, FileDescriptors: 4100, LinkSpeedMbps: 1000.5, DiskMB: 500},
		FaultTolerance: settings.FaultTolerance{MachineLosses: 3, Zones: 4, RegionLosses: 5},
		Bounds: settings.Bounds{
			SeedLag: 3500 * ms, AddressReuse: s, Contact: 3001 * ms, Acknowledge: 4001500 * time.Microsecond,
			SyncTime: 4200 * ms, Drain: 3002 * ms, Grace: 9 * s, LossSlack: 201 * ms, ConfigApply: 2001 * ms,
			DowngradeSlack: 251 * ms, SkewMax: 5001 * ms, Recovery: 13 * s, Pass: 121 * ms, Again: 6 * s,
			Finish: 11 * s, Settle: 1001 * ms, Merge: 3 * s,
			Evacuate: 5 * s, // that build did not know the key, so this is the default
		},
		CloudAPI: settings.CloudAPI{
			Address: "10.200.0.100:8142", RatePerS: 40.5, Duties: []string{"move", "list"}, MaxLag: 801 * ms},
	}, cmpopts.EquateComparable(netip.Addr{}))
}
