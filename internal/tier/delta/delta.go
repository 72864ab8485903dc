// Package delta encodes a body as its difference to a base that the receiver has, and
// restores it byte for byte. It compresses the body with Zstandard and uses the base as the
// dictionary (RFC 8878). A body that differs little from its base takes some hundred bytes,
// however long both are. Without a base the body is compressed alone.
package delta

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"math/bits"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
)

// MaxBodyBytes limits the length of the body. Make rejects a longer one, and Apply does not
// exceed it, whatever length a patch states.
const MaxBodyBytes = 64 << 20

// Errors of Make and Apply, matched with errors.Is.
var (
	// ErrBase means that the patch was made for another base.
	ErrBase = errors.New("the patch is for another base")
	// ErrDamaged means that the patch is truncated or not written by Make.
	ErrDamaged = errors.New("the patch is damaged")
	// ErrTooLong means that the body or the base is longer than MaxBodyBytes.
	ErrTooLong = errors.New("the body is too long for a patch")
)

// A patch consists of a header and a Zstandard frame. The header holds the length of the body
// (4 bytes, big-endian) and the fingerprints of base and body.
const (
	fingerprintBytes = 16
	headerBytes      = 4 + 2*fingerprintBytes
	// dictionaryID identifies the base in the frame. There is never more than one.
	dictionaryID = 1
	// The window must cover body and base.
	minWindow = 1 << 16
	maxWindow = 2 * MaxBodyBytes
	// decoderSpareBytes is the decoder's memory beyond the stated length of the body.
	decoderSpareBytes = 1 << 10
)

// fingerprint is the first part of a SHA-256 digest.
type fingerprint [fingerprintBytes]byte

func fingerprintOf(text []byte) fingerprint {
	sum := sha256.Sum256(text)
	return fingerprint(sum[:fingerprintBytes])
}

// Make returns a patch that restores body from base, which may be empty. It fails with
// ErrTooLong.
func Make(base, body []byte) ([]byte, error) {
	if len(body) > MaxBodyBytes || len(base) > MaxBodyBytes {
		return nil, ErrTooLong
	}
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(window(len(base) + len(body))), zstd.WithEncoderCRC(false),
		zstd.WithEncoderLevel(level(len(base) + len(body))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
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

// Total lengths of base and body, in bytes, from which a higher compression level is worth the
// cost of its tables.
const (
	defaultLevelBytes = 1 << 18
	betterLevelBytes  = 1 << 20
)

// level returns the compression level for a total length of base and body.
func level(totalBytes int) zstd.EncoderLevel {
	switch {
	case totalBytes < defaultLevelBytes:
		return zstd.SpeedFastest
	case totalBytes < betterLevelBytes:
		return zstd.SpeedDefault
	}
	return zstd.SpeedBetterCompression
}

// window returns the smallest window that covers a number of bytes.
func window(totalBytes int) int {
	return min(max(1<<bits.Len(uint(totalBytes)), minWindow), maxWindow)
}

// Apply returns the body that a patch restores from base. It fails with ErrBase or ErrDamaged.
// It never holds a body longer than the patch's header states, and at most MaxBodyBytes.
func Apply(base, patch []byte) ([]byte, error) {
	if len(patch) < headerBytes {
		return nil, ErrDamaged
	}
	length := binary.BigEndian.Uint32(patch)
	before, after := patch[4:4+fingerprintBytes], patch[4+fingerprintBytes:headerBytes]
	if length > MaxBodyBytes {
		return nil, ErrDamaged
	}
	if actual := fingerprintOf(base); !bytes.Equal(actual[:], before) {
		return nil, ErrBase
	}
	body, err := decode(base, patch[headerBytes:], int(length))
	if err != nil {
		return nil, errors.Wrap(ErrDamaged, err.Error())
	}
	if actual := fingerprintOf(body); len(body) != int(length) || !bytes.Equal(actual[:], after) {
		return nil, ErrDamaged
	}
	return body, nil
}

func decode(base, frame []byte, length int) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(length + decoderSpareBytes)), zstd.WithDecoderMaxWindow(maxWindow),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	return decoder.DecodeAll(frame, make([]byte, 0, length))
}
