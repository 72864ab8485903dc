// Package load drives an HTTP/1.1 address on loopback with an open schedule.
// Each request's time counts from the instant at which it was due, not from when the
// tool got to it: a server that stalls is charged with what would have come
// meanwhile (Tene's "coordinated omission"). It judges nothing but times and
// status codes.
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

	"pipitmux/internal/arrivals"
	"pipitmux/internal/latency"
)

// Class is a class of requests.
type Class struct {
	Name               string        `yaml:"name"`
	Share              float64       `yaml:"share"`
	Method             string        `yaml:"method"`
	Path               string        `yaml:"path"`
	BodyBytes          int           `yaml:"body_bytes"`
	SendIdempotencyKey bool          `yaml:"key"` // with an Idempotency-Key
	Deadline           time.Duration `yaml:"deadline"`
}

// Plan is what to send where.
type Plan struct {
	Target      string        `yaml:"target"` // host:port on loopback
	Seconds     float64       `yaml:"seconds"`
	Seed        uint64        `yaml:"seed"`
	PerSecond   float64       `yaml:"per_second"`
	Shape       string        `yaml:"shape"`
	Swing       float64       `yaml:"swing"`
	Period      time.Duration `yaml:"period"`
	Even        bool          `yaml:"even"`
	Connections int           `yaml:"connections"` // at most; what finds none free waits, and that counts
	Classes     []Class       `yaml:"classes"`
}

// Default returns a plan without a target.
func Default() Plan {
	return Plan{Seconds: 10, Seed: 1, PerSecond: 100, Shape: "steady", Period: 10 * time.Second, Connections: 256,
		Classes: []Class{{Name: "get", Share: 1, Method: http.MethodGet, Path: "/", Deadline: 5 * time.Second}}}
}

// Check returns the key of the first value that can't be used, and why.
func (p *Plan) Check() (key string, err error) {
	host, _, err := net.SplitHostPort(p.Target)
	if err != nil {
		return "target", fmt.Errorf("%q is not host:port", p.Target)
	}
	if ip, err := netip.ParseAddr(host); host != "localhost" && (err != nil || !ip.IsLoopback()) {
		return "target", fmt.Errorf("%q is not on loopback; nothing else is ever loaded", p.Target)
	}
	s := p.schedule()
	if err := s.Check(); err != nil {
		return "per_second", err
	}
	if !(p.Seconds > 0 && p.Seconds <= 86400) {
		return "seconds", errors.New("does not lie above 0 and up to 86400")
	}
	if p.Connections < 1 || p.Connections > 60000 {
		return "connections", errors.New("does not lie from 1 to 60000")
	}
	if len(p.Classes) == 0 {
		return "classes", errors.New("at least one is needed")
	}
	for i := range p.Classes {
		c := &p.Classes[i]
		k := fmt.Sprintf("classes.%d.", i)
		switch {
		case c.Name == "":
			return k + "name", errors.New("is missing")
		case !(c.Share > 0):
			return k + "share", errors.New("is not above 0")
		case c.Method == "" || strings.ContainsAny(c.Method, " \r\n"):
			return k + "method", errors.New("is no method")
		case !strings.HasPrefix(c.Path, "/"):
			return k + "path", errors.New("does not begin with /")
		case c.BodyBytes < 0 || c.BodyBytes > 64<<10:
			return k + "body_bytes", errors.New("does not lie from 0 to 65536")
		case c.Deadline <= 0 || c.Deadline > time.Hour:
			return k + "deadline", errors.New("does not lie above 0 and up to 1h")
		}
	}
	return "", nil
}

func (p *Plan) schedule() arrivals.Schedule {
	return arrivals.Schedule{PerSecond: p.PerSecond, Shape: p.Shape, Swing: p.Swing, Period: p.Period, Phase: -1, Even: p.Even}
}

// ClassReport is what became of a class.
type ClassReport struct {
	Sent      int               `json:"sent"`
	Status    map[string]int    `json:"status"`             // by code; "timeout" and "error" where none came
	LatencyMS latency.Quantiles `json:"latency_ms"`         // of all that was answered, from when it was due
	ServedMS  latency.Quantiles `json:"served_latency_ms"`  // of the 200s
	ServiceMS latency.Quantiles `json:"service_latency_ms"` // from when the tool sent it: what a closed loop would have told
}

