package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"pipitmux/internal/yamlfile"
)

// Options is the file of our own beside PROXY_CONFIG: what the platform has no word
// for. Each key may be left out.
type Options struct {
	Log     Log     `yaml:"log" help:"the node's log, on standard error"`
	Session Session `yaml:"session" help:"clients' side"`
	Backend Backend `yaml:"backend" help:"backends' side"`
	State   State   `yaml:"state" help:"what is kept on disk"`
	Peers   Peers   `yaml:"peers" help:"what the nodes tell each other"`
}

// Peers is what a node tells the others of its tier.
type Peers struct {
	BytesPerS float64 `yaml:"bytes_per_s" help:"bytes a second that the node may tell the others; 0: it tells them nothing" least:"0" most:"100000"`
}

// State is what a node keeps through its end.
type State struct {
	Dir string `yaml:"dir" help:"the folder of its state; empty: none is kept"`
}

// Log is how the node logs.
type Log struct {
	Level  string `yaml:"level" help:"the least level that is logged" enum:"debug,info,warn,error"`
	Format string `yaml:"format" help:"how lines look" enum:"text,json"`
}

// Session is what client sessions are held to.
type Session struct {
	HeadWithin   time.Duration `yaml:"head_within" help:"how long a client may take for a head" least:"10ms" most:"1m"`
	BodyWithin   time.Duration `yaml:"body_within" help:"and then for a body" least:"10ms" most:"1m"`
	IdleFor      time.Duration `yaml:"idle_for" help:"how long a client session may stay open between requests" least:"10ms" most:"1h"`
	Share        float64       `yaml:"share" help:"part of the descriptors not kept spare that client sessions may hold" least:"0.05" most:"0.9"`
	RequestShare float64       `yaml:"req_share" help:"part of all descriptors that open requests may hold" least:"0.05" most:"0.9"`
}

// Backend is what connections to backends are held to.
type Backend struct {
	ConnectTimeout time.Duration `yaml:"connect_timeout" help:"how long a connection may take to come up; 0: as the settings say" least:"0s" most:"1m"`
	IdleShare      float64       `yaml:"idle_share" help:"part of the time after which backends close an idle connection that the node keeps one for" least:"0.05" most:"0.95"`
	Share          float64       `yaml:"share" help:"part of the descriptors not kept spare that connections to backends may hold" least:"0.05" most:"0.9"`
}

// DefaultOptions returns the values of what a file leaves out.
func DefaultOptions() Options {
	return Options{
		Log: Log{Level: "info", Format: "text"},
		Session: Session{
			// A client that brings no whole request holds a socket that others need. It is owed an
			// error or a close soon.
			HeadWithin: 2500 * time.Millisecond, BodyWithin: 2 * time.Second, IdleFor: 2 * time.Second,
			Share: 0.5, RequestShare: 1.0 / 3,
		},
		// Clearly before the backends close a connection themselves.
		Backend: Backend{IdleShare: 0.9, Share: 0.4},
	}
}

// ReadOptions reads the file of a name. An empty name gives the defaults.
func ReadOptions(name string) (Options, *yamlfile.File, error) {
	o := DefaultOptions()
	if name == "" {
		return o, nil, nil
	}
	f, err := yamlfile.Read(name, &o)
	if err != nil {
		return o, nil, err
	}
	if err := bounds(f, reflect.ValueOf(o), ""); err != nil {
		return o, nil, err
	}
	if sum := o.Session.Share + o.Backend.Share; sum > 1 {
		return o, nil, f.Errorf("backend.share", "%g and session.share %g together are over 1", o.Backend.Share, o.Session.Share)
	}
	return o, f, nil
}

