// Package emulator plays a day of a fleet in virtual time: clients, nodes,
// backends, the registry and the network between them, as models. The nodes are
// real ones from the core inwards: each is a core.Owner round a module, told
// the same events in the same steps as on sockets. The same scenario and seed
// give the same day to the last event, on any number of cores. Live plays the
// models in real time, with whatever nodes its Outside brings; the package does
// no I/O, and reads the machine's clock for that alone.
//
// It must not know what a module decides or why. What a day was worth and
// whether rules were kept is judged from what passed, by Result and by package
// audit.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/goccy/go-yaml"

	"pipitmux/internal/yamlfile"
	"pipitmux/logic"
)

// Span is a figure that each day draws anew: in a file a number, or a pair
// [from, to] of which it is drawn evenly.
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

func fixed(v float64) Range               { return Range{v, v} }
func (s Range) ms() time.Duration         { return time.Duration(s.From * float64(time.Millisecond)) }
func (s Range) sec() time.Duration        { return time.Duration(s.From * float64(time.Second)) }
func (s Range) draw(r *rand.Rand) float64 { return s.From + (s.To-s.From)*r.Float64() }
func (s Range) within(least, most float64) bool {
	return s.From >= least && s.To >= s.From && s.To <= most // false for NaN too
}

// Scenario is what a day is drawn from. Times are in the unit that a key's name
// ends in; shares and parts lie from 0 to 1.
type Scenario struct {
	Name        string        `yaml:"name"`
	Policy      string        `yaml:"policy"`   // module, or a rival's name
	Seconds     Range         `yaml:"seconds"`  // in which clients arrive
	TickMS      Range         `yaml:"tick_ms"`  // a node handles what has come once a tick; 0: at once
	MaxRequests int           `yaml:"max_reqs"` // first tries after which no more come, 0: no limit
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
	Troubles    []Fault       `yaml:"troubles"`   // at stated times
	Incidental  RandomFaults  `yaml:"incidental"` // drawn each day
	Peers       PeerNetwork   `yaml:"peers"`      // drawn last: a day without them stays what it is
}

// Zone is a data centre.
type Zone struct {
	Name     string `yaml:"name"`
	Traffic  Range  `yaml:"traffic"`  // weight of its clients against other zones'
	Backends Range  `yaml:"backends"` // weight of its part of the fleet
}

// Net is the network. Delays are one way.
type Network struct {
	SameMS       Range `yaml:"same_ms"`
	CrossMS      Range `yaml:"cross_ms"`
	ClientMS     Range `yaml:"client_ms"`
	Jitter       Range `yaml:"jitter"` // standard deviation, as a part of the delay
	Loss         Range `yaml:"loss"`   // part of messages that come only after a retransmission
	RetransmitMS Range `yaml:"retransmit_ms"`
}

// Nodes are the balancers, spread evenly over the zones unless zones says otherwise.
type Nodes struct {
	Count          Range     `yaml:"count"`
	Zones          []string  `yaml:"zones"`       // of each node in turn
	Shares         []float64 `yaml:"shares"`      // what the front deals to each in turn, in proportion; none: alike
	StartMS        Range     `yaml:"start_ms"`    // their starts are spread over this
	MaxConnections int       `yaml:"connections"` // to backends, each node; 0: no limit
	NoticeDelayS   Range     `yaml:"notice_s"`    // until the front notices that a node has died or is back
}

// Fleet is how many backends there are.
type Fleet struct {
	Size     Range         `yaml:"size"`
	Backends []BackendSpec `yaml:"backends"` // each one stated, in place of size and the kinds' shares
}

// Backend is one stated backend.
type BackendSpec struct {
	Kind  string `yaml:"kind"`
	Zone  string `yaml:"zone"`
	Speed Range  `yaml:"speed"`
}

// Kind is a kind of backend.
type BackendKind struct {
	Name         string `yaml:"name"`
	FleetShare   Range  `yaml:"share"`
	Cores        int    `yaml:"cores"`
	Speed        Range  `yaml:"speed"`          // of a core, against a standard one
	SpeedCV      Range  `yaml:"speed_cv"`       // spread among backends of the kind
	Weight       Range  `yaml:"weight"`         // capacity as the registry tells it; 0: cores by mean speed
	SlotsPerCore Range  `yaml:"slots_per_core"` // requests in work at once
	QueuePerCore Range  `yaml:"queue_per_core"` // requests waiting; more are turned away
	Thrash       Range  `yaml:"thrash"`         // part of its speed lost for each thrash_at more than that it holds
	ThrashAt     Range  `yaml:"thrash_at"`      // requests held, per core
	ColdFrom     Range  `yaml:"cold_from"`      // share of its capacity at a start
	ColdS        Range  `yaml:"cold_s"`         // until it is warm
	PauseEveryS  Range  `yaml:"pause_every_s"`  // mean; 0: never
	PauseMS      Range  `yaml:"pause_ms"`
	ErrorRate    Range  `yaml:"error_rate"`
	Cancel       string `yaml:"cancel"` // what a cancel or time-out stops: none, waiting, all
}

