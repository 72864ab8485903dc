package host

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/replica"
)

// Propose appends a command to the group's log. Once a majority holds it durably and this node
// has applied it, Propose returns the result of the state machine's Apply on this node. Errors:
// *replica.NotLeaderError and replica.ErrTransferInProgress (the command is not committed and
// never will be), *UnknownOutcomeError (it may be), ErrOverloaded, ErrGroupNotFound and ErrStopped.
func (h *Host) Propose(ctx context.Context, id replica.GroupID, command []byte) ([]byte, error) {
	data := slices.Clone(command)
	return h.propose(ctx, id, func(g *group) (uint64, uint64, error) {
		return g.replica.Propose(h.options.Now(), data)
	})
}

// ChangeMembers proposes a membership change and returns nil once it is committed. Its errors
// are those of Propose and of replica.Replica.ChangeMembers.
func (h *Host) ChangeMembers(ctx context.Context, id replica.GroupID, members replica.Members) error {
	_, err := h.propose(ctx, id, func(g *group) (uint64, uint64, error) {
		return g.replica.ChangeMembers(h.options.Now(), members)
	})
	return err
}

// propose appends an entry to the log and waits for its outcome.
func (h *Host) propose(
	ctx context.Context, id replica.GroupID, add func(*group) (index, term uint64, err error),
) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	g, index, w, err := h.startProposal(id, add)
	if err != nil {
		return nil, err
	}
	select {
	case o := <-w.done:
		return o.result, o.err
	case <-ctx.Done():
		return h.abandonProposal(g, index, w, ctx.Err())
	}
}

func (h *Host) startProposal(
	id replica.GroupID, add func(*group) (index, term uint64, err error),
) (*group, uint64, *waiter, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g, err := h.runningGroup(id)
	if err != nil {
		return nil, 0, nil, err
	}
	if len(g.waiters) >= MaxPendingProposals {
		return nil, 0, nil, ErrOverloaded
	}
	index, term, err := add(g)
	h.markDirty(g)
	if errors.Is(err, replica.ErrOverloaded) {
		return nil, 0, nil, ErrOverloaded
	}
	if err != nil {
		return nil, 0, nil, err
	}
	w := &waiter{term: term, done: make(chan outcome, 1)}
	if old := g.waiters[index]; old != nil { // its entry was truncated from the log
		old.complete(nil, &UnknownOutcomeError{Cause: &replica.NotLeaderError{Leader: g.replica.Leader()}})
	}
	g.waiters[index] = w
	return g, index, w, nil
}

// abandonProposal stops waiting for a proposal. If its outcome has arrived in the meantime, it
// returns that outcome.
func (h *Host) abandonProposal(g *group, index uint64, w *waiter, cause error) ([]byte, error) {
	h.mu.Lock()
	if g.waiters[index] == w {
		delete(g.waiters, index)
	}
	h.mu.Unlock()
	select {
	case o := <-w.done:
		return o.result, o.err
	default:
		return nil, &UnknownOutcomeError{Cause: cause}
	}
}

// Read calls look for a linearizable read of the state machine: this node holds the leader's
// lease before and after the call, and has applied everything that was committed before. What
// look found is valid only if Read returns nil. look must be short and must not call the host.
// Errors: *replica.NotLeaderError, ErrNoLease, the context's error, ErrGroupNotFound, ErrStopped.
func (h *Host) Read(ctx context.Context, id replica.GroupID, look func(StateMachine)) error {
	g, commit, term, err := h.checkLease(id)
	if err != nil {
		return err
	}
	if err := h.awaitApplied(ctx, id, commit); err != nil {
		return err
	}
	g.view(look)
	_, _, after, err := h.checkLease(id)
	if err == nil && after != term {
		return ErrNoLease
	}
	return err
}

