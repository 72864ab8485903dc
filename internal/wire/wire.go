// Package wire reads and prints the simulator's line protocol. It knows the
// words of the wire and nothing of the decisions.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"pipitmux/logic"
)

// Op says what an Item is.
type Op uint8

// The kinds of Item.
const (
	OpEvent   Op = iota // an event for a running instance
	OpStart             // an instance starts
	OpStop              // an instance was killed
	OpIgnored           // a message that asks for no decision
)

// Item is one message of a batch that concerns an instance.
type Item struct {
	Op       Op
	Node     int
	Line     int // where in the input it stands, from 1
	Seed     uint64
	Settings string      // of OpStart
	Event    logic.Event // of OpEvent
}

// Batch is what the simulator sends at one instant.
type Batch struct {
	Now   time.Duration
	Seq   string
	Items []Item
}

// maxLists is how many numbers the server lists of a process share.
const maxLists = 16

// maxEntries bounds the count that a REGISTER may announce.
const maxEntries = 1 << 20

// Reader takes batches from a stream. The server lists it has read belong to
// the whole process.
type Reader struct {
	in    *bufio.Reader
	line  int
	lists [maxLists][]logic.Server
	given [maxLists]bool
	buf   []string
	long  []byte
}

// NewReader returns a Reader over in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20)}
}

// LineError is a fault in the input and the line it stands in.
type LineError struct {
	Line int
	Err  error
}

// Error gives the line number and the fault.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the fault without its place.
func (e *LineError) Unwrap() error { return e.Err }

// Next returns the next batch, io.EOF after the last one, or a *LineError.
func (r *Reader) Next() (*Batch, error) {
	text, err := r.readLine()
	if err == io.EOF {
		return nil, io.EOF
	}
	if err != nil {
		return nil, r.fault(err)
	}
	f := r.split(text, 3)
	if f[0] != "CLOCK" {
		return nil, r.fault(fmt.Errorf("CLOCK wanted, %q found", clip(f[0])))
	}
	if len(f) != 3 {
		return nil, r.fault(errors.New("CLOCK: 2 values wanted"))
	}
	now, err := micros(f[1])
	if err != nil {
		return nil, r.fault(fmt.Errorf("CLOCK: %w", err))
	}
	if _, err := strconv.ParseUint(f[2], 10, 64); err != nil {
		return nil, r.fault(fmt.Errorf("CLOCK: batch number %q", clip(f[2])))
	}
	b := &Batch{Now: now, Seq: f[2]}
	return b, r.items(b)
}

// items reads the messages of a batch up to its END.
func (r *Reader) items(b *Batch) error {
	for {
		text, err := r.readLine()
		if err == io.EOF {
			r.line++
			return r.fault(errors.New("input ends within a batch"))
		}
		if err != nil {
			return r.fault(err)
		}
		if text == "END" {
			return nil
		}
		it, err := r.message(text)
		if err != nil {
			return r.fault(err)
		}
		if it != nil {
			b.Items = append(b.Items, *it)
		}
	}
}

func (r *Reader) fault(err error) error {
	var le *LineError
	if errors.As(err, &le) {
		return err
	}
	return &LineError{Line: r.line, Err: err}
}

// maxLine bounds one line of input.
const maxLine = 1 << 22

func (r *Reader) readLine() (string, error) {
	r.long = r.long[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		r.long = append(r.long, part...)
		if err == nil {
			break
		}
		if err == bufio.ErrBufferFull && len(r.long) <= maxLine {
			continue
		}
		if err == io.EOF && len(r.long) == 0 {
			return "", io.EOF
		}
		r.line++
		switch {
		case err == io.EOF:
			return "", errors.New("input ends within a line")
		case err == bufio.ErrBufferFull:
			return "", errors.New("line too long")
		}
		return "", fmt.Errorf("reading: %w", err)
	}
	r.line++
	return string(r.long[:len(r.long)-1]), nil
}

// split cuts a line at single spaces into at most n parts.
func (r *Reader) split(text string, n int) []string {
	r.buf = r.buf[:0]
	for len(r.buf) < n-1 {
		i := strings.IndexByte(text, ' ')
		if i < 0 {
			break
		}
		r.buf = append(r.buf, text[:i])
		text = text[i+1:]
	}
	r.buf = append(r.buf, text)
	return r.buf
}
