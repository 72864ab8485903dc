package main

import (
	"os"
	"path/filepath"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"oakseam/internal/cli"
	"oakseam/internal/fleet"
)

func fleetCommand() *cobra.Command {
	var (
		seed   uint64
		sets   []string
		asJSON bool
		opt    fleet.Options
	)
	c := &cobra.Command{
		Use:   "fleet SCENARIO",
		Short: "Run a scenario on loopback sockets, with real nodes",
		Long: "Starts fake backends, a registry for each node, the nodes themselves and the clients on 127.0.0.1,\n" +
			"runs the scenario with its faults in real time, checks the rules as emulate does, and ends all it has\n" +
			"started. Exit code 1 if a rule was broken or a node crashed.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := readScenario(args[0], sets)
			if err != nil {
				return cli.UsageError(err)
			}
			r, err := runOnLoopback(c.Context(), sc, seed, opt, c.ErrOrStderr())
			if err != nil {
				return err
			}
			return printAndExit(c.OutOrStdout(), r, asJSON, func() {})
		},
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "seed of all random choices")
	f.StringArrayVar(&sets, "set", nil, "KEY=VALUE that replaces a value of the scenario, such as nodes.count=4")
	f.BoolVar(&asJSON, "json", false, "print one JSON object")
	addFleetFlags(f, &opt)
	return c
}

// addFleetFlags adds the flags of the commands that start real nodes.
func addFleetFlags(f *pflag.FlagSet, opt *fleet.Options) {
	f.StringVar(&opt.Program, "node", "", "program of the node (default: oakseam in the folder of this program)")
	f.StringVar(&opt.LogDir, "logs", "", "folder for the nodes' logs")
	f.IntVar(&opt.Sockets, "sockets", 1024, "limit on descriptors in a node's configuration")
	f.IntVar(&opt.MemoryMB, "memory-mb", 192, "limit on memory in a node's configuration, in MiB")
}

// siblingProgram returns the path of a program in the folder of this program.
func siblingProgram(name string) (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), name)
	if _, err := os.Stat(path); err != nil {
		return "", err
	}
	return path, nil
}
