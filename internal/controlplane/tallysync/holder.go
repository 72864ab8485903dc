package tallysync

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"oakseam/internal/controlplane/store"
	"oakseam/internal/controlplane/tallies"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/wait"
)

const (
	// handOverInterval is the time between two tries to hand copies over to core nodes.
	handOverInterval = 250 * time.Millisecond
	// adoptTimeout bounds one call of a core node: it waits for copies itself.
	adoptTimeout = addTimeout + 200*time.Millisecond
	// storeTimeout is how long a call waits for a write. It leaves time for the reply.
	storeTimeout = 100 * time.Millisecond
	// maxHeld bounds the adds that a holder holds.
	maxHeld = 1 << 16
)

// CopyStore holds copies of adds durably. Each change is durable when it returns. store.TallyCopies states
// the whole contract.
type CopyStore interface {
	Load(add func(tallies.Entry)) error
	Add(entries []tallies.Entry) error
	Remove(entries []tallies.Entry) error
}

// HolderTransport makes a holder's calls to core nodes.
type HolderTransport interface {
	Adopt(ctx context.Context, address string, args *AdoptArgs, reply *AdoptReply) error
}

// HolderOptions configure a Holder.
type HolderOptions struct {
	Store     CopyStore
	Transport HolderTransport
	Members   func() []protocol.Node // the known nodes, of any class
}

// Holder holds copies of adds on a storage node while too few core nodes can be reached by the one that
// takes them. It hands them over to core nodes as soon as enough of these reach each other, and then drops
// them.
type Holder struct {
	store     CopyStore
	transport HolderTransport
	members   func() []protocol.Node
	life      uint64
	added     chan struct{} // signals that there are adds to hand over

	writeMu sync.Mutex // held during a change of the store

	mu      sync.Mutex
	held    map[tallies.Entry]uint64 // positions, in the order in which the adds came
	last    uint64                   // the last position
	pending int                      // writes that have not returned
	failed  chan error               // receives the error that ends Run
}

// NewHolder returns a holder with what the store holds. It hands copies over once Run is called.
func NewHolder(options HolderOptions) (*Holder, error) {
	h := &Holder{
		store: options.Store, transport: options.Transport, members: options.Members, life: rand.Uint64(),
		added: make(chan struct{}, 1), held: map[tallies.Entry]uint64{}, failed: make(chan error, 1),
	}
	if err := h.store.Load(func(entry tallies.Entry) { h.record([]tallies.Entry{entry}) }); err != nil {
		return nil, errors.Wrap(err, "load copies of adds to tallies")
	}
	return h, nil
}

// HolderService serves the calls of core nodes to a holder.
type HolderService struct{ holder *Holder }

// Service returns the service for calls under the name HolderServiceName.
func (h *Holder) Service() *HolderService { return &HolderService{h} }

// Hold stores copies of adds and tells what is held. It answers as well if it cannot store them: the caller
// must not take this machine for an unreachable one.
func (s *HolderService) Hold(args *HoldArgs, reply *HoldReply) error {
	h := s.holder
	reply.Life = h.life
	if len(args.Entries) > 0 {
		reply.Refused = !h.storeInTime(args.Entries)
	}
	if args.Fetch {
		h.fetch(args, reply)
	}
	return nil
}

// storeInTime reports whether adds are on the disk within storeTimeout. A write that takes longer goes on.
func (h *Holder) storeInTime(entries []tallies.Entry) bool {
	lacking, ok := h.beginStore(entries)
	if !ok || len(lacking) == 0 {
		return ok
	}
	stored := make(chan bool, 1)
	go func() { stored <- h.storeEntries(lacking) }()
	timer := time.NewTimer(storeTimeout)
	defer timer.Stop()
	select {
	case ok := <-stored:
		return ok
	case <-timer.C:
		return false
	}
}

// maxPendingWrites bounds the writes that wait for the disk.
const maxPendingWrites = 16

// beginStore returns those of the adds that are not held, or false if they can't be stored now.
func (h *Holder) beginStore(entries []tallies.Entry) (lacking []tallies.Entry, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, entry := range entries {
		if _, held := h.held[entry]; !held {
			lacking = append(lacking, entry)
		}
	}
	if len(lacking) == 0 {
		return nil, true
	}
	if h.pending >= maxPendingWrites || len(h.held)+len(lacking) > maxHeld {
		return nil, false
	}
	h.pending++
	return lacking, true
}

