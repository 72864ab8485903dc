package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/spf13/cobra"

	audit "oakseam/internal/audit/tier"
	"oakseam/internal/cli"
	"oakseam/internal/tierlab"
)

func tierCommand() *cobra.Command {
	opt := tierlab.Default()
	var historyFile string
	c := &cobra.Command{
		Use:   "tier",
		Short: "Run the whole serving tier on loopback and kill processes meanwhile",
		Long: "Starts edge, core and storage machines as processes on their own addresses, with fakes of the platform,\n" +
			"servers, operators, clients and applications. Kills processes, releases servers and evacuates zones meanwhile,\n" +
			"and checks what clients, servers, operators and applications saw. Exit code 1 if a rule was broken or a process crashed.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := findTierPrograms(&opt); err != nil {
				return cli.UsageError(err)
			}
			progress := cli.NewProgress(c.ErrOrStderr())
			opt.Progress = func(at time.Duration, ended, served, edges int) {
				progress.Printf("%3.0f s: %d requests ended, %d of them served; %d edges take clients", at.Seconds(), ended, served, edges)
			}
			r, err := tierlab.Run(c.Context(), opt)
			if err != nil {
				return err
			}
			r.Print(c.OutOrStdout())
			if err := writeHistory(historyFile, r.History); err != nil {
				return err
			}
			if !r.Clean() {
				return cli.ExitSilently(cli.ExitFailure)
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&opt.EdgeProgram, "edge-program", "", "program of the data plane (default: oakseam-edge in the folder of this program)")
	f.StringVar(&opt.ControlProgram, "control-program", "", "program of the control plane (default: oakseam-control in the folder of this program)")
	f.StringVar(&opt.Network, "network", opt.Network, "first two numbers of the machines' IPv4 addresses (default: a loopback network that no other run uses)")
	f.StringVar(&opt.Folder, "folder", "", "folder of the machines' disks (default: a temporary folder)")
	f.StringVar(&opt.LogDir, "logs", "", "folder for the processes' logs")
	f.StringVar(&historyFile, "history", "", "write the history of the run to this file, as JSON")
	f.Float64Var(&opt.Seconds, "seconds", opt.Seconds, "how long clients start new work")
	f.IntVar(&opt.Edges, "edges", opt.Edges, "number of edge machines")
	f.IntVar(&opt.Cores, "cores", opt.Cores, "number of core machines")
	f.IntVar(&opt.Storages, "storages", opt.Storages, "number of storage machines")
	f.IntVar(&opt.Agents, "agents", opt.Agents, "number of agents that run programs")
	f.Uint64Var(&opt.Seed, "seed", opt.Seed, "seed of all random choices")
	f.BoolVar(&opt.Calm, "calm", false, "inject no faults")
	f.BoolVar(&opt.Harsh, "harsh", false, "inject more faults: an edge killed, machines frozen and emptied, one retired, a zone cut off, power loss of a zone and of all, servers that break off")
	return c
}

// writeHistory writes a run's history as JSON to a file, unless the path is empty.
func writeHistory(path string, h *audit.History) error {
	if path == "" {
		return nil
	}
	text, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// findTierPrograms sets the paths of the programs that no flag names.
func findTierPrograms(opt *tierlab.Options) (err error) {
	for name, path := range map[string]*string{"oakseam-edge": &opt.EdgeProgram, "oakseam-control": &opt.ControlProgram} {
		if *path == "" {
			if *path, err = siblingProgram(name); err != nil {
				return err
			}
		}
	}
	return nil
}
