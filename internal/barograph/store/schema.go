package store

import "fmt"

// fileName is the database's name in its folder.
const fileName = "barograph.db"

// schemaVersion is kept in the file's user_version; another one is refused.
const schemaVersion = 1

// The sizes that bound the file set. The write-ahead log is moved into the database every
// checkpointPages pages, and cut to logBytes when it begins anew; it never holds more than
// that and one Write. Freed pages of the database are used again. A small load (groups of some
// megabytes together) so stays below 40 MB: database, plus 4 MB of log, plus the largest Write.
const (
	pageBytes       = 4096
	checkpointPages = 1000
	logBytes        = checkpointPages * pageBytes
	cacheKiB        = 2048
)

// pragmas are made on each opening, in this order: the lock must be exclusive before the
// write-ahead log is entered, so that its index stays in this process's memory and no
// shared-memory file is needed; FULL syncs the log in every commit.
func pragmas(maxPages int) []string {
	list := []string{
		fmt.Sprintf("PRAGMA page_size = %d", pageBytes),
		"PRAGMA locking_mode = EXCLUSIVE",
		"PRAGMA journal_mode = WAL",
		"PRAGMA synchronous = FULL",
		fmt.Sprintf("PRAGMA wal_autocheckpoint = %d", checkpointPages),
		fmt.Sprintf("PRAGMA journal_size_limit = %d", logBytes),
		fmt.Sprintf("PRAGMA cache_size = -%d", cacheKiB),
		"PRAGMA temp_store = MEMORY",
	}
	if maxPages > 0 {
		list = append(list, fmt.Sprintf("PRAGMA max_page_count = %d", maxPages))
	}
	return list
}

// schema makes the tables. Unsigned numbers are kept as the signed ones of the same bits.
// Snapshots stand apart from groups, so that a new term doesn't write a state again.
// Entries stand in the order of their writing, all groups' together: a commit for many groups
// fills few pages. Cutting and compacting a log reads the whole table for that; both are rare.
const schema = `
CREATE TABLE IF NOT EXISTS meta (
	key   TEXT PRIMARY KEY,
	value INTEGER NOT NULL
) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS groups (
	id   INTEGER PRIMARY KEY,
	name TEXT NOT NULL UNIQUE,
	term INTEGER NOT NULL DEFAULT 0,
	vote INTEGER NOT NULL DEFAULT 0
);
CREATE TABLE IF NOT EXISTS snapshots (
	id      INTEGER PRIMARY KEY,
	idx     INTEGER NOT NULL,
	term    INTEGER NOT NULL,
	members BLOB NOT NULL,
	state   BLOB
);
CREATE TABLE IF NOT EXISTS entries (
	seq  INTEGER PRIMARY KEY,
	id   INTEGER NOT NULL,
	idx  INTEGER NOT NULL,
	term INTEGER NOT NULL,
	kind INTEGER NOT NULL,
	data BLOB
);
`

// The statements that are kept prepared.
const (
	sqlBegin    = "BEGIN IMMEDIATE"
	sqlCommit   = "COMMIT"
	sqlRollback = "ROLLBACK"
	// sqlCheckpoint moves the write-ahead log into the database and lets it begin anew.
	sqlCheckpoint = "PRAGMA wal_checkpoint(RESTART)"
	sqlGroup      = "INSERT INTO groups (id, name) VALUES (?, ?)"
	sqlHard       = "UPDATE groups SET term = ?, vote = ? WHERE id = ?"
	sqlSnapshot   = "INSERT OR REPLACE INTO snapshots (id, idx, term, members, state) VALUES (?, ?, ?, ?, ?)"
	sqlCompact    = "DELETE FROM entries WHERE id = ? AND idx <= ?"
	sqlTruncate   = "DELETE FROM entries WHERE id = ? AND idx >= ?"
	sqlAppend     = "INSERT INTO entries (seq, id, idx, term, kind, data) VALUES (?, ?, ?, ?, ?, ?)"
	sqlIdentity   = "INSERT OR REPLACE INTO meta (key, value) VALUES ('identity', ?)"
	sqlDrop       = "DELETE FROM groups WHERE id = ?"
	sqlDropSnap   = "DELETE FROM snapshots WHERE id = ?"
	sqlDropLog    = "DELETE FROM entries WHERE id = ?"
)

// The statements that read.
const (
	sqlReadIdentity  = "SELECT value FROM meta WHERE key = 'identity'"
	sqlReadVersion   = "PRAGMA user_version"
	sqlReadGroups    = "SELECT id, name, term, vote FROM groups"
	sqlReadSnapshots = "SELECT id, idx, term, members, state FROM snapshots"
	sqlReadEntries   = "SELECT seq, id, idx, term, kind, data FROM entries ORDER BY seq"
)
