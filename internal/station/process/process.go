// Package process is what the start of every process of the tier has in common: its
// settings, its limits and the signals that end it.
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
	"k8s.io/klog/v2"

	"pipitmux/internal/station/journal"
	"pipitmux/internal/station/settings"
)

// Exit codes of the programs.
const (
	ExitFailed = 1 // something broke
	ExitUsage  = 2 // the command line or a file is at fault
)

// memoryShare is the part of the memory limit at which the collector works harder, and
// collectAt how much of what is in use may be added before it runs, in percent.
const (
	memoryShare = 0.7
	collectAt   = 100
)

// ErrNoSettings tells that the variable with the settings file's path isn't set.
var ErrNoSettings = errors.New(settings.PathVariable + " isn't set: it holds the path of the settings file")

// Start reads the settings and takes the limits and the logs in hand. The context ends
// with the signal that ends the process.
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
	debug.SetGCPercent(collectAt)
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB) * (1 << 20)))
	}
	journal.Start(os.Stderr, s.NodeName, s.Role, level)
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	go heedReload(path)
	return s, ctx, nil
}

// heedReload reads the settings file again when told to. What is under way goes on; a
// file that can't be used changes nothing, and the log names the key at fault.
func heedReload(path string) {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGHUP)
	for range told {
		if _, err := settings.Read(path); err != nil {
			klog.ErrorS(err, "The changed settings can't be used; the earlier ones stay in force")
			continue
		}
		klog.InfoS("The settings were read again; they take effect with the next start")
	}
}

// InternalSeeds gives the net/rpc addresses of the core nodes at the seeds: all machines
// use the same ports.
func InternalSeeds(s *settings.Settings, offset int) []string {
	var seeds []string
	for _, seed := range s.SeedNodes {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			seeds = append(seeds, net.JoinHostPort(host, strconv.Itoa(s.InternalPortRange[0]+offset)))
		}
	}
	return seeds
}

// InternalAddress is this machine's address for other processes of the tier.
func InternalAddress(s *settings.Settings, offset int) string {
	return net.JoinHostPort(s.ManagementIP.String(), strconv.Itoa(s.InternalPortRange[0]+offset))
}
