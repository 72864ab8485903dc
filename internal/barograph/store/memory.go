package store

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"pipitmux/internal/barograph/replica"
)

// errInjected is the cause of a failure that a test asked for.
var errInjected = errors.New("a failure that was asked for")

// Memory is a Store without a disk, with its contract and with switches for what a disk may do.
// What it holds survives Crash and Close: Reopen gives a new store on the same content.
type Memory struct {
	mu            sync.Mutex
	disk          *diskContent
	failure       error
	nextFailure   error                // the next change fails with it
	full          bool                 // changes fail as on a full disk
	losesUnsynced bool                 // Write answers nil and keeps nothing until Sync
	unsynced      []func(*diskContent) // what loses holds back
	tearRandom    *rand.Rand           // the next change fails, and is kept by lot
	afterWrite    func(batch []Write)  // is told of each Write after it is durable
	beforeWrite   func(batch []Write)  // is told of each Write before it begins
}

// diskContent is what a disk holds.
type diskContent struct {
	identity    replica.NodeID
	identitySet bool
	groups      map[replica.GroupID]replica.PersistentState
}

var _ Store = (*Memory)(nil)

// NewMemory makes an empty store.
func NewMemory() *Memory {
	return &Memory{disk: &diskContent{groups: map[replica.GroupID]replica.PersistentState{}}}
}

// Reopen gives a store on what this one has kept, as a restart of the process does,
// and fails this one for good. Switches are off in the new one.
func (m *Memory) Reopen() *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failure = ErrClosed
	return &Memory{disk: m.disk.clone()}
}

// FailNextChange lets the next change fail and keep nothing.
func (m *Memory) FailNextChange() { m.setNextFailure(&FailedError{Cause: errInjected}) }

// FillDisk lets changes fail as on a full disk, and keep nothing, until Empty.
func (m *Memory) FillDisk() { m.setFull(true) }

// FreeDisk ends what Fill began.
func (m *Memory) FreeDisk() { m.setFull(false) }

func (m *Memory) setFull(full bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.full = full
}

// TearNextChange lets the next change fail, and whether it is kept is drawn: what a power loss during
// a commit leaves.
func (m *Memory) TearNextChange(random *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextFailure, m.tearRandom = &FailedError{Cause: errInjected}, random
}

// LoseUnsyncedChanges lets changes be answered before they are kept, as a disk that lies about its syncs does:
// a Reopen loses those since the last Sync. A caller can't notice; tests use it to prove that they would.
func (m *Memory) LoseUnsyncedChanges() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.losesUnsynced = true
}

// Sync keeps what Lose has held back.
func (m *Memory) Sync() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, change := range m.unsynced {
		change(m.disk)
	}
	m.unsynced = nil
}

// OnWrite has the two functions told of each Write, before it begins and after it is durable.
// Either may be nil; before may block, as a slow disk does, and runs outside of the store's lock.
func (m *Memory) OnWrite(before, after func(batch []Write)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.beforeWrite, m.afterWrite = before, after
}

// Identity implements Store.
func (m *Memory) Identity() (replica.NodeID, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failure == ErrClosed {
		return 0, false, ErrClosed
	}
	seen := m.visibleContent()
	return seen.identity, seen.identitySet, nil
}

// SetIdentity implements Store.
func (m *Memory) SetIdentity(id replica.NodeID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.change(func(c *diskContent) { c.identity, c.identitySet = id, true })
}

// Load implements Store.
func (m *Memory) Load() (map[replica.GroupID]replica.PersistentState, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failure == ErrClosed {
		return nil, ErrClosed
	}
	return m.visibleContent().clone().groups, nil
}

// Write implements Store.
func (m *Memory) Write(batch []Write) error {
	if len(batch) == 0 {
		return nil
	}
	if before := m.hook(&m.beforeWrite); before != nil {
		before(batch)
	}
	if err := m.write(batch); err != nil {
		return err
	}
	if after := m.hook(&m.afterWrite); after != nil {
		after(batch)
	}
	return nil
}

// Drop implements Store.
func (m *Memory) Drop(group replica.GroupID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.change(func(c *diskContent) { delete(c.groups, group) })
}

// Close implements Store.
func (m *Memory) Close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failure = ErrClosed
	return nil
}

func (m *Memory) setNextFailure(failure *FailedError) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextFailure, m.tearRandom = failure, nil
}

