package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/dataplane/dispatch"
	"oakseam/internal/tier/protocol"
)

const (
	zones           = 3
	serversPerZone  = 15
	placesPerServer = 6
	workTime        = 60 * time.Millisecond
	requestPause    = 25 * time.Millisecond
	requestsBefore  = 40  // sent before the zone is lost
	requestsAfter   = 120 // sent after
	leastServed     = requestsAfter * 9 / 10
)

// Edges of a zone whose servers had lost power refused most requests for seconds, while the servers of the
// other zones were free.
func TestLossOfOwnZonesServersIsServedByOtherZones(t *testing.T) {
	r := &testGateway{turns: &fakeTurns{finishCalls: make(chan protocol.FinishArgs, 1)}, places: requestsBefore + requestsAfter}
	servers, list := startZones(t)
	r.start(t, testConfiguration, map[string][]protocol.Server{"tools": list})
	sendOrders(t, r, "before", requestsBefore)
	for _, server := range servers[0] {
		server.CloseClientConnections()
		server.Close()
	}
	served := sendOrders(t, r, "after", requestsAfter)
	assert.Assert(t, served >= leastServed, "%d of %d served", served, requestsAfter)
}

// startZones starts servers and returns them by zone, that of the gateway first, with the list of all.
func startZones(t *testing.T) (servers [zones][]*httptest.Server, list []protocol.Server) {
	t.Helper()
	work := http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		io.Copy(io.Discard, request.Body)
		time.Sleep(workTime)
		w.Header().Set(dispatch.AttemptHeader, request.Header.Get(dispatch.AttemptHeader))
		w.Header().Set("Oakseam-Member-Load", fmt.Sprint("1,0,", placesPerServer))
	})
	for i := range zones * serversPerZone {
		server := httptest.NewServer(work)
		t.Cleanup(server.Close)
		zone := i % zones
		servers[zone] = append(servers[zone], server)
		list = append(list, protocol.Server{ID: fmt.Sprint("i-", i), Address: server.Listener.Addr().String(), Zone: [zones]string{"z", "y", "x"}[zone], Capacity: placesPerServer})
	}
	return servers, list
}

// sendOrders sends requests at an even pace and returns how many were served.
func sendOrders(t *testing.T, r *testGateway, name string, number int) (served int) {
	t.Helper()
	var count atomic.Int64
	var done sync.WaitGroup
	pace := time.NewTicker(requestPause)
	defer pace.Stop()
	for i := range number {
		<-pace.C
		request := r.request(t, t.Context(), "POST", "/orders/x", "order")
		request.Header.Set(dispatch.AttemptHeader, fmt.Sprint(name, i))
		done.Go(func() {
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return
			}
			defer response.Body.Close()
			if response.StatusCode == http.StatusOK {
				count.Add(1)
			}
		})
	}
	done.Wait()
	return int(count.Load())
}
