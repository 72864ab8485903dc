package store

import "fmt"

// fileName is the name of the database file in the store's directory.
const fileName = "barograph.db"

// schemaVersion is stored in the file's user_version. A file with another version is rejected.
const schemaVersion = 1

// Sizes that bound the files. The write-ahead log is checkpointed into the database every
// checkpointPages pages and truncated to logBytes when it restarts, so it never holds more than
// that and one Write. SQLite reuses freed pages of the database. With groups of a few megabytes in
// total, the files stay below 40 MB: the database, 4 MB of log and the largest Write.
const (
	pageBytes       = 4096
	checkpointPages = 1000
	logBytes        = checkpointPages * pageBytes
	cacheKiB        = 2048
)

// pragmas returns the settings that are applied on every open, in this order. The locking mode
// must be exclusive before the database enters WAL mode: then the WAL index stays in this
// process's memory and no shared-memory file is needed. FULL syncs the log in every commit.
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

// schema creates the tables. Unsigned numbers are stored as signed ones with the same bits.
// Snapshots have a table of their own, so that a new term does not rewrite a group's state.
// Entries of all groups are stored in the order in which they were written, so that a commit for
// many groups fills few pages. The cost is that truncating or compacting a log scans the whole
// table; both are rare.
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

// Statements that are kept prepared.
const (
	sqlBegin    = "BEGIN IMMEDIATE"
	sqlCommit   = "COMMIT"
	sqlRollback = "ROLLBACK"
	// sqlCheckpoint moves the write-ahead log into the database and restarts it.
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

// Statements that read.
const (
	sqlReadIdentity  = "SELECT value FROM meta WHERE key = 'identity'"
	sqlReadVersion   = "PRAGMA user_version"
	sqlReadGroups    = "SELECT id, name, term, vote FROM groups"
	sqlReadSnapshots = "SELECT id, idx, term, members, state FROM snapshots"
	sqlReadEntries   = "SELECT seq, id, idx, term, kind, data FROM entries ORDER BY seq"
)
