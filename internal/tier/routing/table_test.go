package routing

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// matchByScan is a reference implementation of Match without a table.
func matchByScan(routes []Route, host, path string) *Route {
	var best *Route
	for i := range routes {
		route := &routes[i]
		matches := route.Host == CanonicalHost(host) && strings.HasPrefix(path, route.PathPrefix)
		if matches && (best == nil || len(route.PathPrefix) > len(best.PathPrefix)) {
			best = route
		}
	}
	return best
}

func TestMatchEqualsReferenceImplementation(t *testing.T) {
	hosts := rapid.SampledFrom([]string{"a.example", "b.example", "c.example:81", "A.Example:80"})
	paths := rapid.StringMatching(`(/|/[ab]{0,2}){0,5}`)
	rapid.Check(t, func(t *rapid.T) {
		configuration := &Configuration{}
		used := make(map[routeKey]bool)
		for range rapid.IntRange(0, 12).Draw(t, "routes") {
			host := CanonicalHost(hosts.Draw(t, "host"))
			prefix := paths.Draw(t, "prefix") + "/"
			if used[routeKey{host, prefix}] {
				continue
			}
			used[routeKey{host, prefix}] = true
			configuration.Routes = append(configuration.Routes, Route{Host: host, PathPrefix: prefix})
		}
		table := NewTable(configuration)
		for range 10 {
			host, path := hosts.Draw(t, "requested host"), paths.Draw(t, "path")
			got, ok := table.Match(host, path)
			want := matchByScan(configuration.Routes, host, path)
			if got != want || ok != (want != nil) {
				t.Fatalf("%s%s: got %+v, want %+v", host, path, got, want)
			}
		}
	})
}

func TestMatchLongestPrefix(t *testing.T) {
	configuration := &Configuration{Routes: []Route{
		{Name: "all", Host: "a.example", PathPrefix: "/"},
		{Name: "deep", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/"},
	}}
	cases := []struct{ host, path, want string }{
		{"a.example", "/", "all"},
		{"a.example", "/x/", "all"},
		{"a.example", "/x/y", "all"},
		{"a.example", "/x/y/", "deep"},
		{"a.example", "/x/y/z", "deep"},
		{"A.EXAMPLE:8080", "/x/y/z/", "deep"},
		{"b.example", "/x/", "other"},
		{"b.example", "/x", ""},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
		{"a.example", "", ""},
		{"a.example", "x/", ""},
		{"", "/", ""},
	}
	table := NewTable(configuration)
	for _, c := range cases {
		t.Run(c.host+c.path, func(t *testing.T) {
			route, ok := table.Match(c.host, c.path)
			assert.Equal(t, ok, c.want != "")
			if ok {
				assert.Equal(t, route.Name, c.want)
			}
		})
	}
}

func TestCanonicalHost(t *testing.T) {
	cases := map[string]string{
		"":                "",
		":80":             "",
		"A.example":       "a.example",
		"a.example:80":    "a.example",
		"a.example:":      "a.example",
		"a.example:x":     "a.example:x",
		"127.0.0.1:9":     "127.0.0.1",
		"[::1]:80":        "[::1]",
		"[::1]":           "[::1]",
		"::1":             "::1",
		"[FE80::1]:65535": "[fe80::1]",
	}
	for host, want := range cases {
		assert.Equal(t, CanonicalHost(host), want, "%q", host)
	}
}

func TestPickSkipsPoolsOfRatioZero(t *testing.T) {
	route := Route{Weights: []Weight{{"none", 0}, {"a", 90}, {"b", 10}, {"never", 0}}}
	cases := []struct {
		random float64
		want   string
	}{{0, "a"}, {0.5, "a"}, {0.8999, "a"}, {0.9, "b"}, {0.99999, "b"}, {1, "b"}}
	for _, c := range cases {
		assert.Equal(t, route.Pick(c.random), c.want, "%v", c.random)
	}
	assert.Equal(t, (&Route{}).Pick(0.5), "")
}

func TestPickFollowsTheWeights(t *testing.T) {
	const draws = 100000
	route := Route{Weights: []Weight{{"a", 90}, {"b", 7}, {"c", 3}}}
	random := rand.New(rand.NewPCG(1, 2))
	counts := make(map[string]int)
	for range draws {
		counts[route.Pick(random.Float64())]++
	}
	for _, weight := range route.Weights {
		want := weight.Ratio / 100 * draws
		got := float64(counts[weight.Pool])
		assert.Assert(t, got > 0.9*want && got < 1.1*want, "%s: %v, want about %v", weight.Pool, got, want)
	}
}

// largeConfiguration returns a configuration of slightly less than size bytes and its
// number of routes.
func largeConfiguration(size int) ([]byte, int) {
	var body bytes.Buffer
	body.WriteString(`{"configRevision":7,"pools":[{"name":"p"},{"name":"q"}],"virtualServers":[`)
	count := 0
	for body.Len() < size-400 {
		if count > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"name":"r-%d","hostHeader":"h%d.example","pathPrefix":"/p%d/","trafficClass":"streaming",`, count, count%100, count)
		body.WriteString(`"timeoutMs":6000,"targetLatencyMs":250,"priority":1,"poolWeights":[{"poolName":"p","ratio":90},`)
		body.WriteString(`{"poolName":"q","ratio":10}],"retryLimit":2,"retained":true,"retentionS":60.0,"persistence":true}`)
		count++
	}
	body.WriteString(`]}`)
	return body.Bytes(), count
}

func TestParseLargeConfiguration(t *testing.T) {
	body, count := largeConfiguration(4 << 20)
	configuration, err := Parse(body)
	assert.NilError(t, err)
	assert.Equal(t, len(configuration.Routes), count)
	assert.Assert(t, count > 10000)
	route, ok := NewTable(configuration).Match("h42.example:80", "/p4242/x")
	assert.Assert(t, ok)
	assert.Equal(t, route.Name, "r-4242")
}

func BenchmarkParse(b *testing.B) {
	body, _ := largeConfiguration(4 << 20)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		if _, err := Parse(body); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkMatch(b *testing.B) {
	body, _ := largeConfiguration(4 << 20)
	configuration, err := Parse(body)
	assert.NilError(b, err)
	table := NewTable(configuration)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := table.Match("h42.example:80", "/p4242/some/way/down"); !ok {
			b.Fatal("not found")
		}
	}
}