func (m *Memory) hook(which *func([]Write)) func([]Write) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return *which
}

func (m *Memory) write(batch []Write) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failure != nil {
		return m.failure
	}
	if err := m.visibleContent().check(batch); err != nil {
		m.failure = &FailedError{Cause: err}
		return m.failure
	}
	kept := copyBatch(batch)
	return m.change(func(c *diskContent) {
		for i := range kept {
			c.write(&kept[i])
		}
	})
}

// change carries out a change as the switches say.
func (m *Memory) change(apply func(*diskContent)) error {
	if m.failure != nil {
		return m.failure
	}
	if m.full {
		return &FullError{Cause: errInjected}
	}
	if m.nextFailure != nil {
		m.failure = m.nextFailure
		if m.tearRandom != nil && m.tearRandom.IntN(2) == 0 {
			apply(m.disk)
		}
		return m.failure
	}
	if m.losesUnsynced {
		m.unsynced = append(m.unsynced, apply)
		return nil
	}
	apply(m.disk)
	return nil
}

// visibleContent is the content as the process sees it: the kept one and what isn't saved yet.
func (m *Memory) visibleContent() *diskContent {
	if len(m.unsynced) == 0 {
		return m.disk
	}
	seen := m.disk.clone()
	for _, change := range m.unsynced {
		change(seen)
	}
	return seen
}

func (c *diskContent) check(batch []Write) error {
	ends := map[replica.GroupID]*logEnd{}
	for i := range batch {
		w := &batch[i]
		if ends[w.Group] == nil {
			end := logEndOf(c.groups[w.Group])
			ends[w.Group] = &end
		}
		if err := ends[w.Group].advance(w); err != nil {
			return err
		}
	}
	return nil
}

func (c *diskContent) write(w *Write) {
	stored := c.groups[w.Group]
	if w.Hard != nil {
		stored.HardState = *w.Hard
	}
	if w.Snapshot != nil {
		stored.Snapshot = *w.Snapshot
		stored.Entries = entriesAfterSnapshot(stored.Entries, w)
	}
	if len(w.Entries) > 0 {
		kept := slices.IndexFunc(stored.Entries, func(e replica.Entry) bool { return e.Index >= w.Entries[0].Index })
		if kept >= 0 {
			stored.Entries = stored.Entries[:kept]
		}
		stored.Entries = append(stored.Entries, w.Entries...)
	}
	c.groups[w.Group] = stored
}

// entriesAfterSnapshot gives the entries that stay beside the write's snapshot.
func entriesAfterSnapshot(entries []replica.Entry, w *Write) []replica.Entry {
	if w.CompactTo == 0 {
		return nil
	}
	upTo := min(w.CompactTo, w.Snapshot.Index)
	first := slices.IndexFunc(entries, func(e replica.Entry) bool { return e.Index > upTo })
	if first < 0 {
		return nil
	}
	return slices.Clone(entries[first:])
}

func (c *diskContent) clone() *diskContent {
	copied := &diskContent{identity: c.identity, identitySet: c.identitySet, groups: maps.Clone(c.groups)}
	for name, stored := range copied.groups {
		stored.Snapshot = copySnapshot(stored.Snapshot)
		stored.Entries = copyEntries(stored.Entries)
		copied.groups[name] = stored
	}
	return copied
}

func copyBatch(batch []Write) []Write {
	kept := slices.Clone(batch)
	for i := range kept {
		w := &kept[i]
		if w.Hard != nil {
			hard := *w.Hard
			w.Hard = &hard
		}
		if w.Snapshot != nil {
			snapshot := copySnapshot(*w.Snapshot)
			w.Snapshot = &snapshot
		}
		w.Entries = copyEntries(w.Entries)
	}
	return kept
}

func copySnapshot(s replica.Snapshot) replica.Snapshot {
	s.Members.Voters = slices.Clone(s.Members.Voters)
	s.Members.Learners = slices.Clone(s.Members.Learners)
	s.State = copyBytes(s.State)
	return s
}

func copyEntries(entries []replica.Entry) []replica.Entry {
	if len(entries) == 0 {
		return nil
	}
	kept := slices.Clone(entries)
	for i := range kept {
		kept[i].Data = copyBytes(kept[i].Data)
	}
	return kept
}

// copyBytes copies data, empty as nil: see blob.
func copyBytes(data []byte) []byte {
	if len(data) == 0 {
		return nil
	}
	return slices.Clone(data)
}
