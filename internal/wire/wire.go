// Package wire reads and prints the simulator's line protocol. It knows the
// words of the wire and nothing of the decisions.
package wire

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"pipitmux/logic"
)

// Op says what an Item is.
type Op uint8

// The kinds of Item.
const (
	OpEvent   Op = iota // an event for a running instance
	OpStart             // an instance starts
	OpStop              // an instance was killed
	OpIgnored           // a message that asks for no decision
)

// Item is one message of a batch that concerns an instance.
type Item struct {
	Op    Op
	Node  int
	Line  int // where in the input it stands, from 1
	Seed  uint64
	Facts string      // of OpStart
	Event logic.Event // of OpEvent
}

// Batch is what the simulator sends at one instant.
type Batch struct {
	Now   time.Duration
	Seq   string
	Items []Item
}

// maxLists is how many numbers the server lists of a process share.
const maxLists = 16

// maxEntries bounds the count that a REGISTER may announce.
const maxEntries = 1 << 20

// Reader takes batches from a stream. The server lists it has read belong to
// the whole process.
type Reader struct {
	in    *bufio.Reader
	line  int
	lists [maxLists][]logic.Server
	given [maxLists]bool
	buf   []string
	long  []byte
}

// NewReader returns a Reader over in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20)}
}

// LineError is a fault in the input and the line it stands in.
type LineError struct {
	Line int
	Err  error
}

// Error gives the line number and the fault.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the fault without its place.
func (e *LineError) Unwrap() error { return e.Err }

// Next returns the next batch, io.EOF after the last one, or a *LineError.
func (r *Reader) Next() (*Batch, error) {
	text, err := r.readLine()
	if err == io.EOF {
		return nil, io.EOF
	}
	if err != nil {
		return nil, r.fault(err)
	}
	f := r.split(text, 3)
	if f[0] != "CLOCK" {
		return nil, r.fault(fmt.Errorf("CLOCK wanted, %q found", clip(f[0])))
	}
	if len(f) != 3 {
		return nil, r.fault(errors.New("CLOCK: 2 values wanted"))
	}
	now, err := micros(f[1])
	if err != nil {
		return nil, r.fault(fmt.Errorf("CLOCK: %w", err))
	}
	if _, err := strconv.ParseUint(f[2], 10, 64); err != nil {
		return nil, r.fault(fmt.Errorf("CLOCK: batch number %q", clip(f[2])))
	}
	b := &Batch{Now: now, Seq: f[2]}
	return b, r.items(b)
}

// items reads the messages of a batch up to its END.
func (r *Reader) items(b *Batch) error {
	for {
		text, err := r.readLine()
		if err == io.EOF {
			r.line++
			return r.fault(errors.New("input ends within a batch"))
		}
		if err != nil {
			return r.fault(err)
		}
		if text == "END" {
			return nil
		}
		it, err := r.message(text)
		if err != nil {
			return r.fault(err)
		}
		if it != nil {
			b.Items = append(b.Items, *it)
		}
	}
}

func (r *Reader) fault(err error) error {
	var le *LineError
	if errors.As(err, &le) {
		return err
	}
	return &LineError{Line: r.line, Err: err}
}

// maxLine bounds one line of input.
const maxLine = 1 << 22

func (r *Reader) readLine() (string, error) {
	r.long = r.long[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		r.long = append(r.long, part...)
		if err == nil {
			break
		}
		if err == bufio.ErrBufferFull && len(r.long) <= maxLine {
			continue
		}
		if err == io.EOF && len(r.long) == 0 {
			return "", io.EOF
		}
		r.line++
		switch {
		case err == io.EOF:
			return "", errors.New("input ends within a line")
		case err == bufio.ErrBufferFull:
			return "", errors.New("line too long")
		}
		return "", fmt.Errorf("reading: %w", err)
	}
	r.line++
	return string(r.long[:len(r.long)-1]), nil
}

// split cuts a line at single spaces into at most n parts.
func (r *Reader) split(text string, n int) []string {
	r.buf = r.buf[:0]
	for len(r.buf) < n-1 {
		i := strings.IndexByte(text, ' ')
		if i < 0 {
			break
		}
		r.buf = append(r.buf, text[:i])
		text = text[i+1:]
	}
	r.buf = append(r.buf, text)
	return r.buf
}

// widths holds how many parts each message has, its name included.
var widths = map[string]int{
	"INIT": 4, "DETACH": 2, "REGISTER": 3, "SYNC": 5, "KNOCK": 10, "BEGUN": 6, "ENDED": 9,
	"TIMED_OUT_CLIENT": 3, "WAKE": 3, "PONG": 6, "DATAGRAM": 4,
}

