package routing

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

//go:embed testdata/two_routes.json
var twoRoutes []byte

func TestParseReadsAllKeys(t *testing.T) {
	got, err := Parse(twoRoutes)
	assert.NilError(t, err)
	want := &Configuration{
		Revision: 7,
		Routes: []Route{
			{
				Name: "r-9n73hh2", Host: "ficu95.example", PathPrefix: "/lohu930/", Class: Streaming,
				Timeout: 6 * time.Second, TargetLatency: 250 * time.Millisecond, Priority: 1,
				Weights:    []Weight{{Pool: "huvo11a", Ratio: 90}, {Pool: "wuno96b", Ratio: 10}},
				RetryLimit: 2, Retained: true, Retention: time.Minute, Persistence: true,
				TargetGap: 400 * time.Millisecond,
			},
			{
				Name: "r-b9wu3fe", Host: "ficu95.example", PathPrefix: "/pufi791/", Class: Idempotent,
				Timeout: 6 * time.Second, TargetLatency: 250 * time.Millisecond,
				Weights: []Weight{{Pool: "huvo11a", Ratio: 1}}, RetryLimit: 2,
			},
		},
		Pools: []Pool{
			{
				Name: "huvo11a", HealthMonitor: "/health", MaxConnections: 480, Protocol: "h1",
				Engine: &Engine{
					Capacity: 96, CacheTokens: 257309, CacheEntryBytes: 131072,
					LinkSpeedMbps: 550000, StreamChunk: 2, Models: []string{"m"},
				},
			},
			{Name: "wuno96b", HealthMonitor: "/health", MaxConnections: 96, Protocol: "h1"},
		},
		Limits: Limits{
			MaxHeaderBytes: 16384, MaxBodyBytes: 4194304,
			HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
		},
	}
	assert.DeepEqual(t, got, want)
}

// changed returns the configuration of two routes with one text replaced.
func changed(t *testing.T, old, replacement string) []byte {
	t.Helper()
	assert.Assert(t, strings.Contains(string(twoRoutes), old), "no %s to replace", old)
	return []byte(strings.Replace(string(twoRoutes), old, replacement, 1))
}

func TestParseReportsKeyOfInvalidValue(t *testing.T) {
	cases := []struct {
		name, old, replacement, key string
	}{
		{"trailing bytes", `15000}}`, `15000}} x`, KeyBody},
		{"a second document", `15000}}`, `15000}}{}`, KeyBody},
		{"cut short", `"idleTimeoutMs":15000}}`, `"idleTimeoutMs":15000}`, KeyBody},
		{"unknown pool of a route", `"poolName":"huvo11a","retryLimit"`, `"poolName":"x","retryLimit"`, "virtualServers[1].poolName"},
		{"unknown pool of a weight", `"wuno96b","ratio":10`, `"x","ratio":10`, "virtualServers[0].poolWeights[1].poolName"},
		{"unknown pool beside weights", `"poolWeights"`, `"poolName":"x","poolWeights"`, "virtualServers[0].poolName"},
		{"neither pool nor weights", `"poolName":"huvo11a","retryLimit"`, `"retryLimit"`, "virtualServers[1].poolName"},
		{"same host and prefix", `/pufi791/`, `/lohu930/`, "virtualServers[1].pathPrefix"},
		{
			"same host in another form", `"ficu95.example","pathPrefix":"/pufi791/"`,
			`"FICU95.example:80","pathPrefix":"/lohu930/"`, "virtualServers[1].pathPrefix",
		},
		{"weights of sum 0", `"ratio":90},{"poolName":"wuno96b","ratio":10}`, `"ratio":0}`, "virtualServers[0].poolWeights"},
		{"no weights", `{"poolName":"huvo11a","ratio":90},{"poolName":"wuno96b","ratio":10}`, ``, "virtualServers[0].poolWeights"},
		{"negative weight", `"ratio":10`, `"ratio":-1`, "virtualServers[0].poolWeights[1].ratio"},
		{"timeout 0", `"timeoutMs":6000`, `"timeoutMs":0`, "virtualServers[0].timeoutMs"},
		{"timeout 0.0", `"timeoutMs":6000.0`, `"timeoutMs":0.0`, "virtualServers[1].timeoutMs"},
		{"timeout below 0", `"timeoutMs":6000`, `"timeoutMs":-1`, "virtualServers[0].timeoutMs"},
		{"no timeout", `"timeoutMs":6000,`, ``, "virtualServers[0].timeoutMs"},
		{"timeout of another type", `"timeoutMs":6000.0`, `"timeoutMs":"6000"`, "virtualServers[1].timeoutMs"},
		{"timeout out of range", `"timeoutMs":6000`, `"timeoutMs":1e999`, "virtualServers[0].timeoutMs"},
		{"ratio of another type", `"ratio":10`, `"ratio":true`, "virtualServers[0].poolWeights[1].ratio"},
		{"prefix without first slash", `/pufi791/`, `pufi791/`, "virtualServers[1].pathPrefix"},
		{"prefix without last slash", `/pufi791/`, `/pufi791`, "virtualServers[1].pathPrefix"},
		{"empty prefix", `/pufi791/`, ``, "virtualServers[1].pathPrefix"},
		{"no pool name", `{"name":"wuno96b",`, `{`, "pools[1].name"},
		{"empty pool name", `{"name":"wuno96b"`, `{"name":""`, "pools[1].name"},
		{"repeated pool name", `{"name":"wuno96b"`, `{"name":"huvo11a"`, "pools[1].name"},
		{"unknown class", `"idempotent"`, `"lazy"`, "virtualServers[1].trafficClass"},
		{"class in capitals", `"idempotent"`, `"IDEMPOTENT"`, "virtualServers[1].trafficClass"},
		{"no class", `"trafficClass":"idempotent",`, ``, "virtualServers[1].trafficClass"},
		{"revision 0", `"configRevision":7`, `"configRevision":0`, "configRevision"},
		{"revision below 0", `"configRevision":7`, `"configRevision":-7`, "configRevision"},
		{"no revision", `"configRevision":7,`, ``, "configRevision"},
		{"revision with a fraction", `"configRevision":7`, `"configRevision":7.5`, "configRevision"},
		{"revision of another type", `"configRevision":7`, `"configRevision":"7"`, "configRevision"},
		{"routes of another type", `"virtualServers":[`, `"virtualServers":{},"others":[`, "virtualServers"},
		{"route of another type", `"virtualServers":[`, `"virtualServers":[7,`, "virtualServers[0]"},
		{"empty route", `"virtualServers":[`, `"virtualServers":[null,`, "virtualServers[0].pathPrefix"},
		{"limit of another type", `"maxBodyBytes":4194304`, `"maxBodyBytes":"4M"`, "limits.maxBodyBytes"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := Parse(changed(t, c.old, c.replacement))
			assert.Assert(t, got == nil)
			invalid, ok := errors.Into[*InvalidError](err)
			assert.Assert(t, ok, "%v", err)
			assert.Equal(t, invalid.Key, c.key)
			assert.Assert(t, invalid.Reason != "")
			assert.Equal(t, err.Error(), c.key+": "+invalid.Reason)
		})
	}
}

