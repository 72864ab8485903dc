package rpc

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"

	"github.com/go-faster/errors"
)

// encoder encodes the frames of one direction of a connection.
type encoder struct {
	limit int // largest length of a frame after the prefix

	buffer bytes.Buffer
	head   []byte
	stream *gob.Encoder // nil if the next frame must start a new stream
}

// frame returns an encoded frame, which is valid until the next call. A nil body
// makes a frame without a body. After an error the next frame starts a new
// stream, because the peer does not receive the type descriptions of the failed
// one.
func (e *encoder) frame(h header, body any) ([]byte, error) {
	e.release()
	if body == nil {
		h.flags |= flagBodiless
	} else if e.stream == nil {
		h.flags |= flagRestart
		e.stream = gob.NewEncoder(&e.buffer)
	}
	e.head = appendHeader(append(e.head[:0], 0, 0, 0, 0), h)
	e.buffer.Write(e.head)
	if err := e.encode(body); err != nil {
		e.restart()
		return nil, err
	}
	frame := e.buffer.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-prefixBytes))
	return frame, nil
}

func (e *encoder) encode(body any) error {
	if body != nil {
		if err := e.stream.Encode(body); err != nil {
			return errors.Wrap(err, "rpc: encode")
		}
	}
	if e.buffer.Len()-prefixBytes > e.limit {
		return ErrTooLarge
	}
	return nil
}

// restart makes the next frame start a new stream, because the last frame was
// not sent.
func (e *encoder) restart() { e.stream = nil }

// release empties the buffer, and frees it if it is large.
func (e *encoder) release() {
	if e.buffer.Cap() > maxRetainedBufferBytes {
		e.buffer = bytes.Buffer{}
		return
	}
	e.buffer.Reset()
}

// decoder decodes the bodies of one direction of a connection.
type decoder struct {
	body   bytes.Reader
	stream *gob.Decoder
}

// decode decodes a frame's body into a pointer; nil discards the body. It must
// be called for every frame, in order. After ErrMalformed the rest of the
// connection cannot be decoded.
func (d *decoder) decode(flags byte, body []byte, into any) error {
	if flags&flagBodiless != 0 {
		if into != nil {
			return errNoBody
		}
		return nil
	}
	if err := checkSegments(body); err != nil {
		return err
	}
	if flags&flagRestart != 0 {
		d.stream = gob.NewDecoder(&d.body)
	}
	if d.stream == nil {
		return errors.Wrap(ErrMalformed, "no stream")
	}
	d.body.Reset(body)
	defer d.body.Reset(nil)
	return decodeNext(d.stream, into)
}

// decodeNext decodes the next value of a stream. gob panics on some invalid
// input, such as ids of types that were never described; the panic becomes an
// error.
func decodeNext(stream *gob.Decoder, into any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Wrapf(ErrMalformed, "body: %v", cause)
		}
	}()
	if err := stream.Decode(into); err != nil {
		return errors.Wrap(err, "rpc: decode")
	}
	return nil
}

// checkSegments checks that the gob messages in a body are not longer than the
// body, because gob allocates memory according to the stated length.
func checkSegments(body []byte) error {
	for len(body) > 0 {
		length, width, ok := segmentLength(body)
		if !ok || length > uint64(len(body)-width) {
			return errors.Wrap(ErrMalformed, "body")
		}
		body = body[width+int(length):]
	}
	return nil
}

// segmentLength decodes a gob unsigned integer: a byte of up to 127, or the
// negated count of the big-endian bytes that follow.
func segmentLength(from []byte) (length uint64, width int, ok bool) {
	first := from[0]
	if first < 1<<7 {
		return uint64(first), 1, true
	}
	count := -int(int8(first))
	if count > 8 || len(from) < 1+count {
		return 0, 0, false
	}
	for _, b := range from[1 : 1+count] {
		length = length<<8 | uint64(b)
	}
	return length, 1 + count, true
}
