// Package host runs the replicas of one process. It carries out what they want in rounds, for
// all groups together: gather, write and sync once, then send, apply and answer.
package host

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/store"
	"pipitmux/internal/wait"
)

const (
	// DefaultCompactAfterBytes is the log that gathers before a snapshot, in bytes.
	DefaultCompactAfterBytes = 1 << 20
	// initialIndex is of the snapshot that a group begins with. It is not 0, so that a member which
	// comes later, with nothing, can't pass for one that holds the first state.
	initialIndex = 1
	// MaxPendingProposals is the number of proposals of one group that may wait for their commit.
	MaxPendingProposals = 4096
)

// StateMachine is a group's state. All calls come one at a time; none may call the host.
type StateMachine interface {
	// Apply carries out a command and gives its result. It is deterministic: on each member the
	// same commands come in the same order. The command may be kept but not changed.
	Apply(command []byte) (result []byte)
	// Snapshot encodes the state. The host keeps what it gives.
	Snapshot() []byte
	// Restore takes an encoded state in place of what there was. It may keep it but not change it.
	Restore(state []byte) error
}

// Transport carries messages to other nodes. Send must not block and may lose messages; it
// keeps what it is given.
type Transport interface {
	Send(to replica.NodeID, messages []replica.Message)
}

// Options are what a Host is made of.
type Options struct {
	Self      replica.NodeID
	Timing    replica.Timing
	Store     store.Store // stays the caller's to close, once Run has ended
	Transport Transport
	Now       func() time.Duration // a steady clock
	Seed      uint64               // what is drawn follows from it, Self and the group
	// CompactAfterBytes is the log in bytes that gathers before a snapshot takes its place, at least
	// as much as the last snapshot's state; 0 for DefaultCompactAfter.
	CompactAfterBytes int
	// OnUnknownGroup is told of a group that a message came for and that the host doesn't run. If it
	// gives true, having called Add, then the messages are taken. nil: they are dropped.
	OnUnknownGroup func(replica.GroupID) bool
}

// Host runs the replicas of one process. Its calls may come from many goroutines; they take
// short locks and don't wait for the disk, but for Remove and what waits for a commit.
type Host struct {
	options Options
	wake    chan struct{} // holds one: there is something to do
	sleep   func(ctx context.Context, span time.Duration) bool

	roundMu sync.Mutex // held for a whole round; taken before mu

	mu      sync.Mutex
	groups  map[replica.GroupID]*group
	dirty   []*group                                    // may have something to do
	loaded  map[replica.GroupID]replica.PersistentState // waits for Add
	stored  map[replica.GroupID]bool                    // is in the store
	stopped bool
}

// group is one group of the host. Its fields are under the host's mu but for the machine's.
type group struct {
	id              replica.GroupID
	replica         *replica.Replica
	dirty           bool
	nextTick        time.Duration // when the replica's Tick is due
	removed         bool
	snapshot        replica.Snapshot   // the newest durable one
	pendingSnapshot *replica.Snapshot  // is to be written in the next round
	waiters         map[uint64]*waiter // by index
	notifiedLeader  replica.NodeID     // as last told to who waits for news
	notifiedTerm    uint64             // as last told
	applied         uint64             // index
	changed         chan struct{}      // closed when applied, owner or term changes; nil: nobody asked

	logBytes int // applied since the newest snapshot; the round's own

	machineMu sync.Mutex // taken after the host's mu, if both
	machine   StateMachine
}

// New makes a host and reads what the store holds. Groups go on when Add names their machine.
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

// Add begins to run a group. One that the store holds goes on from there. Else it begins with
// these members and state, alike on all of first.Voters, and is durable from the next round on.
// Empty members: the group follows only, and waits for an owner to send its state; none must
// be given then. The machine is given the state, unless it is empty: then it begins as it is.
func (h *Host) Add(id replica.GroupID, first replica.Members, state []byte, machine StateMachine) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return ErrStopped
	}
	if h.groups[id] != nil {
		return ErrGroupExists
	}
	stored, held := h.loaded[id]
	if !held {
		stored = initialState(first, state)
	}
	if err := restore(id, machine, stored.Snapshot.State); err != nil {
		return err
	}
	delete(h.loaded, id)
	h.groups[id] = h.newGroup(id, stored, machine)
	if !held && len(first.Voters) > 0 {
		h.groups[id].pendingSnapshot = &stored.Snapshot
	}
	h.markDirty(h.groups[id])
	return nil
}

// initialState is what a group begins with, nothing where there are no members.
func initialState(first replica.Members, state []byte) replica.PersistentState {
	if len(first.Voters) == 0 {
		return replica.PersistentState{}
	}
	snapshot := replica.Snapshot{Index: initialIndex, Members: first.Clone(), State: slices.Clone(state)}
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

// newGroup makes a group on what is kept of it.
func (h *Host) newGroup(id replica.GroupID, stored replica.PersistentState, machine StateMachine) *group {
	lot := rand.New(rand.NewPCG(h.options.Seed^uint64(h.options.Self), xxhash.Sum64String(string(id))))
	g := &group{
		id:           id,
		replica:      replica.New(id, h.options.Self, h.options.Timing, stored, lot, h.replicaStart(stored)),
		snapshot:     stored.Snapshot,
		applied:      stored.Snapshot.Index,
		notifiedTerm: stored.HardState.Term,
		waiters:      map[uint64]*waiter{},
		machine:      machine,
	}
	g.replica.SetSnapshotSource(func() replica.Snapshot { return g.snapshot })
	return g
}

// replicaStart is the time at which a replica begins. A node that has taken part in no term has
// promised no owner a lease, so it needn't let one run out before it campaigns.
func (h *Host) replicaStart(stored replica.PersistentState) time.Duration {
	now := h.options.Now()
	if stored.HardState == (replica.HardState{}) && len(stored.Entries) == 0 {
		return now - h.options.Timing.ElectionTimeout
	}
	return now
}

// StoredGroups gives the groups that the store holds, in order.
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

// Remove stops to run a group and drops what the store holds of it. It waits for the round
// under way, and the machine is called no more afterwards. A failure is the store's.
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

// Deliver takes messages of other nodes. Those for another incarnation of this node are dropped.
func (h *Host) Deliver(messages []replica.Message) {
	unknown := h.deliverToReplicas(messages)
	if len(unknown) == 0 || h.options.OnUnknownGroup == nil {
		return
	}
	asked := map[replica.GroupID]bool{}
	var taken []replica.Message
	for _, m := range unknown {
		take, known := asked[m.Group]
		if !known {
			take = h.options.OnUnknownGroup(m.Group)
			asked[m.Group] = take
		}
		if take {
			taken = append(taken, m)
		}
	}
	h.deliverToReplicas(taken)
}

// deliverToReplicas hands messages to their replicas, and gives those of groups that aren't run.
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

// markDirty has the next round look at a group. The host's mu is held.
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
