package adminapi

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// failureInterval is the time between two reports of failed calls.
	failureInterval = time.Second
	// maxFailureKinds bounds the kinds of failures in one report. Callers choose the names of calls.
	maxFailureKinds = 16
	// maxCallName bounds the logged name of a call, in bytes.
	maxCallName = 40
	// otherCalls stands for the names of calls beyond maxFailureKinds.
	otherCalls = "other"
)

// failureKind is a call, such as Configuration.Show, and the status that it was answered with.
type failureKind struct {
	call   string
	status int
}

// failures counts the calls that were answered with a status from 400 on, and reports the counts
// once per interval while there are any.
type failures struct {
	interval time.Duration
	report   func(kind failureKind, count int)

	mu     sync.Mutex
	counts map[failureKind]int // since the last report; nil: no report is due
}

// logFailure writes the line of one kind of failure.
func logFailure(kind failureKind, count int) {
	klog.InfoS("Operators' calls failed", "call", kind.call, "status", kind.status, "count", count)
}

// observe returns a handler that counts the failed calls of another one.
func (f *failures) observe(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		recorder := statusRecorder{ResponseWriter: response}
		handler.ServeHTTP(&recorder, request)
		if recorder.status >= http.StatusBadRequest {
			f.add(failureKind{callName(request.URL.Path), recorder.status})
		}
	})
}

func (f *failures) add(kind failureKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = map[failureKind]int{}
		time.AfterFunc(f.interval, f.flush)
	}
	if _, known := f.counts[kind]; !known && len(f.counts) >= maxFailureKinds {
		kind.call = otherCalls
	}
	f.counts[kind]++
}

// flush reports the counts.
func (f *failures) flush() {
	f.mu.Lock()
	counts := f.counts
	f.counts = nil
	f.mu.Unlock()
	for kind, count := range counts {
		f.report(kind, count)
	}
}

// callName returns the name of a call: the segment after /api/, without its argument.
func callName(path string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(strings.TrimPrefix(path, "/api"), "/"), "/")
	return name[:min(len(name), maxCallName)]
}

// statusRecorder keeps the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController the connection's own writer.
func (r *statusRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }
