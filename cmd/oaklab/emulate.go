package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"runtime"
	"runtime/pprof"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"oakseam/internal/cli"
	"oakseam/internal/core"
	"oakseam/internal/emulator"
	"oakseam/internal/yamlfile"
	"oakseam/logic"
)

func emulateCommand() *cobra.Command {
	var (
		seed         uint64
		policy       string
		sets         []string
		asJSON       bool
		listPolicies bool
		profile      string
		timed        bool
	)
	c := &cobra.Command{
		Use:   "emulate SCENARIO",
		Short: "Emulate a scenario in virtual time",
		Long: "Emulates a scenario file with the random choices of a seed, and checks the rules. The result doesn't\n" +
			"depend on the machine: two runs give the same. Exit code 1 if the policy broke a rule.",
		Args: func(c *cobra.Command, args []string) error {
			if listPolicies {
				return cobra.NoArgs(c, args)
			}
			return cobra.ExactArgs(1)(c, args)
		},
		RunE: func(c *cobra.Command, args []string) error {
			out := c.OutOrStdout()
			if listPolicies {
				fmt.Fprintln(out, strings.Join(emulator.Policies(), "\n"))
				return nil
			}
			sc, err := readScenario(args[0], sets)
			if err != nil {
				return cli.UsageError(err)
			}
			if policy != "" {
				if _, err := emulator.FactoryFor(policy); err != nil {
					return cli.UsageError(err)
				}
			}
			if profile != "" {
				f, err := os.Create(profile)
				if err != nil {
					return err
				}
				defer f.Close()
				if err := pprof.StartCPUProfile(f); err != nil {
					return err
				}
				defer pprof.StopCPUProfile()
			}
			began := time.Now()
			opt := emulator.Options{Policy: policy, Workers: runtime.GOMAXPROCS(0)}
			var decisionTimes stopwatch
			if timed {
				make, err := emulator.FactoryFor(cmp.Or(policy, sc.Policy))
				if err != nil {
					return cli.UsageError(err)
				}
				opt.NewModule = decisionTimes.wrap(make)
			}
			r, err := emulate(c.Context(), sc, seed, opt, c.ErrOrStderr())
			if err != nil {
				return err
			}
			took := time.Since(began)
			return printAndExit(out, r, asJSON, func() {
				decisionTimes.print(out)
				fmt.Fprintf(out, "played in %.2f s, %.1f us a req\n", took.Seconds(), took.Seconds()*1e6/float64(max(r.Operations, 1)))
			})
		},
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "seed of all random choices")
	f.StringVar(&policy, "policy", "", "policy that replaces the scenario's; see --list-policies")
	f.BoolVar(&listPolicies, "list-policies", false, "print the names of the policies and exit")
	f.StringArrayVar(&sets, "set", nil, "KEY=VALUE that replaces a value of the scenario, such as nodes.count=4")
	f.BoolVar(&asJSON, "json", false, "print one JSON object")
	f.BoolVar(&timed, "time", false, "print how long the policy's decisions took, by kind of event")
	f.StringVar(&profile, "cpu-profile", "", "write a CPU profile to this file")
	return c
}

// readScenario reads a scenario file and replaces the values of some keys. Each of sets is KEY=VALUE.
func readScenario(name string, sets []string) (*emulator.Scenario, error) {
	if len(sets) == 0 {
		return emulator.Read(name)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	for _, s := range sets {
		k, v, ok := strings.Cut(s, "=")
		if !ok {
			return nil, fmt.Errorf("--set %s: must be KEY=VALUE", s)
		}
		if text, err = yamlfile.Set(name, text, k, v); err != nil {
			return nil, err
		}
	}
	return emulator.Parse(name, text)
}

// emulate runs a scenario in virtual time and writes the progress.
func emulate(ctx context.Context, sc *emulator.Scenario, seed uint64, opt emulator.Options, progress io.Writer) (*emulator.Result, error) {
	p := cli.NewProgress(progress)
	opt.Progress = func(at, total time.Duration) bool {
		p.Printf("%.1f of %.1f s emulated", at.Seconds(), total.Seconds())
		return ctx.Err() == nil
	}
	r, err := emulator.Run(sc, seed, opt)
	if err != nil && ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", err, context.Cause(ctx))
	}
	return r, err
}

