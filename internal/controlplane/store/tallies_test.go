package store

import (
	"database/sql/driver"
	"fmt"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/tallies"
)

func openTallies(t *testing.T, directory string) *Tallies {
	t.Helper()
	opened, err := OpenTallies(directory)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, opened.Close()) })
	return opened
}

// loadTallies returns all entries of a store by log.
func loadTallies(t *testing.T, s *Tallies) map[tallies.Origin][]tallies.Entry {
	t.Helper()
	logs := map[tallies.Origin][]tallies.Entry{}
	assert.NilError(t, s.Load(func(run tallies.Run) error {
		assert.Equal(t, run.First, uint64(len(logs[run.Origin])+1))
		logs[run.Origin] = append(logs[run.Origin], run.Entries...)
		return nil
	}))
	return logs
}

func tallyRun(origin tallies.Origin, first uint64, members ...string) tallies.Run {
	run := tallies.Run{Origin: origin, First: first}
	for i, member := range members {
		run.Entries = append(run.Entries, tallies.Entry{Tally: fmt.Sprint("t", i%2), Member: member, Amount: int64(i)})
	}
	return run
}

// When Append returns, its entries must be in the files: they are told to other nodes.
func TestAppendedTalliesSurvivePowerLoss(t *testing.T) {
	directory := t.TempDir()
	s := openTallies(t, directory)
	for i := uint64(1); i <= 20; i++ {
		runs := []tallies.Run{tallyRun(s.Origin(), 2*i-1, fmt.Sprint("a", i), "b\x00é"), tallyRun(1<<63+5, i, fmt.Sprint("c", i))}
		assert.NilError(t, s.Append(runs))
		copied := openTallies(t, copyFiles(t, directory))
		logs := loadTallies(t, copied)
		assert.Equal(t, copied.Origin(), s.Origin())
		assert.Equal(t, uint64(len(logs[s.Origin()])), 2*i)
		assert.Equal(t, uint64(len(logs[1<<63+5])), i)
		assert.DeepEqual(t, logs[s.Origin()][2*i-2:], runs[0].Entries)
	}
}

// No entry of a long run may be lost or change its place where one statement ends and the next one begins.
func TestLongRunsOfTalliesKeepEveryEntry(t *testing.T) {
	for _, count := range []int{1, entriesPerStatement - 1, entriesPerStatement, entriesPerStatement + 1, 2*entriesPerStatement + 1} {
		s := openTallies(t, t.TempDir())
		members := make([]string, count)
		for i := range members {
			members[i] = fmt.Sprint("m", i)
		}
		run := tallyRun(s.Origin(), 1, members...)
		assert.NilError(t, s.Append([]tallies.Run{run, {Origin: 5, First: 1, Entries: run.Entries}}))
		assert.DeepEqual(t, loadTallies(t, s), map[tallies.Origin][]tallies.Entry{s.Origin(): run.Entries, 5: run.Entries})
	}
}

// A long run that does not fit must leave no part of itself.
func TestFullDiskKeepsNoPartOfALongRun(t *testing.T) {
	const pages = 16
	s, err := openTalliesLimited(t.TempDir(), pages)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	members := make([]string, 100*entriesPerStatement)
	for i := range members {
		members[i] = fmt.Sprintf("member-%032d", i)
	}
	run := tallyRun(s.Origin(), 1, members...)
	assert.ErrorIs(t, s.Append([]tallies.Run{run}), ErrFull)
	assert.Equal(t, len(loadTallies(t, s)), 0)
	_, err = s.connection.Exec("PRAGMA max_page_count = 4000", nil)
	assert.NilError(t, err)
	assert.NilError(t, s.Append([]tallies.Run{run}))
	assert.DeepEqual(t, loadTallies(t, s)[s.Origin()], run.Entries)
}

// A disk that was emptied must not continue a log that other nodes hold.
func TestEmptyDiskGetsAnotherOrigin(t *testing.T) {
	seen := map[tallies.Origin]bool{}
	for range 10 {
		s := openTallies(t, t.TempDir())
		assert.Assert(t, s.Origin() != 0 && !seen[s.Origin()])
		seen[s.Origin()] = true
	}
}

// An emptied disk must not count as one that holds what it held before, nor the other way round.
func TestCompleteDiskIsToldFromAnEmptiedOne(t *testing.T) {
	directory := t.TempDir()
	s := openTallies(t, directory)
	assert.Assert(t, !s.Complete())
	assert.NilError(t, s.Append([]tallies.Run{tallyRun(s.Origin(), 1, "m")}))
	assert.Assert(t, !openTallies(t, copyFiles(t, directory)).Complete())
	assert.NilError(t, s.SetComplete())
	assert.Assert(t, s.Complete())
	copied := openTallies(t, copyFiles(t, directory))
	assert.Assert(t, copied.Complete())
	assert.Equal(t, copied.Origin(), s.Origin())
}

