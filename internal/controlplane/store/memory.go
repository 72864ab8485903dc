package store

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/replica"
)

// errInjected is the cause of an injected failure.
var errInjected = errors.New("injected failure")

// Memory is a Store in memory with methods that inject disk faults. Its content survives Close:
// Reopen returns a new store with the same content.
type Memory struct {
	mu            sync.Mutex
	disk          *diskContent
	failure       error                // returned by all later changes
	nextFailure   error                // returned by the next change
	full          bool                 // changes fail as if the disk were full
	losesUnsynced bool                 // changes return nil but are not durable until Sync
	unsynced      []func(*diskContent) // changes since the last Sync if losesUnsynced is set
	tearRandom    *rand.Rand           // if set, it decides whether the change that fails with nextFailure is stored
	afterWrite    func(batch []Write)  // called for each Write after it is durable
	beforeWrite   func(batch []Write)  // called for each Write before it starts
}

// diskContent is the content of the simulated disk.
type diskContent struct {
	identity    replica.NodeID
	identitySet bool
	groups      map[replica.GroupID]replica.PersistentState
}

var _ Store = (*Memory)(nil)

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{disk: &diskContent{groups: map[replica.GroupID]replica.PersistentState{}}}
}

// Reopen returns a store with the durable content of this one, as after a restart of the process.
// It closes this store. No fault is injected into the new one.
func (m *Memory) Reopen() *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failure = ErrClosed
	return &Memory{disk: m.disk.clone()}
}

// FailNextChange makes the next change fail without storing anything.
func (m *Memory) FailNextChange() { m.setNextFailure(&FailedError{Cause: errInjected}) }

// FillDisk makes changes fail as on a full disk, without storing anything, until FreeDisk.
func (m *Memory) FillDisk() { m.setFull(true) }

// FreeDisk ends the effect of FillDisk.
func (m *Memory) FreeDisk() { m.setFull(false) }

func (m *Memory) setFull(full bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.full = full
}

// TearNextChange makes the next change fail. A random draw decides whether it is stored, as after
// a power loss during a commit.
func (m *Memory) TearNextChange(random *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextFailure, m.tearRandom = &FailedError{Cause: errInjected}, random
}

// LoseUnsyncedChanges makes changes return before they are durable, like a disk that ignores sync
// requests: Reopen loses the changes since the last Sync. The caller cannot notice it. Tests use it
// to prove that they detect such a loss.
func (m *Memory) LoseUnsyncedChanges() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.losesUnsynced = true
}

// Sync makes the changes durable that LoseUnsyncedChanges holds back.
func (m *Memory) Sync() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, change := range m.unsynced {
		change(m.disk)
	}
	m.unsynced = nil
}

// OnWrite sets functions that are called for each Write before it starts and after it is durable.
// Either may be nil. Both run without the store's lock. before may block, like a slow disk.
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

// change executes a change, subject to the injected faults.
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

// visibleContent returns the content as the process sees it: durable and unsynced changes.
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

// entriesAfterSnapshot returns the entries that stay in the log after the write's snapshot.
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

// copyBytes copies data and returns nil for empty data, as blob does.
func copyBytes(data []byte) []byte {
	if len(data) == 0 {
		return nil
	}
	return slices.Clone(data)
}
