package simproto

import (
	"errors"
	"fmt"
	"io"
	"strconv"

	"oakseam/logic"
)

// readServerList reads the server lines that follow a REGISTER line and stores the list.
func (r *Reader) readServerList(fields []string) error {
	number, err := parseListNumber(fields[1])
	if err != nil {
		return fmt.Errorf("REGISTER: %w", err)
	}
	count, err := strconv.Atoi(fields[2])
	if err != nil || count < 0 || count > maxListedServers {
		return fmt.Errorf("REGISTER: invalid count %q", clip(fields[2]))
	}
	list := make([]logic.Server, 0, min(count, 4096))
	for i := 0; i < count; i++ {
		text, err := r.readLine()
		if err == io.EOF {
			r.line++
			return errors.New("input ends inside a server list")
		}
		if err != nil {
			return err
		}
		s, err := parseServer(r.split(text, 9))
		if err != nil {
			return fmt.Errorf("entry %d of %d: %w", i+1, count, err)
		}
		list = append(list, s)
	}
	r.lists[number], r.defined[number] = list, true
	return nil
}

// parseListNumber parses the number of a server list.
func parseListNumber(s string) (int, error) {
	number, err := strconv.Atoi(s)
	if err != nil || number < 0 || number >= maxLists {
		return 0, fmt.Errorf("invalid list number %q", clip(s))
	}
	return number, nil
}

// states maps the states of M lines to their values.
var states = map[string]logic.ServerState{
	"SERVING": logic.Serving, "DRAINING": logic.Draining, "DELETED": logic.Gone,
}

// parseServer parses the fields of an M line: capacity, state, start time, kind, zone, server
// id and cell.
func parseServer(fields []string) (s logic.Server, err error) {
	if fields[0] != "M" || len(fields) != 8 {
		return s, errors.New("expected an M line with 7 values")
	}
	s.Capacity = 1
	if fields[1] != "-" {
		if s.Capacity, err = strconv.ParseFloat(fields[1], 64); err != nil || !(s.Capacity >= 0) || s.Capacity > 1e12 {
			return s, fmt.Errorf("invalid capacity %q", clip(fields[1]))
		}
	}
	state, ok := states[fields[2]]
	if !ok {
		return s, fmt.Errorf("invalid state %q", clip(fields[2]))
	}
	if s.StartedAt, err = microsOr0(fields[3]); err != nil {
		return s, fmt.Errorf("start time: %w", err)
	}
	if fields[7] != "-" {
		if s.Cell, err = strconv.Atoi(fields[7]); err != nil {
			return s, fmt.Errorf("invalid cell %q", clip(fields[7]))
		}
	}
	s.State, s.Kind, s.Zone, s.ID = state, orEmpty(fields[4]), orEmpty(fields[5]), logic.ServerID(fields[6])
	return s, nonEmpty("server", fields[6])
}
