package core

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pipitmux/logic"
)

// closing is a reply that counts how often it was closed.
type closing struct{ closed int }

func (c *closing) Close() error { c.closed++; return nil }

// streamed is an owner round a module that sends each request twice, to a and b, and otherwise
// does what reply says.
type streamed struct {
	*hand
	o   *Engine
	at  time.Time
	off []int // attempts called off
}

func (s *streamed) Start(a Attempt, done func(AttemptResult)) func() {
	n := len(s.started)
	s.hand.Start(a, done)
	return func() { s.off = append(s.off, n) }
}

func newStreamed(reply func(ev logic.Event) []logic.Action) *streamed {
	s := &streamed{at: time.Unix(1000, 0)}
	s.hand = &hand{do: func(ev logic.Event) []logic.Action {
		if _, ok := ev.(logic.Request); ok {
			return []logic.Action{logic.Send{ID: "r", Server: "a"}, logic.Send{ID: "r", Server: "b"}}
		}
		if reply == nil {
			return nil
		}
		return reply(ev)
	}}
	s.o = s.play(logic.Class{Name: "c", Deadline: 5 * time.Second}, &s.at)
	s.o.world.Transport = s
	s.o.Request(Request{ID: "r", Class: "c", Arrived: s.at, Session: s.hand})
	s.told = nil
	return s
}

func (s *streamed) later(d time.Duration) time.Time {
	s.at = s.at.Add(d)
	return s.at
}

// A stream's begin answers the request and is told once, its end is told once and is final, with
// the latency of its begin; the second copy's end between them finishes nothing.
func TestStreamIsToldTwice(t *testing.T) {
	for name, result := range map[string]logic.Result{"whole": logic.OK, "broken": logic.Reset, "left": logic.Canceled, "out of time": logic.TimedOut} {
		s, reply, copied := newStreamed(nil), &closing{}, &closing{}
		s.ends[0](AttemptResult{Result: logic.OK, Streaming: true, Reply: reply, LoadReport: []float64{2}, At: s.later(time.Second)})
		require.Equal(t, []Answer{{Kind: Served, Reply: reply, Attempts: 2, Server: "a"}}, s.answers, name)
		assert.Equal(t, []logic.Event{
			logic.Started{ID: "r", Server: "a", Latency: time.Second},
			logic.Probed{Server: "a", Latency: time.Second, Report: []float64{2}},
		}, s.told, name)
		s.told = nil

		s.ends[1](AttemptResult{Result: logic.OK, Streaming: true, Reply: copied, At: s.later(time.Second)})
		assert.Equal(t, 1, copied.closed, "%s: nobody reads a second one", name)
		assert.Empty(t, s.told, name)
		s.ends[1](AttemptResult{Result: logic.Canceled, At: s.later(time.Second)})
		assert.Equal(t, []logic.Event{logic.Outcome{ID: "r", Attempt: 1, Result: logic.Canceled, Server: "b", Latency: 2 * time.Second}}, s.told, name)
		s.told = nil
		assert.NotEmpty(t, s.o.requests, name)

		s.ends[0](AttemptResult{Result: result, At: s.later(time.Minute)})
		assert.Equal(t, []logic.Event{logic.Outcome{ID: "r", Result: result, Final: true, Server: "a", Latency: time.Second}}, s.told, name)
		assert.Len(t, s.answers, 1, name)
		assert.Zero(t, reply.closed, "%s: its session closes it", name)
		assert.Empty(t, s.o.requests, name)
	}
}

// A stream that begins for nobody, since the client has left, is closed.
func TestStreamForNobody(t *testing.T) {
	s, reply := newStreamed(nil), &closing{}
	s.o.ClientGone("r", s.hand)
	s.ends[0](AttemptResult{Result: logic.OK, Streaming: true, Reply: reply, At: s.at})
	assert.Equal(t, 1, reply.closed)
	assert.Empty(t, s.answers)
	assert.Equal(t, []logic.Event{logic.ClientGone{ID: "r"}}, s.told)
}

// What the module calls off is the copies, never the stream that is the answer.
func TestModuleCallsOffNoStream(t *testing.T) {
	s := newStreamed(func(ev logic.Event) []logic.Action {
		if _, ok := ev.(logic.Started); ok {
			return []logic.Action{logic.Cancel{ID: "r", Attempt: 0}, logic.Cancel{ID: "r", Attempt: 1}}
		}
		return nil
	})
	s.ends[0](AttemptResult{Result: logic.OK, Streaming: true, Reply: &closing{}, At: s.at})
	assert.Equal(t, []int{1}, s.off)
}

