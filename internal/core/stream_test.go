package core

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakseam/logic"
)

// countingReply counts how often it was closed.
type countingReply struct{ closed int }

func (c *countingReply) Close() error { c.closed++; return nil }

// twoAttempts is an engine whose module sends each request twice, to a and b, and otherwise
// takes the actions that the test provides.
type twoAttempts struct {
	*scripted
	engine   *Engine
	now      time.Time
	canceled []int // attempts
}

func (s *twoAttempts) Start(a Attempt, done func(AttemptResult)) func() {
	n := len(s.started)
	s.scripted.Start(a, done)
	return func() { s.canceled = append(s.canceled, n) }
}

func newTwoAttempts(handle func(ev logic.Event) []logic.Action) *twoAttempts {
	s := &twoAttempts{now: time.Unix(1000, 0)}
	s.scripted = &scripted{handle: func(ev logic.Event) []logic.Action {
		if _, ok := ev.(logic.Request); ok {
			return []logic.Action{logic.Send{ID: "r", Server: "a"}, logic.Send{ID: "r", Server: "b"}}
		}
		if handle == nil {
			return nil
		}
		return handle(ev)
	}}
	s.engine = s.newEngine(logic.Class{Name: "c", Deadline: 5 * time.Second}, &s.now)
	s.engine.env.Transport = s
	s.engine.Request(Request{ID: "r", Class: "c", Arrived: s.now, Session: s.scripted})
	s.events = nil
	return s
}

func (s *twoAttempts) advance(d time.Duration) time.Time {
	s.now = s.now.Add(d)
	return s.now
}

// The start of a stream answers the request and is reported to the module once. Its end is
// reported once, as final, with the latency of the start. The end of the second attempt in
// between must not finish the request.
func TestStreamStartAndEndReachModuleOnce(t *testing.T) {
	for name, result := range map[string]logic.Result{"complete": logic.OK, "broken off": logic.Reset, "canceled": logic.Canceled, "timed out": logic.TimedOut} {
		s, reply, second := newTwoAttempts(nil), &countingReply{}, &countingReply{}
		s.finish[0](AttemptResult{Result: logic.OK, Streaming: true, Reply: reply, LoadReport: []float64{2}, At: s.advance(time.Second)})
		require.Equal(t, []Answer{{Kind: Served, Reply: reply, Attempts: 2, Server: "a"}}, s.answers, name)
		assert.Equal(t, []logic.Event{
			logic.Started{ID: "r", Server: "a", Latency: time.Second},
			logic.Probed{Server: "a", Latency: time.Second, Report: []float64{2}},
		}, s.events, name)
		s.events = nil

		s.finish[1](AttemptResult{Result: logic.OK, Streaming: true, Reply: second, At: s.advance(time.Second)})
		assert.Equal(t, 1, second.closed, "%s: the second stream is closed", name)
		assert.Empty(t, s.events, name)
		s.finish[1](AttemptResult{Result: logic.Canceled, At: s.advance(time.Second)})
		assert.Equal(t, []logic.Event{logic.Outcome{ID: "r", Attempt: 1, Result: logic.Canceled, Server: "b", Latency: 2 * time.Second}}, s.events, name)
		s.events = nil
		assert.NotEmpty(t, s.engine.requests, name)

		s.finish[0](AttemptResult{Result: result, At: s.advance(time.Minute)})
		assert.Equal(t, []logic.Event{logic.Outcome{ID: "r", Result: result, Final: true, Server: "a", Latency: time.Second}}, s.events, name)
		assert.Len(t, s.answers, 1, name)
		assert.Zero(t, reply.closed, "%s: only the session closes the answer", name)
		assert.Empty(t, s.engine.requests, name)
	}
}

// A stream that starts after the client has left must be closed: nobody reads it.
func TestStreamAfterClientGoneIsClosed(t *testing.T) {
	s, reply := newTwoAttempts(nil), &countingReply{}
	s.engine.ClientGone("r", s.scripted)
	s.finish[0](AttemptResult{Result: logic.OK, Streaming: true, Reply: reply, At: s.now})
	assert.Equal(t, 1, reply.closed)
	assert.Empty(t, s.answers)
	assert.Equal(t, []logic.Event{logic.ClientGone{ID: "r"}}, s.events)
}

// A module's Cancel must end only the other attempts, never the stream that is the answer.
func TestAnswerStreamIsNotCanceled(t *testing.T) {
	s := newTwoAttempts(func(ev logic.Event) []logic.Action {
		if _, ok := ev.(logic.Started); ok {
			return []logic.Action{logic.Cancel{ID: "r", Attempt: 0}, logic.Cancel{ID: "r", Attempt: 1}}
		}
		return nil
	})
	s.finish[0](AttemptResult{Result: logic.OK, Streaming: true, Reply: &countingReply{}, At: s.now})
	assert.Equal(t, []int{1}, s.canceled)
}

