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
func (g *Collector) Write(text []byte) (int, error) {
	length := len(text)
	for len(text) > 0 {
		end := bytes.IndexByte(text, '\n')
		if end < 0 {
			g.appendLine(text)
			break
		}
		g.appendLine(text[:end])
		g.endLine()
		text = text[end+1:]
	}
	return length, nil
}

func (g *Collector) appendLine(part []byte) {
	remaining := max(maxLineBytes-len(g.line), 0)
	g.line = append(g.line, part[:min(len(part), remaining)]...)
}

// endLine handles a whole line: a field, or the empty line that ends an event.
func (g *Collector) endLine() {
	line := bytes.TrimSuffix(g.line, []byte{'\r'})
	g.line = g.line[:0]
	if len(line) == 0 {
		g.endEvent()
		return
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	if !bytes.Equal(name, dataField) {
		return
	}
	if g.hasData {
		g.data = append(g.data, '\n')
	}
	g.data = append(g.data, bytes.TrimPrefix(value, []byte{' '})...)
	g.hasData = true
}

func (g *Collector) endEvent() {
	if !g.hasData {
		return
	}
	g.count++
	g.output = append(g.output, g.data...)
	g.output = append(g.output, '\n')
	g.data = g.data[:0]
	g.hasData = false
}

// Output returns the data of all whole events so far, each followed by a line feed.
func (g *Collector) Output() []byte { return g.output }

// Count returns the number of whole events so far.
func (g *Collector) Count() uint64 { return g.count }

// Started returns the number of events received at least in part. It is the most that a broken
// stream can have delivered.
func (g *Collector) Started() uint64 {
	if g.hasData || len(g.line) > 0 {
		return g.count + 1
	}
	return g.count
}