// bounds checks each value against what its field's tags allow.
func bounds(f *yamlfile.File, v reflect.Value, path string) error {
	for i := range v.NumField() {
		sf := v.Type().Field(i)
		key := strings.TrimPrefix(path+"."+sf.Tag.Get("yaml"), ".")
		at := v.Field(i)
		if at.Kind() == reflect.Struct {
			if err := bounds(f, at, key); err != nil {
				return err
			}
			continue
		}
		if enum := sf.Tag.Get("enum"); enum != "" && !slices.Contains(strings.Split(enum, ","), at.String()) {
			return f.Errorf(key, "%q is not one of %s", at.String(), strings.ReplaceAll(enum, ",", ", "))
		}
		least, most := sf.Tag.Get("least"), sf.Tag.Get("most")
		if least == "" {
			continue
		}
		value, lo, hi := 0.0, 0.0, 0.0
		if d, ok := at.Interface().(time.Duration); ok {
			value, lo, hi = float64(d), seconds(least), seconds(most)
		} else {
			value = at.Float()
			fmt.Sscan(least, &lo)
			fmt.Sscan(most, &hi)
		}
		if !(value >= lo && value <= hi) {
			return f.Errorf(key, "%v does not lie from %s to %s", at.Interface(), least, most)
		}
	}
	return nil
}

// seconds reads a bound, which stands in the program's text.
func seconds(s string) float64 {
	d, err := time.ParseDuration(s)
	if err != nil {
		panic(err)
	}
	return float64(d)
}

// Value is an effective value and where it came from.
type Value struct {
	Key    string `json:"key"`
	Value  any    `json:"value"`
	Source string `json:"from"`
}

// ownValues lists the values of the own file, in the order of its fields.
func ownValues(o Options, f *yamlfile.File) (out []Value) {
	var list func(v reflect.Value, path string)
	list = func(v reflect.Value, path string) {
		for i := range v.NumField() {
			key := strings.TrimPrefix(path+"."+v.Type().Field(i).Tag.Get("yaml"), ".")
			if v.Field(i).Kind() == reflect.Struct {
				list(v.Field(i), key)
				continue
			}
			from := "default"
			if f != nil && f.Line(key) > 0 {
				from = fmt.Sprintf("%s:%d", f.Name, f.Line(key))
			}
			value := v.Field(i).Interface()
			if d, ok := value.(time.Duration); ok {
				value = d.String()
			}
			out = append(out, Value{key, value, from})
		}
	}
	list(reflect.ValueOf(o), "")
	return out
}

// Schema returns the JSON Schema (draft 2020-12) of the own file.
func Schema() ([]byte, error) {
	var of func(t reflect.Type, defaults reflect.Value) map[string]any
	of = func(t reflect.Type, defaults reflect.Value) map[string]any {
		props := map[string]any{}
		for i := range t.NumField() {
			sf := t.Field(i)
			p := map[string]any{}
			switch {
			case sf.Type.Kind() == reflect.Struct:
				p = of(sf.Type, defaults.Field(i))
			case sf.Type == reflect.TypeOf(time.Duration(0)):
				p["type"], p["default"] = "string", defaults.Field(i).Interface().(time.Duration).String()
				p["pattern"] = `^([0-9.]+(ns|us|ms|s|m|h))+$|^0$`
			case sf.Type.Kind() == reflect.Float64:
				p["type"], p["default"] = "number", defaults.Field(i).Float()
				p["minimum"], p["maximum"] = json.Number(sf.Tag.Get("least")), json.Number(sf.Tag.Get("most"))
			default:
				p["type"], p["default"] = "string", defaults.Field(i).String()
				if enum := sf.Tag.Get("enum"); enum != "" {
					p["enum"] = strings.Split(enum, ",")
				}
			}
			text := sf.Tag.Get("help")
			if least := sf.Tag.Get("least"); least != "" {
				text += fmt.Sprintf(" (%s to %s)", least, sf.Tag.Get("most"))
			}
			p["description"] = text
			props[sf.Tag.Get("yaml")] = p
		}
		return map[string]any{"type": "object", "additionalProperties": false, "properties": props}
	}
	s := of(reflect.TypeOf(Options{}), reflect.ValueOf(DefaultOptions()))
	s["$schema"], s["title"] = "https://json-schema.org/draft/2020-12/schema", "oakseam's own configuration"
	return json.MarshalIndent(s, "", "  ")
}
