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

	"pipitmux/internal/cli"
	"pipitmux/internal/emulator"
	"pipitmux/internal/fault"
	"pipitmux/internal/fleet"
)

func faultCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "fault",
		Short: "Inject faults between several real nodes and sum up what became of the fleet",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(siteLossCommand())
	return c
}

func siteLossCommand() *cobra.Command {
	var (
		seed             uint64
		sets             []string
		asJSON, emulated bool
		opt              fleet.Options
	)
	c := &cobra.Command{
		Use:   "site-loss SCENARIO",
		Short: "Lose a site, or cut it off, and bring it back",
		Long: "Plays a scenario that loses a site: real nodes in two sites on loopback, killed with -9 where theirs is\n" +
			"lost, backends that fall silent, cuts in one direction, a return with cold backends and old lists. Prints\n" +
			"what was won before, during and after, beside what the capacity left would have allowed. --emulated plays\n" +
			"the same day in virtual time. Exit code 1 where a rule was broken or a node crashed.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := readScenario(args[0], sets)
			if err != nil {
				return cli.Wrong(err)
			}
			if _, _, err := fault.Window(sc); err != nil {
				return cli.Wrong(fmt.Errorf("%s: %w", args[0], err))
			}
			played := "processes"
			var r *emulator.Result
			if emulated {
				played = "emulated"
				r, err = play(c.Context(), sc, seed, emulator.Options{Workers: runtime.GOMAXPROCS(0)}, c.ErrOrStderr())
			} else {
				r, err = onLoopback(c.Context(), sc, seed, opt, c.ErrOrStderr())
			}
			if err != nil {
				return err
			}
			s, err := fault.Sum(sc, r, played)
			if err != nil {
				return err
			}
			if asJSON {
				err = json.NewEncoder(c.OutOrStdout()).Encode(s)
			} else {
				printSiteLoss(c.OutOrStdout(), s)
			}
			if err == nil && !s.Clean() {
				err = cli.Exit(cli.Failed)
			}
			return err
		},
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "which day is drawn")
	f.StringArrayVar(&sets, "set", nil, "KEY=VALUE in place of the scenario's, such as nodes.count=4")
	f.BoolVar(&asJSON, "json", false, "print one JSON object")
	f.BoolVar(&emulated, "emulated", false, "play in virtual time, without processes")
	fleetFlags(f, &opt)
	return c
}

// onLoopback plays a day with real nodes.
func onLoopback(ctx context.Context, sc *emulator.Scenario, seed uint64, opt fleet.Options, progress io.Writer) (*emulator.Result, error) {
	var err error
	if opt.Program == "" {
		if opt.Program, err = beside("oakseam"); err != nil {
			return nil, cli.Wrong(fmt.Errorf("--node: %w", err))
		}
	}
	if opt.LogDir != "" {
		if err := os.MkdirAll(opt.LogDir, 0o755); err != nil {
			return nil, cli.Wrong(err)
		}
	}
	p := cli.NewProgress(progress)
	opt.Progress = func(at, of time.Duration) { p.Say("%.0f of %.0f s played", at.Seconds(), of.Seconds()) }
	return fleet.Run(ctx, sc, seed, opt)
}

func printSiteLoss(w io.Writer, s *fault.SiteLoss) {
	fmt.Fprintf(w, "%s, seed %d, %s: %d nodes, %d backends, %d reqs\n", s.Scenario, s.Seed, s.Played, s.Nodes, s.Backends, s.Reqs)
	for _, p := range []struct {
		name string
		of   fault.Share
	}{{"before", s.Before}, {"during", s.During}, {"after", s.After}} {
		fmt.Fprintf(w, "%-7s G %.3f of an ideal %.3f\n", p.name, p.of.Won, p.of.Ideal)
	}
	if s.SteadyAfterS < 0 {
		fmt.Fprintln(w, "service was not steady again on this day")
	} else {
		fmt.Fprintf(w, "steady again %.0f s after the return\n", s.SteadyAfterS)
	}
	for _, r := range s.RefusedByWorth {
		fmt.Fprintf(w, "refused %-12s %6d of %6d (%.3f), worth %g, %.0f a second of work\n", r.Class, r.Refused, r.Asked, r.Part, r.Worth, r.PerWork)
	}
	fmt.Fprintf(w, "return overshoot %.2f of the capacity, %.2f fells\n", s.ReturnOvershoot, s.OvershootLimit)
	fmt.Fprintf(w, "rules broken: unanswered %d, double effects %d, late drain sends %d, felled backends %d\n",
		s.Unanswered, s.DoubleEffects, s.LateDrainSends, s.FelledBackends)
	for _, h := range s.Happened {
		fmt.Fprintf(w, "%9.2f s  %s %s\n", h.AtS, h.What, h.On)
	}
}
