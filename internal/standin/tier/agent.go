package tier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	audit "pipitmux/internal/audit/tier"
	"pipitmux/internal/wait"
)

// The paths of the services, by which routes are found.
const (
	ReadPath   = "/tools/read/"
	OrderPath  = "/tools/order/"
	SwitchPath = "/switch/"
	TurnPath   = "/turns/"
	// Host is the name under which clients reach the tier.
	Host = "tier.lab"
)

const (
	// turnsMost is how many turns a line has at most, triesMost how often a step is tried.
	turnsMost = 6
	triesMost = 8
	// usualBudget is more than a program's turns put out, smallBudget less; one program in
	// smallEvery has the small one.
	usualBudget = 100000
	smallBudget = 40
	smallEvery  = 5
	// earlierEvery is how many programs there are for each that goes on from the one before.
	earlierEvery = 3
	// turnWithin and toolWithin are the time budgets of requests, finishWithin a program's.
	turnWithin   = 8 * time.Second
	toolWithin   = 3 * time.Second
	finishWithin = 30 * time.Second
	// pauseMost is how long an agent thinks between two steps.
	pauseMost = 40 * time.Millisecond
	// leastPause is the pause before a step is tried again.
	leastPause = 100 * time.Millisecond
)

// Agent runs programs, one after the other. It is not safe for concurrent use.
type Agent struct {
	clients *Clients
	number  int
	rng     *rand.Rand
	id      *identifiers
	earlier string // the last turn of the program before
}

// identifiers are those of an agent's requests.
type identifiers struct {
	agent int

	mu   sync.Mutex
	last int
}

func (n *identifiers) next() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.last++
	return fmt.Sprintf("a%d-%d", n.agent, n.last)
}

// NewAgent returns the agent of a number.
func NewAgent(c *Clients, number int, seed uint64) *Agent {
	return &Agent{clients: c, number: number, rng: rand.New(rand.NewPCG(seed, uint64(number))), id: &identifiers{agent: number}}
}

// line is a sequence of turns, each going on from the one before: the program's own, or a
// sub-agent's.
type line struct {
	agent    *Agent
	rng      *rand.Rand
	program  string
	budget   uint64
	session  string
	previous string
	began    time.Time
}

// Run runs programs until ctx ends; steps under way are brought to their end.
func (a *Agent) Run(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		l := &line{agent: a, rng: a.rng, program: fmt.Sprintf("program-%d-%d", a.number, n), budget: usualBudget,
			session: fmt.Sprintf("session-%d", a.number), began: time.Now()}
		if (n+a.number)%smallEvery == 0 {
			l.budget = smallBudget
		}
		if n%earlierEvery == 0 {
			l.previous = a.earlier // another program's, which another partition may keep
		}
		a.program(ctx, l)
		a.earlier = l.previous
	}
}

// program runs a program's line, and sub-agents beside it half of the time.
func (a *Agent) program(ctx context.Context, l *line) {
	if !l.turn(ctx) {
		return
	}
	var subs sync.WaitGroup
	if a.rng.IntN(2) == 0 {
		for range 1 + a.rng.IntN(2) {
			sub := *l // goes on from the same turn
			sub.rng = rand.New(rand.NewPCG(a.rng.Uint64(), 1))
			subs.Go(func() { sub.run(ctx, 2) })
		}
	}
	l.run(ctx, turnsMost)
	subs.Wait()
}

// run makes turns, with calls of tools between them.
func (l *line) run(ctx context.Context, most int) {
	for range 1 + l.rng.IntN(most) {
		for range l.rng.IntN(3) {
			l.tool(ctx)
		}
		if !wait.For(ctx, time.Duration(l.rng.Int64N(int64(pauseMost)))) || !l.turn(ctx) {
			return
		}
	}
}

// turn makes one turn and tells whether the line can go on from it.
func (l *line) turn(ctx context.Context) bool {
	q := l.tries(ctx, Call{
		Request: audit.Request{Kind: audit.Turn, Path: TurnPath + "chat", Program: l.program, Previous: l.previous, Budget: l.budget,
			Most: uint64(8 + l.rng.IntN(24)), Input: l.input(1 + l.rng.IntN(60))},
		Method: http.MethodPost, Within: turnWithin, Session: l.session,
	})
	if q == nil {
		return false
	}
	l.previous = q.Attempt
	return true
}

// input is a text of some words.
func (l *line) input(words int) string {
	var text strings.Builder
	for range words {
		fmt.Fprintf(&text, "say %x ", l.rng.Uint32())
	}
	return text.String()
}

func (l *line) tool(ctx context.Context) {
	call := Call{Request: audit.Request{Kind: audit.Read, Path: ReadPath + "look"}, Method: http.MethodGet, Within: toolWithin, Session: l.session}
	switch l.rng.IntN(3) {
	case 0:
		call.Kind, call.Path, call.Method = audit.Order, OrderPath+"book", http.MethodPost
		call.Input = l.input(20)
	case 1:
		call.Path = SwitchPath + "look"
	}
	l.tries(ctx, call)
}

// tries makes a step under a new id each time until it is served, which it returns, or
// can't be, which is nil.
func (l *line) tries(ctx context.Context, call Call) *audit.Request {
	call.Host = Host
	for range triesMost {
		call.Attempt = l.agent.id.next()
		call.Finish = max(finishWithin-time.Since(l.began), 0)
		q, pause := l.agent.clients.Send(call)
		switch {
		case q.Served():
			return q
		case q.Answer.Status == http.StatusPaymentRequired, q.Answer.Status == http.StatusNotFound:
			return nil
		}
		if !wait.For(ctx, max(pause, leastPause)) {
			return nil
		}
	}
	return nil
}
