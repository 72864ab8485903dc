// Package events follows a stream of server-sent events as its bytes pass, and gathers
// what they say. See the HTML standard's section on server-sent events.
package events

import "bytes"

// lineMost bounds one line of a stream, in bytes. A longer one is cut: streams are passed
// on as they are, only what is gathered of them is bounded.
const lineMost = 1 << 20

var dataField = []byte("data")

// Gatherer follows one stream. The zero value is ready to use.
type Gatherer struct {
	line    []byte
	data    []byte
	hasData bool
	output  []byte
	count   uint64
}

// Write follows the next bytes of the stream. It never fails.
func (g *Gatherer) Write(text []byte) (int, error) {
	length := len(text)
	for len(text) > 0 {
		end := bytes.IndexByte(text, '\n')
		if end < 0 {
			g.keep(text)
			break
		}
		g.keep(text[:end])
		g.endLine()
		text = text[end+1:]
	}
	return length, nil
}

func (g *Gatherer) keep(part []byte) {
	room := max(lineMost-len(g.line), 0)
	g.line = append(g.line, part[:min(len(part), room)]...)
}

// endLine takes a whole line: a field, or the empty one that ends an event.
func (g *Gatherer) endLine() {
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

func (g *Gatherer) endEvent() {
	if !g.hasData {
		return
	}
	g.count++
	g.output = append(g.output, g.data...)
	g.output = append(g.output, '\n')
	g.data = g.data[:0]
	g.hasData = false
}

// Output is the data of each whole event so far, a line feed behind each.
func (g *Gatherer) Output() []byte { return g.output }

// Count is how many whole events have passed.
func (g *Gatherer) Count() uint64 { return g.count }

// Begun is how many events have passed at least in part: what a broken stream has handed
// out at most.
func (g *Gatherer) Begun() uint64 {
	if g.hasData || len(g.line) > 0 {
		return g.count + 1
	}
	return g.count
}
