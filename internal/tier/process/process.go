// Package process holds the common startup of all tier processes: settings, resource limits,
// logging and signals.
package process

import (
	"context"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/go-faster/errors"

	"oakseam/internal/tier/jsonlog"
	"oakseam/internal/tier/settings"
)

// Exit codes of the programs.
const (
	ExitFailed = 1 // a failure at run time
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

// Start reads the settings, applies the resource limits and starts the log. The context is
// canceled by SIGTERM and by an interrupt.
func Start(level slog.Level) (*settings.Settings, context.Context, error) {
	path := settings.Path()
	if path == "" {
		return nil, nil, ErrNoSettings
	}
	s, err := settings.Read(path)
	if err != nil {
		return nil, nil, err
	}
	runtime.GOMAXPROCS(max(s.Limits.CoreCount, 1))
	debug.SetGCPercent(gcPercent)
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(softMemoryLimitShare * float64(s.Limits.MemoryMB) * (1 << 20)))
	}
	jsonlog.Start(os.Stderr, s.NodeName, s.Role, level)
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	go handleInformingSignals()
	return s, ctx, nil
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
