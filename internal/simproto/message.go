package simproto

import (
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"oakseam/logic"
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
	fields := r.split(text, limit)
	if len(fields) != want && !(name == "INIT" && len(fields) == 3) {
		return nil, fmt.Errorf("%s: expected %d values", name, want-1)
	}
	if name == "REGISTER" {
		return nil, r.readServerList(fields)
	}
	node, err := strconv.Atoi(fields[1])
	if err != nil || node < 0 {
		return nil, fmt.Errorf("%s: invalid instance %q", name, clip(fields[1]))
	}
	item := &Item{Node: node, Line: r.line}
	if err := r.parseFields(item, name, fields); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return item, nil
}

// parseFields parses the fields of the message with the given name into item.
func (r *Reader) parseFields(item *Item, name string, fields []string) (err error) {
	switch name {
	case "INIT":
		item.Op = OpStart
		if item.Seed, err = strconv.ParseUint(fields[2], 10, 64); err != nil {
			return fmt.Errorf("invalid seed %q", clip(fields[2]))
		}
		if len(fields) == 4 {
			item.Settings = fields[3]
		}
	case "DETACH":
		item.Op = OpStop
	case "SYNC":
		item.Event, err = r.parseSync(fields)
	case "KNOCK":
		item.Event, err = parseKnock(fields)
	case "BEGUN":
		item.Event, err = parseBegun(fields)
	case "ENDED":
		item.Event, err = parseEnded(fields)
	case "TIMED_OUT_CLIENT":
		item.Event, err = logic.ClientGone{ID: logic.RequestID(fields[2])}, nonEmpty("request", fields[2])
	case "WAKE":
		token, parseErr := strconv.ParseUint(fields[2], 10, 64)
		if parseErr != nil {
			return fmt.Errorf("token %q was never set", clip(fields[2]))
		}
		item.Event = logic.Wake{Token: token}
	case "PONG":
		item.Event, err = parsePong(fields)
	case "DATAGRAM":
		item.Op = OpIgnored // the module neither sends nor uses peer messages
		return checkDatagram(fields)
	}
	return err
}

// listKinds maps the list kinds of SYNC messages to their values.
var listKinds = map[string]logic.ListKind{
	"D": logic.ListChanges, "F": logic.ListFull, "C": logic.ListCached, "X": logic.ListFailed,
}

// parseSync parses a SYNC message: a server list, or the failure to fetch one.
func (r *Reader) parseSync(fields []string) (logic.Event, error) {
	kind, ok := listKinds[fields[2]]
	if !ok {
		return nil, fmt.Errorf("invalid list kind %q", clip(fields[2]))
	}
	if kind == logic.ListFailed {
		return logic.ServerList{Kind: kind}, nil
	}
	number, err := parseListNumber(fields[4])
	if err != nil {
		return nil, err
	}
	if !r.defined[number] {
		return nil, fmt.Errorf("list %d was never defined", number)
	}
	return logic.ServerList{Kind: kind, Servers: r.lists[number]}, nil
}

// parseKnock parses a KNOCK message: a client request.
func parseKnock(fields []string) (logic.Event, error) {
	q := logic.Request{ID: logic.RequestID(fields[2]), Class: orEmpty(fields[4]), Tenant: orEmpty(fields[8])}
	if q.Tenant == "0" {
		q.Tenant = ""
	}
	if err := nonEmpty("request", fields[2]); err != nil {
		return nil, err
	}
	var err error
	if _, err = parseBool(fields[3]); err != nil {
		return nil, fmt.Errorf("write: %w", err)
	}
	if q.Retry, err = parseBool(fields[5]); err != nil {
		return nil, fmt.Errorf("retry: %w", err)
	}
	if fields[6] != "-" {
		if _, err = strconv.ParseUint(fields[6], 10, 64); err != nil {
			return nil, fmt.Errorf("invalid key %q", clip(fields[6]))
		}
	}
	if q.ClientTimeout, err = micros(fields[7]); err != nil {
		return nil, fmt.Errorf("expiry: %w", err)
	}
	if q.WorkHint, err = microsOr0(fields[9]); err != nil {
		return nil, fmt.Errorf("hint: %w", err)
	}
	return q, nil
}

// parseBegun parses a BEGUN message: a streamed response has started.
func parseBegun(fields []string) (logic.Event, error) {
	e := logic.Started{ID: logic.RequestID(fields[2]), Server: logic.ServerID(fields[4])}
	var err error
	if e.Latency, err = micros(fields[3]); err != nil {
		return nil, fmt.Errorf("latency: %w", err)
	}
	e.Attempt, err = parseAttempt(fields[5])
	return e, cmp.Or(err, nonEmpty("request", fields[2]), nonEmpty("server", fields[4]))
}

// results maps the outcomes of ENDED and PONG messages to their values.
var results = map[string]logic.Result{
	"Ok": logic.OK, "Failed": logic.Failed, "QueueFull": logic.QueueFull, "TimedOut": logic.TimedOut,
	"ConnectError": logic.ConnectFailed, "ResetByPeer": logic.Reset, "Canceled": logic.Canceled,
	"Ignored": logic.NotSent,
}

// parseEnded parses an ENDED message: the outcome of an attempt.
func parseEnded(fields []string) (logic.Event, error) {
	e := logic.Outcome{ID: logic.RequestID(fields[2]), Server: logic.ServerID(fields[6])}
	var ok bool
	if e.Result, ok = results[fields[3]]; !ok {
		return nil, fmt.Errorf("invalid outcome %q", clip(fields[3]))
	}
	var err error
	if e.Attempt, err = parseAttempt(fields[4]); err != nil {
		return nil, err
	}
	if e.Final, err = parseBool(fields[5]); err != nil {
		return nil, fmt.Errorf("last: %w", err)
	}
	if e.Latency, err = microsOr0(fields[7]); err != nil {
		return nil, fmt.Errorf("latency: %w", err)
	}
	e.Report, err = parseReport(fields[8])
	return e, cmp.Or(err, nonEmpty("request", fields[2]), nonEmpty("server", fields[6]))
}

// parsePong parses a PONG message: the outcome of a probe.
func parsePong(fields []string) (logic.Event, error) {
	e := logic.Probed{Server: logic.ServerID(fields[2])}
	var ok bool
	if e.Result, ok = results[fields[3]]; !ok {
		return nil, fmt.Errorf("invalid outcome %q", clip(fields[3]))
	}
	var err error
	if e.Latency, err = microsOr0(fields[4]); err != nil {
		return nil, fmt.Errorf("latency: %w", err)
	}
	e.Report, err = parseReport(fields[5])
	return e, cmp.Or(err, nonEmpty("server", fields[2]))
}

// checkDatagram validates a DATAGRAM message: a peer number and a payload in hex.
func checkDatagram(fields []string) error {
	if _, err := strconv.Atoi(fields[2]); err != nil {
		return fmt.Errorf("invalid peer %q", clip(fields[2]))
	}
	if fields[3] != "-" && (len(fields[3])%2 != 0 || strings.Trim(fields[3], "0123456789abcdefABCDEF") != "") {
		return errors.New("payload is not in hex digits")
	}
	return nil
}
