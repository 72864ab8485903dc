package rpc

import (
	"encoding/binary"
	"io"
	"slices"
)

// A frame holds one message:
//
//	length   4 bytes, big-endian; number of bytes that follow
//	flags    1 byte
//	sequence uvarint; number of the call
//	text     uvarint length and bytes; method of a request, error of a response
//	body     the rest: gob messages; absent if flagBodiless is set
//
// The bodies of one direction of a connection form a gob stream, so that types
// are described only once. A frame with flagRestart starts a new stream.
const (
	prefixBytes = 4

	flagRestart  = 1 << 0
	flagBodiless = 1 << 1
)

// initialReadBytes is the initial buffer size for a frame. The buffer then
// doubles as bytes arrive, so that a false length cannot allocate memory.
const initialReadBytes = 4 << 10

// maxRetainedBufferBytes is the largest buffer that is reused for the next
// message.
const maxRetainedBufferBytes = 32 << 10

// header is the part of a frame before its body.
type header struct {
	flags    byte
	sequence uint64
	text     string
}

// appendHeader appends the encoded header.
func appendHeader(buffer []byte, h header) []byte {
	buffer = append(buffer, h.flags)
	buffer = binary.AppendUvarint(buffer, h.sequence)
	buffer = binary.AppendUvarint(buffer, uint64(len(h.text)))
	return append(buffer, h.text...)
}

// parseHeader splits a frame into its header and its body.
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

// frameReader reads frames into a buffer that grows as bytes arrive.
type frameReader struct {
	from    io.Reader
	limit   int                   // largest length after the prefix
	reserve func(bytes int) error // called before the buffer grows; may be nil

	buffer []byte
}

// next returns the next frame without its prefix. It is valid until release.
func (f *frameReader) next() ([]byte, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(f.from, prefix[:]); err != nil {
		return nil, err
	}
	frameLength := binary.BigEndian.Uint32(prefix[:])
	if uint64(frameLength) > uint64(f.limit) {
		return nil, ErrTooLarge
	}
	f.buffer = f.buffer[:0]
	for length := int(frameLength); len(f.buffer) < length; {
		if err := f.grow(length); err != nil {
			return nil, err
		}
	}
	return f.buffer, nil
}

// grow reads the next part of a frame, as many bytes as were read so far.
func (f *frameReader) grow(length int) error {
	received := len(f.buffer)
	step := min(length-received, max(initialReadBytes, received))
	if f.reserve != nil {
		if err := f.reserve(step); err != nil {
			return err
		}
	}
	f.buffer = slices.Grow(f.buffer, step)[:received+step]
	_, err := io.ReadFull(f.from, f.buffer[received:])
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// release frees the buffer if it is large.
func (f *frameReader) release() {
	if cap(f.buffer) > maxRetainedBufferBytes {
		f.buffer = nil
	}
}
