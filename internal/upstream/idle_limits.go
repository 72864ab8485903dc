package upstream

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"pipitmux/internal/core"
)

const (
	// statedSlack is how long before the time that a server states for idle connections one is
	// given up: a request must not cross the server's close.
	statedSlack = time.Second
	// restLeast is the least that is learned of how long connections may rest.
	restLeast = 20 * time.Millisecond
	// restDoubles is the time in which a learned limit doubles: what made servers forget
	// connections passes.
	restDoubles = 4 * time.Second
	// witnesses is how many places have to forget connections until all are held to it.
	witnesses = 3
	// resetsFor is how long a place that reset a new connection at once is no witness: it
	// resets whatever it gets.
	resetsFor = 10 * time.Second
	// forgottenTimes is how many times as long as its connection took to come up a request is
	// out at most, where its server had forgotten the connection. One that it carried out and
	// broke off takes its work besides. forgottenSlack is added, for a busy processor.
	forgottenTimes = 2
	forgottenSlack = 5 * time.Millisecond
)

// restLimits learns how long connections may rest before servers forget them without a word.
// It is pure, and not safe for concurrent use.
type restLimits struct {
	most   time.Duration // that any connection may rest
	places map[core.Place]restLimit
	resets map[core.Place]time.Time // when places last reset a new connection
	all    restLimit                // where several servers have forgotten connections
}

// restLimit is a limit that was learned at a time. The zero value limits nothing.
type restLimit struct {
	limit time.Duration
	at    time.Time
}

func newRestLimits(most time.Duration) *restLimits {
	return &restLimits{most: most, places: map[core.Place]restLimit{}, resets: map[core.Place]time.Time{}}
}

// now is what is left of the limit by now; it is not above most.
func (l restLimit) now(now time.Time, most time.Duration) time.Duration {
	if l.limit == 0 {
		return most
	}
	limit := l.limit
	for spent := now.Sub(l.at); spent >= restDoubles && limit < most; spent -= restDoubles {
		limit *= 2
	}
	return min(limit, most)
}

// allowed is how long a connection to a place may have rested and be used.
func (l *restLimits) allowed(at core.Place, now time.Time) time.Duration {
	return min(l.places[at].now(now, l.most), l.all.now(now, l.most))
}

// forgotten notes that a place reset a connection that had rested so long. Where others did so
// lately as well, all places are held to it.
func (l *restLimits) forgotten(at core.Place, rested time.Duration, now time.Time) {
	l.age(now)
	if _, resets := l.resets[at]; resets {
		return
	}
	l.places[at] = restLimit{max(min(rested/2, l.allowed(at, now)), restLeast), now}
	if len(l.places) < witnesses {
		return
	}
	least := l.most
	for _, limit := range l.places {
		least = min(least, limit.now(now, l.most))
	}
	l.all = restLimit{least, now}
}

// reset notes that a place reset a connection that was new. So it says nothing of rest.
func (l *restLimits) reset(at core.Place, now time.Time) {
	l.age(now)
	l.resets[at] = now
	delete(l.places, at)
	if len(l.places) < witnesses {
		l.all = restLimit{}
	}
}

// age forgets what was learned long ago.
func (l *restLimits) age(now time.Time) {
	maps.DeleteFunc(l.places, func(_ core.Place, limit restLimit) bool { return limit.now(now, l.most) >= l.most })
	maps.DeleteFunc(l.resets, func(_ core.Place, at time.Time) bool { return now.Sub(at) >= resetsFor })
}

// stated is how long a server says that it keeps an idle connection, 0: it doesn't say.
func stated(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseUint(value, 10, 31)
		if err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// resetAtOnce tells whether an attempt broke with err as its server's machine, rather than its
// work, would have it: after being out for no longer than the way takes.
func resetAtOnce(c *conn, err error, out time.Duration) bool {
	reset := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	return reset && out <= forgottenTimes*c.dialed+forgottenSlack
}
