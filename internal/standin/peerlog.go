package standin

import (
	"bytes"
	"encoding/json"
	"io"
)

// PeerLog is where a node logs as JSON: it reads the lines on what the node takes its peers
// for, and passes all on.
type PeerLog struct {
	Changed func(number int, state string)
	Log     io.Writer // nil: kept nowhere
	rest    []byte
}

func (p *PeerLog) Write(text []byte) (int, error) {
	p.rest = append(p.rest, text...)
	for {
		line, rest, whole := bytes.Cut(p.rest, []byte("\n"))
		if !whole {
			break
		}
		p.rest = rest
		var l struct {
			Msg, State string
			Number     int
		}
		if json.Unmarshal(line, &l) == nil && l.Msg == "peer" {
			p.Changed(l.Number, l.State)
		}
	}
	if p.Log == nil {
		return len(text), nil
	}
	return p.Log.Write(text)
}
