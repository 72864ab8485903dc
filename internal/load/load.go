// Package load is an open-loop load generator for an HTTP/1.1 address on loopback.
// It measures each request's latency from the time at which the request was due, not
// from when it was sent. A server that stalls is thus charged for the requests that
// were due meanwhile; measuring from the time of sending would hide them (Tene's
// "coordinated omission"). The package looks only at times and status codes.
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oakseam/internal/arrivals"
	"oakseam/internal/latency"
)

// Class describes one class of requests.
type Class struct {
	Name               string        `yaml:"name"`
	Share              float64       `yaml:"share"`
	Method             string        `yaml:"method"`
	Path               string        `yaml:"path"`
	BodyBytes          int           `yaml:"body_bytes"`
	SendIdempotencyKey bool          `yaml:"key"` // send an Idempotency-Key
	Deadline           time.Duration `yaml:"deadline"`
}

// Plan says which requests to send, where and when.
type Plan struct {
	Target      string        `yaml:"target"` // host:port on loopback
	Seconds     float64       `yaml:"seconds"`
	Seed        uint64        `yaml:"seed"`
	PerSecond   float64       `yaml:"per_second"`
	Shape       string        `yaml:"shape"`
	Swing       float64       `yaml:"swing"`
	Period      time.Duration `yaml:"period"`
	Even        bool          `yaml:"even"`
	Connections int           `yaml:"connections"` // upper limit; the time that a request waits for a free one counts in its latency
	Classes     []Class       `yaml:"classes"`
}

// Default returns the default plan, which has no target.
func Default() Plan {
	return Plan{Seconds: 10, Seed: 1, PerSecond: 100, Shape: "steady", Period: 10 * time.Second, Connections: 256,
		Classes: []Class{{Name: "get", Share: 1, Method: http.MethodGet, Path: "/", Deadline: 5 * time.Second}}}
}

// Check returns the key of the first invalid value and the reason, or a nil error.
func (p *Plan) Check() (key string, err error) {
	host, _, err := net.SplitHostPort(p.Target)
	if err != nil {
		return "target", fmt.Errorf("%q is not host:port", p.Target)
	}
	if ip, err := netip.ParseAddr(host); host != "localhost" && (err != nil || !ip.IsLoopback()) {
		return "target", fmt.Errorf("%q is not a loopback address; no other target is allowed", p.Target)
	}
	s := p.schedule()
	if err := s.Check(); err != nil {
		return "per_second", err
	}
	if !(p.Seconds > 0 && p.Seconds <= 86400) {
		return "seconds", errors.New("must be above 0 and at most 86400")
	}
	if p.Connections < 1 || p.Connections > 60000 {
		return "connections", errors.New("must be from 1 to 60000")
	}
	if len(p.Classes) == 0 {
		return "classes", errors.New("at least one class is required")
	}
	for i := range p.Classes {
		c := &p.Classes[i]
		prefix := fmt.Sprintf("classes.%d.", i)
		switch {
		case c.Name == "":
			return prefix + "name", errors.New("is missing")
		case !(c.Share > 0):
			return prefix + "share", errors.New("must be above 0")
		case c.Method == "" || strings.ContainsAny(c.Method, " \r\n"):
			return prefix + "method", errors.New("is not a valid method")
		case !strings.HasPrefix(c.Path, "/"):
			return prefix + "path", errors.New("must begin with /")
		case c.BodyBytes < 0 || c.BodyBytes > 64<<10:
			return prefix + "body_bytes", errors.New("must be from 0 to 65536")
		case c.Deadline <= 0 || c.Deadline > time.Hour:
			return prefix + "deadline", errors.New("must be above 0 and at most 1h")
		}
	}
	return "", nil
}

func (p *Plan) schedule() arrivals.Schedule {
	return arrivals.Schedule{PerSecond: p.PerSecond, Shape: p.Shape, Amplitude: p.Swing, Period: p.Period, Phase: -1, EvenlySpaced: p.Even}
}

// ClassReport holds the results of one class.
type ClassReport struct {
	Sent      int               `json:"sent"`
	Status    map[string]int    `json:"status"`             // counts by status code; "timeout" or "error" if there was no response
	LatencyMS latency.Quantiles `json:"latency_ms"`         // of all requests, from the time each was due
	ServedMS  latency.Quantiles `json:"served_latency_ms"`  // of the requests answered with status 200, from the time each was due
	ServiceMS latency.Quantiles `json:"service_latency_ms"` // of all requests, from the time each was sent, as a closed-loop generator measures it
}

// Report holds the results of a run.
type Report struct {
	Target    string                 `json:"target"`
	Seconds   float64                `json:"seconds"`
	Due       int                    `json:"due"`
	PerSecond float64                `json:"answered_per_second"`
	Classes   map[string]ClassReport `json:"classes"`
	LateMS    latency.Quantiles      `json:"late_ms"` // how late the generator itself sent requests; large values make the other figures unreliable
}

// Progress is the state of a run that is in progress.
type Progress struct {
	Elapsed  time.Duration
	Total    time.Duration
	Due      int
	Done     int
	InFlight int
	Failed   int     // requests without a response with status 200
	LastP50  float64 // milliseconds, since the previous call
	LastP99  float64 // likewise
}

