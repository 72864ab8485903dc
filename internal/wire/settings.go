package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"pipitmux/logic"
)

// maxObjects bounds the length that a list of objects may announce.
const maxObjects = 10000

// facts reads single settings and keeps the first fault.
type facts struct {
	kv  map[string]string
	err error
}

// ParseSettings reads the settings of an INIT. Unknown keys are ignored, absent
// ones leave their zero value; logic.New judges what a decision needs.
func ParseSettings(text string) (logic.Settings, error) {
	f := &facts{kv: map[string]string{}}
	for part := range strings.SplitSeq(text, " ") {
		if part == "" {
			continue
		}
		k, v, ok := strings.Cut(part, "=")
		if !ok {
			return logic.Settings{}, fmt.Errorf("setting %q has no value", clip(part))
		}
		f.kv[k] = v
	}
	s := logic.Settings{
		Zone:           f.text("locality"),
		Nodes:          int(f.number("replicas-of-me")),
		Number:         int(f.number("ordinal")),
		OverShareWorth: f.number("over-share-worth"),
		Tick:           f.time("tick-us"),
		MustSubscribe:  f.text("registry-mode") == "subscribe",
		AskWithin:      f.time("rules.ask-within-us"),
		DrainGrace:     f.time("rules.stop-sending-within-us"),
		ColdFrom:       f.number("rules.cold-from"),
		WarmWithin:     f.time("rules.warm-within-us"),
		FallMultiple:   f.number("rules.fall-multiple"),
		FallAfter:      f.time("rules.tip-after-us"),
		AnswerSlack:    f.time("rules.answer-slack-us"),
		MaxAttempts:    int(f.number("limits.try-limit")),
		SecondCopies:   f.flag("limits.second-copies"),
		CanCancel:      f.flag("limits.cancelling"),
		LateFailCharge: f.number("charges.late-fail"),
		ConnectCharge:  f.number("charges.handshake"),
		ConnIdle:       f.time("limits.conn-idle-us"),
		CrossCharge:    f.number("charges.cross-zone"),
	}
	if f.flag("limits.retry-after") {
		s.MaxRetryAfter = f.time("limits.max-retry-after-us")
	}
	if fields := f.text("report.fields"); fields != "" && f.text("report.how") != "none" {
		for name := range strings.SplitSeq(fields, ",") {
			if name == "busy_reqs" {
				name = logic.ReportInFlight
			}
			s.ReportFields = append(s.ReportFields, name)
		}
	}
	for i := range f.count("classes.count") {
		s.Classes = append(s.Classes, f.class(fmt.Sprintf("classes.%d.", i)))
	}
	for i := range f.count("orgs.count") {
		p := fmt.Sprintf("orgs.%d.", i)
		s.Tenants = append(s.Tenants, logic.Tenant{Name: f.text(p + "name"), QuotaPerSec: f.number(p + "quota-per-s")})
	}
	return s, f.err
}

var effects = map[string]logic.Effect{"safe": logic.Safe, "keyed": logic.Keyed, "unsafe": logic.Unsafe}

var groups = map[string]logic.DedupScope{"": logic.DedupAll, "all": logic.DedupAll, "zone": logic.DedupZone, "cell": logic.DedupCell}

func (f *facts) class(p string) logic.Class {
	effect, ok := effects[f.text(p+"effect")]
	if !ok {
		f.fail(p+"effect", f.text(p+"effect"))
	}
	group, ok := groups[f.text(p+"group")]
	if !ok && effect == logic.Keyed {
		f.fail(p+"group", f.text(p+"group"))
	}
	return logic.Class{
		Name: f.text(p + "name"), Aim: f.time(p + "slo-us"), AimStretch: f.number(p + "aim-stretch"),
		Deadline: f.time(p + "deadline-us"), Worth: f.number(p + "worth"), LateWorth: f.number(p + "late-worth"),
		Effect: effect, Group: group, Window: f.time(p + "window-us"), Stream: f.flag(p + "stream"),
	}
}

