package durable_test

import (
	"bufio"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakseam/internal/durable"
)

// TestMain lets the test program also be the writer process that is killed.
func TestMain(m *testing.M) {
	if dir := os.Getenv("DURABLE_WRITE_TO"); dir != "" {
		for i := 0; ; i++ {
			value := make([]byte, 100000*(1+2*(i%2)))
			for j := range value {
				value[j] = byte('1' + i%2)
			}
			if err := durable.Directory(dir).Write("a", value); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(1)
			}
			fmt.Println(i)
		}
	}
	os.Exit(m.Run())
}

// runAndKillWriter starts a process that writes in a loop, and kills it after some writes.
func runAndKillWriter(dir string, after int) error {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "DURABLE_WRITE_TO="+dir)
	out, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	in := bufio.NewScanner(out)
	for range after {
		if !in.Scan() {
			return errors.Join(errors.New("the writer exited by itself"), c.Wait())
		}
	}
	c.Process.Signal(syscall.SIGKILL)
	c.Wait()
	return nil
}

// limitFileSize limits the files of this process to a few bytes, as a full disk would. The log
// that go test makes a test program write is also such a file.
func limitFileSize(t *testing.T) {
	signal.Ignore(syscall.SIGXFSZ)
	var was syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_FSIZE, &was))
	t.Cleanup(func() { syscall.Setrlimit(syscall.RLIMIT_FSIZE, &was) })
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: 4, Max: was.Max}))
}

// The directory is tested in a process of its own that writes no other files.
func TestStoreContractDirectory(t *testing.T) {
	if os.Getenv("DURABLE_JUDGE") == "" {
		c := exec.Command(os.Args[0], "-test.run=^TestStoreContractDirectory$", "-test.v")
		c.Env = append(os.Environ(), "DURABLE_JUDGE=folder")
		out, err := c.CombinedOutput()
		require.NoError(t, err, "%s", out)
		require.Contains(t, string(out), "PASS: TestStoreContractDirectory/a_full_disk")
		return
	}
	checkStore(t, func(t *testing.T) Place {
		dir, kills := t.TempDir(), 0
		return Place{
			Open: func() durable.Store { return durable.Directory(dir) },
			Corrupt: func(name string, change func([]byte) []byte) error {
				text, err := os.ReadFile(filepath.Join(dir, name))
				if err != nil {
					return err
				}
				return os.WriteFile(filepath.Join(dir, name), change(text), 0o600)
			},
			Fill:  func() { limitFileSize(t) },
			Crash: func(string, [][]byte) error { kills++; return runAndKillWriter(dir, kills) },
		}
	})
}

func memory(*testing.T) Place { return memoryPlace(&durable.MemoryStore{}, nil) }

// memoryPlace returns a place in memory whose stores may be wrapped, correctly or wrongly.
func memoryPlace(m *durable.MemoryStore, wrap func(*durable.MemoryStore) durable.Store) Place {
	return Place{
		Open: func() durable.Store {
			if wrap != nil {
				return wrap(m)
			}
			return m
		},
		Corrupt: func(name string, change func([]byte) []byte) error { m.Corrupt(name, change); return nil },
		Fill:    func() { m.SetFreeSpace(5) },
	}
}

func TestStoreContractMemory(t *testing.T) { checkStore(t, memory) }

// wrong is a store that breaks one promise.
type wrong struct {
	*durable.MemoryStore
	write func(m *durable.MemoryStore, name string, value []byte) error
	read  func(m *durable.MemoryStore, name string) ([]byte, error)
}

func (w wrong) Write(name string, value []byte) error {
	if w.write != nil {
		return w.write(w.MemoryStore, name, value)
	}
	return w.MemoryStore.Write(name, value)
}

func (w wrong) Read(name string) ([]byte, error) {
	if w.read != nil {
		return w.read(w.MemoryStore, name)
	}
	return w.MemoryStore.Read(name)
}

