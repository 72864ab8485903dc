package jsonlog

import (
	"log/slog"

	"github.com/go-logr/logr"
	"k8s.io/klog/v2"
)

// Logger returns a logger that writes to klog, for packages that need a slog.Logger.
func Logger() *slog.Logger { return slog.New(logr.ToSlogHandler(klog.Background())) }
