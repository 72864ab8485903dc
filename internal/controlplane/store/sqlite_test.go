package store

import (
	"database/sql/driver"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
)

// copyFiles copies the store's files as they are now, as after a power loss, and returns the
// directory of the copy.
func copyFiles(t *testing.T, directory string) string {
	t.Helper()
	target := t.TempDir()
	names, err := os.ReadDir(directory)
	assert.NilError(t, err)
	for _, name := range names {
		data, err := os.ReadFile(filepath.Join(directory, name.Name()))
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(target, name.Name()), data, 0o600))
	}
	return target
}

// When Write returns, its changes must be in the files.
func TestWriteIsInFilesWhenItReturns(t *testing.T) {
	directory := t.TempDir()
	s := sqliteDisk{directory: directory}.open(t)
	for i := uint64(1); i <= 20; i++ {
		assert.NilError(t, s.Write([]Write{{Group: "a", Entries: []replica.Entry{entry(i, 1, "data")}}}))
		copied := sqliteDisk{directory: copyFiles(t, directory)}.open(t)
		stored, err := copied.Load()
		assert.NilError(t, err)
		assert.Equal(t, uint64(len(stored["a"].Entries)), i)
	}
}

// SQLite must have accepted the pragmas on which durability and file size depend.
func TestPragmasAreEffective(t *testing.T) {
	opened, err := Open(t.TempDir())
	assert.NilError(t, err)
	defer opened.Close()
	for pragma, want := range map[string]string{
		"journal_mode": "wal", "locking_mode": "exclusive", "synchronous": "2", "journal_size_limit": fmt.Sprint(logBytes),
	} {
		got := ""
		assert.NilError(t, opened.query("PRAGMA "+pragma, func(row []driver.Value) error {
			got = fmt.Sprint(row[0])
			return nil
		}))
		assert.Equal(t, got, want, pragma)
	}
}

// The store must consist of the database and its write-ahead log, also in a directory whose path
// has characters that are special in URIs.
func TestNoSharedMemoryFileIsCreated(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "with space?", "and#more")
	s := sqliteDisk{directory: directory}.open(t)
	assert.NilError(t, s.SetIdentity(1))
	names, err := os.ReadDir(directory)
	assert.NilError(t, err)
	var found []string
	for _, name := range names {
		found = append(found, name.Name())
	}
	assert.DeepEqual(t, found, []string{fileName, fileName + "-wal"})
}

func TestSecondOpenFails(t *testing.T) {
	directory := t.TempDir()
	_ = sqliteDisk{directory: directory}.open(t)
	_, err := Open(directory)
	assert.ErrorIs(t, err, ErrInUse)
}

func TestOtherSchemaVersionIsRejected(t *testing.T) {
	directory := t.TempDir()
	opened, err := Open(directory)
	assert.NilError(t, err)
	_, err = opened.connection.Exec("PRAGMA user_version = 9", nil)
	assert.NilError(t, err)
	assert.NilError(t, opened.Close())
	_, err = Open(directory)
	var version *VersionError
	assert.Assert(t, errors.As(err, &version))
	assert.Equal(t, version.Found, int64(9))
}

// On a full disk, stored writes must remain, a failed write must not be visible, and the same write
// must succeed once there is free space.
func TestFullDiskKeepsStoredWritesAndAllowsRetry(t *testing.T) {
	directory := t.TempDir()
	opened, err := openLimited(directory, 40)
	assert.NilError(t, err)
	data := make([]byte, 10*pageBytes)
	kept := uint64(0)
	var last []Write
	for err == nil {
		last = []Write{
			{Group: "a", Entries: []replica.Entry{{Index: kept + 1, Term: 1, Data: data}}},
			{Group: replica.GroupID(fmt.Sprint("new-", kept)), Hard: &replica.HardState{Term: kept + 1}},
		}
		if err = opened.Write(last); err == nil {
			kept++
		}
	}
	assert.Assert(t, kept > 0)
	for range 3 {
		err = opened.Write(last)
		assert.ErrorIs(t, err, ErrFull)
		assert.Assert(t, !errors.Is(err, ErrFailed))
	}
	stored, err := opened.Load()
	assert.NilError(t, err)
	assert.Equal(t, uint64(len(stored["a"].Entries)), kept)
	assert.Equal(t, uint64(len(stored)), kept+1, "a group of a failed write is visible")
	_, err = opened.connection.Exec("PRAGMA max_page_count = 400", nil)
	assert.NilError(t, err)
	assert.NilError(t, opened.Write(last))
	assert.NilError(t, opened.Close())
	stored, err = sqliteDisk{directory: directory}.open(t).Load()
	assert.NilError(t, err)
	assert.Equal(t, uint64(len(stored["a"].Entries)), kept+1)
	assert.Equal(t, uint64(len(stored)), kept+2)
}

// A process must be able to start on a full disk: opening an existing store writes nothing.
func TestStoreOpensOnFullDisk(t *testing.T) {
	directory := t.TempDir()
	first := sqliteDisk{directory: directory}.open(t)
	assert.NilError(t, first.SetIdentity(7))
	assert.NilError(t, first.Close())
	opened, err := openLimited(directory, 1)
	assert.NilError(t, err)
	id, held, err := opened.Identity()
	assert.NilError(t, err)
	assert.Assert(t, held && id == 7)
	assert.NilError(t, opened.Close())
}

// The files must stay small although 80 MB are written. The log is compacted every 1 MiB.
func TestFilesStayBounded(t *testing.T) {
	directory := t.TempDir()
	s := sqliteDisk{directory: directory}.open(t)
	data := make([]byte, 8<<10)
	const each, rounds, bound = 16, 640, 20 << 20
	index := uint64(0)
	for round := range rounds {
		w := Write{Group: "a"}
		for range each {
			index++
			w.Entries = append(w.Entries, replica.Entry{Index: index, Term: 1, Data: data})
		}
		assert.NilError(t, s.Write([]Write{w}))
		if round%8 == 7 {
			snapshot := &replica.Snapshot{Index: index, Term: 1, State: make([]byte, 1<<20)}
			assert.NilError(t, s.Write([]Write{{Group: "a", Snapshot: snapshot, CompactTo: index}}))
		}
		assert.Assert(t, sizeOf(t, directory) < bound, "after round %d", round)
	}
}

func sizeOf(t *testing.T, directory string) int64 {
	names, err := os.ReadDir(directory)
	assert.NilError(t, err)
	total := int64(0)
	for _, name := range names {
		info, err := name.Info()
		assert.NilError(t, err)
		total += info.Size()
	}
	return total
}

// BenchmarkWrite measures one commit of a number of entries of 200 bytes, each in its own group.
func BenchmarkWrite(b *testing.B) {
	for _, count := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) { benchmarkWrite(b, count) })
	}
}

func benchmarkWrite(b *testing.B, count int) {
	opened, err := Open(b.TempDir())
	assert.NilError(b, err)
	defer opened.Close()
	data := make([]byte, 200)
	index := uint64(0)
	for b.Loop() {
		index++
		batch := make([]Write, count)
		for i := range batch {
			batch[i] = Write{Group: replica.GroupID(fmt.Sprint(i)), Entries: []replica.Entry{{Index: index, Term: 1, Data: data}}}
		}
		if err := opened.Write(batch); err != nil {
			b.Fatal(err)
		}
	}
}
