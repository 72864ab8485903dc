package cluster

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	audit "oakseam/internal/audit/tier"
	"oakseam/internal/dataplane/edge"
	tierfakes "oakseam/internal/fakes/tier"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/settings"
	"oakseam/internal/wait"
)

// The service behind the edge and its one route.
const (
	serviceName  = "tools"
	servicePath  = "/tools/"
	serviceHost  = "tier.test"
	serviceSlots = 6
	// idSuffix follows the zone in a server's id.
	idSuffix = "-server"
	// configurationBody is a configuration, without its revision.
	configurationBody = `{"configRevision":%d,"virtualServers":[{"name":"read","hostHeader":"` + serviceHost + `","pathPrefix":"` + servicePath +
		`","trafficClass":"idempotent","timeoutMs":1000,"targetLatencyMs":200,"poolName":"` + serviceName + `","retryLimit":2}],` +
		`"pools":[{"name":"` + serviceName + `","protocol":"h1"}]}`
)

// startServers starts a server in each zone and returns them as the platform lists them. A server's
// id begins with its zone.
func startServers(t *testing.T, zones ...string) staticPlatform {
	t.Helper()
	list := staticPlatform{}
	for _, zone := range zones {
		s, err := tierfakes.NewServer(tierfakes.ServerOptions{
			Member: tierfakes.Member{MemberID: zone + idSuffix, PoolName: serviceName},
			Listen: "127.0.0.1:0", Slots: serviceSlots, Recorder: audit.NewRecorder(),
		})
		assert.NilError(t, err)
		t.Cleanup(s.Close)
		list[serviceName] = append(list[serviceName], protocol.Server{ID: s.Member.MemberID, Address: s.Member.Address, Zone: zone, Capacity: serviceSlots})
	}
	return list
}

// follower is an edge that follows a cluster, and its client.
type follower struct {
	*testing.T
	front    string
	client   http.Client
	requests int
}

// startEdge starts an edge in a zone. It knows nothing but the seeds.
func (c *cluster) startEdge(zone string) *follower {
	c.Helper()
	f := &follower{T: c.T, front: freeAddress(c.T)}
	n, err := edge.New(&settings.Settings{
		NodeName: "edge-1", Zone: zone,
		BindAddresses:  settings.BindAddresses{Front: f.front, Readiness: freeAddress(c.T)},
		FaultTolerance: settings.FaultTolerance{MachineLosses: c.toleratedLosses},
		Bounds:         settings.Bounds{ConfigApply: configApply, Grace: time.Second},
		CloudAPI:       settings.CloudAPI{Address: freeAddress(c.T)},
	}, c.seeds, slog.New(slog.DiscardHandler))
	assert.NilError(c, err)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { n.Run(ctx) })
	c.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return f
}

// send sends one request and returns the zone of the server that answered it, "" if none did.
func (f *follower) send() string {
	f.requests++
	request, err := http.NewRequestWithContext(f.Context(), http.MethodGet, fmt.Sprintf("http://%s%sread", f.front, servicePath), nil)
	assert.NilError(f, err)
	request.Host = serviceHost
	request.Header.Set("Oakseam-Attempt-Id", fmt.Sprintf("%s-%d", f.front, f.requests))
	request.Header.Set("Oakseam-Time-Budget", "1000")
	response, err := f.client.Do(request)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	zone, _, _ := strings.Cut(response.Header.Get("Oakseam-Server-Seal"), idSuffix)
	return zone
}

// awaitServed waits until a server of a zone serves a request.
func (f *follower) awaitServed(limit time.Duration, zone string) {
	f.Helper()
	for deadline := time.Now().Add(limit); f.send() != zone; wait.For(f.Context(), pollInterval) {
		assert.Assert(f, time.Now().Before(deadline), "no request was served in %s within %v", zone, limit)
	}
}

// evacuated is the zone that these tests evacuate, with an edge in it. The zone before it has
// servers as well, the others have none.
const evacuated = "zone-b"

// startTier starts core nodes and the servers of two zones, and configures them.
func startTier(t *testing.T) *cluster {
	t.Helper()
	c := startCluster(t, toleratedLosses, startServers(t, zoneNames[0], evacuated), zoneNames...)
	newCaller(c.nodes...).replace(t, 1)
	return c
}
