package store

import (
	"database/sql/driver"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"

	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/tallies"
)

// talliesFileName is the name of the tallies' database file in the store's directory.
const talliesFileName = "tallies.db"

// talliesSchemaVersion is stored in the file's user_version. A file with another version is rejected.
const talliesSchemaVersion = 1

// talliesSchema creates the tables. Entries of all logs are stored in the order in which they were
// written, so that a commit fills few pages. Origins are stored as signed numbers with the same bits.
const talliesSchema = `
CREATE TABLE IF NOT EXISTS origin (
	id       INTEGER PRIMARY KEY,
	complete INTEGER NOT NULL DEFAULT 0
);
CREATE TABLE IF NOT EXISTS names (
	id   INTEGER PRIMARY KEY,
	name TEXT NOT NULL UNIQUE
);
CREATE TABLE IF NOT EXISTS entries (
	origin   INTEGER NOT NULL,
	sequence INTEGER NOT NULL,
	name     INTEGER NOT NULL,
	member   TEXT NOT NULL,
	amount   INTEGER NOT NULL
);
`

const (
	sqlSetOrigin   = "INSERT INTO origin (id) VALUES (?)"
	sqlAddName     = "INSERT INTO names (id, name) VALUES (?, ?)"
	sqlAddEntry    = "INSERT INTO entries (origin, sequence, name, member, amount) VALUES (?, ?, ?, ?, ?)"
	sqlSetComplete = "UPDATE origin SET complete = 1"
	sqlReadOrigin  = "SELECT id, complete FROM origin"
	sqlReadNames   = "SELECT id, name FROM names"
	sqlReadTallies = "SELECT origin, sequence, name, member, amount FROM entries ORDER BY rowid"
)

// entriesPerStatement is the number of rows that one statement adds when many entries are appended.
const entriesPerStatement = 64

// sqlAddEntries adds entriesPerStatement rows.
var sqlAddEntries = sqlAddEntry + strings.Repeat(", (?, ?, ?, ?, ?)", entriesPerStatement-1)

// Tallies stores the logs of tallies in one database file. It has the contract of Store: an Append
// that returned nil is durable; one that failed with ErrFull changed nothing and may be retried, and
// no other one may be made before; after any other failure every later one fails with ErrFailed.
// It is safe for concurrent use.
type Tallies struct {
	mu sync.Mutex
	database
	origin   tallies.Origin
	complete bool
	names    map[string]int64
	values   []driver.Value // buffer that addEntries reuses
	added    []string       // names that the current change added
}

// OpenTallies opens the tallies' store in a directory and creates both if they do not exist. A new
// file gets a random origin: an empty disk must never continue a log that it no longer holds.
func OpenTallies(directory string) (*Tallies, error) { return openTalliesLimited(directory, 0) }

// openTalliesLimited is OpenTallies with a bound on the number of database pages; 0 means no bound.
func openTalliesLimited(directory string, maxPages int) (*Tallies, error) {
	file := databaseFile{name: talliesFileName, schema: talliesSchema, version: talliesSchemaVersion}
	opened, err := openDatabase(directory, file, maxPages)
	if err != nil {
		return nil, err
	}
	s := &Tallies{database: opened, names: map[string]int64{}}
	if err := errors.Join(s.loadOrigin(), s.loadNames(map[int64]string{})); err != nil {
		return nil, errors.Join(err, s.database.close())
	}
	return s, nil
}

// loadOrigin reads the origin, and creates it in a new file.
func (s *Tallies) loadOrigin() error {
	err := s.query(sqlReadOrigin, func(row []driver.Value) error {
		s.origin, s.complete = tallies.Origin(row[0].(int64)), row[1].(int64) != 0
		return nil
	})
	if err != nil || s.origin != 0 {
		return wrap(err, "read the origin")
	}
	origin := tallies.Origin(rand.Uint64() | 1)
	if err := s.run(sqlSetOrigin, int64(origin)); err != nil {
		return wrap(classifyOpenError(err), "create the origin")
	}
	s.origin = origin
	return nil
}

func (s *Tallies) loadNames(byID map[int64]string) error {
	return wrap(s.query(sqlReadNames, func(row []driver.Value) error {
		id, name := row[0].(int64), textOf(row[1])
		s.names[name], byID[id] = id, name
		return nil
	}), "read the names")
}

// Origin returns the origin of this disk's own log.
func (s *Tallies) Origin() tallies.Origin { return s.origin }

// Complete reports whether the disk has held all entries of the nodes since SetComplete.
func (s *Tallies) Complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete
}

// SetComplete records durably that the disk holds the entries of the nodes that have one. A disk
// that was emptied lacks them at first. The errors are those of Append.
func (s *Tallies) SetComplete() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.commit(func() error { return s.run(sqlSetComplete) })
	s.complete = s.complete || err == nil
	return err
}

// Load passes the stored entries to add, one log's in the order of the log.
func (s *Tallies) Load(add func(tallies.Run) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	byID := map[int64]string{}
	if err := s.loadNames(byID); err != nil {
		return err
	}
	return wrap(s.query(sqlReadTallies, func(row []driver.Value) error {
		entry := tallies.Entry{Tally: byID[row[2].(int64)], Member: textOf(row[3]), Amount: row[4].(int64)}
		return add(tallies.Run{Origin: tallies.Origin(row[0].(int64)), First: uint64(row[1].(int64)), Entries: []tallies.Entry{entry}})
	}), "read the entries")
}

// Append makes runs durable in one commit. Each continues its log.
func (s *Tallies) Append(runs []tallies.Run) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commit(func() error { return s.append(runs) })
}

// commit executes a change in one durable transaction.
func (s *Tallies) commit(change func() error) error {
	s.added = s.added[:0]
	return s.database.commit(change, func() {
		for _, name := range s.added {
			delete(s.names, name)
		}
	})
}

func (s *Tallies) append(runs []tallies.Run) error {
	for _, run := range runs {
		for first, rest := run.First, run.Entries; len(rest) > 0; {
			rows := 1
			if len(rest) >= entriesPerStatement {
				rows = entriesPerStatement
			}
			if err := s.addEntries(run.Origin, first, rest[:rows]); err != nil {
				return errors.Wrap(err, fmt.Sprintf("append entry %d", first))
			}
			first, rest = first+uint64(rows), rest[rows:]
		}
	}
	return nil
}

// addEntries adds one row, or entriesPerStatement rows, with one statement.
func (s *Tallies) addEntries(origin tallies.Origin, first uint64, entries []tallies.Entry) error {
	statement := sqlAddEntry
	if len(entries) > 1 {
		statement = sqlAddEntries
	}
	s.values = s.values[:0]
	for i, entry := range entries {
		name, err := s.nameID(entry.Tally)
		if err != nil {
			return err
		}
		s.values = append(s.values, int64(origin), int64(first)+int64(i), name, entry.Member, entry.Amount)
	}
	defer clear(s.values)
	return s.run(statement, s.values...)
}

// nameID returns the number of a tally's name and creates it for a new one.
func (s *Tallies) nameID(name string) (int64, error) {
	if id, known := s.names[name]; known {
		return id, nil
	}
	id := int64(len(s.names)) + 1
	if err := s.run(sqlAddName, id, name); err != nil {
		return 0, errors.Wrap(err, "add a name")
	}
	s.names[name] = id
	s.added = append(s.added, name)
	return id, nil
}

// Close closes the store. Every later call fails with ErrClosed.
func (s *Tallies) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.database.close()
}