// tally adds up the results of a run.
type tally struct {
	mu      sync.Mutex
	due     int
	done    int
	failed  int
	classes []*classTally
	late    *hdrhistogram.Histogram
	recent  *hdrhistogram.Histogram
}

// classTally adds up the results of one class.
type classTally struct {
	sent    int
	status  map[string]int
	all     *hdrhistogram.Histogram
	served  *hdrhistogram.Histogram
	service *hdrhistogram.Histogram
}

// maxLatencyUS is the largest latency that the histograms hold, in microseconds. It is also the
// largest deadline of a class.
const maxLatencyUS = int64(time.Hour / time.Microsecond)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyUS, 3) }

// Run executes a plan that has passed Check. It calls onProgress once a second. If ctx ends the run
// early, the report covers the requests sent until then.
func Run(ctx context.Context, p Plan, onProgress func(Progress)) *Report {
	t := &tally{late: newHistogram(), recent: newHistogram()}
	var cumulative []float64 // sums of the shares up to each class
	sum := 0.0
	for _, c := range p.Classes {
		sum += c.Share
		cumulative = append(cumulative, sum)
		t.classes = append(t.classes, &classTally{status: map[string]int{}, all: newHistogram(), served: newHistogram(), service: newHistogram()})
	}
	transport := &http.Transport{MaxConnsPerHost: p.Connections, MaxIdleConnsPerHost: p.Connections, DisableCompression: true,
		IdleConnTimeout: 1500 * time.Millisecond}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	rng := rand.New(rand.NewPCG(p.Seed, 11))
	source := arrivals.New(p.schedule(), rand.New(rand.NewPCG(p.Seed, 12)))
	var inFlight sync.WaitGroup
	total := time.Duration(p.Seconds * float64(time.Second))
	began := time.Now()
	stop := make(chan struct{})
	progressDone := make(chan struct{})
	go func() {
		defer close(progressDone)
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				onProgress(t.progress(time.Since(began), total))
			}
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 0; ; n++ {
		due := source.Next()
		if due >= total {
			break
		}
		if wait := due - time.Since(began); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		class := arrivals.WeightedIndex(cumulative, rng)
		id := fmt.Sprintf("load-%x-%d", p.Seed, n)
		inFlight.Go(func() { t.send(ctx, client, &p, class, id, began.Add(due)) })
	}
	inFlight.Wait()
	close(stop)
	<-progressDone
	took := time.Since(began)
	r := &Report{Target: p.Target, Seconds: took.Seconds(), Due: t.due, Classes: map[string]ClassReport{}, LateMS: latency.FromHistogram(t.late)}
	for i, c := range t.classes {
		r.Classes[p.Classes[i].Name] = ClassReport{c.sent, c.status, latency.FromHistogram(c.all), latency.FromHistogram(c.served), latency.FromHistogram(c.service)}
	}
	r.PerSecond = float64(t.done) / max(took.Seconds(), 1e-9)
	return r
}

// progress returns the state of the run, and starts new quantiles for the next call.
func (t *tally) progress(elapsed, total time.Duration) Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := Progress{Elapsed: elapsed, Total: total, Due: t.due, Done: t.done, InFlight: t.due - t.done, Failed: t.failed,
		LastP50: float64(t.recent.ValueAtQuantile(50)) / 1000, LastP99: float64(t.recent.ValueAtQuantile(99)) / 1000}
	t.recent.Reset()
	return state
}

// send sends one request and records its result.
func (t *tally) send(ctx context.Context, client *http.Client, p *Plan, class int, id string, due time.Time) {
	c := &p.Classes[class]
	sentAt := time.Now()
	t.mu.Lock()
	t.due++
	t.classes[class].sent++
	t.late.RecordValue(max(sentAt.Sub(due).Microseconds(), 1))
	t.mu.Unlock()

	ctx, cancel := context.WithDeadline(ctx, due.Add(c.Deadline))
	defer cancel()
	status, ok := "error", false
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+p.Target+c.Path, strings.NewReader(strings.Repeat("x", c.BodyBytes)))
	if err == nil {
		r.Header.Set("X-Correlation-Id", id)
		r.Header.Set("X-Service-Class", c.Name)
		r.Header.Set("X-Time-Left", fmt.Sprintf("%du", max(time.Until(due.Add(c.Deadline)).Microseconds(), 1)))
		if c.SendIdempotencyKey {
			r.Header.Set("Idempotency-Key", id)
		}
		var res *http.Response
		if res, err = client.Do(r); err == nil {
			_, err = io.Copy(io.Discard, res.Body)
			res.Body.Close()
			status, ok = fmt.Sprint(res.StatusCode), res.StatusCode == http.StatusOK
		}
	}
	switch {
	case err == nil:
	case errors.Is(err, context.DeadlineExceeded):
		status, ok = "timeout", false
	default:
		status, ok = "error", false
	}
	now := time.Now()
	took := min(max(now.Sub(due).Microseconds(), 1), maxLatencyUS)
	t.mu.Lock()
	defer t.mu.Unlock()
	results := t.classes[class]
	results.status[status]++
	t.done++
	results.all.RecordValue(took)
	results.service.RecordValue(min(max(now.Sub(sentAt).Microseconds(), 1), maxLatencyUS))
	t.recent.RecordValue(took)
	if ok {
		results.served.RecordValue(took)
	} else {
		t.failed++
	}
}