// message reads one message; a REGISTER gives no Item.
func (r *Reader) message(text string) (*Item, error) {
	name, _, _ := strings.Cut(text, " ")
	want, ok := widths[name]
	if !ok {
		return nil, fmt.Errorf("unknown message %q", clip(name))
	}
	limit := want + 1
	if name == "INIT" {
		limit = want // the settings take up the rest of the line
	}
	f := r.split(text, limit)
	if len(f) != want && !(name == "INIT" && len(f) == 3) {
		return nil, fmt.Errorf("%s: %d values wanted", name, want-1)
	}
	if name == "REGISTER" {
		return nil, r.list(f)
	}
	node, err := strconv.Atoi(f[1])
	if err != nil || node < 0 {
		return nil, fmt.Errorf("%s: instance %q", name, clip(f[1]))
	}
	it := &Item{Node: node, Line: r.line}
	if err := r.fill(it, name, f); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return it, nil
}

// fill reads the values of a message into it.
func (r *Reader) fill(it *Item, name string, f []string) (err error) {
	switch name {
	case "INIT":
		it.Op = OpStart
		if it.Seed, err = strconv.ParseUint(f[2], 10, 64); err != nil {
			return fmt.Errorf("seed %q", clip(f[2]))
		}
		if len(f) == 4 {
			it.Facts = f[3]
		}
	case "DETACH":
		it.Op = OpStop
	case "SYNC":
		it.Event, err = r.sync(f)
	case "KNOCK":
		it.Event, err = knock(f)
	case "BEGUN":
		it.Event, err = begun(f)
	case "ENDED":
		it.Event, err = ended(f)
	case "TIMED_OUT_CLIENT":
		it.Event, err = logic.ClientGone{ID: logic.RequestID(f[2])}, nonEmpty("request", f[2])
	case "WAKE":
		token, perr := strconv.ParseUint(f[2], 10, 64)
		if perr != nil {
			return fmt.Errorf("token %q was never set", clip(f[2]))
		}
		it.Event = logic.Wake{Token: token}
	case "PONG":
		it.Event, err = pong(f)
	case "DATAGRAM":
		it.Op = OpIgnored // the module sends no peer messages and heeds none
		return checkDatagram(f)
	}
	return err
}

// list reads a REGISTER and its entries.
func (r *Reader) list(f []string) error {
	no, err := listNumber(f[1])
	if err != nil {
		return fmt.Errorf("REGISTER: %w", err)
	}
	n, err := strconv.Atoi(f[2])
	if err != nil || n < 0 || n > maxEntries {
		return fmt.Errorf("REGISTER: count %q", clip(f[2]))
	}
	list := make([]logic.Server, 0, min(n, 4096))
	for i := 0; i < n; i++ {
		text, err := r.readLine()
		if err == io.EOF {
			r.line++
			return errors.New("input ends within a list")
		}
		if err != nil {
			return err
		}
		s, err := entry(r.split(text, 9))
		if err != nil {
			return fmt.Errorf("entry %d of %d: %w", i+1, n, err)
		}
		list = append(list, s)
	}
	r.lists[no], r.given[no] = list, true
	return nil
}

func listNumber(s string) (int, error) {
	no, err := strconv.Atoi(s)
	if err != nil || no < 0 || no >= maxLists {
		return 0, fmt.Errorf("list number %q", clip(s))
	}
	return no, nil
}

var states = map[string]logic.ServerState{
	"SERVING": logic.Serving, "DRAINING": logic.Draining, "DELETED": logic.Gone,
}

// entry reads an M line: capacity, state, born, kind, zone, server, cell.
func entry(f []string) (s logic.Server, err error) {
	if f[0] != "M" || len(f) != 8 {
		return s, errors.New("an M line with 7 values wanted")
	}
	s.Capacity = 1
	if f[1] != "-" {
		if s.Capacity, err = strconv.ParseFloat(f[1], 64); err != nil || !(s.Capacity >= 0) || s.Capacity > 1e12 {
			return s, fmt.Errorf("capacity %q", clip(f[1]))
		}
	}
	state, ok := states[f[2]]
	if !ok {
		return s, fmt.Errorf("state %q", clip(f[2]))
	}
	if s.Born, err = microsOr0(f[3]); err != nil {
		return s, fmt.Errorf("born: %w", err)
	}
	if f[7] != "-" {
		if s.Cell, err = strconv.Atoi(f[7]); err != nil {
			return s, fmt.Errorf("cell %q", clip(f[7]))
		}
	}
	s.State, s.Kind, s.Zone, s.ID = state, orEmpty(f[4]), orEmpty(f[5]), logic.ServerID(f[6])
	return s, nonEmpty("server", f[6])
}

var listKinds = map[string]logic.ListKind{
	"D": logic.ListChanges, "F": logic.ListFull, "C": logic.ListCached, "X": logic.ListFailed,
}

func (r *Reader) sync(f []string) (logic.Event, error) {
	kind, ok := listKinds[f[2]]
	if !ok {
		return nil, fmt.Errorf("list kind %q", clip(f[2]))
	}
	if kind == logic.ListFailed {
		return logic.ServerList{Kind: kind}, nil
	}
	no, err := listNumber(f[4])
	if err != nil {
		return nil, err
	}
	if !r.given[no] {
		return nil, fmt.Errorf("list %d was never given", no)
	}
	return logic.ServerList{Kind: kind, Servers: r.lists[no]}, nil
}

