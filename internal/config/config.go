// Package config reads and checks a node's environment and its configuration
// files, and sets the defaults. No other package does.
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

	"oakseam/internal/discovery"
	"oakseam/internal/simproto"
	"oakseam/logic"
)

// Config is the configuration of a node.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	// Console is the address for operators, empty: none.
	Console string
	// PeerListen is where datagrams of other nodes arrive, empty: nowhere.
	PeerListen string
	// Peers are the addresses of all nodes in the order of their numbers, as this one reaches them.
	Peers          []string
	Seed           uint64
	Cores          float64
	MemoryMB       int
	Sockets        int
	KnownBackends  discovery.List
	Settings       logic.Settings
	ConnectTimeout time.Duration
	// RetryAfter is sent with rejections, 0 where clients ignore it.
	RetryAfter time.Duration
	Options    Options
}

// Defaults of optional keys.
const (
	defaultCores          = 1.0
	defaultMemoryMB       = 192
	defaultSockets        = 1024
	minSockets            = 128
	defaultConnectTimeout = time.Second
	defaultConnIdle       = 5 * time.Second
)

// file is the layout of the configuration file.
type file struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Console    string          `json:"console"`
	Seed       string          `json:"seed"`
	PeerListen string          `json:"peer_listen"`
	Peers      json.RawMessage `json:"peers"` // read only if the node sends to others
	Limits     struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	KnownBackends discovery.List  `json:"known"`
	Settings      json.RawMessage `json:"settings"`
}

// source is a configuration file and the variables that override it.
type source struct {
	path string
	file file
	env  map[string]string // the variable that overrides a key, if one is set
}

// Load reads the file that PROXY_CONFIG names. The variables PROXY_NAME, PROXY_LISTEN,
// PROXY_DISCOVERY and PROXY_CONSOLE override it. The options file is read too, if given.
func Load(getenv func(string) string, optionsFile string) (*Config, error) {
	return load(getenv, getenv("PROXY_DISCOVERY"), optionsFile)
}

// Reload reads the files again. The variables date from the start of the process, so the
// registry's address comes from the file.
func Reload(getenv func(string) string, optionsFile string) (*Config, error) {
	return load(getenv, "", optionsFile)
}

func load(getenv func(string) string, discovery, optionsFile string) (*Config, error) {
	options, _, err := ReadOptions(optionsFile)
	if err != nil {
		return nil, err
	}
	src, err := readSource(getenv, discovery)
	if err != nil {
		return nil, err
	}
	c, err := src.file.check()
	if err != nil {
		return nil, err
	}
	c.Options = options
	c.ConnectTimeout = cmp.Or(options.Backend.ConnectTimeout, c.ConnectTimeout)
	return c, c.readPeers(src.file.PeerListen, src.file.Peers)
}

func readSource(getenv func(string) string, discovery string) (*source, error) {
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
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return nil, fmt.Errorf("%s: a JSON %s is not allowed here", typeError.Field, typeError.Value)
		}
		return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	for _, v := range []struct {
		key      string
		variable string
		value    string
		target   *string
	}{{"name", "PROXY_NAME", getenv("PROXY_NAME"), &f.Name}, {"listen", "PROXY_LISTEN", getenv("PROXY_LISTEN"), &f.Listen},
		{"discovery", "PROXY_DISCOVERY", discovery, &f.Discovery}, {"console", "PROXY_CONSOLE", getenv("PROXY_CONSOLE"), &f.Console}} {
		if v.value != "" {
			*v.target, src.env[v.key] = v.value, v.variable
		}
	}
	return src, nil
}

// Show lists every effective value and where it came from: those of PROXY_CONFIG, where
// it is set, and then the options. It fails as Load does.
func Show(getenv func(string) string, optionsFile string) ([]Value, error) {
	options, file, err := ReadOptions(optionsFile)
	if err != nil {
		return nil, err
	}
	var values []Value
	if getenv("PROXY_CONFIG") != "" {
		src, err := readSource(getenv, getenv("PROXY_DISCOVERY"))
		if err != nil {
			return nil, err
		}
		if _, err := src.file.check(); err != nil {
			return nil, err
		}
		if values, err = src.values(); err != nil {
			return nil, err
		}
	}
	return append(values, optionValues(options, file)...), nil
}

// values lists the values of the configuration file, sorted by key.
func (src *source) values() ([]Value, error) {
	f := &src.file
	var values []Value
	put := func(key string, v any, set bool) {
		origin := "default"
		if set {
			origin = cmp.Or(src.env[key], src.path)
		}
		values = append(values, Value{key, v, origin})
	}
	put("name", f.Name, f.Name != "")
	put("listen", f.Listen, f.Listen != "")
	put("discovery", f.Discovery, f.Discovery != "")
	put("seed", cmp.Or(f.Seed, "drawn at start"), f.Seed != "")
	put("console", cmp.Or(f.Console, "off"), f.Console != "")
	put("limits.cores", cmp.Or(f.Limits.Cores, defaultCores), f.Limits.Cores != 0)
	put("limits.memory_mb", cmp.Or(f.Limits.MemoryMB, defaultMemoryMB), f.Limits.MemoryMB != 0)
	put("limits.sockets", cmp.Or(f.Limits.Sockets, defaultSockets), f.Limits.Sockets != 0)
	put("known", fmt.Sprintf("%d backends, rev %d", len(f.KnownBackends.Targets), f.KnownBackends.Revision), len(f.KnownBackends.Targets) > 0)
	settings, err := FlattenSettings(f.Settings)
	if err != nil {
		return nil, err
	}
	for part := range strings.SplitSeq(settings, " ") {
		if k, v, ok := strings.Cut(part, "="); ok {
			put("settings."+k, v, true)
		}
	}
	slices.SortFunc(values, func(a, b Value) int { return cmp.Compare(a.Key, b.Key) })
	return values, nil
}

