package store

import (
	"database/sql/driver"
	"os"
	"path/filepath"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/replica"
)

// directoryMode is the mode of the directories that Open creates. The state is private to the
// process's user.
const directoryMode = 0o700

// SQLite is a Store in one database file. It holds the file's lock while it is open.
type SQLite struct {
	mu sync.Mutex
	database
	groups  map[replica.GroupID]*group
	nextID  int64
	nextSeq int64    // sequence number of the next entry, over all groups
	undo    []func() // reverts what the current change did to the fields above
}

// group is the in-memory record of a stored group.
type group struct {
	id  int64
	end logEnd
}

var _ Store = (*SQLite)(nil)

// Open opens the store in a directory and creates both if they do not exist. It fails with
// ErrInUse if another process has the store open.
func Open(directory string) (*SQLite, error) { return openLimited(directory, 0) }

// openLimited is Open with a bound on the number of database pages; 0 means no bound.
func openLimited(directory string, maxPages int) (*SQLite, error) {
	opened, err := openDatabase(directory, databaseFile{name: fileName, schema: schema, version: schemaVersion}, maxPages)
	if err != nil {
		return nil, err
	}
	s := &SQLite{database: opened, groups: map[replica.GroupID]*group{}, nextID: 1, nextSeq: 1}
	if err := s.loadGroups(); err != nil {
		return nil, errors.Join(err, s.database.close())
	}
	return s, nil
}

// loadGroups reads which groups are stored, and where their logs end.
func (s *SQLite) loadGroups() error {
	stored, err := s.load()
	if err != nil {
		return err
	}
	for name, record := range stored {
		s.groups[name].end = logEndOf(record)
	}
	return nil
}

// Identity implements Store.
func (s *SQLite) Identity() (replica.NodeID, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, false, ErrClosed
	}
	var id replica.NodeID
	found := false
	err := s.query(sqlReadIdentity, func(row []driver.Value) error {
		id, found = replica.NodeID(row[0].(int64)), true
		return nil
	})
	return id, found, wrap(err, "read the identity")
}

// SetIdentity implements Store.
func (s *SQLite) SetIdentity(id replica.NodeID) error {
	return s.commit(func() error { return s.run(sqlIdentity, int64(id)) })
}

// Write implements Store.
func (s *SQLite) Write(batch []Write) error {
	if len(batch) == 0 {
		return nil
	}
	return s.commit(func() error {
		for i := range batch {
			if err := s.write(&batch[i]); err != nil {
				return errors.Wrapf(err, "write group %s", batch[i].Group)
			}
		}
		return nil
	})
}

// Drop implements Store.
func (s *SQLite) Drop(name replica.GroupID) error {
	return s.commit(func() error {
		record, ok := s.groups[name]
		if !ok {
			return nil
		}
		for _, statement := range []string{sqlDrop, sqlDropSnap, sqlDropLog} {
			if err := s.run(statement, record.id); err != nil {
				return errors.Wrapf(err, "drop group %s", name)
			}
		}
		delete(s.groups, name)
		s.undo = append(s.undo, func() { s.groups[name] = record })
		return nil
	})
}

// Close implements Store.
func (s *SQLite) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.database.close()
}

// commit executes the change in one durable transaction.
func (s *SQLite) commit(change func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.undo = s.undo[:0]
	return s.database.commit(change, s.undoChange)
}

// undoChange reverts the in-memory fields after a rollback.
func (s *SQLite) undoChange() {
	for i := len(s.undo) - 1; i >= 0; i-- {
		s.undo[i]()
	}
	s.undo = s.undo[:0]
}

func (s *SQLite) write(w *Write) error {
	record, err := s.group(w.Group)
	if err != nil {
		return err
	}
	before := record.end.last
	s.undo = append(s.undo, func() { record.end.last = before })
	if err := record.end.advance(w); err != nil {
		return err
	}
	if w.Hard != nil {
		if err := s.run(sqlHard, int64(w.Hard.Term), int64(w.Hard.Vote), record.id); err != nil {
			return err
		}
	}
	if w.Snapshot != nil {
		if err := s.writeSnapshot(record.id, w); err != nil {
			return err
		}
	}
	return s.writeEntries(record.id, before, w.Entries)
}

func (s *SQLite) writeSnapshot(id int64, w *Write) error {
	members, err := cbor.Marshal(w.Snapshot.Members)
	if err != nil {
		return wrap(err, "encode members")
	}
	err = s.run(sqlSnapshot, id, int64(w.Snapshot.Index), int64(w.Snapshot.Term), members, blob(w.Snapshot.State))
	if err != nil {
		return err
	}
	if w.CompactTo == 0 {
		return s.run(sqlDropLog, id)
	}
	return s.run(sqlCompact, id, int64(min(w.CompactTo, w.Snapshot.Index)))
}

// writeEntries appends the entries. It first truncates the log if it reaches the first entry's
// index.
func (s *SQLite) writeEntries(id int64, last uint64, entries []replica.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if entries[0].Index <= last {
		if err := s.run(sqlTruncate, id, int64(entries[0].Index)); err != nil {
			return err
		}
	}
	first := s.nextSeq
	s.undo = append(s.undo, func() { s.nextSeq = first })
	for i := range entries {
		e := &entries[i]
		if err := s.run(sqlAppend, s.nextSeq, id, int64(e.Index), int64(e.Term), int64(e.Kind), blob(e.Data)); err != nil {
			return err
		}
		s.nextSeq++
	}
	return nil
}

// group returns the record of a group and creates it for a new group.
func (s *SQLite) group(name replica.GroupID) (*group, error) {
	if record, ok := s.groups[name]; ok {
		return record, nil
	}
	record := &group{id: s.nextID}
	if err := s.run(sqlGroup, record.id, string(name)); err != nil {
		return nil, err
	}
	s.nextID++
	s.groups[name] = record
	s.undo = append(s.undo, func() {
		s.nextID--
		delete(s.groups, name)
	})
	return record, nil
}

func makeDirectory(directory string) error {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return wrap(err, "create the store's directory")
	}
	return syncDirectory(filepath.Dir(directory))
}

func syncDirectory(directory string) error {
	opened, err := os.Open(directory)
	if err != nil {
		return wrap(err, "open the directory to sync it")
	}
	return wrap(errors.Join(opened.Sync(), opened.Close()), "sync the directory")
}
