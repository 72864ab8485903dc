package dispatch

import (
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/core"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/routing"
)

// Guards against a server that becomes cold by itself and gets its usual requests until the platform's list
// tells of it, more than all nodes may send to it.
func TestServerThatSaysItIsColdGetsNothingMore(t *testing.T) {
	var remaining, checks atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		checks.Add(1)
		w.Header().Set(memberIDHeader, strings.TrimPrefix(r.URL.Path, "/health/"))
		w.Header().Set(warmupRemainingHeader, fmt.Sprint(remaining.Load()))
	}))
	defer server.Close()
	d := startDispatcher(t, testWarmup)
	configuration, err := routing.Parse(fmt.Appendf(nil, `{"configRevision":2,
		"virtualServers":[{"hostHeader":"h","pathPrefix":"/","trafficClass":"idempotent","timeoutMs":1000,"poolName":"llm"}],
		"pools":[{"name":"llm","healthMonitor":"/health/b","warmupS":3,"warmupPerS":%v}]}`, testWarmupPerS))
	assert.NilError(t, err)
	d.Configure(configuration)
	setList(d, warmServer("a"), warmServer("b"))
	transport := &fakeTransport{}
	guard := warmupGuard{Transport: transport, table: d.warmups, service: "llm", checks: d.checks, used: func() {}}
	send := func(id string, count int) {
		for range count {
			attempt := attemptTo(id)
			attempt.Instance.Endpoint = strings.TrimPrefix(server.URL, "http://")
			guard.Start(attempt, func(core.AttemptResult) {})
		}
		time.Sleep(50 * time.Millisecond)
	}
	perCheck := int(math.Floor(checkShare * testLimit))
	send("b", perCheck-1)
	assert.Equal(t, checks.Load(), int64(0), "too few requests in a second to ask")
	send("b", 1)
	assert.Equal(t, checks.Load(), int64(1))
	assert.DeepEqual(t, serving(t, d), []string{"a", "b"})

	remaining.Store(testWarmup.Milliseconds())
	send("a", perCheck) // the answer names b: a's address belongs to another server now
	assert.DeepEqual(t, serving(t, d), []string{"a", "b"})
	send("b", perCheck)
	assert.DeepEqual(t, serving(t, d), []string{"a"})
	asked := checks.Load()
	send("b", 2*perCheck)
	assert.Equal(t, checks.Load(), asked, "a cold server is not asked")

	holder := coldServer("b", 1, "edge-1")
	setList(d, warmServer("a"), holder)
	time.Sleep(fillTime)
	assert.Assert(t, slices.Contains(serving(t, d), "b"), "the list's grants count")
	setList(d, []protocol.Server{warmServer("a")}...)
	assert.Equal(t, len(d.checks.servers), 1, "servers that are gone are forgotten")
}

// Guards against a server that is set aside for as long as a wrong health answer says.
func TestHealthAnswerSetsNoServerAsideForLongerThanItsPoolsWarmup(t *testing.T) {
	table := newWarmupTable("edge-1", testWarmupLimits)
	table.configure(warmupConfiguration(t, testWarmup.Seconds()))
	now := time.Now()
	assert.Assert(t, table.markServerCold("llm", "a", time.Hour, now))
	assert.Assert(t, !table.take("llm", "a", now.Add(testWarmup)).allowed)
	assert.Assert(t, !table.markServerCold("llm", "a", time.Hour, now.Add(testWarmup)), "known to be cold")
	assert.Assert(t, table.take("llm", "a", now.Add(testWarmup+warmupMargin)).allowed)
}
