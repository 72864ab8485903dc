// Package durable keeps one value in a file through crashes: it is either the old one or
// the new one, whole, or it is refused. The frame, a header of magic, version, length and
// checksum before the bytes, also serves values that go from process to process. It must not
// know what a value holds.
package durable

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"strings"
)

const (
	// Version names the form of what is framed. Another's is not read.
	Version = 1
	magic   = "oakseam"
	// MaxValueSize bounds a value, so that what reads one needs bounded memory.
	MaxValueSize = 4 << 20
)

type header struct {
	Magic   [len(magic)]byte
	Version uint8
	Length  uint32
	Sum     uint32
}

// HeaderSize is how many bytes stand before a value.
var HeaderSize = binary.Size(header{})

// What a frame is refused for. Each error that Unframe returns is one of these, with more
// said.
var (
	ErrForeign = errors.New("not of this program")
	ErrVersion = errors.New("of another version")
	ErrTorn    = errors.New("torn")
	ErrTooLong = errors.New("too long")
)

// Frame puts a value's header before it.
func Frame(value []byte) ([]byte, error) {
	if len(value) > MaxValueSize {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLong, len(value))
	}
	h := header{Version: Version, Length: uint32(len(value)), Sum: crc32.ChecksumIEEE(value)}
	copy(h.Magic[:], magic)
	text, err := binary.Append(make([]byte, 0, HeaderSize+len(value)), binary.BigEndian, h)
	return append(text, value...), err
}

// Unframe reads the value behind a header that has been read.
func Unframe(head []byte, in io.Reader) ([]byte, error) {
	var h header
	if _, err := binary.Decode(head, binary.BigEndian, &h); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTorn, err)
	}
	switch {
	case string(h.Magic[:]) != magic:
		return nil, ErrForeign
	case h.Version != Version:
		return nil, fmt.Errorf("%w: %d, and this program reads %d", ErrVersion, h.Version, Version)
	case h.Length > MaxValueSize:
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLong, h.Length)
	}
	value := make([]byte, h.Length)
	if _, err := io.ReadFull(in, value); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTorn, err)
	}
	if crc32.ChecksumIEEE(value) != h.Sum {
		return nil, fmt.Errorf("%w: the checksum is wrong", ErrTorn)
	}
	return value, nil
}

// BaseName is the name, but for its ending, of what the node that listens at an address keeps
// in a folder: nodes that share one have each their own.
func BaseName(listen string) string {
	return "oakseam-" + strings.NewReplacer("/", "_", ":", "-", "%", "_").Replace(listen)
}

// Write replaces the file of a name by a value. Where it fails, the old file stands.
func Write(name string, value []byte) (err error) {
	text, err := Frame(value)
	if err != nil {
		return err
	}
	dir, base := filepath.Split(name)
	if dir == "" {
		dir = "." // not the system's folder for temporary files: a rename stays on one disk
	}
	f, err := os.CreateTemp(dir, base+".new-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			os.Remove(f.Name())
		}
	}()
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err = os.Rename(f.Name(), name); err != nil {
		return err
	}
	d, err := os.Open(filepath.Dir(name))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close()) // the new name is on disk too
}

// Read returns the value in the file of a name; os.ErrNotExist where there is none.
func Read(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	head := make([]byte, HeaderSize)
	if _, err := io.ReadFull(f, head); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTorn, err)
	}
	return Unframe(head, f)
}
