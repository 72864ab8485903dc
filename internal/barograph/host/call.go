package host

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"pipitmux/internal/barograph/replica"
)

// Propose has the group carry out a command, and gives what the machine's Apply gave on this
// node once a majority holds it durably. Failures: *replica.NotOwnerError and
// replica.ErrHandover (the command is not in force and won't be), *UnknownOutcomeError (it may
// be), ErrOverload, ErrNoGroup, ErrStopped.
func (h *Host) Propose(ctx context.Context, id replica.GroupID, command []byte) ([]byte, error) {
	data := slices.Clone(command)
	return h.propose(ctx, id, func(g *group) (uint64, uint64, error) {
		return g.replica.Propose(h.options.Now(), data)
	})
}

// ChangeMembers has the group take other members, and gives nil once they are committed.
// Failures are those of Propose and of replica's ChangeMembers.
func (h *Host) ChangeMembers(ctx context.Context, id replica.GroupID, members replica.Members) error {
	_, err := h.propose(ctx, id, func(g *group) (uint64, uint64, error) {
		return g.replica.ChangeMembers(h.options.Now(), members)
	})
	return err
}

// propose appends an entry and waits for its outcome.
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
	if old := g.waiters[index]; old != nil { // its entry was cut from the log
		old.complete(nil, &UnknownOutcomeError{Cause: &replica.NotLeaderError{Leader: g.replica.Leader()}})
	}
	g.waiters[index] = w
	return g, index, w, nil
}

// abandonProposal gives up waiting, unless the outcome has come in the meantime.
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

// Read looks at the machine when nothing that is in force can be missing: this node holds the
// lease before and after, and all that was committed before is applied. What look found counts
// only if Read gives nil. look must be short and mustn't call the host. Failures:
// *replica.NotOwnerError, ErrNoLease, the context's, ErrNoGroup, ErrStopped.
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

// checkLease checks the lease, and gives up to where the owner's log is committed, and its term.
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

// ReadLocal looks at the machine as it is on this node, which may be behind. look must be short and
// mustn't call the host.
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

// TransferLeadership begins to give the ownership to a voter; whether it came through shows in Status.
// Failures are those of replica's TransferLeadership.
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

// Campaign has this node ask for the ownership at once, for the first start of a group.
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

// Status is a view of a group's replica.
func (h *Host) Status(id replica.GroupID) (replica.Status, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g, err := h.runningGroup(id)
	if err != nil {
		return replica.Status{}, err
	}
	return g.replica.Status(h.options.Now()), nil
}

// Statuses are views of all groups that are run, ordered by group.
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

// Applied is the index up to which this node has applied the group's log. changed is closed
// when more is, or the owner or the term is another; at once where the group isn't run.
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

// Staleness is how old this node's state of a group may be, as Peek shows it: all that was committed
// longer ago is applied here. Where that isn't proven, or the group isn't run, it is Unproven
// or more.
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

// UnknownStaleness is an Age that says nothing.
const UnknownStaleness = 1000 * time.Hour

// closedChannel is a channel with news for good.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// checkRunning tells why a group isn't run, nil if it is.
func (h *Host) checkRunning(id replica.GroupID) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := h.runningGroup(id)
	return err
}

// runningGroup gives a group that is run. The host's mu is held.
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
