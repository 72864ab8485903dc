package wire

import (
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"pipitmux/logic"
)

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
			it.Settings = f[3]
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
	if q.ClientTimeout, err = micros(f[7]); err != nil {
		return nil, fmt.Errorf("expiry: %w", err)
	}
	if q.WorkHint, err = microsOr0(f[9]); err != nil {
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
	"Ignored": logic.NotSent,
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
