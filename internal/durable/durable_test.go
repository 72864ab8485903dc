package durable

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against partial values: a file holds the old or the new value, a file truncated
// anywhere is rejected as torn, and a failed write leaves the old value and no temporary file.
func TestFileIsWholeOrRejected(t *testing.T) {
	name := filepath.Join(t.TempDir(), "value")
	_, err := Read(name)
	assert.ErrorIs(t, err, os.ErrNotExist)
	require.NoError(t, Write(name, []byte("old")))
	require.NoError(t, Write(name, []byte("new one")))
	got, err := Read(name)
	require.NoError(t, err)
	assert.Equal(t, "new one", string(got))
	assert.ErrorIs(t, Write(name, make([]byte, MaxValueSize+1)), ErrTooLong)
	blocked := filepath.Join(filepath.Dir(name), "folder")
	require.NoError(t, os.MkdirAll(filepath.Join(blocked, "in the way"), 0o700))
	assert.Error(t, Write(blocked, []byte("x")), "the rename must fail")
	left, err := os.ReadDir(filepath.Dir(name))
	require.NoError(t, err)
	assert.Len(t, left, 2, "a temporary file is left")
	whole, err := os.ReadFile(name)
	require.NoError(t, err)
	for n := range whole {
		require.NoError(t, os.WriteFile(name, whole[:n], 0o600))
		_, err := Read(name)
		assert.ErrorIs(t, err, ErrTorn, "truncated at %d", n)
	}
}

func TestInvalidFramesAreRejected(t *testing.T) {
	whole, err := Frame([]byte("state"))
	require.NoError(t, err)
	for want, change := range map[string]func([]byte) []byte{
		"not of this program": func(b []byte) []byte { b[0]++; return b },
		"another version: 2":  func(b []byte) []byte { b[len(magic)]++; return b },
		"too long":            func(b []byte) []byte { b[len(magic)+1] = 0xff; return b },
		"unexpected EOF":      func(b []byte) []byte { return b[:len(b)-1] },
		"checksum":            func(b []byte) []byte { b[len(b)-1]++; return b },
	} {
		b := change(bytes.Clone(whole))
		_, err := Unframe(b[:HeaderSize], bytes.NewReader(b[HeaderSize:]))
		assert.ErrorContains(t, err, want)
	}
	state, err := Unframe(whole[:HeaderSize], bytes.NewReader(whole[HeaderSize:]))
	assert.NoError(t, err)
	assert.Equal(t, "state", string(state))
}

// FuzzUnframe checks that a value is read whole or not at all, whatever the input.
func FuzzUnframe(f *testing.F) {
	whole, _ := Frame([]byte("state"))
	f.Add(whole)
	f.Add(whole[:HeaderSize])
	f.Fuzz(func(t *testing.T, text []byte) {
		if len(text) < HeaderSize {
			return
		}
		state, err := Unframe(text[:HeaderSize], bytes.NewReader(text[HeaderSize:]))
		if again, _ := Frame(state); err == nil && !bytes.HasPrefix(text, again) {
			t.Fatalf("%q was read from %q", state, text)
		}
	})
}
