package wire

import (
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"pipitmux/logic"
)

// fieldCounts maps each message name to its number of space-separated fields, including the
// name.
var fieldCounts = map[string]int{
	"INIT": 4, "DETACH": 2, "REGISTER": 3, "SYNC": 5, "KNOCK": 10, "BEGUN": 6, "ENDED": 9,
	"TIMED_OUT_CLIENT": 3, "WAKE": 3, "PONG": 6, "DATAGRAM": 4,
}

// parseMessage parses one message. It returns a nil Item for a REGISTER, which only defines a
// server list.
func (r *Reader) parseMessage(text string) (*Item, error) {
	name, _, _ := strings.Cut(text, " ")
	want, ok := fieldCounts[name]
	if !ok {
		return nil, fmt.Errorf("unknown message %q", clip(name))
	}
	limit := want + 1
	if name == "INIT" {
		limit = want // the settings are the rest of the line
	}
	f := r.split(text, limit)
	if len(f) != want && !(name == "INIT" && len(f) == 3) {
		return nil, fmt.Errorf("%s: expected %d values", name, want-1)
	}
	if name == "REGISTER" {
		return nil, r.readServerList(f)
	}
	node, err := strconv.Atoi(f[1])
	if err != nil || node < 0 {
		return nil, fmt.Errorf("%s: instance %q", name, clip(f[1]))
	}
	item := &Item{Node: node, Line: r.line}
	if err := r.parseFields(item, name, f); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return item, nil
}

// parseFields parses the fields f of the message with the given name into item.
func (r *Reader) parseFields(item *Item, name string, f []string) (err error) {
	switch name {
	case "INIT":
		item.Op = OpStart
		if item.Seed, err = strconv.ParseUint(f[2], 10, 64); err != nil {
			return fmt.Errorf("seed %q", clip(f[2]))
		}
		if len(f) == 4 {
			item.Settings = f[3]
		}
	case "DETACH":
		item.Op = OpStop
	case "SYNC":
		item.Event, err = r.parseSync(f)
	case "KNOCK":
		item.Event, err = parseKnock(f)
	case "BEGUN":
		item.Event, err = parseBegun(f)
	case "ENDED":
		item.Event, err = parseEnded(f)
	case "TIMED_OUT_CLIENT":
		item.Event, err = logic.ClientGone{ID: logic.RequestID(f[2])}, nonEmpty("request", f[2])
	case "WAKE":
		token, parseErr := strconv.ParseUint(f[2], 10, 64)
		if parseErr != nil {
			return fmt.Errorf("token %q was never set", clip(f[2]))
		}
		item.Event = logic.Wake{Token: token}
	case "PONG":
		item.Event, err = parsePong(f)
	case "DATAGRAM":
		item.Op = OpIgnored // the module neither sends nor uses peer messages
		return checkDatagram(f)
	}
	return err
}

var listKinds = map[string]logic.ListKind{
	"D": logic.ListChanges, "F": logic.ListFull, "C": logic.ListCached, "X": logic.ListFailed,
}

// parseSync parses a SYNC message: a server list, or the failure to fetch one.
func (r *Reader) parseSync(f []string) (logic.Event, error) {
	kind, ok := listKinds[f[2]]
	if !ok {
		return nil, fmt.Errorf("list kind %q", clip(f[2]))
	}
	if kind == logic.ListFailed {
		return logic.ServerList{Kind: kind}, nil
	}
	number, err := parseListNumber(f[4])
	if err != nil {
		return nil, err
	}
	if !r.defined[number] {
		return nil, fmt.Errorf("list %d was never defined", number)
	}
	return logic.ServerList{Kind: kind, Servers: r.lists[number]}, nil
}

// parseKnock parses a KNOCK message: a client request.
func parseKnock(f []string) (logic.Event, error) {
	q := logic.Request{ID: logic.RequestID(f[2]), Class: orEmpty(f[4]), Tenant: orEmpty(f[8])}
	if q.Tenant == "0" {
		q.Tenant = ""
	}
	if err := nonEmpty("request", f[2]); err != nil {
		return nil, err
	}
	var err error
	if _, err = parseBool(f[3]); err != nil {
		return nil, fmt.Errorf("write: %w", err)
	}
	if q.Retry, err = parseBool(f[5]); err != nil {
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

// parseBegun parses a BEGUN message: a streamed response has started.
func parseBegun(f []string) (logic.Event, error) {
	e := logic.Started{ID: logic.RequestID(f[2]), Server: logic.ServerID(f[4])}
	var err error
	if e.Latency, err = micros(f[3]); err != nil {
		return nil, fmt.Errorf("latency: %w", err)
	}
	e.Attempt, err = parseAttempt(f[5])
	return e, cmp.Or(err, nonEmpty("request", f[2]), nonEmpty("server", f[4]))
}

var results = map[string]logic.Result{
	"Ok": logic.OK, "Failed": logic.Failed, "QueueFull": logic.QueueFull, "TimedOut": logic.TimedOut,
	"ConnectError": logic.ConnectFailed, "ResetByPeer": logic.Reset, "Canceled": logic.Canceled,
	"Ignored": logic.NotSent,
}

// parseEnded parses an ENDED message: the outcome of an attempt.
func parseEnded(f []string) (logic.Event, error) {
	e := logic.Outcome{ID: logic.RequestID(f[2]), Server: logic.ServerID(f[6])}
	var ok bool
	if e.Result, ok = results[f[3]]; !ok {
		return nil, fmt.Errorf("outcome %q", clip(f[3]))
	}
	var err error
	if e.Attempt, err = parseAttempt(f[4]); err != nil {
		return nil, err
	}
	if e.Final, err = parseBool(f[5]); err != nil {
		return nil, fmt.Errorf("last: %w", err)
	}
	if e.Latency, err = microsOr0(f[7]); err != nil {
		return nil, fmt.Errorf("latency: %w", err)
	}
	e.Report, err = parseReport(f[8])
	return e, cmp.Or(err, nonEmpty("request", f[2]), nonEmpty("server", f[6]))
}

// parsePong parses a PONG message: the outcome of a probe.
func parsePong(f []string) (logic.Event, error) {
	e := logic.Probed{Server: logic.ServerID(f[2])}
	var ok bool
	if e.Result, ok = results[f[3]]; !ok {
		return nil, fmt.Errorf("outcome %q", clip(f[3]))
	}
	var err error
	if e.Latency, err = microsOr0(f[4]); err != nil {
		return nil, fmt.Errorf("latency: %w", err)
	}
	e.Report, err = parseReport(f[5])
	return e, cmp.Or(err, nonEmpty("server", f[2]))
}

// checkDatagram validates a DATAGRAM message: a peer number and a payload in hex.
func checkDatagram(f []string) error {
	if _, err := strconv.Atoi(f[2]); err != nil {
		return fmt.Errorf("peer %q", clip(f[2]))
	}
	if f[3] != "-" && (len(f[3])%2 != 0 || strings.Trim(f[3], "0123456789abcdefABCDEF") != "") {
		return errors.New("payload is not in hex digits")
	}
	return nil
}
