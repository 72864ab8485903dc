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

// reader walks over one JSON text whose syntax was checked before. It reads into no
// types by reflection, since a configuration of some MiB has to be read while requests
// wait, and it knows the path to each value that it refuses.
type reader struct {
	text []byte
	at   int
}

// mistyped is an InvalidError whose key is still to be put before it.
func mistyped(wanted string) error { return &InvalidError{Reason: "must be " + wanted} }

// under puts a key before the one that an error names.
func under(key string, err error) error {
	invalid, ok := errors.Into[*InvalidError](err)
	if !ok {
		return &InvalidError{Key: key, Reason: err.Error()}
	}
	if invalid.Key != "" && invalid.Key[0] != '[' {
		key += "."
	}
	return &InvalidError{Key: key + invalid.Key, Reason: invalid.Reason}
}

// member gives the key of a list's member.
func member(index int) string { return "[" + strconv.Itoa(index) + "]" }

// next passes over spaces and tells how the next value, or the end of the list or
// object, begins.
func (r *reader) next() byte {
	for r.at < len(r.text) {
		switch char := r.text[r.at]; char {
		case ' ', '\t', '\r', '\n':
			r.at++
		default:
			return char
		}
	}
	return 0
}

// after passes over a punctuation mark if it comes next.
func (r *reader) after(mark byte) bool {
	if r.next() != mark {
		return false
	}
	r.at++
	return true
}

// raw passes over the next value and returns it.
func (r *reader) raw() []byte {
	first := r.next()
	start := r.at
	switch first {
	case '"':
		r.skipString()
	case '{', '[':
		r.skipNested()
	default:
		r.skipWord()
	}
	return r.text[start:r.at]
}

func (r *reader) skipString() {
	r.at++
	for r.at < len(r.text) && r.text[r.at] != '"' {
		if r.text[r.at] == '\\' {
			r.at++
		}
		r.at++
	}
	r.at = min(r.at+1, len(r.text))
}

func (r *reader) skipNested() {
	depth := 0
	for r.at < len(r.text) {
		switch r.text[r.at] {
		case '"':
			r.skipString()
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		r.at++
		if depth == 0 {
			return
		}
	}
}

// skipWord passes over a number, true, false or null.
func (r *reader) skipWord() {
	for r.at < len(r.text) && bytes.IndexByte([]byte(" \t\r\n,]}"), r.text[r.at]) < 0 {
		r.at++
	}
}

// object calls field at the value of each key, which field has to pass over. A value
// of null is as good as none, so that field does not see it.
func (r *reader) object(field func(key string) error) error {
	if r.next() != '{' {
		r.raw()
		return mistyped("an object")
	}
	r.at++
	for !r.after('}') {
		key := unquote(r.raw())
		r.after(':')
		if r.next() == 'n' {
			r.raw()
		} else if err := field(key); err != nil {
			return under(key, err)
		}
		r.after(',')
	}
	return nil
}

// readList reads each member of a list. A member of null is as good as an empty one.
func readList[T any](r *reader, read func(*reader, *T) error) ([]T, error) {
	if r.next() != '[' {
		r.raw()
		return nil, mistyped("a list")
	}
	r.at++
	all := []T{}
	for !r.after(']') {
		var one T
		if r.next() == 'n' {
			r.raw()
		} else if err := read(r, &one); err != nil {
			return nil, under(member(len(all)), err)
		}
		all = append(all, one)
		r.after(',')
	}
	return all, nil
}

func (r *reader) string(into *string) error {
	text := r.raw()
	if text[0] != '"' {
		return mistyped("a string")
	}
	*into = unquote(text)
	return nil
}

// unquote gives the text of a JSON string.
func unquote(text []byte) string {
	inner := text[1 : len(text)-1]
	if bytes.IndexByte(inner, '\\') < 0 && utf8.Valid(inner) {
		return string(inner)
	}
	var read string
	if err := json.Unmarshal(text, &read); err != nil {
		return string(inner) // does not happen: the syntax was checked
	}
	return read
}

func (r *reader) flag(into *bool) error {
	switch string(r.raw()) {
	case "true":
		*into = true
	case "false":
		*into = false
	default:
		return mistyped("true or false")
	}
	return nil
}

func (r *reader) number(into *float64) error {
	text := r.raw()
	if text[0] != '-' && (text[0] < '0' || text[0] > '9') {
		return mistyped("a number")
	}
	number, err := strconv.ParseFloat(string(text), 64)
	if err != nil {
		return mistyped("a number in the range of floating point")
	}
	*into = number
	return nil
}

// maxWhole bounds whole numbers: floating point holds all up to there.
const maxWhole = 1 << 53

// whole reads a number that may come as 2 or 2.0, and cuts off a fraction.
func (r *reader) whole(into *int) error {
	var number float64
	if err := r.number(&number); err != nil {
		return err
	}
	*into = int(min(max(number, -maxWhole), maxWhole))
	return nil
}

// count reads a whole number, and takes one below 0 for 0.
func (r *reader) count(into *int) error {
	if err := r.whole(into); err != nil {
		return err
	}
	*into = max(*into, 0)
	return nil
}

// duration reads a number of units. It is never below 0, and above 0 for each number
// above 0.
func (r *reader) duration(into *time.Duration, unit time.Duration) error {
	var number float64
	if err := r.number(&number); err != nil {
		return err
	}
	nanoseconds := number * float64(unit)
	switch {
	case number <= 0:
		*into = 0
	case nanoseconds >= math.MaxInt64:
		*into = math.MaxInt64
	default:
		*into = max(time.Duration(nanoseconds), 1)
	}
	return nil
}

// revision reads a whole number, exactly up to the largest uint64; also one such as 7.0.
func (r *reader) revision(into *uint64) error {
	text := string(r.raw())
	if exact, err := strconv.ParseUint(text, 10, 64); err == nil {
		*into = exact
		return nil
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || number != math.Trunc(number) || number < 0 || number >= math.MaxUint64 {
		return &InvalidError{Reason: reasonRevision}
	}
	*into = uint64(number)
	return nil
}
