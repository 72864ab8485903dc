package tier

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const host = "tier.lab"

var bounds = Bounds{Drain: 3 * time.Second, Apply: 2 * time.Second}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// words are a stream's events.
func words(all ...string) (events []Event) {
	for i, w := range all {
		events = append(events, Event{ID: fmt.Sprint(i + 1), Data: w})
	}
	return events
}

// calm is a history that keeps every rule: an order, a read that ran twice, three turns of
// which the last finds the budget spent, two configurations, and a server that drains.
func calm() *History {
	leads := func(services ...string) []Allowed {
		return []Allowed{{Host: host, Prefix: "/", Services: []string{"tools"}}, {Host: host, Prefix: "/turns/", Services: services}}
	}
	served := func(at float64, seal, body string, events []Event) Answer {
		return Answer{At: seconds(at), First: seconds(at - 0.1), Status: http.StatusOK, Seal: seal, Whole: true, Body: body, Events: events}
	}
	turn := func(attempt, previous, input string, sent float64, a Answer) Request {
		return Request{Attempt: attempt, Kind: Turn, Host: host, Path: "/turns/x", Input: input, Sent: seconds(sent), Answer: a,
			Program: "p", Previous: previous, Budget: 5, Most: 3}
	}
	return &History{
		Requests: []Request{
			{Attempt: "order", Kind: Order, Host: host, Path: "/order", Sent: seconds(1), Answer: served(1.2, "t1/1", "done", nil)},
			{Attempt: "read", Kind: Read, Host: host, Path: "/read", Sent: seconds(1), Answer: served(1.5, "t2/1", "seen", nil)},
			turn("one", "", "ask", 2, served(2.5, "e1/1", "", words("a", "b"))),
			turn("two", "one", "more", 3, served(3.5, "e1/2", "", words("c"))),
			turn("three", "two", "again", 4, Answer{At: seconds(4.1), Status: http.StatusPaymentRequired, Whole: true}),
		},
		Arrivals: []Arrival{
			{Attempt: "order", Server: "t1", Service: "tools", At: seconds(1.1), Seal: "t1/1", Body: "done", Whole: true},
			{Attempt: "read", Server: "t1", Service: "tools", At: seconds(1.1), Seal: "t1/2", Body: "seen"},
			{Attempt: "read", Server: "t2", Service: "tools", At: seconds(1.2), Seal: "t2/1", Body: "seen", Whole: true},
			{Attempt: "one", Server: "e1", Service: "engines", At: seconds(2.1), Seal: "e1/1", Input: "ask", Events: words("a", "b"), Whole: true},
			{Attempt: "two", Server: "e2", Service: "engines", At: seconds(3.1), Input: "aska\nb\nmore"},
			{Attempt: "two", Server: "e1", Service: "engines", At: seconds(3.2), Seal: "e1/2", Input: "aska\nb\nmore", Events: words("c"), Whole: true},
		},
		Configurations: []Configuration{
			{Revision: 1, Body: "first", Routes: leads("engines"), Sent: seconds(0.1), Acknowledged: seconds(0.2), Tries: 1},
			{Revision: 2, Base: 1, Body: "second", Routes: leads("engines"), Sent: seconds(5), Acknowledged: seconds(5.2), Tries: 2},
		},
		Shown:    []Shown{{Asked: seconds(6), At: seconds(6.1), Body: "second"}},
		Draining: map[string]time.Duration{"t1": seconds(0.5)},
		Kills:    []string{"at 1.0 s core-1 is killed"},
	}
}

// request returns a request of the calm history.
func (h *History) request(attempt string) *Request {
	for i := range h.Requests {
		if h.Requests[i].Attempt == attempt {
			return &h.Requests[i]
		}
	}
	return nil
}

// run returns the arrival of a seal.
func (h *History) run(seal string) *Arrival {
	for i := range h.Arrivals {
		if h.Arrivals[i].Seal == seal {
			return &h.Arrivals[i]
		}
	}
	return nil
}

func TestCalmHistoryKeepsAllRules(t *testing.T) {
	for _, v := range Judge(calm(), bounds) {
		assert.Check(t, v.Checked > 0, "%s: not checked", v.Rule)
		assert.Check(t, v.Broken == 0, "%s: %v", v.Rule, v.Why)
	}
}

