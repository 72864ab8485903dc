package processtest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/store"
	tierfakes "oakseam/internal/fakes/tier"
)

const (
	// reloads is how many reload signals are sent, of which each makes a process write a log line.
	reloads        = 300
	reloadInterval = 2 * time.Millisecond
	// startsUnderSignals and overlappingRestarts are how often a start is repeated that may go wrong.
	startsUnderSignals  = 5
	overlappingRestarts = 6
	// pageBytes is the smallest capacity of a pipe.
	pageBytes = 4096
	// smallFileBytes is a limit of file sizes under which no database fits.
	smallFileBytes = 4096
	// addressSpaceKiB is the least address space that a process is promised to run in.
	addressSpaceKiB = 1536 << 10
)

// forEachRole runs a test with one machine of each role. The machines belong to one tier without
// other processes.
func forEachRole(t *testing.T, test func(t *testing.T, m *machine)) {
	for _, m := range newTier(t, 1, 1, 1).all() {
		t.Run(m.Command, func(t *testing.T) {
			t.Parallel()
			test(t, m.in(t))
		})
	}
}

// forEachStoringRole runs a test with one machine of each role that has a disk.
func forEachStoringRole(t *testing.T, test func(t *testing.T, m *machine)) {
	for _, m := range newTier(t, 1, 1, 0).all() {
		t.Run(m.Command, func(t *testing.T) {
			t.Parallel()
			test(t, m.in(t))
		})
	}
}

// newPipe returns the ends of a pipe of the smallest capacity.
func newPipe(t *testing.T) (reader, writer *os.File) {
	t.Helper()
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	_, err = unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, pageBytes)
	assert.NilError(t, err)
	t.Cleanup(func() { reader.Close(); writer.Close() })
	return reader, writer
}

// reload sends the process reload signals.
func (p *process) reload() {
	for range reloads {
		p.signal(syscall.SIGHUP)
		time.Sleep(reloadInterval)
	}
}

// Guards against a process that ends with SIGPIPE when the reader of its log goes away.
func TestProcessOutlivesTheReaderOfItsLog(t *testing.T) {
	forEachRole(t, func(t *testing.T, m *machine) {
		reader, writer := newPipe(t)
		m.startWith(true, writer, m.Program, m.Command)
		awaitServing(t, m)
		assert.NilError(t, reader.Close())
		m.process.reload()
		m.requireAlive(settleTime, "after the reader of its log went away")
		m.requireStops()
	})
}

// Guards against a process that stops serving because nobody reads its log any more.
func TestProcessServesWhileNobodyReadsItsLog(t *testing.T) {
	forEachRole(t, func(t *testing.T, m *machine) {
		_, writer := newPipe(t)
		m.startWith(true, writer, m.Program, m.Command)
		awaitServing(t, m)
		m.process.reload()
		if m.Command == "coordinate" {
			assert.Assert(t, m.takesConfiguration(), "the answer waits for a line of the log")
		}
		awaitServing(t, m)
		m.requireStops()
	})
}

// Guards against a process that is ended by a reload signal in its first milliseconds.
func TestReloadSignalDuringStartEndsNoProcess(t *testing.T) {
	forEachRole(t, func(t *testing.T, m *machine) {
		for range startsUnderSignals {
			m.start(true)
			await(t, startTimeout, "a disposition of SIGHUP", m.process.hasHandlerOfReload)
			m.process.reload()
			m.requireAlive(0, "after reload signals during its start")
			awaitServing(t, m)
			m.process.kill()
		}
	})
}

// hasHandlerOfReload reports whether the process no longer has the default disposition of SIGHUP.
func (p *process) hasHandlerOfReload() bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(text)) {
		var mask uint64
		name, value, _ := strings.Cut(line, ":")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		if _, err := fmt.Sscanf(value, "%x", &mask); err == nil && mask&(1<<(uint(syscall.SIGHUP)-1)) != 0 {
			return true
		}
	}
	return false
}

// Guards against a process that is ended by a signal which only informs.
func TestInformingSignalsEndNoProcess(t *testing.T) {
	signals := []syscall.Signal{syscall.SIGHUP, syscall.SIGQUIT, syscall.SIGPIPE, syscall.SIGALRM, syscall.SIGUSR1, syscall.SIGUSR2,
		syscall.SIGCHLD, syscall.SIGURG, syscall.SIGXCPU, syscall.SIGXFSZ, syscall.SIGVTALRM, syscall.SIGPROF, syscall.SIGWINCH,
		syscall.SIGIO, syscall.SIGPWR, syscall.SIGTSTP, syscall.SIGCONT}
	forEachRole(t, func(t *testing.T, m *machine) {
		m.start(true)
		awaitServing(t, m)
		for _, s := range signals {
			m.process.signal(s)
			m.process.signal(syscall.SIGCONT)
			m.requireAlive(settleTime/10, "after "+s.String())
		}
		awaitServing(t, m)
		m.requireStops()
	})
}

