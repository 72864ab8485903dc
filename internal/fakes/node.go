package fakes

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

// NodeConfig is a node's configuration file, in the platform's format.
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

// Node is a running process of the real program.
type Node struct {
	Cmd        *exec.Cmd
	Addr       string
	ConfigPath string // of its configuration file
	exited     chan struct{}
	err        error
}

// StartNode writes the configuration to dir and starts the program with it. The program's output
// goes to log. StartNode doesn't wait until the node is ready.
func StartNode(program, dir string, c any, listen, discovery string, log io.Writer, args ...string) (*Node, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	n := &Node{Addr: listen, ConfigPath: filepath.Join(dir, "config.json"), exited: make(chan struct{})}
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
		close(n.exited)
	}()
	return n, nil
}

// Exited returns a channel that is closed when the process has exited.
func (n *Node) Exited() <-chan struct{} { return n.exited }

// Err returns the error with which the process exited. It is valid after Exited is closed.
func (n *Node) Err() error { return n.err }

// Signal sends the process a signal.
func (n *Node) Signal(s os.Signal) error { return n.Cmd.Process.Signal(s) }

// Kill kills the process and waits until it has exited.
func (n *Node) Kill() {
	n.Cmd.Process.Kill()
	<-n.exited
}

// Stop sends SIGTERM and waits until the process has exited. After the timeout it kills the process.
func (n *Node) Stop(timeout time.Duration) error {
	n.Signal(syscall.SIGTERM)
	select {
	case <-n.exited:
		return n.err
	case <-time.After(timeout):
		n.Kill()
		return errors.New("the node did not exit in time and was killed")
	}
}

// WaitReady waits until GET /ready answers with status 200.
func (n *Node) WaitReady(timeout time.Duration) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		select {
		case <-n.exited:
			return fmt.Errorf("the node has exited: %w", errors.Join(n.err, errExitedEarly))
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
	return errors.New("the node was not ready in time")
}

// errExitedEarly says that a node exited before GET /ready answered with status 200.
var errExitedEarly = errors.New("before it was ready")
