package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/counters"
	"oakseam/internal/dataplane/dispatch"
	"oakseam/internal/dataplane/turnclient"
	"oakseam/internal/ingress"
	"oakseam/internal/lifecycle"
	"oakseam/internal/message"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/routing"
	"oakseam/internal/tier/rpc"
	"oakseam/internal/tier/scaletest"
)

const (
	eventsPerStream = 20
	eventInterval   = time.Millisecond
	promptBytes     = 2000
	tenantHost      = "tenant-00000.example"
	bodyBudgetBytes = 1 << 28
)

// startTime is the zero of the timestamps in events.
var startTime = time.Now()

// BenchmarkStream measures one stream of 20 events, 1 ms apart, by its path to the server:
// "direct"; through a "plain" reverse proxy of the standard library; through the "gateway" as a
// request without a program; and through the gateway as a "turn", whose storage node grants it at
// once. "first" is the time from the request to the first event. "later" is the time from writing
// an event at the server to reading it at the client. See docs/CAPACITY.md.
func BenchmarkStream(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(serveTimestamps))
	b.Cleanup(server.Close)
	target, err := url.Parse(server.URL)
	assert.NilError(b, err)
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.FlushInterval = -1
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 100}
	plain := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Without full duplex, net/http stops reading the request body at the first byte of the
		// response.
		assert.Check(b, http.NewResponseController(w).EnableFullDuplex() == nil)
		proxy.ServeHTTP(w, r)
	}))
	b.Cleanup(plain.Close)
	edge := startGateway(b, target.Host)
	for _, streams := range []int{1, 16} {
		for _, way := range []struct{ name, address, program string }{
			{"direct", target.Host, ""}, {"plain", plain.Listener.Addr().String(), ""}, {"gateway", edge, ""}, {"turn", edge, "program"},
		} {
			b.Run(fmt.Sprintf("%s/streams=%d", way.name, streams), func(b *testing.B) {
				benchmarkStream(b, way.address, way.program, streams)
			})
		}
	}
}

// serveTimestamps streams events as a model server does, with the current time in each event.
func serveTimestamps(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", dispatch.StreamType)
	w.Header().Set(dispatch.AttemptHeader, r.Header.Get(dispatch.AttemptHeader))
	control := http.NewResponseController(w)
	tick := time.NewTicker(eventInterval)
	defer tick.Stop()
	for i := range eventsPerStream {
		if i > 0 {
			<-tick.C
		}
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, time.Since(startTime).Nanoseconds())
		control.Flush()
	}
}

// grantingTurns is a storage node that grants every call.
type grantingTurns struct{}

// Admit grants a turn.
func (grantingTurns) Admit(_ *protocol.AdmitArgs, reply *protocol.AdmitReply) error {
	reply.Outcome = protocol.TurnGranted
	return nil
}

// Finish accepts a turn.
func (grantingTurns) Finish(_ *protocol.FinishArgs, reply *protocol.FinishReply) error {
	reply.Outcome = protocol.TurnGranted
	return nil
}

// startGateway starts a gateway that knows one server, and returns the gateway's address.
func startGateway(b *testing.B, server string) string {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	count := counters.New()
	budget := message.NewBudget(bodyBudgetBytes)
	dispatcher := dispatch.New(dispatch.Options{Zone: "z", MaxConns: 100, Budget: budget, Counters: count, Log: log})
	b.Cleanup(dispatcher.Close)
	g := New(Options{Dispatcher: dispatcher, Turns: startTurns(b), Budget: budget, Counters: count, MaxOpenRequests: 100})
	configuration, err := routing.Parse(scaletest.Configuration(9, 15))
	assert.NilError(b, err)
	dispatcher.Configure(configuration)
	service := scaletest.Service(0)
	servers := []protocol.Server{{ID: "s", Address: server, Zone: "z", Capacity: 100}}
	dispatcher.UpdateServers(protocol.ServicePartition(service), []protocol.ServerList{{Service: service, Version: 1, Servers: servers}})
	g.Configure(configuration)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	front := ingress.New(ingress.Options{
		Handler: g.Handle, RejectAmbiguous: func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadRequest) },
		MaxSessions: 100, WriteTimeout: time.Minute, BodyTimeout: time.Minute, Lifecycle: lifecycle.TierTiming,
	}, l, count)
	go front.Serve()
	b.Cleanup(func() { front.Close() })
	return l.Addr().String()
}

