package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pipitmux/internal/discovery"
)

// ScriptedRegistry answers watches by lines that a test writes.
type ScriptedRegistry struct {
	Addr         string
	Queries      chan string          // the query of each watch
	Watches      chan (chan<- string) // the open watch: lines to write; closing it ends the watch
	WatchesEnded atomic.Int64         // watches that the node has ended
	over         chan struct{}
	once         sync.Once
	server       *http.Server
}

// Lines after which a scripted watch says nothing any more, and begins a list that comes
// byte by byte and has no end.
const (
	FallSilent = "fall silent"
	Trickle    = "trickle"
)

// NewScriptedRegistry runs one on a free port of 127.0.0.1 until Close.
func NewScriptedRegistry() (*ScriptedRegistry, error) { return NewScriptedRegistryAt("127.0.0.1:0") }

// NewScriptedRegistryAt runs one at an address until Close.
func NewScriptedRegistryAt(addr string) (*ScriptedRegistry, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &ScriptedRegistry{Addr: l.Addr().String(), Queries: make(chan string, 100), Watches: make(chan (chan<- string), 100),
		over: make(chan struct{})}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go r.server.Serve(l)
	return r, nil
}

// Close ends it and its watches.
func (r *ScriptedRegistry) Close() {
	r.once.Do(func() { close(r.over) })
	r.server.Close()
}

func (r *ScriptedRegistry) serve(w http.ResponseWriter, request *http.Request) {
	r.Queries <- request.URL.RawQuery
	lines := make(chan string, 10)
	r.Watches <- lines
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	for said := false; ; said = true {
		text := "\n"
		if said {
			select {
			case <-r.over:
				return
			case <-request.Context().Done():
				r.WatchesEnded.Add(1)
				return
			case <-beat.C:
			case l, open := <-lines:
				if !open {
					return
				}
				switch text = l; l {
				case FallSilent:
					<-request.Context().Done()
					r.WatchesEnded.Add(1)
					return
				case Trickle:
					text = `{"targets":[`
					beat.Reset(50 * time.Millisecond)
				}
			}
		}
		io.WriteString(w, text)
		w.(http.Flusher).Flush()
	}
}

// Target is a backend, and List a list of them, in the registry's form.
type (
	Target = discovery.Target
	List   = discovery.List
)

// ListSource is where a Registry has its lists from. It is asked from several
// goroutines.
type ListSource interface {
	// List waits for the service's turn and returns the whole list, or false
	// where the call fails.
	List() (List, bool)
	// Next waits for news after a version and returns what changed since; false
	// where the watch breaks. It returns when stop is closed.
	Next(rev int64, stop <-chan struct{}) (List, bool)
	// Delivered is called when a list has been written.
	Delivered(List)
}

// heartbeat is how often a watch without news says so.
const heartbeat = 2 * time.Second

// Registry serves one node's view of the list.
type Registry struct {
	Addr   string
	lists  ListSource
	server *http.Server
	over   chan struct{}
	once   sync.Once
}

// NewRegistry serves on a free port of the host, of 127.0.0.0/8, until Close.
func NewRegistry(host string, lists ListSource) (*Registry, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	r := &Registry{Addr: l.Addr().String(), lists: lists, over: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", r.serve)
	r.server = &http.Server{Handler: mux}
	go r.server.Serve(l)
	return r, nil
}

// Close ends it and its watches.
func (r *Registry) Close() {
	r.once.Do(func() { close(r.over) })
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
			r.lists.Delivered(l)
		}
		return err == nil
	}
	l, ok := r.lists.List()
	if !ok {
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	if request.URL.Query().Get("stream") != "1" {
		write(l)
		return
	}
	if at, err := strconv.ParseInt(request.URL.Query().Get("index"), 10, 64); err == nil && at == l.Revision {
		io.WriteString(w, "\n")
		http.NewResponseController(w).Flush()
	} else if !write(l) {
		return
	}
	stop := make(chan struct{})
	defer close(stop)
	news := make(chan List)
	go func() {
		defer close(news)
		for at := l.Revision; ; {
			next, ok := r.lists.Next(at, stop)
			if !ok {
				return
			}
			select {
			case news <- next:
				at = next.Revision
			case <-stop:
				return
			}
		}
	}()
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for {
		select {
		case n, ok := <-news:
			if !ok || !write(n) {
				return
			}
		case <-beat.C:
			if _, err := io.WriteString(w, "\n"); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
		case <-request.Context().Done():
			return
		case <-r.over:
			return
		}
	}
}
