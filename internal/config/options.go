package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"oakseam/internal/yamlfile"
)

// Options are oakseam's own settings, which the platform's PROXY_CONFIG has no keys for. They
// come from a YAML file in which each key is optional.
type Options struct {
	Log     Log     `yaml:"log" help:"the node's log, on standard error"`
	Session Session `yaml:"session" help:"client sessions"`
	Backend Backend `yaml:"backend" help:"connections to backends"`
	State   State   `yaml:"state" help:"state kept on disk"`
	Peers   Peers   `yaml:"peers" help:"messages between the nodes"`
}

// Peers limits what a node sends to the other nodes of its tier.
type Peers struct {
	BytesPerS float64 `yaml:"bytes_per_s" help:"bytes per second that the node may send to the others; 0: it sends nothing" min:"0" max:"100000"`
}

// State says where a node keeps its state across restarts.
type State struct {
	Dir string `yaml:"dir" help:"the directory of the state; empty: no state is kept"`
}

// Log says how the node logs.
type Log struct {
	Level  string `yaml:"level" help:"the lowest level that is logged" enum:"debug,info,warn,error"`
	Format string `yaml:"format" help:"the format of log lines" enum:"text,json"`
}

// Session limits client sessions.
type Session struct {
	HeadWithin   time.Duration `yaml:"head_within" help:"how long a client may take to send a request's head" min:"10ms" max:"1m"`
	BodyWithin   time.Duration `yaml:"body_within" help:"how long a client may then take to send the body" min:"10ms" max:"1m"`
	IdleFor      time.Duration `yaml:"idle_for" help:"how long a client session may stay open between requests" min:"10ms" max:"1h"`
	Share        float64       `yaml:"share" help:"share of the unreserved descriptors that client sessions may use" min:"0.05" max:"0.9"`
	RequestShare float64       `yaml:"req_share" help:"share of all descriptors that open requests may use" min:"0.05" max:"0.9"`
}

// Backend limits connections to backends.
type Backend struct {
	ConnectTimeout time.Duration `yaml:"connect_timeout" help:"how long establishing a connection may take; 0: the value in the settings" min:"0s" max:"1m"`
	IdleShare      float64       `yaml:"idle_share" help:"how long the node keeps an idle connection, as a share of the time after which backends close it" min:"0.05" max:"0.95"`
	Share          float64       `yaml:"share" help:"share of the unreserved descriptors that connections to backends may use" min:"0.05" max:"0.9"`
}

// DefaultOptions returns the values of the keys that a file omits.
func DefaultOptions() Options {
	return Options{
		Log: Log{Level: "info", Format: "text"},
		Session: Session{
			// A client that sends no complete request holds a socket that others need. It must
			// get an error or a close soon.
			HeadWithin: 2500 * time.Millisecond, BodyWithin: 2 * time.Second, IdleFor: 2 * time.Second,
			Share: 0.5, RequestShare: 1.0 / 3,
		},
		// The node must close idle connections well before the backends do.
		Backend: Backend{IdleShare: 0.9, Share: 0.4},
	}
}

// ReadOptions reads an options file. An empty name gives the defaults.
func ReadOptions(name string) (Options, *yamlfile.File, error) {
	o := DefaultOptions()
	if name == "" {
		return o, nil, nil
	}
	f, err := yamlfile.Read(name, &o)
	if err != nil {
		return o, nil, err
	}
	if err := checkBounds(f, reflect.ValueOf(o), ""); err != nil {
		return o, nil, err
	}
	if sum := o.Session.Share + o.Backend.Share; sum > 1 {
		return o, nil, f.Errorf("backend.share", "%g plus session.share %g exceeds 1", o.Backend.Share, o.Session.Share)
	}
	return o, f, nil
}

