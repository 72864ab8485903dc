package tierlab

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"oakseam/internal/latency"
)

const (
	// probeInterval is the interval between two writes of the disk probe.
	probeInterval = 100 * time.Millisecond
	// maxProbeMicroseconds is the largest write time that the histogram resolves.
	maxProbeMicroseconds = int64(time.Minute / time.Microsecond)
)

// probeDisk repeatedly syncs a small write to the disk that all machines share, until ctx ends. It
// returns how long the writes took. If they are slow, the tier's answers are slow as well.
func probeDisk(ctx context.Context, folder string) (latency.Quantiles, error) {
	times := hdrhistogram.New(1, maxProbeMicroseconds, 3)
	file, err := os.Create(filepath.Join(folder, "probe"))
	if err != nil {
		return latency.Quantiles{}, errors.Wrap(err, "probe of the disk")
	}
	defer file.Close()
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		start := time.Now()
		if _, err := file.WriteAt([]byte{1}, 0); err != nil {
			return latency.Quantiles{}, errors.Wrap(err, "probe of the disk")
		}
		if err := file.Sync(); err != nil {
			return latency.Quantiles{}, errors.Wrap(err, "probe of the disk")
		}
		times.RecordValue(time.Since(start).Microseconds())
		select {
		case <-tick.C:
		case <-ctx.Done():
			return latency.FromHistogram(times), nil
		}
	}
}
