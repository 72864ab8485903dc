package process

import (
	"context"
	"log/slog"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"oakseam/internal/tier/jsonlog"
	"oakseam/internal/tier/settings"
	"oakseam/internal/wait"
)

const (
	// minRestartPause and maxRestartPause bound the pause before a failed role is started again. It
	// doubles with each failure of a role that ran for less than steadyAfter.
	minRestartPause = 50 * time.Millisecond
	maxRestartPause = time.Second
	steadyAfter     = 10 * time.Second
	// failureLogInterval is the least time between two lines about failures that are alike.
	failureLogInterval = 10 * time.Second
)

// Role does the work of a process until ctx ends. It ends all that it started before it returns, so
// that it can be called again.
type Role func(ctx context.Context, s *settings.Settings) error

// Run runs a role with the settings of the process until SIGTERM or an interrupt. It starts a role that
// fails again: a port, an address, a disk or the process before this one may not be ready yet. Only
// unusable settings end it with an error.
func Run(level slog.Level, role Role) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := prepare(level)
	if err != nil {
		return err
	}
	go handleInformingSignals()
	klog.InfoS("Process started", "pid", syscall.Getpid(), "bootstrap", s.Bootstrap)
	err = runAgain(ctx, s, role)
	if err == nil {
		klog.InfoS("Process ends as it was told to")
	}
	return err
}

// runAgain runs a role, and runs it again whenever it fails, until ctx ends.
func runAgain(ctx context.Context, s *settings.Settings, role Role) error {
	pause := minRestartPause
	for {
		started := time.Now()
		err := role(ctx, s)
		if ctx.Err() != nil || err == nil {
			return nil
		}
		if isUnusableSettings(err) {
			return err
		}
		if time.Since(started) >= steadyAfter {
			pause = minRestartPause
		}
		if alike, ok := jsonlog.Allow("role failed: "+err.Error(), failureLogInterval); ok {
			klog.ErrorS(err, "The role failed; starting it again", "pause", pause, "alike", alike)
		}
		if !wait.For(ctx, pause) {
			return nil
		}
		pause = min(2*pause, maxRestartPause)
	}
}

// isUnusableSettings reports whether an error is about the settings, so that trying again is useless.
func isUnusableSettings(err error) bool {
	var unusable *SettingsError
	var field *settings.FieldError
	return errors.As(err, &unusable) || errors.As(err, &field)
}
