// Package host runs the replicated groups of one process. It works in rounds that cover all
// groups together: it collects their pending work, writes and syncs it once, then sends the
// messages, applies the committed entries and answers the callers.
package host

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/store"
	"oakseam/internal/wait"
)

const (
	// DefaultCompactAfterBytes is how much log accumulates before a snapshot replaces it.
	DefaultCompactAfterBytes = 1 << 20
	// initialIndex is the index of the snapshot that a group starts with. It is not 0, so that a
	// member that joins later with an empty log is not taken for one that holds the initial state.
	initialIndex = 1
	// MaxPendingProposals bounds the proposals of one group that wait to be committed.
	MaxPendingProposals = 4096
)

// StateMachine holds a group's replicated state. The host calls its methods one at a time. They
// must not call the host.
type StateMachine interface {
	// Apply executes a command and returns its result. It must be deterministic: every member
	// applies the same commands in the same order. It may retain the command but not modify it.
	Apply(command []byte) (result []byte)
	// Snapshot encodes the state. The host retains the returned slice.
	Snapshot() []byte
	// Restore replaces the state by an encoded one. It may retain the slice but not modify it.
	Restore(state []byte) error
}

// Transport sends messages to other nodes. Send must not block. It may lose messages. It retains
// the slice.
type Transport interface {
	Send(to replica.NodeID, messages []replica.Message)
}

// Options configure a Host.
type Options struct {
	Self      replica.NodeID
	Timing    replica.Timing
	Store     store.Store // closed by the caller after Run has returned
	Transport Transport
	Now       func() time.Duration // a monotonic clock
	Seed      uint64               // together with Self and the group it determines all random draws
	// CompactAfterBytes is how much log accumulates before a snapshot replaces it. The size of
	// the last snapshot's state is used if it is larger. 0 stands for DefaultCompactAfterBytes.
	CompactAfterBytes int
	// OnUnknownGroup is called when a message arrives for a group that the host does not run. It
	// may call Add and return true: then the messages are delivered. Otherwise, or if it is nil,
	// they are dropped.
	OnUnknownGroup func(replica.GroupID) bool
}

// Host runs the replicas of one process. Its methods are safe for concurrent use. They hold
// locks briefly and do not wait for the disk, except for Remove and the methods that wait for a
// commit.
type Host struct {
	options Options
	wake    chan struct{} // buffered, one element: there is work
	sleep   func(ctx context.Context, span time.Duration) bool

	roundMu sync.Mutex // held for a whole round; locked before mu

	mu      sync.Mutex
	groups  map[replica.GroupID]*group
	dirty   []*group                                    // groups that may have work
	loaded  map[replica.GroupID]replica.PersistentState // read from the store, not added yet
	stored  map[replica.GroupID]bool                    // groups that the store holds
	stopped bool
}

// group is a group that the host runs. The host's mu guards its fields, except for logBytes and
// the state machine.
type group struct {
	id              replica.GroupID
	replica         *replica.Replica
	dirty           bool
	nextTick        time.Duration // when the replica's next Tick is due
	removed         bool
	snapshot        replica.Snapshot   // the newest durable snapshot
	pendingSnapshot *replica.Snapshot  // to be written in the next round
	waiters         map[uint64]*waiter // by log index
	notifiedLeader  replica.NodeID     // the leader at the last notification
	notifiedTerm    uint64             // the term at the last notification
	applied         uint64             // index of the last applied entry
	changed         chan struct{}      // closed when applied, leader or term changes; nil: nobody waits

	logBytes int // applied since the newest snapshot; used by rounds only

	machineMu sync.Mutex // locked after the host's mu if both are held
	machine   StateMachine
}

// New creates a host and loads the groups from the store. A loaded group resumes when Add
// supplies its state machine.
func New(options Options) (*Host, error) {
	if options.Self == 0 || options.Store == nil || options.Transport == nil || options.Now == nil {
		return nil, ErrIncompleteOptions
	}
	if options.CompactAfterBytes <= 0 {
		options.CompactAfterBytes = DefaultCompactAfterBytes
	}
	loaded, err := options.Store.Load()
	if err != nil {
		return nil, errors.Wrap(err, "load the groups")
	}
	h := &Host{
		options: options,
		wake:    make(chan struct{}, 1),
		sleep:   wait.For,
		groups:  map[replica.GroupID]*group{},
		loaded:  loaded,
		stored:  map[replica.GroupID]bool{},
	}
	for id := range loaded {
		h.stored[id] = true
	}
	return h, nil
}