// stopwatch adds up the time that the modules of an emulation take for their decisions.
type stopwatch struct {
	took  [3]atomic.Int64 // nanoseconds; atomic because nodes decide concurrently
	calls [3]atomic.Int64
}

// eventNames names the kinds of events that a stopwatch tells apart.
var eventNames = [...]string{"a req", "an outcome", "other events"}

// wrap returns a factory whose modules measure their decisions.
func (s *stopwatch) wrap(make emulator.ModuleFactory) emulator.ModuleFactory {
	return func(set logic.Settings, seed uint64) (core.Module, error) {
		m, err := make(set, seed)
		return &timedModule{m, s}, err
	}
}

// print writes the mean time of a decision for each kind of event.
func (s *stopwatch) print(w io.Writer) {
	for i := range s.calls {
		if n := s.calls[i].Load(); n > 0 {
			fmt.Fprintf(w, "decisions on %-12s %9d, %6d ns each\n", eventNames[i], n, s.took[i].Load()/n)
		}
	}
}

// timedModule measures the decisions of a module.
type timedModule struct {
	core.Module
	stopwatch *stopwatch
}

// Handle implements core.Module.
func (t *timedModule) Handle(now time.Duration, ev logic.Event) []logic.Action {
	kind := 2 // index into eventNames
	switch ev.(type) {
	case logic.Request:
		kind = 0
	case logic.Outcome:
		kind = 1
	}
	began := time.Now()
	actions := t.Module.Handle(now, ev)
	t.stopwatch.took[kind].Add(time.Since(began).Nanoseconds())
	t.stopwatch.calls[kind].Add(1)
	return actions
}

// printAndExit prints a result, and calls printMore if the output is not JSON. It returns an error that
// sets the exit code if a rule was broken.
func printAndExit(w io.Writer, r *emulator.Result, asJSON bool, printMore func()) error {
	if asJSON {
		if err := json.NewEncoder(w).Encode(r); err != nil {
			return err
		}
	} else {
		printResult(w, r)
		printMore()
	}
	if !r.Rules.Clean() {
		return cli.ExitSilently(cli.ExitFailure)
	}
	return nil
}

func printResult(w io.Writer, r *emulator.Result) {
	fmt.Fprintf(w, "%s, policy %s, seed %d: %d nodes, %d backends, %d reqs in %d tries\n", r.Scenario, r.Policy, r.Seed, r.Nodes, r.Backends, r.Operations, r.ClientRequests)
	fmt.Fprintf(w, "G %.4f  (whole %.4f, worst window %.4f, worst class %.4f, prices %.4f)\n", r.Score, r.ScoreParts["whole"], r.ScoreParts["worst_window"], r.ScoreParts["worst_class"], r.ScoreParts["prices"])
	for _, n := range slices.Sorted(maps.Keys(r.Classes)) {
		c, l := r.Classes[n], r.LatencyMS[n]
		fmt.Fprintf(w, "%-12s asked %7d  in aim %7d  G %.4f  ms p50 %.1f  p99 %.1f  p99.9 %.1f\n", n, c.Operations, c.WithinAim, c.Score, l.P50, l.P99, l.P999)
	}
	fmt.Fprintf(w, "answers: served %d, refused %d, failed %d; attempts %d, of these retries %d, to cold ones %d; connections opened %d; crowded %d times\n",
		r.Answers["served"], r.Answers["refused"], r.Answers["failed"], r.Attempts, r.Retries, r.SendsToCold, r.ConnectionsOpened, r.CongestionCount)
	fmt.Fprintf(w, "rules broken: unanswered %d, double effects %d, late drain sends %d, felled backends %d\n",
		r.Rules.Unanswered, r.Rules.DuplicateEffects, r.Rules.LateDrainSends, r.Rules.OverloadedBackends)
	for _, h := range r.FaultEvents {
		fmt.Fprintf(w, "%9.2f s  %s %s\n", h.AtSeconds, h.Kind, h.Target)
	}
	for _, b := range r.Violations {
		fmt.Fprintf(w, "BROKEN %s at %.3f s: %s", b.Rule, b.At.Seconds(), b.Why)
		if b.Request != "" {
			fmt.Fprintf(w, ", req %s", b.Request)
		}
		if b.Server != "" {
			fmt.Fprintf(w, ", backend %s", b.Server)
		}
		fmt.Fprintln(w)
		for _, e := range b.Events {
			fmt.Fprintln(w, "    "+e)
		}
	}
}
