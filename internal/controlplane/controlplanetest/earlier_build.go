// Package controlplanetest holds helpers that the tests of several control plane packages share.
package controlplanetest

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// EarlierBytes reads what an earlier build wrote from the calling package's testdata folder. The
// files must not be regenerated: a node reads them from its disk after an upgrade, and nodes of both
// builds send them to each other.
func EarlierBytes(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "earlier_build", name))
	assert.NilError(t, err)
	return data
}

// Encodable is a pointer to a message that writes its own stored form.
type Encodable[T any] interface {
	*T
	Encode() ([]byte, error)
}

// CheckEarlierMessage checks that a message of an earlier build is read with all its fields, and that
// this build writes it in the same form.
func CheckEarlierMessage[T any, P Encodable[T]](t *testing.T, name string, want T) {
	t.Helper()
	raw := EarlierBytes(t, name)
	var got T
	assert.NilError(t, cbor.Unmarshal(raw, &got))
	assert.DeepEqual(t, got, want)
	written, err := P(&want).Encode()
	assert.NilError(t, err)
	assert.DeepEqual(t, written, raw)
}

// StateMachine is a replicated state machine.
type StateMachine interface {
	Apply([]byte) []byte
	Snapshot() []byte
	Restore([]byte) error
}

// CheckEarlierSnapshot checks that a snapshot of an earlier build is restored whole into an empty state
// machine, as checkState tells, and that this build writes it in the same form.
func CheckEarlierSnapshot[M StateMachine](t *testing.T, empty M, checkState func(*testing.T, M)) {
	t.Helper()
	raw := EarlierBytes(t, "snapshot.cbor")
	assert.NilError(t, empty.Restore(raw))
	checkState(t, empty)
	assert.DeepEqual(t, empty.Snapshot(), raw)
}
