package store

import (
	"database/sql/driver"
	"sync"

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
}

// OpenTallyCopies opens the store of copied adds in a directory and creates both if they do not exist.
func OpenTallyCopies(directory string) (*TallyCopies, error) {
	return openTallyCopiesLimited(directory, 0)
}

// openTallyCopiesLimited is OpenTallyCopies with a bound on the number of database pages; 0 means no bound.
func openTallyCopiesLimited(directory string, maxPages int) (*TallyCopies, error) {
	file := databaseFile{name: tallyCopiesFileName, schema: tallyCopiesSchema, version: tallyCopiesSchemaVersion}
	opened, err := openDatabase(directory, file, maxPages)
	if err != nil {
		return nil, err
	}
	return &TallyCopies{database: opened}, nil
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

// change executes a statement for each add in one durable transaction.
func (s *TallyCopies) change(statement string, entries []tallies.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commit(func() error {
		for _, entry := range entries {
			if err := s.run(statement, entry.Tally, entry.Member, entry.Amount); err != nil {
				return err
			}
		}
		return nil
	}, func() {})
}

// Close closes the store. Every later call fails with ErrClosed.
func (s *TallyCopies) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.database.close()
}
