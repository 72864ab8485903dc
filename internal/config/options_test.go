package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakseam/internal/logging"
)

func writeFile(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// platformConfig is a PROXY_CONFIG file.
const platformConfig = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","limits":{"sockets":256},"known":{"rev":1,"all":true,"targets":[]},
"settings":{"classes":[{"name":"topup","effect":"unsafe","slo-us":400000,"deadline-us":2000000}],"limits":{"connect-timeout-us":120000}}}`

// A faulty options file must be rejected with one line that names file, line and key.
func TestFaultyOptionsFile(t *testing.T) {
	for text, want := range map[string]string{
		"lgo: {}":                                      "own.yaml:1: lgo: unknown key; allowed here: log, session, backend",
		"log:\n  level: loud":                          `own.yaml:2: log.level: "loud" is not one of debug, info, warn, error`,
		"log: {format: xml}":                           `own.yaml:1: log.format: "xml" is not one of text, json`,
		"session:\n  head_within: 2\n":                 "own.yaml:2: session.head_within: ",
		"session:\n  head_within: 2h\n":                "own.yaml:2: session.head_within: 2h0m0s is not between 10ms and 1m",
		"session: {share: 1.5}":                        "session.share: 1.5 is not between 0.05 and 0.9",
		"session: {share: .nan}":                       "session.share: NaN is not between",
		"session: {share: 0.8}\nbackend: {share: 0.4}": "own.yaml:2: backend.share: 0.4 plus session.share 0.8 exceeds 1",
		"backend: {connect_timeout: -1s}":              "backend.connect_timeout: -1s is not between",
	} {
		path := writeFile(t, "own.yaml", text)
		_, _, err := ReadOptions(path)
		if assert.Error(t, err, text) {
			assert.Contains(t, err.Error(), want)
			assert.NotContains(t, err.Error(), "\n")
		}
	}
}

// Each value must be shown with its source, and the options must override the settings.
func TestShownValuesNameTheirSource(t *testing.T) {
	path := writeFile(t, "config.json", platformConfig)
	options := writeFile(t, "own.yaml", "# ours\nsession:\n  idle_for: 3s\nbackend: {connect_timeout: 50ms}\n")
	env := map[string]string{"PROXY_CONFIG": path, "PROXY_NAME": "n9"}
	c, err := Load(func(k string) string { return env[k] }, options)
	require.NoError(t, err)
	assert.Equal(t, 50*time.Millisecond, c.ConnectTimeout, "the options override the settings")
	got := map[string]Value{}
	shown, err := Show(func(k string) string { return env[k] }, options)
	require.NoError(t, err)
	for _, v := range shown {
		got[v.Key] = v
	}
	for key, want := range map[string]Value{
		"name":                    {"name", "n9", "PROXY_NAME"},
		"listen":                  {"listen", "127.0.0.1:1", path},
		"limits.sockets":          {"limits.sockets", 256, path},
		"limits.memory_mb":        {"limits.memory_mb", 192, "default"},
		"settings.classes.0.name": {"settings.classes.0.name", "topup", path},
		"session.idle_for":        {"session.idle_for", "3s", options + ":3"},
		"backend.connect_timeout": {"backend.connect_timeout", "50ms", options + ":4"},
		"session.head_within":     {"session.head_within", "2.5s", "default"},
		"log.level":               {"log.level", "info", "default"},
	} {
		assert.Equal(t, want, got[key], key)
	}
	again, err := Reload(func(k string) string { return env[k] }, options)
	require.NoError(t, err)
	assert.Equal(t, c.Options, again.Options)
}

// The schema must agree with the tags and with what is read.
func TestSchema(t *testing.T) {
	text, err := Schema()
	require.NoError(t, err)
	type node struct {
		Properties           map[string]*node
		AdditionalProperties bool
		Enum                 []string
		Default              any
		Description          string
	}
	var s node
	require.NoError(t, json.Unmarshal(text, &s))
	assert.False(t, s.AdditionalProperties)
	assert.Equal(t, logging.Levels, s.Properties["log"].Properties["level"].Enum)
	assert.Equal(t, logging.Formats, s.Properties["log"].Properties["format"].Enum)
	assert.Equal(t, "2s", s.Properties["session"].Properties["idle_for"].Default)
	var checkProperties func(n *node, path string)
	checkProperties = func(n *node, path string) {
		for k, p := range n.Properties {
			assert.NotEmpty(t, p.Description+strings.Repeat("x", len(p.Properties)), path+k)
			checkProperties(p, path+k+".")
		}
	}
	checkProperties(&s, "")
	o := DefaultOptions()
	require.NoError(t, checkBounds(nil, reflect.ValueOf(o), ""), "the defaults are within their bounds")
}

// The peers' addresses must be read and checked only if the node sends to others.
func TestPeersAreReadOnlyWhereUsed(t *testing.T) {
	for peers, want := range map[string]string{
		`"peer_listen":"127.0.0.1:3","peers":["127.0.0.1:4","127.0.0.1:5"]`: "",
		`"peers":["127.0.0.1:4"]`:                                       `peer_listen: "" is not an address and port`,
		`"peer_listen":"127.0.0.1:3","peers":["here:4"]`:                `peers.0: "here:4" is not an address and port`,
		`"peer_listen":"127.0.0.1:3","peers":["1.1.1.1:4","1.1.1.1:4"]`: "peers.1: 1.1.1.1:4 is also peers.0",
		`"peer_listen":"127.0.0.1:3","peers":[]`:                        "peers: 0 are listed, but this node is number 0",
		`"peer_listen":"127.0.0.1:3","peers":{}`:                        "peers: ",
	} {
		env := map[string]string{"PROXY_CONFIG": writeFile(t, "config.json", strings.Replace(platformConfig, `"listen"`, peers+`,"listen"`, 1))}
		_, err := Load(func(k string) string { return env[k] }, "")
		assert.NoError(t, err, "unused peers must not be read: %s", peers)
		c, err := Load(func(k string) string { return env[k] }, writeFile(t, "own.yaml", "peers: {bytes_per_s: 512}"))
		if want == "" {
			require.NoError(t, err)
			assert.Equal(t, []string{"127.0.0.1:4", "127.0.0.1:5"}, c.Peers)
			assert.Equal(t, "127.0.0.1:3", c.PeerListen)
		} else {
			assert.ErrorContains(t, err, want)
		}
	}
	_, _, err := ReadOptions(writeFile(t, "own.yaml", "peers: {bytes_per_s: -1}"))
	assert.ErrorContains(t, err, "peers.bytes_per_s: -1 is not between 0 and 100000")
}
