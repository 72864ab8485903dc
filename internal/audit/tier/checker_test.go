package tier

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const host = "tier.lab"

var bounds = Bounds{Drain: 3 * time.Second, Apply: 2 * time.Second, Merge: 3 * time.Second, Acknowledge: time.Second, Evacuate: time.Second, Contact: 2 * time.Second, ColdPerWindow: 2}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// wordEvents returns a stream's events with the wordEvents as data.
func wordEvents(all ...string) (events []Event) {
	for i, w := range all {
		events = append(events, Event{ID: fmt.Sprint(i + 1), Data: w})
	}
	return events
}

// validHistory is a history that keeps every rule: an order, a read that ran twice, three turns of
// which the last finds the budget exhausted, two configurations, a server that drains, tallies,
// zones that are evacuated, one that is cut off, and a cold server.
func validHistory() *History {
	routesTo := func(services ...string) []AllowedRoute {
		return []AllowedRoute{{Host: host, Prefix: "/", Services: []string{"tools"}}, {Host: host, Prefix: "/turns/", Services: services}}
	}
	served := func(at float64, seal, body string, events []Event) Answer {
		return Answer{At: seconds(at), First: seconds(at - 0.1), Status: http.StatusOK, Seal: seal, Whole: true, Body: body, Events: events}
	}
	turn := func(attempt, previous, input string, sent float64, a Answer) Request {
		return Request{Attempt: attempt, Kind: Turn, Host: host, Path: "/turns/x", Input: input, Sent: seconds(sent), Answer: a,
			Program: "p", Previous: previous, Budget: 5, Most: 3}
	}
	h := &History{
		Requests: []Request{
			{Attempt: "order", Kind: ToolOrder, Host: host, Path: "/order", Sent: seconds(1), Answer: served(1.2, "t1/1", "done", nil)},
			{Attempt: "read", Kind: ToolRead, Host: host, Path: "/read", Sent: seconds(1), Answer: served(1.5, "t2/1", "seen", nil)},
			turn("one", "", "ask", 2, served(2.5, "e1/1", "", wordEvents("a", "b"))),
			turn("two", "one", "more", 3, served(3.5, "e1/2", "", wordEvents("c"))),
			turn("three", "two", "again", 4, Answer{At: seconds(4.1), Status: http.StatusPaymentRequired, Whole: true}),
		},
		Arrivals: []Arrival{
			{Attempt: "order", Server: "t1", Service: "tools", At: seconds(1.1), Seal: "t1/1", Body: "done", Whole: true},
			{Attempt: "read", Server: "t1", Service: "tools", At: seconds(1.1), Seal: "t1/2", Body: "seen"},
			{Attempt: "read", Server: "t2", Service: "tools", At: seconds(1.2), Seal: "t2/1", Body: "seen", Whole: true},
			{Attempt: "one", Server: "e1", Service: "engines", At: seconds(2.1), Seal: "e1/1", Input: "ask", Events: wordEvents("a", "b"), Whole: true},
			{Attempt: "two", Server: "e2", Service: "engines", At: seconds(3.1), Input: "aska\nb\nmore"},
			{Attempt: "two", Server: "e1", Service: "engines", At: seconds(3.2), Seal: "e1/2", Input: "aska\nb\nmore", Events: wordEvents("c"), Whole: true},
		},
		Configurations: []Configuration{
			{Revision: 1, Body: "first", Routes: routesTo("engines"), Sent: seconds(0.1), Acknowledged: seconds(0.2), Tries: 1},
			{Revision: 2, Base: 1, Body: "second", Routes: routesTo("engines"), Sent: seconds(5), Acknowledged: seconds(5.2), Tries: 2},
		},
		Shown:    []ConfigurationRead{{Asked: seconds(6), At: seconds(6.1), Body: "second"}},
		Draining: map[string]time.Duration{"t1": seconds(0.5)},
		Kills:    []string{"at 1.0 s core-1 is killed"},
	}
	addTallies(h)
	addEvacuations(h)
	addIsolation(h)
	addCold(h)
	return h
}

// request returns the request with an attempt id.
func (h *History) request(attempt string) *Request {
	for i := range h.Requests {
		if h.Requests[i].Attempt == attempt {
			return &h.Requests[i]
		}
	}
	return nil
}

