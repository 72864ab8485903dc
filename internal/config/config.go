// Package config is the one place where a node's environment and its
// configuration file are read, checked and given defaults.
package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"pipitmux/internal/discovery"
	"pipitmux/internal/wire"
	"pipitmux/logic"
)

// Config is what a node is told at its start.
type Config struct {
	Name, Listen, Discovery string
	Console                 string   // the operators' address, empty: none
	PeerListen              string   // where datagrams of other nodes arrive, empty: nowhere
	Peers                   []string // of all nodes in the order of their numbers, as this one reaches them
	Seed                    uint64
	Cores                   float64
	MemoryMB, Sockets       int
	KnownBackends           discovery.List
	Settings                logic.Settings
	ConnectTimeout          time.Duration
	RetryAfter              time.Duration // of a refusal, 0 where clients heed none
	Options                 Options
}

// Defaults of what may be left out.
const (
	defaultCores          = 1.0
	defaultMemoryMB       = 192
	defaultSockets        = 1024
	leastSockets          = 128
	defaultConnectTimeout = time.Second
	defaultConnIdle       = 5 * time.Second
)

// file is the form of the configuration file.
type file struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Console    string          `json:"console"`
	Seed       string          `json:"seed"`
	PeerListen string          `json:"peer_listen"`
	Peers      json.RawMessage `json:"peers"` // read only where the node talks to others
	Limits     struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    discovery.List  `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// source is the text of a configuration, with the variables that go before it.
type source struct {
	path string
	file file
	env  map[string]string // the variable behind a key, where one is set
}

// Load reads the file that PROXY_CONFIG names. The variables PROXY_NAME,
// PROXY_LISTEN and PROXY_DISCOVERY go before what the file says.
// The file of our own that own names, if any, is read beside it.
func Load(getenv func(string) string, own string) (*Config, error) {
	return load(getenv, getenv("PROXY_DISCOVERY"), own)
}

// Reload reads the file again. The variables are as old as the start, so the
// registry is the one that the file names.
func Reload(getenv func(string) string, own string) (*Config, error) { return load(getenv, "", own) }

func load(getenv func(string) string, discovery, own string) (*Config, error) {
	ours, _, err := ReadOptions(own)
	if err != nil {
		return nil, err
	}
	src, err := read(getenv, discovery)
	if err != nil {
		return nil, err
	}
	c, err := src.file.check()
	if err != nil {
		return nil, err
	}
	c.Options = ours
	c.ConnectTimeout = cmp.Or(ours.Backend.ConnectTimeout, c.ConnectTimeout)
	return c, c.peers(src.file.PeerListen, src.file.Peers)
}

func read(getenv func(string) string, discovery string) (*source, error) {
	src := &source{path: getenv("PROXY_CONFIG"), env: map[string]string{}}
	if src.path == "" {
		return nil, errors.New("PROXY_CONFIG: not set")
	}
	text, err := os.ReadFile(src.path)
	if err != nil {
		return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	f := &src.file
	if err := json.Unmarshal(text, f); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return nil, fmt.Errorf("%s: %s cannot be used", wrong.Field, wrong.Value)
		}
		return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	for _, v := range []struct {
		key, name, value string
		into             *string
	}{{"name", "PROXY_NAME", getenv("PROXY_NAME"), &f.Name}, {"listen", "PROXY_LISTEN", getenv("PROXY_LISTEN"), &f.Listen},
		{"discovery", "PROXY_DISCOVERY", discovery, &f.Discovery}, {"console", "PROXY_CONSOLE", getenv("PROXY_CONSOLE"), &f.Console}} {
		if v.value != "" {
			*v.into, src.env[v.key] = v.value, v.name
		}
	}
	return src, nil
}

// Show lists every effective value and where it came from: the platform's, where
// PROXY_CONFIG is set, and then our own. It fails as Load does.
func Show(getenv func(string) string, own string) ([]Value, error) {
	ours, file, err := ReadOptions(own)
	if err != nil {
		return nil, err
	}
	var out []Value
	if getenv("PROXY_CONFIG") != "" {
		src, err := read(getenv, getenv("PROXY_DISCOVERY"))
		if err != nil {
			return nil, err
		}
		if _, err := src.file.check(); err != nil {
			return nil, err
		}
		if out, err = src.values(); err != nil {
			return nil, err
		}
	}
	return append(out, ownValues(ours, file)...), nil
}

// values lists the platform's values by their keys.
func (src *source) values() ([]Value, error) {
	f := &src.file
	var out []Value
	put := func(key string, v any, set bool) {
		from := "default"
		if set {
			from = cmp.Or(src.env[key], src.path)
		}
		out = append(out, Value{key, v, from})
	}
	put("name", f.Name, f.Name != "")
	put("listen", f.Listen, f.Listen != "")
	put("discovery", f.Discovery, f.Discovery != "")
	put("seed", cmp.Or(f.Seed, "drawn at start"), f.Seed != "")
	put("console", cmp.Or(f.Console, "off"), f.Console != "")
	put("limits.cores", cmp.Or(f.Limits.Cores, defaultCores), f.Limits.Cores != 0)
	put("limits.memory_mb", cmp.Or(f.Limits.MemoryMB, defaultMemoryMB), f.Limits.MemoryMB != 0)
	put("limits.sockets", cmp.Or(f.Limits.Sockets, defaultSockets), f.Limits.Sockets != 0)
	put("known", fmt.Sprintf("%d backends, rev %d", len(f.Known.Targets), f.Known.Revision), len(f.Known.Targets) > 0)
	facts, err := FlattenSettings(f.Settings)
	if err != nil {
		return nil, err
	}
	for part := range strings.SplitSeq(facts, " ") {
		if k, v, ok := strings.Cut(part, "="); ok {
			put("settings."+k, v, true)
		}
	}
	slices.SortFunc(out, func(a, b Value) int { return cmp.Compare(a.Key, b.Key) })
	return out, nil
}

func (f *file) check() (*Config, error) {
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Console: f.Console, KnownBackends: f.Known,
		Cores:    cmp.Or(f.Limits.Cores, defaultCores),
		MemoryMB: cmp.Or(f.Limits.MemoryMB, defaultMemoryMB),
		Sockets:  cmp.Or(f.Limits.Sockets, defaultSockets),
	}
	for _, a := range []struct{ key, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}, {"console", c.Console}} {
		if a.addr == "" && a.key == "console" {
			continue
		}
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return nil, fmt.Errorf("%s: %q is not host:port", a.key, a.addr)
		}
	}
	if c.Console == c.Listen {
		return nil, fmt.Errorf("console: %q is the address of listen", c.Console)
	}
	var err error
	switch {
	case f.Seed == "":
		c.Seed = rand.Uint64()
	default:
		if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %q is not a number of up to 16 hex digits", f.Seed)
		}
	}
	switch {
	case c.Cores < 0:
		return nil, fmt.Errorf("limits.cores: %v is below 0", c.Cores)
	case c.MemoryMB < 0:
		return nil, fmt.Errorf("limits.memory_mb: %d is below 0", c.MemoryMB)
	case c.Sockets < leastSockets:
		return nil, fmt.Errorf("limits.sockets: %d is below the %d that a node needs", c.Sockets, leastSockets)
	}
	if _, err := c.KnownBackends.Backends(); err != nil {
		return nil, fmt.Errorf("known.%w", err)
	}
	return c, c.settings(f.Settings)
}

// peers reads what a node that talks to others needs.
func (c *Config) peers(listen string, raw json.RawMessage) error {
	if c.Options.Peers.BytesPerS == 0 {
		return nil
	}
	if _, err := netip.ParseAddrPort(listen); err != nil {
		return fmt.Errorf("peer_listen: %q is not an address and port", listen)
	}
	if err := json.Unmarshal(raw, &c.Peers); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	for i, a := range c.Peers {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return fmt.Errorf("peers.%d: %q is not an address and port", i, a)
		}
		if was := slices.Index(c.Peers, a); was < i {
			return fmt.Errorf("peers.%d: %s is peers.%d as well", i, a, was)
		}
	}
	if n := c.Settings.Number; n < 0 || n >= len(c.Peers) {
		return fmt.Errorf("peers: there are %d, and this node is number %d", len(c.Peers), n)
	}
	c.PeerListen = listen
	return nil
}

// settings hands the settings to the decoder that the simulator's adapter uses.
func (c *Config) settings(raw json.RawMessage) error {
	if len(raw) == 0 {
		return errors.New("settings: missing")
	}
	facts, err := FlattenSettings(raw)
	if err != nil {
		return err
	}
	if c.Settings, err = wire.ParseSettings(facts); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.Settings.ConnIdle = cmp.Or(c.Settings.ConnIdle, defaultConnIdle)
	c.RetryAfter = c.Settings.MaxRetryAfter
	// The one setting that only a real node needs.
	const key = "limits.connect-timeout-us"
	c.ConnectTimeout = defaultConnectTimeout
	for part := range strings.SplitSeq(facts, " ") {
		if k, v, _ := strings.Cut(part, "="); k == key {
			us, err := strconv.ParseInt(v, 10, 64)
			if err != nil || us < 0 || us > int64(time.Hour/time.Microsecond) {
				return fmt.Errorf("settings.%s: %q cannot be used", key, v)
			}
			c.ConnectTimeout = cmp.Or(time.Duration(us)*time.Microsecond, defaultConnectTimeout)
		}
	}
	if _, err := logic.New(c.Settings, 0); err != nil {
		return err
	}
	return nil
}

// FlattenSettings flattens nested settings to the pairs path=value of the simulator's
// first message, which internal/wire reads.
func FlattenSettings(raw json.RawMessage) (string, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber() // figures stay the digits that came
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return "", fmt.Errorf("settings: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return "", errors.New("settings: more than one object")
	}
	var out []string
	flatten(&out, "", tree)
	return strings.Join(out, " "), nil
}

func flatten(out *[]string, path string, v any) {
	put := func(text string) { *out = append(*out, strings.TrimSuffix(path, ".")+"="+text) }
	switch v := v.(type) {
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			flatten(out, path+k+".", v[k])
		}
	case []any:
		if len(v) > 0 {
			if _, objects := v[0].(map[string]any); objects {
				*out = append(*out, fmt.Sprintf("%scount=%d", path, len(v)))
				for i, item := range v {
					flatten(out, fmt.Sprintf("%s%d.", path, i), item)
				}
				return
			}
		}
		items := make([]string, len(v))
		for i, item := range v {
			items[i] = plain(item)
		}
		put(strings.Join(items, ","))
	default:
		put(plain(v))
	}
}

var plainText = strings.NewReplacer(" ", "_", ",", "_", "\t", "_", "\n", "_")

func plain(v any) string {
	if v == nil {
		return "-"
	}
	return plainText.Replace(fmt.Sprint(v))
}
