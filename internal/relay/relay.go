// Package relay copies bodies piece by piece. It must not depend on what they belong to.
package relay

import (
	"io"
	"sync"
)

// bufferSize is the size of the copy buffer of a body, in bytes.
const bufferSize = 32 << 10

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// Copy reads source piece by piece and passes each piece to write as it arrives. It returns nil
// errors at the end of the body, and otherwise the error of the side that failed.
func Copy(write func([]byte) error, source io.Reader) (writeErr, sourceErr error) {
	buf := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(buf)
	for {
		n, err := source.Read(buf[:])
		if n > 0 {
			if err := write(buf[:n]); err != nil {
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
