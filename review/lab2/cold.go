package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	tierfakes "oakseam/internal/fakes/tier"
)

func init() { cases["cold"] = playColdAgain }

// Figures of the case. The cold times are those of telwerk-be-apart.
const (
	coldPerS     = 17
	coldOverrun  = 1.5
	coldSlack    = 5
	coldSpan     = 3 * time.Second
	coldBound    = coldPerS*coldOverrun + coldSlack
	coldRate     = 240 // requests a second of all clients together
	coldServers  = 3
	coldWork     = 5 * time.Millisecond
	coldBudget   = 3 * time.Second
	coldPrefix   = "/receipts/"
	coldAfter    = 4 * time.Second // of usual traffic, one of the servers becomes cold
	coldTraffic  = 9 * time.Second
	fallOverRate = 2 * coldBound // in one second: well above what a cold server can handle
)

// coldServer is a server that may become cold.
type coldServer struct {
	lab    *lab
	member tierfakes.Member

	mu        sync.Mutex
	coldUntil time.Time
	arrivals  []time.Time // while it was cold
	fallen    bool
	open      map[net.Conn]bool
	seals     int
}

// playColdAgain: one of three servers becomes cold during steady traffic, and tells it.
func playColdAgain(ctx context.Context, l *lab) (bool, error) {
	var servers []*coldServer
	s := settingsOf{bounds: apartBounds, warmup: true}
	edges, err := startTier(ctx, l, s, coldConfiguration(), func(zones []string) error {
		for i := range coldServers {
			s, err := l.startColdServer(i, zones[i%len(zones)])
			if err != nil {
				return err
			}
			servers = append(servers, s)
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	var answers coldAnswers
	var all sync.WaitGroup
	tick := time.NewTicker(time.Second / coldRate)
	defer tick.Stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}, Timeout: coldBudget}
	first, cold := time.Now(), !l.trouble
	for number := 0; time.Since(first) < coldTraffic; number++ {
		<-tick.C
		if !cold && time.Since(first) >= coldAfter {
			cold = true
			servers[1].becomeCold(l.platform)
		}
		edge := edges[number%len(edges)]
		all.Go(func() { answers.record(l, number, sendReceipt(client, edge.Front(), number)) })
	}
	all.Wait()
	l.note("answers: %s", answers.summary())
	if answers.served.Load() == 0 {
		return false, errors.New("nothing was served")
	}
	most := servers[1].mostInASecond()
	l.note("%s got %d requests in one second while it was cold; the rule bears %.1f", servers[1].member.MemberID, most, coldBound)
	return float64(most) > coldBound, nil
}

func coldConfiguration() string {
	type object = map[string]any
	text, err := json.Marshal(object{
		"configRevision": 1,
		"virtualServers": []object{{"name": "receipts", "hostHeader": keptHost, "pathPrefix": coldPrefix, "trafficClass": "non_idempotent",
			"timeoutMs": 6000, "targetLatencyMs": 800, "priority": 0, "poolName": keptService, "retryLimit": 2}},
		"pools": []object{{"name": keptService, "healthMonitor": "/health", "maxConnections": 440, "protocol": "h1", "tlsProfile": false,
			"warmupS": coldSpan.Seconds(), "warmupPerS": coldPerS}},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // the document has plain values only
	}
	return string(text)
}

func (l *lab) startColdServer(number int, zone string) (*coldServer, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(l.address(9, number+2), "0"))
	if err != nil {
		return nil, err
	}
	s := &coldServer{lab: l, open: map[net.Conn]bool{}, member: tierfakes.Member{
		MemberID: fmt.Sprintf("i-%d", number), PoolName: keptService, Address: listener.Addr().String(), Zone: zone, Capacity: 6, MemberState: tierfakes.InService}}
	server := &http.Server{Handler: s, ConnState: s.trackConnection}
	go server.Serve(listener)
	l.platform.Put(s.member)
	return s, nil
}

// trackConnection knows the open connections, so that they can be reset.
func (s *coldServer) trackConnection(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed {
		delete(s.open, c)
		return
	}
	s.open[c] = true
	if s.fallen {
		c.Close()
	}
}

// becomeCold makes the server cold from now on. Its health answers tell it at once, the platform's list
// after its lag.
func (s *coldServer) becomeCold(platform *tierfakes.Platform) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(coldSpan)
	platform.PutCold(s.member.MemberID, s.coldUntil)
	s.lab.note("%s becomes cold for %s", s.member.MemberID, coldSpan)
}

// ServeHTTP answers a health check or a request.
func (s *coldServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		s.mu.Lock()
		left := time.Until(s.coldUntil)
		s.mu.Unlock()
		w.Header().Set("Oakseam-Member-Id", s.member.MemberID)
		w.Header().Set("Oakseam-Warmup-Remaining", fmt.Sprint(max(left, 0).Milliseconds()))
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // an incomplete request does not run
	}
	h := w.Header()
	h.Set("Oakseam-Attempt-Id", r.Header.Get("Oakseam-Attempt-Id"))
	if target := r.Header.Get("Oakseam-Target-Member"); target != "" && target != s.member.MemberID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	seal := s.begin()
	time.Sleep(coldWork)
	h.Set("Oakseam-Server-Seal", seal)
	fmt.Fprintln(w, "the receipt is kept")
}

// begin counts a request. A cold server that gets far too many falls over: it loses its connections.
func (s *coldServer) begin() (seal string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seals++
	seal = fmt.Sprintf("%s.%d", s.member.MemberID, s.seals)
	now := time.Now()
	if !now.Before(s.coldUntil) {
		return seal
	}
	s.arrivals = append(s.arrivals, now)
	if s.inSecondBefore(now) > fallOverRate && !s.fallen {
		s.fallen = true
		s.lab.note("%s falls over with %d requests in a second; %d connections are lost", s.member.MemberID, s.inSecondBefore(now), len(s.open))
		for c := range s.open {
			c.Close()
		}
	}
	return seal
}

// inSecondBefore returns how many requests arrived in the second up to a time. s.mu is held.
func (s *coldServer) inSecondBefore(now time.Time) int {
	n := 0
	for _, at := range s.arrivals {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	return n
}

// mostInASecond returns the most requests that arrived in any second while the server was cold.
func (s *coldServer) mostInASecond() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, first := 0, 0
	for i, at := range s.arrivals {
		for at.Sub(s.arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// coldAnswers counts what clients got.
type coldAnswers struct {
	served, refused, failed atomic.Int64
}

func (a *coldAnswers) record(l *lab, number, status int) {
	switch status {
	case http.StatusOK:
		a.served.Add(1)
	case http.StatusServiceUnavailable:
		a.refused.Add(1)
	default:
		a.failed.Add(1)
		l.note("request %d: status %d (0: no complete answer)", number, status)
	}
}

func (a *coldAnswers) summary() string {
	return fmt.Sprintf("%d served, %d refused with 503, %d ended otherwise", a.served.Load(), a.refused.Load(), a.failed.Load())
}

// sendReceipt sends one request and returns the status of its whole answer, 0 if there is none.
func sendReceipt(client *http.Client, edge string, number int) int {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s%d", edge, coldPrefix, number), strings.NewReader("a receipt"))
	if err != nil {
		return 0
	}
	request.Host = keptHost
	request.Header.Set("Oakseam-Attempt-Id", fmt.Sprintf("%016x", number+1))
	request.Header.Set("Oakseam-Time-Budget", fmt.Sprint(coldBudget.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
