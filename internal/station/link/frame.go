package link

import (
	"encoding/binary"
	"io"
	"slices"
)

// A frame is one message:
//
//	length   4 bytes, big-endian; of all that follows
//	flags    1 byte
//	sequence uvarint; of the call
//	text     uvarint length and bytes; a request's method, a response's error
//	body     the rest: gob messages, unless flagBodiless is set
//
// The bodies of a connection's one direction are one gob stream, so that types
// are described once; a frame with flagRestart starts it anew.
const (
	prefixBytes = 4

	flagRestart  = 1 << 0
	flagBodiless = 1 << 1
)

// firstStep is how many bytes of a frame are made room for at first; the room
// then doubles as bytes arrive, whatever the length that the frame claims.
const firstStep = 4 << 10

// keepBytes is the largest buffer that is kept from one message to the next.
const keepBytes = 32 << 10

// header is what a frame says before its body.
type header struct {
	flags    byte
	sequence uint64
	text     string
}

// appendHeader appends a header's bytes.
func appendHeader(to []byte, h header) []byte {
	to = append(to, h.flags)
	to = binary.AppendUvarint(to, h.sequence)
	to = binary.AppendUvarint(to, uint64(len(h.text)))
	return append(to, h.text...)
}

// parseHeader takes a frame apart into its header and its body.
func parseHeader(frame []byte) (h header, body []byte, err error) {
	if len(frame) == 0 {
		return header{}, nil, ErrMalformed
	}
	h.flags, frame = frame[0], frame[1:]
	h.sequence, frame, err = cutUvarint(frame)
	if err != nil {
		return header{}, nil, err
	}
	length, frame, err := cutUvarint(frame)
	if err != nil {
		return header{}, nil, err
	}
	if length > uint64(len(frame)) {
		return header{}, nil, ErrMalformed
	}
	h.text = string(frame[:length])
	return h, frame[length:], nil
}

func cutUvarint(from []byte) (value uint64, rest []byte, err error) {
	value, n := binary.Uvarint(from)
	if n <= 0 {
		return 0, nil, ErrMalformed
	}
	return value, from[n:], nil
}

// frameReader reads frames, in room that grows as bytes arrive.
type frameReader struct {
	from  io.Reader
	limit int                   // of bytes after the prefix
	take  func(bytes int) error // asked before room is made; may be nil

	buffer []byte
}

// next returns the next frame without its prefix. It is good until release.
func (f *frameReader) next() ([]byte, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(f.from, prefix[:]); err != nil {
		return nil, err
	}
	claimed := binary.BigEndian.Uint32(prefix[:])
	if uint64(claimed) > uint64(f.limit) {
		return nil, ErrTooLarge
	}
	f.buffer = f.buffer[:0]
	for length := int(claimed); len(f.buffer) < length; {
		if err := f.grow(length); err != nil {
			return nil, err
		}
	}
	return f.buffer, nil
}

// grow reads a further part of a frame: as much again as is there already.
func (f *frameReader) grow(length int) error {
	have := len(f.buffer)
	step := min(length-have, max(firstStep, have))
	if f.take != nil {
		if err := f.take(step); err != nil {
			return err
		}
	}
	f.buffer = slices.Grow(f.buffer, step)[:have+step]
	_, err := io.ReadFull(f.from, f.buffer[have:])
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// release gives a large frame's memory back.
func (f *frameReader) release() {
	if cap(f.buffer) > keepBytes {
		f.buffer = nil
	}
}