func TestParseRejectsTruncatedConfiguration(t *testing.T) {
	body := []byte(strings.TrimSpace(string(twoRoutes)))
	for length := range body {
		_, err := Parse(body[:length])
		invalid, ok := errors.Into[*InvalidError](err)
		assert.Assert(t, ok, "cut at %d: %v", length, err)
		assert.Equal(t, invalid.Key, KeyBody)
	}
}

func TestParseRejectsOtherDocuments(t *testing.T) {
	for _, body := range []string{"", " ", "null", "[]", "7", `"x"`, "{}", "\ufeff{}", strings.Repeat("[", 20000)} {
		_, err := Parse([]byte(body))
		_, ok := errors.Into[*InvalidError](err)
		assert.Assert(t, ok, "%.20q: %v", body, err)
	}
}

func TestParseAcceptsOptionalAndUnusualValues(t *testing.T) {
	cases := []struct {
		name, old, replacement string
		holds                  func(*Configuration) bool
	}{
		{"no retry limit", `,"retryLimit":2}]`, `}]`, func(c *Configuration) bool { return c.Routes[1].RetryLimit == DefaultRetryLimit }},
		{"retry limit 0", `"retryLimit":2}]`, `"retryLimit":0}]`, func(c *Configuration) bool { return c.Routes[1].RetryLimit == 0 }},
		{"retry limit null", `"retryLimit":2}]`, `"retryLimit":null}]`, func(c *Configuration) bool { return c.Routes[1].RetryLimit == DefaultRetryLimit }},
		{"no target latency", `"targetLatencyMs":250,"priority":0`, `"priority":0`, func(c *Configuration) bool { return c.Routes[1].TargetLatency == 0 }},
		{"unknown keys", `{"configRevision":7`, `{"new":{"deep":[1]},"configRevision":7`, func(c *Configuration) bool { return c.Revision == 7 }},
		{"revision 7.0", `"configRevision":7`, `"configRevision":7.0`, func(c *Configuration) bool { return c.Revision == 7 }},
		{"largest revision", `"configRevision":7`, `"configRevision":18446744073709551615`, func(c *Configuration) bool { return c.Revision == 1<<64-1 }},
		{"revision twice", `{"configRevision":7`, `{"configRevision":3,"configRevision":7`, func(c *Configuration) bool { return c.Revision == 7 }},
		{"routes twice", `"virtualServers":[`, `"virtualServers":[{"priority":9,"persistence":true},{"priority":9,"persistence":true}],"virtualServers":[`, func(c *Configuration) bool {
			return c.Routes[1].Priority == 0 && !c.Routes[1].Persistence
		}},
		{"empty weights beside a pool", `"poolName":"huvo11a","retryLimit"`, `"poolName":"huvo11a","poolWeights":[],"retryLimit"`, func(c *Configuration) bool {
			return c.Routes[1].Pick(0.5) == "huvo11a"
		}},
		{"one weight of 0", `"ratio":10`, `"ratio":0`, func(c *Configuration) bool { return c.Routes[0].Pick(0.999999) == "huvo11a" }},
		{"host in capitals with port", `"ficu95.example"`, `"FICU95.example:8443"`, func(c *Configuration) bool { return c.Routes[0].Host == "ficu95.example" }},
		{"prefix of a slash", `/pufi791/`, `/`, func(c *Configuration) bool { return c.Routes[1].PathPrefix == "/" }},
		{"same prefix of another host", `"ficu95.example","pathPrefix":"/pufi791/"`, `"other.example","pathPrefix":"/lohu930/"`, func(c *Configuration) bool { return len(c.Routes) == 2 }},
		{"no limits", `"limits":`, `"others":`, func(c *Configuration) bool {
			return c.Limits == Limits{DefaultMaxHeaderBytes, DefaultMaxBodyBytes, DefaultHeaderTimeout, DefaultIdleTimeout}
		}},
		{"one limit", `"maxHeaderBytes":16384,`, ``, func(c *Configuration) bool { return c.Limits.MaxHeaderBytes == DefaultMaxHeaderBytes }},
		{"TLS profile with a name", `"tlsProfile":false`, `"tlsProfile":{"name":"p"}`, func(c *Configuration) bool { return c.Pools[0].TLS && !c.Pools[1].TLS }},
		{"engine in another form", `"capacity":96`, `"capacity":"many"`, func(c *Configuration) bool {
			return c.Pools[0].Engine.Capacity == 0 && c.Pools[0].Engine.StreamChunk == 2
		}},
		{"tiny timeout", `"timeoutMs":6000`, `"timeoutMs":1e-9`, func(c *Configuration) bool { return c.Routes[0].Timeout == 1 }},
		{"huge timeout", `"timeoutMs":6000`, `"timeoutMs":1e300`, func(c *Configuration) bool { return c.Routes[0].Timeout == 1<<63-1 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := Parse(changed(t, c.old, c.replacement))
			assert.NilError(t, err)
			assert.Assert(t, c.holds(got), "%+v", got)
		})
	}
}

