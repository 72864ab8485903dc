package discovery

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
)

// maxListBytes bounds a list in JSON.
const maxListBytes = 4 << 20

// readList reads a list, over however many lines, or an empty line, which is nil.
func readList(in *bufio.Reader) (*List, error) {
	for {
		b, err := in.ReadByte()
		switch {
		case err != nil:
			return nil, err
		case b == '\n':
			return nil, nil
		case b == ' ' || b == '\t' || b == '\r':
			continue
		}
		if err := in.UnreadByte(); err != nil {
			return nil, err
		}
		l := &List{Revision: -1}
		if err := json.NewDecoder(io.LimitReader(braceReader{in}, maxListBytes)).Decode(l); err != nil {
			return nil, err
		}
		// The end of the list's last line is not an empty line, if it has arrived already.
		if b, err := in.Peek(min(in.Buffered(), 1)); err == nil && len(b) == 1 && b[0] == '\n' {
			in.Discard(1)
		}
		return l, nil
	}
}

// braceReader reads up to a closing brace at a time. A list ends with one, so a decoder that
// reads from it consumes nothing of what follows.
type braceReader struct{ in *bufio.Reader }

func (r braceReader) Read(p []byte) (int, error) {
	if _, err := r.in.Peek(1); err != nil {
		return 0, err
	}
	part, err := r.in.Peek(min(r.in.Buffered(), len(p)))
	if i := bytes.IndexByte(part, '}'); i >= 0 {
		part = part[:i+1]
	}
	n := copy(p, part)
	r.in.Discard(n)
	return n, err
}
