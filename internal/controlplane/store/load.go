package store

import (
	"database/sql/driver"
	"fmt"
	"net/url"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/replica"
)

// VersionError reports a database file that another version of the program wrote.
type VersionError struct {
	Found, Read int64
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("the store has schema version %d, this program reads version %d", e.Found, e.Read)
}

// Load implements Store.
func (s *SQLite) Load() (map[replica.GroupID]replica.PersistentState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, ErrClosed
	}
	return s.load()
}

// load reads all groups, and adds a record for each group that has none yet.
func (s *SQLite) load() (map[replica.GroupID]replica.PersistentState, error) {
	byID := map[int64]*replica.PersistentState{}
	names := map[int64]replica.GroupID{}
	if err := s.query(sqlReadGroups, s.readGroup(byID, names)); err != nil {
		return nil, errors.Wrap(err, "read the groups")
	}
	if err := s.query(sqlReadSnapshots, readSnapshot(byID)); err != nil {
		return nil, errors.Wrap(err, "read the snapshots")
	}
	if err := s.query(sqlReadEntries, s.readEntry(byID)); err != nil {
		return nil, errors.Wrap(err, "read the entries")
	}
	stored := make(map[replica.GroupID]replica.PersistentState, len(byID))
	for id, loaded := range byID {
		stored[names[id]] = *loaded
	}
	return stored, nil
}

func (s *SQLite) readGroup(byID map[int64]*replica.PersistentState, names map[int64]replica.GroupID) func([]driver.Value) error {
	return func(row []driver.Value) error {
		id, name := row[0].(int64), replica.GroupID(textOf(row[1]))
		names[id] = name
		hard := replica.HardState{Term: uint64(row[2].(int64)), Vote: replica.NodeID(row[3].(int64))}
		byID[id] = &replica.PersistentState{HardState: hard}
		if _, ok := s.groups[name]; !ok {
			s.groups[name] = &group{id: id}
		}
		s.nextID = max(s.nextID, id+1)
		return nil
	}
}

func readSnapshot(byID map[int64]*replica.PersistentState) func([]driver.Value) error {
	return func(row []driver.Value) error {
		loaded, ok := byID[row[0].(int64)]
		if !ok {
			return nil
		}
		loaded.Snapshot.Index = uint64(row[1].(int64))
		loaded.Snapshot.Term = uint64(row[2].(int64))
		loaded.Snapshot.State = bytesOf(row[4])
		return wrap(cbor.Unmarshal(bytesOf(row[3]), &loaded.Snapshot.Members), "decode members")
	}
}

func (s *SQLite) readEntry(byID map[int64]*replica.PersistentState) func([]driver.Value) error {
	return func(row []driver.Value) error {
		s.nextSeq = max(s.nextSeq, row[0].(int64)+1)
		loaded, ok := byID[row[1].(int64)]
		if !ok {
			return nil
		}
		loaded.Entries = append(loaded.Entries, replica.Entry{
			Index: uint64(row[2].(int64)),
			Term:  uint64(row[3].(int64)),
			Kind:  replica.EntryKind(row[4].(int64)),
			Data:  bytesOf(row[5]),
		})
		return nil
	}
}

// logEndOf returns the end of a stored log.
func logEndOf(stored replica.PersistentState) logEnd {
	end := logEnd{last: stored.Snapshot.Index}
	if n := len(stored.Entries); n > 0 {
		end.last = max(end.last, stored.Entries[n-1].Index)
	}
	return end
}

// escapePath escapes a path for use in a file: URI.
func escapePath(path string) string {
	return (&url.URL{Path: path}).EscapedPath()
}

// blob stores empty data as NULL. Both empty and nil data are read back as nil.
func blob(data []byte) driver.Value {
	if len(data) == 0 {
		return nil
	}
	return data
}

func bytesOf(value driver.Value) []byte {
	data, _ := value.([]byte)
	if len(data) == 0 {
		return nil
	}
	return data
}

func textOf(value driver.Value) string {
	switch v := value.(type) {
	case string:
		return v
	case []byte:
		return string(v)
	}
	return ""
}
