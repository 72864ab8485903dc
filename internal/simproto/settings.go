package simproto

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"oakseam/logic"
)

// maxObjects limits the count that a list of objects in the settings may state.
const maxObjects = 10000

// settingsParser reads single settings and keeps the first error.
type settingsParser struct {
	values map[string]string
	err    error
}

// ParseSettings parses the settings of an INIT message. It ignores unknown keys and leaves
// absent settings at their zero value. logic.New validates the result.
func ParseSettings(text string) (logic.Settings, error) {
	f := &settingsParser{values: map[string]string{}}
	for part := range strings.SplitSeq(text, " ") {
		if part == "" {
			continue
		}
		key, value, ok := strings.Cut(part, "=")
		if !ok {
			return logic.Settings{}, fmt.Errorf("setting %q has no value", clip(part))
		}
		f.values[key] = value
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
		prefix := fmt.Sprintf("orgs.%d.", i)
		s.Tenants = append(s.Tenants, logic.Tenant{Name: f.text(prefix + "name"), QuotaPerSec: f.number(prefix + "quota-per-s")})
	}
	return s, f.err
}

// effects maps the names of effects in settings to their values.
var effects = map[string]logic.Effect{"safe": logic.Safe, "keyed": logic.Keyed, "unsafe": logic.Unsafe}

// dedupScopes maps the names of deduplication groups in settings to their values.
var dedupScopes = map[string]logic.DedupScope{"": logic.DedupAll, "all": logic.DedupAll, "zone": logic.DedupZone, "cell": logic.DedupCell}

// class reads the request class whose keys start with prefix.
func (f *settingsParser) class(prefix string) logic.Class {
	effect, ok := effects[f.text(prefix+"effect")]
	if !ok {
		f.fail(prefix+"effect", f.text(prefix+"effect"))
	}
	group, ok := dedupScopes[f.text(prefix+"group")]
	if !ok && effect == logic.Keyed {
		f.fail(prefix+"group", f.text(prefix+"group"))
	}
	return logic.Class{
		Name: f.text(prefix + "name"), Aim: f.time(prefix + "slo-us"), AimStretch: f.number(prefix + "aim-stretch"),
		Deadline: f.time(prefix + "deadline-us"), Worth: f.number(prefix + "worth"), LateWorth: f.number(prefix + "late-worth"),
		Effect: effect, Group: group, Window: f.time(prefix + "window-us"), Stream: f.flag(prefix + "stream"),
	}
}

// fail records that the value of a setting is invalid, unless an error is recorded already.
func (f *settingsParser) fail(key, value string) {
	if f.err == nil {
		f.err = fmt.Errorf("setting %s: %q cannot be used", key, clip(value))
	}
}

// text returns the value of a setting, and "" if it is absent or "-".
func (f *settingsParser) text(key string) string { return orEmpty(f.values[key]) }

// number returns the value of a numeric setting, and 0 if it is absent.
func (f *settingsParser) number(key string) float64 {
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

// time returns the value of a setting in microseconds, and 0 if it is absent.
func (f *settingsParser) time(key string) time.Duration {
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

// count returns the length of a list of objects, and 0 if it is absent.
func (f *settingsParser) count(key string) int {
	n := f.number(key)
	if n < 0 || n > maxObjects || n != float64(int(n)) {
		f.fail(key, f.text(key))
		return 0
	}
	return int(n)
}

// flag returns the value of a boolean setting, and false if it is absent.
func (f *settingsParser) flag(key string) bool {
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

// EncodeSettings returns settings as the nested object of a node's configuration, with the names
// and units that ParseSettings reads. Connect is the connect timeout, which is not part of
// logic.Settings.
func EncodeSettings(s logic.Settings, connect time.Duration) map[string]any {
	us := func(d time.Duration) int64 { return d.Microseconds() } // keys that end in -us
	classes := make([]any, 0, len(s.Classes))
	for _, c := range s.Classes {
		classes = append(classes, map[string]any{
			"name": c.Name, "slo-us": us(c.Aim), "aim-stretch": c.AimStretch, "deadline-us": us(c.Deadline), "worth": c.Worth,
			"late-worth": c.LateWorth, "effect": nameOf(effects, c.Effect), "group": nameOf(dedupScopes, c.Group),
			"window-us": us(c.Window), "stream": c.Stream,
		})
	}
	mode := "automatic"
	if s.MustSubscribe {
		mode = "subscribe"
	}
	reportMode := "none"
	fields := make([]any, 0, len(s.ReportFields))
	for _, field := range s.ReportFields {
		if reportMode = "answers"; field == logic.ReportInFlight {
			field = "busy_reqs"
		}
		fields = append(fields, field)
	}
	out := map[string]any{
		"classes": classes, "locality": s.Zone, "replicas-of-me": s.Nodes, "ordinal": s.Number, "over-share-worth": s.OverShareWorth,
		"tick-us": us(s.Tick), "registry-mode": mode, "report": map[string]any{"how": reportMode, "fields": fields},
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

// nameOf returns the name of a value. It skips the empty name, which is an alias of another one.
func nameOf[T comparable](names map[string]T, v T) string {
	for name, value := range names {
		if value == v && name != "" {
			return name
		}
	}
	return ""
}
