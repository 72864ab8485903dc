// Package latency summarizes latency histograms for the emulator and the load tool.
package latency

import "github.com/HdrHistogram/hdrhistogram-go"

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// FromHistogram returns the quantiles of a histogram whose values are in microseconds.
func FromHistogram(h *hdrhistogram.Histogram) Quantiles {
	q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	return Quantiles{q(50), q(90), q(99), q(99.9), q(100)}
}
