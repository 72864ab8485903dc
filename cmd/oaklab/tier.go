package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/spf13/cobra"

	audit "pipitmux/internal/audit/tier"
	"pipitmux/internal/cli"
	"pipitmux/internal/tierlab"
)

func tierCommand() *cobra.Command {
	opt := tierlab.Default()
	var history string
	c := &cobra.Command{
		Use:   "tier",
		Short: "Play the whole serving tier on loopback, with processes killed under way",
		Long: "Starts edge, core and storage machines as processes on addresses of their own, with stand-ins for the\n" +
			"platform, servers, an operator and clients, kills processes and releases servers under way, and judges\n" +
			"what clients, servers and operator saw. Exit code 1 where a rule was broken or a process crashed.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := tierPrograms(&opt); err != nil {
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
			if err := keepHistory(history, r.History); err != nil {
				return err
			}
			if !r.Clean() {
				return cli.ExitSilently(cli.ExitFailure)
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&opt.Anemometer, "anemometer", "", "the data plane's program (default: anemometer beside this program)")
	f.StringVar(&opt.Barograph, "barograph", "", "the control plane's program (default: barograph beside this program)")
	f.StringVar(&opt.Network, "network", opt.Network, "first two numbers of the machines' addresses")
	f.StringVar(&opt.Folder, "folder", "", "for the machines' disks (default: a temporary one)")
	f.StringVar(&opt.LogDir, "logs", "", "keep the processes' logs in this folder")
	f.StringVar(&history, "history", "", "write all that was seen into this file, as JSON")
	f.Float64Var(&opt.Seconds, "seconds", opt.Seconds, "how long clients begin new work")
	f.IntVar(&opt.Edges, "edges", opt.Edges, "edge machines")
	f.IntVar(&opt.Cores, "cores", opt.Cores, "core machines")
	f.IntVar(&opt.Storages, "storages", opt.Storages, "storage machines")
	f.IntVar(&opt.Agents, "agents", opt.Agents, "agents that run programs")
	f.Uint64Var(&opt.Seed, "seed", opt.Seed, "which programs are drawn")
	f.BoolVar(&opt.Calm, "calm", false, "no troubles")
	f.BoolVar(&opt.Harsh, "harsh", false, "more troubles: an edge killed, machines frozen, one emptied, all without power, servers that break off")
	return c
}

// keepHistory writes a run's history to a path, where there is one.
func keepHistory(path string, h *audit.History) error {
	if path == "" {
		return nil
	}
	text, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// tierPrograms finds the programs that no flag names.
func tierPrograms(opt *tierlab.Options) (err error) {
	for name, path := range map[string]*string{"anemometer": &opt.Anemometer, "barograph": &opt.Barograph} {
		if *path == "" {
			if *path, err = beside(name); err != nil {
				return err
			}
		}
	}
	return nil
}
