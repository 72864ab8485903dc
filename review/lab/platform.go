package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Member is a server as the platform lists it.
type Member struct {
	MemberID     string  `json:"memberId"`
	PoolName     string  `json:"poolName"`
	Address      string  `json:"address"`
	Zone         string  `json:"zone"`
	Revision     string  `json:"configRevision"`
	Capacity     int     `json:"capacity"`
	MemberState  string  `json:"memberState"`
	WarmupLeftMs float64 `json:"warmupLeftMs"`
}

// Platform lists the servers, all on one page.
type Platform struct {
	server *http.Server

	mu      sync.Mutex
	members []Member
}

// NewPlatform serves the list at an address until Close.
func NewPlatform(address string) (*Platform, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Platform{}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve)}
	go p.server.Serve(l)
	return p, nil
}

// Add lists one more server.
func (p *Platform) Add(m Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = append(p.members, m)
}

// Close ends the platform.
func (p *Platform) Close() { p.server.Close() }

func (p *Platform) serve(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"members": p.members, "nextToken": nil})
}

// Serve starts a server of a service and lists it. The handler need not care for requests that are for
// another server, nor for the health check.
func (t *Tier) Serve(p *Platform, number int, service string, capacity int, handler http.HandlerFunc) error {
	open := func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	if t.SmallBuffers {
		open = listenSmall
	}
	l, err := open(t.ServerIP(number) + ":0")
	if err != nil {
		return err
	}
	id := fmt.Sprintf("i-%s-%d", service, number)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("Oakseam-Attempt-Id", r.Header.Get("Oakseam-Attempt-Id"))
		h.Set("Oakseam-Member-Id", id)
		if target := r.Header.Get("Oakseam-Target-Member"); target != "" && target != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == "/health" {
			return
		}
		h.Set("Oakseam-Server-Seal", id+"."+r.Header.Get("Oakseam-Attempt-Id"))
		handler(w, r)
	}))
	p.Add(Member{MemberID: id, PoolName: service, Address: l.Addr().String(), Zone: zones[number%len(zones)], Revision: "v1", Capacity: capacity, MemberState: "in_service"})
	return nil
}

// Begin starts all processes, sends the first configuration and waits until the edges are ready.
func (t *Tier) Begin(configuration string) error {
	if err := t.RunAll(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	if err := t.Replace(ctx, 0, configuration); err != nil {
		return err
	}
	return t.AwaitReady(ctx)
}

// Case opens record.txt in the present folder and prepares a tier of 2 edge, 3 core and 3 storage machines
// with a platform. The folder is that of the case, two levels below the repository's root.
func Case() (*Tier, *Platform, error) {
	record, err := os.Create("record.txt")
	if err != nil {
		return nil, nil, err
	}
	folder, err := os.Getwd()
	if err != nil {
		return nil, nil, err
	}
	t, err := New(filepath.Dir(filepath.Dir(folder)), record, 2, 3, 3)
	if err != nil {
		return nil, nil, err
	}
	p, err := NewPlatform(t.PlatformAddress())
	return t, p, err
}

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// listenSmall listens with small buffers, as the links of the deployment have ("small windows: a peer that does not
// read holds the writer up").
func listenSmall(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		failed := raw.Control(func(descriptor uintptr) {
			err = errors.Join(syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 32<<10),
				syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460))
		})
		return errors.Join(failed, err)
	}}
	return config.Listen(context.Background(), "tcp", address)
}
