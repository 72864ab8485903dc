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
type Span struct{ From, To float64 }

// UnmarshalYAML reads a number or a pair.
func (s *Span) UnmarshalYAML(text []byte) error {
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

func fixed(v float64) Span               { return Span{v, v} }
func (s Span) ms() time.Duration         { return time.Duration(s.From * float64(time.Millisecond)) }
func (s Span) sec() time.Duration        { return time.Duration(s.From * float64(time.Second)) }
func (s Span) draw(r *rand.Rand) float64 { return s.From + (s.To-s.From)*r.Float64() }
func (s Span) within(least, most float64) bool {
	return s.From >= least && s.To >= s.From && s.To <= most // false for NaN too
}

// Scenario is what a day is drawn from. Times are in the unit that a key's name
// ends in; shares and parts lie from 0 to 1.
type Scenario struct {
	Name        string     `yaml:"name"`
	Policy      string     `yaml:"policy"`   // module, or a rival's name
	Seconds     Span       `yaml:"seconds"`  // in which clients arrive
	TickMS      Span       `yaml:"tick_ms"`  // a node handles what has come once a tick; 0: at once
	MaxRequests int        `yaml:"max_reqs"` // first tries after which no more come, 0: no limit
	Zones       []Zone     `yaml:"zones"`
	Net         Net        `yaml:"net"`
	Nodes       Nodes      `yaml:"nodes"`
	Fleet       Fleet      `yaml:"fleet"`
	Kinds       []Kind     `yaml:"kinds"`
	Crowded     Crowded    `yaml:"crowded"`
	Conns       Conns      `yaml:"connections"`
	Reports     Reports    `yaml:"reports"`
	Discovery   Discovery  `yaml:"discovery"`
	Arrivals    Arrivals   `yaml:"arrivals"`
	Clients     Clients    `yaml:"clients"`
	Classes     []Class    `yaml:"classes"`
	Limits      Limits     `yaml:"limits"`
	Rules       Rules      `yaml:"rules"`
	Goal        Goal       `yaml:"goal"`
	Prices      Prices     `yaml:"prices"`
	Troubles    []Trouble  `yaml:"troubles"`   // at stated times
	Incidental  Incidental `yaml:"incidental"` // drawn each day
	Peers       Peers      `yaml:"peers"`      // drawn last: a day without them stays what it is
}

// Zone is a data centre.
type Zone struct {
	Name     string `yaml:"name"`
	Traffic  Span   `yaml:"traffic"`  // weight of its clients against other zones'
	Backends Span   `yaml:"backends"` // weight of its part of the fleet
}

// Net is the network. Delays are one way.
type Net struct {
	SameMS       Span `yaml:"same_ms"`
	CrossMS      Span `yaml:"cross_ms"`
	ClientMS     Span `yaml:"client_ms"`
	Jitter       Span `yaml:"jitter"` // standard deviation, as a part of the delay
	Loss         Span `yaml:"loss"`   // part of messages that come only after a retransmission
	RetransmitMS Span `yaml:"retransmit_ms"`
}

// Nodes are the balancers, spread evenly over the zones unless zones says otherwise.
type Nodes struct {
	Count       Span      `yaml:"count"`
	Zones       []string  `yaml:"zones"`       // of each node in turn
	Shares      []float64 `yaml:"shares"`      // what the front deals to each in turn, in proportion; none: alike
	StartMS     Span      `yaml:"start_ms"`    // their starts are spread over this
	Connections int       `yaml:"connections"` // to backends, each node; 0: no limit
	NoticeS     Span      `yaml:"notice_s"`    // until the front notices that a node has died or is back
}

// Fleet is how many backends there are.
type Fleet struct {
	Size     Span      `yaml:"size"`
	Backends []Backend `yaml:"backends"` // each one stated, in place of size and the kinds' shares
}

// Backend is one stated backend.
type Backend struct {
	Kind  string `yaml:"kind"`
	Zone  string `yaml:"zone"`
	Speed Span   `yaml:"speed"`
}

// Kind is a kind of backend.
type Kind struct {
	Name         string `yaml:"name"`
	Share        Span   `yaml:"share"`
	Cores        int    `yaml:"cores"`
	Speed        Span   `yaml:"speed"`          // of a core, against a standard one
	SpeedCV      Span   `yaml:"speed_cv"`       // spread among backends of the kind
	Weight       Span   `yaml:"weight"`         // capacity as the registry tells it; 0: cores by mean speed
	SlotsPerCore Span   `yaml:"slots_per_core"` // requests in work at once
	QueuePerCore Span   `yaml:"queue_per_core"` // requests waiting; more are turned away
	Thrash       Span   `yaml:"thrash"`         // part of its speed lost for each thrash_at more than that it holds
	ThrashAt     Span   `yaml:"thrash_at"`      // requests held, per core
	ColdFrom     Span   `yaml:"cold_from"`      // share of its capacity at a start
	ColdS        Span   `yaml:"cold_s"`         // until it is warm
	PauseEveryS  Span   `yaml:"pause_every_s"`  // mean; 0: never
	PauseMS      Span   `yaml:"pause_ms"`
	ErrorRate    Span   `yaml:"error_rate"`
	Cancel       string `yaml:"cancel"` // what a cancel or time-out stops: none, waiting, all
}

// Crowded is the slow state that outlasts its cause. At 0 there is none.
type Crowded struct {
	At     Span `yaml:"at"`     // it holds more requests than this
	OverS  Span `yaml:"over_s"` // for so long
	Slower Span `yaml:"slower"`
	Below  Span `yaml:"below"`  // left when it holds fewer per core
	RestS  Span `yaml:"rest_s"` // for so long,
	MostS  Span `yaml:"most_s"` // or after this
}

// Conns is what connections cost.
type Conns struct {
	RTTs       Span `yaml:"rtts"`    // of a handshake
	WorkUS     Span `yaml:"work_us"` // of a new one, on a standard core
	IdleS      Span `yaml:"idle_s"`  // after which backends close one
	TimeoutMS  Span `yaml:"timeout_ms"`
	CapPerCore Span `yaml:"cap_per_core"` // 0: no cap
	FullTax    Span `yaml:"full_tax"`     // part of the capacity that a full table takes
}

// Reports are the load reports in answers. Fields are of held, queue.
type Reports struct {
	Fields  []string `yaml:"fields"`
	EveryMS Span     `yaml:"every_ms"`
	DelayMS Span     `yaml:"delay_ms"`
	Noise   Span     `yaml:"noise"`
}

// Discovery is the registry.
type Discovery struct {
	Ask           bool `yaml:"ask"`             // nodes must subscribe
	NoticeS       Span `yaml:"notice_s"`        // until it knows of a drain or an end
	SilentNoticeS Span `yaml:"silent_notice_s"` // of a machine gone without a word
	AddS          Span `yaml:"add_s"`           // of a start
	EveryMS       Span `yaml:"every_ms"`        // between its rounds of news
	SpreadMS      Span `yaml:"spread_ms"`
	LinesPerS     Span `yaml:"lines_per_s"` // of lists, for all nodes; 0: no limit
	CallLines     Span `yaml:"call_lines"`  // that a call costs besides
	TimeoutMS     Span `yaml:"timeout_ms"`
}

// Arrivals is the clients' traffic.
type Arrivals struct {
	PerSecond Span   `yaml:"per_second"`
	Load      Span   `yaml:"load"`  // in place of it: as a part of the warm fleet's capacity
	Shape     string `yaml:"shape"` // steady, wave, bursty, step
	Swing     Span   `yaml:"swing"` // up and down by this part
	PeriodS   Span   `yaml:"period_s"`
	Phase     Span   `yaml:"phase"` // of the period, as the day begins; below 0: drawn
}

// Clients is what clients do.
type Clients struct {
	Retries         Span `yaml:"retries"`
	TryShare        Span `yaml:"try_share"` // of the deadline, that one try may take
	BackoffMS       Span `yaml:"backoff_ms"`
	Honour          Span `yaml:"honour"` // part that heeds Retry-After
	MaxRetryAfterMS Span `yaml:"max_retry_after_ms"`
	MarksRetry      bool `yaml:"marks_retry"`
}

// Class is a class of requests.
type Class struct {
	Name         string `yaml:"name"`
	Share        Span   `yaml:"share"`
	WorkMS       Span   `yaml:"work_ms"` // mean, on a standard core
	CV           Span   `yaml:"cv"`      // of the work, lognormal
	AttemptNoise Span   `yaml:"attempt_noise"`
	AimMS        Span   `yaml:"aim_ms"`
	DeadlineMS   Span   `yaml:"deadline_ms"`
	Worth        Span   `yaml:"worth"`
	LateWorth    Span   `yaml:"late_worth"`
	Effect       string `yaml:"effect"` // safe, keyed, unsafe
	Group        string `yaml:"group"`  // all, zone, cell
	WindowS      Span   `yaml:"window_s"`
}

// Limits is what nodes may do.
type Limits struct {
	Attempts     int  `yaml:"attempts"`
	SecondCopies bool `yaml:"second_copies"`
	Cancel       bool `yaml:"cancel"`
	RetryAfter   bool `yaml:"retry_after"`
}

// Rules are the figures of the rules.
type Rules struct {
	AnswerSlackMS Span `yaml:"answer_slack_ms"`
	DrainGraceMS  Span `yaml:"drain_grace_ms"`
	ColdFrom      Span `yaml:"cold_from"` // as nodes are told
	WarmWithinS   Span `yaml:"warm_within_s"`
	FallMultiple  Span `yaml:"fall_multiple"`
	FallAfterMS   Span `yaml:"fall_after_ms"`
	FallSlack     Span `yaml:"fall_slack"` // in mean works of a request
}

// Goal mixes the parts of what a day is worth; they add up to 1.
type Goal struct {
	Whole       Span `yaml:"whole"`
	WorstWindow Span `yaml:"worst_window"` // of 10 s
	WorstClass  Span `yaml:"worst_class"`
}

// Prices come off what a day is worth.
type Prices struct {
	Waste     Span `yaml:"waste"`     // by work without use over work asked for
	LateFail  Span `yaml:"late_fail"` // by worth unserved that ended after its aim, as a part
	Handshake Span `yaml:"handshake"` // by new connections for each first try
	CrossZone Span `yaml:"cross_zone"`
	Crowded   Span `yaml:"crowded"` // by the part of the backends that were so at some time
}

// Trouble is something that goes wrong.
type Trouble struct {
	Kind string `yaml:"kind"`
	AtS  Span   `yaml:"at_s"`
	ForS Span   `yaml:"for_s"`
	Part Span   `yaml:"part"`  // of the fleet
	Size Span   `yaml:"size"`  // how much slower, or what share fails, or over 0.5: with its nodes
	Zone string `yaml:"zone"`  // of a zone_loss; drawn where empty. From it nothing comes through a cut
	To   string `yaml:"to"`    // a cut's other end
	LagS Span   `yaml:"lag_s"` // how much later than its nodes a lost zone's backends come back, or the registry after a power loss
	// SpreadS is the time over which nodes and backends start in a random order after a
	// power loss; 0: all in the same instant.
	SpreadS Span  `yaml:"spread_s"`
	On      []int `yaml:"on"` // stated backends, in place of part
}

// Incidental are troubles that each day draws.
type Incidental struct {
	Count Span      `yaml:"count"`
	Of    []Trouble `yaml:"of"`
}

// TroubleKinds lists what can go wrong.
var TroubleKinds = []string{"vanish", "slow", "hang", "fast_errors", "zone_loss", "shared_slow",
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
		Net:     Net{SameMS: fixed(.2), CrossMS: fixed(2), ClientMS: fixed(.5), Jitter: fixed(.1), RetransmitMS: fixed(200)},
		Nodes:   Nodes{Count: fixed(2), StartMS: fixed(500), NoticeS: fixed(2)},
		Conns:   Conns{RTTs: fixed(1), IdleS: fixed(5), TimeoutMS: fixed(120)},
		Reports: Reports{EveryMS: fixed(500), DelayMS: fixed(100)},
		Discovery: Discovery{Ask: true, NoticeS: fixed(1), SilentNoticeS: fixed(8), AddS: fixed(1), EveryMS: fixed(500),
			SpreadMS: fixed(50), TimeoutMS: fixed(2000)},
		Arrivals: Arrivals{Shape: "steady", PeriodS: fixed(20), Phase: fixed(-1)},
		Clients:  Clients{TryShare: fixed(.6), BackoffMS: fixed(80), MaxRetryAfterMS: fixed(3000)},
		Limits:   Limits{Attempts: 5, SecondCopies: true, Cancel: true, RetryAfter: true},
		Rules: Rules{AnswerSlackMS: fixed(20), DrainGraceMS: fixed(1500), ColdFrom: fixed(.12), WarmWithinS: fixed(23),
			FallMultiple: fixed(2.5), FallAfterMS: fixed(1500), FallSlack: fixed(3)},
		Goal: Goal{Whole: fixed(1)},
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
	absent := func(v Span, key string) bool { return v == (Span{}) && f.Line(key) == 0 }
	for i := range s.Kinds {
		k, at := &s.Kinds[i], fmt.Sprintf("kinds.%d.", i)
		for name, v := range map[string]*Span{"slots_per_core": &k.SlotsPerCore, "speed": &k.Speed, "cold_from": &k.ColdFrom} {
			if absent(*v, at+name) {
				*v = fixed(1)
			}
		}
		if k.Cancel == "" {
			k.Cancel = "none"
		}
	}
	for i, b := range s.Fleet.Backends {
		if key := fmt.Sprintf("fleet.backends.%d.speed", i); b.Speed == (Span{}) && f.Line(key) > 0 {
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
		Zone: zone, Number: number, Nodes: nodes, Tick: s.TickMS.ms(), MustSubscribe: s.Discovery.Ask, AskWithin: 10 * time.Second,
		DrainGrace: s.Rules.DrainGraceMS.ms(), ColdFrom: s.Rules.ColdFrom.From, WarmWithin: s.Rules.WarmWithinS.sec(),
		FallMultiple: s.Rules.FallMultiple.From, FallAfter: s.Rules.FallAfterMS.ms(), AnswerSlack: s.Rules.AnswerSlackMS.ms(),
		MaxAttempts: s.Limits.Attempts, SecondCopies: s.Limits.SecondCopies, CanCancel: s.Limits.Cancel,
		LateFailCharge: s.Prices.LateFail.From, ConnIdle: s.Conns.IdleS.sec(), CrossCharge: s.Prices.CrossZone.From,
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
