package ingress

import (
	"io"
	"net/http"
	"time"

	"oakseam/internal/relay"
)

// responseWriter is the response writer of a handler without a response timeout. At the first byte
// it decides whether the response closes its session. Each write has its own deadline.
type responseWriter struct {
	http.ResponseWriter
	server *Server
	begun  bool // the first byte has been written
}

// beginResponse decides whether the response closes its session, unless the head is already
// written.
func (a *responseWriter) beginResponse() {
	if a.begun {
		return
	}
	a.begun = true
	if a.server.closesSessions() {
		a.Header().Set("Connection", "close")
	}
	a.extendDeadline()
}

// extendDeadline sets the deadline of the next write.
func (a *responseWriter) extendDeadline() {
	http.NewResponseController(a.ResponseWriter).SetWriteDeadline(time.Now().Add(a.server.opt.WriteTimeout))
}

// WriteHeader implements http.ResponseWriter.
func (a *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		a.beginResponse()
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *responseWriter) Write(b []byte) (int, error) {
	a.beginResponse()
	a.extendDeadline()
	return a.ResponseWriter.Write(b)
}

// FlushError sends buffered data to the client. http.ResponseController uses it.
func (a *responseWriter) FlushError() error {
	a.beginResponse()
	a.extendDeadline()
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// Unwrap returns the underlying writer for http.ResponseController.
func (a *responseWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// unwrapWriter returns the writer of net/http, which http.MaxBytesReader notifies of a body that is
// too long.
func unwrapWriter(w http.ResponseWriter) http.ResponseWriter {
	if a, ok := w.(*responseWriter); ok {
		return a.ResponseWriter
	}
	return w
}

// Relay streams a long response to the client: its first part and then the rest as it arrives. It
// flushes each piece, which the client has to accept within WriteTimeout. It returns nil errors at
// the end of the response, and otherwise the error of the side that failed. After the first byte no
// other response is possible. If Relay fails, the handler must panic with http.ErrAbortHandler,
// which makes net/http close the connection before the end of the response, so that the client
// notices.
func (s *Server) Relay(w http.ResponseWriter, first []byte, rest io.Reader) (clientErr, sourceErr error) {
	controller := http.NewResponseController(w)
	write := func(b []byte) error {
		controller.SetWriteDeadline(time.Now().Add(s.opt.WriteTimeout))
		if _, err := w.Write(b); err != nil {
			return err
		}
		return controller.Flush()
	}
	if err := write(first); err != nil {
		return err, nil
	}
	return relay.Copy(write, rest)
}
