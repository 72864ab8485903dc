package main

import (
	"os"
	"path/filepath"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"pipitmux/internal/cli"
	"pipitmux/internal/fleet"
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
		Short: "Play a scenario's day on loopback sockets, with real nodes",
		Long: "Starts stand-in backends, a registry for each node, the nodes themselves and the clients on 127.0.0.1,\n" +
			"plays the day in real time with its troubles, judges it as emulate does, and ends all it has started.\n" +
			"Exit code 1 where a rule was broken or a node crashed.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := readScenario(args[0], sets)
			if err != nil {
				return cli.UsageError(err)
			}
			r, err := onLoopback(c.Context(), sc, seed, opt, c.ErrOrStderr())
			if err != nil {
				return err
			}
			return tell(c.OutOrStdout(), r, asJSON, func() {})
		},
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "which day is drawn")
	f.StringArrayVar(&sets, "set", nil, "KEY=VALUE in place of the scenario's, such as nodes.count=4")
	f.BoolVar(&asJSON, "json", false, "print one JSON object")
	fleetFlags(f, &opt)
	return c
}

// fleetFlags are those of the commands that start real nodes.
func fleetFlags(f *pflag.FlagSet, opt *fleet.Options) {
	f.StringVar(&opt.Program, "node", "", "the node's program (default: oakseam beside this program)")
	f.StringVar(&opt.LogDir, "logs", "", "keep the nodes' logs in this folder")
	f.IntVar(&opt.Sockets, "sockets", 1024, "descriptors that a node is told to keep to")
	f.IntVar(&opt.MemoryMB, "memory-mb", 192, "memory that a node is told to keep to")
}

// beside returns the path of a program in the folder of this one.
func beside(name string) (string, error) {
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
