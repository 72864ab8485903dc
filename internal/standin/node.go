package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// NodeConfig is what a node is told, in the platform's form.
type NodeConfig struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Known     any            `json:"known"`
	Settings  any            `json:"settings"`

	PeerListen string   `json:"peer_listen,omitempty"`
	Peers      []string `json:"peers,omitempty"`
}

// Node is the real program, running.
type Node struct {
	Cmd        *exec.Cmd
	Addr       string
	ConfigPath string // of its configuration
	end        chan struct{}
	err        error
}

// StartNode writes the configuration into dir and starts the program with it.
// Its output goes to log. The node may not be ready yet.
func StartNode(program, dir string, c any, listen, discovery string, log io.Writer, args ...string) (*Node, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	n := &Node{Addr: listen, ConfigPath: filepath.Join(dir, "config.json"), end: make(chan struct{})}
	if err := os.WriteFile(n.ConfigPath, append(text, '\n'), 0o600); err != nil {
		return nil, err
	}
	n.Cmd = exec.Command(program, args...)
	n.Cmd.Env = append(os.Environ(), "PROXY_CONFIG="+n.ConfigPath, "PROXY_DISCOVERY="+discovery)
	n.Cmd.Stdout, n.Cmd.Stderr = log, log
	if err := n.Cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		n.err = n.Cmd.Wait()
		close(n.end)
	}()
	return n, nil
}

// Exited is closed when the process has ended.
func (n *Node) Exited() <-chan struct{} { return n.end }

// Err is how it ended, once it has.
func (n *Node) Err() error { return n.err }

// Signal sends it a signal.
func (n *Node) Signal(s os.Signal) error { return n.Cmd.Process.Signal(s) }

// Kill ends it at once and waits for that.
func (n *Node) Kill() {
	n.Cmd.Process.Kill()
	<-n.end
}

// Stop ends it with SIGTERM and waits, at most for a time; then it is killed.
func (n *Node) Stop(within time.Duration) error {
	n.Signal(syscall.SIGTERM)
	select {
	case <-n.end:
		return n.err
	case <-time.After(within):
		n.Kill()
		return errors.New("the node did not end in time and was killed")
	}
}

// WaitReady waits until GET /ready answers 200.
func (n *Node) WaitReady(within time.Duration) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		select {
		case <-n.end:
			return fmt.Errorf("the node has ended: %w", errors.Join(n.err, errEnded))
		default:
		}
		res, err := client.Get("http://" + n.Addr + "/ready")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the node is not ready in time")
}

var errEnded = errors.New("before it was ready")
