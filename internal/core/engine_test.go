package core

import (
	"io"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"oakseam/internal/logging"
	"oakseam/logic"
)

// stub is a transport that serves each attempt at once, and ignores everything else.
type stub struct{}

func (stub) Start(_ Attempt, done func(AttemptResult)) func() {
	done(AttemptResult{Result: logic.OK, At: time.Unix(1, 0)})
	return func() {}
}
func (stub) CloseIdle(Instance) {}
func (stub) Withdraw(Instance)  {}
func (stub) Subscribe()         {}
func (stub) Fetch()             {}
func (stub) Answer(Answer)      {}
func (stub) Add(string)         {}

// sendingModule sends each request to one backend.
type sendingModule struct{ actions []logic.Action }

func (s *sendingModule) Handle(_ time.Duration, ev logic.Event) []logic.Action {
	s.actions = s.actions[:0]
	if r, ok := ev.(logic.Request); ok {
		s.actions = append(s.actions, logic.Send{ID: r.ID, Server: "b", Timeout: time.Second})
	}
	return s.actions
}

// newRequestFunc returns a function that runs a request through an engine.
func newRequestFunc(log *slog.Logger) func(id string) {
	var posted []func()
	at := time.Unix(1, 0)
	e := NewEngine(&sendingModule{}, logic.Settings{Classes: []logic.Class{{Name: "topup", Deadline: time.Second}}}, Environment{
		Now: func() time.Time { return at }, Post: func(event func()) { posted = append(posted, event) },
		Transport: stub{}, Registry: stub{}, Counters: stub{}, Log: log})
	e.UpdateBackends(logic.ListFull, []Backend{{Server: logic.Server{ID: "b"}, Endpoint: "x:1"}})
	return func(id string) {
		e.Request(Request{ID: id, Class: "topup", Arrived: at, Session: stub{}})
		for _, event := range posted {
			event()
		}
		posted = posted[:0]
		e.RunPending()
	}
}

