// Package emulator is a discrete-event emulator of a fleet in virtual time. Clients, backends,
// the registry and the network are models. The nodes run the real code from internal/core
// inwards: each is a core.Engine around a module and gets the same events in the same steps as
// with real sockets. The same scenario and seed give the same run, event by event, on any number
// of cores. LiveRun plays the same models in real time with the nodes that its Environment
// provides. The package does no I/O and reads the machine's clock only for a LiveRun.
//
// The package must not depend on what a module decides or why. The score of a run and violations
// of the rules are computed from the observed events, by Result and by package audit.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/goccy/go-yaml"

	"oakseam/internal/yamlfile"
	"oakseam/logic"
)

// Range is a scenario value that is drawn again for every run. In a file it is a number, or a pair
// [from, to] from which the value is drawn uniformly.
type Range struct{ From, To float64 }

// UnmarshalYAML reads a number or a pair.
func (s *Range) UnmarshalYAML(text []byte) error {
	var pair []float64
	if err := yaml.Unmarshal(text, &pair); err == nil && len(pair) == 2 {
		s.From, s.To = pair[0], pair[1]
		return nil
	}
	var n float64
	if err := yaml.Unmarshal(text, &n); err != nil {
		return fmt.Errorf("a number or a pair [from, to] is wanted")
	}
	s.From, s.To = n, n
	return nil
}

func fixedRange(v float64) Range            { return Range{v, v} }
func (s Range) ms() time.Duration           { return time.Duration(s.From * float64(time.Millisecond)) }
func (s Range) sec() time.Duration          { return time.Duration(s.From * float64(time.Second)) }
func (s Range) draw(rng *rand.Rand) float64 { return s.From + (s.To-s.From)*rng.Float64() }
func (s Range) within(minimum, maximum float64) bool {
	return s.From >= minimum && s.To >= s.From && s.To <= maximum // false for NaN too
}

// Scenario describes the runs that can be drawn from it. Times are in the unit that the YAML key
// ends in; shares and fractions lie between 0 and 1.
type Scenario struct {
	Name        string        `yaml:"name"`
	Policy      string        `yaml:"policy"`   // module, or the name of a reference policy
	Seconds     Range         `yaml:"seconds"`  // time during which clients arrive
	TickMS      Range         `yaml:"tick_ms"`  // a node handles its input once per tick; 0: at once
	MaxRequests int           `yaml:"max_reqs"` // operations after which no more start, 0: no limit
	Zones       []Zone        `yaml:"zones"`
	Net         Network       `yaml:"net"`
	Nodes       Nodes         `yaml:"nodes"`
	Fleet       Fleet         `yaml:"fleet"`
	Kinds       []BackendKind `yaml:"kinds"`
	Crowded     Congestion    `yaml:"crowded"`
	Conns       Connections   `yaml:"connections"`
	Reports     LoadReports   `yaml:"reports"`
	Discovery   Discovery     `yaml:"discovery"`
	Arrivals    Arrivals      `yaml:"arrivals"`
	Clients     Clients       `yaml:"clients"`
	Classes     []Class       `yaml:"classes"`
	Limits      Limits        `yaml:"limits"`
	Rules       Rules         `yaml:"rules"`
	Goal        ScoreWeights  `yaml:"goal"`
	Prices      Penalties     `yaml:"prices"`
	Troubles    []Fault       `yaml:"troubles"`   // faults at stated times
	Incidental  RandomFaults  `yaml:"incidental"` // faults drawn for every run
	Peers       PeerSettings  `yaml:"peers"`      // drawn last, so that scenarios without it draw the same values as before
}

// Zone is a data centre.
type Zone struct {
	Name     string `yaml:"name"`
	Traffic  Range  `yaml:"traffic"`  // weight of its clients among all zones
	Backends Range  `yaml:"backends"` // weight of its share of the fleet
}

