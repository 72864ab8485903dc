package tier

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// program is what the turns of one program delivered together.
type program struct {
	name      string
	budget    uint64
	maxTurn   uint64     // largest maximum of a single turn
	delivered uint64     // tokens
	rejected  []*Request // turns answered with status 402
	turns     []*Request
}

func (c *checker) programs() []*program {
	byName := map[string]*program{}
	var all []*program
	for i := range c.history.Requests {
		q := &c.history.Requests[i]
		if q.Kind != Turn || q.Budget == 0 {
			continue
		}
		p := byName[q.Program]
		if p == nil {
			p = &program{name: q.Program, budget: q.Budget}
			byName[q.Program] = p
			all = append(all, p)
		}
		p.maxTurn = max(p.maxTurn, q.Most)
		p.delivered += uint64(len(q.Answer.Events))
		p.turns = append(p.turns, q)
		if q.Answer.Status == http.StatusPaymentRequired {
			p.rejected = append(p.rejected, q)
		}
	}
	return all
}

func (c *checker) checkBudgets() {
	for _, p := range c.programs() {
		c.check(BudgetRespected, p.delivered <= p.budget+p.maxTurn, "program %s received %d tokens: its budget is %d, and no turn may output more than %d",
			p.name, p.delivered, p.budget, p.maxTurn)
		for _, q := range p.rejected {
			used := p.maxUsed(q)
			c.check(BudgetRejectionJustified, used+q.Most > p.budget, "%s was answered with status 402: at most %d of %d tokens could be used or reserved, and it asked for %d",
				q.describe(), used, p.budget, q.Most)
		}
	}
}

// maxUsed returns the most tokens that may have been output or reserved for the program while a
// request was open. A turn that was not answered completely before the request may count with its
// maximum.
func (p *program) maxUsed(by *Request) uint64 {
	var used uint64
	for _, q := range p.turns {
		switch {
		case q == by || q.Sent > by.Answer.At || q.Rejected():
		case q.Served() && q.Answer.At < by.Sent:
			used += uint64(len(q.Answer.Events))
		default:
			used += q.Most
		}
	}
	return used
}

// checkConfigurations compares what was read back with what was acknowledged. An order with an
// unknown outcome may or may not be in force.
func (c *checker) checkConfigurations() {
	orders := c.history.Configurations
	for _, shown := range c.history.Shown {
		newest := -1 // of those acknowledged before the read began
		for i, order := range orders {
			if order.Acknowledged != 0 && order.Acknowledged <= shown.Asked {
				newest = i
			}
		}
		got := slices.IndexFunc(orders, func(order Configuration) bool { return order.Body == shown.Body })
		switch {
		case got < 0:
			c.check(ConfigurationDurable, newest < 0 && shown.Body == "", "at %s a configuration of %d bytes was read that nobody sent", formatTime(shown.At), len(shown.Body))
		case orders[got].Sent > shown.At || orders[got].Refused:
			c.check(ConfigurationDurable, false, "at %s revision %d was read, which had not been sent yet or had been rejected", formatTime(shown.At), orders[got].Revision)
		default:
			c.check(ConfigurationDurable, got >= newest, "at %s revision %d was read, after revision %d was acknowledged at %s", formatTime(shown.At),
				orders[got].Revision, orders[max(newest, 0)].Revision, formatTime(orders[max(newest, 0)].Acknowledged))
		}
	}
}

// checkRoute checks whether some configuration leads the request to the server, and was or may have
// been in force at a moment between the client's sending and the arrival.
func (c *checker) checkRoute(a *Arrival) {
	q := c.requests[a.Attempt]
	if q == nil {
		c.check(RouteAllowed, false, "%s arrived at %s, but no client sent it", a.Attempt, a.Server)
		return
	}
	holds := false
	for i := range c.history.Configurations {
		configuration := &c.history.Configurations[i]
		holds = holds || configuration.Sent <= a.At && c.inForceUntil(i) >= q.Sent && configuration.leadsTo(q.Host, q.Path, a.Service)
	}
	c.check(RouteAllowed, holds, "%s arrived at %s of %s at %s: no configuration leads there", q.describe(), a.Server, a.Service, formatTime(a.At))
}

// forever is after the end of every history.
const forever = time.Duration(1<<63 - 1)

// inForceUntil returns the latest time at which a configuration can be in force.
func (c *checker) inForceUntil(number int) time.Duration {
	for _, next := range c.history.Configurations[number+1:] {
		if next.Acknowledged != 0 {
			return next.Acknowledged + c.bounds.Apply
		}
	}
	return forever
}

// leadsTo reports whether the matching route with the longest prefix may lead to a service.
func (c *Configuration) leadsTo(host, path, service string) bool {
	best := -1
	for i, r := range c.Routes {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best < 0 || len(r.Prefix) > len(c.Routes[best].Prefix)) {
			best = i
		}
	}
	return best >= 0 && slices.Contains(c.Routes[best].Services, service)
}
