package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oakseam/internal/fakes"
)

// patience is the timeout of every wait for a condition. No test depends on a shorter one.
const patience = 20 * time.Second

var program string

// TestMain builds the real program. OAKSEAM_TEST_BUILD holds further build flags.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "oakseam-test")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "oakseam")
	args := append([]string{"build", "-o", program}, strings.Fields(os.Getenv("OAKSEAM_TEST_BUILD"))...)
	if out, err := exec.Command("go", append(args, ".")...).CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v\n%s", err, out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

type object = map[string]any

func class(name, effect string, targetLatency time.Duration) object {
	return object{"name": name, "effect": effect, "slo-us": targetLatency.Microseconds(), "deadline-us": 2 * targetLatency.Microseconds(),
		"worth": 8.0, "group": "all", "window-us": 60000000, "late-worth": 0.0, "stream": false}
}

// settings returns the settings of a node in PROXY_CONFIG.
func settings() object {
	return object{
		"classes": []any{class("topup", "unsafe", 5*time.Second), class("reading", "keyed", 5*time.Second),
			class("lookup", "safe", 5*time.Second), class("brief", "unsafe", 300*time.Millisecond)},
		"locality": "dc-one", "replicas-of-me": 1, "registry-mode": "subscribe", "tick-us": 5000,
		"limits": object{"try-limit": 5, "second-copies": true, "cancelling": true, "retry-after": true,
			"max-retry-after-us": 2500000, "conn-idle-us": 5000000, "connect-timeout-us": 2000000},
		"rules":   object{"ask-within-us": 10000000, "stop-sending-within-us": 1500000, "answer-slack-us": 20000},
		"charges": object{"handshake": 0.02},
		"report":  object{"how": "answers", "fields": []any{"pending"}},
	}
}

func target(uid, endpoint, state string, boot int64) object {
	return object{"uid": uid, "endpoint": endpoint, "az": "dc-one", "model": "m", "pod_group": 0,
		"state": state, "capacity_hint": 1.0, "boot_ms": boot}
}

func list(rev int, all bool, targets ...object) object {
	if targets == nil {
		targets = []object{}
	}
	return object{"rev": rev, "all": all, "targets": targets}
}

func line(t *testing.T, o object) string {
	text, err := json.Marshal(o)
	require.NoError(t, err)
	return string(text) + "\n"
}

// indented returns a list as indented JSON over many lines.
func indented(t *testing.T, o object) string {
	text, err := json.MarshalIndent(o, "", "  ")
	require.NoError(t, err)
	return string(text) + "\n"
}

// node is a running process of the real program.
type node struct {
	t       *testing.T
	addr    string
	console string
	cmd     *exec.Cmd
	log     output
	exit    chan error
}

type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// freeAddr returns an address that nobody listens at, reserved until the test ends.
func freeAddr(t *testing.T) string {
	reserved, err := fakes.ReserveAddress("127.0.0.1")
	require.NoError(t, err)
	t.Cleanup(reserved.Close)
	return reserved.Addr
}

func configure(t *testing.T, addr, registry string, known, settings object) object {
	return object{"name": "n0", "listen": addr, "discovery": registry, "seed": "9392d72b8053217c",
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings}
}

func command(t *testing.T, config object) *exec.Cmd {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(line(t, config)), 0o600))
	cmd := exec.Command(program)
	tmp, ok := config["tmp"].(string) // shared by the processes of a node
	if !ok {
		tmp = t.TempDir()
	}
	cmd.Env = append(os.Environ(), "TMPDIR="+tmp, "PROXY_CONFIG="+path, "PROXY_DISCOVERY="+fmt.Sprint(config["discovery"]))
	return cmd
}

// reload replaces the configuration file and signals the node.
func (n *node) reload(text string) {
	path := strings.TrimPrefix(n.cmd.Env[len(n.cmd.Env)-2], "PROXY_CONFIG=")
	require.NoError(n.t, os.WriteFile(path, []byte(text), 0o600))
	require.NoError(n.t, n.cmd.Process.Signal(syscall.SIGHUP))
}

