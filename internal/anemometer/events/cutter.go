package events

import "bytes"

var idField = []byte("id")

// Cutter cuts a stream of events behind its last whole one, so that what follows can come
// from another place. The zero value is ready to use.
type Cutter struct {
	pending []byte // what has come and was not returned yet
	scanned int    // how much of pending has been looked at, up to a line's begin
	id      []byte // of the event that has begun, empty: none was given
	lastID  string
}

// Write takes the next bytes of the stream and returns the whole events among what has come.
// They are valid until the next call.
func (c *Cutter) Write(text []byte) []byte {
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
			c.field(line)
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

func (c *Cutter) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	if bytes.Equal(name, idField) {
		c.id = bytes.Clone(bytes.TrimPrefix(value, []byte{' '}))
	}
}

// LastID is the id of the last whole event that had one, empty: none had.
func (c *Cutter) LastID() string { return c.lastID }

// Drop forgets what has come of an event that is not whole.
func (c *Cutter) Drop() { c.pending, c.scanned, c.id = c.pending[:0], 0, nil }

// Rest returns what has come behind the last whole event.
func (c *Cutter) Rest() []byte { return c.pending }