// ports returns the addresses that a machine's process listens on.
func ports(m *machine) map[string]string {
	switch m.Command {
	case "coordinate":
		return map[string]string{"operators": m.Control(), "internal": m.Internal(0)}
	case "keep":
		return map[string]string{"internal": m.Internal(1)}
	}
	return map[string]string{"front": m.Front(), "readiness": m.Readiness()}
}

// Guards against a process that ends because another one still holds one of its ports.
func TestHeldPortDelaysStart(t *testing.T) {
	forEachRole(t, func(t *testing.T, m *machine) {
		for name, address := range ports(m) {
			held, err := net.Listen("tcp", address)
			assert.NilError(t, err)
			defer held.Close()
			m.start(true)
			m.awaitLog(roleFailed)
			m.requireAlive(settleTime, "while its port is held: "+name)
			assert.NilError(t, held.Close())
			awaitServing(t, m)
			m.requireStops()
		}
	})
}

// Guards against a process that ends because its address isn't on the machine yet, and against one
// that can't be told to end meanwhile.
func TestMissingAddressDelaysStart(t *testing.T) {
	forEachRole(t, func(t *testing.T, m *machine) {
		m.IP = "192.0.2.1" // for documentation: on no machine
		m.start(true)
		m.awaitLog(roleFailed)
		m.requireAlive(settleTime, "while its address is missing")
		m.requireStops()
	})
}

// Guards against a process that ends because its files may not grow, at the start and in service.
func TestFileSizeLimitDelaysWrites(t *testing.T) {
	forEachStoringRole(t, func(t *testing.T, m *machine) {
		// The shell counts in blocks of 512 bytes.
		m.startWith(true, nil, "/bin/sh", "-c", fmt.Sprintf("ulimit -S -f %d; exec %s %s", smallFileBytes/512, m.Program, m.Command))
		m.awaitLog(roleFailed)
		m.requireAlive(settleTime, "while files are limited to 4 KiB")
		assert.NilError(t, m.process.limitFiles(unix.RLIM_INFINITY))
		awaitServing(t, m)
		assert.NilError(t, m.process.limitFiles(smallFileBytes))
		m.requireAlive(time.Second, "while files are limited to 4 KiB in service")
		assert.NilError(t, m.process.limitFiles(unix.RLIM_INFINITY))
		awaitServing(t, m)
		m.requireStops()
	})
}

// Guards against a core node that ends when a write goes beyond the largest file size, and against one
// that serves no more once there is room.
func TestFileSizeLimitInServiceDelaysWrites(t *testing.T) {
	m := newTier(t, 1, 0, 0).cores[0]
	m.start(true)
	awaitServing(t, m)
	assert.NilError(t, m.process.limitFiles(smallFileBytes))
	m.takesConfiguration()
	m.requireAlive(settleTime, "after a write beyond the largest file size")
	assert.NilError(t, m.process.limitFiles(unix.RLIM_INFINITY))
	await(t, startTimeout, "a configuration is acknowledged", m.takesConfiguration)
	assert.Assert(t, !strings.Contains(m.process.log.String(), "The role failed"), "the write has to wait for room")
	m.requireStops()
}

// limitFiles sets the soft limit of the process's file sizes.
func (p *process) limitFiles(bytes uint64) error {
	return unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}, nil)
}

// Guards against a process that ignores SIGTERM while it waits for space on its disk.
func TestProcessThatWaitsForSpaceStops(t *testing.T) {
	forEachStoringRole(t, func(t *testing.T, m *machine) {
		m.startWith(true, nil, "/bin/sh", "-c", fmt.Sprintf("ulimit -S -f %d; exec %s %s", smallFileBytes/512, m.Program, m.Command))
		m.awaitLog(roleFailed)
		m.requireAlive(settleTime, "while files are limited to 4 KiB")
		m.requireStops()
	})
}

// Guards against a process that ends because the process before it still holds the disk.
func TestHeldStoreDelaysStart(t *testing.T) {
	forEachStoringRole(t, func(t *testing.T, m *machine) {
		held, err := store.Open(m.Disk())
		assert.NilError(t, err)
		defer held.Close()
		m.start(true)
		m.awaitLog(roleFailed)
		m.requireAlive(settleTime, "while its store is held")
		assert.NilError(t, held.Close())
		awaitServing(t, m)
		m.requireStops()
	})
}

// Guards against a process that ends because its data folder can't be made yet.
func TestMissingDataFolderDelaysStart(t *testing.T) {
	forEachStoringRole(t, func(t *testing.T, m *machine) {
		assert.NilError(t, m.WipeDisk())
		assert.NilError(t, os.WriteFile(m.Disk(), nil, 0o600))
		m.start(true)
		m.awaitLog(roleFailed)
		m.requireAlive(settleTime, "while a file stands in place of its data folder")
		assert.NilError(t, os.Remove(m.Disk()))
		awaitServing(t, m)
		m.requireStops()
	})
}

