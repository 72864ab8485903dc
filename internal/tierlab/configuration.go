package tierlab

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	audit "oakseam/internal/audit/tier"
	tierfakes "oakseam/internal/fakes/tier"
	"oakseam/internal/tier/routing"
)

// Names of the services.
const (
	toolService   = "tools"
	engineService = "engines"
)

type configurationDocument struct {
	Revision uint64       `json:"configRevision"`
	Routes   []routeEntry `json:"virtualServers"`
	Pools    []poolEntry  `json:"pools"`
}

type routeEntry struct {
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

type poolEntry struct {
	Name       string       `json:"name"`
	Protocol   string       `json:"protocol"`
	Engine     *engineEntry `json:"engine,omitempty"`
	WarmupS    float64      `json:"warmupS"`
	WarmupPerS float64      `json:"warmupPerS"`
}

type engineEntry struct {
	Capacity    int `json:"capacity"`
	StreamChunk int `json:"streamChunk"`
}

const (
	toolTimeoutMs = 4000
	turnTimeoutMs = 10000
	retentionS    = 600
)

// configuration returns the configuration with a revision, based on the revision before it. The
// switch route alternates between the two services with each revision.
func configuration(revision uint64) audit.Configuration {
	switchTarget := toolService
	if revision%2 == 0 {
		switchTarget = engineService
	}
	d := configurationDocument{Revision: revision, Routes: []routeEntry{
		{Name: "read", Prefix: tierfakes.ReadPath, Class: routing.Idempotent, TimeoutMs: toolTimeoutMs, Priority: 1, Pool: toolService, RetryLimit: 3},
		{Name: "order", Prefix: tierfakes.OrderPath, Class: routing.NonIdempotent, TimeoutMs: toolTimeoutMs, Pool: toolService, RetryLimit: 3},
		{Name: "switch", Prefix: tierfakes.SwitchPath, Class: routing.Idempotent, TimeoutMs: toolTimeoutMs, Priority: 2, Pool: switchTarget, RetryLimit: 3},
		{Name: "turn", Prefix: tierfakes.TurnPath, Class: routing.Streaming, TimeoutMs: turnTimeoutMs, Pool: engineService, RetryLimit: 3, Retained: true, RetentionS: retentionS},
	}, Pools: []poolEntry{
		{Name: toolService, Protocol: "h1", WarmupS: warmup.Seconds(), WarmupPerS: warmupPerSecond},
		{Name: engineService, Protocol: "h1", Engine: &engineEntry{Capacity: engineSlots, StreamChunk: 1}, WarmupS: warmup.Seconds(), WarmupPerS: warmupPerSecond},
	}}
	c := audit.Configuration{Revision: revision, Base: revision - 1}
	for i := range d.Routes {
		r := &d.Routes[i]
		r.Host = tierfakes.Host
		c.Routes = append(c.Routes, audit.AllowedRoute{Host: r.Host, Prefix: r.Prefix, Services: []string{r.Pool}})
	}
	text, err := json.Marshal(&d)
	if err != nil {
		panic(err) // cannot fail: the document has plain values only
	}
	c.Body = string(text)
	return c
}

// configurationChanges is how many configurations are sent during the run.
const configurationChanges = 10

// changeConfigurations sends configurations one at a time until workCtx ends, and reads each
// back. A change that has begun is completed.
func (l *lab) changeConfigurations(ctx, workCtx context.Context) error {
	for revision := uint64(2); ; revision++ {
		l.pause(workCtx, 1.0/(configurationChanges+1))
		if workCtx.Err() != nil {
			return nil
		}
		changeCtx, cancel := context.WithTimeout(ctx, settleTimeout)
		err := l.operator.ReplaceConfiguration(changeCtx, configuration(revision))
		if err == nil {
			err = l.operator.ReadBack(changeCtx)
		}
		cancel()
		if err != nil {
			return errors.Wrapf(err, "configuration %d", revision)
		}
	}
}
