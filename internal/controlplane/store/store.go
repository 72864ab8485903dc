// Package store holds the durable state of a process's replicated groups: the node's identity
// and, for each group, the hard state, a snapshot and the log after the snapshot.
//
// SQLite stores it in one database file. Memory implements the same contract for tests and
// injects faults on demand: failed, torn and unsynced changes, and a full disk.
package store

import (
	"fmt"

	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/replica"
)

// Store holds the state of groups durably. Its contract:
//
//   - A Write or SetIdentity that returned nil is durable: Load shows it after any crash.
//   - A Write is atomic. After a crash during a Write, Load shows all of it or nothing of it.
//   - A change that fails because the disk is full returns a *FullError (errors.Is ErrFull). Load
//     shows nothing of it, and the caller may retry the same change. Until the retry succeeds,
//     the change may reappear after a crash, so the caller must not make another change instead.
//   - After any other failure of a change, every later change fails too. The error is a
//     *FailedError (errors.Is ErrFailed) and the process must exit. The next process reads what
//     was stored.
//   - The store does not retain its arguments, and the caller owns what Load returns.
//
// A Store is safe for concurrent use. It executes calls one after another.
type Store interface {
	// Identity returns the node's id, and false if none was set.
	Identity() (replica.NodeID, bool, error)
	// SetIdentity stores the node's id durably.
	SetIdentity(replica.NodeID) error
	// Load reads all groups. The entries of a group are consecutive. The index of the first entry
	// is at most one after the snapshot's.
	Load() (map[replica.GroupID]replica.PersistentState, error)
	// Write makes the batch durable in one commit. The changes apply in order.
	Write(batch []Write) error
	// Drop deletes a group durably. It is no error if the store does not hold the group.
	Drop(replica.GroupID) error
	// Close closes the store. Every later call fails with ErrClosed.
	Close() error
}

// Write is a change of one group. Its fields apply in order.
type Write struct {
	Group replica.GroupID
	Hard  *replica.HardState // nil: unchanged
	// Snapshot replaces the previous snapshot. If CompactTo is 0, the whole log is deleted.
	// Otherwise entries up to CompactTo are deleted and later ones stay. CompactTo is at most
	// Snapshot.Index.
	Snapshot  *replica.Snapshot
	CompactTo uint64 // used only together with Snapshot
	// Entries replace everything at and after the index of the first one. They are consecutive,
	// and the first index is at most one after the end of the log.
	Entries []replica.Entry
}

// Errors of a store, for use with errors.Is.
var (
	ErrFailed = errors.New("the store has failed permanently")
	ErrFull   = errors.New("the store's disk is full")
	ErrClosed = errors.New("the store is closed")
	ErrInUse  = errors.New("the store is in use by another process")
	// ErrGap: the entries of a Write do not follow the end of the log. This is a caller's bug.
	ErrGap = errors.New("the entries leave a gap in the log")
)

// FullError reports a change that failed because the disk is full. It matches ErrFull.
type FullError struct{ Cause error }

// Error implements error.
func (e *FullError) Error() string { return fmt.Sprintf("%v: %v", ErrFull, e.Cause) }

// Is reports whether target is ErrFull.
func (e *FullError) Is(target error) bool { return target == ErrFull }

// Unwrap returns the cause.
func (e *FullError) Unwrap() error { return e.Cause }

// FailedError reports a failure after which the store accepts no further change. It matches
// ErrFailed.
type FailedError struct{ Cause error }

// Error implements error.
func (e *FailedError) Error() string { return fmt.Sprintf("%v: %v", ErrFailed, e.Cause) }

// Is reports whether target is ErrFailed.
func (e *FailedError) Is(target error) bool { return target == ErrFailed }

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Cause }

// logEnd is the end of a group's log: the index of the last entry, or of the snapshot if the log
// is empty.
type logEnd struct {
	last uint64
}

// advance moves the log's end by a write. It returns ErrGap if the write's entries do not follow
// the log.
func (s *logEnd) advance(w *Write) error {
	if w.Snapshot != nil && (w.CompactTo == 0 || w.Snapshot.Index > s.last) {
		s.last = w.Snapshot.Index
	}
	if len(w.Entries) == 0 {
		return nil
	}
	first := w.Entries[0].Index
	if first == 0 || first > s.last+1 {
		return errors.Wrapf(ErrGap, "group %s: entry %d after %d", w.Group, first, s.last)
	}
	for i := range w.Entries {
		if w.Entries[i].Index != first+uint64(i) {
			return errors.Wrapf(ErrGap, "group %s: found entry %d instead of %d", w.Group, w.Entries[i].Index, first+uint64(i))
		}
	}
	s.last = first + uint64(len(w.Entries)) - 1
	return nil
}

// wrap adds a message to an error and returns nil for nil. errors.Wrap would return an error.
func wrap(err error, message string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, message)
}
