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
func (s *Splitter) Write(text []byte) []byte {
	s.pending = append(s.pending, text...)
	whole := 0
	for {
		length := bytes.IndexByte(s.pending[s.scanned:], '\n')
		if length < 0 {
			break
		}
		line := bytes.TrimSuffix(s.pending[s.scanned:s.scanned+length], []byte{'\r'})
		s.scanned += length + 1
		if len(line) > 0 {
			s.parseField(line)
			continue
		}
		whole = s.scanned
		if len(s.id) > 0 {
			s.lastID = string(s.id)
		}
		s.id = nil
	}
	events := bytes.Clone(s.pending[:whole])
	s.pending = s.pending[:copy(s.pending, s.pending[whole:])]
	s.scanned -= whole
	return events
}

func (s *Splitter) parseField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	if bytes.Equal(name, idField) {
		s.id = bytes.Clone(bytes.TrimPrefix(value, []byte{' '}))
	}
}

// LastID returns the id of the last whole event that had one, or "" if none had.
func (s *Splitter) LastID() string { return s.lastID }

// DropPartial discards the bytes received after the last whole event.
func (s *Splitter) DropPartial() { s.pending, s.scanned, s.id = s.pending[:0], 0, nil }

// Partial returns the bytes received after the last whole event.
func (s *Splitter) Partial() []byte { return s.pending }
