package dispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"oakseam/internal/core"
)

// Headers of a server's health answer.
const (
	memberIDHeader        = "Oakseam-Member-Id"
	warmupRemainingHeader = "Oakseam-Warmup-Remaining" // in milliseconds
)

const (
	// checkShare is the share of what a cold server bears in a second that this node sends to a server
	// between two health checks. So up to four nodes that send to a server together keep the limit.
	checkShare = 0.25
	// checkWindow is the time in which that many requests have to be sent for a check to be due: a server
	// that gets fewer keeps the limit anyway.
	checkWindow = time.Second
	// checkTimeout bounds a health check.
	checkTimeout = 500 * time.Millisecond
	// maxHealthBody is how much of a health answer's body is read, in bytes.
	maxHealthBody = 1 << 10
)

// serverKey identifies a server of a service.
type serverKey struct{ service, id string }

// healthChecks asks servers whether they are cold that this node sends much to: the platform's list
// tells it only later, and a server that is cold again bears only part of what it gets. It is safe for
// concurrent use.
type healthChecks struct {
	client http.Client
	found  func(key serverKey, remaining time.Duration) // called when a server says that it is cold

	mu      sync.Mutex
	servers map[serverKey]*checkedServer
}

// checkedServer counts what this node sends to a server.
type checkedServer struct {
	since    time.Time // of the first request that is counted
	sent     int       // requests since then
	checking bool      // a check is in progress
}

func newHealthChecks(found func(key serverKey, remaining time.Duration)) *healthChecks {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: connIdleTimeout, DisableCompression: true}
	return &healthChecks{client: http.Client{Transport: transport, Timeout: checkTimeout}, found: found, servers: map[serverKey]*checkedServer{}}
}

// sending counts a request to a server, and starts a check if one is due. It does not block.
func (h *healthChecks) sending(key serverKey, instance core.Instance, rule checkRule, now time.Time) {
	if rule.path == "" || !h.due(key, rule.every, now) {
		return
	}
	go func() {
		defer h.finish(key)
		if remaining := h.ask(instance, rule.path); remaining > 0 {
			h.found(key, remaining)
		}
	}()
}

// due counts a request and reports whether a check is due, which counts as in progress then.
func (h *healthChecks) due(key serverKey, every int, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	server := h.servers[key]
	if server == nil {
		server = &checkedServer{}
		h.servers[key] = server
	}
	if now.Sub(server.since) > checkWindow {
		server.since, server.sent = now, 0
	}
	server.sent++
	if server.sent < every || server.checking {
		return false
	}
	server.since, server.sent, server.checking = now, 0, true
	return true
}

func (h *healthChecks) finish(key serverKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if server := h.servers[key]; server != nil {
		server.checking = false
	}
}

// forget drops the counts of a service's servers that are no longer listed.
func (h *healthChecks) forget(service string, listed map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key := range h.servers {
		if key.service == service && !listed[key.id] {
			delete(h.servers, key)
		}
	}
}

// ask returns how much longer a server says that it stays cold, 0 if it doesn't say so. An answer of
// another server, which has the address now, says nothing.
func (h *healthChecks) ask(instance core.Instance, path string) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+instance.Endpoint+path, nil)
	if err != nil {
		return 0
	}
	response, err := h.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.CopyN(io.Discard, response.Body, maxHealthBody) // so that the connection can be used again
	remaining, err := strconv.ParseInt(response.Header.Get(warmupRemainingHeader), 10, 32)
	if err != nil || remaining <= 0 || response.Header.Get(memberIDHeader) != string(instance.ID) {
		return 0
	}
	return time.Duration(remaining) * time.Millisecond
}

// close closes the idle connections.
func (h *healthChecks) close() { h.client.CloseIdleConnections() }

// serverIsCold takes a server for cold that said so in a health answer. Nobody has a grant for it until the
// platform's list tells of it too.
func (d *Dispatcher) serverIsCold(key serverKey, remaining time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.warmups.markServerCold(key.service, key.id, remaining, time.Now()) {
		return
	}
	klog.InfoS("A server's health answer says that it is cold", "service", key.service, "server", key.id, "remaining", remaining)
	if s := d.services[key.service]; s != nil {
		d.updateBackends(s, s.allServers)
	}
}
