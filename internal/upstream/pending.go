package upstream

import (
	"context"
	"errors"
	"time"

	"pipitmux/internal/core"
	"pipitmux/internal/message"
)

// Why an attempt that waited for its connection does not begin.
var (
	errWithdrawn = errors.New("withdrawn: its server leaves")
	errLeft      = errors.New("the client has left")
	errWindow    = errors.New("the time in which its repeats are dropped is over")
)

// gate stands before an attempt's first byte. A connection may take long to come up, and
// what was true when the attempt was decided on need not be so any more.
type gate struct {
	at  core.Attempt
	end context.CancelCauseFunc
}

// gate registers an attempt that has not begun.
func (p *Pool) gate(a core.Attempt, end context.CancelCauseFunc) *gate {
	g := &gate{a, end}
	p.gatesMu.Lock()
	defer p.gatesMu.Unlock()
	at := p.gates[a.Place]
	if at == nil {
		at = map[*gate]struct{}{}
		p.gates[a.Place] = at
	}
	at[g] = struct{}{}
	return g
}

// Withdraw ends the attempts to a place that have not begun. It does not block, and none
// begins after it.
func (p *Pool) Withdraw(at core.Place) {
	p.gatesMu.Lock()
	defer p.gatesMu.Unlock()
	for g := range p.gates[at] {
		g.end(errWithdrawn)
		p.count.Add("attempt.withdrawn")
	}
	delete(p.gates, at)
}

// begin passes the gate, or tells why the attempt must not begin.
func (p *Pool) begin(ctx context.Context, g *gate) error {
	if call, ok := g.at.Call.(*message.Call); ok && call.ClientGone != nil && ctx.Err() == nil && call.ClientGone() {
		return errLeft
	}
	p.gatesMu.Lock()
	defer p.gatesMu.Unlock()
	p.drop(g)
	if cause := context.Cause(ctx); cause != nil {
		return cause // withdrawn, called off or timed out
	}
	if b := g.at.Before; !b.IsZero() && !time.Now().Before(b) {
		return errWindow
	}
	return nil
}

// forget takes away an attempt that has ended.
func (p *Pool) forget(g *gate) {
	p.gatesMu.Lock()
	defer p.gatesMu.Unlock()
	p.drop(g)
}

// drop is forget with gatesMu held.
func (p *Pool) drop(g *gate) {
	at := p.gates[g.at.Place]
	if delete(at, g); len(at) == 0 {
		delete(p.gates, g.at.Place)
	}
}
