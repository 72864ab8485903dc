package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"oakseam/internal/cli"
	"oakseam/internal/emulator"
	"oakseam/internal/fault"
	"oakseam/internal/fleet"
)

func faultCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "fault",
		Short: "Inject faults into a fleet of real nodes and summarize the effects",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(siteLossCommand(), powerLossCommand())
	return c
}

func siteLossCommand() *cobra.Command {
	return lossCommand("site-loss", "Lose a site, or partition it, and bring it back",
		"Runs a scenario that loses a site: real nodes in two sites on loopback, killed with -9 if their site is\n"+
			"lost, backends that stop answering, one-way partitions, a return with cold backends and old lists. Prints\n"+
			"the share of worth earned before, during and after, and what the remaining capacity would have allowed.",
		fault.SiteLossKinds, func(sc *emulator.Scenario, r *emulator.Result, execution string) (report, error) {
			s, err := fault.SummarizeSiteLoss(sc, r, execution)
			return siteLoss{s}, err
		})
}

func powerLossCommand() *cobra.Command {
	return lossCommand("power-loss", "Lose all power at once and restart everything",
		"Runs a scenario in which every node is killed with -9 and every backend and the registry stop answering.\n"+
			"All restart, at the same time or in a random order, the registry late. Prints how long it took until\n"+
			"service was as before, and the share of worth earned in the first minute.",
		fault.PowerLossKinds, func(sc *emulator.Scenario, r *emulator.Result, execution string) (report, error) {
			p, err := fault.SummarizePowerLoss(sc, r, execution)
			return powerLoss{p}, err
		})
}

// report is the result that a fault command prints.
type report interface {
	Clean() bool
	print(io.Writer)
}

// The reports of the commands site-loss and power-loss.
type (
	siteLoss  struct{ *fault.SiteLoss }
	powerLoss struct{ *fault.PowerLoss }
)

// lossCommand returns a command that runs a scenario with a loss of one of the kinds, and prints the
// summary.
func lossCommand(name, short, long string, kinds []string, summarize func(*emulator.Scenario, *emulator.Result, string) (report, error)) *cobra.Command {
	var (
		seed     uint64
		sets     []string
		asJSON   bool
		emulated bool
		opt      fleet.Options
	)
	c := &cobra.Command{
		Use: name + " SCENARIO", Short: short,
		Long: long + " --emulated runs\nthe same scenario in virtual time. Exit code 1 if a rule was broken or a node crashed.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := readScenario(args[0], sets)
			if err != nil {
				return cli.UsageError(err)
			}
			if _, _, err := fault.LossWindow(sc, kinds); err != nil {
				return cli.UsageError(fmt.Errorf("%s: %w", args[0], err))
			}
			execution := "processes"
			var r *emulator.Result
			if emulated {
				execution = "emulated"
				r, err = emulate(c.Context(), sc, seed, emulator.Options{Workers: runtime.GOMAXPROCS(0)}, c.ErrOrStderr())
			} else {
				r, err = runOnLoopback(c.Context(), sc, seed, opt, c.ErrOrStderr())
			}
			if err != nil {
				return err
			}
			s, err := summarize(sc, r, execution)
			if err != nil {
				return err
			}
			if asJSON {
				err = json.NewEncoder(c.OutOrStdout()).Encode(s)
			} else {
				s.print(c.OutOrStdout())
			}
			if err == nil && !s.Clean() {
				err = cli.ExitSilently(cli.ExitFailure)
			}
			return err
		},
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "seed of all random choices")
	f.StringArrayVar(&sets, "set", nil, "KEY=VALUE that replaces a value of the scenario, such as nodes.count=4")
	f.BoolVar(&asJSON, "json", false, "print one JSON object")
	f.BoolVar(&emulated, "emulated", false, "run in virtual time, without processes")
	f.BoolVar(&opt.KeepState, "keep-state", false, "nodes keep their state on disk (processes only)")
	addFleetFlags(f, &opt)
	return c
}

// runOnLoopback runs a scenario with real nodes.
func runOnLoopback(ctx context.Context, sc *emulator.Scenario, seed uint64, opt fleet.Options, progress io.Writer) (*emulator.Result, error) {
	var err error
	if opt.Program == "" {
		if opt.Program, err = siblingProgram("oakseam"); err != nil {
			return nil, cli.UsageError(fmt.Errorf("--node: %w", err))
		}
	}
	if opt.LogDir != "" {
		if err := os.MkdirAll(opt.LogDir, 0o755); err != nil {
			return nil, cli.UsageError(err)
		}
	}
	p := cli.NewProgress(progress)
	opt.Progress = func(at, total time.Duration) { p.Printf("%.0f of %.0f s done", at.Seconds(), total.Seconds()) }
	return fleet.Run(ctx, sc, seed, opt)
}

// print writes the report as text.
func (s siteLoss) print(w io.Writer) {
	printHead(w, &s.RunSummary)
	for _, p := range []struct {
		name     string
		g, ideal float64
	}{{"before", s.GBefore, s.IdealBefore}, {"during", s.GDuring, s.IdealDuring}, {"after", s.GAfter, s.IdealAfter}} {
		fmt.Fprintf(w, "%-7s G %.3f of an ideal %.3f\n", p.name, p.g, p.ideal)
	}
	if s.SteadyAfterS < 0 {
		fmt.Fprintln(w, "service was not steady again on this day")
	} else {
		fmt.Fprintf(w, "steady again %.0f s after the return\n", s.SteadyAfterS)
	}
	for _, r := range s.RejectedByWorth {
		fmt.Fprintf(w, "refused %-12s %6d of %6d (%.3f), worth %g, %.0f a second of work\n", r.Class, r.Rejected, r.Operations, r.Share, r.Worth, r.PerWork)
	}
	fmt.Fprintf(w, "return overshoot %.2f of the capacity, %.2f fells\n", s.ReturnOvershoot, s.OvershootLimit)
	printEnd(w, &s.RunSummary, "")
}

// print writes the report as text.
func (p powerLoss) print(w io.Writer) {
	printHead(w, &p.RunSummary)
	fmt.Fprintf(w, "before G %.3f, first 60 s with power G %.3f of an ideal %.3f\n", p.GBefore, p.GFirst60S, p.IdealFirst60S)
	fmt.Fprintf(w, "seconds to service %.0f\n", p.SecondsToService)
	fmt.Fprintf(w, "overshoot %.2f of the capacity, %.2f fells\n", p.Overshoot, p.OvershootLimit)
	printEnd(w, &p.RunSummary, fmt.Sprintf("; stale sends %d", p.StaleSends))
}

// printHead writes the line that begins every report.
func printHead(w io.Writer, d *fault.RunSummary) {
	fmt.Fprintf(w, "%s, seed %d, %s: %d nodes, %d backends, %d reqs\n", d.Scenario, d.Seed, d.Execution, d.Nodes, d.Backends, d.Requests)
}

// printEnd writes the counts of broken rules, followed by more, and the faults that happened.
func printEnd(w io.Writer, d *fault.RunSummary, more string) {
	fmt.Fprintf(w, "rules broken: unanswered %d, double effects %d, late drain sends %d, felled backends %d%s\n",
		d.Unanswered, d.DuplicateEffects, d.LateDrainSends, d.OverloadedBackends, more)
	for _, h := range d.FaultEvents {
		fmt.Fprintf(w, "%9.2f s  %s %s\n", h.AtSeconds, h.Kind, h.Target)
	}
}