// Report is what a run came to.
type Report struct {
	Target    string                 `json:"target"`
	Seconds   float64                `json:"seconds"`
	Due       int                    `json:"due"`
	PerSecond float64                `json:"answered_per_second"`
	Classes   map[string]ClassReport `json:"classes"`
	LateMS    latency.Quantiles      `json:"late_ms"` // how late the tool itself was; more than a little spoils the rest
}

// Progress is the state of a run under way.
type Progress struct {
	Elapsed, Total      time.Duration
	Due, Done, InFlight int
	Failed              int     // no 200
	LastP50, LastP99    float64 // ms, since the last one
}

type tally struct {
	mu      sync.Mutex
	due     int
	done    int
	failed  int
	classes []*classTally
	late    *hdrhistogram.Histogram
	recent  *hdrhistogram.Histogram
}

type classTally struct {
	sent                 int
	status               map[string]int
	all, served, service *hdrhistogram.Histogram
}

const longest = int64(time.Hour / time.Microsecond)

func hist() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, 3) }

// Run carries a plan out that Check has passed. It calls live once a second. Where
// ctx ends it early, the report covers what was sent until then.
func Run(ctx context.Context, p Plan, live func(Progress)) *Report {
	t := &tally{late: hist(), recent: hist()}
	var cum []float64 // shares, added up
	sum := 0.0
	for _, c := range p.Classes {
		sum += c.Share
		cum = append(cum, sum)
		t.classes = append(t.classes, &classTally{status: map[string]int{}, all: hist(), served: hist(), service: hist()})
	}
	transport := &http.Transport{MaxConnsPerHost: p.Connections, MaxIdleConnsPerHost: p.Connections, DisableCompression: true,
		IdleConnTimeout: 1500 * time.Millisecond}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	rng := rand.New(rand.NewPCG(p.Seed, 11))
	source := arrivals.New(p.schedule(), rand.New(rand.NewPCG(p.Seed, 12)))
	var open sync.WaitGroup
	of := time.Duration(p.Seconds * float64(time.Second))
	began := time.Now()
	stop := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		every := time.NewTicker(time.Second)
		defer every.Stop()
		for {
			select {
			case <-stop:
				return
			case <-every.C:
				live(t.live(time.Since(began), of))
			}
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 0; ; n++ {
		due := source.Next()
		if due >= of {
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
		i := arrivals.Pick(cum, rng)
		id := fmt.Sprintf("load-%x-%d", p.Seed, n)
		open.Go(func() { t.send(ctx, client, &p, i, id, began.Add(due)) })
	}
	open.Wait()
	close(stop)
	<-watched
	took := time.Since(began)
	r := &Report{Target: p.Target, Seconds: took.Seconds(), Due: t.due, Classes: map[string]ClassReport{}, LateMS: latency.Of(t.late)}
	for i, c := range t.classes {
		r.Classes[p.Classes[i].Name] = ClassReport{c.sent, c.status, latency.Of(c.all), latency.Of(c.served), latency.Of(c.service)}
	}
	r.PerSecond = float64(t.done) / max(took.Seconds(), 1e-9)
	return r
}

func (t *tally) live(at, of time.Duration) Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := Progress{Elapsed: at, Total: of, Due: t.due, Done: t.done, InFlight: t.due - t.done, Failed: t.failed,
		LastP50: float64(t.recent.ValueAtQuantile(50)) / 1000, LastP99: float64(t.recent.ValueAtQuantile(99)) / 1000}
	t.recent.Reset()
	return l
}

// send sends one request and counts what becomes of it.
func (t *tally) send(ctx context.Context, client *http.Client, p *Plan, class int, id string, due time.Time) {
	c := &p.Classes[class]
	begun := time.Now()
	t.mu.Lock()
	t.due++
	t.classes[class].sent++
	t.late.RecordValue(max(begun.Sub(due).Microseconds(), 1))
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
	took := min(max(now.Sub(due).Microseconds(), 1), longest)
	t.mu.Lock()
	defer t.mu.Unlock()
	ct := t.classes[class]
	ct.status[status]++
	t.done++
	ct.all.RecordValue(took)
	ct.service.RecordValue(min(max(now.Sub(begun).Microseconds(), 1), longest))
	t.recent.RecordValue(took)
	if ok {
		ct.served.RecordValue(took)
	} else {
		t.failed++
	}
}
