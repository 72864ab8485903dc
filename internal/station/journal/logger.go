package journal

import (
	"log/slog"

	"github.com/go-logr/logr"
	"k8s.io/klog/v2"
)

// Logger returns a logger whose lines take the same way as klog's, for packages that are
// handed one.
func Logger() *slog.Logger { return slog.New(logr.ToSlogHandler(klog.Background())) }
