package store

import (
	"database/sql/driver"
	"path/filepath"
	"sync"

	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/tallies"
)

// tallyCopiesFileName is the name of the database file of copied adds in the store's directory.
const tallyCopiesFileName = "tallycopies.db"

// tallyCopiesSchemaVersion is stored in the file's user_version. A file with another version is rejected.
const tallyCopiesSchemaVersion = 1

const tallyCopiesSchema = `
CREATE TABLE IF NOT EXISTS copies (
	tally  TEXT NOT NULL,
	member TEXT NOT NULL,
	amount INTEGER NOT NULL,
	PRIMARY KEY (tally, member, amount)
) WITHOUT ROWID;
`

const (
	sqlAddCopy    = "INSERT OR IGNORE INTO copies (tally, member, amount) VALUES (?, ?, ?)"
	sqlRemoveCopy = "DELETE FROM copies WHERE tally = ? AND member = ? AND amount = ?"
	sqlReadCopies = "SELECT tally, member, amount FROM copies"
)

// TallyCopies stores the adds to tallies of which a machine outside the core holds a copy. It has the
// contract of Store: a change that returned nil is durable; one that failed with ErrFull changed nothing
// and may be retried; after any other failure every later one fails with ErrFailed. It is safe for
// concurrent use.
type TallyCopies struct {
	mu sync.Mutex
	database
	failure error // *FailedError or ErrClosed: no further change is possible
	closed  bool
}

// OpenTallyCopies opens the store of copied adds in a directory and creates both if they do not exist.
func OpenTallyCopies(directory string) (*TallyCopies, error) {
	return openTallyCopiesLimited(directory, 0)
}

// openTallyCopiesLimited is OpenTallyCopies with a bound on the number of database pages; 0 means no bound.
func openTallyCopiesLimited(directory string, maxPages int) (*TallyCopies, error) {
	if err := makeDirectory(directory); err != nil {
		return nil, err
	}
	connection, err := connect(filepath.Join(directory, tallyCopiesFileName))
	if err != nil {
		return nil, err
	}
	s := &TallyCopies{database: newDatabase(connection)}
	if err := s.initialize(directory, maxPages); err != nil {
		return nil, errors.Join(err, s.database.close())
	}
	return s, nil
}

func (s *TallyCopies) initialize(directory string, maxPages int) error {
	if err := s.configure(maxPages); err != nil {
		return err
	}
	if err := s.createTables(tallyCopiesSchema, tallyCopiesSchemaVersion); err != nil {
		return err
	}
	return syncDirectory(directory)
}

// Load passes the stored adds to add.
func (s *TallyCopies) Load(add func(tallies.Entry)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	return wrap(s.query(sqlReadCopies, func(row []driver.Value) error {
		add(tallies.Entry{Tally: textOf(row[0]), Member: textOf(row[1]), Amount: row[2].(int64)})
		return nil
	}), "read the copies")
}

// Add makes adds durable in one commit.
func (s *TallyCopies) Add(entries []tallies.Entry) error { return s.change(sqlAddCopy, entries) }

// Remove removes adds in one commit.
func (s *TallyCopies) Remove(entries []tallies.Entry) error { return s.change(sqlRemoveCopy, entries) }

// change executes a statement for each add in one durable transaction. If the disk is full, it is undone.
func (s *TallyCopies) change(statement string, entries []tallies.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return s.failure
	}
	err := s.transact(func() error {
		for _, entry := range entries {
			if err := s.run(statement, entry.Tally, entry.Member, entry.Amount); err != nil {
				return err
			}
		}
		return nil
	})
	switch {
	case err == nil:
		return nil
	case isFull(err):
		s.checkpoint()
		return &FullError{Cause: err}
	}
	s.failure = &FailedError{Cause: err}
	return s.failure
}

// Close closes the store. Every later call fails with ErrClosed.
func (s *TallyCopies) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed, s.failure = true, ErrClosed
	return s.database.close()
}
