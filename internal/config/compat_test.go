package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakseam/internal/discovery"
	"oakseam/logic"
)

// The fixtures are a node's two configuration files with every key that the build before identifiers
// were renamed reads, and what that build printed for them. They must not be regenerated: operators
// keep such files, and tools read what is printed.

func earlierFile(name string) string { return filepath.Join("testdata", "earlier_build", name) }

func earlierEnvironment(name string) string {
	if name == "PROXY_CONFIG" {
		return earlierFile("config.json")
	}
	return ""
}

// The configuration must be loaded to the values that the earlier build loaded.
func TestLoadsConfigurationOfEarlierBuild(t *testing.T) {
	c, err := Load(earlierEnvironment, earlierFile("own.yaml"))
	require.NoError(t, err)
	const ms, us = time.Millisecond, time.Microsecond
	assert.Equal(t, &Config{
		Name: "node-1", Listen: "127.0.0.1:8080", Discovery: "127.0.0.1:8081", Console: "127.0.0.1:8082",
		PeerListen: "127.0.0.1:8083", Peers: []string{"127.0.0.1:8093", "127.0.0.1:8083", "127.0.0.1:8103"},
		Seed: 31, Cores: 1.5, MemoryMB: 200, Sockets: 2048,
		KnownBackends: discovery.List{Revision: 7, Full: true, Targets: []discovery.Target{{UID: "s-1", Endpoint: "10.2.0.1:9000",
			Zone: "zone-a", Model: "kind-1", PodGroup: 3, State: "in_service", Capacity: 2.5, BootMS: 4}}},
		ConnectTimeout: 19 * us, RetryAfter: 17 * us,
		Settings: logic.Settings{
			Zone: "zone-a", Nodes: 3, Number: 1, OverShareWorth: 0.25, Tick: 11 * us, MustSubscribe: true,
			ReportFields: []string{"held", "pending"},
			AskWithin:    12 * us, DrainGrace: 13 * us, ColdFrom: 0.125, WarmWithin: 14 * us, FallMultiple: 1.75,
			FallAfter: 15 * us, AnswerSlack: 16 * us, MaxAttempts: 5, SecondCopies: true, CanCancel: true,
			MaxRetryAfter: 17 * us, ConnIdle: 18 * us, LateFailCharge: 0.375, ConnectCharge: 0.5, CrossCharge: 0.625,
			Classes: []logic.Class{
				{Name: "safe", Aim: 20 * us, AimStretch: 2.25, Deadline: 21 * us, Worth: 3.25, LateWorth: 0.75, Effect: logic.Safe, Stream: true},
				{Name: "all", Aim: 22 * us, Deadline: 23 * us, Effect: logic.Keyed, Group: logic.DedupAll, Window: 24 * us},
				{Name: "zone", Aim: 25 * us, Deadline: 26 * us, Effect: logic.Keyed, Group: logic.DedupZone, Window: 27 * us},
				{Name: "cell", Aim: 28 * us, Deadline: 29 * us, Effect: logic.Keyed, Group: logic.DedupCell, Window: 30 * us},
				{Name: "unsafe", Aim: 31 * us, Deadline: 32 * us, Effect: logic.Unsafe},
			},
			Tenants: []logic.Tenant{{Name: "tenant", QuotaPerSec: 33.5}},
		},
		Options: Options{
			Log:     Log{Level: "warn", Format: "json"},
			Session: Session{HeadWithin: 21 * ms, BodyWithin: 22 * ms, IdleFor: 23 * ms, Share: 0.25, RequestShare: 0.125},
			Backend: Backend{IdleShare: 0.75, Share: 0.375},
			State:   State{Dir: "/data/state"},
			Peers:   Peers{BytesPerS: 24.5},
		},
	}, c)
}

// A connect timeout in a node's own file must still go before that of the settings. It has a file
// of its own, as the whole configuration shows where the value of the settings goes.
func TestOwnConnectTimeoutOfEarlierBuild(t *testing.T) {
	own, _, err := ReadOptions(earlierFile("connect_timeout.yaml"))
	require.NoError(t, err)
	assert.Equal(t, 34*time.Millisecond, own.Backend.ConnectTimeout)
	c, err := Load(earlierEnvironment, earlierFile("connect_timeout.yaml"))
	require.NoError(t, err)
	assert.Equal(t, 34*time.Millisecond, c.ConnectTimeout)
}

// The list of effective values must be printed as it was: keys, values and where they came from.
func TestShowsConfigurationAsEarlierBuild(t *testing.T) {
	values, err := Show(earlierEnvironment, earlierFile("own.yaml"))
	require.NoError(t, err)
	got, err := json.MarshalIndent(values, "", "  ")
	require.NoError(t, err)
	want, err := os.ReadFile(earlierFile("show.json"))
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got)+"\n")
}

// The schema of a node's own file must stay as it was, but for its descriptions and its title.
func TestSchemaIsThatOfEarlierBuild(t *testing.T) {
	text, err := Schema()
	require.NoError(t, err)
	want, err := os.ReadFile(earlierFile("schema.json"))
	require.NoError(t, err)
	assert.Equal(t, withoutProse(t, want), withoutProse(t, text))
}

// withoutProse decodes a schema and leaves out the texts for readers.
func withoutProse(t *testing.T, text []byte) (schema map[string]any) {
	t.Helper()
	require.NoError(t, json.Unmarshal(text, &schema))
	delete(schema, "title")
	var strip func(properties any)
	strip = func(properties any) {
		for _, property := range properties.(map[string]any) {
			fields := property.(map[string]any)
			require.NotEmpty(t, fields["description"])
			delete(fields, "description")
			if nested, ok := fields["properties"]; ok {
				strip(nested)
			}
		}
	}
	strip(schema["properties"])
	return schema
}
