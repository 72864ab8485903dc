package store

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
)

// testDisk is a disk on which stores are opened one after another.
type testDisk interface {
	open(t *testing.T) Store
	// reopen ends the process that has the store open and opens the store again.
	reopen(t *testing.T, old Store) Store
}

type memoryDisk struct{}

func (memoryDisk) open(*testing.T) Store                { return NewMemory() }
func (memoryDisk) reopen(_ *testing.T, old Store) Store { return old.(*Memory).Reopen() }

type sqliteDisk struct{ directory string }

func (d sqliteDisk) open(t *testing.T) Store {
	opened, err := Open(d.directory)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, opened.Close()) })
	return opened
}

func (d sqliteDisk) reopen(t *testing.T, old Store) Store {
	assert.NilError(t, old.Close())
	return d.open(t)
}

// runContract runs a test on each implementation of Store.
func runContract(t *testing.T, test func(*testing.T, testDisk)) {
	t.Run("memory", func(t *testing.T) { test(t, memoryDisk{}) })
	t.Run("sqlite", func(t *testing.T) { test(t, sqliteDisk{directory: t.TempDir()}) })
}

func entry(index, term uint64, data string) replica.Entry {
	e := replica.Entry{Index: index, Term: term}
	if data != "" {
		e.Data = []byte(data)
	}
	return e
}

// An identity must survive a reopening, also one that does not fit a signed number.
func TestIdentitySurvivesReopen(t *testing.T) {
	runContract(t, func(t *testing.T, d testDisk) {
		s := d.open(t)
		_, found, err := s.Identity()
		assert.NilError(t, err)
		assert.Assert(t, !found)
		const id = replica.NodeID(1<<63 + 5) // larger than the largest int64
		assert.NilError(t, s.SetIdentity(7))
		assert.NilError(t, s.SetIdentity(id))
		s = d.reopen(t, s)
		got, found, err := s.Identity()
		assert.NilError(t, err)
		assert.Assert(t, found)
		assert.Equal(t, got, id)
	})
}

func TestWriteStoresEveryField(t *testing.T) {
	runContract(t, func(t *testing.T, d testDisk) {
		s := d.open(t)
		first := replica.Snapshot{Members: replica.Members{Voters: []replica.NodeID{1, 1 << 63}, Learners: []replica.NodeID{3}}, State: []byte("begin")}
		assert.NilError(t, s.Write([]Write{
			{Group: "a", Hard: &replica.HardState{Term: 3, Vote: 2}, Snapshot: &first,
				Entries: []replica.Entry{entry(1, 2, ""), {Index: 2, Term: 3, Kind: replica.MembershipChange, Data: []byte("x")}}},
			{Group: "b", Hard: &replica.HardState{Term: 1 << 63}},
			{Group: "a", Entries: []replica.Entry{entry(3, 3, "y")}},
		}))
		s = d.reopen(t, s)
		stored, err := s.Load()
		assert.NilError(t, err)
		assert.DeepEqual(t, stored, map[replica.GroupID]replica.PersistentState{
			"a": {HardState: replica.HardState{Term: 3, Vote: 2}, Snapshot: first, Entries: []replica.Entry{
				entry(1, 2, ""), {Index: 2, Term: 3, Kind: replica.MembershipChange, Data: []byte("x")}, entry(3, 3, "y")}},
			"b": {HardState: replica.HardState{Term: 1 << 63}},
		})
	})
}

// Entries must replace all stored entries at and after their first index.
func TestEntriesReplaceLogTail(t *testing.T) {
	runContract(t, func(t *testing.T, d testDisk) {
		s := d.open(t)
		assert.NilError(t, s.Write([]Write{{Group: "a", Entries: []replica.Entry{entry(1, 1, "a"), entry(2, 1, "b"), entry(3, 1, "c")}}}))
		assert.NilError(t, s.Write([]Write{{Group: "a", Entries: []replica.Entry{entry(2, 2, "d")}}}))
		s = d.reopen(t, s)
		stored, err := s.Load()
		assert.NilError(t, err)
		assert.DeepEqual(t, stored["a"].Entries, []replica.Entry{entry(1, 1, "a"), entry(2, 2, "d")})
	})
}

// A snapshot must delete the log up to CompactTo, or the whole log if CompactTo is 0.
func TestSnapshotCompactsOrReplacesLog(t *testing.T) {
	runContract(t, func(t *testing.T, d testDisk) {
		s := d.open(t)
		log := []replica.Entry{entry(1, 1, "a"), entry(2, 1, "b"), entry(3, 1, "c"), entry(4, 1, "d")}
		assert.NilError(t, s.Write([]Write{{Group: "a", Entries: log}, {Group: "b", Entries: log}}))
		compacted := replica.Snapshot{Index: 3, Term: 1, State: []byte("abc")}
		installed := replica.Snapshot{Index: 9, Term: 2, State: []byte("other")}
		assert.NilError(t, s.Write([]Write{
			{Group: "a", Snapshot: &compacted, CompactTo: 2},
			{Group: "b", Snapshot: &installed, Entries: []replica.Entry{entry(10, 2, "j")}},
		}))
		s = d.reopen(t, s)
		stored, err := s.Load()
		assert.NilError(t, err)
		assert.DeepEqual(t, stored, map[replica.GroupID]replica.PersistentState{
			"a": {Snapshot: compacted, Entries: log[2:]},
			"b": {Snapshot: installed, Entries: []replica.Entry{entry(10, 2, "j")}},
		})
	})
}

