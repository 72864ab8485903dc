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

	audit "pipitmux/internal/audit/tier"
	"pipitmux/internal/wait"
)

// Headers of servers.
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

// ServerOptions are what a server does.
type ServerOptions struct {
	Member  Member
	Listen  string // host:port, port 0: a free one
	Slots   int    // requests that run at once
	Waiting int    // requests that wait beyond them; more are turned away
	Work    time.Duration
	Engine  bool          // answers turns with events
	Between time.Duration // two events
	// BreaksOne is how many runs there are for each that breaks off, its connection reset; 0:
	// none does.
	BreaksOne int
	Record    *audit.Recorder
}

// Server is a server of a service.
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

// NewServer serves until Close.
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

// Close ends its process, whatever it has in hand.
func (s *Server) Close() { s.http.Close() }

// Held is how many requests it has in hand.
func (s *Server) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running + s.waiting
}

// take gives a request a place, and its run a seal. The seal is empty where there is none.
func (s *Server) take() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running+s.waiting >= s.opt.Slots+s.opt.Waiting {
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

func (s *Server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.opt.Slots)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	input, err := io.ReadAll(r.Body)
	if err != nil {
		return // what didn't come whole is no request
	}
	h := w.Header()
	h.Set(attemptHeader, r.Header.Get(attemptHeader))
	arrival := audit.Arrival{Attempt: r.Header.Get(attemptHeader), Server: s.Member.MemberID, Service: s.Member.PoolName,
		At: s.opt.Record.Now(), Path: r.URL.Path, Input: string(input)}
	if target := r.Header.Get(targetHeader); target != "" && target != s.Member.MemberID {
		arrival.Misdirected = true
		s.opt.Record.Arrived(arrival)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if arrival.Seal = s.take(); arrival.Seal == "" {
		s.opt.Record.Arrived(arrival)
		h.Set(notExecutedHeader, "1")
		h.Set(loadHeader, s.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.run(w, r, arrival)
}

// run carries a request out. It counts as run from now on, whatever comes of it.
func (s *Server) run(w http.ResponseWriter, r *http.Request, arrival audit.Arrival) {
	turn := s.opt.Engine && r.Method == http.MethodPost
	if !turn {
		arrival.Body = answerTo(arrival)
	}
	no := s.opt.Record.Arrived(arrival)
	s.begin()
	defer s.end()
	ctx, cancel := within(r)
	defer cancel()
	h := w.Header()
	h.Set(sealHeader, arrival.Seal)
	h.Set(loadHeader, s.load())
	if turn {
		h.Set("Content-Type", streamType)
		s.stream(ctx, w, no, tokens(r))
		return
	}
	if !wait.For(ctx, s.opt.Work) || s.breaks() {
		panic(http.ErrAbortHandler)
	}
	h.Set("Content-Length", strconv.Itoa(len(arrival.Body)))
	// It says that it is done before the client can have it.
	s.opt.Record.Finished(no)
	io.WriteString(w, arrival.Body)
}

// breakAt is the event before which a stream breaks off.
const breakAt = 5

// breaks tells whether this run breaks off.
func (s *Server) breaks() bool { return s.opt.BreaksOne > 0 && rand.IntN(s.opt.BreaksOne) == 0 }

// answerTo is a tool's answer, of the length that the request asks for by its own.
func answerTo(a audit.Arrival) string {
	return fmt.Sprintf("%s says %d bytes came to %s for %s: %s\n", a.Seal, len(a.Input), a.Path, a.Attempt, strings.Repeat("x", len(a.Input)))
}

// within is the time that the request has left.
func within(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseFloat(r.Header.Get(timeBudgetHeader), 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms*float64(time.Millisecond)))
}

// tokens is how many events a turn has: what it may put out, or less.
func tokens(r *http.Request) int {
	_, out, _ := strings.Cut(r.Header.Get(tokenCountHeader), ",")
	most, err := strconv.Atoi(out)
	if err != nil || most < 1 {
		return 1
	}
	return most - rand.IntN(most/4+1)
}

// stream writes a turn's events.
func (s *Server) stream(ctx context.Context, w http.ResponseWriter, no, events int) {
	control := http.NewResponseController(w)
	for id := 1; id <= events; id++ {
		if !wait.For(ctx, s.opt.Between) || id == breakAt && s.breaks() {
			panic(http.ErrAbortHandler)
		}
		e := audit.Event{ID: strconv.Itoa(id), Data: fmt.Sprintf("word %d of %d, %x", id, events, rand.Uint32())}
		s.opt.Record.Wrote(no, e)
		if id == events {
			s.opt.Record.Finished(no)
		}
		fmt.Fprintf(w, "id: %s\ndata: %s\n\n", e.ID, e.Data)
		if control.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
