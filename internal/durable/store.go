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

// Store keeps values by name across crashes. It is safe for concurrent use, and a directory
// also for use by several processes. contract_test.go checks every promise made here.
type Store interface {
	// Write replaces the value of a name. After it has returned without an error, Read
	// returns this value, also after a crash. If it fails or is interrupted at any moment,
	// Read returns the previous value or this one, whole. Of two concurrent writers of one
	// name one wins, whole. The caller may change the value afterwards. More than
	// MaxValueSize bytes return ErrTooLong, a name that is not a plain file name returns
	// ErrInvalidName.
	Write(name string, value []byte) error
	// Read returns the value of a name, owned by the caller: fs.ErrNotExist if there is
	// none; ErrTorn, ErrForeign or ErrVersion if the stored bytes are not valid.
	Read(name string) ([]byte, error)
}

// ErrInvalidName is returned for a name that is not a plain file name.
var ErrInvalidName = errors.New("not a plain file name")

// checkName returns ErrInvalidName for anything but a plain file name.
func checkName(name string) error {
	if !fs.ValidPath(name) || name == "." || strings.ContainsAny(name, "/\\\x00") {
		return fmt.Errorf("%w: %q", ErrInvalidName, name)
	}
	return nil
}

// Directory is the Store on disk, with one file per name.
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

// MemoryStore is a Store for tests and for the emulator, in which a node's values survive its
// simulated crash. The zero value is empty.
type MemoryStore struct {
	mu        sync.Mutex
	disk      map[string][]byte // framed, as a file would contain them
	freeSpace int               // bytes, if limited
	limited   bool
}

// ErrFull is returned when the simulated disk is full.
var ErrFull = errors.New("no space left")

// SetFreeSpace limits the bytes of further writes. A negative value removes the limit.
func (m *MemoryStore) SetFreeSpace(freeSpace int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freeSpace, m.limited = freeSpace, freeSpace >= 0
}

// Corrupt changes the stored bytes of a name, as a disk fault would.
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
