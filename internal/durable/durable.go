// Package durable stores one value in a file so that it survives crashes: a reader gets the old
// value or the new one, whole, or an error. The frame is a header of magic, version, length and
// checksum in front of the value. It also serves for values sent between processes. The package
// must not know what a value contains.
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
	// Version is the version of the frame. Frames of other versions are rejected.
	Version = 1
	magic   = "oakseam"
	// MaxValueSize is the maximum size of a value in bytes. It bounds a reader's memory.
	MaxValueSize = 4 << 20
)

type header struct {
	Magic   [len(magic)]byte
	Version uint8
	Length  uint32
	Sum     uint32
}

// HeaderSize is the size of the header in bytes.
var HeaderSize = binary.Size(header{})

// The reasons to reject a frame. Each error that Unframe returns wraps one of these.
var (
	ErrForeign = errors.New("not of this program")
	ErrVersion = errors.New("of another version")
	ErrTorn    = errors.New("torn")
	ErrTooLong = errors.New("too long")
)

// Frame returns the header and the value.
func Frame(value []byte) ([]byte, error) {
	if len(value) > MaxValueSize {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLong, len(value))
	}
	h := header{Version: Version, Length: uint32(len(value)), Sum: crc32.ChecksumIEEE(value)}
	copy(h.Magic[:], magic)
	text, err := binary.Append(make([]byte, 0, HeaderSize+len(value)), binary.BigEndian, h)
	return append(text, value...), err
}

// Unframe reads the value that follows a header.
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

// BaseName returns the file name, without extension, for what the node that listens at an
// address stores in a directory. Nodes that share the directory get different names.
func BaseName(listen string) string {
	return "oakseam-" + strings.NewReplacer("/", "_", ":", "-", "%", "_").Replace(listen)
}

// Write atomically replaces the value in a file. If it fails, the old value stays.
func Write(name string, value []byte) (err error) {
	text, err := Frame(value)
	if err != nil {
		return err
	}
	dir, base := filepath.Split(name)
	if dir == "" {
		dir = "." // not the system's temporary directory: a rename must stay on one file system
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
	return errors.Join(d.Sync(), d.Close()) // makes the rename durable
}

// Read returns the value in a file, or os.ErrNotExist if there is none.
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
