// Package store keeps what a process must not forget of the groups it takes part in:
// its own identity and, for each group, the hard state, a snapshot and the log after it.
//
// SQLite keeps it in one database file. Memory has the same contract and loses, tears,
// fails or fills on demand, for tests.
package store

import (
	"fmt"

	"github.com/go-faster/errors"

	"pipitmux/internal/barograph/replica"
)

// Store keeps groups durably. Its contract:
//
//   - A Write or SetIdentity that returned nil is durable: a Load after any crash shows it.
//   - A Write is carried out whole or not at all; after a crash during one, either is found.
//   - A change that found the disk full fails with a *FullError (errors.Is ErrFull). The store
//     shows it not at all, and the same change may be tried again. Until it comes through, a
//     crash may find it kept: no other change is to take its place.
//   - Once a call that changes the store has failed otherwise, every later call that changes it
//     fails too: its error is a *FailedError (errors.Is ErrFailed), the process must end, and
//     the next one finds out what was kept.
//   - What is given in is not kept, and what Load gives belongs to the caller.
//
// A Store may be used by many goroutines; its calls are carried out one after another.
type Store interface {
	// Identity is the node's id, false where none was set.
	Identity() (replica.NodeID, bool, error)
	// SetIdentity keeps the node's id.
	SetIdentity(replica.NodeID) error
	// Load reads all groups. Entries are consecutive, the first one at most one after the snapshot.
	Load() (map[replica.GroupID]replica.PersistentState, error)
	// Write makes the batch durable in one commit, in order.
	Write(batch []Write) error
	// Drop forgets a group durably; one that isn't held is no error.
	Drop(replica.GroupID) error
	// Close gives the store up. Every later call fails with ErrClosed.
	Close() error
}

// Write is a change of one group, carried out in the order of its fields.
type Write struct {
	Group replica.GroupID
	Hard  *replica.HardState // nil: as before
	// Snapshot takes the place of the one before. Where CompactTo is 0 it takes the place of
	// the whole log; else entries up to CompactTo go, which is at most Snapshot.Index, and later ones stay.
	Snapshot  *replica.Snapshot
	CompactTo uint64 // meant together with Snapshot only
	// Entries take the place of whatever stands at and after the first one's index. They are
	// consecutive, and the first one is at most one after the end of the log.
	Entries []replica.Entry
}

// The failures of a store.
var (
	ErrFailed = errors.New("the store has failed for good")
	ErrFull   = errors.New("the store's disk is full")
	ErrClosed = errors.New("the store is closed")
	ErrInUse  = errors.New("the store is in use by another process")
	// ErrGap tells of a Write whose entries don't follow on the log: the caller is at fault.
	ErrGap = errors.New("the entries leave a gap in the log")
)

// FullError is a change that found the disk full. errors.Is finds ErrFull in it.
type FullError struct{ Cause error }

// Error implements error.
func (e *FullError) Error() string { return fmt.Sprintf("%v: %v", ErrFull, e.Cause) }

// Is tells whether the target is the failure that this one stands for.
func (e *FullError) Is(target error) bool { return target == ErrFull }

// Unwrap gives the cause.
func (e *FullError) Unwrap() error { return e.Cause }

// FailedError is a failure after which the store takes no further change. errors.Is finds
// ErrFailed in it.
type FailedError struct{ Cause error }

// Error implements error.
func (e *FailedError) Error() string { return fmt.Sprintf("%v: %v", ErrFailed, e.Cause) }

// Is tells whether the target is the failure that this one stands for.
func (e *FailedError) Is(target error) bool { return target == ErrFailed }

// Unwrap gives the cause.
func (e *FailedError) Unwrap() error { return e.Cause }

// logEnd is what is known of a group's log: its last index, or the snapshot's where it is empty.
type logEnd struct {
	last uint64
}

// advance tells whether the write's entries follow on the span, and moves the span on.
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
			return errors.Wrapf(ErrGap, "group %s: entry %d where %d is due", w.Group, w.Entries[i].Index, first+uint64(i))
		}
	}
	s.last = first + uint64(len(w.Entries)) - 1
	return nil
}

// wrap adds a message to a failure; errors.Wrap would make one of nil.
func wrap(err error, message string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, message)
}