// Network describes the network. Delays are one way.
type Network struct {
	SameMS       Range `yaml:"same_ms"`
	CrossMS      Range `yaml:"cross_ms"`
	ClientMS     Range `yaml:"client_ms"`
	Jitter       Range `yaml:"jitter"` // standard deviation as a fraction of the delay
	Loss         Range `yaml:"loss"`   // fraction of messages that arrive only after a retransmission
	RetransmitMS Range `yaml:"retransmit_ms"`
}

// Nodes describes the load-balancer nodes. They are spread evenly over the zones unless Zones
// is set.
type Nodes struct {
	Count          Range     `yaml:"count"`
	Zones          []string  `yaml:"zones"`       // zone of each node, in order
	Shares         []float64 `yaml:"shares"`      // traffic weights of the nodes, in order; empty: equal
	StartMS        Range     `yaml:"start_ms"`    // node starts are spread over this time
	MaxConnections int       `yaml:"connections"` // limit of connections to backends per node; 0: no limit
	NoticeDelayS   Range     `yaml:"notice_s"`    // until the frontend notices that a node died or came back
}

// Fleet describes the backends.
type Fleet struct {
	Size     Range         `yaml:"size"`
	Backends []BackendSpec `yaml:"backends"` // explicit list instead of size and the kinds' shares
}

// BackendSpec is one explicitly listed backend.
type BackendSpec struct {
	Kind  string `yaml:"kind"`
	Zone  string `yaml:"zone"`
	Speed Range  `yaml:"speed"`
}

// BackendKind is a kind of backend.
type BackendKind struct {
	Name         string `yaml:"name"`
	FleetShare   Range  `yaml:"share"`
	Cores        int    `yaml:"cores"`
	Speed        Range  `yaml:"speed"`          // of a core, relative to a standard core
	SpeedCV      Range  `yaml:"speed_cv"`       // coefficient of variation among backends of the kind
	Weight       Range  `yaml:"weight"`         // capacity that the registry reports; 0: cores times mean speed
	SlotsPerCore Range  `yaml:"slots_per_core"` // requests processed at the same time
	QueuePerCore Range  `yaml:"queue_per_core"` // requests waiting; more are rejected
	Thrash       Range  `yaml:"thrash"`         // fraction of its speed lost for each thrash_at requests in excess
	ThrashAt     Range  `yaml:"thrash_at"`      // requests in flight per core
	ColdFrom     Range  `yaml:"cold_from"`      // share of its capacity just after a start
	ColdS        Range  `yaml:"cold_s"`         // warm-up time
	PauseEveryS  Range  `yaml:"pause_every_s"`  // mean time between pauses; 0: never
	PauseMS      Range  `yaml:"pause_ms"`
	ErrorRate    Range  `yaml:"error_rate"`
	Cancel       string `yaml:"cancel"` // what a cancellation or timeout stops: none, waiting, all
}

// Congestion is a slow state that outlasts its cause. It is disabled if AboveHeld is 0.
type Congestion struct {
	AboveHeld    Range `yaml:"at"`     // enters when more requests than this are in flight
	TriggerS     Range `yaml:"over_s"` // for this time
	Slowdown     Range `yaml:"slower"`
	RecoverBelow Range `yaml:"below"`  // leaves when fewer requests per core are in flight
	RecoverS     Range `yaml:"rest_s"` // for this time
	MaxS         Range `yaml:"most_s"` // or after this time in any case
}

// Connections describes the cost of connections.
type Connections struct {
	HandshakeRTTs    Range `yaml:"rtts"`    // round trips of a handshake
	HandshakeWorkUS  Range `yaml:"work_us"` // work to accept a connection, on a standard core
	IdleTimeoutS     Range `yaml:"idle_s"`  // after which backends close an idle connection
	ConnectTimeoutMS Range `yaml:"timeout_ms"`
	MaxPerCore       Range `yaml:"cap_per_core"` // 0: no limit
	FullTableCost    Range `yaml:"full_tax"`     // fraction of the capacity that a full connection table costs
}

// LoadReports describes the load reports in responses. Fields may name held and queue.
type LoadReports struct {
	Fields     []string `yaml:"fields"`
	IntervalMS Range    `yaml:"every_ms"`
	DelayMS    Range    `yaml:"delay_ms"`
	Noise      Range    `yaml:"noise"`
}

