package session

import (
	"net/http"
	"strconv"
	"time"

	"oakseam/internal/core"
	"oakseam/internal/message"
	"oakseam/internal/metrics"
)

// answerOutcomes maps the kinds of answers to the metrics that count them.
var answerOutcomes = [...]metrics.Outcome{core.Served: metrics.Served, core.Rejected: metrics.Rejected,
	core.Failed: metrics.Failed, core.Duplicate: metrics.Failed}

// rejectUnsubmitted rejects a request that the frontend has not submitted: nothing has run.
func (f *Frontend) rejectUnsubmitted(w http.ResponseWriter, class, counter string) {
	f.count.Add(counter)
	f.writeRejection(w, f.opt.RetryAfter)
	f.opt.Metrics.CountRequest(class, metrics.Rejected)
}

// writeAnswer sends a request's final answer, and counts it.
func (f *Frontend) writeAnswer(w http.ResponseWriter, class string, a core.Answer) {
	outcome := answerOutcomes[a.Kind]
	switch a.Kind {
	case core.Served:
		reply := a.Reply.(*message.Reply)
		defer reply.Close()
		if reply.ContentType == "" {
			w.Header()["Content-Type"] = nil // net/http must not guess a type from a backend's bytes
		} else {
			w.Header().Set("Content-Type", reply.ContentType)
		}
		if reply.Length != message.UnknownLength {
			w.Header().Set("Content-Length", strconv.FormatInt(reply.Length, 10))
		}
		if reply.Rest == nil {
			w.Write(reply.Body)
			break
		}
		f.streamReply(w, class, reply)
	case core.Rejected:
		f.writeRejection(w, a.RetryAfter)
	case core.Duplicate:
		http.Error(w, "the id is in use", http.StatusConflict)
	default:
		http.Error(w, "no backend answered", http.StatusBadGateway)
	}
	f.opt.Metrics.CountRequest(class, outcome)
}

// streamReply passes a long response on as it arrives. Once part of it is sent no other answer is
// possible: if it breaks off, the session ends early, so that the client notices.
func (f *Frontend) streamReply(w http.ResponseWriter, class string, reply *message.Reply) {
	clientErr, backendErr := f.Relay(w, reply.Body, reply.Rest)
	switch {
	case backendErr != nil:
		f.count.Add("answer.broken")
		f.opt.Metrics.CountRequest(class, metrics.Failed)
	case clientErr != nil:
		f.count.Add("client.gone")
	default:
		return
	}
	panic(http.ErrAbortHandler) // has net/http end the session before the response is complete
}

// writeRejection sends a rejection, after which the client can safely retry.
func (f *Frontend) writeRejection(w http.ResponseWriter, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	http.Error(w, "refused", http.StatusServiceUnavailable)
}
