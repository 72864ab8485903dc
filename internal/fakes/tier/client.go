package tier

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	audit "oakseam/internal/audit/tier"
	"oakseam/internal/wait"
)

// Headers of client requests.
const (
	programHeader  = "Program"
	sessionHeader  = "Session"
	previousHeader = "Previous"
	budgetHeader   = "Budget"
	finishHeader   = "Finish-Ms"
)

const (
	// pollInterval is how often the readiness of the edges is checked. pollTimeout bounds one check.
	pollInterval = 100 * time.Millisecond
	pollTimeout  = 300 * time.Millisecond
	// answerGrace is how much longer than its time budget a client waits for an answer.
	answerGrace = 5 * time.Second
	// maxIdleConnections bounds the idle connections to one edge.
	maxIdleConnections = 256
)

// LoadBalancer knows which edges accept clients, like the load balancer in front of a real tier.
type LoadBalancer struct {
	edges    []*Machine
	recorder *audit.Recorder

	mu    sync.Mutex
	ready []*Machine
}

// NewLoadBalancer returns a LoadBalancer for the machines, which records when their readiness changes.
// It knows no ready edge before Watch runs.
func NewLoadBalancer(machines []*Machine, recorder *audit.Recorder) *LoadBalancer {
	return &LoadBalancer{edges: machines, recorder: recorder}
}

// Watch checks the readiness of the edges periodically until ctx ends.
func (b *LoadBalancer) Watch(ctx context.Context) {
	client := &http.Client{Timeout: pollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		b.poll(ctx, client)
		if !wait.For(ctx, pollInterval) {
			return
		}
	}
}

func (b *LoadBalancer) poll(ctx context.Context, client *http.Client) {
	readyEdges := make([]bool, len(b.edges))
	var done sync.WaitGroup
	for i, m := range b.edges {
		done.Go(func() { readyEdges[i] = EdgeReady(ctx, client, m.Readiness()) })
	}
	done.Wait()
	var ready []*Machine
	for i, ok := range readyEdges {
		if ok {
			ready = append(ready, b.edges[i])
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.edges {
		if now := slices.Contains(ready, m); now != slices.Contains(b.ready, m) {
			b.recorder.RecordReadiness(m.Name, now)
		}
	}
	b.ready = ready
}

// ReadyCount returns how many edges accept clients.
func (b *LoadBalancer) ReadyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}

// pick returns a random ready edge, or any edge if none is ready.
func (b *LoadBalancer) pick() *Machine {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return b.edges[rand.IntN(len(b.edges))]
	}
	return b.ready[rand.IntN(len(b.ready))]
}

// Client sends requests and records them. All agents share it and its connections.
type Client struct {
	Balancer *LoadBalancer
	Recorder *audit.Recorder
	client   http.Client
}

// NewClient returns a Client that sends to the balancer's edges.
func NewClient(balancer *LoadBalancer, recorder *audit.Recorder) *Client {
	return &Client{Balancer: balancer, Recorder: recorder, client: http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}}}
}

// Call is a request to send and how to send it.
type Call struct {
	audit.Request
	Method          string
	TimeBudget      time.Duration
	Session         string
	ProgramTimeLeft time.Duration
}

// Send makes one attempt, records it, and returns it with how long to wait before the next attempt.
func (c *Client) Send(call Call) (*audit.Request, time.Duration) {
	q := call.Request
	q.Sent = c.Recorder.Now()
	ctx, cancel := context.WithTimeout(context.Background(), call.TimeBudget+answerGrace)
	defer cancel()
	retryAfter := c.roundTrip(ctx, &call, &q)
	q.Answer.At = c.Recorder.Now()
	c.Recorder.RecordRequest(q)
	return &q, retryAfter
}

func (c *Client) roundTrip(ctx context.Context, call *Call, q *audit.Request) time.Duration {
	edge := c.Balancer.pick()
	q.Edge = edge.Name
	r, err := http.NewRequestWithContext(ctx, call.Method, "http://"+edge.Front()+q.Path, strings.NewReader(q.Input))
	if err != nil {
		return 0
	}
	r.Host = q.Host
	call.setHeaders(r.Header)
	response, err := c.client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	a := &q.Answer
	a.First = c.Recorder.Now()
	a.Status, a.Seal = response.StatusCode, response.Header.Get(sealHeader)
	if strings.HasPrefix(response.Header.Get("Content-Type"), streamType) {
		a.Events, err = readEvents(response.Body)
	} else {
		var body []byte
		body, err = io.ReadAll(response.Body)
		a.Body = string(body)
	}
	a.Whole = err == nil
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // no header: retry at once
	return time.Duration(seconds * float64(time.Second))
}

func (call *Call) setHeaders(h http.Header) {
	h.Set(attemptHeader, call.Attempt)
	h.Set(timeBudgetHeader, strconv.FormatInt(call.TimeBudget.Milliseconds(), 10))
	if call.Session != "" {
		h.Set(sessionHeader, call.Session)
	}
	if call.Kind != audit.Turn {
		return
	}
	h.Set(programHeader, call.Program)
	h.Set(budgetHeader, strconv.FormatUint(call.Budget, 10))
	h.Set(finishHeader, strconv.FormatInt(call.ProgramTimeLeft.Milliseconds(), 10))
	h.Set(tokenCountHeader, strconv.Itoa(len(call.Input))+","+strconv.FormatUint(call.Most, 10))
	if call.Previous != "" {
		h.Set(previousHeader, call.Previous)
	}
}

// readEvents reads a stream to its end. If the stream breaks, it returns the events before the break
// as well.
func readEvents(from io.Reader) (events []audit.Event, err error) {
	var e audit.Event
	in := bufio.NewReader(from)
	for {
		line, err := in.ReadString('\n')
		if err == io.EOF && line == "" {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		line = strings.TrimSuffix(line, "\n")
		name, value, _ := strings.Cut(line, ": ")
		switch {
		case line == "":
			events = append(events, e)
			e = audit.Event{}
		case name == "id":
			e.ID = value
		case name == "data":
			e.Data = value
		}
	}
}
