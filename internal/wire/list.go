package wire

import (
	"errors"
	"fmt"
	"io"
	"strconv"

	"pipitmux/logic"
)

// readServerList reads the server lines that follow a REGISTER line and stores the list.
func (r *Reader) readServerList(f []string) error {
	number, err := parseListNumber(f[1])
	if err != nil {
		return fmt.Errorf("REGISTER: %w", err)
	}
	count, err := strconv.Atoi(f[2])
	if err != nil || count < 0 || count > maxListedServers {
		return fmt.Errorf("REGISTER: count %q", clip(f[2]))
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

func parseListNumber(s string) (int, error) {
	number, err := strconv.Atoi(s)
	if err != nil || number < 0 || number >= maxLists {
		return 0, fmt.Errorf("list number %q", clip(s))
	}
	return number, nil
}

var states = map[string]logic.ServerState{
	"SERVING": logic.Serving, "DRAINING": logic.Draining, "DELETED": logic.Gone,
}

// parseServer parses the fields of an M line: capacity, state, start time, kind, zone, server
// id and cell.
func parseServer(f []string) (s logic.Server, err error) {
	if f[0] != "M" || len(f) != 8 {
		return s, errors.New("expected an M line with 7 values")
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
	if s.StartedAt, err = microsOr0(f[3]); err != nil {
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