func (f *facts) fail(key, v string) {
	if f.err == nil {
		f.err = fmt.Errorf("setting %s: %q cannot be used", key, clip(v))
	}
}

func (f *facts) text(key string) string { return orEmpty(f.kv[key]) }

func (f *facts) number(key string) float64 {
	v := f.text(key)
	if v == "" {
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n != n || n > 1e15 || n < -1e15 {
		f.fail(key, v)
		return 0
	}
	return n
}

func (f *facts) time(key string) time.Duration {
	v := f.text(key)
	if v == "" {
		return 0
	}
	d, err := micros(v)
	if err != nil {
		f.fail(key, v)
	}
	return d
}

func (f *facts) count(key string) int {
	n := f.number(key)
	if n < 0 || n > maxObjects || n != float64(int(n)) {
		f.fail(key, f.text(key))
		return 0
	}
	return int(n)
}

func (f *facts) flag(key string) bool {
	switch v := f.text(key); v {
	case "true", "1":
		return true
	case "", "false", "0":
		return false
	default:
		f.fail(key, v)
		return false
	}
}

// EncodeSettings returns settings as the nested object that a node is configured with,
// by the names and units that Settings reads. Connect is how long a connection
// may take to come up, which the module is not told.
func EncodeSettings(s logic.Settings, connect time.Duration) map[string]any {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	classes := make([]any, 0, len(s.Classes))
	for _, c := range s.Classes {
		classes = append(classes, map[string]any{
			"name": c.Name, "slo-us": us(c.Aim), "aim-stretch": c.AimStretch, "deadline-us": us(c.Deadline), "worth": c.Worth,
			"late-worth": c.LateWorth, "effect": nameOf(effects, c.Effect), "group": nameOf(groups, c.Group),
			"window-us": us(c.Window), "stream": c.Stream,
		})
	}
	mode := "automatic"
	if s.MustSubscribe {
		mode = "subscribe"
	}
	how := "none"
	fields := make([]any, 0, len(s.ReportFields))
	for _, f := range s.ReportFields {
		if how = "answers"; f == logic.ReportInFlight {
			f = "busy_reqs"
		}
		fields = append(fields, f)
	}
	out := map[string]any{
		"classes": classes, "locality": s.Zone, "replicas-of-me": s.Nodes, "ordinal": s.Number, "over-share-worth": s.OverShareWorth,
		"tick-us": us(s.Tick), "registry-mode": mode, "report": map[string]any{"how": how, "fields": fields},
		"rules": map[string]any{"ask-within-us": us(s.AskWithin), "stop-sending-within-us": us(s.DrainGrace), "cold-from": s.ColdFrom,
			"warm-within-us": us(s.WarmWithin), "fall-multiple": s.FallMultiple, "tip-after-us": us(s.FallAfter),
			"answer-slack-us": us(s.AnswerSlack)},
		"limits": map[string]any{"try-limit": s.MaxAttempts, "second-copies": s.SecondCopies, "cancelling": s.CanCancel,
			"conn-idle-us": us(s.ConnIdle), "retry-after": s.MaxRetryAfter > 0, "max-retry-after-us": us(s.MaxRetryAfter),
			"connect-timeout-us": us(connect)},
		"charges": map[string]any{"late-fail": s.LateFailCharge, "handshake": s.ConnectCharge, "cross-zone": s.CrossCharge},
	}
	if len(s.Tenants) > 0 {
		orgs := make([]any, 0, len(s.Tenants))
		for _, t := range s.Tenants {
			orgs = append(orgs, map[string]any{"name": t.Name, "quota-per-s": t.QuotaPerSec})
		}
		out["orgs"] = orgs
	}
	return out
}

// nameOf returns the name of a value; "" names the same as another does.
func nameOf[T comparable](names map[string]T, v T) string {
	for name, of := range names {
		if of == v && name != "" {
			return name
		}
	}
	return ""
}