// Add starts to run a group. A group that the store holds resumes from the stored state.
// Otherwise it starts with the given members and state, which must be the same on all of
// members.Voters, and it is durable from the next round on. With empty members, the replica only
// follows and waits for a leader to send the state; then no state may be given. The state
// machine is restored from the state, unless the state is empty.
func (h *Host) Add(id replica.GroupID, members replica.Members, state []byte, machine StateMachine) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return ErrStopped
	}
	if h.groups[id] != nil {
		return ErrGroupExists
	}
	stored, found := h.loaded[id]
	if !found {
		stored = initialState(members, state)
	}
	if err := restore(id, machine, stored.Snapshot.State); err != nil {
		return err
	}
	delete(h.loaded, id)
	h.groups[id] = h.newGroup(id, stored, machine)
	if !found && len(members.Voters) > 0 {
		h.groups[id].pendingSnapshot = &stored.Snapshot
	}
	h.markDirty(h.groups[id])
	return nil
}

// initialState returns the stored form of a new group. It is empty if there are no members.
func initialState(members replica.Members, state []byte) replica.PersistentState {
	if len(members.Voters) == 0 {
		return replica.PersistentState{}
	}
	snapshot := replica.Snapshot{Index: initialIndex, Members: members.Clone(), State: slices.Clone(state)}
	return replica.PersistentState{Snapshot: snapshot}
}

func restore(id replica.GroupID, machine StateMachine, state []byte) error {
	if len(state) == 0 {
		return nil
	}
	if err := machine.Restore(state); err != nil {
		return &RestoreError{Group: id, Cause: err}
	}
	return nil
}

// newGroup creates a group from its stored state.
func (h *Host) newGroup(id replica.GroupID, stored replica.PersistentState, machine StateMachine) *group {
	random := rand.New(rand.NewPCG(h.options.Seed^uint64(h.options.Self), xxhash.Sum64String(string(id))))
	g := &group{
		id:           id,
		replica:      replica.New(id, h.options.Self, h.options.Timing, stored, random, h.replicaStart(stored)),
		snapshot:     stored.Snapshot,
		applied:      stored.Snapshot.Index,
		notifiedTerm: stored.HardState.Term,
		waiters:      map[uint64]*waiter{},
		machine:      machine,
	}
	g.replica.SetSnapshotSource(func() replica.Snapshot { return g.snapshot })
	return g
}

// replicaStart returns the time at which a replica starts. A node that has taken part in no term
// has granted no leader a lease, so it may campaign without waiting for a lease to expire.
func (h *Host) replicaStart(stored replica.PersistentState) time.Duration {
	now := h.options.Now()
	if stored.HardState == (replica.HardState{}) && len(stored.Entries) == 0 {
		return now - h.options.Timing.ElectionTimeout
	}
	return now
}

// StoredGroups returns the groups that the store holds, sorted.
func (h *Host) StoredGroups() []replica.GroupID {
	h.mu.Lock()
	defer h.mu.Unlock()
	ids := make([]replica.GroupID, 0, len(h.stored))
	for id := range h.stored {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Remove stops running a group and deletes it from the store. It waits for the current round to
// end. The state machine is not called afterwards. An error comes from the store.
func (h *Host) Remove(id replica.GroupID) error {
	h.roundMu.Lock()
	defer h.roundMu.Unlock()
	h.mu.Lock()
	if h.groups[id] == nil && !h.stored[id] {
		h.mu.Unlock()
		return ErrGroupNotFound
	}
	if g := h.groups[id]; g != nil {
		g.removed = true
		g.failAll(&UnknownOutcomeError{Cause: ErrGroupNotFound})
		g.notifyChanged()
	}
	delete(h.groups, id)
	delete(h.loaded, id)
	delete(h.stored, id)
	h.mu.Unlock()
	if err := h.options.Store.Drop(id); err != nil {
		return errors.Wrapf(err, "drop group %s", id)
	}
	return nil
}

// Deliver processes messages from other nodes. Messages for another incarnation of this node are
// dropped.
func (h *Host) Deliver(messages []replica.Message) {
	unknown := h.deliverToReplicas(messages)
	if len(unknown) == 0 || h.options.OnUnknownGroup == nil {
		return
	}
	decided := map[replica.GroupID]bool{}
	var accepted []replica.Message
	for _, m := range unknown {
		accept, seen := decided[m.Group]
		if !seen {
			accept = h.options.OnUnknownGroup(m.Group)
			decided[m.Group] = accept
		}
		if accept {
			accepted = append(accepted, m)
		}
	}
	h.deliverToReplicas(accepted)
}

// deliverToReplicas passes messages to their replicas. It returns the messages for groups that
// are not running.
func (h *Host) deliverToReplicas(messages []replica.Message) (unknown []replica.Message) {
	if len(messages) == 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return nil
	}
	now := h.options.Now()
	for _, m := range messages {
		if m.To != h.options.Self {
			continue
		}
		g := h.groups[m.Group]
		if g == nil {
			unknown = append(unknown, m)
			continue
		}
		g.replica.Step(now, m)
		h.markDirty(g)
	}
	return unknown
}

// markDirty makes the next round check a group for work. The host's mu is held.
func (h *Host) markDirty(g *group) {
	if !g.dirty {
		g.dirty = true
		h.dirty = append(h.dirty, g)
	}
	select {
	case h.wake <- struct{}{}:
	default:
	}
}
