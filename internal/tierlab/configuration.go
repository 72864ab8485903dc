package tierlab

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	audit "pipitmux/internal/audit/tier"
	play "pipitmux/internal/standin/tier"
	"pipitmux/internal/station/routing"
)

// The services.
const (
	toolService   = "tools"
	engineService = "engines"
)

type document struct {
	Revision uint64  `json:"configRevision"`
	Routes   []route `json:"virtualServers"`
	Pools    []pool  `json:"pools"`
}

type route struct {
	Name       string               `json:"name"`
	Host       string               `json:"hostHeader"`
	Prefix     string               `json:"pathPrefix"`
	Class      routing.TrafficClass `json:"trafficClass"`
	TimeoutMs  int                  `json:"timeoutMs"`
	Priority   int                  `json:"priority"`
	Pool       string               `json:"poolName"`
	RetryLimit int                  `json:"retryLimit"`
	Retained   bool                 `json:"retained,omitempty"`
	RetentionS int                  `json:"retentionS,omitempty"`
}

type pool struct {
	Name     string  `json:"name"`
	Protocol string  `json:"protocol"`
	Engine   *engine `json:"engine,omitempty"`
}

type engine struct {
	Capacity    int `json:"capacity"`
	StreamChunk int `json:"streamChunk"`
}

const (
	toolTimeoutMs = 4000
	turnTimeoutMs = 10000
	retentionS    = 600
)

// configuration is the order that makes a revision out of the one before. With each, the
// route of the switch leads to the other service.
func configuration(revision uint64) audit.Configuration {
	to := toolService
	if revision%2 == 0 {
		to = engineService
	}
	d := document{Revision: revision, Routes: []route{
		{Name: "read", Prefix: play.ReadPath, Class: routing.Idempotent, TimeoutMs: toolTimeoutMs, Priority: 1, Pool: toolService, RetryLimit: 3},
		{Name: "order", Prefix: play.OrderPath, Class: routing.NonIdempotent, TimeoutMs: toolTimeoutMs, Pool: toolService, RetryLimit: 3},
		{Name: "switch", Prefix: play.SwitchPath, Class: routing.Idempotent, TimeoutMs: toolTimeoutMs, Priority: 2, Pool: to, RetryLimit: 3},
		{Name: "turn", Prefix: play.TurnPath, Class: routing.Streaming, TimeoutMs: turnTimeoutMs, Pool: engineService, RetryLimit: 3, Retained: true, RetentionS: retentionS},
	}, Pools: []pool{
		{Name: toolService, Protocol: "h1"},
		{Name: engineService, Protocol: "h1", Engine: &engine{Capacity: engineSlots, StreamChunk: 1}},
	}}
	c := audit.Configuration{Revision: revision, Base: revision - 1}
	for i := range d.Routes {
		r := &d.Routes[i]
		r.Host = play.Host
		c.Routes = append(c.Routes, audit.Allowed{Host: r.Host, Prefix: r.Prefix, Services: []string{r.Pool}})
	}
	text, err := json.Marshal(&d)
	if err != nil {
		panic(err) // it is made of plain values only
	}
	c.Body = string(text)
	return c
}

// changes is how many configurations are ordered under way.
const changes = 10

// changeConfigurations orders one configuration after the other until the day is over, and
// reads each back. An order under way is brought to its end.
func (l *lab) changeConfigurations(ctx, day context.Context) error {
	for revision := uint64(2); ; revision++ {
		l.pause(day, 1.0/(changes+1))
		if day.Err() != nil {
			return nil
		}
		one, cancel := context.WithTimeout(ctx, settleWithin)
		err := l.operator.Order(one, configuration(revision))
		if err == nil {
			err = l.operator.ReadBack(one)
		}
		cancel()
		if err != nil {
			return errors.Wrapf(err, "configuration %d", revision)
		}
	}
}