// breaches change the calm history so that it breaks one rule, and no other but those named.
var breaches = []struct {
	name   string
	change func(*History)
	breaks []Rule
}{
	{"an order runs twice", func(h *History) {
		again := *h.run("t1/1")
		again.Seal, again.Server = "t2/9", "t2"
		h.Arrivals = append(h.Arrivals, again)
	}, []Rule{RunsOnce}},
	{"a turn runs twice", func(h *History) {
		again := *h.run("e1/1")
		again.Seal, again.Server = "e2/9", "e2"
		h.Arrivals = append(h.Arrivals, again)
	}, []Rule{RunsOnce}},
	{"an order was refused and had run", func(h *History) {
		h.request("order").Answer = Answer{At: seconds(1.2), Status: http.StatusServiceUnavailable, Whole: true}
	}, []Rule{RefusedIsOff}},
	{"a read was refused with 429 and runs later", func(h *History) {
		h.request("read").Answer = Answer{At: seconds(1.05), Status: http.StatusTooManyRequests, Whole: true}
	}, []Rule{RefusedIsOff}},
	{"a turn was refused for its budget and runs", func(h *History) {
		h.Arrivals = append(h.Arrivals, Arrival{Attempt: "three", Server: "e1", Service: "engines", At: seconds(4.5), Seal: "e1/3", Input: "aska\nb\nmorec\nagain"})
	}, []Rule{RefusedIsOff}},
	{"a turn was answered 404 and runs", func(h *History) {
		h.request("one").Answer = Answer{At: seconds(2.05), Status: http.StatusNotFound, Whole: true}
		h.Requests = h.Requests[:3]
		h.Arrivals = h.Arrivals[:4]
	}, []Rule{RefusedIsOff}},
	{"a success without a seal", func(h *History) { h.request("order").Answer.Seal = "" }, []Rule{SuccessWhole}},
	{"a success with another run's seal", func(h *History) { h.request("order").Answer.Seal = "t2/1" }, []Rule{SuccessWhole}},
	{"a success with half of its body", func(h *History) { h.request("order").Answer.Body = "do" }, []Rule{SuccessWhole}},
	{"a success that its server had not ended", func(h *History) { h.run("t1/1").Whole = false }, []Rule{SuccessWhole}},
	{"a stream that ends early as if it were whole", func(h *History) {
		h.request("two").Answer.Events = nil // the rest of the budget would be left, too
	}, []Rule{SuccessWhole, BudgetGiven}},
	{"a turn without what was said before", func(h *History) { h.run("e1/2").Input = "more" }, []Rule{ChainExact}},
	{"a turn without the line feed behind an event", func(h *History) { h.run("e1/2").Input = "askabmore" }, []Rule{ChainExact}},
	{"a turn that was turned away came with another chain", func(h *History) {
		h.Arrivals[4].Input = "ask" + "more"
	}, []Rule{ChainExact}},
	{"events change places", func(h *History) {
		e := h.request("one").Answer.Events
		e[0], e[1] = e[1], e[0]
	}, []Rule{SuccessWhole, ChainExact, EventsInOrder}},
	{"an event is missing in a stream that broke", func(h *History) {
		a := &h.request("two").Answer
		a.Whole, a.Events = false, []Event{{ID: "2", Data: "d"}}
		h.run("e1/2").Events = words("c", "d")
	}, []Rule{EventsInOrder}},
	{"an event says what no server wrote", func(h *History) {
		a := &h.request("two").Answer
		a.Whole, a.Events = false, words("x")
	}, []Rule{EventsInOrder}},
	{"a program is handed more than its budget and one turn", func(h *History) {
		many := words("1", "2", "3", "4", "5", "6", "7", "8", "9")
		h.request("two").Answer.Events, h.run("e1/2").Events = many, many
	}, []Rule{BudgetKept}},
	{"a program with budget left is told that it is spent", func(h *History) {
		for i := range h.Requests {
			h.Requests[i].Budget *= 2
		}
	}, []Rule{BudgetGiven}},
	{"a turn that was answered whole is not found", func(h *History) {
		h.request("three").Answer.Status = http.StatusNotFound
	}, []Rule{TurnFound}},
	{"an acknowledged configuration is lost", func(h *History) { h.Shown[0].Body = "first" }, []Rule{OrderKept}},
	{"a configuration that nobody sent is read", func(h *History) { h.Shown[0].Body = "other" }, []Rule{OrderKept}},
	{"a configuration that was refused is read", func(h *History) {
		h.Configurations[1].Acknowledged, h.Configurations[1].Refused = 0, true
	}, []Rule{OrderKept}},
	{"no configuration is read after one was acknowledged", func(h *History) { h.Shown[0].Body = "" }, []Rule{OrderKept}},
	{"a drained server gets an order", func(h *History) { h.run("t1/1").At = seconds(3.6) }, []Rule{DrainKept}},
	{"a request goes to a service that no route names", func(h *History) { h.run("t2/1").Service = "engines" }, []Rule{RouteAllowed}},
	{"a request goes by a prefix that a longer one overrules", func(h *History) { h.run("e1/1").Service = "tools" }, []Rule{RouteAllowed}},
	{"a request goes by a configuration that was replaced long ago", func(h *History) {
		h.Configurations[1].Routes = h.Configurations[1].Routes[:1]
		one := h.request("one")
		one.Sent, h.run("e1/1").At, one.Answer.At = seconds(7.3), seconds(7.4), seconds(7.5)
		h.Requests, h.Arrivals = h.Requests[:3], h.Arrivals[:4]
	}, []Rule{RouteAllowed}},
	{"a request goes by a configuration that is yet to be sent", func(h *History) {
		h.Configurations[0].Routes = h.Configurations[0].Routes[:1]
	}, []Rule{RouteAllowed}},
	{"a server got what no client sent", func(h *History) {
		h.Arrivals = append(h.Arrivals, Arrival{Attempt: "ghost", Server: "t2", Service: "tools", At: seconds(1), Seal: "t2/7"})
	}, []Rule{RouteAllowed}},
}

