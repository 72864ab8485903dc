package fakes

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"oakseam/internal/discovery"
)

// ScriptedRegistry is a fake registry that answers each watch with lines from the test.
type ScriptedRegistry struct {
	Addr         string
	Queries      chan string          // raw query of each watch
	Watches      chan (chan<- string) // for each watch, the channel of lines to write; closing it ends the watch
	WatchesEnded atomic.Int64         // watches that the node closed
	closed       chan struct{}
	closeOnce    sync.Once
	server       *http.Server
}

// Special lines of a ScriptedRegistry. After FallSilent the watch sends nothing more. After Trickle
// it begins a list that never ends and arrives in small pieces.
const (
	FallSilent = "fall silent"
	Trickle    = "trickle"
)

// NewScriptedRegistry starts a registry on a free port of 127.0.0.1. It runs until Close.
func NewScriptedRegistry() (*ScriptedRegistry, error) { return NewScriptedRegistryAt("127.0.0.1:0") }

// NewScriptedRegistryAt starts a registry on an address. It runs until Close.
func NewScriptedRegistryAt(addr string) (*ScriptedRegistry, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &ScriptedRegistry{Addr: l.Addr().String(), Queries: make(chan string, 100), Watches: make(chan (chan<- string), 100),
		closed: make(chan struct{})}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go r.server.Serve(l)
	return r, nil
}

// Close stops the registry and ends its watches.
func (r *ScriptedRegistry) Close() {
	r.closeOnce.Do(func() { close(r.closed) })
	r.server.Close()
}

func (r *ScriptedRegistry) serve(w http.ResponseWriter, request *http.Request) {
	r.Queries <- request.URL.RawQuery
	lines := make(chan string, 10)
	r.Watches <- lines
	heartbeat := time.NewTicker(time.Second)
	defer heartbeat.Stop()
	for written := false; ; written = true {
		text := "\n"
		if written {
			select {
			case <-r.closed:
				return
			case <-request.Context().Done():
				r.WatchesEnded.Add(1)
				return
			case <-heartbeat.C:
			case line, open := <-lines:
				if !open {
					return
				}
				switch text = line; line {
				case FallSilent:
					<-request.Context().Done()
					r.WatchesEnded.Add(1)
					return
				case Trickle:
					text = `{"targets":[`
					heartbeat.Reset(50 * time.Millisecond)
				}
			}
		}
		io.WriteString(w, text)
		w.(http.Flusher).Flush()
	}
}

// Target is a backend and List a list of backends, in the registry's format.
type (
	Target = discovery.Target
	List   = discovery.List
)

// ListSource provides the lists that a Registry serves. Its methods are called from several
// goroutines.
type ListSource interface {
	// List waits for as long as the registry takes to answer, and returns the whole list. It
	// returns false if the call fails.
	List() (List, bool)
	// Next waits for a revision after rev and returns the changes since rev. It returns false if
	// the watch breaks. It returns when stop is closed.
	Next(rev int64, stop <-chan struct{}) (List, bool)
	// Delivered is called after a list was written.
	Delivered(List)
}

// heartbeatInterval is how often a watch sends an empty line while nothing changes.
const heartbeatInterval = 2 * time.Second

// Registry is a fake registry that serves one node's view of the list.
type Registry struct {
	Addr      string
	source    ListSource
	server    *http.Server
	closed    chan struct{}
	closeOnce sync.Once
}

// NewRegistry starts a registry on a free port of the host, which must be in 127.0.0.0/8. It runs
// until Close.
func NewRegistry(host string, source ListSource) (*Registry, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	r := &Registry{Addr: l.Addr().String(), source: source, closed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", r.serve)
	r.server = &http.Server{Handler: mux}
	go r.server.Serve(l)
	return r, nil
}

// Close stops the registry and ends its watches.
func (r *Registry) Close() {
	r.closeOnce.Do(func() { close(r.closed) })
	r.server.Close()
}

func (r *Registry) serve(w http.ResponseWriter, request *http.Request) {
	write := func(l List) bool {
		text, err := json.Marshal(l)
		if err == nil {
			_, err = w.Write(append(text, '\n'))
		}
		if err == nil {
			err = http.NewResponseController(w).Flush()
		}
		if err == nil {
			r.source.Delivered(l)
		}
		return err == nil
	}
	l, ok := r.source.List()
	if !ok {
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	if request.URL.Query().Get("stream") != "1" {
		write(l)
		return
	}
	if revision, err := strconv.ParseInt(request.URL.Query().Get("index"), 10, 64); err == nil && revision == l.Revision {
		io.WriteString(w, "\n")
		http.NewResponseController(w).Flush()
	} else if !write(l) {
		return
	}
	stop := make(chan struct{})
	defer close(stop)
	updates := make(chan List)
	go func() {
		defer close(updates)
		for revision := l.Revision; ; {
			next, ok := r.source.Next(revision, stop)
			if !ok {
				return
			}
			select {
			case updates <- next:
				revision = next.Revision
			case <-stop:
				return
			}
		}
	}()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case update, ok := <-updates:
			if !ok || !write(update) {
				return
			}
		case <-heartbeat.C:
			if _, err := io.WriteString(w, "\n"); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
		case <-request.Context().Done():
			return
		case <-r.closed:
			return
		}
	}
}
