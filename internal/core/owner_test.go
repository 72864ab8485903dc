package core

import (
	"io"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pipitmux/internal/logging"
	"pipitmux/logic"
)

// stub answers each attempt at once, and requests by nobody.
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

// sender sends each request to one backend.
type sender struct{ out []logic.Action }

func (s *sender) Handle(_ time.Duration, ev logic.Event) []logic.Action {
	s.out = s.out[:0]
	if r, ok := ev.(logic.Request); ok {
		s.out = append(s.out, logic.Send{ID: r.ID, Server: "b", Timeout: time.Second})
	}
	return s.out
}

func owner(log *slog.Logger) func(id string) {
	var later []func()
	at := time.Unix(1, 0)
	o := NewEngine(&sender{}, logic.Settings{Classes: []logic.Class{{Name: "topup", Deadline: time.Second}}}, Environment{
		Now: func() time.Time { return at }, Post: func(ev func()) { later = append(later, ev) },
		Transport: stub{}, Registry: stub{}, Counters: stub{}, Log: log})
	o.UpdateBackends(logic.ListFull, []Backend{{Server: logic.Server{ID: "b"}, Endpoint: "x:1"}})
	return func(id string) {
		o.Request(Request{ID: id, Class: "topup", Arrived: at, Session: stub{}})
		for _, ev := range later {
			ev()
		}
		later = later[:0]
		o.RunPending()
	}
}

// A logger whose level is off costs a request no allocation; one that is on tells of
// the attempt under the stable keys.
func TestLogCostsNothingWhenOff(t *testing.T) {
	count := func(log *slog.Logger) float64 {
		request := owner(log)
		return testing.AllocsPerRun(200, func() { request("r") })
	}
	off := count(logging.New(io.Discard, "info", "json"))
	assert.Equal(t, count(slog.New(slog.DiscardHandler)), off)
	var none strings.Builder
	owner(logging.New(&none, "info", "json"))("r7")
	assert.Empty(t, none.String())

	var out strings.Builder
	owner(logging.New(&out, "debug", "json"))("r7")
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
			request := owner(log)
			b.ReportAllocs()
			for i := range b.N {
				request(strconv.Itoa(i & 1023))
			}
		})
	}
}

// hand is a module that a test plays by hand, and the backends that it sends to.
type hand struct {
	do        func(ev logic.Event) []logic.Action
	told      []logic.Event
	started   []Attempt
	ends      []func(AttemptResult)
	withdrawn []Instance
	answers   []Answer
}

func (h *hand) Handle(_ time.Duration, ev logic.Event) []logic.Action {
	h.told = append(h.told, ev)
	return h.do(ev)
}
func (h *hand) Start(a Attempt, done func(AttemptResult)) func() {
	h.started, h.ends = append(h.started, a), append(h.ends, done)
	return func() {}
}
func (h *hand) Withdraw(p Instance) { h.withdrawn = append(h.withdrawn, p) }
func (h *hand) CloseIdle(Instance)  {}
func (h *hand) Answer(a Answer)     { h.answers = append(h.answers, a) }

// play runs an owner round the module, at a time that the test moves.
func (h *hand) play(c logic.Class, at *time.Time) *Engine {
	o := NewEngine(h, logic.Settings{Classes: []logic.Class{c}}, Environment{
		Now: func() time.Time { return *at }, Post: func(ev func()) { ev() },
		Transport: h, Registry: stub{}, Counters: stub{}, Log: slog.New(slog.DiscardHandler)})
	o.UpdateBackends(logic.ListFull, []Backend{{Server: logic.Server{ID: "a"}, Endpoint: "x:1"}, {Server: logic.Server{ID: "b"}, Endpoint: "x:2"}})
	return o
}

