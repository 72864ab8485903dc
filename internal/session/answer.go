package session

import (
	"net/http"
	"strconv"
	"time"

	"pipitmux/internal/core"
	"pipitmux/internal/figures"
	"pipitmux/internal/message"
)

// ends are the figures that answers count for.
var ends = [...]figures.Kind{core.Served: figures.Served, core.Rejected: figures.Refused,
	core.Failed: figures.Failed, core.Duplicate: figures.Failed}

// turnAway refuses of the front's own accord: nothing has run.
func (f *Frontend) turnAway(w http.ResponseWriter, class, why string) {
	f.count.Add(why)
	f.refuse(w, f.opt.RetryAfter)
	f.opt.Figures.Ended(class, figures.Refused)
}

// answer gives a request its final answer, and counts it.
func (f *Frontend) answer(w http.ResponseWriter, class string, a core.Answer) {
	end := ends[a.Kind]
	switch a.Kind {
	case core.Served:
		reply := a.Reply.(*message.Reply)
		defer reply.Close()
		if reply.ContentType == "" {
			w.Header()["Content-Type"] = nil // nothing is guessed about a backend's bytes
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
		f.pass(w, class, reply)
	case core.Rejected:
		f.refuse(w, a.RetryAfter)
	case core.Duplicate:
		http.Error(w, "the id is in use", http.StatusConflict)
	default:
		http.Error(w, "no backend answered", http.StatusBadGateway)
	}
	f.opt.Figures.Ended(class, end)
}

// pass passes a long answer on as it comes. Once any of it is out nothing else can be
// answered: where it breaks, the session ends short of it, so that the client sees it.
func (f *Frontend) pass(w http.ResponseWriter, class string, reply *message.Reply) {
	toClient, fromBackend := f.Relay(w, reply.Body, reply.Rest)
	switch {
	case fromBackend != nil:
		f.count.Add("answer.broken")
		f.opt.Figures.Ended(class, figures.Failed)
	case toClient != nil:
		f.count.Add("client.gone")
	default:
		return
	}
	panic(http.ErrAbortHandler) // net/http's way to end a session short of its answer
}

// refuse answers with a refusal: trying again is harmless.
func (f *Frontend) refuse(w http.ResponseWriter, after time.Duration) {
	if after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
	http.Error(w, "refused", http.StatusServiceUnavailable)
}
