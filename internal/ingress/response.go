package ingress

import (
	"io"
	"net/http"
	"time"

	"pipitmux/internal/relay"
)

// answer is how a handler without a bound on its time answers. It is told at its first byte
// whether its session ends, and each write has a bound of its own.
type answer struct {
	http.ResponseWriter
	server *Server
	begun  bool
}

// begin settles whether the session ends, unless the head has gone.
func (a *answer) begin() {
	if a.begun {
		return
	}
	a.begun = true
	if a.server.closes() {
		a.Header().Set("Connection", "close")
	}
	a.bound()
}

// bound gives what is written next its time.
func (a *answer) bound() {
	http.NewResponseController(a.ResponseWriter).SetWriteDeadline(time.Now().Add(a.server.opt.WriteTimeout))
}

// WriteHeader writes the answer's head.
func (a *answer) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		a.begin()
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer's body.
func (a *answer) Write(b []byte) (int, error) {
	a.begin()
	a.bound()
	return a.ResponseWriter.Write(b)
}

// FlushError sends what has been written.
func (a *answer) FlushError() error {
	a.begin()
	a.bound()
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// Unwrap is for http.ResponseController.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// unwrapped is net/http's own writer, which http.MaxBytesReader tells of what is too long.
func unwrapped(w http.ResponseWriter) http.ResponseWriter {
	if a, ok := w.(*answer); ok {
		return a.ResponseWriter
	}
	return w
}

// Relay passes a long answer on as it comes, its first part and then the rest, with a flush a
// piece; the client may take nothing of a piece for WriteWithin. It returns nil at the
// answer's end, and else which side broke. Once any of it is out nothing else can be answered:
// where it breaks, the handler has to panic with http.ErrAbortHandler, net/http's way to end a
// session short of its answer, so that the client sees it.
func (s *Server) Relay(w http.ResponseWriter, first []byte, rest io.Reader) (toClient, fromSource error) {
	control := http.NewResponseController(w)
	put := func(b []byte) error {
		control.SetWriteDeadline(time.Now().Add(s.opt.WriteTimeout))
		if _, err := w.Write(b); err != nil {
			return err
		}
		return control.Flush()
	}
	if err := put(first); err != nil {
		return err, nil
	}
	return relay.Copy(put, rest)
}
