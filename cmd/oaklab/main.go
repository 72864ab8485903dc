// Command oaklab tests load-balancing designs. It emulates fleets in virtual time, runs fleets of real
// nodes on loopback with faults, generates load, and runs experiments.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"oakseam/internal/cli"
)

func main() { os.Exit(cli.Run(newRootCommand(), os.Args[1:])) }

// newRootCommand returns the command line with all its commands.
func newRootCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "oaklab",
		Short: "Test balancing designs in an emulator, on loopback fleets and in experiments",
		Long: "oaklab emulates fleets of nodes and backends in virtual time, generates load for real nodes,\n" +
			"and runs grids of experiments. Exit codes: 0 success and no rule broken, 1 failure or a rule broken, 2 invalid use.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(emulateCommand(), fleetCommand(), faultCommand(), loadCommand(), experimentCommand(), reportCommand(), tierCommand())
	return c
}
