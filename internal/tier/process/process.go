// Package process holds what all tier processes have in common: settings, resource limits, the log,
// signals, and that no failure but unusable settings ends a process.
package process

import (
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"

	"github.com/go-faster/errors"

	"oakseam/internal/tier/jsonlog"
	"oakseam/internal/tier/settings"
)

// Exit codes of the programs.
const (
	ExitFailed = 1 // a command that is no role failed
	ExitUsage  = 2 // invalid command line, settings or configuration
)

const (
	// softMemoryLimitShare is the share of the memory limit from which the garbage collector
	// runs more often.
	softMemoryLimitShare = 0.7
	// gcPercent is how much the heap may grow before a collection, in percent of the live heap.
	gcPercent = 100
)

// ErrNoSettings means that the environment variable with the path of the settings file is
// not set.
var ErrNoSettings = errors.New(settings.PathVariable + " isn't set: it holds the path of the settings file")

// SettingsError reports settings that a process can't use.
type SettingsError struct{ Cause error }

// Error implements error.
func (e *SettingsError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SettingsError) Unwrap() error { return e.Cause }

// prepare reads the settings, applies the resource limits and starts the log.
func prepare(level slog.Level) (*settings.Settings, error) {
	path := settings.Path()
	if path == "" {
		return nil, &SettingsError{Cause: ErrNoSettings}
	}
	s, err := settings.Read(path)
	if err != nil {
		return nil, &SettingsError{Cause: err}
	}
	runtime.GOMAXPROCS(max(s.Limits.CoreCount, 1))
	debug.SetGCPercent(gcPercent)
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(softMemoryLimitShare * float64(s.Limits.MemoryMB) * (1 << 20)))
	}
	jsonlog.Start(os.Stderr, s.NodeName, s.Role, level)
	return s, nil
}

// InternalSeeds returns the net/rpc addresses of the core nodes at the seed nodes. All
// machines use the same ports. The offset selects the role's port.
func InternalSeeds(s *settings.Settings, offset int) []string {
	var seeds []string
	for _, seed := range s.SeedNodes {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			seeds = append(seeds, net.JoinHostPort(host, strconv.Itoa(s.InternalPortRange[0]+offset)))
		}
	}
	return seeds
}

// InternalAddress returns this machine's net/rpc address for other processes of the tier.
// The offset selects the role's port.
func InternalAddress(s *settings.Settings, offset int) string {
	return net.JoinHostPort(s.ManagementIP.String(), strconv.Itoa(s.InternalPortRange[0]+offset))
}
