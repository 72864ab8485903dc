// Package discovery asks the registry for the list of backends, once or as a
// watch, over HTTP/1.1 on plain connections.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"pipitmux/internal/core"
	"pipitmux/internal/logging"
	"pipitmux/logic"
)

const (
	connectWithin = time.Second
	// A watch says something every 2 s, an empty line at least. One that says nothing whole for
	// longer is broken, and would hide every drain to come. What it missed counts as told 6 s
	// after it fell silent: what is left of those is for the new call.
	silentFor = 3500 * time.Millisecond
	// A call that is asked for waits for its turn at a registry that many share.
	turnWithin = 5 * time.Second
	// Another call is made beside one without a first word for so long, and a tenth more at
	// most: registries answer or refuse within 2 s. And so beside a watch that is silent for
	// so long, and a tenth more: its beats are 2 s apart. One that is refused is made again
	// after againIn, and up to as long more. What a silent watch misses counts as told 6 s
	// after it fell silent: 2.75 s of doubt, 2.42 s for a call that is lost, and the rest for
	// the next one's answer.
	turnDoubt  = 2200 * time.Millisecond
	watchDoubt = 2500 * time.Millisecond
	againIn    = 300 * time.Millisecond
	// The agent that lists are pushed to answers at once, and asking costs it nothing: a call
	// without a first word is lost, or the agent is silent or slow. So another is made beside it
	// each time, and each waits for as long as a watch may be silent.
	agentDoubt = 400 * time.Millisecond
	// Pause of a watch that the module does not ask for. What the agent has counts as told at
	// once, after an outage as well.
	agentPause = 100 * time.Millisecond
	maxList    = 4 << 20
)

// List is the registry's form of a list of backends.
type List struct {
	Revision int64    `json:"rev"`
	Full     bool     `json:"all"`
	Targets  []Target `json:"targets"`
}

// Target is a backend in a List.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

var states = map[string]logic.ServerState{
	"in_service": logic.Serving, "terminating": logic.Draining, "terminated": logic.Gone,
}

// Backends returns the backends of a list as the core takes them.
func (l *List) Backends() ([]core.Backend, error) {
	out := make([]core.Backend, 0, len(l.Targets))
	seen := make(map[string]int, len(l.Targets))
	for i, t := range l.Targets {
		state, ok := states[t.State]
		if !ok {
			return nil, fmt.Errorf("targets.%d.state: %q is not a state", i, t.State)
		}
		if t.UID == "" {
			return nil, fmt.Errorf("targets.%d.uid: missing", i)
		}
		if _, _, err := net.SplitHostPort(t.Endpoint); err != nil && state != logic.Gone {
			return nil, fmt.Errorf("targets.%d.endpoint: %w", i, err)
		}
		if was, ok := seen[t.UID]; ok && l.Full && l.Targets[was] != t {
			return nil, fmt.Errorf("targets.%d.uid: %q is targets.%d as well, with other values", i, t.UID, was)
		}
		seen[t.UID] = i
		out = append(out, core.Backend{Endpoint: t.Endpoint, Server: logic.Server{
			ID: logic.ServerID(t.UID), Capacity: t.Capacity, State: state, Kind: t.Model, Zone: t.Zone,
			Cell: t.PodGroup, StartedAt: time.Duration(max(t.BootMS, 0)) * time.Millisecond,
		}})
	}
	return out, nil
}

// NewList returns a list in the registry's form: what Entries turns back.
func NewList(rev int64, all bool, entries []core.Backend) List {
	l := List{Revision: rev, Full: all, Targets: make([]Target, 0, len(entries))}
	for _, e := range entries {
		t := Target{UID: string(e.ID), Endpoint: e.Endpoint, Zone: e.Zone, Model: e.Kind, PodGroup: e.Cell,
			Capacity: e.Capacity, BootMS: e.StartedAt.Milliseconds()}
		for name, state := range states {
			if state == e.State {
				t.State = name
			}
		}
		l.Targets = append(l.Targets, t)
	}
	return l
}

// Client calls the registry at one address. Each Subscribe and each Fetch is
// answered by one list; a failed call by ListFailed.
type Client struct {
	tell func(logic.ListKind, []core.Backend)
	log  *slog.Logger
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	telling sync.Mutex // held while a list is told, ahead of mu: lists are told in one order
	order   order

	mu    sync.Mutex
	addr  string
	rev   int64
	leave context.CancelFunc // ends the present watch for one at a new address
	stop  context.CancelFunc // of the present watch
	done  chan struct{}      // closed when it has ended
}

var _ core.Registry = (*Client)(nil)

// New returns a Registry that has yet to call. known is the list that the node knows
// already, with its version.
func New(addr string, known List, tell func(logic.ListKind, []core.Backend), log *slog.Logger) *Client {
	r := &Client{addr: addr, rev: known.Revision, tell: tell, log: log, dial: new(net.Dialer).DialContext,
		order: newOrder(time.Now)}
	if entries, err := known.Backends(); err == nil {
		r.order.sort(&known, entries)
	}
	return r
}

