package settings

import (
	"fmt"
	"math"
	"time"

	"github.com/go-faster/errors"
)

// document collects the errors of a file while it is read.
type document struct {
	file     string
	failures []error
}

// fail adds an error of a key.
func (d *document) fail(key, reason string) {
	d.failures = append(d.failures, &FieldError{File: d.file, Key: key, Reason: reason})
}

// err returns the joined errors, or nil.
func (d *document) err() error {
	return errors.Join(d.failures...)
}

// table is a TOML table being read. A missing key reads as the zero value. A key
// of another type adds an error and also reads as the zero value.
type table struct {
	document *document
	prefix   string // prefix of the table's keys, with the final dot
	values   map[string]any
}

// sub returns a nested table, which is empty if it is missing.
func (t table) sub(key string) table {
	values, _ := read[map[string]any](t, key, "a table")
	return table{document: t.document, prefix: t.prefix + key + ".", values: values}
}

// text reads a string.
func (t table) text(key string) string {
	value, _ := read[string](t, key, "a string")
	return value
}

// flag reads a boolean.
func (t table) flag(key string) bool {
	value, _ := read[bool](t, key, "true or false")
	return value
}

// texts reads a list of strings.
func (t table) texts(key string) []string {
	list, _ := read[[]any](t, key, "a list of strings")
	var texts []string
	for i, element := range list {
		text, ok := element.(string)
		if !ok {
			t.wrongType(fmt.Sprintf("%s[%d]", key, i), "a string", element)
			continue
		}
		texts = append(texts, text)
	}
	return texts
}

// integers reads a list of integers.
func (t table) integers(key string) []int {
	list, _ := read[[]any](t, key, "a list of whole numbers")
	var integers []int
	for i, element := range list {
		if integer, ok := t.asInteger(fmt.Sprintf("%s[%d]", key, i), element); ok {
			integers = append(integers, integer)
		}
	}
	return integers
}

// integer reads an integer, which may be written as 2.0.
func (t table) integer(key string) int {
	value, ok := t.values[key]
	if !ok {
		return 0
	}
	integer, _ := t.asInteger(key, value)
	return integer
}

// number reads a finite number.
func (t table) number(key string) (float64, bool) {
	value, ok := t.values[key]
	if !ok {
		return 0, false
	}
	return t.asNumber(key, value)
}

// duration reads a number of units, or returns the fallback if the key is
// missing.
func (t table) duration(key string, unit, fallback time.Duration) time.Duration {
	number, ok := t.number(key)
	if !ok {
		return fallback
	}
	nanoseconds := number * float64(unit)
	if nanoseconds < 0 || nanoseconds > float64(MaxBound) {
		t.fail(key, fmt.Sprintf("must be at least 0 and at most %v, not %v of %v", MaxBound, number, unit))
		return fallback
	}
	return time.Duration(math.Round(nanoseconds))
}

// asNumber converts a value to a finite number.
func (t table) asNumber(key string, value any) (float64, bool) {
	var number float64
	switch typed := value.(type) {
	case int64:
		number = float64(typed)
	case float64:
		number = typed
	default:
		t.wrongType(key, "a number", value)
		return 0, false
	}
	if math.IsNaN(number) || math.IsInf(number, 0) {
		t.fail(key, "must be a finite number")
		return 0, false
	}
	return number, true
}

// asInteger converts a value to an integer in the range of int32.
func (t table) asInteger(key string, value any) (int, bool) {
	number, ok := t.asNumber(key, value)
	if !ok {
		return 0, false
	}
	if number != math.Trunc(number) || math.Abs(number) > math.MaxInt32 {
		t.fail(key, fmt.Sprintf("must be a whole number of at most %d, not %v", math.MaxInt32, number))
		return 0, false
	}
	return int(number), true
}

// read reads a value of one of the types that the TOML package returns.
func read[T any](t table, key, wanted string) (value T, ok bool) {
	found, ok := t.values[key]
	if !ok {
		return value, false
	}
	value, ok = found.(T)
	if !ok {
		t.wrongType(key, wanted, found)
	}
	return value, ok
}

func (t table) wrongType(key, wanted string, found any) {
	t.fail(key, fmt.Sprintf("must be %s, not %s", wanted, kindOf(found)))
}

func (t table) fail(key, reason string) { t.document.fail(t.prefix+key, reason) }

// kindOf returns the name of the type of a TOML value.
func kindOf(value any) string {
	switch value.(type) {
	case string:
		return "a string"
	case bool:
		return "true or false"
	case int64, float64:
		return "a number"
	case time.Time:
		return "a time"
	case map[string]any:
		return "a table"
	default:
		return "a list"
	}
}