// run returns the arrival with a seal.
func (h *History) run(seal string) *Arrival {
	for i := range h.Arrivals {
		if h.Arrivals[i].Seal == seal {
			return &h.Arrivals[i]
		}
	}
	return nil
}

func TestValidHistoryKeepsAllRules(t *testing.T) {
	for _, v := range Check(validHistory(), bounds) {
		assert.Check(t, v.Checked > 0, "%s: not checked", v.Rule)
		assert.Check(t, v.Broken == 0, "%s: %v", v.Rule, v.Violations)
	}
}

// violation changes the valid history so that it breaks the rules and no others.
type violation struct {
	name   string
	change func(*History)
	breaks []Rule
}

// violations change the valid history so that it breaks the named rules and no others.
var violations = []violation{
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
	{"an order was rejected but had run", func(h *History) {
		h.request("order").Answer = Answer{At: seconds(1.2), Status: http.StatusServiceUnavailable, Whole: true}
	}, []Rule{RejectedNeverRuns}},
	{"a read was rejected with 429 and runs later", func(h *History) {
		h.request("read").Answer = Answer{At: seconds(1.05), Status: http.StatusTooManyRequests, Whole: true}
	}, []Rule{RejectedNeverRuns}},
	{"a turn was rejected for its budget and runs", func(h *History) {
		h.Arrivals = append(h.Arrivals, Arrival{Attempt: "three", Server: "e1", Service: "engines", At: seconds(4.5), Seal: "e1/3", Input: "aska\nb\nmorec\nagain"})
	}, []Rule{RejectedNeverRuns}},
	{"a turn was answered 404 and runs", func(h *History) {
		h.request("one").Answer = Answer{At: seconds(2.05), Status: http.StatusNotFound, Whole: true}
		h.Requests = h.Requests[:3]
		h.Arrivals = h.Arrivals[:4]
	}, []Rule{RejectedNeverRuns}},
	{"a success without a seal", func(h *History) { h.request("order").Answer.Seal = "" }, []Rule{SuccessComplete}},
	{"a success with another run's seal", func(h *History) { h.request("order").Answer.Seal = "t2/1" }, []Rule{SuccessComplete}},
	{"a success with half of its body", func(h *History) { h.request("order").Answer.Body = "do" }, []Rule{SuccessComplete}},
	{"a success whose server had not completed its answer", func(h *History) { h.run("t1/1").Whole = false }, []Rule{SuccessComplete}},
	{"a stream that ends early but looks complete", func(h *History) {
		h.request("two").Answer.Events = nil // this also leaves part of the budget unused
	}, []Rule{SuccessComplete, BudgetRejectionJustified}},
	{"a turn without its history", func(h *History) { h.run("e1/2").Input = "more" }, []Rule{HistoryExact}},
	{"a turn without the line feed after an event", func(h *History) { h.run("e1/2").Input = "askabmore" }, []Rule{HistoryExact}},
	{"a rejected turn had another history", func(h *History) {
		h.Arrivals[4].Input = "ask" + "more"
	}, []Rule{HistoryExact}},
	{"events in the wrong order", func(h *History) {
		e := h.request("one").Answer.Events
		e[0], e[1] = e[1], e[0]
	}, []Rule{SuccessComplete, HistoryExact, EventsInOrder}},
	{"an event is missing in a broken stream", func(h *History) {
		a := &h.request("two").Answer
		a.Whole, a.Events = false, []Event{{ID: "2", Data: "d"}}
		h.run("e1/2").Events = wordEvents("c", "d")
	}, []Rule{EventsInOrder}},
	{"an event that no server wrote", func(h *History) {
		a := &h.request("two").Answer
		a.Whole, a.Events = false, wordEvents("x")
	}, []Rule{EventsInOrder}},
	{"a program receives more than its budget and one turn", func(h *History) {
		many := wordEvents("1", "2", "3", "4", "5", "6", "7", "8", "9")
		h.request("two").Answer.Events, h.run("e1/2").Events = many, many
	}, []Rule{BudgetRespected}},
	{"a program with budget left is rejected with 402", func(h *History) {
		for i := range h.Requests {
			h.Requests[i].Budget *= 2
		}
	}, []Rule{BudgetRejectionJustified}},
	{"a completely answered turn is not found", func(h *History) {
		h.request("three").Answer.Status = http.StatusNotFound
	}, []Rule{TurnFound}},
	{"an acknowledged configuration is lost", func(h *History) { h.Shown[0].Body = "first" }, []Rule{ConfigurationDurable}},
	{"a configuration that nobody sent is read", func(h *History) { h.Shown[0].Body = "other" }, []Rule{ConfigurationDurable}},
	{"a rejected configuration is read", func(h *History) {
		h.Configurations[1].Acknowledged, h.Configurations[1].Refused = 0, true
	}, []Rule{ConfigurationDurable}},
	{"no configuration is read after one was acknowledged", func(h *History) { h.Shown[0].Body = "" }, []Rule{ConfigurationDurable}},
	{"a drained server gets an order", func(h *History) { h.run("t1/1").At = seconds(3.6) }, []Rule{DrainRespected}},
	{"a request goes to a service that no route names", func(h *History) { h.run("t2/1").Service = "engines" }, []Rule{RouteAllowed}},
	{"a request follows a prefix although a longer one matches", func(h *History) { h.run("e1/1").Service = "tools" }, []Rule{RouteAllowed}},
	{"a request follows a configuration that was replaced long ago", func(h *History) {
		h.Configurations[1].Routes = h.Configurations[1].Routes[:1]
		one := h.request("one")
		one.Sent, h.run("e1/1").At, one.Answer.At = seconds(7.3), seconds(7.4), seconds(7.5)
		h.Requests, h.Arrivals = h.Requests[:3], h.Arrivals[:4]
	}, []Rule{RouteAllowed}},
	{"a request follows a configuration that was not sent yet", func(h *History) {
		h.Configurations[0].Routes = h.Configurations[0].Routes[:1]
	}, []Rule{RouteAllowed}},
	{"a server receives a request that no client sent", func(h *History) {
		h.Arrivals = append(h.Arrivals, Arrival{Attempt: "ghost", Server: "t2", Service: "tools", At: seconds(1), Seal: "t2/7"})
	}, []Rule{RouteAllowed}},
}

