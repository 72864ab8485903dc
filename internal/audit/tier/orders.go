package tier

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// program sums up what the turns of one program were handed.
type program struct {
	name    string
	budget  uint64
	most    uint64 // of one turn
	handed  uint64
	refused []*Request // with 402
	turns   []*Request
}

func (j *judge) programs() []*program {
	byName := map[string]*program{}
	var all []*program
	for i := range j.history.Requests {
		q := &j.history.Requests[i]
		if q.Kind != Turn || q.Budget == 0 {
			continue
		}
		p := byName[q.Program]
		if p == nil {
			p = &program{name: q.Program, budget: q.Budget}
			byName[q.Program] = p
			all = append(all, p)
		}
		p.most = max(p.most, q.Most)
		p.handed += uint64(len(q.Answer.Events))
		p.turns = append(p.turns, q)
		if q.Answer.Status == http.StatusPaymentRequired {
			p.refused = append(p.refused, q)
		}
	}
	return all
}

func (j *judge) budgets() {
	for _, p := range j.programs() {
		j.check(BudgetKept, p.handed <= p.budget+p.most, "program %s was handed %d tokens: its budget is %d, and no turn's most is above %d",
			p.name, p.handed, p.budget, p.most)
		for _, q := range p.refused {
			used := p.usedAtMost(q)
			j.check(BudgetGiven, used+q.Most > p.budget, "%s was answered 402: at most %d of %d tokens could be used or reserved, and it asked for %d",
				q.describe(), used, p.budget, q.Most)
		}
	}
}

// usedAtMost is what may have been put out or reserved for the program while a request
// was open: a turn that did not end whole, or not before, may count at its most.
func (p *program) usedAtMost(by *Request) uint64 {
	var used uint64
	for _, q := range p.turns {
		switch {
		case q == by || q.Sent > by.Answer.At || q.Refused():
		case q.Served() && q.Answer.At < by.Sent:
			used += uint64(len(q.Answer.Events))
		default:
			used += q.Most
		}
	}
	return used
}

// orders holds what was read back against what was acknowledged. An order whose outcome
// the operator never learned may be in force or not.
func (j *judge) orders() {
	order := j.history.Configurations
	for _, shown := range j.history.Shown {
		newest := -1 // of those that were acknowledged before the question
		for i, c := range order {
			if c.Acknowledged != 0 && c.Acknowledged <= shown.Asked {
				newest = i
			}
		}
		got := slices.IndexFunc(order, func(c Configuration) bool { return c.Body == shown.Body })
		switch {
		case got < 0:
			j.check(OrderKept, newest < 0 && shown.Body == "", "at %s %d bytes were read that nobody sent", at(shown.At), len(shown.Body))
		case order[got].Sent > shown.At || order[got].Refused:
			j.check(OrderKept, false, "at %s revision %d was read, which was not sent yet or was refused", at(shown.At), order[got].Revision)
		default:
			j.check(OrderKept, got >= newest, "at %s revision %d was read, after revision %d was acknowledged at %s", at(shown.At),
				order[got].Revision, order[max(newest, 0)].Revision, at(order[max(newest, 0)].Acknowledged))
		}
	}
}

// allowed looks whether, at some moment between a client's sending and the arrival, a
// configuration was or may have been in force that sends the request there.
func (j *judge) allowed(a *Arrival) {
	q := j.requests[a.Attempt]
	if q == nil {
		j.check(RouteAllowed, false, "%s came to %s, and no client sent it", a.Attempt, a.Server)
		return
	}
	holds := false
	for i := range j.history.Configurations {
		c := &j.history.Configurations[i]
		holds = holds || c.Sent <= a.At && j.until(i) >= q.Sent && c.leads(q.Host, q.Path, a.Service)
	}
	j.check(RouteAllowed, holds, "%s came to %s of %s at %s: no configuration leads there", q.describe(), a.Server, a.Service, at(a.At))
}

// forever is after each history's end.
const forever = time.Duration(1<<63 - 1)

// until is when a configuration can be in force at the latest.
func (j *judge) until(number int) time.Duration {
	for _, c := range j.history.Configurations[number+1:] {
		if c.Acknowledged != 0 {
			return c.Acknowledged + j.bounds.Apply
		}
	}
	return forever
}

// leads tells whether the route of the longest prefix may lead to a service.
func (c *Configuration) leads(host, path, service string) bool {
	best := -1
	for i, r := range c.Routes {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best < 0 || len(r.Prefix) > len(c.Routes[best].Prefix)) {
			best = i
		}
	}
	return best >= 0 && slices.Contains(c.Routes[best].Services, service)
}
