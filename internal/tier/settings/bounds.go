package settings

import "time"

// Bounds are the time limits of the tier, set by the operators in the table
// timingBounds. Each is at least zero and at most MaxBound. The comments give the
// key and the default.
type Bounds struct {
	SeedLag        time.Duration // seedLagS, 3 s
	AddressReuse   time.Duration // addrReuseS, 2 s
	Contact        time.Duration // contactMs, 3000 ms
	Acknowledge    time.Duration // ackMs, 4000 ms
	SyncTime       time.Duration // syncTimeS, 4.1 s
	Drain          time.Duration // drainMs, 3000 ms
	Grace          time.Duration // graceS, 8 s
	LossSlack      time.Duration // lossSlackMs, 200 ms
	ConfigApply    time.Duration // configApplyMs, 2000 ms
	DowngradeSlack time.Duration // downgradeSlackMs, 250 ms
	SkewMax        time.Duration // skewMaxMs, 5000 ms
	Evacuate       time.Duration // evacuateMs, 5000 ms
	Recovery       time.Duration // recoveryS, 12 s
	Pass           time.Duration // pass_ms, 120 ms
	Again          time.Duration // again_s, 0 s
	Finish         time.Duration // finishS, 10 s
	Settle         time.Duration // settleMs, 1000 ms
	Merge          time.Duration // mergeMs, 3000 ms
}

// MaxBound is the longest time that the file may state.
const MaxBound = 7 * 24 * time.Hour

// Defaults of times outside the table timingBounds.
const (
	DefaultHeartbeat = 1200 * time.Millisecond // heartbeatMs
	DefaultMaxLag    = 800 * time.Millisecond  // cloudApi.maxLagMs
)

// bound connects a key of the table timingBounds with its field.
type bound struct {
	key      string
	unit     time.Duration // unit of the number in the file
	fallback time.Duration
	field    *time.Duration
}

// list returns all bounds with their keys, units and defaults.
func (b *Bounds) list() []bound {
	const ms, s = time.Millisecond, time.Second
	return []bound{
		{"seedLagS", s, 3 * s, &b.SeedLag},
		{"addrReuseS", s, 2 * s, &b.AddressReuse},
		{"contactMs", ms, 3000 * ms, &b.Contact},
		{"ackMs", ms, 4000 * ms, &b.Acknowledge},
		{"syncTimeS", s, 4100 * ms, &b.SyncTime},
		{"drainMs", ms, 3000 * ms, &b.Drain},
		{"graceS", s, 8 * s, &b.Grace},
		{"lossSlackMs", ms, 200 * ms, &b.LossSlack},
		{"configApplyMs", ms, 2000 * ms, &b.ConfigApply},
		{"downgradeSlackMs", ms, 250 * ms, &b.DowngradeSlack},
		{"skewMaxMs", ms, 5000 * ms, &b.SkewMax},
		{"evacuateMs", ms, 5000 * ms, &b.Evacuate},
		{"recoveryS", s, 12 * s, &b.Recovery},
		{"pass_ms", ms, 120 * ms, &b.Pass},
		{"again_s", s, 0, &b.Again},
		{"finishS", s, 10 * s, &b.Finish},
		{"settleMs", ms, 1000 * ms, &b.Settle},
		{"mergeMs", ms, 3000 * ms, &b.Merge},
	}
}
