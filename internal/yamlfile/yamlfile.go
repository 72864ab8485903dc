// Package yamlfile reads YAML files strictly: each key must exist in the target and occur once,
// and each error names file, line, key and what is allowed there. It uses YAML and reflection,
// and must not know what a file means.
package yamlfile

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxSize is the maximum size of a file in bytes. Aliases are not allowed, so the parsed tree is
// no larger than the text.
const maxSize = 4 << 20

// Error is an error in a file.
type Error struct {
	File string
	Line int    // from 1; 0 for an error without a position
	Key  string // path such as backends.2.cores; empty for the whole file
	Text string
}

// Error returns file, line, key and reason in one line.
func (e *Error) Error() string {
	s := e.File
	if e.Line > 0 {
		s += fmt.Sprintf(":%d", e.Line)
	}
	if e.Key != "" {
		s += ": " + e.Key
	}
	return s + ": " + strings.Join(strings.Fields(e.Text), " ")
}

// File is a decoded file with the lines of its keys.
type File struct {
	Name  string
	lines map[string]int
}

// Line returns the line of a key, or 0 if the file does not contain it.
func (f *File) Line(key string) int { return f.lines[key] }

// Errorf returns an error at a key, with the line of the key or of its nearest parent in the file.
func (f *File) Errorf(key, format string, args ...any) *Error {
	line := 0
	for at := key; line == 0 && at != ""; {
		line = f.lines[at]
		cut := strings.LastIndexByte(at, '.')
		at = at[:max(cut, 0)]
	}
	return &Error{File: f.Name, Line: line, Key: key, Text: fmt.Sprintf(format, args...)}
}

// Read decodes a file into the struct that into points to. Keys that the file does not contain
// keep their values.
func Read(name string, into any) (*File, error) {
	info, err := os.Stat(name)
	if err == nil && info.Size() > maxSize {
		return nil, &Error{File: name, Text: fmt.Sprintf("larger than %d MiB", maxSize>>20)}
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Decode(name, text, into)
}

// Decode decodes text like Read; the name is only for errors.
func Decode(name string, text []byte, into any) (f *File, err error) {
	// The library's parser has panicked on invalid YAML.
	defer func() {
		if p := recover(); p != nil {
			f, err = nil, &Error{File: name, Text: fmt.Sprint("cannot be parsed: ", p)}
		}
	}()
	if len(text) > maxSize {
		return nil, &Error{File: name, Text: fmt.Sprintf("larger than %d MiB", maxSize>>20)}
	}
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, fromLibraryError(name, err)
	}
	f = &File{Name: name, lines: map[string]int{}}
	if len(tree.Docs) > 1 {
		return nil, &Error{File: name, Text: "more than one document"}
	}
	if len(tree.Docs) == 0 || tree.Docs[0].Body == nil {
		return f, nil
	}
	if err := f.checkNode(tree.Docs[0].Body, reflect.TypeOf(into).Elem(), "", 0); err != nil {
		return nil, err
	}
	if err := yaml.NodeToValue(tree.Docs[0].Body, into, yaml.Strict()); err != nil {
		return nil, f.addKey(name, err)
	}
	return f, nil
}

// addKey adds the key to an error that the library reported with a line.
func (f *File) addKey(name string, err error) error {
	e := fromLibraryError(name, err)
	for key, line := range f.lines {
		if line == e.Line && (len(key) > len(e.Key) || len(key) == len(e.Key) && key < e.Key) {
			e.Key = key
		}
	}
	return e
}

// fromLibraryError converts an error of the YAML library, with its line if it has one.
func fromLibraryError(name string, err error) *Error {
	e := &Error{File: name, Text: err.Error()}
	var placed yaml.Error
	if errors.As(err, &placed) {
		e.Text = placed.GetMessage()
		if t := placed.GetToken(); t != nil && t.Position != nil {
			e.Line = t.Position.Line
		}
	}
	return e
}

// maxDepth is the maximum nesting depth of a file.
const maxDepth = 32