// A keyed request's further attempt has to begin while the first one's repeats are dropped, and
// the first that may have run counts; what never ran does not.
func TestFurtherAttemptsBeginWithinTheWindow(t *testing.T) {
	for name, tt := range map[string]struct {
		effect logic.Effect
		first  logic.Result
		want   time.Duration // after the first attempt, 0: whenever
	}{
		"keyed, may have run": {logic.Keyed, logic.TimedOut, 700 * time.Millisecond},
		"keyed, never ran":    {logic.Keyed, logic.ConnectFailed, 0},
		"safe":                {logic.Safe, logic.TimedOut, 0},
	} {
		at := time.Unix(1000, 0)
		h := &hand{do: func(ev logic.Event) []logic.Action {
			switch ev.(type) {
			case logic.Request, logic.Outcome:
				return []logic.Action{logic.Send{ID: "r", Server: "a", Timeout: time.Second}}
			}
			return nil
		}}
		o := h.play(logic.Class{Name: "c", Effect: tt.effect, Window: 700 * time.Millisecond, Deadline: 5 * time.Second}, &at)
		o.Request(Request{ID: "r", Class: "c", Arrived: at, Session: h})
		sent := at
		for range 2 {
			at = at.Add(200 * time.Millisecond)
			h.ends[len(h.ends)-1](AttemptResult{Result: tt.first, At: at})
		}
		if assert.Len(t, h.started, 3, name) {
			assert.True(t, h.started[0].StartBefore.IsZero(), name)
			want := time.Time{}
			if tt.want > 0 {
				want = sent.Add(tt.want)
			}
			assert.Equal(t, want, h.started[1].StartBefore, name)
			assert.Equal(t, want, h.started[2].StartBefore, name)
		}
	}
}

// Whatever list tells that a backend leaves, or is another process now, its attempts that
// have not begun are withdrawn before the module hears of it.
func TestListsWithdrawAttempts(t *testing.T) {
	a := Instance{ID: "a", Endpoint: "x:1"}
	entry := func(state logic.ServerState, endpoint string, born time.Duration) Backend {
		return Backend{Server: logic.Server{ID: "a", State: state, StartedAt: born}, Endpoint: endpoint}
	}
	other := Backend{Server: logic.Server{ID: "b"}, Endpoint: "x:2"}
	for name, tt := range map[string]struct {
		kind    logic.ListKind
		entries []Backend
		want    []Instance
	}{
		"serves on":           {logic.ListChanges, []Backend{entry(logic.Serving, "x:1", 0)}, nil},
		"drains":              {logic.ListChanges, []Backend{entry(logic.Draining, "x:1", 0)}, []Instance{a}},
		"gone":                {logic.ListChanges, []Backend{entry(logic.Gone, "", 0)}, []Instance{a}},
		"started anew":        {logic.ListChanges, []Backend{entry(logic.Serving, "x:1", 5)}, []Instance{a}},
		"elsewhere":           {logic.ListFull, []Backend{entry(logic.Serving, "x:9", 0), other}, []Instance{a}},
		"drains, by a whole":  {logic.ListFull, []Backend{entry(logic.Draining, "x:1", 0), other}, []Instance{a}},
		"missing in a whole":  {logic.ListFull, []Backend{other}, []Instance{a}},
		"a list that failed":  {logic.ListFailed, nil, nil},
		"whole, nothing new":  {logic.ListFull, []Backend{entry(logic.Serving, "x:1", 0), other}, nil},
		"of another, changes": {logic.ListChanges, []Backend{other}, nil},
	} {
		at := time.Unix(1000, 0)
		var h *hand
		seen := -1
		h = &hand{do: func(ev logic.Event) []logic.Action {
			if l, ok := ev.(logic.ServerList); ok && l.Kind == tt.kind {
				seen = len(h.withdrawn)
			}
			return nil
		}}
		o := h.play(logic.Class{Name: "c", Deadline: time.Second}, &at)
		o.UpdateBackends(tt.kind, tt.entries)
		assert.Equal(t, tt.want, h.withdrawn, name)
		assert.Equal(t, len(tt.want), seen, "%s: before the module hears of it", name)
	}
}

// An attempt that was not begun, since its client has left, ends the request: nothing else is
// tried for it, and nothing is answered.
func TestClientLeftBeforeItsAttempt(t *testing.T) {
	at := time.Unix(1000, 0)
	h := &hand{do: func(ev logic.Event) []logic.Action {
		if _, ok := ev.(logic.Request); ok {
			return []logic.Action{logic.Send{ID: "r", Server: "a", Timeout: time.Second}}
		}
		return nil
	}}
	o := h.play(logic.Class{Name: "c", Deadline: time.Second}, &at)
	o.Request(Request{ID: "r", Class: "c", Arrived: at, Session: h})
	h.told = nil
	h.ends[0](AttemptResult{Result: logic.NotSent, ClientGone: true, At: at})
	if assert.Len(t, h.told, 2) {
		assert.Equal(t, logic.ClientGone{ID: "r"}, h.told[0])
		assert.True(t, h.told[1].(logic.Outcome).Final)
	}
	assert.Empty(t, h.answers)
	assert.Empty(t, o.requests)
	o.ClientGone("r", h) // which its session tells as well
	assert.Len(t, h.told, 2)
}
