package upstream

import (
	"context"
	"errors"
	"time"

	"pipitmux/internal/core"
	"pipitmux/internal/message"
)

// Reasons why an attempt that waited for its connection does not begin.
var (
	errWithdrawn       = errors.New("withdrawn: the server is being removed")
	errClientGone      = errors.New("the client has closed its connection")
	errDedupWindowOver = errors.New("the deduplication window of the request is over")
)

// pendingAttempt is an attempt whose first byte has not been written. Connecting may take long, so
// the conditions under which the attempt was decided on are checked again before that byte.
type pendingAttempt struct {
	attempt core.Attempt
	cancel  context.CancelCauseFunc
}

// registerPending registers an attempt that has not begun.
func (p *Pool) registerPending(a core.Attempt, cancel context.CancelCauseFunc) *pendingAttempt {
	pending := &pendingAttempt{a, cancel}
	p.pendingMu.Lock()
	defer p.pendingMu.Unlock()
	ofPlace := p.pending[a.Instance]
	if ofPlace == nil {
		ofPlace = map[*pendingAttempt]struct{}{}
		p.pending[a.Instance] = ofPlace
	}
	ofPlace[pending] = struct{}{}
	return pending
}

// Withdraw cancels the attempts to a place that have not begun. It does not block. None of them
// begins after it returns.
func (p *Pool) Withdraw(at core.Instance) {
	p.pendingMu.Lock()
	defer p.pendingMu.Unlock()
	for pending := range p.pending[at] {
		pending.cancel(errWithdrawn)
		p.count.Add("attempt.withdrawn")
	}
	delete(p.pending, at)
}

// confirmBegin marks an attempt as begun, or returns the reason why it must not begin.
func (p *Pool) confirmBegin(ctx context.Context, pending *pendingAttempt) error {
	if call, ok := pending.attempt.Call.(*message.Call); ok && call.ClientGone != nil && ctx.Err() == nil && call.ClientGone() {
		return errClientGone
	}
	p.pendingMu.Lock()
	defer p.pendingMu.Unlock()
	p.unregisterPendingLocked(pending)
	if cause := context.Cause(ctx); cause != nil {
		return cause // withdrawn, canceled or timed out
	}
	if before := pending.attempt.StartBefore; !before.IsZero() && !time.Now().Before(before) {
		return errDedupWindowOver
	}
	return nil
}

// unregisterPending removes an attempt that has ended.
func (p *Pool) unregisterPending(pending *pendingAttempt) {
	p.pendingMu.Lock()
	defer p.pendingMu.Unlock()
	p.unregisterPendingLocked(pending)
}

// unregisterPendingLocked is unregisterPending for a caller that holds pendingMu.
func (p *Pool) unregisterPendingLocked(pending *pendingAttempt) {
	ofPlace := p.pending[pending.attempt.Instance]
	if delete(ofPlace, pending); len(ofPlace) == 0 {
		delete(p.pending, pending.attempt.Instance)
	}
}