func TestParseAcceptsConfigurationWithoutRoutes(t *testing.T) {
	got, err := Parse([]byte(`{"configRevision":1,"virtualServers":[],"pools":[]}`))
	assert.NilError(t, err)
	assert.Equal(t, len(got.Routes), 0)
}

func TestDigestIsSHA256OfTheBytes(t *testing.T) {
	assert.Equal(t, fmt.Sprintf("%x", Digest([]byte("abc"))), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad")
}

func FuzzParse(f *testing.F) {
	f.Add(twoRoutes)
	f.Add([]byte(`{"configRevision":1}`))
	f.Add([]byte(`{"configRevision":1,"pools":[{"name":"a"}],"virtualServers":[{"pathPrefix":"/","trafficClass":"streaming","timeoutMs":1,"poolName":"a"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		configuration, err := Parse(body)
		if err != nil {
			_, ok := errors.Into[*InvalidError](err)
			assert.Assert(t, ok, "%v", err)
			return
		}
		assert.Assert(t, json.Valid(body))
		assert.Assert(t, configuration.Revision > 0)
		table := NewTable(configuration)
		for i := range configuration.Routes {
			route := &configuration.Routes[i]
			assert.Assert(t, route.Timeout > 0)
			assert.Assert(t, route.Pick(0.5) != "")
			found, ok := table.Match(route.Host, route.PathPrefix)
			assert.Assert(t, ok && found == route, "%+v", route)
		}
	})
}

func TestParseReadsColdTimesOfPools(t *testing.T) {
	for _, c := range []struct {
		keys       string
		warmup     time.Duration
		warmupPerS float64
	}{
		{`"name":"p"`, 0, 0},
		{`"name":"p","warmupS":3.0,"warmupPerS":17.5`, 3 * time.Second, 17.5},
		{`"name":"p","warmupS":-3,"warmupPerS":-1`, 0, 0},
		{`"name":"p","warmupS":1e300,"warmupPerS":0`, MaxWarmup, 0},
	} {
		got, err := Parse(fmt.Appendf(nil, `{"configRevision":1,"pools":[{%s}]}`, c.keys))
		assert.NilError(t, err)
		assert.Equal(t, got.Pools[0].Warmup, c.warmup, c.keys)
		assert.Equal(t, got.Pools[0].WarmupPerS, c.warmupPerS, c.keys)
	}
	for _, key := range []string{"warmupS", "warmupPerS"} {
		_, err := Parse(fmt.Appendf(nil, `{"configRevision":1,"pools":[{"name":"p",%q:"3"}]}`, key))
		assert.ErrorContains(t, err, "pools[0]."+key)
	}
}