// storeEntries makes adds durable and reports whether they are. A full disk refuses them; after any other
// failure Run ends.
func (h *Holder) storeEntries(entries []tallies.Entry) bool {
	h.writeMu.Lock()
	err := h.store.Add(entries)
	if err == nil {
		h.record(entries)
	}
	h.writeMu.Unlock()
	h.mu.Lock()
	h.pending--
	h.mu.Unlock()
	switch {
	case err == nil:
		return true
	case !errors.Is(err, store.ErrFull):
		h.fail(errors.Wrap(err, "store copies of adds to tallies"))
	}
	return false
}

// record records adds that are on the disk.
func (h *Holder) record(entries []tallies.Entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, entry := range entries {
		if _, held := h.held[entry]; !held {
			h.last++
			h.held[entry] = h.last
		}
	}
	select {
	case h.added <- struct{}{}:
	default:
	}
}

func (h *Holder) fail(err error) {
	select {
	case h.failed <- err:
	default:
	}
}

// fetch tells what is held after the caller's position.
func (h *Holder) fetch(args *HoldArgs, reply *HoldReply) {
	after := args.After
	if args.Life != h.life {
		after = 0
	}
	reply.Held, reply.Last, reply.More = h.heldAfter(after)
}

// heldAfter returns adds that are held after a position, up to about maxMessageBytes, the position of the
// last one, and whether more follow.
func (h *Holder) heldAfter(after uint64) (entries []tallies.Entry, last uint64, more bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	later := slices.SortedFunc(maps.Keys(h.held), func(a, b tallies.Entry) int { return int(h.held[a]) - int(h.held[b]) })
	size := 0
	last = after
	for _, entry := range later {
		switch {
		case h.held[entry] <= after:
			continue
		case size >= maxMessageBytes:
			return entries, last, true
		}
		size += entry.Bytes()
		entries, last = append(entries, entry), h.held[entry]
	}
	return entries, last, false
}

// Run hands copies over until ctx ends or the disk fails.
func (h *Holder) Run(ctx context.Context) error {
	for {
		select {
		case <-h.added:
		case err := <-h.failed:
			return err
		case <-ctx.Done():
			return nil
		}
		if err := h.handOverAll(ctx); err != nil {
			return err
		}
	}
}

// handOverAll hands copies over until none is left or ctx ends.
func (h *Holder) handOverAll(ctx context.Context) error {
	for first := 0; ; first++ {
		entries, _, _ := h.heldAfter(0)
		if len(entries) == 0 {
			return nil
		}
		if h.handOver(ctx, entries, first) {
			if err := h.drop(entries); err != nil {
				return err
			}
			continue
		}
		if !wait.For(ctx, handOverInterval) {
			return nil
		}
	}
}

// handOver reports whether a core node has taken adds over. The core nodes are tried in turn, beginning
// with another one each time.
func (h *Holder) handOver(ctx context.Context, entries []tallies.Entry, first int) bool {
	var cores []protocol.Node
	for _, member := range h.members() {
		if member.Class == protocol.Core {
			cores = append(cores, member)
		}
	}
	for i := range cores {
		core := cores[(first+i)%len(cores)]
		if h.adopt(ctx, core.Address, entries) {
			klog.V(1).InfoS("Copies of adds to tallies are handed over", "adds", len(entries), "to", core.Name)
			return true
		}
	}
	return false
}

func (h *Holder) adopt(ctx context.Context, address string, entries []tallies.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	var reply AdoptReply
	return h.transport.Adopt(ctx, address, &AdoptArgs{Entries: entries}, &reply) == nil
}

// drop removes adds that are on enough core nodes. On a full disk they stay there, and are handed over again
// by the next process.
func (h *Holder) drop(entries []tallies.Entry) error {
	h.writeMu.Lock()
	defer h.writeMu.Unlock()
	if err := h.store.Remove(entries); err != nil && !errors.Is(err, store.ErrFull) {
		return errors.Wrap(err, "remove copies of adds to tallies")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, entry := range entries {
		delete(h.held, entry)
	}
	return nil
}

// Adopt implements HolderTransport.
func (t *PoolTransport) Adopt(ctx context.Context, address string, args *AdoptArgs, reply *AdoptReply) error {
	return t.pool.Call(ctx, address, adoptMethod, args, reply)
}
