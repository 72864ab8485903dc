package store

import (
	"math/rand/v2"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
)

func oneEntry(index uint64) []Write {
	return []Write{{Group: "a", Entries: []replica.Entry{entry(index, 1, "data")}}}
}

func countEntries(t *testing.T, m *Memory) int {
	stored, err := m.Load()
	assert.NilError(t, err)
	return len(stored["a"].Entries)
}

func TestMemoryFailsPermanentlyAfterFailure(t *testing.T) {
	m := NewMemory()
	assert.NilError(t, m.Write(oneEntry(1)))
	m.FailNextChange()
	err := m.Write(oneEntry(2))
	assert.ErrorIs(t, err, ErrFailed)
	assert.Assert(t, !errors.Is(err, ErrFull))
	assert.ErrorIs(t, m.SetIdentity(1), ErrFailed)
	assert.Equal(t, countEntries(t, m.Reopen()), 1)
}

// While the disk is full, every change must fail and store nothing. Later changes must succeed.
func TestMemoryIsFullUntilSpaceIsFreed(t *testing.T) {
	m := NewMemory()
	assert.NilError(t, m.Write(oneEntry(1)))
	m.FillDisk()
	for range 3 {
		err := m.Write(oneEntry(2))
		assert.ErrorIs(t, err, ErrFull)
		assert.Assert(t, !errors.Is(err, ErrFailed))
		assert.ErrorIs(t, m.SetIdentity(1), ErrFull)
		assert.Equal(t, countEntries(t, m), 1)
	}
	m.FreeDisk()
	assert.NilError(t, m.Write(oneEntry(2)))
	assert.Equal(t, countEntries(t, m.Reopen()), 2)
}

func TestMemoryLosesUnsyncedChanges(t *testing.T) {
	m := NewMemory()
	m.LoseUnsyncedChanges()
	assert.NilError(t, m.Write(oneEntry(1)))
	m.Sync()
	assert.NilError(t, m.Write(oneEntry(2)))
	assert.Equal(t, countEntries(t, m), 2)
	assert.Equal(t, countEntries(t, m.Reopen()), 1)
}

// A torn change must sometimes be stored and sometimes not.
func TestTornChangeMayBeStoredOrLost(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	found := map[int]bool{}
	for range 30 {
		m := NewMemory()
		m.TearNextChange(random)
		assert.ErrorIs(t, m.Write(oneEntry(1)), ErrFailed)
		found[countEntries(t, m.Reopen())] = true
	}
	assert.DeepEqual(t, found, map[int]bool{0: true, 1: true})
}

func TestOnWriteRunsBeforeAndAfterWrite(t *testing.T) {
	m := NewMemory()
	var steps []int
	m.OnWrite(func([]Write) { steps = append(steps, countEntries(t, m)) }, func([]Write) { steps = append(steps, countEntries(t, m)) })
	assert.NilError(t, m.Write(oneEntry(1)))
	assert.DeepEqual(t, steps, []int{0, 1})
}