// Crowded is the slow state that outlasts its cause. At 0 there is none.
type Congestion struct {
	AboveHeld    Range `yaml:"at"`     // it holds more requests than this
	TriggerS     Range `yaml:"over_s"` // for so long
	Slowdown     Range `yaml:"slower"`
	RecoverBelow Range `yaml:"below"`  // left when it holds fewer per core
	RecoverS     Range `yaml:"rest_s"` // for so long,
	MaxS         Range `yaml:"most_s"` // or after this
}

// Conns is what connections cost.
type Connections struct {
	HandshakeRTTs    Range `yaml:"rtts"`    // of a handshake
	HandshakeWorkUS  Range `yaml:"work_us"` // of a new one, on a standard core
	IdleTimeoutS     Range `yaml:"idle_s"`  // after which backends close one
	ConnectTimeoutMS Range `yaml:"timeout_ms"`
	MaxPerCore       Range `yaml:"cap_per_core"` // 0: no cap
	FullTableCost    Range `yaml:"full_tax"`     // part of the capacity that a full table takes
}

// Reports are the load reports in answers. Fields are of held, queue.
type LoadReports struct {
	Fields     []string `yaml:"fields"`
	IntervalMS Range    `yaml:"every_ms"`
	DelayMS    Range    `yaml:"delay_ms"`
	Noise      Range    `yaml:"noise"`
}

// Discovery is the registry.
type Discovery struct {
	MustSubscribe      bool  `yaml:"ask"`             // nodes must subscribe
	NoticeDelayS       Range `yaml:"notice_s"`        // until it knows of a drain or an end
	SilentNoticeDelayS Range `yaml:"silent_notice_s"` // of a machine gone without a word
	AddDelayS          Range `yaml:"add_s"`           // of a start
	IntervalMS         Range `yaml:"every_ms"`        // between its rounds of news
	SpreadMS           Range `yaml:"spread_ms"`
	LinesPerSecond     Range `yaml:"lines_per_s"` // of lists, for all nodes; 0: no limit
	CallLines          Range `yaml:"call_lines"`  // that a call costs besides
	TimeoutMS          Range `yaml:"timeout_ms"`
}

// Arrivals is the clients' traffic.
type Arrivals struct {
	PerSecond Range  `yaml:"per_second"`
	Load      Range  `yaml:"load"`  // in place of it: as a part of the warm fleet's capacity
	Shape     string `yaml:"shape"` // steady, wave, bursty, step
	Swing     Range  `yaml:"swing"` // up and down by this part
	PeriodS   Range  `yaml:"period_s"`
	Phase     Range  `yaml:"phase"` // of the period, as the day begins; below 0: drawn
}