// The newest failure that is to be passed on is the answer where the module gives the request up,
// and is closed where it does not come to that.
func TestFailureIsPassedOn(t *testing.T) {
	giveUp := func(action logic.Action) func(ev logic.Event) []logic.Action {
		return func(ev logic.Event) []logic.Action {
			if e, ok := ev.(logic.Outcome); ok && e.Attempt == 1 {
				return []logic.Action{action}
			}
			return nil
		}
	}
	for name, tt := range map[string]struct {
		action logic.Action
		pass   bool
		second AttemptResult
		want   Answer // whose Reply is filled in: the second failure, where it is passed on
	}{
		"fails":            {logic.Fail{ID: "r"}, true, AttemptResult{Result: logic.Failed, PassThrough: true}, Answer{Kind: Failed, Attempts: 2}},
		"refuses":          {logic.Reject{ID: "r", RetryAfter: time.Second}, true, AttemptResult{Result: logic.Failed, PassThrough: true}, Answer{Kind: Failed, Attempts: 2}},
		"the other served": {logic.Fail{ID: "r"}, true, AttemptResult{Result: logic.OK}, Answer{Kind: Served, Attempts: 2}},
		"nothing to pass":  {logic.Reject{ID: "r", RetryAfter: time.Second}, false, AttemptResult{Result: logic.Failed}, Answer{Kind: Rejected, RetryAfter: time.Second, MayHaveRun: true, Attempts: 2}},
	} {
		s := newStreamed(giveUp(tt.action))
		first, second := &closing{}, &closing{}
		s.ends[0](AttemptResult{Result: logic.Failed, PassThrough: tt.pass, Reply: first, At: s.at})
		assert.Empty(t, s.answers, name)
		tt.second.Reply, tt.second.At = second, s.at
		s.ends[1](tt.second)
		if tt.want.Kind != Rejected {
			tt.want.Reply = second
		}
		assert.Equal(t, []Answer{tt.want}, s.answers, name)
		assert.Equal(t, 1, first.closed, "%s: the older one", name)
		closed := 0
		if tt.want.Kind == Rejected {
			closed = 1
		}
		assert.Equal(t, closed, second.closed, name)
		assert.Empty(t, s.o.requests, name)
	}
}

// The older failure is the answer where the last attempt brought none, and is closed where
// the client leaves.
func TestFailureOutlivesItsAttempt(t *testing.T) {
	s, first := newStreamed(func(ev logic.Event) []logic.Action {
		if e, ok := ev.(logic.Outcome); ok && e.Result == logic.TimedOut {
			return []logic.Action{logic.Fail{ID: "r"}}
		}
		return nil
	}), &closing{}
	s.ends[0](AttemptResult{Result: logic.Failed, PassThrough: true, Reply: first, At: s.at})
	s.ends[1](AttemptResult{Result: logic.TimedOut, At: s.at})
	assert.Equal(t, []Answer{{Kind: Failed, Reply: first, Attempts: 2}}, s.answers)
	assert.Zero(t, first.closed)

	s, first = newStreamed(nil), &closing{}
	s.ends[0](AttemptResult{Result: logic.Failed, PassThrough: true, Reply: first, At: s.at})
	s.o.ClientGone("r", s.hand)
	assert.Equal(t, 1, first.closed)
	assert.Empty(t, s.answers)
}

// learner is a module that takes on classes and asks for a list, which nobody can bring.
type learner struct {
	hand
	classes []logic.Class
}

func (l *learner) SetClasses(c []logic.Class) error { l.classes = c; return nil }

// New classes hold for requests that come later; a core without a registry asks none.
func TestReconfigureWithoutRegistry(t *testing.T) {
	at := time.Unix(1000, 0)
	l := &learner{hand: hand{do: func(ev logic.Event) []logic.Action {
		if q, ok := ev.(logic.Request); ok {
			return []logic.Action{logic.Subscribe{}, logic.Fetch{}, logic.Send{ID: q.ID, Server: "a", Timeout: time.Hour}}
		}
		return nil
	}}}
	class := func(deadline time.Duration) []logic.Class { return []logic.Class{{Name: "c", Deadline: deadline}} }
	o := NewEngine(l, logic.Settings{Classes: class(time.Second)}, Environment{Now: func() time.Time { return at },
		Post: func(ev func()) { ev() }, Transport: l, Counters: stub{}, Log: slog.New(slog.DiscardHandler)})
	o.UpdateBackends(logic.ListFull, []Backend{{Server: logic.Server{ID: "a"}, Endpoint: "x:1"}})
	o.Request(Request{ID: "r", Class: "c", Arrived: at, Session: l})
	o.Reconfigure(class(time.Minute))
	assert.Equal(t, class(time.Minute), l.classes)
	o.Request(Request{ID: "s", Class: "c", Arrived: at, Session: l})
	if assert.Len(t, l.started, 2) {
		assert.Equal(t, at.Add(time.Second), l.started[0].Deadline)
		assert.Equal(t, at.Add(time.Minute), l.started[1].Deadline)
	}
}