// Discovery describes the registry.
type Discovery struct {
	MustSubscribe      bool  `yaml:"ask"`             // nodes must subscribe
	NoticeDelayS       Range `yaml:"notice_s"`        // until it knows that a backend drains or ended
	SilentNoticeDelayS Range `yaml:"silent_notice_s"` // until it knows that a machine disappeared silently
	AddDelayS          Range `yaml:"add_s"`           // until it knows that a backend started
	IntervalMS         Range `yaml:"every_ms"`        // between two rounds of change notifications
	SpreadMS           Range `yaml:"spread_ms"`
	LinesPerSecond     Range `yaml:"lines_per_s"` // list lines served to all nodes together; 0: no limit
	CallLines          Range `yaml:"call_lines"`  // additional cost of a call, in lines
	TimeoutMS          Range `yaml:"timeout_ms"`
}

// Arrivals describes the client traffic.
type Arrivals struct {
	PerSecond Range  `yaml:"per_second"`
	Load      Range  `yaml:"load"`  // instead of per_second: as a fraction of the warm fleet's capacity
	Shape     string `yaml:"shape"` // steady, wave, bursty, step
	Swing     Range  `yaml:"swing"` // deviation from the mean, as a fraction of it
	PeriodS   Range  `yaml:"period_s"`
	Phase     Range  `yaml:"phase"` // fraction of the period at the start; below 0: drawn
}

// Clients describes the behaviour of the clients.
type Clients struct {
	Retries             Range `yaml:"retries"`
	RequestTimeoutShare Range `yaml:"try_share"` // timeout of one request as a fraction of the deadline
	BackoffMS           Range `yaml:"backoff_ms"`
	HonourRetryAfter    Range `yaml:"honour"` // fraction of clients that obey Retry-After
	MaxRetryAfterMS     Range `yaml:"max_retry_after_ms"`
	MarksRetry          bool  `yaml:"marks_retry"`
}

// Class is a class of requests.
type Class struct {
	Name         string `yaml:"name"`
	Share        Range  `yaml:"share"`
	WorkMS       Range  `yaml:"work_ms"` // mean, on a standard core
	CV           Range  `yaml:"cv"`      // of the work, lognormal
	AttemptNoise Range  `yaml:"attempt_noise"`
	AimMS        Range  `yaml:"aim_ms"`
	DeadlineMS   Range  `yaml:"deadline_ms"`
	Worth        Range  `yaml:"worth"`
	LateWorth    Range  `yaml:"late_worth"`
	Effect       string `yaml:"effect"` // safe, keyed, unsafe
	Group        string `yaml:"group"`  // all, zone, cell
	WindowS      Range  `yaml:"window_s"`
}

// Limits describes what nodes are allowed to do.
type Limits struct {
	MaxAttempts  int  `yaml:"attempts"`
	SecondCopies bool `yaml:"second_copies"`
	CanCancel    bool `yaml:"cancel"`
	RetryAfter   bool `yaml:"retry_after"`
}

// Rules holds the parameters of the rules that the auditor checks.
type Rules struct {
	AnswerSlackMS Range `yaml:"answer_slack_ms"`
	DrainGraceMS  Range `yaml:"drain_grace_ms"`
	ColdFrom      Range `yaml:"cold_from"` // as told to the nodes
	WarmWithinS   Range `yaml:"warm_within_s"`
	FallMultiple  Range `yaml:"fall_multiple"`
	FallAfterMS   Range `yaml:"fall_after_ms"`
	FallSlack     Range `yaml:"fall_slack"` // in units of a request's mean work
}

// ScoreWeights weighs the parts of the score; the weights add up to 1.
type ScoreWeights struct {
	Overall     Range `yaml:"whole"`
	WorstWindow Range `yaml:"worst_window"` // of 10 s
	WorstClass  Range `yaml:"worst_class"`
}