// checkNode checks that the keys below n exist in t, and records their lines.
func (f *File) checkNode(n ast.Node, t reflect.Type, path string, depth int) error {
	line := n.GetToken().Position.Line
	if depth > maxDepth {
		return &Error{f.Name, line, path, "nested too deep"}
	}
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	// The library reports no position for types that decode themselves, so they are checked here.
	if u, ok := reflect.New(t).Interface().(yaml.BytesUnmarshaler); ok {
		if err := u.UnmarshalYAML([]byte(n.String())); err != nil {
			return &Error{f.Name, line, path, err.Error()}
		}
		return nil
	}
	switch n := n.(type) {
	case *ast.AliasNode, *ast.AnchorNode, *ast.MergeKeyNode, *ast.TagNode:
		return &Error{f.Name, line, path, "anchors, aliases, merges and tags are not read"}
	case *ast.MappingNode:
		return f.checkMapping(n.Values, t, path, depth, line)
	case *ast.MappingValueNode:
		return f.checkMapping([]*ast.MappingValueNode{n}, t, path, depth, line)
	case *ast.SequenceNode:
		for i, v := range n.Values {
			key := join(path, fmt.Sprint(i))
			f.lines[key] = v.GetToken().Position.Line
			elem := t
			if k := t.Kind(); k == reflect.Slice || k == reflect.Array {
				elem = t.Elem()
			}
			if err := f.checkNode(v, elem, key, depth+1); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkMapping checks the keys of a mapping and the values below them.
func (f *File) checkMapping(values []*ast.MappingValueNode, t reflect.Type, path string, depth, line int) error {
	if t.Kind() != reflect.Struct {
		if t.Kind() == reflect.Map || t.Kind() == reflect.Interface {
			for _, v := range values {
				key := join(path, v.Key.GetToken().Value)
				if f.lines[key] = v.Key.GetToken().Position.Line; t.Kind() == reflect.Map {
					if err := f.checkNode(v.Value, t.Elem(), key, depth+1); err != nil {
						return err
					}
				} else if err := f.checkNode(v.Value, t, key, depth+1); err != nil {
					return err
				}
			}
			return nil
		}
		return &Error{f.Name, line, path, "a mapping stands where a " + describe(t) + " is wanted"}
	}
	for _, v := range values {
		name := v.Key.GetToken().Value
		at := v.Key.GetToken().Position.Line
		key := join(path, name)
		field, allowed := FindField(t, name)
		if field == nil {
			return &Error{f.Name, at, key, "unknown key; allowed here: " + strings.Join(allowed, ", ")}
		}
		if f.lines[key] != 0 {
			return &Error{f.Name, at, key, fmt.Sprintf("stands in line %d already", f.lines[key])}
		}
		f.lines[key] = at
		if err := f.checkNode(v.Value, field.Type, key, depth+1); err != nil {
			return err
		}
	}
	return nil
}

// FindField returns the field of a struct for a key, and all keys of the struct.
func FindField(t reflect.Type, name string) (found *reflect.StructField, keys []string) {
	for i := range t.NumField() {
		sf := t.Field(i)
		key, options, _ := strings.Cut(sf.Tag.Get("yaml"), ",")
		if options == "inline" {
			in, more := FindField(sf.Type, name)
			if in != nil {
				found = in
			}
			keys = append(keys, more...)
			continue
		}
		if key == "" || key == "-" {
			continue
		}
		keys = append(keys, key)
		if key == name {
			found = &sf
		}
	}
	return found, keys
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// describe returns the word for a type in error messages.
func describe(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Slice, reflect.Array:
		return "list"
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64, reflect.Float32, reflect.Int, reflect.Int64, reflect.Uint64:
		return "number"
	}
	return t.Kind().String()
}

// Set returns text with the value of a key replaced or added. The key is a path such as
// backends.2.cores; the value is YAML.
func Set(name string, text []byte, key, value string) ([]byte, error) {
	var tree, v any
	if err := yaml.UnmarshalWithOptions(text, &tree, yaml.UseOrderedMap()); err != nil {
		return nil, fromLibraryError(name, err)
	}
	if err := yaml.UnmarshalWithOptions([]byte(value), &v, yaml.UseOrderedMap()); err != nil {
		return nil, &Error{File: name, Key: key, Text: fmt.Sprintf("%q is no YAML value", value)}
	}
	tree, err := setValue(tree, strings.Split(key, "."), v)
	if err != nil {
		return nil, &Error{File: name, Key: key, Text: err.Error()}
	}
	return yaml.Marshal(tree)
}

// setValue returns the tree with the value at a path replaced or added.
func setValue(tree any, path []string, v any) (any, error) {
	if len(path) == 0 {
		return v, nil
	}
	switch t := tree.(type) {
	case nil:
		return setValue(yaml.MapSlice{}, path, v)
	case yaml.MapSlice:
		for i := range t {
			if t[i].Key == path[0] {
				in, err := setValue(t[i].Value, path[1:], v)
				t[i].Value = in
				return t, err
			}
		}
		in, err := setValue(nil, path[1:], v)
		return append(t, yaml.MapItem{Key: path[0], Value: in}), err
	case []any:
		i, err := strconv.Atoi(path[0])
		if err != nil || i < 0 || i >= len(t) {
			return nil, fmt.Errorf("%q is no place in a list of %d", path[0], len(t))
		}
		t[i], err = setValue(t[i], path[1:], v)
		return t, err
	}
	return nil, fmt.Errorf("there is no %q below a plain value", path[0])
}
