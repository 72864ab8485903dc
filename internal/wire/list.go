package wire

import (
	"errors"
	"fmt"
	"io"
	"strconv"

	"pipitmux/logic"
)

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
