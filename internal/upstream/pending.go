package upstream

import (
	"context"
	"errors"
	"time"

	"oakseam/internal/core"
	"oakseam/internal/message"
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
	ofInstance := p.pending[a.Instance]
	if ofInstance == nil {
		ofInstance = map[*pendingAttempt]struct{}{}
		p.pending[a.Instance] = ofInstance
	}
	ofInstance[pending] = struct{}{}
	return pending
}

// Withdraw cancels the attempts to an instance that have not begun. It does not block. None of them
// begins after it returns.
func (p *Pool) Withdraw(instance core.Instance) {
	p.pendingMu.Lock()
	defer p.pendingMu.Unlock()
	for pending := range p.pending[instance] {
		pending.cancel(errWithdrawn)
		p.count.Add("attempt.withdrawn")
	}
	delete(p.pending, instance)
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
	ofInstance := p.pending[pending.attempt.Instance]
	if delete(ofInstance, pending); len(ofInstance) == 0 {
		delete(p.pending, pending.attempt.Instance)
	}
}
