package store

import (
	"database/sql/driver"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
)

// A node that is restarted with this build must find its identity, votes, logs and snapshots in the
// database of the build before it. The fixture was written by the build before identifiers were
// renamed, and must not be regenerated.
func TestReadsDatabaseOfEarlierBuild(t *testing.T) {
	directory := t.TempDir()
	raw, err := os.ReadFile(filepath.Join("testdata", "earlier_build", "barograph.db"))
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(directory, "barograph.db"), raw, 0o600))

	s, err := Open(directory)
	assert.NilError(t, err)
	id, found, err := s.Identity()
	assert.NilError(t, err)
	assert.Assert(t, found)
	assert.Equal(t, id, replica.NodeID(1<<63+5))
	stored, err := s.Load()
	assert.NilError(t, err)
	assert.DeepEqual(t, stored, earlierGroups())

	// The groups must also go on where they stood.
	added := replica.Entry{Index: 13, Term: 10, Data: []byte("next")}
	assert.NilError(t, s.Write([]Write{{Group: "configuration", Entries: []replica.Entry{added}}}))
	assert.NilError(t, s.Close())
	s, err = Open(directory)
	assert.NilError(t, err)
	defer s.Close()
	stored, err = s.Load()
	assert.NilError(t, err)
	want := earlierGroups()
	grown := want["configuration"]
	grown.Entries = append(grown.Entries, added)
	want["configuration"] = grown
	assert.DeepEqual(t, stored, want)
}

// earlierGroups returns what the fixture holds. The kinds of entries are written as numbers, as
// these are what is stored.
func earlierGroups() map[replica.GroupID]replica.PersistentState {
	return map[replica.GroupID]replica.PersistentState{
		// A snapshot with members, and the log after it.
		"configuration": {
			HardState: replica.HardState{Term: 10, Vote: 1<<63 + 6},
			Snapshot: replica.Snapshot{Index: 9, Term: 8,
				Members: replica.Members{Voters: []replica.NodeID{1, 2, 1<<63 + 6}, Learners: []replica.NodeID{4}}, State: []byte("the state")},
			Entries: []replica.Entry{
				{Index: 10, Term: 8, Kind: 0, Data: []byte("command")},
				{Index: 11, Term: 9, Kind: 1},
				{Index: 12, Term: 10, Kind: 2, Data: []byte("members")},
			},
		},
		// The first members and state, without an index, and a whole log.
		"turns-3": {
			HardState: replica.HardState{Term: 1<<63 + 7, Vote: 2},
			Snapshot:  replica.Snapshot{Members: replica.Members{Voters: []replica.NodeID{1}}, State: []byte("begin")},
			Entries:   []replica.Entry{{Index: 1, Term: 3, Data: []byte("x")}},
		},
		// Only a vote.
		"services-0": {HardState: replica.HardState{Term: 5, Vote: 3}},
	}
}

// This build must write the rows that the build before it wrote: after an upgrade is undone, that
// build reads them.
func TestWritesDatabaseOfEarlierBuild(t *testing.T) {
	directory := t.TempDir()
	raw, err := os.ReadFile(filepath.Join("testdata", "earlier_build", "barograph.db"))
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(directory, "barograph.db"), raw, 0o600))
	earlier, err := Open(directory)
	assert.NilError(t, err)
	defer earlier.Close()

	written, err := Open(t.TempDir())
	assert.NilError(t, err)
	defer written.Close()
	assert.NilError(t, written.SetIdentity(1<<63+5))
	var batch []Write
	for _, name := range []replica.GroupID{"configuration", "turns-3", "services-0"} { // in the order of the fixture
		group := earlierGroups()[name]
		w := Write{Group: name, Hard: &group.HardState, Entries: group.Entries}
		if len(group.Snapshot.State) > 0 {
			w.Snapshot = &group.Snapshot
		}
		batch = append(batch, w)
	}
	assert.NilError(t, written.Write(batch))
	for _, query := range []string{
		"PRAGMA user_version", "SELECT type, name, sql FROM sqlite_master ORDER BY name", "SELECT key, value FROM meta",
		"SELECT id, name, term, vote FROM groups ORDER BY id", "SELECT id, idx, term, members, state FROM snapshots ORDER BY id",
		"SELECT seq, id, idx, term, kind, data FROM entries ORDER BY seq",
	} {
		want := rowsOf(t, earlier, query)
		assert.Assert(t, len(want) > 0, query)
		assert.DeepEqual(t, rowsOf(t, written, query), want)
	}
}

// rowsOf returns the rows of a query as text.
func rowsOf(t *testing.T, s *SQLite, query string) (rows []string) {
	t.Helper()
	assert.NilError(t, s.query(query, func(row []driver.Value) error {
		rows = append(rows, fmt.Sprintf("%#v", row))
		return nil
	}))
	return rows
}
