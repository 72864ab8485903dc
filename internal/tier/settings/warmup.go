package settings

// Warmup limits what all edges together send to a cold server: in any second at most Overrun times the
// rate that its pool states, plus Slack. Both stand in the table timingBounds.
type Warmup struct {
	Overrun float64 // warmupOverrun; 0 if not stated
	Slack   float64 // warmupSlack, in requests; 0 if not stated
}

// warmup reads the limits of cold servers from the table timingBounds.
func (t table) warmup() (w Warmup) {
	w.Overrun, _ = t.number("warmupOverrun")
	w.Slack, _ = t.number("warmupSlack")
	return w
}