func (f *file) check() (*Config, error) {
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Console: f.Console, KnownBackends: f.KnownBackends,
		Cores:    cmp.Or(f.Limits.Cores, defaultCores),
		MemoryMB: cmp.Or(f.Limits.MemoryMB, defaultMemoryMB),
		Sockets:  cmp.Or(f.Limits.Sockets, defaultSockets),
	}
	for _, a := range []struct {
		key  string
		addr string
	}{{"listen", c.Listen}, {"discovery", c.Discovery}, {"console", c.Console}} {
		if a.addr == "" && a.key == "console" {
			continue
		}
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return nil, fmt.Errorf("%s: %q is not of the form host:port", a.key, a.addr)
		}
	}
	if c.Console == c.Listen {
		return nil, fmt.Errorf("console: %q is also the address of listen", c.Console)
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
		return nil, fmt.Errorf("limits.cores: %v is negative", c.Cores)
	case c.MemoryMB < 0:
		return nil, fmt.Errorf("limits.memory_mb: %d is negative", c.MemoryMB)
	case c.Sockets < minSockets:
		return nil, fmt.Errorf("limits.sockets: %d is below the minimum of %d", c.Sockets, minSockets)
	}
	if _, err := c.KnownBackends.Backends(); err != nil {
		return nil, fmt.Errorf("known.%w", err)
	}
	return c, c.readSettings(f.Settings)
}

// readPeers reads the addresses of a node that sends to others.
func (c *Config) readPeers(listen string, raw json.RawMessage) error {
	if c.Options.Peers.BytesPerS == 0 {
		return nil
	}
	if _, err := netip.ParseAddrPort(listen); err != nil {
		return fmt.Errorf("peer_listen: %q is not an address and port", listen)
	}
	if err := json.Unmarshal(raw, &c.Peers); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	for i, addr := range c.Peers {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return fmt.Errorf("peers.%d: %q is not an address and port", i, addr)
		}
		if first := slices.Index(c.Peers, addr); first < i {
			return fmt.Errorf("peers.%d: %s is also peers.%d", i, addr, first)
		}
	}
	if n := c.Settings.Number; n < 0 || n >= len(c.Peers) {
		return fmt.Errorf("peers: %d are listed, but this node is number %d", len(c.Peers), n)
	}
	c.PeerListen = listen
	return nil
}

// readSettings decodes the settings with the decoder of the simulator's adapter.
func (c *Config) readSettings(raw json.RawMessage) error {
	if len(raw) == 0 {
		return errors.New("settings: missing")
	}
	settings, err := FlattenSettings(raw)
	if err != nil {
		return err
	}
	if c.Settings, err = simproto.ParseSettings(settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.Settings.ConnIdle = cmp.Or(c.Settings.ConnIdle, defaultConnIdle)
	c.RetryAfter = c.Settings.MaxRetryAfter
	// The only setting that simproto.Settings does not read: only a real node needs it.
	const key = "limits.connect-timeout-us"
	c.ConnectTimeout = defaultConnectTimeout
	for part := range strings.SplitSeq(settings, " ") {
		if k, v, _ := strings.Cut(part, "="); k == key {
			us, err := strconv.ParseInt(v, 10, 64)
			if err != nil || us < 0 || us > int64(time.Hour/time.Microsecond) {
				return fmt.Errorf("settings.%s: %q is not a time of 0 to 1 h in microseconds", key, v)
			}
			c.ConnectTimeout = cmp.Or(time.Duration(us)*time.Microsecond, defaultConnectTimeout)
		}
	}
	if _, err := logic.New(c.Settings, 0); err != nil {
		return err
	}
	return nil
}

// FlattenSettings flattens nested settings to the path=value pairs of the simulator's
// first message, which internal/simproto reads.
func FlattenSettings(raw json.RawMessage) (string, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber() // keeps the digits as they were written
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return "", fmt.Errorf("settings: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return "", errors.New("settings: more than one object")
	}
	var pairs []string
	flatten(&pairs, "", tree)
	return strings.Join(pairs, " "), nil
}

func flatten(pairs *[]string, path string, v any) {
	put := func(text string) { *pairs = append(*pairs, strings.TrimSuffix(path, ".")+"="+text) }
	switch v := v.(type) {
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			flatten(pairs, path+k+".", v[k])
		}
	case []any:
		if len(v) > 0 {
			if _, objects := v[0].(map[string]any); objects {
				*pairs = append(*pairs, fmt.Sprintf("%scount=%d", path, len(v)))
				for i, item := range v {
					flatten(pairs, fmt.Sprintf("%s%d.", path, i), item)
				}
				return
			}
		}
		items := make([]string, len(v))
		for i, item := range v {
			items[i] = formatScalar(item)
		}
		put(strings.Join(items, ","))
	default:
		put(formatScalar(v))
	}
}

// separators replaces the characters that separate pairs and items.
var separators = strings.NewReplacer(" ", "_", ",", "_", "\t", "_", "\n", "_")

func formatScalar(v any) string {
	if v == nil {
		return "-"
	}
	return separators.Replace(fmt.Sprint(v))
}
