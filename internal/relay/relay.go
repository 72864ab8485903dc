// Package relay passes bodies on piece by piece. It must not know what they are part of.
package relay

import (
	"io"
	"sync"
)

// bufferSize is what a body passes through.
const bufferSize = 32 << 10

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// Copy hands each piece of a body to put as it comes, through a buffer of its own. It
// returns nil at the body's end, and else which side broke.
func Copy(put func([]byte) error, from io.Reader) (putErr, fromErr error) {
	buf := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(buf)
	for {
		n, err := from.Read(buf[:])
		if n > 0 {
			if err := put(buf[:n]); err != nil {
				return err, nil
			}
		}
		if err == io.EOF {
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