// startTurns starts one storage node and returns a client of it.
func startTurns(b *testing.B) *turnclient.Client {
	server, err := rpc.NewServer(map[string]any{"Turns": grantingTurns{}})
	assert.NilError(b, err)
	l, err := rpc.Listen("127.0.0.1:0")
	assert.NilError(b, err)
	go server.Serve(l)
	b.Cleanup(func() { server.Close() })
	pool := rpc.NewPool(rpc.Options{})
	b.Cleanup(pool.Close)
	client := turnclient.New(pool, turnclient.NewIsolation(pool, ""))
	const id = replica.NodeID(1)
	client.SetDirectory(protocol.Directory{
		Version: 1, Nodes: []protocol.Node{{ID: id, Name: "s", Class: protocol.Storage, Address: l.Addr().String()}},
		Partitions: []protocol.PartitionMembers{{Voters: []replica.NodeID{id}}},
	})
	return client
}

// eventLatencies collects the latencies of first and later events.
type eventLatencies struct {
	mu    sync.Mutex
	first []time.Duration // from the request to the first event
	later []time.Duration // from writing to reading of each later event
}

func benchmarkStream(b *testing.B, address, program string, streams int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	defer client.CloseIdleConnections()
	var all eventLatencies
	var next atomic.Int64
	before := processCPUTime()
	b.ResetTimer()
	var group sync.WaitGroup
	for range streams {
		group.Go(func() {
			for number := next.Add(1); number <= int64(b.N); number = next.Add(1) {
				if err := readStream(client, address, program, fmt.Sprintf("%s-%d-%d", b.Name(), b.N, number), &all); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
	b.StopTimer()
	used := processCPUTime() - before
	b.ReportMetric(float64(used.Nanoseconds())/1000/float64(b.N*eventsPerStream), "cpu-µs/event")
	reportPercentiles(b, all.first, "first")
	reportPercentiles(b, all.later, "later")
}

// processCPUTime returns the CPU time that this process has used.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func reportPercentiles(b *testing.B, times []time.Duration, name string) {
	slices.Sort(times)
	if len(times) == 0 {
		return
	}
	b.ReportMetric(float64(times[len(times)/2].Nanoseconds())/1000, name+"-p50-µs")
	b.ReportMetric(float64(times[len(times)*99/100].Nanoseconds())/1000, name+"-p99-µs")
}

// readStream makes one request and reads its stream.
func readStream(client *http.Client, address, program, id string, all *eventLatencies) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat", bytes.NewReader(make([]byte, promptBytes)))
	if err != nil {
		return err
	}
	request.Host = tenantHost
	request.Header.Set(dispatch.AttemptHeader, id)
	request.Header.Set(tokensHeader, "500,20")
	if program != "" {
		request.Header.Set(programHeader, program+id)
	}
	start := time.Since(startTime)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var first time.Duration
	var later []time.Duration
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		stamp, is := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !is {
			continue
		}
		now := time.Since(startTime)
		written, err := strconv.ParseInt(string(stamp), 10, 64)
		if err != nil {
			return err
		}
		if first == 0 {
			first = now - start
			continue
		}
		later = append(later, now-time.Duration(written))
	}
	if len(later) != eventsPerStream-1 {
		return fmt.Errorf("status %d, %d later events: %w", response.StatusCode, len(later), lines.Err())
	}
	all.mu.Lock()
	defer all.mu.Unlock()
	all.first = append(all.first, first)
	all.later = append(all.later, later...)
	return nil
}
