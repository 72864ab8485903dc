package delta

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/tier/scaletest"
)

func TestPatchRestoresTheBody(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	noise := make([]byte, 70_000)
	for i := range noise {
		noise[i] = byte(random.Uint32())
	}
	bodies := [][]byte{nil, []byte("x"), noise, scaletest.Configuration(1, 10), scaletest.Configuration(2, 3000), scaletest.Configuration(3, 3000)}
	for i, base := range bodies {
		for j, body := range bodies {
			text, err := Make(base, body)
			assert.NilError(t, err)
			got, err := Apply(base, text)
			assert.NilError(t, err, "%d to %d", i, j)
			assert.Equal(t, string(got), string(body), "%d to %d", i, j)
		}
	}
}

// The patch of one changed number must be small, whatever the number of routes.
func TestPatchOfOneChangeIsSmallAtAnySize(t *testing.T) {
	for _, routes := range []int{10, 300, 3000, 10_000} {
		text, err := Make(scaletest.Configuration(7, routes), scaletest.Configuration(8, routes))
		assert.NilError(t, err)
		assert.Assert(t, len(text) < 2000, "%d routes: %d bytes", routes, len(text))
	}
}

func TestPatchForAnotherBaseIsRejected(t *testing.T) {
	base, body := scaletest.Configuration(1, 30), scaletest.Configuration(2, 30)
	text, err := Make(base, body)
	assert.NilError(t, err)
	for _, other := range [][]byte{nil, body, base[:len(base)-1]} {
		_, err = Apply(other, text)
		assert.ErrorIs(t, err, ErrBase)
	}
}

func TestDamagedPatchIsRejected(t *testing.T) {
	base, body := scaletest.Configuration(1, 30), scaletest.Configuration(2, 30)
	text, err := Make(base, body)
	assert.NilError(t, err)
	for length := range len(text) {
		_, err := Apply(base, text[:length])
		assert.ErrorIs(t, err, ErrDamaged, "cut to %d bytes", length)
	}
	for at := range text {
		damaged := append([]byte(nil), text...)
		damaged[at] ^= 0x41
		got, err := Apply(base, damaged)
		assert.Assert(t, err != nil && got == nil, "byte %d", at)
	}
}

// The length that a patch states limits the memory to apply it, and is itself limited.
func TestPatchWithFalseLengthIsRejected(t *testing.T) {
	text, err := Make(nil, make([]byte, 1<<20))
	assert.NilError(t, err)
	for _, length := range []uint32{0, 10, 1<<20 - 1, 1<<20 + 1, MaxBodyBytes + 1, 1<<32 - 1} {
		altered := append([]byte(nil), text...)
		binary.BigEndian.PutUint32(altered, length)
		_, err := Apply(nil, altered)
		assert.ErrorIs(t, err, ErrDamaged, "%d", length)
	}
	_, err = Make(nil, make([]byte, MaxBodyBytes+1))
	assert.ErrorIs(t, err, ErrTooLong)
}

// BenchmarkPatch makes and applies the patch of one changed number in a configuration, and
// reports its size. The figures are in docs/performance.md.
func BenchmarkPatch(b *testing.B) {
	for _, routes := range []int{10, 300, 3000, 10_000} {
		base, body := scaletest.Configuration(7, routes), scaletest.Configuration(8, routes)
		text, err := Make(base, body)
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("make/%d", routes), func(b *testing.B) {
			for b.Loop() {
				if _, err := Make(base, body); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "B/receiver")
			b.ReportMetric(float64(len(body)), "B/body")
		})
		b.Run(fmt.Sprintf("apply/%d", routes), func(b *testing.B) {
			for b.Loop() {
				if _, err := Apply(base, text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