// Revision returns the version of the list that was last told.
func (r *Client) Revision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rev
}

// Fetch asks for the whole list. It does not block.
func (r *Client) Fetch() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), turnWithin)
		defer cancel()
		r.mu.Lock()
		addr := r.addr
		r.mu.Unlock()
		err := r.call(ctx, addr, "/v1/endpoints", turnWithin, func(body *bufio.Reader, _ func()) error {
			l := List{Revision: -1}
			if err := json.NewDecoder(io.LimitReader(body, maxList)).Decode(&l); err != nil {
				return err
			}
			l.Full = true // the call is for the whole list
			return r.take(nil, &l)
		})
		if err != nil {
			r.log.Warn("director: no list", logging.Cause, err)
			r.tell(logic.ListFailed, nil)
		}
	}()
}

// Subscribe starts a watch in place of the present one. It does not block.
func (r *Client) Subscribe() {
	r.mu.Lock()
	defer r.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	before, stopBefore := r.done, r.stop
	done := make(chan struct{})
	r.stop, r.done = stop, done
	go func() {
		defer close(done)
		if before != nil { // its reply, or the lack of one, comes before this one's
			stopBefore()
			<-before
		}
		replied, err := r.follow(ctx, patience{turnWithin, turnDoubt, 3})
		if ctx.Err() != nil && replied {
			return // replaced: the module holds this watch for the new one
		}
		r.log.Warn("director: the watch broke", logging.Cause, err)
		r.tell(logic.ListFailed, nil)
	}()
}

// KeepWatching watches until ctx ends, for a module that does not ask: the lists are pushed, to an
// agent on the node's own machine.
func (r *Client) KeepWatching(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		replied, err := r.follow(ctx, patience{silentFor, agentDoubt, int(silentFor/agentDoubt) + 1})
		if failures++; replied {
			failures = 1
		}
		if failures&(failures-1) == 0 { // ever fewer lines of an outage that goes on
			r.log.Warn("director: the watch broke", "failures", failures, logging.Cause, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(agentPause/2 + rand.N(agentPause/2)):
		}
	}
}

// SetAddress goes over to the registry at another address: the present watch ends
// unseen and goes on there. Its module has been told nothing failed, so no drain
// and no call is made up, and a call that waits for its list still gets one.
func (r *Client) SetAddress(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if addr == r.addr {
		return
	}
	r.addr = addr
	if r.leave != nil {
		r.leave()
	}
}

// patience is how a caller waits for first words.
type patience struct {
	first time.Duration // of one call
	doubt time.Duration // until another is made beside it, and a tenth more at most
	most  int           // calls out at once
}

// follow watches until a watch ends other than by a move. It also returns
// whether a first list was told.
func (r *Client) follow(ctx context.Context, p patience) (replied bool, err error) {
	for {
		here, leave := context.WithCancel(ctx)
		r.mu.Lock()
		r.leave = leave
		addr := r.addr
		r.mu.Unlock()
		told, err := r.stay(here, addr, p)
		replied = replied || told
		moved := here.Err() != nil && ctx.Err() == nil
		leave()
		if !moved {
			return replied, err
		}
	}
}

// watch is one call for a watch, guarded by Registry.telling.
type watch struct {
	rivals *[]*watch
	end    context.CancelFunc
	rev    int64 // of its last list
	dead   bool  // a rival has spoken
}

// event is a word of a watch, or its end.
type event struct {
	of  *watch
	err error // nil: a word
}

// stay watches at one address until no call is out any more. A call or a watch that says
// nothing for longer than an honest one would gets another beside it, and goes on: of those
// that are out the first to speak holds, and the others end. So a call that is lost costs no
// more than a while, and one that waits for its turn does not lose it.
func (r *Client) stay(ctx context.Context, addr string, p patience) (replied bool, err error) {
	ctx, stop := context.WithCancel(ctx)
	var ended sync.WaitGroup
	defer ended.Wait()
	defer stop()
	events := make(chan event)
	var out []*watch // guarded by telling, but for the reads of this goroutine
	doubt := time.NewTimer(time.Hour)
	defer doubt.Stop()
	var due time.Time // of the next call beside those that are out
	ask := func(in time.Duration) {
		due = time.Now().Add(in)
		doubt.Reset(in)
	}
	open := func() {
		r.mu.Lock()
		path := fmt.Sprintf("/v1/endpoints?stream=1&index=%d", r.rev)
		r.mu.Unlock()
		here, end := context.WithCancel(ctx)
		w := &watch{rivals: &out, end: end, rev: -1}
		r.telling.Lock()
		out = append(out, w)
		r.telling.Unlock()
		ask(p.doubt + rand.N(p.doubt/10))
		put := func(err error) {
			select {
			case events <- event{w, err}:
			case <-ctx.Done():
			}
		}
		ended.Go(func() { put(r.watch(here, w, addr, path, p.first, func() { put(nil) })) })
	}
	for open(); ; {
		select {
		case <-ctx.Done():
			return replied, ctx.Err()
		case <-doubt.C:
			if ask(p.doubt); len(out) < p.most {
				open()
			}
		case e := <-events:
			if e.err == nil {
				replied = true
				ask(watchDoubt + rand.N(watchDoubt/10))
				continue
			}
			e.of.end()
			r.telling.Lock()
			out = slices.DeleteFunc(out, func(w *watch) bool { return w == e.of })
			replaced := e.of.dead
			r.telling.Unlock()
			if len(out) == 0 {
				return replied, e.err
			}
			if !replaced { // those that are left have said nothing since
				r.log.Info("director: a call beside others broke", logging.Cause, e.err)
				// Only sooner: calls that end one after the other would put the next off for good.
				if in := againIn + rand.N(againIn); time.Now().Add(in).Before(due) {
					ask(in)
				}
			}
		}
	}
}

