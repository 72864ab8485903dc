package tier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	audit "oakseam/internal/audit/tier"
	"oakseam/internal/wait"
)

// Path prefixes of the services; the routes match them.
const (
	ReadPath   = "/tools/read/"
	OrderPath  = "/tools/order/"
	SwitchPath = "/switch/"
	TurnPath   = "/turns/"
	// Host is the Host header under which clients reach the tier.
	Host = "tier.lab"
)

const (
	// maxTurns bounds the turns of a sequence, maxAttempts the attempts of one step.
	maxTurns    = 6
	maxAttempts = 8
	// largeBudget is more tokens than a program's turns put out, smallBudget is fewer. One program in
	// smallBudgetInterval has the small one.
	largeBudget         = 100000
	smallBudget         = 40
	smallBudgetInterval = 5
	// One program in continueInterval continues from the last turn of the previous program.
	continueInterval = 3
	// Time budgets: of a turn, of a tool call and of a whole program.
	turnTimeBudget    = 8 * time.Second
	toolTimeBudget    = 3 * time.Second
	programTimeBudget = 30 * time.Second
	// maxThinkTime bounds the pause of an agent between two steps.
	maxThinkTime = 40 * time.Millisecond
	// minRetryPause is the minimum pause before a step is retried.
	minRetryPause = 100 * time.Millisecond
)

// Agent runs programs one after the other, as a client of the tier. It is not safe for concurrent
// use.
type Agent struct {
	client       *Client
	number       int
	rng          *rand.Rand
	attemptIDs   *attemptIDs
	previousTurn string // the last turn of the previous program
}

// attemptIDs generates the attempt ids of one agent.
type attemptIDs struct {
	agent int

	mu   sync.Mutex
	last int
}

func (n *attemptIDs) next() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.last++
	return fmt.Sprintf("a%d-%d", n.agent, n.last)
}

// NewAgent returns the agent with a number. The number and the seed determine its programs.
func NewAgent(c *Client, number int, seed uint64) *Agent {
	return &Agent{client: c, number: number, rng: rand.New(rand.NewPCG(seed, uint64(number))), attemptIDs: &attemptIDs{agent: number}}
}

// turnSequence is a sequence of turns in which each continues the previous one. It belongs to the
// program's main agent or to a sub-agent.
type turnSequence struct {
	agent     *Agent
	rng       *rand.Rand
	program   string
	budget    uint64
	session   string
	previous  string
	startedAt time.Time
}

// Run runs programs until ctx ends. Steps that have begun are completed.
func (a *Agent) Run(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		s := &turnSequence{agent: a, rng: a.rng, program: fmt.Sprintf("program-%d-%d", a.number, n), budget: largeBudget,
			session: fmt.Sprintf("session-%d", a.number), startedAt: time.Now()}
		if (n+a.number)%smallBudgetInterval == 0 {
			s.budget = smallBudget
		}
		if n%continueInterval == 0 {
			s.previous = a.previousTurn // a turn of another program, which another partition may store
		}
		a.runProgram(ctx, s)
		a.previousTurn = s.previous
	}
}

// runProgram runs the program's own sequence of turns and, with probability one half, sub-agents
// beside it.
func (a *Agent) runProgram(ctx context.Context, s *turnSequence) {
	if !s.runTurn(ctx) {
		return
	}
	var subs sync.WaitGroup
	if a.rng.IntN(2) == 0 {
		for range 1 + a.rng.IntN(2) {
			sub := *s // continues from the same turn
			sub.rng = rand.New(rand.NewPCG(a.rng.Uint64(), 1))
			subs.Go(func() { sub.runTurns(ctx, 2) })
		}
	}
	s.runTurns(ctx, maxTurns)
	subs.Wait()
}

// runTurns makes turns, with tool calls between them.
func (s *turnSequence) runTurns(ctx context.Context, maxCount int) {
	for range 1 + s.rng.IntN(maxCount) {
		for range s.rng.IntN(3) {
			s.callTool(ctx)
		}
		if !wait.For(ctx, time.Duration(s.rng.Int64N(int64(maxThinkTime)))) || !s.runTurn(ctx) {
			return
		}
	}
}

// runTurn makes one turn and reports whether the sequence can continue from it.
func (s *turnSequence) runTurn(ctx context.Context) bool {
	q := s.sendWithRetries(ctx, Call{
		Request: audit.Request{Kind: audit.Turn, Path: TurnPath + "chat", Program: s.program, Previous: s.previous, Budget: s.budget,
			Most: uint64(8 + s.rng.IntN(24)), Input: s.input(1 + s.rng.IntN(60))},
		Method: http.MethodPost, TimeBudget: turnTimeBudget, Session: s.session,
	})
	if q == nil {
		return false
	}
	s.previous = q.Attempt
	return true
}

// input returns a text of some words.
func (s *turnSequence) input(words int) string {
	var text strings.Builder
	for range words {
		fmt.Fprintf(&text, "say %x ", s.rng.Uint32())
	}
	return text.String()
}

func (s *turnSequence) callTool(ctx context.Context) {
	call := Call{Request: audit.Request{Kind: audit.ToolRead, Path: ReadPath + "look"}, Method: http.MethodGet, TimeBudget: toolTimeBudget, Session: s.session}
	switch s.rng.IntN(3) {
	case 0:
		call.Kind, call.Path, call.Method = audit.ToolOrder, OrderPath+"book", http.MethodPost
		call.Input = s.input(20)
	case 1:
		call.Path = SwitchPath + "look"
	}
	s.sendWithRetries(ctx, call)
}

// sendWithRetries makes a step, with a new attempt id for each attempt, until it is served. It
// returns the served request, or nil if the step cannot be served.
func (s *turnSequence) sendWithRetries(ctx context.Context, call Call) *audit.Request {
	call.Host = Host
	for range maxAttempts {
		call.Attempt = s.agent.attemptIDs.next()
		call.ProgramTimeLeft = max(programTimeBudget-time.Since(s.startedAt), 0)
		q, pause := s.agent.client.Send(call)
		switch {
		case q.Served():
			return q
		case q.Answer.Status == http.StatusPaymentRequired, q.Answer.Status == http.StatusNotFound:
			return nil
		}
		if !wait.For(ctx, max(pause, minRetryPause)) {
			return nil
		}
	}
	return nil
}