func knock(f []string) (logic.Event, error) {
	q := logic.Request{ID: logic.RequestID(f[2]), Class: orEmpty(f[4]), Tenant: orEmpty(f[8])}
	if q.Tenant == "0" {
		q.Tenant = ""
	}
	if err := nonEmpty("request", f[2]); err != nil {
		return nil, err
	}
	var err error
	if _, err = boolean(f[3]); err != nil {
		return nil, fmt.Errorf("write: %w", err)
	}
	if q.Retry, err = boolean(f[5]); err != nil {
		return nil, fmt.Errorf("retry: %w", err)
	}
	if f[6] != "-" {
		if _, err = strconv.ParseUint(f[6], 10, 64); err != nil {
			return nil, fmt.Errorf("key %q", clip(f[6]))
		}
	}
	if q.Expires, err = micros(f[7]); err != nil {
		return nil, fmt.Errorf("expiry: %w", err)
	}
	if q.Hint, err = microsOr0(f[9]); err != nil {
		return nil, fmt.Errorf("hint: %w", err)
	}
	return q, nil
}

func begun(f []string) (logic.Event, error) {
	e := logic.Started{ID: logic.RequestID(f[2]), Server: logic.ServerID(f[4])}
	var err error
	if e.Latency, err = micros(f[3]); err != nil {
		return nil, fmt.Errorf("latency: %w", err)
	}
	e.Attempt, err = attempt(f[5])
	return e, cmp.Or(err, nonEmpty("request", f[2]), nonEmpty("server", f[4]))
}

var results = map[string]logic.Result{
	"Ok": logic.OK, "Failed": logic.Failed, "QueueFull": logic.QueueFull, "TimedOut": logic.TimedOut,
	"ConnectError": logic.ConnectFailed, "ResetByPeer": logic.Reset, "Canceled": logic.Canceled,
	"Ignored": logic.Moot,
}

func ended(f []string) (logic.Event, error) {
	e := logic.Outcome{ID: logic.RequestID(f[2]), Server: logic.ServerID(f[6])}
	var ok bool
	if e.Result, ok = results[f[3]]; !ok {
		return nil, fmt.Errorf("outcome %q", clip(f[3]))
	}
	var err error
	if e.Attempt, err = attempt(f[4]); err != nil {
		return nil, err
	}
	if e.Final, err = boolean(f[5]); err != nil {
		return nil, fmt.Errorf("last: %w", err)
	}
	if e.Latency, err = microsOr0(f[7]); err != nil {
		return nil, fmt.Errorf("latency: %w", err)
	}
	e.Report, err = report(f[8])
	return e, cmp.Or(err, nonEmpty("request", f[2]), nonEmpty("server", f[6]))
}

func pong(f []string) (logic.Event, error) {
	e := logic.Probed{Server: logic.ServerID(f[2])}
	var ok bool
	if e.Result, ok = results[f[3]]; !ok {
		return nil, fmt.Errorf("outcome %q", clip(f[3]))
	}
	var err error
	if e.Latency, err = microsOr0(f[4]); err != nil {
		return nil, fmt.Errorf("latency: %w", err)
	}
	e.Report, err = report(f[5])
	return e, cmp.Or(err, nonEmpty("server", f[2]))
}

func checkDatagram(f []string) error {
	if _, err := strconv.Atoi(f[2]); err != nil {
		return fmt.Errorf("peer %q", clip(f[2]))
	}
	if f[3] != "-" && (len(f[3])%2 != 0 || strings.Trim(f[3], "0123456789abcdefABCDEF") != "") {
		return errors.New("bytes are not hex digits")
	}
	return nil
}

func report(s string) ([]float64, error) {
	if s == "-" || s == "" {
		return nil, nil
	}
	var out []float64
	for part := range strings.SplitSeq(s, ",") {
		v := 0.0
		if part != "-" {
			var err error
			if v, err = strconv.ParseFloat(part, 64); err != nil {
				return nil, fmt.Errorf("load report %q", clip(s))
			}
		}
		out = append(out, v)
	}
	return out, nil
}

func attempt(s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("attempt %q", clip(s))
	}
	return n, nil
}

func boolean(s string) (bool, error) {
	switch s {
	case "1":
		return true, nil
	case "0", "-":
		return false, nil
	}
	return false, fmt.Errorf("%q is neither 1 nor 0", clip(s))
}

// maxMicros keeps times within what time.Duration holds.
const maxMicros = int64(1) << 52

func micros(s string) (time.Duration, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n > maxMicros || n < -maxMicros {
		return 0, fmt.Errorf("time %q", clip(s))
	}
	return time.Duration(n) * time.Microsecond, nil
}

func microsOr0(s string) (time.Duration, error) {
	if s == "-" {
		return 0, nil
	}
	return micros(s)
}

func orEmpty(s string) string {
	if s == "-" {
		return ""
	}
	return s
}

func nonEmpty(what, s string) error {
	if s == "" || s == "-" {
		return fmt.Errorf("%s is missing", what)
	}
	return nil
}

// clip shortens what an error quotes.
func clip(s string) string {
	if len(s) > 40 {
		return s[:40] + "…"
	}
	return s
}