// Penalties are subtracted from the score.
type Penalties struct {
	WastedWork        Range `yaml:"waste"`     // per work of no use, relative to the work requested
	LateFailure       Range `yaml:"late_fail"` // per worth that ended unserved after its aim, relative to the worth offered
	Handshake         Range `yaml:"handshake"` // per new connection, relative to the number of operations
	CrossZone         Range `yaml:"cross_zone"`
	CongestedBackends Range `yaml:"crowded"` // per fraction of the backends that were congested at some time
}

// Fault is a fault to inject.
type Fault struct {
	Kind      string `yaml:"kind"`
	AtS       Range  `yaml:"at_s"`
	DurationS Range  `yaml:"for_s"`
	Fraction  Range  `yaml:"part"` // fraction of the fleet
	Severity  Range  `yaml:"size"` // slowdown factor or share of failures; for zone_loss, over 0.5 takes the zone's nodes down, too
	Zone      string `yaml:"zone"` // zone of a zone_loss, drawn if empty; of a cut, the zone whose messages are lost
	ToZone    string `yaml:"to"`   // zone at the other end of a cut
	// RecoveryLagS is how much later than its nodes the backends of a lost zone come back, or how
	// much later the registry comes back after a power loss.
	RecoveryLagS Range `yaml:"lag_s"`
	// RestartSpreadS is the time over which nodes and backends start in random order after a
	// power loss; 0: all at the same instant.
	RestartSpreadS Range `yaml:"spread_s"`
	Backends       []int `yaml:"on"` // explicit backends instead of a fraction
}

// RandomFaults are faults that are drawn for every run.
type RandomFaults struct {
	Count      Range   `yaml:"count"`
	Candidates []Fault `yaml:"of"`
}

// FaultKinds lists the kinds of faults.
var FaultKinds = []string{"vanish", "slow", "hang", "fast_errors", "zone_loss", "shared_slow",
	"replace", "restart_nodes", "discovery_down", "discovery_slow", "cut", "power_loss",
	"peer_cut", "peer_loss"}

var (
	cancelModes      = []string{"none", "waiting", "all"}
	reportFieldNames = []string{"held", "queue"}
	effects          = map[string]logic.Effect{"safe": logic.Safe, "keyed": logic.Keyed, "unsafe": logic.Unsafe}
	dedupScopes      = map[string]logic.DedupScope{"all": logic.DedupAll, "zone": logic.DedupZone, "cell": logic.DedupCell}
)

// Default returns a scenario with the values that a file may leave out.
func Default() *Scenario {
	return &Scenario{
		Policy: "module", Seconds: fixedRange(60), TickMS: fixedRange(0),
		Net:     Network{SameMS: fixedRange(.2), CrossMS: fixedRange(2), ClientMS: fixedRange(.5), Jitter: fixedRange(.1), RetransmitMS: fixedRange(200)},
		Nodes:   Nodes{Count: fixedRange(2), StartMS: fixedRange(500), NoticeDelayS: fixedRange(2)},
		Conns:   Connections{HandshakeRTTs: fixedRange(1), IdleTimeoutS: fixedRange(5), ConnectTimeoutMS: fixedRange(120)},
		Reports: LoadReports{IntervalMS: fixedRange(500), DelayMS: fixedRange(100)},
		Discovery: Discovery{MustSubscribe: true, NoticeDelayS: fixedRange(1), SilentNoticeDelayS: fixedRange(8), AddDelayS: fixedRange(1), IntervalMS: fixedRange(500),
			SpreadMS: fixedRange(50), TimeoutMS: fixedRange(2000)},
		Arrivals: Arrivals{Shape: "steady", PeriodS: fixedRange(20), Phase: fixedRange(-1)},
		Clients:  Clients{RequestTimeoutShare: fixedRange(.6), BackoffMS: fixedRange(80), MaxRetryAfterMS: fixedRange(3000)},
		Limits:   Limits{MaxAttempts: 5, SecondCopies: true, CanCancel: true, RetryAfter: true},
		Rules: Rules{AnswerSlackMS: fixedRange(20), DrainGraceMS: fixedRange(1500), ColdFrom: fixedRange(.12), WarmWithinS: fixedRange(23),
			FallMultiple: fixedRange(2.5), FallAfterMS: fixedRange(1500), FallSlack: fixedRange(3)},
		Goal: ScoreWeights{Overall: fixedRange(1)},
	}
}

