package rpc_test

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/tier/rpc"
)

// BenchmarkBytes makes one call at a time whose arguments and reply both have the given
// size. The figures are in docs/CAPACITY.md.
func BenchmarkBytes(b *testing.B) {
	address, _ := start(b, newService(), rpc.Limits{})
	caller := newPool(b, rpc.Options{})
	for _, size := range []int{0, 2600, 100_000, 1_400_000} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			message := Message{Data: make([]byte, size)}
			b.ReportAllocs()
			b.SetBytes(int64(2 * size))
			for b.Loop() {
				var reply Message
				assert.NilError(b, caller.Call(context.Background(), address, "Test.Echo", &message, &reply))
			}
		})
	}
}
