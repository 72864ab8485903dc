// Command oakseam runs one node of the load balancer: it accepts requests from clients, has
// the decision module decide, and executes the decisions on sockets. Without arguments it
// runs the node that PROXY_CONFIG describes.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"oakseam/internal/cli"
	"oakseam/internal/config"
)

func main() {
	// First of all: an early signal must not end the node, nor a write to a standard stream that nobody reads.
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	os.Exit(cli.Run(rootCommand(signals), os.Args[1:]))
}

func rootCommand(signals <-chan os.Signal) *cobra.Command {
	runNode := func(optionsFile string) error {
		c, err := config.Load(os.Getenv, optionsFile)
		if err != nil {
			return cli.UsageError(fmt.Errorf("config: %w", err))
		}
		return run(c, optionsFile, signals)
	}
	command := &cobra.Command{
		Use:   "oakseam",
		Short: "Run one node that balances requests over backends",
		Long: "oakseam runs one node: it accepts requests over HTTP/1.1, has its decision module choose backend, timeout,\n" +
			"retry or rejection, and gives each request one final answer. Without a command it runs the node that\n" +
			"PROXY_CONFIG describes. Exit codes: 0 ended on request, 1 failed, 2 wrong usage or faulty configuration.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runNode("") },
	}
	var optionsFile string
	node := &cobra.Command{
		Use:   "node",
		Short: "Run a node with an options file in addition to PROXY_CONFIG",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runNode(optionsFile) },
	}
	node.Flags().StringVar(&optionsFile, "config", "", "options file (YAML)")
	command.AddCommand(node, configCommand())
	return command
}

func configCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "config",
		Short: "Check and show configurations",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	var optionsFile string
	c.PersistentFlags().StringVar(&optionsFile, "config", "", "options file (YAML)")
	check := &cobra.Command{
		Use:   "check",
		Short: "Check the options file, and the file in PROXY_CONFIG if set",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if os.Getenv("PROXY_CONFIG") == "" && optionsFile == "" {
				return cli.UsageError(fmt.Errorf("nothing to check: neither --config nor PROXY_CONFIG is set"))
			}
			if _, err := config.Show(os.Getenv, optionsFile); err != nil {
				return cli.UsageError(err)
			}
			fmt.Fprintln(c.OutOrStdout(), "sound")
			return nil
		},
	}
	var asJSON bool
	show := &cobra.Command{
		Use:   "show",
		Short: "Print every effective value and where it came from",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			values, err := config.Show(os.Getenv, optionsFile)
			if err != nil {
				return cli.UsageError(err)
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(values)
			}
			for _, v := range values {
				fmt.Fprintf(c.OutOrStdout(), "%-36s %-24v # %s\n", v.Key, v.Value, v.Source)
			}
			return nil
		},
	}
	show.Flags().BoolVar(&asJSON, "json", false, "print one JSON array")
	schema := &cobra.Command{
		Use:   "schema",
		Short: "Print the JSON Schema of the options file",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			text, err := config.Schema()
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s\n", text)
			return err
		},
	}
	c.AddCommand(check, show, schema)
	return c
}