// watch tells lists until the watch ends, which it always does with an error. word is called
// for each list and each empty line.
func (r *Client) watch(ctx context.Context, w *watch, addr, path string, first time.Duration, word func()) error {
	return r.call(ctx, addr, path, first, func(body *bufio.Reader, whole func()) error {
		for replied := false; ; replied = true {
			l, err := next(body)
			if err != nil {
				return err
			}
			whole()
			if l == nil {
				l = &List{Revision: -1} // an empty first line is the reply that nothing has changed
				if replied {
					l = nil
				}
			}
			if err := r.take(w, l); err != nil {
				return err
			}
			word()
		}
	})
}

// errReplaced ends a watch beside which another has spoken first.
var errReplaced = errors.New("another watch has spoken first")

// take tells what a watch brought, a list or nil for an empty line, in the order of the
// lists. A nil watch is a call for the whole list.
func (r *Client) take(w *watch, l *List) error {
	r.telling.Lock()
	defer r.telling.Unlock()
	if w != nil && w.dead {
		return errReplaced
	}
	var entries []core.Backend
	if l != nil {
		var err error
		if entries, err = l.Backends(); err != nil {
			return err
		}
		if w != nil && l.Revision >= 0 {
			if l.Revision < w.rev {
				return fmt.Errorf("rev: %d after %d", l.Revision, w.rev)
			}
			w.rev = l.Revision
		}
	}
	if w != nil {
		for _, rival := range *w.rivals {
			if rival.dead = rival != w; rival.dead {
				rival.end()
			}
		}
	}
	if l == nil {
		return nil
	}
	entries = r.order.sort(l, entries)
	if l.Revision >= 0 {
		r.mu.Lock()
		r.rev = l.Revision
		r.mu.Unlock()
	}
	kind := logic.ListChanges
	if l.Full {
		kind = logic.ListFull
	}
	r.tell(kind, entries)
	return nil
}

// next reads a list, over however many lines, or an empty line, which is nil.
func next(in *bufio.Reader) (*List, error) {
	for {
		b, err := in.ReadByte()
		switch {
		case err != nil:
			return nil, err
		case b == '\n':
			return nil, nil
		case b == ' ' || b == '\t' || b == '\r':
			continue
		}
		if err := in.UnreadByte(); err != nil {
			return nil, err
		}
		l := &List{Revision: -1}
		if err := json.NewDecoder(io.LimitReader(braces{in}, maxList)).Decode(l); err != nil {
			return nil, err
		}
		// The end of the list's last line is no empty line, if it is here already.
		if b, err := in.Peek(min(in.Buffered(), 1)); err == nil && len(b) == 1 && b[0] == '\n' {
			in.Discard(1)
		}
		return l, nil
	}
}

// braces reads up to a closing brace at a time. A list ends with one, so a decoder that
// reads from it takes nothing of what follows.
type braces struct{ in *bufio.Reader }

func (r braces) Read(p []byte) (int, error) {
	if _, err := r.in.Peek(1); err != nil {
		return 0, err
	}
	part, err := r.in.Peek(min(r.in.Buffered(), len(p)))
	if i := bytes.IndexByte(part, '}'); i >= 0 {
		part = part[:i+1]
	}
	n := copy(p, part)
	r.in.Discard(n)
	return n, err
}

// call sends a GET and has the body of its 200 answer read. The first of it has to come
// whole within a time; whole tells that something has, and starts the clock of silence anew.
func (r *Client) call(ctx context.Context, addr, path string, first time.Duration, read func(body *bufio.Reader, whole func()) error) error {
	up, stop := context.WithTimeout(ctx, min(first, connectWithin))
	defer stop()
	c, err := r.dial(up, "tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	c.SetWriteDeadline(time.Now().Add(connectWithin))
	c.SetReadDeadline(time.Now().Add(first))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", path, addr); err != nil {
		return err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	// The body is not closed: that would first read a watch to its end, and one that broke
	// at a line would be held for ever while empty lines come. The connection is closed.
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s", path, res.Status)
	}
	return read(bufio.NewReader(res.Body), func() { c.SetReadDeadline(time.Now().Add(silentFor)) })
}
