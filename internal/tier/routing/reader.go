package routing

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// reader scans a JSON text whose syntax was checked before. It avoids reflection, because
// requests wait while a configuration of several MiB is read, and it reports the path to
// each invalid value.
type reader struct {
	text   []byte
	offset int
}

// wrongType returns an InvalidError without a key; the callers add the key.
func wrongType(wanted string) error { return &InvalidError{Reason: "must be " + wanted} }

// withKeyPrefix prepends a key to the key of an error.
func withKeyPrefix(key string, err error) error {
	invalid, ok := errors.Into[*InvalidError](err)
	if !ok {
		return &InvalidError{Key: key, Reason: err.Error()}
	}
	if invalid.Key != "" && invalid.Key[0] != '[' {
		key += "."
	}
	return &InvalidError{Key: key + invalid.Key, Reason: invalid.Reason}
}

// indexKey returns the key of a list element.
func indexKey(index int) string { return "[" + strconv.Itoa(index) + "]" }

// peek skips white space and returns the first character of the next value or
// punctuation mark, or 0 at the end.
func (r *reader) peek() byte {
	for r.offset < len(r.text) {
		switch char := r.text[r.offset]; char {
		case ' ', '\t', '\r', '\n':
			r.offset++
		default:
			return char
		}
	}
	return 0
}

// accept skips a punctuation mark if it comes next, and reports whether it did.
func (r *reader) accept(mark byte) bool {
	if r.peek() != mark {
		return false
	}
	r.offset++
	return true
}

// rawValue skips the next value and returns its text.
func (r *reader) rawValue() []byte {
	first := r.peek()
	start := r.offset
	switch first {
	case '"':
		r.skipString()
	case '{', '[':
		r.skipNested()
	default:
		r.skipLiteral()
	}
	return r.text[start:r.offset]
}

func (r *reader) skipString() {
	r.offset++
	for r.offset < len(r.text) && r.text[r.offset] != '"' {
		if r.text[r.offset] == '\\' {
			r.offset++
		}
		r.offset++
	}
	r.offset = min(r.offset+1, len(r.text))
}

func (r *reader) skipNested() {
	depth := 0
	for r.offset < len(r.text) {
		switch r.text[r.offset] {
		case '"':
			r.skipString()
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		r.offset++
		if depth == 0 {
			return
		}
	}
}

// skipLiteral skips a number, true, false or null.
func (r *reader) skipLiteral() {
	for r.offset < len(r.text) && bytes.IndexByte([]byte(" \t\r\n,]}"), r.text[r.offset]) < 0 {
		r.offset++
	}
}

// object calls field for each key. field must read or skip the value. A null value is
// treated as missing, so field is not called for it.
func (r *reader) object(field func(key string) error) error {
	if r.peek() != '{' {
		r.rawValue()
		return wrongType("an object")
	}
	r.offset++
	for !r.accept('}') {
		key := unquote(r.rawValue())
		r.accept(':')
		if r.peek() == 'n' {
			r.rawValue()
		} else if err := field(key); err != nil {
			return withKeyPrefix(key, err)
		}
		r.accept(',')
	}
	return nil
}

// readList reads each element of a list. A null element is treated as an empty one.
func readList[T any](r *reader, read func(*reader, *T) error) ([]T, error) {
	if r.peek() != '[' {
		r.rawValue()
		return nil, wrongType("a list")
	}
	r.offset++
	elements := []T{}
	for !r.accept(']') {
		var element T
		if r.peek() == 'n' {
			r.rawValue()
		} else if err := read(r, &element); err != nil {
			return nil, withKeyPrefix(indexKey(len(elements)), err)
		}
		elements = append(elements, element)
		r.accept(',')
	}
	return elements, nil
}

func (r *reader) string(target *string) error {
	text := r.rawValue()
	if text[0] != '"' {
		return wrongType("a string")
	}
	*target = unquote(text)
	return nil
}

// unquote returns the value of a JSON string.
func unquote(text []byte) string {
	inner := text[1 : len(text)-1]
	if bytes.IndexByte(inner, '\\') < 0 && utf8.Valid(inner) {
		return string(inner)
	}
	var value string
	if err := json.Unmarshal(text, &value); err != nil {
		return string(inner) // cannot happen: the syntax was checked
	}
	return value
}

func (r *reader) flag(target *bool) error {
	switch string(r.rawValue()) {
	case "true":
		*target = true
	case "false":
		*target = false
	default:
		return wrongType("true or false")
	}
	return nil
}

func (r *reader) number(target *float64) error {
	text := r.rawValue()
	if text[0] != '-' && (text[0] < '0' || text[0] > '9') {
		return wrongType("a number")
	}
	number, err := strconv.ParseFloat(string(text), 64)
	if err != nil {
		return wrongType("a number in the range of floating point")
	}
	*target = number
	return nil
}

// maxInteger limits integers to those that float64 represents exactly.
const maxInteger = 1 << 53

// integer reads a number such as 2 or 2.0 and truncates a fraction.
func (r *reader) integer(target *int) error {
	var number float64
	if err := r.number(&number); err != nil {
		return err
	}
	*target = int(min(max(number, -maxInteger), maxInteger))
	return nil
}

// count reads an integer; a negative one becomes 0.
func (r *reader) count(target *int) error {
	if err := r.integer(target); err != nil {
		return err
	}
	*target = max(*target, 0)
	return nil
}

// duration reads a number of units. Negative numbers become 0, and every positive number
// becomes a positive duration.
func (r *reader) duration(target *time.Duration, unit time.Duration) error {
	var number float64
	if err := r.number(&number); err != nil {
		return err
	}
	nanoseconds := number * float64(unit)
	switch {
	case number <= 0:
		*target = 0
	case nanoseconds >= math.MaxInt64:
		*target = math.MaxInt64
	default:
		*target = max(time.Duration(nanoseconds), 1)
	}
	return nil
}

// revision reads an integer up to the largest uint64, exactly. It also accepts 7.0.
func (r *reader) revision(target *uint64) error {
	text := string(r.rawValue())
	if exact, err := strconv.ParseUint(text, 10, 64); err == nil {
		*target = exact
		return nil
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || number != math.Trunc(number) || number < 0 || number >= math.MaxUint64 {
		return &InvalidError{Reason: reasonRevision}
	}
	*target = uint64(number)
	return nil
}
