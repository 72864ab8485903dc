package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	tierfakes "oakseam/internal/fakes/tier"
	"oakseam/internal/tier/settings"
)

func init() { cases["keptconn"] = playKeptConnections }

// Figures of the case.
const (
	edgeCount       = 2
	connsPerEdge    = 5
	usualUsers      = 10 // one for each connection
	burstUsers      = 21 // 2.1 times as many
	usualSpan       = 1 * time.Second
	burstSpan       = 4 * time.Second
	thinkTime       = 1 * time.Millisecond // of a user, between an answer and the next request
	workTime        = 1 * time.Millisecond // of a server
	bodyBytes       = 300_000
	clientBudget    = 6 * time.Second
	keptHost        = "documents.example"
	keptPrefix      = "/receipts/"
	keptService     = "documents"
	keptServers     = 4
	keptCores       = 4   // processors that a machine shows
	deniedBase      = 5   // DENIED: more than 5
	deniedOneInMany = 500 // and one in 500 of all requests
)

// playKeptConnections: users send documents over a few kept connections, each request after the whole
// answer to the one before it. Then 2.1 times as many users come, so that a connection is taken up again
// at once.
func playKeptConnections(ctx context.Context, l *lab) (bool, error) {
	s := settingsOf{cores: keptCores, bounds: map[string]int{"drainMs": 3000, "configApplyMs": 2000, "contactMs": 3000, "ackMs": 4000}}
	edges, err := startTier(ctx, l, s, documentConfiguration(), func(zones []string) error {
		for i := range keptServers {
			if err := l.startDocumentServer(i, zones[i%len(zones)]); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	c := &documents{lab: l, requests: make(chan func(*keptConn)), body: bytes.Repeat([]byte("document "), bodyBytes/9)}
	var connections sync.WaitGroup
	for i := range edgeCount * connsPerEdge {
		edge := edges[i%edgeCount]
		connections.Go(func() { c.serveConnection(edge.Front()) })
	}
	for _, phase := range []struct {
		name  string
		users int
		span  time.Duration
	}{{"usual", usualUsers, usualSpan}, {"burst", burstUsers, burstSpan}, {"usual again", usualUsers, usualSpan}} {
		if phase.name == "burst" && !l.trouble {
			phase.users = usualUsers
		}
		l.note("%s: %d users for %s", phase.name, phase.users, phase.span)
		c.play(phase.users, phase.span)
		l.note("so far: %s", c.summary())
	}
	close(c.requests)
	connections.Wait()
	sent, denied := c.sent.Load(), c.denied.Load()
	bound := deniedBase + float64(sent)/deniedOneInMany
	l.note("%d requests, %d ended with a 4xx of the tier's own; the rule bears %.1f", sent, denied, bound)
	if sent == 0 || c.served.Load() == 0 {
		return false, errors.New("nothing was served")
	}
	return float64(denied) > bound, nil
}

// startTier starts two edge, three core and three storage machines and the servers of the case, and returns
// the edges once they are ready.
func startTier(ctx context.Context, l *lab, s settingsOf, configuration string, startServers func(zones []string) error) ([]*machine, error) {
	zones := []string{"gent-a", "gent-b", "antw-a"}
	s.losses, s.zones = 1, zones
	for i := range 3 {
		s.seeds = append(s.seeds, l.address(0, edgeCount+i+1))
	}
	var edges, cores []*machine
	for i := range edgeCount {
		edges = append(edges, l.add(fmt.Sprintf("edge-%d", i+1), settings.Edge, zones[i%len(zones)], s))
	}
	for i, zone := range zones {
		cores = append(cores, l.add(fmt.Sprintf("core-%d", i+1), settings.Control, zone, s))
	}
	for i, zone := range zones {
		l.add(fmt.Sprintf("storage-%d", i+1), settings.Storage, zone, s)
	}
	if err := startServers(zones); err != nil {
		return nil, err
	}
	for _, m := range l.machines {
		if err := l.start(m, true); err != nil {
			return nil, err
		}
	}
	if err := l.configure(ctx, cores, configuration); err != nil {
		return nil, err
	}
	return edges, awaitReady(ctx, edges)
}

func documentConfiguration() string {
	type object = map[string]any
	text, err := json.Marshal(object{
		"configRevision": 1,
		"virtualServers": []object{{"name": "receipts", "hostHeader": keptHost, "pathPrefix": keptPrefix, "trafficClass": "non_idempotent",
			"timeoutMs": 6000, "targetLatencyMs": 800, "priority": 0, "poolName": keptService, "retryLimit": 1}},
		"pools":  []object{{"name": keptService, "healthMonitor": "/health", "maxConnections": 500, "protocol": "h1", "tlsProfile": false}},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // the document has plain values only
	}
	return string(text)
}

// startDocumentServer starts a sound server: it reads the whole request, works, and answers.
func (l *lab) startDocumentServer(number int, zone string) error {
	listener, err := net.Listen("tcp", net.JoinHostPort(l.address(9, number+2), "0"))
	if err != nil {
		return err
	}
	member := tierfakes.Member{MemberID: fmt.Sprintf("i-%d", number), PoolName: keptService, Address: listener.Addr().String(), Zone: zone, Capacity: 64, MemberState: tierfakes.InService}
	var seals atomic.Int64
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return // an incomplete request does not run
		}
		h := w.Header()
		h.Set("Oakseam-Attempt-Id", r.Header.Get("Oakseam-Attempt-Id"))
		if target := r.Header.Get("Oakseam-Target-Member"); target != "" && target != member.MemberID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		time.Sleep(workTime)
		h.Set("Oakseam-Server-Seal", fmt.Sprintf("%s.%d", member.MemberID, seals.Add(1)))
		fmt.Fprintf(w, "%d bytes are kept\n", received)
	}))
	l.platform.Put(member)
	return nil
}

