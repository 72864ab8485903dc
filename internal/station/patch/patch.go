// Package patch writes a body as its difference to another one that the receiver has, and
// reads it back byte for byte. A body that differs little takes some hundred bytes, however
// long both are: it is compressed by Zstandard with the base as its dictionary (RFC 8878).
// Without a base the body is compressed alone.
package patch

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"math/bits"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
)

// MaxBodyBytes bounds what a patch may hold, in bytes. Make refuses more, and Apply stops there
// whatever a patch says of itself.
const MaxBodyBytes = 64 << 20

// Failures that errors.Is finds.
var (
	// ErrBase: the patch was made for another base than the one at hand.
	ErrBase = errors.New("the patch is for another base")
	// ErrDamaged: the patch is cut short or its bytes are not what Make wrote.
	ErrDamaged = errors.New("the patch is damaged")
	// ErrTooLong: the body is longer than MaxBody.
	ErrTooLong = errors.New("the body is too long for a patch")
)

// A patch is a header and a Zstandard frame. The header holds the body's length and the
// fingerprints of base and body.
const (
	fingerprintBytes = 16
	headerBytes      = 4 + 2*fingerprintBytes
	// dictionary names the base in the frame; there is never another.
	dictionary = 1
	// The window has to reach back over body and base.
	windowLeast = 1 << 16
	windowMost  = 2 * MaxBodyBytes
	// spareBytes is what reading may hold beyond the length that a patch tells.
	spareBytes = 1 << 10
)

type fingerprint [fingerprintBytes]byte

func fingerprintOf(text []byte) fingerprint {
	sum := sha256.Sum256(text)
	return fingerprint(sum[:fingerprintBytes])
}

// Make writes the body as its difference to base, which may be empty. Fails with ErrTooLong.
func Make(base, body []byte) ([]byte, error) {
	if len(body) > MaxBodyBytes || len(base) > MaxBodyBytes {
		return nil, ErrTooLong
	}
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(window(len(base) + len(body))), zstd.WithEncoderCRC(false),
		zstd.WithEncoderLevel(level(len(base) + len(body))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionary, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "make a patch")
	}
	defer encoder.Close()
	before, after := fingerprintOf(base), fingerprintOf(body)
	out := binary.BigEndian.AppendUint32(make([]byte, 0, headerBytes), uint32(len(body)))
	out = append(out, before[:]...)
	out = append(out, after[:]...)
	return encoder.EncodeAll(body, out), nil
}

// From these spans on, in bytes, the tables of a higher level are worth their making.
const (
	middleSpan = 1 << 18
	longSpan   = 1 << 20
)

func level(span int) zstd.EncoderLevel {
	switch {
	case span < middleSpan:
		return zstd.SpeedFastest
	case span < longSpan:
		return zstd.SpeedDefault
	}
	return zstd.SpeedBetterCompression
}

// window is the smallest that reaches over so many bytes.
func window(span int) int {
	return min(max(1<<bits.Len(uint(span)), windowLeast), windowMost)
}

// Apply gives the body that a patch was made from. Fails with ErrBase or ErrDamaged; nothing
// longer than what the patch's header says is ever held, and that is MaxBody at most.
func Apply(base, patch []byte) ([]byte, error) {
	if len(patch) < headerBytes {
		return nil, ErrDamaged
	}
	length := binary.BigEndian.Uint32(patch)
	before, after := patch[4:4+fingerprintBytes], patch[4+fingerprintBytes:headerBytes]
	if length > MaxBodyBytes {
		return nil, ErrDamaged
	}
	if held := fingerprintOf(base); !bytes.Equal(held[:], before) {
		return nil, ErrBase
	}
	body, err := decode(base, patch[headerBytes:], int(length))
	if err != nil {
		return nil, errors.Wrap(ErrDamaged, err.Error())
	}
	if got := fingerprintOf(body); len(body) != int(length) || !bytes.Equal(got[:], after) {
		return nil, ErrDamaged
	}
	return body, nil
}

func decode(base, frame []byte, length int) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(length + spareBytes)), zstd.WithDecoderMaxWindow(windowMost),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionary, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	return decoder.DecodeAll(frame, make([]byte, 0, length))
}
