package settings

import (
	"fmt"
	"math"
	"time"

	"github.com/go-faster/errors"
)

// document is one file being read: it gathers what is wrong with it.
type document struct {
	file     string
	failures []error
}

// fail notes what is wrong with a key.
func (d *document) fail(key, reason string) {
	d.failures = append(d.failures, &FieldError{File: d.file, Key: key, Reason: reason})
}

// err joins what is wrong, or is nil.
func (d *document) err() error {
	return errors.Join(d.failures...)
}

// table is a TOML table being read. A key that isn't there reads as the zero
// value; one of another type is noted as a failure and also reads as zero.
type table struct {
	document *document
	prefix   string // of the table's keys, with the dot
	values   map[string]any
}

// sub returns a table within the table, which is empty if it isn't there.
func (t table) sub(key string) table {
	values, _ := read[map[string]any](t, key, "a table")
	return table{document: t.document, prefix: t.prefix + key + ".", values: values}
}

// text reads a string.
func (t table) text(key string) string {
	value, _ := read[string](t, key, "a string")
	return value
}

// flag reads true or false.
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
			t.mistyped(fmt.Sprintf("%s[%d]", key, i), "a string", element)
			continue
		}
		texts = append(texts, text)
	}
	return texts
}

// wholes reads a list of whole numbers.
func (t table) wholes(key string) []int {
	list, _ := read[[]any](t, key, "a list of whole numbers")
	var wholes []int
	for i, element := range list {
		if whole, ok := t.asWhole(fmt.Sprintf("%s[%d]", key, i), element); ok {
			wholes = append(wholes, whole)
		}
	}
	return wholes
}

// whole reads a whole number, which may be written with a fraction of zero.
func (t table) whole(key string) int {
	value, ok := t.values[key]
	if !ok {
		return 0
	}
	whole, _ := t.asWhole(key, value)
	return whole
}

// number reads a finite number.
func (t table) number(key string) (float64, bool) {
	value, ok := t.values[key]
	if !ok {
		return 0, false
	}
	return t.asNumber(key, value)
}

// duration reads a number of units, or returns a fallback.
func (t table) duration(key string, unit, fallback time.Duration) time.Duration {
	number, ok := t.number(key)
	if !ok {
		return fallback
	}
	length := number * float64(unit)
	if length < 0 || length > float64(MaxBound) {
		t.fail(key, fmt.Sprintf("must be at least 0 and at most %v, not %v of %v", MaxBound, number, unit))
		return fallback
	}
	return time.Duration(math.Round(length))
}

// asNumber turns a value into a finite number.
func (t table) asNumber(key string, value any) (float64, bool) {
	var number float64
	switch typed := value.(type) {
	case int64:
		number = float64(typed)
	case float64:
		number = typed
	default:
		t.mistyped(key, "a number", value)
		return 0, false
	}
	if math.IsNaN(number) || math.IsInf(number, 0) {
		t.fail(key, "must be a finite number")
		return 0, false
	}
	return number, true
}

// asWhole turns a value into a whole number that an int32 holds.
func (t table) asWhole(key string, value any) (int, bool) {
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

// read reads a value of one of the types that the TOML package makes.
func read[T any](t table, key, wanted string) (value T, ok bool) {
	found, ok := t.values[key]
	if !ok {
		return value, false
	}
	value, ok = found.(T)
	if !ok {
		t.mistyped(key, wanted, found)
	}
	return value, ok
}

func (t table) mistyped(key, wanted string, found any) {
	t.fail(key, fmt.Sprintf("must be %s, not %s", wanted, kindOf(found)))
}

func (t table) fail(key, reason string) { t.document.fail(t.prefix+key, reason) }

// kindOf names the type of a TOML value.
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
