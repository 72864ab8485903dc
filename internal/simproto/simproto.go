// Package simproto parses and prints the simulator's line protocol. It translates between lines and
// the events and actions of package logic, and makes no decisions.
package simproto

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"oakseam/logic"
)

// Op is the kind of an Item.
type Op uint8

// The kinds of Item.
const (
	OpEvent   Op = iota // an event for a running instance
	OpStart             // an instance starts
	OpStop              // an instance was killed
	OpIgnored           // a message that needs no decision
)

// Item is one message of a batch, addressed to an instance.
type Item struct {
	Op       Op
	Node     int
	Line     int // line number in the input, from 1
	Seed     uint64
	Settings string      // of OpStart
	Event    logic.Event // of OpEvent
}

// Batch holds the messages that the simulator sends at one instant.
type Batch struct {
	Now   time.Duration
	Seq   string
	Items []Item
}

// maxLists is the number of server lists that a process can keep, numbered from 0.
const maxLists = 16

// maxListedServers limits the count that a REGISTER may state.
const maxListedServers = 1 << 20

// Reader reads batches from a stream. The server lists that it has read are shared by all
// instances of the process.
type Reader struct {
	in         *bufio.Reader
	line       int // number of the line read last, from 1
	lists      [maxLists][]logic.Server
	defined    [maxLists]bool // lists that a REGISTER has set
	fields     []string       // buffer of split
	lineBuffer []byte         // buffer of readLine
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20)}
}

// LineError is an error in the input with its line number.
type LineError struct {
	Line int
	Err  error
}

// Error returns the line number and the error.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the error without the line number.
func (e *LineError) Unwrap() error { return e.Err }

// Next returns the next batch. It returns io.EOF after the last one, and a *LineError for
// invalid input.
func (r *Reader) Next() (*Batch, error) {
	text, err := r.readLine()
	if err == io.EOF {
		return nil, io.EOF
	}
	if err != nil {
		return nil, r.withLine(err)
	}
	fields := r.split(text, 3)
	if fields[0] != "CLOCK" {
		return nil, r.withLine(fmt.Errorf("expected CLOCK, found %q", clip(fields[0])))
	}
	if len(fields) != 3 {
		return nil, r.withLine(errors.New("CLOCK: expected 2 values"))
	}
	now, err := micros(fields[1])
	if err != nil {
		return nil, r.withLine(fmt.Errorf("CLOCK: %w", err))
	}
	if _, err := strconv.ParseUint(fields[2], 10, 64); err != nil {
		return nil, r.withLine(fmt.Errorf("CLOCK: invalid batch number %q", clip(fields[2])))
	}
	b := &Batch{Now: now, Seq: fields[2]}
	return b, r.readItems(b)
}

// readItems reads the messages of a batch up to its END line.
func (r *Reader) readItems(b *Batch) error {
	for {
		text, err := r.readLine()
		if err == io.EOF {
			r.line++
			return r.withLine(errors.New("input ends inside a batch"))
		}
		if err != nil {
			return r.withLine(err)
		}
		if text == "END" {
			return nil
		}
		item, err := r.parseMessage(text)
		if err != nil {
			return r.withLine(err)
		}
		if item != nil {
			b.Items = append(b.Items, *item)
		}
	}
}

// withLine adds the current line number to err, unless it has one.
func (r *Reader) withLine(err error) error {
	var lineError *LineError
	if errors.As(err, &lineError) {
		return err
	}
	return &LineError{Line: r.line, Err: err}
}

// maxLineBytes limits the length of an input line.
const maxLineBytes = 1 << 22

// readLine returns the next line without its newline, and io.EOF if the input ends before it.
func (r *Reader) readLine() (string, error) {
	r.lineBuffer = r.lineBuffer[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		r.lineBuffer = append(r.lineBuffer, part...)
		if err == nil {
			break
		}
		if err == bufio.ErrBufferFull && len(r.lineBuffer) <= maxLineBytes {
			continue
		}
		if err == io.EOF && len(r.lineBuffer) == 0 {
			return "", io.EOF
		}
		r.line++
		switch {
		case err == io.EOF:
			return "", errors.New("input ends inside a line")
		case err == bufio.ErrBufferFull:
			return "", errors.New("line too long")
		}
		return "", fmt.Errorf("reading: %w", err)
	}
	r.line++
	return string(r.lineBuffer[:len(r.lineBuffer)-1]), nil
}

// split splits a line at single spaces into at most n fields. The result is valid until the next
// call.
func (r *Reader) split(text string, n int) []string {
	r.fields = r.fields[:0]
	for len(r.fields) < n-1 {
		i := strings.IndexByte(text, ' ')
		if i < 0 {
			break
		}
		r.fields = append(r.fields, text[:i])
		text = text[i+1:]
	}
	r.fields = append(r.fields, text)
	return r.fields
}