func TestEachRuleDetectsItsViolations(t *testing.T) {
	broken := map[Rule]bool{}
	for _, b := range slices.Concat(violations, tallyViolations, evacuationViolations, isolationViolations, coldViolations) {
		t.Run(b.name, func(t *testing.T) {
			h := validHistory()
			b.change(h)
			var found []Rule
			for _, v := range Check(h, bounds) {
				if v.Broken > 0 {
					found = append(found, v.Rule)
					broken[v.Rule] = true
					assert.Check(t, len(v.Violations) > 0)
				}
			}
			assert.DeepEqual(t, found, b.breaks)
		})
	}
	for _, r := range allRules {
		assert.Check(t, broken[r], "no history breaks: %s", r)
	}
}

// What can also be explained by allowed behavior must not count as a violation.
func TestAmbiguousObservationIsNoViolation(t *testing.T) {
	for name, change := range map[string]func(*History){
		"an order without an answer may have run": func(h *History) { h.request("order").Answer = Answer{At: seconds(4)} },
		"a server's own 404 is no rejection by the tier": func(h *History) {
			h.request("order").Answer.Status = http.StatusNotFound
		},
		"a configuration with an unknown outcome may be in force": func(h *History) { h.Configurations[1].Acknowledged = 0 },
		"a configuration with an unknown outcome may not be in force": func(h *History) {
			h.Configurations[1].Acknowledged, h.Shown[0].Body = 0, "first"
		},
		"a replaced configuration may be followed within the bound": func(h *History) {
			h.Configurations[1].Routes = h.Configurations[1].Routes[:1]
			h.Configurations[1].Sent, h.Configurations[1].Acknowledged = seconds(1), seconds(1.1)
		},
		"a broken stream may have used its maximum of tokens": func(h *History) {
			h.request("two").Answer.Whole = false
			h.run("e1/2").Whole = false
		},
		"a request for an earlier server at the address is misdirected": func(h *History) {
			h.Arrivals = append(h.Arrivals, Arrival{Attempt: "read", Server: "e1", Service: "engines", At: seconds(1.1), Misdirected: true})
		},
		"a drained server may get orders within the bound": func(h *History) { h.run("t1/1").At = seconds(3.4) },
	} {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			change(h)
			for _, v := range Check(h, bounds) {
				assert.Check(t, v.Broken == 0, "%s: %v", v.Rule, v.Violations)
			}
		})
	}
}