// Drop must delete one group only, and the group may start again afterwards.
func TestDropDeletesOneGroup(t *testing.T) {
	runContract(t, func(t *testing.T, d testDisk) {
		s := d.open(t)
		log := []replica.Entry{entry(1, 1, "a")}
		assert.NilError(t, s.Write([]Write{{Group: "a", Entries: log}, {Group: "b", Entries: log}}))
		assert.NilError(t, s.Drop("a"))
		assert.NilError(t, s.Drop("nowhere"))
		s = d.reopen(t, s)
		stored, err := s.Load()
		assert.NilError(t, err)
		assert.DeepEqual(t, stored, map[replica.GroupID]replica.PersistentState{"b": {Entries: log}})
		assert.NilError(t, s.Write([]Write{{Group: "a", Entries: log}})) // the group starts again with an empty log
	})
}

// A batch with a gap in a log must store nothing, and the store must fail from then on.
func TestGapFailsAndStoresNothing(t *testing.T) {
	runContract(t, func(t *testing.T, d testDisk) {
		s := d.open(t)
		err := s.Write([]Write{
			{Group: "b", Entries: []replica.Entry{entry(1, 1, "b")}},
			{Group: "a", Entries: []replica.Entry{entry(2, 1, "a")}},
		})
		assert.ErrorIs(t, err, ErrGap)
		assert.ErrorIs(t, err, ErrFailed)
		assert.Assert(t, !errors.Is(err, ErrFull))
		assert.ErrorIs(t, s.Write([]Write{{Group: "c", Hard: &replica.HardState{Term: 1}}}), ErrFailed)
		assert.ErrorIs(t, s.SetIdentity(1), ErrFailed)
		assert.ErrorIs(t, s.Drop("c"), ErrFailed)
		s = d.reopen(t, s)
		stored, err := s.Load()
		assert.NilError(t, err)
		assert.Equal(t, len(stored), 0)
	})
}

func TestClosedStoreReturnsErrClosed(t *testing.T) {
	runContract(t, func(t *testing.T, d testDisk) {
		s := d.open(t)
		assert.NilError(t, s.Close())
		assert.NilError(t, s.Close())
		_, err := s.Load()
		assert.ErrorIs(t, err, ErrClosed)
		_, _, err = s.Identity()
		assert.ErrorIs(t, err, ErrClosed)
		assert.ErrorIs(t, s.Write([]Write{{Group: "a"}}), ErrClosed)
	})
}

// The store must not share memory with its arguments or results.
func TestStoreDoesNotRetainArguments(t *testing.T) {
	runContract(t, func(t *testing.T, d testDisk) {
		s := d.open(t)
		data := []byte("data")
		assert.NilError(t, s.Write([]Write{{Group: "a", Entries: []replica.Entry{{Index: 1, Term: 1, Data: data}}}}))
		data[0] = 'X'
		stored, err := s.Load()
		assert.NilError(t, err)
		assert.DeepEqual(t, stored["a"].Entries[0].Data, []byte("data"))
		stored["a"].Entries[0].Data[0] = 'Y'
		stored, err = s.Load()
		assert.NilError(t, err)
		assert.DeepEqual(t, stored["a"].Entries[0].Data, []byte("data"))
	})
}

// Memory and SQLite must hold the same state after the same random writes and reopenings.
func TestMemoryAndSQLiteAgree(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	memory, sqlite := testDisk(memoryDisk{}), testDisk(sqliteDisk{directory: t.TempDir()})
	a, b := memory.open(t), sqlite.open(t)
	ends := map[replica.GroupID][2]uint64{} // index of the snapshot and of the last entry
	for step := range 300 {
		if step%50 == 49 {
			a, b = memory.reopen(t, a), sqlite.reopen(t, b)
		}
		batch := randomBatch(random, ends)
		assert.NilError(t, a.Write(batch))
		assert.NilError(t, b.Write(batch))
		left, err := a.Load()
		assert.NilError(t, err)
		right, err := b.Load()
		assert.NilError(t, err)
		assert.DeepEqual(t, left, right)
	}
}

func randomBatch(random *rand.Rand, ends map[replica.GroupID][2]uint64) []Write {
	var batch []Write
	for range 1 + random.IntN(4) {
		name := replica.GroupID(fmt.Sprintf("group-%d", random.IntN(3)))
		at := ends[name]
		w := Write{Group: name, Hard: &replica.HardState{Term: random.Uint64(), Vote: replica.NodeID(random.Uint64())}}
		switch random.IntN(5) {
		case 0:
			at[0], at[1] = at[1]+5, at[1]+5
			w.Snapshot = &replica.Snapshot{Index: at[0], Term: 1, State: []byte("installed")}
		case 1:
			at[0] += random.Uint64N(at[1] - at[0] + 1)
			w.Snapshot, w.CompactTo = &replica.Snapshot{Index: at[0], Term: 2}, at[0]
		}
		from := at[0] + 1 + random.Uint64N(at[1]-at[0]+1)
		for i := range random.Uint64N(5) {
			w.Entries = append(w.Entries, entry(from+i, 1, fmt.Sprint(random.Uint64())))
			at[1] = from + i
		}
		ends[name] = at
		batch = append(batch, w)
	}
	return batch
}