// The latest failure to be passed on is the answer if the module gives the request up, and
// must be closed in all other cases.
func TestLatestFailureIsPassedOn(t *testing.T) {
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
		want   Answer // its Reply is set below to the second failure, where that is passed on
	}{
		"fails":                {logic.Fail{ID: "r"}, true, AttemptResult{Result: logic.Failed, PassThrough: true}, Answer{Kind: Failed, Attempts: 2}},
		"rejects":              {logic.Reject{ID: "r", RetryAfter: time.Second}, true, AttemptResult{Result: logic.Failed, PassThrough: true}, Answer{Kind: Failed, Attempts: 2}},
		"other attempt served": {logic.Fail{ID: "r"}, true, AttemptResult{Result: logic.OK}, Answer{Kind: Served, Attempts: 2}},
		"nothing to pass on":   {logic.Reject{ID: "r", RetryAfter: time.Second}, false, AttemptResult{Result: logic.Failed}, Answer{Kind: Rejected, RetryAfter: time.Second, MayHaveRun: true, Attempts: 2}},
	} {
		s := newTwoAttempts(giveUp(tt.action))
		first, second := &countingReply{}, &countingReply{}
		s.finish[0](AttemptResult{Result: logic.Failed, PassThrough: tt.pass, Reply: first, At: s.now})
		assert.Empty(t, s.answers, name)
		tt.second.Reply, tt.second.At = second, s.now
		s.finish[1](tt.second)
		if tt.want.Kind != Rejected {
			tt.want.Reply = second
		}
		assert.Equal(t, []Answer{tt.want}, s.answers, name)
		assert.Equal(t, 1, first.closed, "%s: the older failure is closed", name)
		closed := 0
		if tt.want.Kind == Rejected {
			closed = 1
		}
		assert.Equal(t, closed, second.closed, name)
		assert.Empty(t, s.engine.requests, name)
	}
}

// An earlier failure is the answer if the last attempt has none, and must be closed where
// the client leaves.
func TestEarlierFailureIsPassedOn(t *testing.T) {
	s, first := newTwoAttempts(func(ev logic.Event) []logic.Action {
		if e, ok := ev.(logic.Outcome); ok && e.Result == logic.TimedOut {
			return []logic.Action{logic.Fail{ID: "r"}}
		}
		return nil
	}), &countingReply{}
	s.finish[0](AttemptResult{Result: logic.Failed, PassThrough: true, Reply: first, At: s.now})
	s.finish[1](AttemptResult{Result: logic.TimedOut, At: s.now})
	assert.Equal(t, []Answer{{Kind: Failed, Reply: first, Attempts: 2}}, s.answers)
	assert.Zero(t, first.closed)

	s, first = newTwoAttempts(nil), &countingReply{}
	s.finish[0](AttemptResult{Result: logic.Failed, PassThrough: true, Reply: first, At: s.now})
	s.engine.ClientGone("r", s.scripted)
	assert.Equal(t, 1, first.closed)
	assert.Empty(t, s.answers)
}

// reconfigurableModule accepts new classes and asks for a list, though there is no registry.
type reconfigurableModule struct {
	scripted
	classes []logic.Class
}

func (m *reconfigurableModule) SetClasses(c []logic.Class) error { m.classes = c; return nil }

// New classes apply to requests that arrive later. An engine without a registry must not call one.
func TestReconfigureWithoutRegistry(t *testing.T) {
	at := time.Unix(1000, 0)
	m := &reconfigurableModule{scripted: scripted{handle: func(ev logic.Event) []logic.Action {
		if q, ok := ev.(logic.Request); ok {
			return []logic.Action{logic.Subscribe{}, logic.Fetch{}, logic.Send{ID: q.ID, Server: "a", Timeout: time.Hour}}
		}
		return nil
	}}}
	class := func(deadline time.Duration) []logic.Class { return []logic.Class{{Name: "c", Deadline: deadline}} }
	engine := NewEngine(m, logic.Settings{Classes: class(time.Second)}, Environment{Now: func() time.Time { return at },
		Post: func(event func()) { event() }, Transport: m, Counters: stub{}, Log: slog.New(slog.DiscardHandler)})
	engine.UpdateBackends(logic.ListFull, []Backend{{Server: logic.Server{ID: "a"}, Endpoint: "x:1"}})
	engine.Request(Request{ID: "r", Class: "c", Arrived: at, Session: m})
	engine.Reconfigure(class(time.Minute))
	assert.Equal(t, class(time.Minute), m.classes)
	engine.Request(Request{ID: "s", Class: "c", Arrived: at, Session: m})
	if assert.Len(t, m.started, 2) {
		assert.Equal(t, at.Add(time.Second), m.started[0].Deadline)
		assert.Equal(t, at.Add(time.Minute), m.started[1].Deadline)
	}
}