// configure sends the first configuration until it is taken.
func (l *lab) configure(ctx context.Context, cores []*machine, body string) error {
	for i := 0; ; i++ {
		m := cores[i%len(cores)]
		status, _ := call(ctx, http.MethodPost, "http://"+m.Control()+"/api/Configuration.Replace", body)
		l.note("%s: first configuration: status %d", m.Name, status)
		if status == http.StatusOK {
			return nil
		}
		if err := sleep(ctx, 200*time.Millisecond); err != nil {
			return err
		}
	}
}

// awaitReady waits until all edges answer the balancer's question with 200.
func awaitReady(ctx context.Context, edges []*machine) error {
	for _, m := range edges {
		for {
			if status, _ := call(ctx, http.MethodGet, "http://"+m.Readiness()+"/api/readiness", ""); status == http.StatusOK {
				break
			}
			if err := sleep(ctx, 100*time.Millisecond); err != nil {
				return err
			}
		}
	}
	return sleep(ctx, time.Second)
}

// documents is the traffic of the case.
type documents struct {
	lab      *lab
	requests chan func(*keptConn) // a user's request, for the next connection that is free
	body     []byte

	sent, served, refused, denied, failed atomic.Int64
}

// play has a number of users send requests for a time. Each sends the next one after the answer to the one
// before, and a pause.
func (d *documents) play(users int, span time.Duration) {
	until := time.Now().Add(span)
	var all sync.WaitGroup
	for range users {
		all.Go(func() {
			for time.Now().Before(until) {
				answered := make(chan struct{})
				d.requests <- func(c *keptConn) {
					defer close(answered)
					d.exchange(c)
				}
				<-answered
				time.Sleep(thinkTime)
			}
		})
	}
	all.Wait()
}

func (d *documents) summary() string {
	return fmt.Sprintf("%d sent, %d served, %d refused with 503, %d ended with a 4xx of the tier's own, %d failed otherwise",
		d.sent.Load(), d.served.Load(), d.refused.Load(), d.denied.Load(), d.failed.Load())
}

// keptConn is a client's connection to one edge. It carries one request at a time.
type keptConn struct {
	edge   string
	socket net.Conn // nil: not connected
	reader *bufio.Reader
}

// serveConnection carries users' requests, one after the other.
func (d *documents) serveConnection(edge string) {
	c := &keptConn{edge: edge}
	defer c.close()
	for request := range d.requests {
		request(c)
	}
}

func (c *keptConn) close() {
	if c.socket != nil {
		c.socket.Close()
		c.socket = nil
	}
}

// exchange sends one request and reads its whole answer.
func (d *documents) exchange(c *keptConn) {
	number := d.sent.Add(1)
	status, sealed, text, err := d.roundTrip(c, number)
	switch {
	case err != nil:
		d.failed.Add(1)
		d.lab.note("request %d: no complete answer: %v", number, err)
		c.close()
	case status == http.StatusOK && sealed:
		d.served.Add(1)
	case status == http.StatusServiceUnavailable:
		d.refused.Add(1)
	case status >= 300 && status < 500 && !sealed && status != http.StatusRequestTimeout && status != http.StatusMisdirectedRequest && status != http.StatusTooManyRequests:
		d.denied.Add(1)
		d.lab.note("request %d, a whole POST with %d bytes: answer %d, not a server's: %q", number, len(d.body), status, text)
	default:
		d.failed.Add(1)
		d.lab.note("request %d: status %d", number, status)
	}
}

func (d *documents) roundTrip(c *keptConn, number int64) (status int, sealed bool, text string, err error) {
	if c.socket == nil {
		if c.socket, err = net.Dial("tcp", c.edge); err != nil {
			return 0, false, "", err
		}
		c.reader = bufio.NewReader(c.socket)
	}
	c.socket.SetDeadline(time.Now().Add(clientBudget))
	head := fmt.Appendf(nil, "POST %s%d HTTP/1.1\r\nHost: %s\r\nOakseam-Attempt-Id: %016x\r\nOakseam-Time-Budget: %d\r\nContent-Length: %d\r\n\r\n",
		keptPrefix, number, keptHost, number, clientBudget.Milliseconds(), len(d.body))
	// A server may answer and close before it has read all: its answer is read in any case.
	_, unsent := (&net.Buffers{head, d.body}).WriteTo(c.socket)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, "", errors.Join(unsent, err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, false, "", err
	}
	if response.Close {
		c.close()
	}
	return response.StatusCode, response.Header.Get("Oakseam-Server-Seal") != "", string(bytes.TrimSpace(body)), nil
}
