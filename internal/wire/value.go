package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

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
