package tier

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	audit "pipitmux/internal/audit/tier"
	"pipitmux/internal/wait"
)

// Headers of clients' requests.
const (
	programHeader  = "Program"
	sessionHeader  = "Session"
	previousHeader = "Previous"
	budgetHeader   = "Budget"
	finishHeader   = "Finish-Ms"
)

const (
	// lookEvery is how often the edges are asked whether they take clients, and lookWithin
	// how long the answer may take.
	lookEvery  = 100 * time.Millisecond
	lookWithin = 300 * time.Millisecond
	// beyond is how much longer than its time budget a client waits for an answer.
	beyond = 5 * time.Second
	// connections are those that may rest to one edge.
	connections = 256
)

// Edges knows which edges take clients, as a balancer before them does.
type Edges struct {
	readiness, fronts []string

	mu    sync.Mutex
	ready []string // fronts
}

// NewEdges returns one that has yet to Watch the machines.
func NewEdges(machines []*Machine) *Edges {
	e := &Edges{}
	for _, m := range machines {
		e.readiness, e.fronts = append(e.readiness, m.Readiness()), append(e.fronts, m.Front())
	}
	return e
}

// Watch asks the edges again and again until ctx ends.
func (e *Edges) Watch(ctx context.Context) {
	client := &http.Client{Timeout: lookWithin, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		e.look(ctx, client)
		if !wait.For(ctx, lookEvery) {
			return
		}
	}
}

func (e *Edges) look(ctx context.Context, client *http.Client) {
	answers := make([]bool, len(e.fronts))
	var done sync.WaitGroup
	for i, address := range e.readiness {
		done.Go(func() { answers[i] = Ready(ctx, client, address) })
	}
	done.Wait()
	var ready []string
	for i, ok := range answers {
		if ok {
			ready = append(ready, e.fronts[i])
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ready = ready
}

// Ready is how many take clients.
func (e *Edges) Ready() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.ready)
}

// pick returns one that takes clients, or any where none does.
func (e *Edges) pick() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.ready) == 0 {
		return e.fronts[rand.IntN(len(e.fronts))]
	}
	return e.ready[rand.IntN(len(e.ready))]
}

// Clients send requests. They share their connections.
type Clients struct {
	Edges  *Edges
	Record *audit.Recorder
	client http.Client
}

// NewClients returns some.
func NewClients(e *Edges, record *audit.Recorder) *Clients {
	return &Clients{Edges: e, Record: record, client: http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}}}
}

// Call is a request before it is sent, and how it is to be sent.
type Call struct {
	audit.Request
	Method  string
	Within  time.Duration
	Session string
	Finish  time.Duration // that the program has left
}

// Send makes one try, records it, and returns it with how long to wait before another.
func (c *Clients) Send(call Call) (*audit.Request, time.Duration) {
	q := call.Request
	q.Sent = c.Record.Now()
	ctx, cancel := context.WithTimeout(context.Background(), call.Within+beyond)
	defer cancel()
	wait := c.exchange(ctx, &call, &q)
	q.Answer.At = c.Record.Now()
	c.Record.Requested(q)
	return &q, wait
}

func (c *Clients) exchange(ctx context.Context, call *Call, q *audit.Request) time.Duration {
	r, err := http.NewRequestWithContext(ctx, call.Method, "http://"+c.Edges.pick()+q.Path, strings.NewReader(q.Input))
	if err != nil {
		return 0
	}
	r.Host = q.Host
	call.head(r.Header)
	response, err := c.client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	a := &q.Answer
	a.First = c.Record.Now()
	a.Status, a.Seal = response.StatusCode, response.Header.Get(sealHeader)
	if strings.HasPrefix(response.Header.Get("Content-Type"), streamType) {
		a.Events, err = readEvents(response.Body)
	} else {
		var body []byte
		body, err = io.ReadAll(response.Body)
		a.Body = string(body)
	}
	a.Whole = err == nil
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // none: at once
	return time.Duration(seconds * float64(time.Second))
}

func (call *Call) head(h http.Header) {
	h.Set(attemptHeader, call.Attempt)
	h.Set(timeBudgetHeader, strconv.FormatInt(call.Within.Milliseconds(), 10))
	if call.Session != "" {
		h.Set(sessionHeader, call.Session)
	}
	if call.Kind != audit.Turn {
		return
	}
	h.Set(programHeader, call.Program)
	h.Set(budgetHeader, strconv.FormatUint(call.Budget, 10))
	h.Set(finishHeader, strconv.FormatInt(call.Finish.Milliseconds(), 10))
	h.Set(tokenCountHeader, strconv.Itoa(len(call.Input))+","+strconv.FormatUint(call.Most, 10))
	if call.Previous != "" {
		h.Set(previousHeader, call.Previous)
	}
}

// readEvents reads a stream to its end. What came before it broke is returned too.
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