// Guards against clauses that check nothing: a store that breaks a promise must fail its clause
// and no clauses but those listed.
func TestStoreContractDetectsViolations(t *testing.T) {
	var mu sync.Mutex
	var last []byte
	for name, tt := range map[string]struct {
		store wrong
		place func(Place) Place
		fails []string
		more  bool // other clauses may fail as well
	}{
		"invents a value": {store: wrong{read: func(m *durable.MemoryStore, n string) ([]byte, error) {
			v, err := m.Read(n)
			if errors.Is(err, fs.ErrNotExist) {
				return nil, nil
			}
			return v, err
		}}, fails: []string{"a name that was never written does not exist", "a full disk leaves the old value"}},
		"keeps values only in the process": {place: func(p Place) Place {
			first := p.Open()
			var opened atomic.Int32 // writers open their stores concurrently
			p.Open = func() durable.Store {
				if opened.Add(1) == 1 {
					return first
				}
				return &durable.MemoryStore{}
			}
			return p
		}, fails: []string{"a written value is read, also by a later store"}, more: true},
		"returns its own buffer": {store: wrong{write: func(m *durable.MemoryStore, n string, v []byte) error {
			mu.Lock()
			defer mu.Unlock()
			last = v
			return m.Write(n, v)
		}, read: func(m *durable.MemoryStore, n string) ([]byte, error) {
			got, err := m.Read(n)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && n == "a" && len(last) == len(got) && len(got) == len("value") {
				return last, nil
			}
			return got, err
		}}, fails: []string{"callers own their buffers"}},
		"folds case": {store: wrong{write: func(m *durable.MemoryStore, n string, v []byte) error {
			if n == "A" {
				n = "a"
			}
			return m.Write(n, v)
		}}, fails: []string{"names are distinct and plain"}},
		"truncates long values": {store: wrong{write: func(m *durable.MemoryStore, n string, v []byte) error {
			return m.Write(n, v[:min(len(v), durable.MaxValueSize)])
		}}, fails: []string{"the largest value is stored and a longer one rejected"}},
		"accepts torn values": {store: wrong{read: func(m *durable.MemoryStore, n string) ([]byte, error) {
			v, err := m.Read(n)
			if errors.Is(err, durable.ErrTorn) {
				return []byte("a val"), nil
			}
			return v, err
		}}, fails: []string{"a value truncated anywhere is torn", "foreign data and other versions are distinguished"}},
		"reads other versions": {store: wrong{read: func(m *durable.MemoryStore, n string) ([]byte, error) {
			v, err := m.Read(n)
			if errors.Is(err, durable.ErrVersion) {
				return []byte("value"), nil
			}
			return v, err
		}}, fails: []string{"foreign data and other versions are distinguished"}},
		"loses the old value on a full disk": {store: wrong{write: func(m *durable.MemoryStore, n string, v []byte) error {
			err := m.Write(n, v)
			if errors.Is(err, durable.ErrFull) {
				m.Corrupt(n, func([]byte) []byte { return nil })
			}
			return err
		}}, fails: []string{"a full disk leaves the old value"}},
		"mixes two writers": {store: wrong{write: func(m *durable.MemoryStore, n string, v []byte) error {
			if len(v) == 20003 {
				v = append(v[:1:1], make([]byte, 20000)...)
			}
			return m.Write(n, v)
		}}, fails: []string{"of two writers of a name one wins whole"}},
		"is torn by a crash": {place: func(p Place) Place {
			p.Crash = func(n string, _ [][]byte) error {
				return p.Corrupt(n, func(b []byte) []byte { return b[:len(b)/2] })
			}
			return p
		}, fails: []string{"a crash leaves the old or the new value"}},
	} {
		var failed []string
		for _, c := range Clauses {
			p := memoryPlace(&durable.MemoryStore{}, func(m *durable.MemoryStore) durable.Store {
				w := tt.store
				w.MemoryStore = m
				return w
			})
			if tt.place != nil {
				p = tt.place(p)
			}
			if c.Check(p) != nil {
				failed = append(failed, c.Name)
			}
		}
		if tt.more {
			assert.Subset(t, failed, tt.fails, name)
		} else {
			assert.Equal(t, tt.fails, failed, name)
		}
	}
}
