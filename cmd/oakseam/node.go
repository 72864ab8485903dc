package main

import (
	"context"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"syscall"
	"time"

	"oakseam/internal/backend"
	"oakseam/internal/config"
	"oakseam/internal/console"
	"oakseam/internal/core"
	"oakseam/internal/counters"
	"oakseam/internal/discovery"
	"oakseam/internal/gossip"
	"oakseam/internal/logging"
	"oakseam/internal/message"
	"oakseam/internal/metrics"
	"oakseam/internal/peers"
	"oakseam/internal/session"
	"oakseam/internal/upstream"
	"oakseam/logic"
)

const (
	// reservedSockets are for the standard streams, the listener, the registry, the poller, the
	// configuration file, and client sessions over their limit while others are shed.
	reservedSockets = 64
	// SIGKILL follows SIGTERM no sooner than after the longest deadline, capped at
	// maxKillDeadline, plus killGrace.
	maxKillDeadline = 3 * time.Second
	killGrace       = 700 * time.Millisecond
	// exitMargin is the part of that time that is kept for the exit.
	exitMargin = 20 * time.Millisecond
)

// run runs the node until it ends.
func run(c *config.Config, optionsFile string, signals <-chan os.Signal) error {
	runtime.GOMAXPROCS(max(int(math.Ceil(c.Cores)), 1))
	log := logging.New(os.Stderr, c.Options.Log.Level, c.Options.Log.Format)

	count := counters.New()
	defer count.Print(os.Stderr)
	loop, err := core.NewEventLoop(c.Settings, c.Seed, count, log)
	if err != nil {
		return err
	}
	var classes []string
	for _, cl := range c.Settings.Classes {
		classes = append(classes, cl.Name)
	}
	metricSet := metrics.New(classes)
	handoff, err := newTakeover(c, log)
	if err != nil {
		return err
	}
	defer handoff.close()
	file := stateFileName(c.Options.State.Dir, c.Listen)
	if file != "" && handoff.predecessor == nil { // a predecessor has handed over newer state
		handoff.restore(file, time.Now())
	}
	budget := message.NewBudget(0)
	pool := upstream.New(backend.Codec{ReportFields: c.Settings.ReportFields}, upstream.Options{
		ConnectTimeout: c.ConnectTimeout,
		IdleTimeout:    time.Duration(float64(c.Settings.ConnIdle) * c.Options.Backend.IdleShare),
		OmitHeader:     true, OnRequestWritten: metricSet.CountAttempt, Budget: budget,
	}, count, log)
	frontend := session.New(session.Options{
		Classes: c.Settings.Classes, RetryAfter: c.RetryAfter,
		HeadTimeout: c.Options.Session.HeadWithin, BodyTimeout: c.Options.Session.BodyWithin, IdleTimeout: c.Options.Session.IdleFor,
		Metrics: metricSet, Budget: budget,
	}, handoff.listener, loop, count)
	shares := resourceShares{c, pool, frontend, budget, log}
	shares.apply(handoff.predecessor != nil)
	registry := discovery.New(c.Discovery, handoff.known, loop.UpdateBackends, log)

	known, err := handoff.known.Backends()
	if err != nil {
		return err
	}
	loop.UpdateBackends(logic.ListCached, known)
	if len(handoff.moduleState) > 0 {
		loop.ImportModuleState(handoff.moduleState, handoff.predecessor != nil)
	}
	quit := make(chan struct{})
	defer close(quit)
	if handoff.console != nil {
		loop.ObserveBackendCounts(func(c core.BackendCounts) {
			metricSet.SetBackendCounts(metrics.BackendCounts{Listed: c.Listed, OutOfRotation: c.Avoided})
		})
		go console.New(handoff.console, operatorView{frontend, metricSet}, log).Serve()
	}
	go loop.Run(pool, registry)
	defer loop.Stop()
	go pool.ReapIdle(quit)
	if !c.Settings.MustSubscribe {
		go registry.KeepWatching(context.Background())
	}
	if rate := c.Options.Peers.BytesPerS; rate > 0 {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		gossiper := peers.New(peers.Options{Addrs: c.Peers, Number: c.Settings.Number, Budget: rate, Rng: rand.New(rand.NewPCG(c.Seed, 1))}, log)
		go gossiper.Run(ctx, func() (gossip.Transport, error) { return gossip.ListenUDP(c.PeerListen) })
	}
	served := make(chan error, 1)
	go func() { served <- frontend.Serve() }()
	log.Info("serving", "name", c.Name, "listen", c.Listen)
	capture := func() (handoverState, error) { return captureState(loop, registry) }
	handoff.offerSuccessor(capture, shares)
	saver := &stateSaver{name: file, capture: capture, log: log}
	stop := saver.start()
	for {
		select {
		case err := <-served:
			return err
		case s := <-signals:
			switch s {
			case syscall.SIGUSR1:
				count.Print(os.Stderr)
			case syscall.SIGHUP:
				reload(registry, optionsFile, log)
			default:
				err := shutDown(c, frontend, log)
				stop()
				return err
			}
		}
	}
}

// operatorView is the node as seen through the console.
type operatorView struct {
	*session.Frontend
	metrics *metrics.Set
}

// WriteMetrics writes one line per metric.
func (o operatorView) WriteMetrics(w io.Writer) { o.metrics.Print(w) }

// reload reads the configuration again and moves to the registry that it names.
// An invalid one changes nothing.
func reload(registry *discovery.Client, optionsFile string, log *slog.Logger) {
	c, err := config.Reload(os.Getenv, optionsFile)
	if err != nil {
		log.Error("reload: configuration unchanged", logging.Cause, err)
		return
	}
	log.Info("reload", "discovery", c.Discovery)
	registry.SetAddress(c.Discovery)
}

// shutDown answers all accepted requests before the process may be killed.
func shutDown(c *config.Config, frontend *session.Frontend, log *slog.Logger) error {
	longest := time.Duration(0)
	for _, cl := range c.Settings.Classes {
		longest = max(longest, cl.Deadline)
	}
	if err := frontend.Shutdown(min(longest, maxKillDeadline) + killGrace - exitMargin); err != nil {
		log.Warn("shut down with client sessions still open", logging.Cause, err)
	}
	return nil
}