// Guards against a process that starts on settings which it can't use, or doesn't say so.
func TestUnusableSettingsEndProcess(t *testing.T) {
	forEachRole(t, func(t *testing.T, m *machine) {
		for _, text := range []string{"", "nodeName = 1", "not toml ["} {
			path := filepath.Join(m.Folder, "broken.toml")
			assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
			m.startWith(true, nil, "/usr/bin/env", "OAKSEAM_NODE_FILE="+path, m.Program, m.Command)
			await(t, stopTimeout, "ends", m.process.ended)
			assert.Equal(t, m.process.command.ProcessState.ExitCode(), 2)
			assert.Assert(t, strings.Contains(m.process.log.String(), path), m.process.log.String())
		}
	})
}

// Guards against a process that ends when it has few descriptors.
func TestFewDescriptorsEndNoProcess(t *testing.T) {
	forEachRole(t, func(t *testing.T, m *machine) {
		for _, descriptors := range []int{16, 32, 256} {
			m.startWith(true, nil, "/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s %s", descriptors, m.Program, m.Command))
			m.awaitLog(processStarted)
			m.requireAlive(settleTime, fmt.Sprintf("with %d descriptors", descriptors))
			m.requireStops()
		}
	})
}

// Guards against a process that ends when its standard streams are closed.
func TestClosedStandardStreamsEndNoProcess(t *testing.T) {
	forEachRole(t, func(t *testing.T, m *machine) {
		m.startWith(true, nil, "/bin/sh", "-c", fmt.Sprintf("exec %s %s <&- >&- 2>&-", m.Program, m.Command))
		awaitServing(t, m)
		m.process.reload()
		m.requireAlive(settleTime, "with closed standard streams")
		m.requireStops()
	})
}

// Guards against a process that is ended by what arrives at its ports.
func TestBytesFromOutsideEndNoProcess(t *testing.T) {
	const seed, connections = 65, 300
	forEachRole(t, func(t *testing.T, m *machine) {
		m.start(true)
		awaitServing(t, m)
		random := rand.New(rand.NewPCG(seed, 0))
		for _, address := range ports(m) {
			for range connections {
				sendBytes(t, random, address)
			}
		}
		m.requireAlive(settleTime, "after bytes of no protocol")
		awaitServing(t, m)
		m.requireStops()
	})
}

// openings are the first bytes of calls, of which random ones follow.
var openings = []string{"", "GET / HTTP/1.1\r\n", "POST /api/Configuration.Replace HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n",
	"POST /api/Tallies.Modify/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n", "\x00\x00\x00\x10", "\x01\x00\x00\x00\x20\x7f"}

// sendBytes sends random bytes to an address on a connection of their own.
func sendBytes(t *testing.T, random *rand.Rand, address string) {
	t.Helper()
	assert.NilError(t, sendBytesWhereHeard(random, address))
}

// sendBytesWhereHeard is sendBytes, with an error if nobody listens at the address.
func sendBytesWhereHeard(random *rand.Rand, address string) error {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer connection.Close()
	sent := []byte(openings[random.IntN(len(openings))])
	for range random.IntN(200) {
		sent = append(sent, byte(random.Uint32()))
	}
	_, _ = connection.Write(sent) // the process may have closed the connection
	if random.IntN(4) == 0 {
		_ = connection.(*net.TCPConn).SetLinger(0) // reset
	}
	return nil
}

// Guards against a process that can't be started again the moment it has been killed, or while the
// one before it still shuts down.
func TestRestartWhileTheLastProcessEnds(t *testing.T) {
	forEachRole(t, func(t *testing.T, m *machine) {
		m.start(true)
		awaitServing(t, m)
		for round := range overlappingRestarts {
			last := m.process
			last.signal([]syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[round%2])
			m.start(false)
			await(t, tierfakes.StopTimeout, "the last process ends", last.ended)
			m.requireAlive(settleTime, "after a start beside the process before it")
			awaitServing(t, m)
		}
	})
}

// Guards against a process that needs much more address space than memory: the C library and the runtime
// reserve it by the thread.
func TestLittleAddressSpaceEndsNoProcess(t *testing.T) {
	forEachRole(t, func(t *testing.T, m *machine) {
		m.startWith(true, nil, "/bin/sh", "-c", fmt.Sprintf("ulimit -v %d; exec %s %s", addressSpaceKiB, m.Program, m.Command))
		awaitServing(t, m)
		m.process.reload()
		m.requireAlive(settleTime, "with little address space")
		m.requireStops()
	})
}
