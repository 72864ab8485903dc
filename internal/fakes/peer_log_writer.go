package fakes

import (
	"bytes"
	"encoding/json"
	"io"
)

// PeerLogWriter receives a node's JSON log. It calls OnChange for each line that reports a changed
// state of a peer, and copies everything to Log.
type PeerLogWriter struct {
	OnChange func(number int, state string)
	Log      io.Writer // nil discards the log
	partial  []byte    // line that isn't complete yet
}

// Write implements io.Writer.
func (p *PeerLogWriter) Write(text []byte) (int, error) {
	p.partial = append(p.partial, text...)
	for {
		line, rest, complete := bytes.Cut(p.partial, []byte("\n"))
		if !complete {
			break
		}
		p.partial = rest
		var entry struct {
			Msg, State string
			Number     int
		}
		if json.Unmarshal(line, &entry) == nil && entry.Msg == "peer" {
			p.OnChange(entry.Number, entry.State)
		}
	}
	if p.Log == nil {
		return len(text), nil
	}
	return p.Log.Write(text)
}
