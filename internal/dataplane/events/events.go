// Package events parses streams of server-sent events as their bytes pass. Collector collects the
// data of the events, Splitter finds the whole events. See the HTML standard's section on
// server-sent events.
package events

import "bytes"

// maxLineBytes bounds one collected line. Longer lines are truncated. This bounds only the memory of
// what is collected; the stream itself is forwarded unchanged.
const maxLineBytes = 1 << 20

var dataField = []byte("data")

// Collector collects the data of one stream. The zero value is ready to use.
type Collector struct {
	line    []byte
	data    []byte
	hasData bool
	output  []byte
	count   uint64
}

// Write parses the next bytes of the stream. It never fails.
func (c *Collector) Write(text []byte) (int, error) {
	length := len(text)
	for len(text) > 0 {
		end := bytes.IndexByte(text, '\n')
		if end < 0 {
			c.appendLine(text)
			break
		}
		c.appendLine(text[:end])
		c.endLine()
		text = text[end+1:]
	}
	return length, nil
}

func (c *Collector) appendLine(part []byte) {
	remaining := max(maxLineBytes-len(c.line), 0)
	c.line = append(c.line, part[:min(len(part), remaining)]...)
}

// endLine handles a whole line: a field, or the empty line that ends an event.
func (c *Collector) endLine() {
	line := bytes.TrimSuffix(c.line, []byte{'\r'})
	c.line = c.line[:0]
	if len(line) == 0 {
		c.endEvent()
		return
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	if !bytes.Equal(name, dataField) {
		return
	}
	if c.hasData {
		c.data = append(c.data, '\n')
	}
	c.data = append(c.data, bytes.TrimPrefix(value, []byte{' '})...)
	c.hasData = true
}

func (c *Collector) endEvent() {
	if !c.hasData {
		return
	}
	c.count++
	c.output = append(c.output, c.data...)
	c.output = append(c.output, '\n')
	c.data = c.data[:0]
	c.hasData = false
}

// Output returns the data of all whole events so far, each followed by a line feed.
func (c *Collector) Output() []byte { return c.output }

// Count returns the number of whole events so far.
func (c *Collector) Count() uint64 { return c.count }

// Started returns the number of events received at least in part. It is the most that a broken
// stream can have delivered.
func (c *Collector) Started() uint64 {
	if c.hasData || len(c.line) > 0 {
		return c.count + 1
	}
	return c.count
}