// Read reads a scenario file.
func Read(name string) (*Scenario, error) {
	return load(func(s *Scenario) (*yamlfile.File, error) { return yamlfile.Read(name, s) })
}

// Parse reads a scenario from text. The name appears in errors only.
func Parse(name string, text []byte) (*Scenario, error) {
	return load(func(s *Scenario) (*yamlfile.File, error) { return yamlfile.Decode(name, text, s) })
}

// load reads a scenario over the defaults, fills in per-kind defaults and validates it.
func load(read func(*Scenario) (*yamlfile.File, error)) (*Scenario, error) {
	s := Default()
	f, err := read(s)
	if err != nil {
		return nil, err
	}
	// A value left out of the file is 0, and so is one set to 0; the line number tells them apart.
	absent := func(v Range, key string) bool { return v == (Range{}) && f.Line(key) == 0 }
	for i := range s.Kinds {
		k, prefix := &s.Kinds[i], fmt.Sprintf("kinds.%d.", i)
		for name, v := range map[string]*Range{"slots_per_core": &k.SlotsPerCore, "speed": &k.Speed, "cold_from": &k.ColdFrom} {
			if absent(*v, prefix+name) {
				*v = fixedRange(1)
			}
		}
		if k.Cancel == "" {
			k.Cancel = "none"
		}
	}
	for i, b := range s.Fleet.Backends {
		if key := fmt.Sprintf("fleet.backends.%d.speed", i); b.Speed == (Range{}) && f.Line(key) > 0 {
			return nil, f.Errorf(key, "must be above 0; left out, it is the kind's")
		}
	}
	if key, fault := s.validate(); fault != "" {
		return nil, f.Errorf(key, "%s", fault)
	}
	return s, nil
}

// moduleClass returns the class as passed to a module.
func (c *Class) moduleClass() logic.Class {
	return logic.Class{Name: c.Name, Aim: c.AimMS.ms(), Deadline: c.DeadlineMS.ms(), Worth: c.Worth.From, LateWorth: c.LateWorth.From,
		Effect: effects[c.Effect], Group: dedupScopes[c.Group], Window: c.WindowS.sec()}
}

// moduleSettings returns the settings of the module of a node in a zone.
func (s *Scenario) moduleSettings(zone string, number, nodes int) logic.Settings {
	out := logic.Settings{
		Zone: zone, Number: number, Nodes: nodes, Tick: s.TickMS.ms(), MustSubscribe: s.Discovery.MustSubscribe, AskWithin: 10 * time.Second,
		DrainGrace: s.Rules.DrainGraceMS.ms(), ColdFrom: s.Rules.ColdFrom.From, WarmWithin: s.Rules.WarmWithinS.sec(),
		FallMultiple: s.Rules.FallMultiple.From, FallAfter: s.Rules.FallAfterMS.ms(), AnswerSlack: s.Rules.AnswerSlackMS.ms(),
		MaxAttempts: s.Limits.MaxAttempts, SecondCopies: s.Limits.SecondCopies, CanCancel: s.Limits.CanCancel,
		LateFailCharge: s.Prices.LateFailure.From, ConnIdle: s.Conns.IdleTimeoutS.sec(), CrossCharge: s.Prices.CrossZone.From,
		ConnectCharge: s.Prices.Handshake.From,
	}
	if s.Limits.RetryAfter {
		out.MaxRetryAfter = s.Clients.MaxRetryAfterMS.ms()
	}
	for _, f := range s.Reports.Fields {
		if f == "queue" {
			f = "pending"
		}
		out.ReportFields = append(out.ReportFields, f)
	}
	for i := range s.Classes {
		out.Classes = append(out.Classes, s.Classes[i].moduleClass())
	}
	return out
}
