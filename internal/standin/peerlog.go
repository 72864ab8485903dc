package standin

import (
	"bytes"
	"encoding/json"
	"io"
)

// PeerLogWriter is where a node logs as JSON: it reads the lines on what the node takes its peers
// for, and passes all on.
type PeerLogWriter struct {
	OnChange func(number int, state string)
	Log      io.Writer // nil: kept nowhere
	rest     []byte
}

func (p *PeerLogWriter) Write(text []byte) (int, error) {
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
			p.OnChange(l.Number, l.State)
		}
	}
	if p.Log == nil {
		return len(text), nil
	}
	return p.Log.Write(text)
}