func TestEachRuleIsBroken(t *testing.T) {
	broken := map[Rule]bool{}
	for _, b := range breaches {
		t.Run(b.name, func(t *testing.T) {
			h := calm()
			b.change(h)
			var found []Rule
			for _, v := range Judge(h, bounds) {
				if v.Broken > 0 {
					found = append(found, v.Rule)
					broken[v.Rule] = true
					assert.Check(t, len(v.Why) > 0)
				}
			}
			assert.DeepEqual(t, found, b.breaks)
		})
	}
	for _, r := range allRules {
		assert.Check(t, broken[r], "no history breaks: %s", r)
	}
}

// What is doubtful is not held against the tier.
func TestDoubtIsNoBreach(t *testing.T) {
	for name, change := range map[string]func(*History){
		"an order without an answer may have run": func(h *History) { h.request("order").Answer = Answer{At: seconds(4)} },
		"a server's own 404 is no refusal of the tier": func(h *History) {
			h.request("order").Answer.Status = http.StatusNotFound
		},
		"an order that was never decided may be read": func(h *History) { h.Configurations[1].Acknowledged = 0 },
		"an order that was never decided may be void": func(h *History) {
			h.Configurations[1].Acknowledged, h.Shown[0].Body = 0, "first"
		},
		"a replaced configuration holds on for its bound": func(h *History) {
			h.Configurations[1].Routes = h.Configurations[1].Routes[:1]
			h.Configurations[1].Sent, h.Configurations[1].Acknowledged = seconds(1), seconds(1.1)
		},
		"a stream that broke may have cost its most": func(h *History) {
			h.request("two").Answer.Whole = false
			h.run("e1/2").Whole = false
		},
		"what was meant for an earlier server at the address went astray": func(h *History) {
			h.Arrivals = append(h.Arrivals, Arrival{Attempt: "read", Server: "e1", Service: "engines", At: seconds(1.1), Misdirected: true})
		},
		"a drained server may get orders within the bound": func(h *History) { h.run("t1/1").At = seconds(3.4) },
	} {
		t.Run(name, func(t *testing.T) {
			h := calm()
			change(h)
			for _, v := range Judge(h, bounds) {
				assert.Check(t, v.Broken == 0, "%s: %v", v.Rule, v.Why)
			}
		})
	}
}

func TestReportCountsAndPrints(t *testing.T) {
	h := calm()
	h.Requests = append(h.Requests, Request{Attempt: "cut", Kind: Order, Host: host, Path: "/order", Answer: Answer{Status: http.StatusOK}})
	r := Sum(h, bounds)
	assert.Check(t, r.Clean())
	assert.Equal(t, r.Kinds[Turn].Served, 2)
	assert.Equal(t, r.Kinds[Turn].Refused, 1)
	assert.Equal(t, r.Kinds[Order].Failed, 1)
	assert.Equal(t, r.Statuses[Order][0], 1)
	assert.Equal(t, r.GoneOn, 1)
	assert.Equal(t, r.Spent, 1)
	assert.Equal(t, r.Tries, 3)
	assert.Check(t, r.Kinds[Turn].Latency.Max > 499 && r.Kinds[Turn].Latency.Max < 501)
	var text bytes.Buffer
	r.Print(&text)
	for _, line := range []string{"trouble: at 1.0 s core-1 is killed", "configurations: 2 ordered in 3 sends, 2 acknowledged"} {
		assert.Check(t, strings.Contains(text.String(), line), text.String())
	}
	h.Shown[0].Body = "first"
	broken := Sum(h, bounds)
	assert.Check(t, !broken.Clean())
	text.Reset()
	broken.Print(&text)
	assert.Check(t, strings.Contains(text.String(), "broken: "+string(OrderKept)), text.String())
}

func TestRecorderGathers(t *testing.T) {
	r := NewRecorder()
	no := r.Arrived(Arrival{Attempt: "one", Seal: "e/1"})
	r.Wrote(no, Event{ID: "1", Data: "a"})
	r.Finished(no)
	r.Requested(Request{Attempt: "one", Answer: Answer{Status: http.StatusOK, Whole: true}})
	r.Requested(Request{Attempt: "two"})
	order := r.Ordered(Configuration{Revision: 1})
	r.Decided(order, seconds(1), false, 2)
	r.ReadBack(Shown{Body: "x"})
	r.ListedDraining("e")
	first := r.History().Draining["e"]
	r.ListedDraining("e")
	r.Killed("e")
	ended, served := r.Counts()
	h := r.History()
	assert.Equal(t, ended, 2)
	assert.Equal(t, served, 1)
	assert.DeepEqual(t, h.Arrivals, []Arrival{{Attempt: "one", Seal: "e/1", Events: words("a"), Whole: true}})
	assert.DeepEqual(t, h.Configurations, []Configuration{{Revision: 1, Acknowledged: seconds(1), Tries: 2}})
	assert.Equal(t, h.Draining["e"], first)
	assert.Equal(t, len(h.Shown)+len(h.Kills), 2)
}