func TestReportCountsAndPrints(t *testing.T) {
	h := validHistory()
	h.Requests = append(h.Requests, Request{Attempt: "cut", Kind: ToolOrder, Host: host, Path: "/order", Answer: Answer{Status: http.StatusOK}})
	r := Summarize(h, bounds)
	assert.Check(t, r.Clean())
	assert.Equal(t, r.Kinds[Turn].Served, 2)
	assert.Equal(t, r.Kinds[Turn].Rejected, 1)
	assert.Equal(t, r.Kinds[ToolOrder].Failed, 1)
	assert.Equal(t, r.Statuses[ToolOrder][0], 1)
	assert.Equal(t, r.ContinuedTurns, 1)
	assert.Equal(t, r.BudgetExhausted, 1)
	assert.Equal(t, r.ConfigurationAttempts, 3)
	assert.Check(t, r.Kinds[Turn].Latency.Max > 499 && r.Kinds[Turn].Latency.Max < 501)
	var text bytes.Buffer
	r.Print(&text)
	for _, line := range []string{"trouble: at 1.0 s core-1 is killed", "configurations: 2 ordered in 3 sends, 2 acknowledged",
		"tallies: 4 adds, 3 of them acknowledged; calls that add, by status (0: no whole answer): 0: 2, 200: 3, 503: 1; that read: 200: 5", "order: at 1.400 s zone-c is to be evacuated, sent 2 times, acknowledged at 1.500 s"} {
		assert.Check(t, strings.Contains(text.String(), line), text.String())
	}
	h.Shown[0].Body = "first"
	broken := Summarize(h, bounds)
	assert.Check(t, !broken.Clean())
	text.Reset()
	broken.Print(&text)
	assert.Check(t, strings.Contains(text.String(), "broken: "+string(ConfigurationDurable)), text.String())
}

func TestRecorderCollectsHistory(t *testing.T) {
	r := NewRecorder()
	no := r.RecordArrival(Arrival{Attempt: "one", Seal: "e/1"})
	r.RecordEvent(no, Event{ID: "1", Data: "a"})
	r.RecordFinished(no)
	r.RecordRequest(Request{Attempt: "one", Answer: Answer{Status: http.StatusOK, Whole: true}})
	r.RecordRequest(Request{Attempt: "two"})
	order := r.RecordOrder(Configuration{Revision: 1})
	r.RecordOrderResult(order, seconds(1), false, 2)
	r.RecordReadBack(ConfigurationRead{Body: "x"})
	r.RecordDraining("e")
	first := r.History().Draining["e"]
	r.RecordDraining("e")
	r.RecordFault("e")
	r.RecordCold("e", time.Second)
	r.RecordReadiness("edge-1", true)
	r.RecordIsolation(Isolation{Zone: "zone-a"})
	r.RecordStart("core-1")
	r.RecordDisruption(Disruption{Machine: "core-1"})
	r.RecordTallyAdd(TallyAdd{Member: "one"})
	r.RecordTallyRead(TallyRead{Tally: "t"})
	ended, served := r.Counts()
	h := r.History()
	assert.Equal(t, ended, 2)
	assert.Equal(t, served, 1)
	assert.DeepEqual(t, h.Arrivals, []Arrival{{Attempt: "one", Seal: "e/1", Events: wordEvents("a"), Whole: true}})
	assert.DeepEqual(t, h.Configurations, []Configuration{{Revision: 1, Acknowledged: seconds(1), Tries: 2}})
	assert.Equal(t, h.Draining["e"], first)
	assert.Equal(t, len(h.Shown)+len(h.Kills), 2)
	assert.Check(t, h.Disruptions[0].Until >= h.Starts["core-1"][0])
	assert.Equal(t, len(h.TallyAdds)+len(h.TallyReads), 2)
	assert.Equal(t, h.Cold[0].Until-h.Cold[0].From, time.Second)
	assert.Check(t, h.Isolations[0].Until >= h.Readiness[0].At && h.Readiness[0].Ready)
}

// A person reads counts by status, in the order of the status.
func TestFormatCountsOrdersByStatus(t *testing.T) {
	assert.Equal(t, formatCounts(map[int]int{503: 2, 0: 1, 200: 2414}), "0: 1, 200: 2414, 503: 2")
}
