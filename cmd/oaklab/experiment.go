package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"

	"github.com/spf13/cobra"

	"oakseam/internal/cli"
	"oakseam/internal/experiment"
)

func experimentCommand() *cobra.Command {
	var (
		dir     string
		workers int
		asJSON  bool
		cost    bool
	)
	c := &cobra.Command{
		Use:   "experiment PLAN",
		Short: "Emulate a grid of scenarios on all cores and summarize the results",
		Long: "Runs every cell of a plan (variants x grid x policies x seeds) and stores each result at once: a run that was\n" +
			"killed continues when it is started again. Prints medians with 95% bootstrap intervals.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			plan, cells, fingerprint, err := experiment.Read(args[0])
			if err != nil {
				return cli.UsageError(err)
			}
			if dir == "" {
				name := strings.TrimSuffix(filepath.Base(args[0]), filepath.Ext(args[0]))
				dir = filepath.Join("found", name)
			}
			s, err := experiment.Open(dir, fingerprint)
			if errors.Is(err, experiment.ErrOtherPlan) {
				return cli.UsageError(fmt.Errorf("%w; choose another folder with --dir", err))
			}
			if err != nil {
				return err
			}
			defer s.Close()
			p := cli.NewProgress(c.ErrOrStderr())
			if _, err := experiment.Run(c.Context(), cells, s, workers, func(done, total int) {
				p.Printf("%s: %d of %d cells", plan.Name, done, total)
			}); err != nil {
				return err
			}
			rows, err := experiment.Summarize(s)
			if err != nil {
				return err
			}
			if !cost {
				for _, r := range rows {
					r.CostUS = nil
				}
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(rows)
			}
			printRows(c.OutOrStdout(), rows)
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&dir, "dir", "", "folder of the results (default found/NAME of the plan)")
	f.IntVar(&workers, "workers", runtime.GOMAXPROCS(0), "cells that run at the same time")
	f.BoolVar(&asJSON, "json", false, "print one JSON array")
	f.BoolVar(&cost, "cost", false, "also print how long a request took to emulate, which depends on this machine")
	return c
}

func reportCommand() *cobra.Command {
	var out, title string
	c := &cobra.Command{
		Use:   "report DIR",
		Short: "Write an HTML page with tables and plots of an experiment's results",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := experiment.Open(args[0], "")
			if err != nil {
				return cli.UsageError(fmt.Errorf("%s: no results: %w", args[0], err))
			}
			defer s.Close()
			if title == "" {
				title = filepath.Base(filepath.Clean(args[0]))
			}
			if out == "" {
				out = filepath.Join(args[0], "report.html")
			}
			f, err := os.Create(out)
			if err != nil {
				return err
			}
			if err := errors.Join(experiment.Report(f, title, s), f.Close()); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), out)
			return nil
		},
	}
	c.Flags().StringVar(&out, "out", "", "file of the page (default DIR/report.html)")
	c.Flags().StringVar(&title, "title", "", "heading of the page")
	return c
}

func printRows(w io.Writer, rows []*experiment.Row) {
	fmt.Fprintf(w, "%-18s %-24s %-25s %5s  %-24s %-26s %-9s %-9s %s\n", "variant", "grid", "policy", "days", "G [95%]", "p99 ms [95%]", "retries", "to cold", "days with a rule broken")
	for _, r := range rows {
		fmt.Fprintf(w, "%-18s %-24s %-25s %5d  %.3f [%.3f, %.3f]    %6.1f [%6.1f, %6.1f]    %-9.3f %-9.0f %v", r.Variant, strings.Join(r.Grid, ","), r.Policy, r.Runs,
			r.G.Median, r.G.Low, r.G.High, r.P99.Median, r.P99.Low, r.P99.High, r.Retries.Median, r.SendsToCold.Median, r.RunsWithViolations)
		if r.CostUS != nil {
			fmt.Fprintf(w, "  %.1f us a req", r.CostUS.Median)
		}
		fmt.Fprintln(w)
	}
}
