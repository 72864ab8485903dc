package simproto

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// parseReport parses a load report: comma-separated numbers in the order of the report's
// fields, where "-" stands for 0. It returns nil if there is none.
func parseReport(s string) ([]float64, error) {
	if s == "-" || s == "" {
		return nil, nil
	}
	var out []float64
	for part := range strings.SplitSeq(s, ",") {
		v := 0.0
		if part != "-" {
			var err error
			if v, err = strconv.ParseFloat(part, 64); err != nil {
				return nil, fmt.Errorf("invalid load report %q", clip(s))
			}
		}
		out = append(out, v)
	}
	return out, nil
}

// parseAttempt parses the number of an attempt.
func parseAttempt(s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("invalid attempt %q", clip(s))
	}
	return n, nil
}

// parseBool parses 1 and 0, and "-" as false.
func parseBool(s string) (bool, error) {
	switch s {
	case "1":
		return true, nil
	case "0", "-":
		return false, nil
	}
	return false, fmt.Errorf("%q is neither 1 nor 0", clip(s))
}

// maxMicros keeps times within the range of time.Duration.
const maxMicros = int64(1) << 52

// micros parses a time in microseconds.
func micros(s string) (time.Duration, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n > maxMicros || n < -maxMicros {
		return 0, fmt.Errorf("invalid time %q", clip(s))
	}
	return time.Duration(n) * time.Microsecond, nil
}

// microsOr0 parses a time in microseconds, and "-" as 0.
func microsOr0(s string) (time.Duration, error) {
	if s == "-" {
		return 0, nil
	}
	return micros(s)
}

// orEmpty returns s, and "" for "-".
func orEmpty(s string) string {
	if s == "-" {
		return ""
	}
	return s
}

// nonEmpty returns an error that names the value if it is empty or "-".
func nonEmpty(what, s string) error {
	if s == "" || s == "-" {
		return fmt.Errorf("%s is missing", what)
	}
	return nil
}

// clip shortens a value to 40 bytes for an error message.
func clip(s string) string {
	if len(s) > 40 {
		return s[:40] + "…"
	}
	return s
}
