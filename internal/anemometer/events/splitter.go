package events

import "bytes"

var idField = []byte("id")

// Splitter splits a stream after its last whole event, so that another server can continue it. The
// zero value is ready to use.
type Splitter struct {
	pending []byte // received and not yet returned
	scanned int    // length of the whole lines of pending that were parsed
	id      []byte // of the current event, empty: none yet
	lastID  string
}

// Write adds the next bytes of the stream and returns the events that are whole now. They are valid
// until the next call.
func (c *Splitter) Write(text []byte) []byte {
	c.pending = append(c.pending, text...)
	whole := 0
	for {
		length := bytes.IndexByte(c.pending[c.scanned:], '\n')
		if length < 0 {
			break
		}
		line := bytes.TrimSuffix(c.pending[c.scanned:c.scanned+length], []byte{'\r'})
		c.scanned += length + 1
		if len(line) > 0 {
			c.parseField(line)
			continue
		}
		whole = c.scanned
		if len(c.id) > 0 {
			c.lastID = string(c.id)
		}
		c.id = nil
	}
	events := bytes.Clone(c.pending[:whole])
	c.pending = c.pending[:copy(c.pending, c.pending[whole:])]
	c.scanned -= whole
	return events
}

func (c *Splitter) parseField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	if bytes.Equal(name, idField) {
		c.id = bytes.Clone(bytes.TrimPrefix(value, []byte{' '}))
	}
}

// LastID returns the id of the last whole event that had one, or "" if none had.
func (c *Splitter) LastID() string { return c.lastID }

// DropPartial discards the bytes received after the last whole event.
func (c *Splitter) DropPartial() { c.pending, c.scanned, c.id = c.pending[:0], 0, nil }

// Partial returns the bytes received after the last whole event.
func (c *Splitter) Partial() []byte { return c.pending }