// checkBounds checks each value against the enum, min and max tags of its field.
func checkBounds(f *yamlfile.File, v reflect.Value, path string) error {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		key := strings.TrimPrefix(path+"."+field.Tag.Get("yaml"), ".")
		value := v.Field(i)
		if value.Kind() == reflect.Struct {
			if err := checkBounds(f, value, key); err != nil {
				return err
			}
			continue
		}
		if enum := field.Tag.Get("enum"); enum != "" && !slices.Contains(strings.Split(enum, ","), value.String()) {
			return f.Errorf(key, "%q is not one of %s", value.String(), strings.ReplaceAll(enum, ",", ", "))
		}
		minTag, maxTag := field.Tag.Get("min"), field.Tag.Get("max")
		if minTag == "" {
			continue
		}
		number, lower, upper := 0.0, 0.0, 0.0
		if d, ok := value.Interface().(time.Duration); ok {
			number, lower, upper = float64(d), mustParseDuration(minTag), mustParseDuration(maxTag)
		} else {
			number = value.Float()
			fmt.Sscan(minTag, &lower)
			fmt.Sscan(maxTag, &upper)
		}
		if !(number >= lower && number <= upper) {
			return f.Errorf(key, "%v is not between %s and %s", value.Interface(), minTag, maxTag)
		}
	}
	return nil
}

// mustParseDuration parses a bound of a field's tag, in nanoseconds. It panics on a malformed
// one, which is a fault of the program.
func mustParseDuration(s string) float64 {
	d, err := time.ParseDuration(s)
	if err != nil {
		panic(err)
	}
	return float64(d)
}

// Value is an effective value and where it came from.
type Value struct {
	Key   string `json:"key"`
	Value any    `json:"value"`
	// Source is a variable, a file with or without a line, or "default".
	Source string `json:"from"`
}

// optionValues lists the values of the options, in the order of their fields.
func optionValues(o Options, f *yamlfile.File) (values []Value) {
	var list func(v reflect.Value, path string)
	list = func(v reflect.Value, path string) {
		for i := range v.NumField() {
			key := strings.TrimPrefix(path+"."+v.Type().Field(i).Tag.Get("yaml"), ".")
			if v.Field(i).Kind() == reflect.Struct {
				list(v.Field(i), key)
				continue
			}
			source := "default"
			if f != nil && f.Line(key) > 0 {
				source = fmt.Sprintf("%s:%d", f.Name, f.Line(key))
			}
			value := v.Field(i).Interface()
			if d, ok := value.(time.Duration); ok {
				value = d.String()
			}
			values = append(values, Value{key, value, source})
		}
	}
	list(reflect.ValueOf(o), "")
	return values
}

// Schema returns the JSON Schema (draft 2020-12) of the options file.
func Schema() ([]byte, error) {
	var schemaOf func(t reflect.Type, defaults reflect.Value) map[string]any
	schemaOf = func(t reflect.Type, defaults reflect.Value) map[string]any {
		properties := map[string]any{}
		for i := range t.NumField() {
			field := t.Field(i)
			property := map[string]any{}
			switch {
			case field.Type.Kind() == reflect.Struct:
				property = schemaOf(field.Type, defaults.Field(i))
			case field.Type == reflect.TypeOf(time.Duration(0)):
				property["type"], property["default"] = "string", defaults.Field(i).Interface().(time.Duration).String()
				property["pattern"] = `^([0-9.]+(ns|us|ms|s|m|h))+$|^0$`
			case field.Type.Kind() == reflect.Float64:
				property["type"], property["default"] = "number", defaults.Field(i).Float()
				property["minimum"], property["maximum"] = json.Number(field.Tag.Get("min")), json.Number(field.Tag.Get("max"))
			default:
				property["type"], property["default"] = "string", defaults.Field(i).String()
				if enum := field.Tag.Get("enum"); enum != "" {
					property["enum"] = strings.Split(enum, ",")
				}
			}
			text := field.Tag.Get("help")
			if minTag := field.Tag.Get("min"); minTag != "" {
				text += fmt.Sprintf(" (%s to %s)", minTag, field.Tag.Get("max"))
			}
			property["description"] = text
			properties[field.Tag.Get("yaml")] = property
		}
		return map[string]any{"type": "object", "additionalProperties": false, "properties": properties}
	}
	s := schemaOf(reflect.TypeOf(Options{}), reflect.ValueOf(DefaultOptions()))
	s["$schema"], s["title"] = "https://json-schema.org/draft/2020-12/schema", "oakseam's own configuration"
	return json.MarshalIndent(s, "", "  ")
}