// raw sends bytes on a new client session and returns everything received until the node
// ends it.
func (n *node) raw(text string) string {
	c, err := net.Dial("tcp", n.addr)
	require.NoError(n.t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	go io.WriteString(c, text)
	var got strings.Builder
	_, err = io.Copy(&got, c)
	require.False(n.t, errors.Is(err, os.ErrDeadlineExceeded), "the node did not end the session: %q", got.String())
	return got.String()
}

// start runs the program until the test ends, and waits until it listens.
func start(t *testing.T, config object) *node { return startWith(t, config) }

func startWith(t *testing.T, config object, args ...string) *node {
	n := &node{t: t, addr: config["listen"].(string), cmd: command(t, config), exit: make(chan error, 1)}
	n.console, _ = config["console"].(string)
	n.cmd.Args = append(n.cmd.Args, args...)
	n.cmd.Stdout, n.cmd.Stderr = &n.log, &n.log
	require.NoError(t, n.cmd.Start())
	go func() { n.exit <- n.cmd.Wait() }()
	t.Cleanup(func() {
		n.cmd.Process.Kill()
		if t.Failed() {
			text := n.log.String()
			t.Logf("last output of the program:\n%s", text[max(len(text)-4000, 0):])
		}
		require.NotContains(t, n.log.String(), "panic", "the program must not panic")
		require.NotContains(t, n.log.String(), "DATA RACE")
	})
	n.waitUntil("it listens", func() bool { return n.send("GET", "/", "", nil) != nil })
	return n
}

// serve starts a node whose list has backends at the given addresses.
func serve(t *testing.T, addrs ...string) (*node, *fakes.ScriptedRegistry) {
	d := newRegistry(t)
	return start(t, configWith(t, d, addrs...)), d
}

// configWith returns the configuration of a node whose list has backends at the given addresses.
func configWith(t *testing.T, d *fakes.ScriptedRegistry, addrs ...string) object {
	var targets []object
	for i, a := range addrs {
		targets = append(targets, target(fmt.Sprint("s-", i), a, "in_service", 0))
	}
	return configure(t, freeAddr(t), d.Addr, list(7, true, targets...), settings())
}

// waitUntil waits until a condition holds.
func (n *node) waitUntil(what string, ok func() bool) {
	n.t.Helper()
	require.Eventually(n.t, ok, patience, 5*time.Millisecond, what)
}

// answer is a complete response of the node.
type answer struct {
	status int
	header http.Header
	body   string
}

// client opens a new client session for each request, so that requests don't wait for each other.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}

// send sends a request. It returns nil if there is no complete response.
func (n *node) send(method, path, body string, header map[string]string) *answer {
	request, err := http.NewRequest(method, "http://"+n.addr+path, strings.NewReader(body))
	require.NoError(n.t, err)
	for k, v := range header {
		request.Header.Set(k, v)
	}
	res, err := client.Do(request)
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return nil
	}
	return &answer{res.StatusCode, res.Header, string(text)}
}

var ids atomic.Int64

// headers returns the headers of a request of a class, with an ID of its own.
func headers(class string) map[string]string {
	h := map[string]string{"X-Correlation-Id": fmt.Sprint("id-", ids.Add(1)), "X-Service-Class": class, "X-Time-Left": "9000m"}
	if class == "reading" {
		h["Idempotency-Key"] = "k1"
	}
	return h
}

// ask sends a request of a class, which must get an answer.
func (n *node) ask(class string) *answer {
	n.t.Helper()
	method := "POST"
	if class == "lookup" {
		method = "GET"
	}
	a := n.send(method, "/api", "", headers(class))
	require.NotNil(n.t, a, "a request got no answer")
	return a
}

// counter reads a counter from the latest output after SIGUSR1.
func (n *node) counter(name string) string {
	require.NoError(n.t, n.cmd.Process.Signal(syscall.SIGUSR1))
	found := regexp.MustCompile(`(?m)^counter `+regexp.QuoteMeta(name)+` (\d+)$`).FindAllStringSubmatch(n.log.String(), -1)
	if found == nil {
		return "0"
	}
	return found[len(found)-1][1]
}

// waitCounter waits until a counter has a value.
func (n *node) waitCounter(name, want string) {
	n.t.Helper()
	n.waitUntil(name+" is "+want, func() bool { return n.counter(name) == want })
}

// Short names for the fake backends of package fakes.
type request = fakes.Request

var (
	say    = fakes.WriteResponse
	ok     = fakes.OK
	silent = fakes.NoResponse
	broken = fakes.ResetConnection
)

// newBackend runs a fake backend until the test ends.
func newBackend(t *testing.T, script fakes.Script) *fakes.Backend {
	b, err := fakes.NewBackend(script)
	require.NoError(t, err)
	t.Cleanup(b.Close)
	return b
}

// newRegistry runs a registry, scripted by the test, until the test ends.
func newRegistry(t *testing.T) *fakes.ScriptedRegistry {
	d, err := fakes.NewScriptedRegistry()
	require.NoError(t, err)
	t.Cleanup(d.Close)
	return d
}

// receive waits for a value from a channel.
func receive[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		require.Fail(t, "timed out waiting for "+what)
	}
	return v
}
