// Command oakseam is one node: it takes requests from clients, has the decision
// module decide, and carries the decisions out on sockets. Without arguments it
// is the node that PROXY_CONFIG describes.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"pipitmux/internal/cli"
	"pipitmux/internal/config"
)

func main() {
	// Before all else: a signal that comes early must not end the node.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	os.Exit(cli.Run(root(signals), os.Args[1:]))
}

func root(signals <-chan os.Signal) *cobra.Command {
	serve := func(own string) error {
		c, err := config.Load(os.Getenv, own)
		if err != nil {
			return cli.Wrong(fmt.Errorf("config: %w", err))
		}
		return run(c, own, signals)
	}
	r := &cobra.Command{
		Use:   "oakseam",
		Short: "Balance requests over backends as one node",
		Long: "oakseam is one node: it takes requests over HTTP/1.1, has its decision module choose backend, time-out,\n" +
			"retry or refusal, and gives each request one final answer. Without a command it is the node that\n" +
			"PROXY_CONFIG describes. Exit codes: 0 ended as told, 1 failed, 2 misuse or a configuration at fault.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve("") },
	}
	var own string
	node := &cobra.Command{
		Use:   "node",
		Short: "Run a node with a configuration file of our own beside PROXY_CONFIG",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return serve(own) },
	}
	node.Flags().StringVar(&own, "config", "", "our own configuration (YAML)")
	r.AddCommand(node, configCommand())
	return r
}

func configCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "config",
		Short: "Check and show configurations",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	var own string
	c.PersistentFlags().StringVar(&own, "config", "", "our own configuration (YAML)")
	check := &cobra.Command{
		Use:   "check",
		Short: "Check our own file, and what PROXY_CONFIG names where it is set",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if os.Getenv("PROXY_CONFIG") == "" && own == "" {
				return cli.Wrong(fmt.Errorf("nothing to check: neither --config nor PROXY_CONFIG is set"))
			}
			if _, err := config.Show(os.Getenv, own); err != nil {
				return cli.Wrong(err)
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
			values, err := config.Show(os.Getenv, own)
			if err != nil {
				return cli.Wrong(err)
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
		Short: "Print the JSON Schema of our own file",
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
