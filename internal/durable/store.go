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

// ErrName refuses a name under which nothing is kept.
var ErrName = errors.New("no plain name")

func checkName(name string) error {
	if !fs.ValidPath(name) || name == "." || strings.ContainsAny(name, "/\\\x00") {
		return fmt.Errorf("%w: %q", ErrName, name)
	}
	return nil
}

// Folder is the Store on disk: a file a name.
type Folder string

// Write implements Store.
func (f Folder) Write(name string, value []byte) error {
	if err := checkName(name); err != nil {
		return err
	}
	return Write(filepath.Join(string(f), name), value)
}

// Read implements Store.
func (f Folder) Read(name string) ([]byte, error) {
	if err := checkName(name); err != nil {
		return nil, err
	}
	return Read(filepath.Join(string(f), name))
}

// Memory is a Store for tests and for the emulator: its "crash" is one of the emulated node,
// which the values outlive. The zero value is empty.
type Memory struct {
	mu    sync.Mutex
	disk  map[string][]byte // framed, as a file would hold them
	room  int               // bytes that the disk takes yet, where limited
	limit bool
}

// ErrFull is the error of a disk that takes no more.
var ErrFull = errors.New("no space left")

// Limit leaves room for so many bytes more; below 0, any number.
func (m *Memory) Limit(room int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.room, m.limit = room, room >= 0
}

// Spoil changes what the disk holds under a name, as a fault would.
func (m *Memory) Spoil(name string, change func([]byte) []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disk[name] = change(bytes.Clone(m.disk[name]))
}

// Write implements Store.
func (m *Memory) Write(name string, value []byte) error {
	if err := checkName(name); err != nil {
		return err
	}
	text, err := Frame(value)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limit {
		if m.room < len(text) {
			return fmt.Errorf("%s: %w", name, ErrFull)
		}
		m.room -= len(text)
	}
	if m.disk == nil {
		m.disk = map[string][]byte{}
	}
	m.disk[name] = text
	return nil
}

// Read implements Store.
func (m *Memory) Read(name string) ([]byte, error) {
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
