package tierlab

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"pipitmux/internal/latency"
)

const (
	// probeEvery is the pause between two writes of the disk's probe.
	probeEvery = 100 * time.Millisecond
	// probeLongest is the longest write that is told apart, in microseconds.
	probeLongest = int64(time.Minute / time.Microsecond)
)

// probeDisk syncs a small write to the disk that the machines share, again and again until
// ctx ends, and returns how long that took. Where it is long, so are the tier's answers.
func probeDisk(ctx context.Context, folder string) (latency.Quantiles, error) {
	times := hdrhistogram.New(1, probeLongest, 3)
	file, err := os.Create(filepath.Join(folder, "probe"))
	if err != nil {
		return latency.Quantiles{}, errors.Wrap(err, "probe of the disk")
	}
	defer file.Close()
	tick := time.NewTicker(probeEvery)
	defer tick.Stop()
	for {
		from := time.Now()
		if _, err := file.WriteAt([]byte{1}, 0); err != nil {
			return latency.Quantiles{}, errors.Wrap(err, "probe of the disk")
		}
		if err := file.Sync(); err != nil {
			return latency.Quantiles{}, errors.Wrap(err, "probe of the disk")
		}
		times.RecordValue(time.Since(from).Microseconds())
		select {
		case <-tick.C:
		case <-ctx.Done():
			return latency.FromHistogram(times), nil
		}
	}
}