// A disabled log level must cost a request no allocation. An enabled one logs the attempt
// under the stable keys.
func TestDisabledLogAllocatesNothing(t *testing.T) {
	count := func(log *slog.Logger) float64 {
		request := newRequestFunc(log)
		return testing.AllocsPerRun(200, func() { request("r") })
	}
	off := count(logging.New(io.Discard, "info", "json"))
	assert.Equal(t, count(slog.New(slog.DiscardHandler)), off)
	var silent strings.Builder
	newRequestFunc(logging.New(&silent, "info", "json"))("r7")
	assert.Empty(t, silent.String())

	var out strings.Builder
	newRequestFunc(logging.New(&out, "debug", "json"))("r7")
	for _, part := range []string{`"req":"r7"`, `"backend":"b"`, `"attempt":0`, `"cause":"ok"`} {
		assert.Contains(t, out.String(), part)
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, level := range []string{"none", "info", "debug"} {
		b.Run("log="+level, func(b *testing.B) {
			log := slog.New(slog.DiscardHandler)
			if level != "none" {
				log = logging.New(io.Discard, level, "text")
			}
			request := newRequestFunc(log)
			b.ReportAllocs()
			for i := range b.N {
				request(strconv.Itoa(i & 1023))
			}
		})
	}
}

// scripted is a module whose actions a test provides, with its transport and session.
type scripted struct {
	handle    func(ev logic.Event) []logic.Action
	events    []logic.Event
	started   []Attempt
	finish    []func(AttemptResult) // of the started attempts
	withdrawn []Instance
	answers   []Answer
}

func (s *scripted) Handle(_ time.Duration, ev logic.Event) []logic.Action {
	s.events = append(s.events, ev)
	return s.handle(ev)
}
func (s *scripted) Start(a Attempt, done func(AttemptResult)) func() {
	s.started, s.finish = append(s.started, a), append(s.finish, done)
	return func() {}
}
func (s *scripted) Withdraw(i Instance) { s.withdrawn = append(s.withdrawn, i) }
func (s *scripted) CloseIdle(Instance)  {}
func (s *scripted) Answer(a Answer)     { s.answers = append(s.answers, a) }

// newEngine returns an engine for the module, at a time that the test advances.
func (s *scripted) newEngine(c logic.Class, at *time.Time) *Engine {
	e := NewEngine(s, logic.Settings{Classes: []logic.Class{c}}, Environment{
		Now: func() time.Time { return *at }, Post: func(event func()) { event() },
		Transport: s, Registry: stub{}, Counters: stub{}, Log: slog.New(slog.DiscardHandler)})
	e.UpdateBackends(logic.ListFull, []Backend{{Server: logic.Server{ID: "a"}, Endpoint: "x:1"}, {Server: logic.Server{ID: "b"}, Endpoint: "x:2"}})
	return e
}

// A further attempt of a keyed request must start while backends still deduplicate the first
// one that may have run; after that it could run twice. Attempts that never ran don't count.
func TestKeyedRetriesStartWithinDeduplicationWindow(t *testing.T) {
	for name, tt := range map[string]struct {
		effect logic.Effect
		first  logic.Result
		want   time.Duration // after the first attempt, 0: no limit
	}{
		"keyed, may have run": {logic.Keyed, logic.TimedOut, 700 * time.Millisecond},
		"keyed, never ran":    {logic.Keyed, logic.ConnectFailed, 0},
		"safe":                {logic.Safe, logic.TimedOut, 0},
	} {
		at := time.Unix(1000, 0)
		s := &scripted{handle: func(ev logic.Event) []logic.Action {
			switch ev.(type) {
			case logic.Request, logic.Outcome:
				return []logic.Action{logic.Send{ID: "r", Server: "a", Timeout: time.Second}}
			}
			return nil
		}}
		e := s.newEngine(logic.Class{Name: "c", Effect: tt.effect, Window: 700 * time.Millisecond, Deadline: 5 * time.Second}, &at)
		e.Request(Request{ID: "r", Class: "c", Arrived: at, Session: s})
		sent := at
		for range 2 {
			at = at.Add(200 * time.Millisecond)
			s.finish[len(s.finish)-1](AttemptResult{Result: tt.first, At: at})
		}
		if assert.Len(t, s.started, 3, name) {
			assert.True(t, s.started[0].StartBefore.IsZero(), name)
			want := time.Time{}
			if tt.want > 0 {
				want = sent.Add(tt.want)
			}
			assert.Equal(t, want, s.started[1].StartBefore, name)
			assert.Equal(t, want, s.started[2].StartBefore, name)
		}
	}
}

// When a list reports that a backend leaves or was replaced, its attempts that have not started
// must be withdrawn before the module handles the list: else they would go to that backend.
func TestListsWithdrawUnstartedAttempts(t *testing.T) {
	a := Instance{ID: "a", Endpoint: "x:1"}
	backendA := func(state logic.ServerState, endpoint string, started time.Duration) Backend {
		return Backend{Server: logic.Server{ID: "a", State: state, StartedAt: started}, Endpoint: endpoint}
	}
	other := Backend{Server: logic.Server{ID: "b"}, Endpoint: "x:2"}
	for name, tt := range map[string]struct {
		kind     logic.ListKind
		backends []Backend
		want     []Instance
	}{
		"still serving":        {logic.ListChanges, []Backend{backendA(logic.Serving, "x:1", 0)}, nil},
		"draining":             {logic.ListChanges, []Backend{backendA(logic.Draining, "x:1", 0)}, []Instance{a}},
		"gone":                 {logic.ListChanges, []Backend{backendA(logic.Gone, "", 0)}, []Instance{a}},
		"restarted":            {logic.ListChanges, []Backend{backendA(logic.Serving, "x:1", 5)}, []Instance{a}},
		"moved":                {logic.ListFull, []Backend{backendA(logic.Serving, "x:9", 0), other}, []Instance{a}},
		"draining, full list":  {logic.ListFull, []Backend{backendA(logic.Draining, "x:1", 0), other}, []Instance{a}},
		"missing, full list":   {logic.ListFull, []Backend{other}, []Instance{a}},
		"failed list":          {logic.ListFailed, nil, nil},
		"full list, no change": {logic.ListFull, []Backend{backendA(logic.Serving, "x:1", 0), other}, nil},
		"change of another":    {logic.ListChanges, []Backend{other}, nil},
	} {
		at := time.Unix(1000, 0)
		var s *scripted
		withdrawnBefore := -1
		s = &scripted{handle: func(ev logic.Event) []logic.Action {
			if l, ok := ev.(logic.ServerList); ok && l.Kind == tt.kind {
				withdrawnBefore = len(s.withdrawn)
			}
			return nil
		}}
		e := s.newEngine(logic.Class{Name: "c", Deadline: time.Second}, &at)
		e.UpdateBackends(tt.kind, tt.backends)
		assert.Equal(t, tt.want, s.withdrawn, name)
		assert.Equal(t, len(tt.want), withdrawnBefore, "%s: withdrawn before the module handled the list", name)
	}
}

// An attempt that was not started because its client has left must end the request: no further
// attempt is made and no answer is given.
func TestClientGoneBeforeAttemptEndsRequest(t *testing.T) {
	at := time.Unix(1000, 0)
	s := &scripted{handle: func(ev logic.Event) []logic.Action {
		if _, ok := ev.(logic.Request); ok {
			return []logic.Action{logic.Send{ID: "r", Server: "a", Timeout: time.Second}}
		}
		return nil
	}}
	e := s.newEngine(logic.Class{Name: "c", Deadline: time.Second}, &at)
	e.Request(Request{ID: "r", Class: "c", Arrived: at, Session: s})
	s.events = nil
	s.finish[0](AttemptResult{Result: logic.NotSent, ClientGone: true, At: at})
	if assert.Len(t, s.events, 2) {
		assert.Equal(t, logic.ClientGone{ID: "r"}, s.events[0])
		assert.True(t, s.events[1].(logic.Outcome).Final)
	}
	assert.Empty(t, s.answers)
	assert.Empty(t, e.requests)
	e.ClientGone("r", s) // the session reports it, too
	assert.Len(t, s.events, 2)
}