// checkLease verifies that this node leads the group under a lease. It returns the commit index
// and the term.
func (h *Host) checkLease(id replica.GroupID) (g *group, commit, term uint64, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g, err = h.runningGroup(id)
	if err != nil {
		return nil, 0, 0, err
	}
	if !g.replica.IsLeader() {
		return nil, 0, 0, &replica.NotLeaderError{Leader: g.replica.Leader()}
	}
	if !g.replica.HasLease(h.options.Now()) {
		return nil, 0, 0, ErrNoLease
	}
	return g, g.replica.CommitIndex(), g.replica.Term(), nil
}

func (h *Host) awaitApplied(ctx context.Context, id replica.GroupID, index uint64) error {
	for {
		applied, changed := h.Applied(id)
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := h.checkRunning(id); err != nil {
			return err
		}
	}
}

// ReadLocal calls look with this node's state machine, which may be stale. look must be short
// and must not call the host.
func (h *Host) ReadLocal(id replica.GroupID, look func(StateMachine)) error {
	h.mu.Lock()
	g, err := h.runningGroup(id)
	h.mu.Unlock()
	if err != nil {
		return err
	}
	g.view(look)
	return nil
}

func (g *group) view(look func(StateMachine)) {
	g.machineMu.Lock()
	defer g.machineMu.Unlock()
	look(g.machine)
}

// TransferLeadership starts to transfer the group's leadership to a voter. Status shows whether
// the transfer succeeded. Its errors are those of the replica's method.
func (h *Host) TransferLeadership(id replica.GroupID, to replica.NodeID) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	g, err := h.runningGroup(id)
	if err != nil {
		return err
	}
	defer h.markDirty(g)
	return g.replica.TransferLeadership(h.options.Now(), to)
}

// Campaign makes this node start an election at once. It is meant for the first start of a group.
func (h *Host) Campaign(id replica.GroupID) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	g, err := h.runningGroup(id)
	if err != nil {
		return err
	}
	g.replica.Campaign(h.options.Now())
	h.markDirty(g)
	return nil
}

// Status returns the status of a group's replica.
func (h *Host) Status(id replica.GroupID) (replica.Status, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g, err := h.runningGroup(id)
	if err != nil {
		return replica.Status{}, err
	}
	return g.replica.Status(h.options.Now()), nil
}

// Statuses returns the status of every running group, ordered by group.
func (h *Host) Statuses() []replica.Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	statuses := make([]replica.Status, 0, len(h.groups))
	for _, g := range h.groups {
		statuses = append(statuses, g.replica.Status(now))
	}
	slices.SortFunc(statuses, func(a, b replica.Status) int {
		if a.Group < b.Group {
			return -1
		}
		return 1
	})
	return statuses
}

// Applied returns the index up to which this node has applied the group's log. The channel
// changed is closed when the index advances, or when the leader or the term changes. If the
// group is not running, the channel is closed already.
func (h *Host) Applied(id replica.GroupID) (index uint64, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g, err := h.runningGroup(id)
	if err != nil {
		return 0, closedChannel
	}
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return g.applied, g.changed
}

// Staleness returns an upper bound on how far the state that ReadLocal shows is behind: every
// entry that was committed longer ago is applied on this node. Without a proven bound, or if the
// group is not running, the result is UnknownStaleness or more.
func (h *Host) Staleness(id replica.GroupID) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	g, err := h.runningGroup(id)
	if err != nil {
		return UnknownStaleness
	}
	now := h.options.Now()
	return now - g.replica.FreshAsOf(now, g.applied)
}

// UnknownStaleness is the smallest result of Staleness that carries no information.
const UnknownStaleness = 1000 * time.Hour

// closedChannel is a channel that is always closed.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// checkRunning returns nil if the group is running, and the reason if it is not.
func (h *Host) checkRunning(id replica.GroupID) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := h.runningGroup(id)
	return err
}

// runningGroup finds a group that is running. The host's mu is held.
func (h *Host) runningGroup(id replica.GroupID) (*group, error) {
	if h.stopped {
		return nil, ErrStopped
	}
	g := h.groups[id]
	if g == nil {
		return nil, ErrGroupNotFound
	}
	return g, nil
}
