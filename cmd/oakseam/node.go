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

	"pipitmux/internal/backend"
	"pipitmux/internal/config"
	"pipitmux/internal/console"
	"pipitmux/internal/core"
	"pipitmux/internal/counters"
	"pipitmux/internal/discovery"
	"pipitmux/internal/figures"
	"pipitmux/internal/gossip"
	"pipitmux/internal/logging"
	"pipitmux/internal/message"
	"pipitmux/internal/peers"
	"pipitmux/internal/session"
	"pipitmux/internal/upstream"
	"pipitmux/logic"
)

const (
	// For standard streams, the listener, the registry, the poller, the configuration file,
	// and client sessions over their limit while others are shed.
	spareSockets = 64
	// SIGKILL comes no sooner after SIGTERM than the longest deadline, of which no more than
	// killCounts counts, and killAfter. endSlack is kept of that for the exit.
	killCounts = 3 * time.Second
	killAfter  = 700 * time.Millisecond
	endSlack   = 20 * time.Millisecond
)

// run is the node, from its configuration to its end.
func run(c *config.Config, own string, signals <-chan os.Signal) error {
	runtime.GOMAXPROCS(max(int(math.Ceil(c.Cores)), 1))
	log := logging.New(os.Stderr, c.Options.Log.Level, c.Options.Log.Format)

	count := counters.New()
	defer count.Print(os.Stderr)
	owner, err := core.NewEventLoop(c.Settings, c.Seed, count, log)
	if err != nil {
		return err
	}
	var classes []string
	for _, cl := range c.Settings.Classes {
		classes = append(classes, cl.Name)
	}
	fig := figures.New(classes)
	place, err := settle(c, log)
	if err != nil {
		return err
	}
	defer place.close()
	disk := stateFile(c.Options.State.Dir, c.Listen)
	if disk != "" && place.before == nil { // else the predecessor handed over what is fresher
		place.recall(disk, time.Now())
	}
	budget := message.NewBudget(0)
	pool := upstream.New(backend.Codec{ReportFields: c.Settings.ReportFields}, upstream.Options{
		ConnectTimeout: c.ConnectTimeout,
		IdleTimeout:    time.Duration(float64(c.Settings.ConnIdle) * c.Options.Backend.IdleShare),
		OmitHeader:     true, OnRequestWritten: fig.Relayed, Budget: budget,
	}, count, log)
	front := session.New(session.Options{
		Classes: c.Settings.Classes, RetryAfter: c.RetryAfter,
		HeadTimeout: c.Options.Session.HeadWithin, BodyTimeout: c.Options.Session.BodyWithin, IdleTimeout: c.Options.Session.IdleFor,
		Figures: fig, Budget: budget,
	}, place.listener, owner, count)
	lot := shares{c, pool, front, budget, log}
	lot.set(place.before != nil)
	registry := discovery.New(c.Discovery, place.known, owner.UpdateBackends, log)

	known, err := place.known.Backends()
	if err != nil {
		return err
	}
	owner.UpdateBackends(logic.ListCached, known)
	if len(place.learned) > 0 {
		owner.ImportModuleState(place.learned, place.before != nil)
	}
	quit := make(chan struct{})
	defer close(quit)
	if place.console != nil {
		owner.ObserveBackendCounts(func(listed, avoided int) { fig.Know(figures.Registry{Listed: listed, Avoided: avoided}) })
		go console.New(place.console, operated{front, fig}, log).Serve()
	}
	go owner.Run(pool, registry)
	defer owner.Stop()
	go pool.ReapIdle(quit)
	if !c.Settings.MustSubscribe {
		go registry.KeepWatching(context.Background())
	}
	if rate := c.Options.Peers.BytesPerS; rate > 0 {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		talk := peers.New(peers.Options{Addrs: c.Peers, Number: c.Settings.Number, Budget: rate, Rng: rand.New(rand.NewPCG(c.Seed, 1))}, log)
		go talk.Run(ctx, func() (gossip.Transport, error) { return gossip.ListenUDP(c.PeerListen) })
	}
	served := make(chan error, 1)
	go func() { served <- front.Serve() }()
	log.Info("serves", "name", c.Name, "listen", c.Listen)
	tell := func() (handed, error) { return state(owner, registry) }
	place.offer(tell, lot)
	keep := &keeper{name: disk, state: tell, log: log}
	stop := keep.start()
	for {
		select {
		case err := <-served:
			return err
		case s := <-signals:
			switch s {
			case syscall.SIGUSR1:
				count.Print(os.Stderr)
			case syscall.SIGHUP:
				reload(registry, own, log)
			default:
				err := end(c, front, log)
				stop()
				return err
			}
		}
	}
}

// operated is the node as its operators see it.
type operated struct {
	*session.Frontend
	figures *figures.Set
}

// Figures writes a line a figure.
func (o operated) Figures(w io.Writer) { o.figures.Print(w) }

// reload reads the configuration again and takes on the registry that it names.
// One that can't be used changes nothing.
func reload(registry *discovery.Client, own string, log *slog.Logger) {
	c, err := config.Reload(os.Getenv, own)
	if err != nil {
		log.Error("reload: the configuration stays as it was", logging.Cause, err)
		return
	}
	log.Info("reload", "discovery", c.Discovery)
	registry.SetAddress(c.Discovery)
}

// end answers all that was taken, before the process may be killed.
func end(c *config.Config, front *session.Frontend, log *slog.Logger) error {
	longest := time.Duration(0)
	for _, cl := range c.Settings.Classes {
		longest = max(longest, cl.Deadline)
	}
	if err := front.Shutdown(min(longest, killCounts) + killAfter - endSlack); err != nil {
		log.Warn("ended with client sessions still open", logging.Cause, err)
	}
	return nil
}
