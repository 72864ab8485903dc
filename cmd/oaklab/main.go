// Command oaklab is the lab: it plays fleets in virtual time, drives real nodes
// with load, and runs experiments over both.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"pipitmux/internal/cli"
)

func main() { os.Exit(cli.Run(root(), os.Args[1:])) }

func root() *cobra.Command {
	c := &cobra.Command{
		Use:   "oaklab",
		Short: "Try balancing designs in an emulator, on loopback fleets and in experiments",
		Long: "oaklab plays fleets of nodes and backends in virtual time, drives real nodes with load,\n" +
			"and runs grids of experiments. Exit codes: 0 done and rules kept, 1 failed or a rule broken, 2 misuse.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(emulateCommand(), fleetCommand(), faultCommand(), loadCommand(), experimentCommand(), reportCommand(), tierCommand())
	return c
}