// Clients is what clients do.
type Clients struct {
	Retries             Range `yaml:"retries"`
	RequestTimeoutShare Range `yaml:"try_share"` // of the deadline, that one try may take
	BackoffMS           Range `yaml:"backoff_ms"`
	HonourRetryAfter    Range `yaml:"honour"` // part that heeds Retry-After
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

// Limits is what nodes may do.
type Limits struct {
	MaxAttempts  int  `yaml:"attempts"`
	SecondCopies bool `yaml:"second_copies"`
	CanCancel    bool `yaml:"cancel"`
	RetryAfter   bool `yaml:"retry_after"`
}

// Rules are the figures of the rules.
type Rules struct {
	AnswerSlackMS Range `yaml:"answer_slack_ms"`
	DrainGraceMS  Range `yaml:"drain_grace_ms"`
	ColdFrom      Range `yaml:"cold_from"` // as nodes are told
	WarmWithinS   Range `yaml:"warm_within_s"`
	FallMultiple  Range `yaml:"fall_multiple"`
	FallAfterMS   Range `yaml:"fall_after_ms"`
	FallSlack     Range `yaml:"fall_slack"` // in mean works of a request
}

// Goal mixes the parts of what a day is worth; they add up to 1.
type ScoreWeights struct {
	Overall     Range `yaml:"whole"`
	WorstWindow Range `yaml:"worst_window"` // of 10 s
	WorstClass  Range `yaml:"worst_class"`
}

// Prices come off what a day is worth.
type Penalties struct {
	WastedWork        Range `yaml:"waste"`     // by work without use over work asked for
	LateFailure       Range `yaml:"late_fail"` // by worth unserved that ended after its aim, as a part
	Handshake         Range `yaml:"handshake"` // by new connections for each first try
	CrossZone         Range `yaml:"cross_zone"`
	CongestedBackends Range `yaml:"crowded"` // by the part of the backends that were so at some time
}

// Trouble is something that goes wrong.
type Fault struct {
	Kind         string `yaml:"kind"`
	AtS          Range  `yaml:"at_s"`
	DurationS    Range  `yaml:"for_s"`
	Fraction     Range  `yaml:"part"`  // of the fleet
	Severity     Range  `yaml:"size"`  // how much slower, or what share fails, or over 0.5: with its nodes
	Zone         string `yaml:"zone"`  // of a zone_loss; drawn where empty. From it nothing comes through a cut
	ToZone       string `yaml:"to"`    // a cut's other end
	RecoveryLagS Range  `yaml:"lag_s"` // how much later than its nodes a lost zone's backends come back, or the registry after a power loss
	// SpreadS is the time over which nodes and backends start in a random order after a
	// power loss; 0: all in the same instant.
	RestartSpreadS Range `yaml:"spread_s"`
	Backends       []int `yaml:"on"` // stated backends, in place of part
}

// Incidental are troubles that each day draws.
type RandomFaults struct {
	Count      Range   `yaml:"count"`
	Candidates []Fault `yaml:"of"`
}

// TroubleKinds lists what can go wrong.
var FaultKinds = []string{"vanish", "slow", "hang", "fast_errors", "zone_loss", "shared_slow",
	"replace", "restart_nodes", "discovery_down", "discovery_slow", "cut", "power_loss",
	"peer_cut", "peer_loss"}

var (
	cancelModes = []string{"none", "waiting", "all"}
	reportNames = []string{"held", "queue"}
	effects     = map[string]logic.Effect{"safe": logic.Safe, "keyed": logic.Keyed, "unsafe": logic.Unsafe}
	groups      = map[string]logic.DedupScope{"all": logic.DedupAll, "zone": logic.DedupZone, "cell": logic.DedupCell}
)

// Default returns a scenario with the figures that a file may leave out.
func Default() *Scenario {
	return &Scenario{
		Policy: "module", Seconds: fixed(60), TickMS: fixed(0),
		Net:     Network{SameMS: fixed(.2), CrossMS: fixed(2), ClientMS: fixed(.5), Jitter: fixed(.1), RetransmitMS: fixed(200)},
		Nodes:   Nodes{Count: fixed(2), StartMS: fixed(500), NoticeDelayS: fixed(2)},
		Conns:   Connections{HandshakeRTTs: fixed(1), IdleTimeoutS: fixed(5), ConnectTimeoutMS: fixed(120)},
		Reports: LoadReports{IntervalMS: fixed(500), DelayMS: fixed(100)},
		Discovery: Discovery{MustSubscribe: true, NoticeDelayS: fixed(1), SilentNoticeDelayS: fixed(8), AddDelayS: fixed(1), IntervalMS: fixed(500),
			SpreadMS: fixed(50), TimeoutMS: fixed(2000)},
		Arrivals: Arrivals{Shape: "steady", PeriodS: fixed(20), Phase: fixed(-1)},
		Clients:  Clients{RequestTimeoutShare: fixed(.6), BackoffMS: fixed(80), MaxRetryAfterMS: fixed(3000)},
		Limits:   Limits{MaxAttempts: 5, SecondCopies: true, CanCancel: true, RetryAfter: true},
		Rules: Rules{AnswerSlackMS: fixed(20), DrainGraceMS: fixed(1500), ColdFrom: fixed(.12), WarmWithinS: fixed(23),
			FallMultiple: fixed(2.5), FallAfterMS: fixed(1500), FallSlack: fixed(3)},
		Goal: ScoreWeights{Overall: fixed(1)},
	}
}

// Read reads a scenario file.
func Read(name string) (*Scenario, error) {
	return finish(func(s *Scenario) (*yamlfile.File, error) { return yamlfile.Read(name, s) })
}

// Parse reads a scenario from text; the name is for errors.
func Parse(name string, text []byte) (*Scenario, error) {
	return finish(func(s *Scenario) (*yamlfile.File, error) { return yamlfile.Decode(name, text, s) })
}

func finish(read func(*Scenario) (*yamlfile.File, error)) (*Scenario, error) {
	s := Default()
	f, err := read(s)
	if err != nil {
		return nil, err
	}
	// What the file leaves out stands at 0 as well, and so does what it sets to 0.
	absent := func(v Range, key string) bool { return v == (Range{}) && f.Line(key) == 0 }
	for i := range s.Kinds {
		k, at := &s.Kinds[i], fmt.Sprintf("kinds.%d.", i)
		for name, v := range map[string]*Range{"slots_per_core": &k.SlotsPerCore, "speed": &k.Speed, "cold_from": &k.ColdFrom} {
			if absent(*v, at+name) {
				*v = fixed(1)
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
	if key, fault := s.check(); fault != "" {
		return nil, f.Errorf(key, "%s", fault)
	}
	return s, nil
}

// class returns the class as a module is told it.
func (c *Class) class() logic.Class {
	return logic.Class{Name: c.Name, Aim: c.AimMS.ms(), Deadline: c.DeadlineMS.ms(), Worth: c.Worth.From, LateWorth: c.LateWorth.From,
		Effect: effects[c.Effect], Group: groups[c.Group], Window: c.WindowS.sec()}
}

// settings returns what the module of a node in a zone is told.
func (s *Scenario) settings(zone string, number, nodes int) logic.Settings {
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
		out.Classes = append(out.Classes, s.Classes[i].class())
	}
	return out
}
