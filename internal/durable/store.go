package durable

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"strings"
	"sync"
)

// Store keeps values by name through crashes. It may be used from several goroutines, and a
// folder's by several processes. What every Store promises is judged by the clauses of contract_test.go.
type Store interface {
	// Write replaces the value of a name. Once it has returned without an error, Read
	// returns this value, also after a crash; where it fails or is cut off at any moment,
	// Read returns the value before or this one, whole. Of two writers of one name one
	// wins, whole. The value is not kept: the caller may change it afterwards. One of more
	// than Most bytes is refused with ErrLong, a name that is no plain file name with ErrName.
	Write(name string, value []byte) error
	// Read returns the value of a name, the caller's to change: fs.ErrNotExist where there
	// is none, ErrTorn, ErrForeign or ErrVersion where what is there can't be trusted.
	Read(name string) ([]byte, error)
}

// ErrInvalidName refuses a name under which nothing is kept.
var ErrInvalidName = errors.New("no plain name")

func checkName(name string) error {
	if !fs.ValidPath(name) || name == "." || strings.ContainsAny(name, "/\\\x00") {
		return fmt.Errorf("%w: %q", ErrInvalidName, name)
	}
	return nil
}

// Directory is the Store on disk: a file a name.
type Directory string

// Write implements Store.
func (f Directory) Write(name string, value []byte) error {
	if err := checkName(name); err != nil {
		return err
	}
	return Write(filepath.Join(string(f), name), value)
}

// Read implements Store.
func (f Directory) Read(name string) ([]byte, error) {
	if err := checkName(name); err != nil {
		return nil, err
	}
	return Read(filepath.Join(string(f), name))
}

// MemoryStore is a Store for tests and for the emulator: its "crash" is one of the emulated node,
// which the values outlive. The zero value is empty.
type MemoryStore struct {
	mu        sync.Mutex
	disk      map[string][]byte // framed, as a file would hold them
	freeSpace int               // bytes that the disk takes yet, where limited
	limited   bool
}

// ErrFull is the error of a disk that takes no more.
var ErrFull = errors.New("no space left")

// SetFreeSpace leaves room for so many bytes more; below 0, any number.
func (m *MemoryStore) SetFreeSpace(freeSpace int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freeSpace, m.limited = freeSpace, freeSpace >= 0
}

// Corrupt changes what the disk holds under a name, as a fault would.
func (m *MemoryStore) Corrupt(name string, change func([]byte) []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disk[name] = change(bytes.Clone(m.disk[name]))
}

// Write implements Store.
func (m *MemoryStore) Write(name string, value []byte) error {
	if err := checkName(name); err != nil {
		return err
	}
	text, err := Frame(value)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limited {
		if m.freeSpace < len(text) {
			return fmt.Errorf("%s: %w", name, ErrFull)
		}
		m.freeSpace -= len(text)
	}
	if m.disk == nil {
		m.disk = map[string][]byte{}
	}
	m.disk[name] = text
	return nil
}

// Read implements Store.
func (m *MemoryStore) Read(name string) ([]byte, error) {
	if err := checkName(name); err != nil {
		return nil, err
	}
	m.mu.Lock()
	text, ok := m.disk[name]
	m.mu.Unlock()
	switch {
	case !ok:
		return nil, fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	case len(text) < HeaderSize:
		return nil, fmt.Errorf("%w: %d bytes", ErrTorn, len(text))
	}
	return Unframe(text[:HeaderSize], bytes.NewReader(text[HeaderSize:]))
}
