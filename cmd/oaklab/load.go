package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"oakseam/internal/cli"
	"oakseam/internal/load"
	"oakseam/internal/yamlfile"
)

func loadCommand() *cobra.Command {
	var (
		asJSON   bool
		p        = load.Default()
		duration time.Duration
	)
	c := &cobra.Command{
		Use:   "load [PLAN]",
		Short: "Drive an HTTP/1.1 address on loopback with an open schedule",
		Long: "Sends requests at the times of a schedule (steady, wave, bursty, step), without waiting for earlier ones,\n" +
			"and measures each from when it was due, so that a stalled node's latency counts in full. A plan is a YAML\n" +
			"file; flags override it. Exit code 1 if the tool itself was late by more than 10 ms at the 99th percentile.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f := &yamlfile.File{Name: "flags"}
			if len(args) == 1 {
				given := map[*pflag.Flag]string{} // flags override the plan, but reading it overwrites them
				c.Flags().Visit(func(flag *pflag.Flag) { given[flag] = flag.Value.String() })
				var err error
				if f, err = yamlfile.Read(args[0], &p); err != nil {
					return cli.UsageError(err)
				}
				for flag, value := range given {
					if err := flag.Value.Set(value); err != nil {
						return err
					}
				}
			}
			if c.Flags().Changed("for") {
				p.Seconds = duration.Seconds()
			}
			if key, err := p.Check(); err != nil {
				return cli.UsageError(f.Errorf(key, "%v", err))
			}
			r := load.Run(c.Context(), p, func(l load.Progress) {
				fmt.Fprintf(c.ErrOrStderr(), "%3.0f of %.0f s: due %d, done %d, open %d, not served %d; last second p50 %.1f ms, p99 %.1f ms\n",
					l.Elapsed.Seconds(), l.Total.Seconds(), l.Due, l.Done, l.InFlight, l.Failed, l.LastP50, l.LastP99)
			})
			if asJSON {
				if err := json.NewEncoder(c.OutOrStdout()).Encode(r); err != nil {
					return err
				}
			} else {
				printLoad(c.OutOrStdout(), r)
			}
			if r.LateMS.P99 > maxLateMS {
				fmt.Fprintf(c.ErrOrStderr(), "oaklab: the tool itself was late (p99 %.1f ms): the latencies are not the target's alone\n", r.LateMS.P99)
				return cli.ExitSilently(cli.ExitFailure)
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&p.Target, "target", p.Target, "host:port on loopback")
	f.Float64Var(&p.PerSecond, "rate", p.PerSecond, "mean number of requests per second")
	f.DurationVar(&duration, "for", 10*time.Second, "how long requests are due")
	f.StringVar(&p.Shape, "shape", p.Shape, "steady, wave, bursty or step")
	f.Float64Var(&p.Swing, "swing", p.Swing, "share of the rate by which a wave or step varies")
	f.DurationVar(&p.Period, "period", p.Period, "period of a wave or a step")
	f.BoolVar(&p.Even, "even", p.Even, "send at equal intervals instead of random ones")
	f.IntVar(&p.Connections, "connections", p.Connections, "maximum number of connections")
	f.Uint64Var(&p.Seed, "seed", p.Seed, "seed of the schedule")
	f.BoolVar(&asJSON, "json", false, "print one JSON object")
	return c
}

// maxLateMS is how late the tool may be at the 99th percentile, in milliseconds.
const maxLateMS = 10

// printLoad writes a report as text.
func printLoad(w io.Writer, r *load.Report) {
	fmt.Fprintf(w, "%s: %d reqs due in %.1f s, %.1f answered a second; the tool was late by p99 %.2f ms\n", r.Target, r.Due, r.Seconds, r.PerSecond, r.LateMS.P99)
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		c := r.Classes[name]
		fmt.Fprintf(w, "%-12s sent %6d", name, c.Sent)
		for _, s := range slices.Sorted(maps.Keys(c.Status)) {
			fmt.Fprintf(w, "  %s %d", s, c.Status[s])
		}
		fmt.Fprintf(w, "\n             from when due: ms p50 %.2f  p90 %.2f  p99 %.2f  p99.9 %.2f  max %.2f\n", c.LatencyMS.P50, c.LatencyMS.P90, c.LatencyMS.P99, c.LatencyMS.P999, c.LatencyMS.Max)
		fmt.Fprintf(w, "             from when sent: ms p50 %.2f  p90 %.2f  p99 %.2f  p99.9 %.2f  max %.2f\n", c.ServiceMS.P50, c.ServiceMS.P90, c.ServiceMS.P99, c.ServiceMS.P999, c.ServiceMS.Max)
	}
}