// On a full disk, stored entries must remain, a failed Append must not be visible, and the same
// Append must succeed once there is free space.
func TestFullDiskKeepsTalliesAndAllowsRetry(t *testing.T) {
	directory := t.TempDir()
	s, err := openTalliesLimited(directory, 40)
	assert.NilError(t, err)
	kept := uint64(0)
	var last []tallies.Run
	for err == nil {
		run := tallies.Run{Origin: s.Origin(), First: kept + 1}
		run.Entries = []tallies.Entry{{Tally: fmt.Sprint("new", kept), Member: string(make([]byte, pageBytes)), Amount: 1}}
		last = []tallies.Run{run}
		if err = s.Append(last); err == nil {
			kept++
		}
	}
	assert.Assert(t, kept > 0)
	for range 3 {
		err = s.Append(last)
		assert.ErrorIs(t, err, ErrFull)
		assert.Assert(t, !errors.Is(err, ErrFailed))
	}
	assert.Equal(t, uint64(len(loadTallies(t, s)[s.Origin()])), kept)
	_, err = s.connection.Exec("PRAGMA max_page_count = 400", nil)
	assert.NilError(t, err)
	assert.NilError(t, s.Append(last))
	assert.NilError(t, s.Close())
	reopened := openTallies(t, directory)
	stored := loadTallies(t, reopened)[reopened.Origin()]
	assert.Equal(t, uint64(len(stored)), kept+1)
	assert.Equal(t, stored[kept].Tally, last[0].Entries[0].Tally)
}

// A process must be able to start on a full disk and serve reads.
func TestTalliesOpenOnFullDisk(t *testing.T) {
	directory := t.TempDir()
	s, err := OpenTallies(directory)
	assert.NilError(t, err)
	assert.NilError(t, s.Append([]tallies.Run{tallyRun(s.Origin(), 1, "m")}))
	assert.NilError(t, s.Close())
	reopened, err := openTalliesLimited(directory, 1)
	assert.NilError(t, err)
	assert.Equal(t, len(loadTallies(t, reopened)[s.Origin()]), 1)
	assert.NilError(t, reopened.Close())
}

// After a failure other than a full disk nothing more may be written, and after Close nothing at all.
func TestTalliesFailForGood(t *testing.T) {
	s := openTallies(t, t.TempDir())
	assert.NilError(t, s.Append([]tallies.Run{tallyRun(s.Origin(), 1, "m")}))
	_, err := s.connection.Exec("PRAGMA query_only = ON", nil)
	assert.NilError(t, err)
	assert.ErrorIs(t, s.Append([]tallies.Run{tallyRun(s.Origin(), 2, "n")}), ErrFailed)
	_, err = s.connection.Exec("PRAGMA query_only = OFF", nil)
	assert.NilError(t, err)
	assert.ErrorIs(t, s.Append([]tallies.Run{tallyRun(s.Origin(), 2, "n")}), ErrFailed)
	assert.NilError(t, s.Close())
	assert.ErrorIs(t, s.Append(nil), ErrClosed)
	assert.ErrorIs(t, s.Load(nil), ErrClosed)
}

// A process must not share the file with another one, nor read one of another version.
func TestTalliesOfAnotherProcessOrVersionAreRefused(t *testing.T) {
	directory := t.TempDir()
	s, err := OpenTallies(directory)
	assert.NilError(t, err)
	_, err = OpenTallies(directory)
	assert.ErrorIs(t, err, ErrInUse)
	synchronous := int64(0)
	assert.NilError(t, s.query("PRAGMA synchronous", func(row []driver.Value) error {
		synchronous = row[0].(int64)
		return nil
	}))
	assert.Equal(t, synchronous, int64(2))
	_, err = s.connection.Exec("PRAGMA user_version = 9", nil)
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	_, err = OpenTallies(directory)
	var version *VersionError
	assert.Assert(t, errors.As(err, &version))
	assert.Equal(t, *version, VersionError{Found: 9, Read: talliesSchemaVersion})
}

// BenchmarkAppendTallies measures one commit of a number of entries.
func BenchmarkAppendTallies(b *testing.B) {
	for _, count := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			s, err := OpenTallies(b.TempDir())
			assert.NilError(b, err)
			defer s.Close()
			next := uint64(1)
			for b.Loop() {
				run := tallies.Run{Origin: s.Origin(), First: next}
				for range count {
					run.Entries = append(run.Entries, tallies.Entry{Tally: "t", Member: fmt.Sprintf("%016x", next), Amount: 1})
					next++
				}
				assert.NilError(b, s.Append([]tallies.Run{run}))
			}
		})
	}
}

// A copy that was confirmed must be on the disk, and one that a full disk refused must not be; what is removed
// must not come again.
func TestCopiesOfAddsSurvivePowerLossAndFullDisk(t *testing.T) {
	directory := t.TempDir()
	s, err := openTallyCopiesLimited(directory, 12)
	assert.NilError(t, err)
	defer s.Close()
	held := map[tallies.Entry]bool{}
	for i := 0; err == nil; i++ {
		entries := []tallies.Entry{{Tally: "t", Member: fmt.Sprint("m", i), Amount: 1}, {Tally: "t", Member: fmt.Sprint("m", i), Amount: 2}}
		if err = s.Add(entries); err == nil {
			held[entries[0]], held[entries[1]] = true, true
			assert.NilError(t, s.Add(entries))
			assert.NilError(t, s.Remove(entries[:1]))
			delete(held, entries[0])
		}
	}
	assert.ErrorIs(t, err, ErrFull)
	copied, err := OpenTallyCopies(copyFiles(t, directory))
	assert.NilError(t, err)
	defer copied.Close()
	loaded := map[tallies.Entry]bool{}
	assert.NilError(t, copied.Load(func(e tallies.Entry) { loaded[e] = true }))
	assert.DeepEqual(t, loaded, held)
	for e := range held {
		assert.NilError(t, s.Remove([]tallies.Entry{e}))
		break
	}
}
