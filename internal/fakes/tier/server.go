package tier

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	audit "oakseam/internal/audit/tier"
	"oakseam/internal/wait"
)

// Headers between the tier and servers.
const (
	attemptHeader     = "Oakseam-Attempt-Id"
	sealHeader        = "Oakseam-Server-Seal"
	loadHeader        = "Oakseam-Member-Load"
	targetHeader      = "Oakseam-Target-Member"
	timeBudgetHeader  = "Oakseam-Time-Budget"
	notExecutedHeader = "Oakseam-Not-Executed"
	tokenCountHeader  = "Oakseam-Token-Count"
	streamType        = "text/event-stream"
)

// ServerOptions configures a Server.
type ServerOptions struct {
	Member        Member
	Listen        string // host:port, port 0 chooses a free port
	Slots         int    // requests that run at once
	QueueLimit    int    // requests that wait beyond them; further ones are rejected
	ServiceTime   time.Duration
	Engine        bool // answers turns with a stream of events
	EventInterval time.Duration
	// BreakOneIn: one run in this many breaks off with a connection reset. 0: none does.
	BreakOneIn int
	Recorder   *audit.Recorder
}

// Server is a fake server of a service.
type Server struct {
	Member Member
	opt    ServerOptions
	http   *http.Server
	slots  chan struct{}

	mu      sync.Mutex
	running int
	waiting int
	seals   int
}

// NewServer starts a server that runs until Close.
func NewServer(o ServerOptions) (*Server, error) {
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	s := &Server{Member: o.Member, opt: o, slots: make(chan struct{}, o.Slots)}
	s.Member.Address = l.Addr().String()
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go s.http.Serve(l)
	return s, nil
}

// Close ends the server like a crash: requests in flight are lost.
func (s *Server) Close() { s.http.Close() }

// InFlight returns how many requests are running or waiting.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running + s.waiting
}

// admit reserves a place for a request and returns the seal of its run. The seal is empty if the
// server is full.
func (s *Server) admit() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running+s.waiting >= s.opt.Slots+s.opt.QueueLimit {
		return ""
	}
	s.waiting++
	s.seals++
	return fmt.Sprintf("%s/%d", s.Member.MemberID, s.seals)
}

func (s *Server) begin() {
	s.slots <- struct{}{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	s.running++
}

func (s *Server) end() {
	<-s.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) loadReport() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.opt.Slots)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	input, err := io.ReadAll(r.Body)
	if err != nil {
		return // an incomplete request does not count
	}
	h := w.Header()
	h.Set(attemptHeader, r.Header.Get(attemptHeader))
	arrival := audit.Arrival{Attempt: r.Header.Get(attemptHeader), Server: s.Member.MemberID, Service: s.Member.PoolName, Zone: s.Member.Zone,
		At: s.opt.Recorder.Now(), Path: r.URL.Path, Input: string(input)}
	if target := r.Header.Get(targetHeader); target != "" && target != s.Member.MemberID {
		arrival.Misdirected = true
		s.opt.Recorder.RecordArrival(arrival)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if arrival.Seal = s.admit(); arrival.Seal == "" {
		s.opt.Recorder.RecordArrival(arrival)
		h.Set(notExecutedHeader, "1")
		h.Set(loadHeader, s.loadReport())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.run(w, r, arrival)
}

// run executes a request. The request counts as run from here on, whatever becomes of it.
func (s *Server) run(w http.ResponseWriter, r *http.Request, arrival audit.Arrival) {
	turn := s.opt.Engine && r.Method == http.MethodPost
	if !turn {
		arrival.Body = toolResponse(arrival)
	}
	number := s.opt.Recorder.RecordArrival(arrival)
	s.begin()
	defer s.end()
	ctx, cancel := withTimeBudget(r)
	defer cancel()
	h := w.Header()
	h.Set(sealHeader, arrival.Seal)
	h.Set(loadHeader, s.loadReport())
	if turn {
		h.Set("Content-Type", streamType)
		s.stream(ctx, w, number, eventCount(r))
		return
	}
	if !wait.For(ctx, s.opt.ServiceTime) || s.breaksOff() {
		panic(http.ErrAbortHandler)
	}
	h.Set("Content-Length", strconv.Itoa(len(arrival.Body)))
	// Record the end before the client can receive the response.
	s.opt.Recorder.RecordFinished(number)
	io.WriteString(w, arrival.Body)
}

// breakBeforeEvent is the event before which a stream breaks off.
const breakBeforeEvent = 5

// breaksOff decides at random whether this run breaks off.
func (s *Server) breaksOff() bool { return s.opt.BreakOneIn > 0 && rand.IntN(s.opt.BreakOneIn) == 0 }

// toolResponse returns the response of a tool. Its length grows with that of the request.
func toolResponse(a audit.Arrival) string {
	return fmt.Sprintf("%s says %d bytes came to %s for %s: %s\n", a.Seal, len(a.Input), a.Path, a.Attempt, strings.Repeat("x", len(a.Input)))
}

// withTimeBudget returns a context that ends with the time budget of the request.
func withTimeBudget(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseFloat(r.Header.Get(timeBudgetHeader), 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms*float64(time.Millisecond)))
}

// eventCount returns how many events a turn has: its maximum or slightly less.
func eventCount(r *http.Request) int {
	_, out, _ := strings.Cut(r.Header.Get(tokenCountHeader), ",")
	maxEvents, err := strconv.Atoi(out)
	if err != nil || maxEvents < 1 {
		return 1
	}
	return maxEvents - rand.IntN(maxEvents/4+1)
}

// stream writes the events of a turn.
func (s *Server) stream(ctx context.Context, w http.ResponseWriter, number, events int) {
	control := http.NewResponseController(w)
	for id := 1; id <= events; id++ {
		if !wait.For(ctx, s.opt.EventInterval) || id == breakBeforeEvent && s.breaksOff() {
			panic(http.ErrAbortHandler)
		}
		e := audit.Event{ID: strconv.Itoa(id), Data: fmt.Sprintf("word %d of %d, %x", id, events, rand.Uint32())}
		s.opt.Recorder.RecordEvent(number, e)
		if id == events {
			s.opt.Recorder.RecordFinished(number)
		}
		fmt.Fprintf(w, "id: %s\ndata: %s\n\n", e.ID, e.Data)
		if control.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
